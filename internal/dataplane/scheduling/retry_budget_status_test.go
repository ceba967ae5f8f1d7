package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

// The status must show what the budget enforces: the calls of this test use it up, so that retries sent equal the maximum.
func TestRetryBudgetStatusMatchesEnforcedBudget(t *testing.T) {
	doc := routedDeclaration(routeSpec{"many", configuration.Idempotent, 9, onlyService("s"), false})
	for _, c := range []struct{ gateways, divisor int }{{1, 3}, {3, 3}, {5, 5}} {
		h := newHarness(Options{RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 30, WindowUs: 10 * clock.Sec}}, newRoutedSnapshot(doc, c.gateways, replicaUpdates("s", "r1", "r2", "r3")...))
		if statuses := h.d.Status().Budgets; len(statuses) != 0 {
			t.Errorf("budgets before any call: got %+v, want none", statuses)
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
		statuses := h.d.Status().Budgets
		maxRetries := int(0.8*0.2*20 + 0.8*30/float64(c.divisor))
		if len(statuses) != 1 || statuses[0] != (RetryBudgetStatus{"s", 20, maxRetries, maxRetries, c.divisor}) {
			t.Errorf("budgets with %d gateways: got %+v, want one with %d of %d retries sent", c.gateways, statuses, maxRetries, maxRetries)
		}
		h.advance(21 * clock.Sec)
		if statuses = h.d.Status().Budgets; statuses[0].Calls != 0 || statuses[0].Retries != 0 {
			t.Errorf("budgets after the window: got %+v, want no calls and no retries", statuses)
		}
	}
	h := newHarness(Options{}, newRoutedSnapshot(doc, 1, replicaUpdates("s", "r1")...))
	h.sendCall("c", "many", "")
	if n := h.d.Status(); len(n.Budgets) != 0 || n.InFlight["r1"] != 1 {
		t.Errorf("status without a retry budget: got %+v, want no budgets and 1 attempt in flight at r1", n)
	}
}
