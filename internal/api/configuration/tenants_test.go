package configuration

import (
	"strings"
	"testing"
)

func tenant(name string, keys ...string) Tenant {
	t := Tenant{Name: name, Source: []byte(`{}`)}
	for _, key := range keys {
		t.KeyDigests = append(t.KeyDigests, KeyDigest(key))
	}
	return t
}

func withTenants(tenants ...Tenant) *Declaration {
	return (&Declaration{Version: 1, Tenants: tenants, RequireKeys: true}).Indexed()
}

func TestAKeyIsHeldByOneTenant(t *testing.T) {
	d := withTenants(tenant("one", "a", "b"), tenant("two", "c"))
	for key, holder := range map[string]string{"a": "one", "b": "one", "c": "two"} {
		if got := d.TenantOfKey(key); got == nil || got.Name != holder {
			t.Errorf("key %s is held by %+v, want %s", key, got, holder)
		}
	}
	if got := d.TenantOfKey("d"); got != nil {
		t.Errorf("an unknown key is held by %s", got.Name)
	}
	negative := tenant("one", "a")
	negative.RatePerSecond = -1
	huge := tenant("one", "a")
	huge.Burst = 1e300
	for name, c := range map[string]struct {
		d      *Declaration
		reason string
	}{
		"two tenants share a key":    {withTenants(tenant("one", "a"), tenant("two", "a")), "holds one of its keys"},
		"a tenant is named twice":    {withTenants(tenant("one", "a"), tenant("one", "b")), "named twice"},
		"a tenant without a name":    {withTenants(tenant("", "a")), "tenants[0].name"},
		"a rate below 0":             {withTenants(negative), "ratePerSecond"},
		"a burst that no sum bears":  {withTenants(huge), "burst"},
		"a digest that is no digest": {withTenants(Tenant{Name: "one", KeyDigests: []string{"a"}}), "keyDigests"},
	} {
		t.Run(name, func(t *testing.T) {
			if bad := c.d.CheckRoutes(); bad == nil || !strings.Contains(bad.Error(), c.reason) {
				t.Errorf("got %v, want %q", bad, c.reason)
			}
		})
	}
	if bad := d.CheckRoutes(); bad != nil {
		t.Errorf("sound tenants: %v", bad)
	}
}

func TestAnEditMovesAKeyBetweenTenantsAndTakesTheLastOneAway(t *testing.T) {
	d := withTenants(tenant("one", "a", "b"), tenant("two", "c"))
	moved, bad := d.Apply(&Edit{Version: 2, Tenants: []Tenant{tenant("one", "b"), tenant("two", "a", "c")}})
	if bad != nil {
		t.Fatal(bad)
	}
	if got := moved.Indexed().TenantOfKey("a"); got == nil || got.Name != "two" {
		t.Errorf("the moved key is held by %+v", got)
	}
	shared := &Edit{Version: 2, Tenants: []Tenant{tenant("two", "a", "c")}}
	if both, bad := d.Apply(shared); bad != nil || both.CheckEdited(shared) == nil {
		t.Errorf("a key that two tenants hold after an edit is taken: %v", bad)
	}
	none, bad := moved.Apply(&Edit{Version: 3, RemoveTenants: []string{"one", "two"}})
	if bad != nil || len(none.Tenants) != 0 || !none.RequireKeys {
		t.Errorf("without any tenant keys are still needed: %+v, %v", none, bad)
	}
}

func TestGatewaysGetNoKeysButTheirDigests(t *testing.T) {
	d := withTenants(tenant("one", "a"))
	bare := d.WithoutSource()
	if bare.Tenants[0].Source != nil || bare.TenantOfKey("a") == nil || d.Tenants[0].Source == nil {
		t.Errorf("%+v", bare.Tenants)
	}
	edit := (&Edit{Tenants: d.Tenants}).WithoutSource()
	if edit.Tenants[0].Source != nil {
		t.Errorf("%+v", edit.Tenants)
	}
	for _, key := range []string{"", " ", "a b", "a\x00", "ä", strings.Repeat("k", maxKeyBytes+1)} {
		if bad := CheckKey(key); bad == nil || (key != "" && key != " " && strings.Contains(bad.Error(), key)) {
			t.Errorf("a key of %d bytes: %v", len(key), bad)
		}
	}
}
