package scheduling

import (
	"maps"
	"math"
	"slices"
)

// RetryBudgetStatus is this gateway's share of the retry budget of one service over the current window: the calls received, the
// retries sent, the maximum number of retries, and the number of gateways by which the slack is divided.
type RetryBudgetStatus struct {
	Service    string `json:"service"`
	Calls      int    `json:"calls"`
	Retries    int    `json:"spent"`
	MaxRetries int    `json:"most"`
	Gateways   int    `json:"desks"`
}

// retryBudgetStatuses returns the status of every service with a retry budget, sorted by service.
func (d *Decider) retryBudgetStatuses() []RetryBudgetStatus {
	statuses := []RetryBudgetStatus{}
	if d.budgets.opts.WindowUs == 0 || d.snapshot == nil {
		return statuses
	}
	for _, service := range slices.Sorted(maps.Keys(d.budgets.byService)) {
		calls, retriesSent, maxRetries := d.budgets.forService(service, d.nowUs).totals(d.budgets.opts, d.snapshot.Gateways)
		statuses = append(statuses, RetryBudgetStatus{service, calls, retriesSent, int(math.Floor(maxRetries)),
			max(d.snapshot.Gateways, minGateways)})
	}
	return statuses
}
