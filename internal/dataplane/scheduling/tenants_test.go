package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// tenanted is a declaration whose routes "own" and "open", which is public, go to service s, with tenants by their keys.
func tenanted(keys map[string]string) *configuration.Declaration {
	doc := declaration(declared{"own", configuration.Idempotent, 3, one("s"), false}, declared{"open", configuration.Idempotent, 3, one("s"), false})
	doc.RequireKeys, doc.Index = true, nil
	doc.Routes[1].Public = true
	for name, key := range keys {
		doc.Tenants = append(doc.Tenants, configuration.Tenant{Name: name, KeyDigests: []string{configuration.KeyDigest(key)}})
	}
	return doc.Indexed()
}

func TestARequestIsFoundItsRouteAndTheTenantOfItsKey(t *testing.T) {
	s := stands(tenanted(map[string]string{"school": "k1", "club": "k2"}), 1)
	keyless := stands(declaration(declared{"own", configuration.Idempotent, 3, one("s"), false}), 1)
	for _, c := range []struct {
		what   string
		in     *Snapshot
		lookup RouteLookup
		route  string
		tenant string
		code   fault.Code
	}{
		{"its key", s, RouteLookup{"h", "/own/x", "k1"}, "own", "school", ""},
		{"another's key", s, RouteLookup{"h", "/own/x", "k2"}, "own", "club", ""},
		{"public, its key", s, RouteLookup{"h", "/open/x", "k1"}, "open", "school", ""},
		{"public, no key", s, RouteLookup{"h", "/open/x", ""}, "open", "", ""},
		{"public, an unknown key", s, RouteLookup{"h", "/open/x", "k3"}, "open", "", ""},
		{"no route, its key", s, RouteLookup{"h", "/none/x", "k1"}, "", "", fault.NotFound},
		{"no route, no key", s, RouteLookup{"h", "/none/x", ""}, "", "", fault.NotFound},
		{"no tenants are declared", keyless, RouteLookup{"h", "/own/x", "k1"}, "own", "", ""},
	} {
		route, tenant, bad := c.in.LookupRoute(c.lookup)
		name, code := "", fault.Code("")
		if route != nil {
			name = route.Name
		}
		if bad != nil {
			code = bad.Code
		}
		if name != c.route || tenant != c.tenant || code != c.code {
			t.Errorf("%s: route %q of tenant %q, %v", c.what, name, tenant, bad)
		}
	}
}
