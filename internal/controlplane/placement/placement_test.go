package placement

import (
	"testing"

	"petreltide/internal/api/configuration"
)

// Regression test for seed 58: the bucket refilled while a load command was still in flight, so that the store received
// the burst and that load at once.
func TestUnconfirmedLoadsReduceBurst(t *testing.T) {
	store := configuration.Store{MBPerSecond: 1000, BurstMB: 2000}
	b := Bucket{}
	b.Fill(1, store, 0)
	if b.TokensMb != 0 {
		t.Fatalf("tokens of a new bucket: got %f, want 0", b.TokensMb)
	}
	b.Fill(10_000_000, store, 0)
	if b.TokensMb != 2000 {
		t.Fatalf("tokens after ten seconds: got %f, want the burst size 2000", b.TokensMb)
	}
	b.Spend(1500)
	b.Fill(60_000_000, store, 1500)
	if b.TokensMb != 500 {
		t.Fatalf("tokens with 1500 MB unconfirmed: got %f, want 500", b.TokensMb)
	}
	b.Fill(61_000_000, store, 0)
	if b.TokensMb <= 500 || b.TokensMb > 1500 {
		t.Fatalf("tokens one second after the load was confirmed: got %f, want more than 500 and at most 1500", b.TokensMb)
	}
	b.Reset()
	b.Fill(70_000_000, store, 0)
	if b.TokensMb != 0 {
		t.Fatalf("tokens after Reset: got %f, want 0", b.TokensMb)
	}
}

func TestPolicyCannotChangeItsInput(t *testing.T) {
	fleet := Fleet{Doc: &configuration.Declaration{Models: []configuration.Model{{Name: "m"}}}}
	a := Run(configuration.Policy{Name: "p", Source: "def propose(fleet):\n  fleet['models']['m']['rate'] = 9\n  return []"}, fleet)
	if a.Fault == nil {
		t.Fatal("policy that modifies its input: got no fault, want one")
	}
	policy := configuration.Policy{Name: "p", Source: "def propose(fleet):\n  return [{'step': 'load', 'replica': r, 'unit': m} for r in ['x', 'y'] for m in fleet['models']]"}
	if a, b := Run(policy, fleet), Run(policy, fleet); len(a.Proposals) != 2 || a.Proposals[1] != b.Proposals[1] || a.Steps != b.Steps {
		t.Fatalf("two runs of one policy: got %+v in %d steps and %+v in %d steps, want the same 2 proposals and steps",
			a.Proposals, a.Steps, b.Proposals, b.Steps)
	}
}
