package statemachine

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// versionTenant returns a tenant whose Source is its JSON as the operator submitted it, including the keys.
func versionTenant(name string, keys ...string) configuration.Tenant {
	source, err := json.Marshal(map[string]any{"name": name, "keys": keys})
	if err != nil {
		panic(err)
	}
	t := configuration.Tenant{Name: name, RatePerSecond: float64(len(keys)), Source: source}
	for _, key := range keys {
		t.KeyDigests = append(t.KeyDigests, configuration.KeyDigest(key))
	}
	return t
}

func tenantsDoc(version uint64, tenants ...configuration.Tenant) *configuration.Declaration {
	doc := versionDoc(version, versionRoute("a", 100, "s"))
	doc.Tenants, doc.RequireKeys = tenants, true
	return doc
}

func tenantsEdit(version uint64, tenants ...configuration.Tenant) *configuration.Edit {
	return &configuration.Edit{Version: version, Tenants: tenants}
}

// A refused configuration leaves the tenants in force unchanged, whether its tenants are invalid, its number is old or its
// base is stale, for complete declarations and for edits, and also when it is resent.
func TestRefusedConfigurationLeavesTenantsUnchanged(t *testing.T) {
	one, two := versionTenant("one", "k1", "k2"), versionTenant("two", "k3")
	negative := versionTenant("one", "k1")
	negative.RatePerSecond = -1
	s := NewState()
	if out := s.Apply(1, versionChange(0, 5, tenantsDoc(5, one, two), nil)); out.Fault != nil {
		t.Fatal(out.Fault)
	}
	for name, c := range map[string]struct {
		change Change
		code   fault.Code
	}{
		"declaration, two tenants share a key": {versionChange(5, 8, tenantsDoc(8, one, versionTenant("two", "k3", "k1")), nil), fault.InvalidConfig},
		"declaration, duplicate tenant name":   {versionChange(5, 8, tenantsDoc(8, one, versionTenant("one", "k9")), nil), fault.InvalidConfig},
		"declaration, negative rate":           {versionChange(5, 8, tenantsDoc(8, negative, two), nil), fault.InvalidConfig},
		"declaration, number in force":         {versionChange(5, 5, tenantsDoc(5, two), nil), fault.InvalidConfig},
		"declaration, older number":            {versionChange(5, 4, tenantsDoc(4, two), nil), fault.InvalidConfig},
		"declaration, stale base":              {versionChange(3, 8, tenantsDoc(8, two), nil), fault.StaleBase},
		"edit, key of another tenant":          {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("two", "k2"))), fault.InvalidConfig},
		"edit, two new tenants share a key":    {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("x", "k9"), versionTenant("y", "k9"))), fault.InvalidConfig},
		"edit, duplicate tenant name":          {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("x", "k8"), versionTenant("x", "k9"))), fault.InvalidConfig},
		"edit, tenant without a name":          {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("", "k9"))), fault.InvalidConfig},
		"edit, number in force":                {versionChange(5, 5, nil, tenantsEdit(5, versionTenant("one"))), fault.InvalidConfig},
		"edit, older number":                   {versionChange(5, 2, nil, tenantsEdit(2, versionTenant("one"))), fault.InvalidConfig},
		"edit, stale base":                     {versionChange(4, 8, nil, tenantsEdit(8, versionTenant("one"))), fault.StaleBase},
		"edit, valid tenant and invalid route": {versionChange(5, 8, nil, &configuration.Edit{Version: 8, Tenants: []configuration.Tenant{versionTenant("one")}, Routes: []configuration.Route{versionRoute("b", 1, "none")}}), fault.InvalidConfig},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				out := s.Apply(s.Index+1, c.change)
				if out.Fault == nil || out.Fault.Code != c.code {
					t.Errorf("got fault %v, want code %s", out.Fault, c.code)
				}
				decoded, err := Decode(s.Encode())
				if err != nil {
					t.Fatal(err)
				}
				for _, s := range []*State{s, decoded} {
					if diff := cmp.Diff([]configuration.Tenant{one, two}, s.Doc.Tenants); diff != "" || s.Version() != 5 || s.Revision != 1 {
						t.Errorf("after the refusal: got version %d, revision %d, want version 5, revision 1; tenants (-want +got):\n%s",
							s.Version(), s.Revision, diff)
					}
				}
			}
		})
	}
}

