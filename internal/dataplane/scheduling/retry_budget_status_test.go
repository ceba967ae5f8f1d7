package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

// What the note says is what may be sent: never more, and no less where calls ask for it.
func TestTheNoteOfFurtherTriesIsWhatHolds(t *testing.T) {
	doc := declaration(declared{"many", configuration.Idempotent, 9, one("s"), false})
	for _, c := range []struct{ gateways, share int }{{1, 3}, {3, 3}, {5, 5}} {
		k := newHarness(Options{RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 30, WindowUs: 10 * clock.Sec}}, stands(doc, c.gateways, at("s", "r1", "r2", "r3")...))
		if notes := k.d.Status().Budgets; len(notes) != 0 {
			t.Errorf("before any call: %+v", notes)
		}
		for i := range 20 {
			id := fmt.Sprint("c", i)
			k.call(id, "many", "")
			for range 4 {
				if k.final[id] == nil {
					k.end(id, OutcomeBroken)
				}
			}
		}
		notes := k.d.Status().Budgets
		most := int(0.8*0.2*20 + 0.8*30/float64(c.share))
		if len(notes) != 1 || notes[0] != (RetryBudgetStatus{"s", 20, most, most, c.share}) {
			t.Errorf("%d gateways: %+v, want %d of %d", c.gateways, notes, most, most)
		}
		k.after(21 * clock.Sec)
		if notes = k.d.Status().Budgets; notes[0].Calls != 0 || notes[0].Retries != 0 {
			t.Errorf("after the window: %+v", notes)
		}
	}
	k := newHarness(Options{}, stands(doc, 1, at("s", "r1")...))
	k.call("c", "many", "")
	if n := k.d.Status(); len(n.Budgets) != 0 || n.InFlight["r1"] != 1 {
		t.Errorf("%+v", n)
	}
}
