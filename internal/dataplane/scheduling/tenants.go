package scheduling

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// RouteLookup is what a request by route names: where it goes, and the key of a tenant, "" for none. DeadlineUs is the instant
// at which it must be answered; 0 is never.
type RouteLookup struct {
	Host       string
	Path       string
	Key        string
	DeadlineUs int64
}

// LookupRoute finds the route of a request and the name of the tenant in whose name it runs, "" for nobody's, or the
// fault that refuses it. The key itself goes no further than this.
func (s *Snapshot) LookupRoute(lookup RouteLookup) (route *configuration.Route, tenant string, failure *fault.Fault) {
	if route = s.Declaration.Match(lookup.Host, lookup.Path); route == nil {
		return nil, "", fault.New(fault.NotFound, "path", "no route")
	}
	if tenant, failure = s.authenticate(route, lookup.Key); failure != nil {
		return nil, "", failure
	}
	return route, tenant, nil
}

// authenticate finds the tenant that holds a key. None is needed on a public route, or where no tenants are declared; but a
// key that is brought where tenants are declared must be one of theirs.
func (s *Snapshot) authenticate(route *configuration.Route, key string) (tenant string, failure *fault.Fault) {
	if holder := s.Declaration.TenantOfKey(key); holder != nil {
		return holder.Name, nil
	}
	if !s.Declaration.Allows(route, "") || (s.Declaration.RequireKeys && key != "") {
		return "", fault.New(fault.Unauthenticated, "", "no tenant holds its key")
	}
	return "", nil
}
