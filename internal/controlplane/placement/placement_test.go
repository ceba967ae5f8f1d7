package placement

import (
	"testing"

	"petreltide/internal/api/configuration"
)

// Seed 58: the bucket refilled while an order was still on its way, and the store saw both at once.
func TestUnconfirmedLoadsReduceBurst(t *testing.T) {
	store := configuration.Store{MBPerSecond: 1000, BurstMB: 2000}
	b := Bucket{}
	b.Fill(1, store, 0)
	if b.TokensMb != 0 {
		t.Fatal("a bucket starts full")
	}
	b.Fill(10_000_000, store, 0)
	if b.TokensMb != 2000 {
		t.Fatalf("%f", b.TokensMb)
	}
	b.Spend(1500)
	b.Fill(60_000_000, store, 1500)
	if b.TokensMb != 500 {
		t.Fatalf("%f tokens while 1500 MB may still arrive", b.TokensMb)
	}
	b.Fill(61_000_000, store, 0)
	if b.TokensMb <= 500 || b.TokensMb > 1500 {
		t.Fatalf("%f a second after it was confirmed", b.TokensMb)
	}
	b.Reset()
	b.Fill(70_000_000, store, 0)
	if b.TokensMb != 0 {
		t.Fatal("a takeover inherits tokens")
	}
}

func TestPolicyCannotChangeItsInput(t *testing.T) {
	fleet := Fleet{Doc: &configuration.Declaration{Models: []configuration.Model{{Name: "m"}}}}
	a := Run(configuration.Policy{Name: "p", Source: "def propose(fleet):\n  fleet['models']['m']['rate'] = 9\n  return []"}, fleet)
	if a.Fault == nil {
		t.Fatal("a policy wrote into the fleet's state")
	}
	policy := configuration.Policy{Name: "p", Source: "def propose(fleet):\n  return [{'step': 'load', 'replica': r, 'unit': m} for r in ['x', 'y'] for m in fleet['models']]"}
	if a, b := Run(policy, fleet), Run(policy, fleet); len(a.Proposals) != 2 || a.Proposals[1] != b.Proposals[1] || a.Steps != b.Steps {
		t.Fatal("two runs differ")
	}
}
