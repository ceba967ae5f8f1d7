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

func TestTenantOfKeyAndCheckOfTenants(t *testing.T) {
	d := withTenants(tenant("one", "a", "b"), tenant("two", "c"))
	for key, holder := range map[string]string{"a": "one", "b": "one", "c": "two"} {
		if got := d.TenantOfKey(key); got == nil || got.Name != holder {
			t.Errorf("TenantOfKey(%q): got %+v, want %s", key, got, holder)
		}
	}
	if got := d.TenantOfKey("d"); got != nil {
		t.Errorf("TenantOfKey of an unknown key: got %s, want nil", got.Name)
	}
	negative := tenant("one", "a")
	negative.RatePerSecond = -1
	huge := tenant("one", "a")
	huge.Burst = 1e300
	for name, c := range map[string]struct {
		d      *Declaration
		reason string
	}{
		"key of two tenants":      {withTenants(tenant("one", "a"), tenant("two", "a")), "holds one of its keys"},
		"duplicate tenant name":   {withTenants(tenant("one", "a"), tenant("one", "b")), "named twice"},
		"tenant without a name":   {withTenants(tenant("", "a")), "tenants[0].name"},
		"negative rate":           {withTenants(negative), "ratePerSecond"},
		"burst above the maximum": {withTenants(huge), "burst"},
		"malformed key digest":    {withTenants(Tenant{Name: "one", KeyDigests: []string{"a"}}), "keyDigests"},
	} {
		t.Run(name, func(t *testing.T) {
			if bad := c.d.CheckRoutes(); bad == nil || !strings.Contains(bad.Error(), c.reason) {
				t.Errorf("CheckRoutes: got %v, want a fault with %q", bad, c.reason)
			}
		})
	}
	if bad := d.CheckRoutes(); bad != nil {
		t.Errorf("CheckRoutes of valid tenants: got %v, want nil", bad)
	}
}

func TestApplyMovesKeyBetweenTenantsAndRemovesLastTenant(t *testing.T) {
	d := withTenants(tenant("one", "a", "b"), tenant("two", "c"))
	moved, bad := d.Apply(&Edit{Version: 2, Tenants: []Tenant{tenant("one", "b"), tenant("two", "a", "c")}})
	if bad != nil {
		t.Fatal(bad)
	}
	if got := moved.Indexed().TenantOfKey("a"); got == nil || got.Name != "two" {
		t.Errorf("TenantOfKey of the moved key: got %+v, want two", got)
	}
	shared := &Edit{Version: 2, Tenants: []Tenant{tenant("two", "a", "c")}}
	if both, bad := d.Apply(shared); bad != nil || both.CheckEdited(shared) == nil {
		t.Errorf("edit that leaves a key to two tenants: Apply got %v, want nil; CheckEdited: want a fault", bad)
	}
	none, bad := moved.Apply(&Edit{Version: 3, RemoveTenants: []string{"one", "two"}})
	if bad != nil || len(none.Tenants) != 0 || !none.RequireKeys {
		t.Errorf("edit that removes all tenants: got %+v, %v, want no tenants and RequireKeys still set", none, bad)
	}
}

func TestWithoutSourceAndCheckKeyDoNotExposeKeys(t *testing.T) {
	d := withTenants(tenant("one", "a"))
	bare := d.WithoutSource()
	if bare.Tenants[0].Source != nil || bare.TenantOfKey("a") == nil || d.Tenants[0].Source == nil {
		t.Errorf("WithoutSource of a declaration: got %+v, want digests without source, and the original unchanged", bare.Tenants)
	}
	edit := (&Edit{Tenants: d.Tenants}).WithoutSource()
	if edit.Tenants[0].Source != nil {
		t.Errorf("WithoutSource of an edit: got %+v, want no source", edit.Tenants)
	}
	for _, key := range []string{"", " ", "a b", "a\x00", "ä", strings.Repeat("k", maxKeyBytes+1)} {
		if bad := CheckKey(key); bad == nil || (key != "" && key != " " && strings.Contains(bad.Error(), key)) {
			t.Errorf("CheckKey of %d bytes: got %v, want a fault that does not contain the key", len(key), bad)
		}
	}
}
