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
	statuses := []RetryBudgetStatus{}
	if d.budgets.opts.WindowUs == 0 || d.snapshot == nil {
		return statuses
	}
	for _, service := range slices.Sorted(maps.Keys(d.budgets.byService)) {
		calls, retriesSent, maxRetries := d.budgets.forService(service, d.nowUs).totals(d.budgets.opts, d.snapshot.Gateways)
		statuses = append(statuses, RetryBudgetStatus{service, calls, retriesSent, int(math.Floor(maxRetries)), max(d.snapshot.Gateways, minGateways)})
	}
	return statuses
}