// Random changes of tenants check four properties:
//  1. An applied change leads to the tenants and keys that it describes.
//  2. A change is refused exactly where two tenants would share a key.
//  3. A decoded state gives the same result.
//  4. A gateway that applies only the edits gets the same tenants, and no edit sent to gateways contains a key.
func TestSeededTenantChangesSurviveEditsAndDecodingAndShareNoKey(t *testing.T) {
	ignored := cmp.Options{cmpopts.IgnoreFields(configuration.Declaration{}, "Index"), cmpopts.EquateEmpty()}
	names, keys := []string{"t1", "t2", "t3", "t4", "t5"}, []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"}
	applied, refused, editedTenants, folds := 0, 0, 0, 0
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		s := NewState()
		s.Apply(1, versionChange(0, 1, tenantsDoc(1), nil))
		keysByTenant := map[string][]string{}
		docByRevision := map[uint64]*configuration.Declaration{}
		for range 60 {
			want := maps.Clone(keysByTenant)
			edit := &configuration.Edit{Version: s.Version() + 1 + uint64(r.Intn(3))}
			for _, at := range r.Perm(len(names))[:1+r.Intn(2)] {
				switch name := names[at]; r.Intn(4) {
				case 0:
					delete(want, name)
					edit.RemoveTenants = append(edit.RemoveTenants, name)
				default:
					want[name] = nil
					for _, k := range r.Perm(len(keys))[:r.Intn(3)] {
						want[name] = append(want[name], keys[k])
					}
					edit.Tenants = append(edit.Tenants, versionTenant(name, want[name]...))
				}
			}
			change := versionChange(s.Version(), edit.Version, nil, edit)
			if r.Intn(6) == 0 {
				whole := tenantsDoc(edit.Version)
				for _, name := range slices.Sorted(maps.Keys(want)) {
					whole.Tenants = append(whole.Tenants, versionTenant(name, want[name]...))
				}
				change = versionChange(s.Version(), edit.Version, whole, nil)
			}
			holders, shared := map[string]string{}, false
			for name, all := range want {
				for _, key := range all {
					shared = shared || holders[key] != ""
					holders[key] = name
				}
			}
			decoded, err := Decode(s.Encode())
			if err != nil {
				t.Fatal(err)
			}
			out, other := s.Apply(s.Index+1, change), decoded.Apply(s.Index, change)
			if diff := cmp.Diff(out, other); diff != "" {
				t.Fatalf("seed %d: outcomes of the state and of the decoded state differ (-state +decoded):\n%s", seed, diff)
			}
			if (out.Fault != nil) != shared {
				t.Fatalf("seed %d: got fault %v, want a refusal: %v, for keys %v", seed, out.Fault, shared, want)
			}
			if shared {
				refused++
			} else {
				applied++
				keysByTenant = want
			}
			decoded, err = Decode(s.Encode())
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range []*State{s, decoded} {
				got := map[string][]string{}
				for _, tenant := range s.Doc.Tenants {
					source := struct{ Keys []string }{}
					if err := json.Unmarshal(tenant.Source, &source); err != nil {
						t.Fatal(err)
					}
					got[tenant.Name] = source.Keys
				}
				if diff := cmp.Diff(keysByTenant, got, ignored...); diff != "" {
					t.Fatalf("seed %d, version %d: keys by tenant (-want +got):\n%s", seed, s.Version(), diff)
				}
				doc := s.Doc.Indexed()
				for _, key := range keys {
					holder := ""
					if tenant := doc.TenantOfKey(key); tenant != nil {
						holder = tenant.Name
					}
					if holder != tenantWithKey(keysByTenant, key) {
						t.Fatalf("seed %d, version %d: tenant of key %s: got %q, want %q",
							seed, s.Version(), key, holder, tenantWithKey(keysByTenant, key))
					}
				}
			}
			docByRevision[s.Revision] = s.Doc.WithoutSource()
			for from, doc := range docByRevision {
				edits, ok := s.EditsSince(from)
				if !ok || (from+s.Revision)%4 > 0 {
					continue
				}
				for _, e := range edits {
					bare := e.WithoutSource()
					if raw, _ := json.Marshal(bare); slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(string(raw), `"`+key+`"`) }) {
						t.Fatalf("seed %d: edit for gateways contains a key: %s", seed, raw)
					}
					next, invalid := doc.Apply(bare)
					if invalid != nil {
						t.Fatal(invalid)
					}
					editedTenants += len(bare.Tenants)
					doc = next
				}
				folds++
				if diff := cmp.Diff(s.Doc.WithoutSource(), doc, ignored...); diff != "" {
					t.Fatalf("seed %d: edits since revision %d do not lead to the declaration in force (-in force +edited):\n%s",
						seed, from, diff)
				}
			}
		}
	}
	t.Logf("%d changes applied, %d refused, %d edit sequences with %d tenants checked", applied, refused, folds, editedTenants)
	if applied < 300 || refused < 100 || folds < 500 {
		t.Errorf("got %d changes applied, %d refused, %d edit sequences checked; want at least 300, 100, 500", applied, refused, folds)
	}
}

func tenantWithKey(keysByTenant map[string][]string, key string) string {
	for name, keys := range keysByTenant {
		if slices.Contains(keys, key) {
			return name
		}
	}
	return ""
}

// The outcome of a change of tenants contains no key, so no response, log line or snapshot of it discloses one.
func TestTenantRefusalContainsNoKey(t *testing.T) {
	s := NewState()
	s.Apply(1, versionChange(0, 1, tenantsDoc(1, versionTenant("one", "secret-1")), nil))
	out := s.Apply(2, versionChange(1, 2, nil, tenantsEdit(2, versionTenant("two", "secret-1"))))
	if out.Fault == nil {
		t.Fatal("edit with a key of another tenant: got no fault, want a refusal")
	}
	if text := fmt.Sprint(out.Fault, out); strings.Contains(text, "secret") || strings.Contains(text, configuration.KeyDigest("secret-1")) {
		t.Errorf("outcome contains a key or its digest: %s", text)
	}
}
