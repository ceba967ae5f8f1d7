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

// versionTenant is a tenant with the operator's own text of it, as it is to be read back.
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

// A configuration whose tenants are invalid, that names an old version or lost its race leaves the tenants as they are,
// however it comes and however often.
func TestRefusedTenantsAreNeverInForce(t *testing.T) {
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
		"whole, two tenants share a key":            {versionChange(5, 8, tenantsDoc(8, one, versionTenant("two", "k3", "k1")), nil), fault.InvalidConfig},
		"whole, a tenant is named twice":            {versionChange(5, 8, tenantsDoc(8, one, versionTenant("one", "k9")), nil), fault.InvalidConfig},
		"whole, a rate below 0":                     {versionChange(5, 8, tenantsDoc(8, negative, two), nil), fault.InvalidConfig},
		"whole, under the number in force":          {versionChange(5, 5, tenantsDoc(5, two), nil), fault.InvalidConfig},
		"whole, under an older number":              {versionChange(5, 4, tenantsDoc(4, two), nil), fault.InvalidConfig},
		"whole, on top of another version":          {versionChange(3, 8, tenantsDoc(8, two), nil), fault.StaleBase},
		"edit, a key that another tenant holds":     {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("two", "k2"))), fault.InvalidConfig},
		"edit, two new tenants share a key":         {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("x", "k9"), versionTenant("y", "k9"))), fault.InvalidConfig},
		"edit, a tenant is named twice":             {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("x", "k8"), versionTenant("x", "k9"))), fault.InvalidConfig},
		"edit, a tenant without a name":             {versionChange(5, 8, nil, tenantsEdit(8, versionTenant("", "k9"))), fault.InvalidConfig},
		"edit, under the number in force":           {versionChange(5, 5, nil, tenantsEdit(5, versionTenant("one"))), fault.InvalidConfig},
		"edit, under an older number":               {versionChange(5, 2, nil, tenantsEdit(2, versionTenant("one"))), fault.InvalidConfig},
		"edit, on top of another version":           {versionChange(4, 8, nil, tenantsEdit(8, versionTenant("one"))), fault.StaleBase},
		"edit, a sound tenant beside a wrong route": {versionChange(5, 8, nil, &configuration.Edit{Version: 8, Tenants: []configuration.Tenant{versionTenant("one")}, Routes: []configuration.Route{versionRoute("b", 1, "none")}}), fault.InvalidConfig},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				out := s.Apply(s.Index+1, c.change)
				if out.Fault == nil || out.Fault.Code != c.code {
					t.Errorf("%v, want %s", out.Fault, c.code)
				}
				decoded, err := Decode(s.Encode())
				if err != nil {
					t.Fatal(err)
				}
				for _, s := range []*State{s, decoded} {
					if diff := cmp.Diff([]configuration.Tenant{one, two}, s.Doc.Tenants); diff != "" || s.Version() != 5 || s.Revision != 1 {
						t.Errorf("version %d, revision %d: %s", s.Version(), s.Revision, diff)
					}
				}
			}
		})
	}
}

// Any changes of tenants lead to what their operators mean, are refused where two tenants would share a key, and are the
// same for a state that was read back and for a gateway that has only the edits, without any key.
func TestSeededChangesOfTenantsFoldSurviveAndShareNoKey(t *testing.T) {
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
				t.Fatalf("seed %d: a state that was read back judges otherwise: %s", seed, diff)
			}
			if (out.Fault != nil) != shared {
				t.Fatalf("seed %d: %v, two tenants share a key: %v in %v", seed, out.Fault, shared, want)
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
					t.Fatalf("seed %d, version %d: %s", seed, s.Version(), diff)
				}
				doc := s.Doc.Indexed()
				for _, key := range keys {
					holder := ""
					if tenant := doc.TenantOfKey(key); tenant != nil {
						holder = tenant.Name
					}
					if holder != tenantWithKey(keysByTenant, key) {
						t.Fatalf("seed %d, version %d: %s is held by %q, want %q", seed, s.Version(), key, holder, tenantWithKey(keysByTenant, key))
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
						t.Fatalf("seed %d: a key goes to gateways: %s", seed, raw)
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
					t.Fatalf("seed %d: the edits since revision %d lead elsewhere: %s", seed, from, diff)
				}
			}
		}
	}
	t.Logf("%d taken, %d refused, %d folds of %d tenants", applied, refused, folds, editedTenants)
	if applied < 300 || refused < 100 || folds < 500 {
		t.Errorf("%d taken, %d refused, %d folds: it proves little", applied, refused, folds)
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

// The outcome of a change of tenants names no key, so that no answer, log line or snapshot repeats one.
func TestRefusalsOfTenantsNameNoKey(t *testing.T) {
	s := NewState()
	s.Apply(1, versionChange(0, 1, tenantsDoc(1, versionTenant("one", "secret-1")), nil))
	out := s.Apply(2, versionChange(1, 2, nil, tenantsEdit(2, versionTenant("two", "secret-1"))))
	if out.Fault == nil {
		t.Fatal("a shared key was taken")
	}
	if text := fmt.Sprint(out.Fault, out); strings.Contains(text, "secret") || strings.Contains(text, configuration.KeyDigest("secret-1")) {
		t.Errorf("%s", text)
	}
}
