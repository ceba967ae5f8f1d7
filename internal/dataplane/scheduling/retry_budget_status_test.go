package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

// What the note says is what may be sent: never more, and no less where calls ask for it.
func TestRetryBudgetStatusMatchesEnforcedBudget(t *testing.T) {
	doc := routedDeclaration(routeSpec{"many", configuration.Idempotent, 9, onlyService("s"), false})
	for _, c := range []struct{ gateways, share int }{{1, 3}, {3, 3}, {5, 5}} {
		h := newHarness(Options{RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 30, WindowUs: 10 * clock.Sec}}, newRoutedSnapshot(doc, c.gateways, replicaUpdates("s", "r1", "r2", "r3")...))
		if notes := h.d.Status().Budgets; len(notes) != 0 {
			t.Errorf("before any call: %+v", notes)
		}
		for i := range 20 {
			id := fmt.Sprint("c", i)
			h.sendCall(id, "many", "")
			for range 4 {
				if h.final[id] == nil {
					h.endAttempt(id, OutcomeBroken)
				}
			}
		}
		notes := h.d.Status().Budgets
		most := int(0.8*0.2*20 + 0.8*30/float64(c.share))
		if len(notes) != 1 || notes[0] != (RetryBudgetStatus{"s", 20, most, most, c.share}) {
			t.Errorf("%d gateways: %+v, want %d of %d", c.gateways, notes, most, most)
		}
		h.advance(21 * clock.Sec)
		if notes = h.d.Status().Budgets; notes[0].Calls != 0 || notes[0].Retries != 0 {
			t.Errorf("after the window: %+v", notes)
		}
	}
	h := newHarness(Options{}, newRoutedSnapshot(doc, 1, replicaUpdates("s", "r1")...))
	h.sendCall("c", "many", "")
	if n := h.d.Status(); len(n.Budgets) != 0 || n.InFlight["r1"] != 1 {
		t.Errorf("%+v", n)
	}
}
