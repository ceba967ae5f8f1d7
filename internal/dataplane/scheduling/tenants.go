package scheduling

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// RouteLookup is what a request in routed mode names. Key is the API key of a tenant, "" for none. DeadlineUs is the
// time by which the request must be answered; 0 means no deadline.
type RouteLookup struct {
	Host       string
	Path       string
	Key        string
	DeadlineUs int64
}

// LookupRoute returns the route of a request and the name of the tenant that it runs for, "" for none, or the fault that refuses
// the request. The key itself is not passed on.
func (s *Snapshot) LookupRoute(lookup RouteLookup) (route *configuration.Route, tenant string, failure *fault.Fault) {
	if route = s.Declaration.Match(lookup.Host, lookup.Path); route == nil {
		return nil, "", fault.New(fault.NotFound, "path", "no route")
	}
	if tenant, failure = s.authenticate(route, lookup.Key); failure != nil {
		return nil, "", failure
	}
	return route, tenant, nil
}

// routeOf returns the route that the declaration gives to a routed call, or nil if there is none.
func (s *Snapshot) routeOf(c *Call) *configuration.Route {
	return s.Declaration.Match(c.Routed.Host, c.Routed.Path)
}

// tenantOf returns the tenant that a routed call belongs to under the declaration, or nil if there is none: the holder of its key. If
// nobody holds the key any more, it is the tenant of the name that the call runs under, since a revocation applies only to calls
// that arrive after it.
func (s *Snapshot) tenantOf(c *Call) *configuration.Tenant {
	if c.Routed.KeyDigest != "" {
		if holder := s.Declaration.TenantOfKeyDigest(c.Routed.KeyDigest); holder != nil {
			return holder
		}
	}
	return s.Declaration.Tenant(c.Routed.Tenant)
}

// TenantName returns the name of the tenant in whose name a routed call is sent under the declaration, "" for none.
func (s *Snapshot) TenantName(c *Call) string {
	if t := s.tenantOf(c); t != nil {
		return t.Name
	}
	return c.Routed.Tenant
}

// admits reports whether the declaration still lets a routed call onto route r.
func (s *Snapshot) admits(c *Call, r *configuration.Route) bool {
	return s.Declaration.Allows(r, "") || s.tenantOf(c) != nil
}

// authenticate returns the tenant that holds a key. No key is needed on a public route, or if no tenants are declared. A key
// that is given although not needed must still belong to a tenant if tenants are declared.
func (s *Snapshot) authenticate(route *configuration.Route, key string) (tenant string, failure *fault.Fault) {
	if holder := s.Declaration.TenantOfKey(key); holder != nil {
		return holder.Name, nil
	}
	if !s.Declaration.Allows(route, "") || (s.Declaration.RequireKeys && key != "") {
		return "", fault.New(fault.Unauthenticated, "", "no tenant holds its key")
	}
	return "", nil
}
