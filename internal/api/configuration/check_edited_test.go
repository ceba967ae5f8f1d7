package configuration

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// editor generates random edits of a declaration. Many of them are invalid, in the fields of an item or in the references
// and conflicts between items.
type editor struct{ r *rand.Rand }

func (e editor) one(of ...string) string { return of[e.r.Intn(len(of))] }

func (e editor) route() Route {
	r := Route{
		Name: fmt.Sprint("r", e.r.Intn(9)), Host: e.one("h", "H", "g"), Prefix: e.one("/", "/a/", "/b/", "/c/", "/d/"), RetryClass: Streaming,
		TimeoutMs: 1000, MaxAttempts: 1, Split: []WeightedService{{Service: fmt.Sprint("s", e.r.Intn(4)), Weight: 1}},
	}
	switch e.r.Intn(12) {
	case 0:
		r.TimeoutMs = 0
	case 1:
		r.Prefix = "a"
	case 2:
		r.Split[0].Weight = 0
	case 3:
		r.Name = ""
	case 4:
		r.Split = append(r.Split, WeightedService{Weight: 1})
	}
	return r
}

func (e editor) service() Service {
	s := Service{Name: fmt.Sprint("s", e.r.Intn(4))}
	if e.r.Intn(2) == 0 {
		s.Engine = &Engine{Slots: e.r.Intn(3), CacheTokens: 1, CapacityMB: 100, LoadsPerSecond: 1, Models: []EngineModel{{Name: "m", SizeMB: int64(e.r.Intn(110)), LoadMs: 100}}}
	}
	return s
}

func (e editor) edit(version uint64) *Edit {
	edit := &Edit{Version: version}
	for range e.r.Intn(3) {
		edit.Routes = append(edit.Routes, e.route())
	}
	for range e.r.Intn(2) {
		edit.Services = append(edit.Services, e.service())
	}
	if e.r.Intn(4) == 0 {
		edit.RemoveRoutes = []string{fmt.Sprint("r", e.r.Intn(9))}
	}
	if e.r.Intn(8) == 0 {
		edit.RemoveServices = []string{fmt.Sprint("s", e.r.Intn(4))}
	}
	if e.r.Intn(4) == 0 {
		edit.Limits = &Limits{IdleTimeoutMs: int64(e.r.Intn(4) - 1)}
	}
	return edit
}

// For random edits of a valid declaration, CheckEdited must return the same faults as the complete check.
func TestCheckEditedEqualsCheckRoutesForEditsOfValidDeclaration(t *testing.T) {
	valid, refused := 0, 0
	for seed := int64(1); seed <= 200; seed++ {
		e := editor{rand.New(rand.NewSource(seed))}
		doc := &Declaration{Version: 1, Services: []Service{{Name: "s0"}, {Name: "s1"}}, Routes: []Route{{
			Name: "r0", Host: "h", Prefix: "/", RetryClass: Streaming, TimeoutMs: 1000, MaxAttempts: 1, Split: []WeightedService{{Service: "s0", Weight: 1}},
		}}}
		if bad := doc.CheckRoutes(); bad != nil {
			t.Fatal(bad)
		}
		for version := uint64(2); version < 60; version++ {
			edit := e.edit(version)
			next, bad := doc.Apply(edit)
			if bad != nil {
				continue
			}
			whole := next.CheckRoutes()
			if diff := cmp.Diff(whole, next.CheckEdited(edit)); diff != "" {
				t.Fatalf("seed %d, version %d: CheckEdited differs from CheckRoutes (-CheckRoutes +CheckEdited):\n%s", seed, version, diff)
			}
			if whole != nil {
				refused++
				continue
			}
			valid++
			doc = next
		}
	}
	if valid < 1000 || refused < 1000 {
		t.Fatalf("too few samples: got %d valid and %d invalid edits, want at least 1000 of each", valid, refused)
	}
}

// CheckEdited must validate the fields of the edited items only: validating those of 400 routes for each of 224 edits took
// a restarted control node more than 100 ms.
func TestCheckEditedAllocationsDoNotGrowWithUneditedRoutes(t *testing.T) {
	allocations := func(routes int) float64 {
		doc := &Declaration{Version: 1, Services: []Service{{Name: "s0"}}}
		for i := range routes {
			doc.Routes = append(doc.Routes, Route{
				Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), RetryClass: Streaming, TimeoutMs: 1000, MaxAttempts: 1,
				Split: []WeightedService{{Service: "s0", Weight: 1}},
			})
		}
		edit := &Edit{Version: 2, Routes: doc.Routes[:1]}
		return testing.AllocsPerRun(10, func() {
			if bad := doc.CheckEdited(edit); bad != nil {
				t.Fatal(bad)
			}
		})
	}
	if few, many := allocations(10), allocations(400); many > few+20 {
		t.Errorf("CheckEdited: got %.0f allocations with 400 routes, want at most 20 more than the %.0f with 10", many, few)
	}
}
