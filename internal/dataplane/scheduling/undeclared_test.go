package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
)

// Clients may name any number of models and adapters that nobody has declared: the names that are counted and reported are bounded, and
// declared ones are counted all the same.
func TestNamesOfUndeclaredUnitsAreBounded(t *testing.T) {
	doc := &configuration.Declaration{Services: []configuration.Service{
		{Name: "log"}, {Name: "cards", Engine: &configuration.Engine{Models: []configuration.EngineModel{{Name: "m1", Adapters: 2}}}},
	}}
	d := New(Options{})
	d.snapshot = &Snapshot{Declaration: doc}
	const calls = 10_000
	for n := range calls {
		for _, c := range []*Call{
			{Model: fmt.Sprint("x", n)}, {Model: "m1", Adapter: fmt.Sprint("x", n)}, {Model: "m1", Adapter: "a2"},
		} {
			c.Routed = &RoutedCall{PromptTokens: 1}
			d.arrivals.add(c, d.declares(c))
		}
	}
	counted := d.arrivals.calls[d.arrivals.slot]
	if most := 2*maxUndeclaredCalls + 2; len(counted) > most {
		t.Errorf("names counted in one slot: got %d, want at most %d", len(counted), most)
	}
	if counted["m1/a2"] != calls || counted["m1"] < calls {
		t.Errorf("calls counted for m1 and m1/a2: got %d and %d, want %d at least and %d", counted["m1"], counted["m1/a2"], calls, calls)
	}
}
