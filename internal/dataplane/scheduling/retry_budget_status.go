package scheduling

import (
	"maps"
	"math"
	"slices"
)

// RetryBudgetStatus is this gateway's part of the further tries for one service, over the window up to now: calls
// taken, further attempts sent, how many may be sent in all, and by how many gateways the slack is divided.
type RetryBudgetStatus struct {
	Service    string `json:"service"`
	Calls      int    `json:"calls"`
	Retries    int    `json:"spent"`
	MaxRetries int    `json:"most"`
	Gateways   int    `json:"desks"`
}

func (d *Decider) retryBudgetStatuses() []RetryBudgetStatus {
	notes := []RetryBudgetStatus{}
	if d.budgets.opts.WindowUs == 0 || d.snapshot == nil {
		return notes
	}
	for _, service := range slices.Sorted(maps.Keys(d.budgets.byService)) {
		calls, spent, most := d.budgets.of(service, d.nowUs).totals(d.budgets.opts, d.snapshot.Gateways)
		notes = append(notes, RetryBudgetStatus{service, calls, spent, int(math.Floor(most)), max(d.snapshot.Gateways, minGateways)})
	}
	return notes
}
