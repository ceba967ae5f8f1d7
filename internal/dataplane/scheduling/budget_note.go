package scheduling

import (
	"maps"
	"math"
	"slices"
)

// BudgetNote is this gateway's part of the further tries for one service, over the window up to now: calls
// taken, further attempts sent, how many may be sent in all, and by how many gateways the slack is divided.
type BudgetNote struct {
	Service  string `json:"service"`
	Calls    int    `json:"calls"`
	Spent    int    `json:"spent"`
	Most     int    `json:"most"`
	Gateways int    `json:"desks"`
}

func (d *Decider) budgetNotes() []BudgetNote {
	notes := []BudgetNote{}
	if d.opts.Budget.WindowUs == 0 || d.snap == nil {
		return notes
	}
	for _, service := range slices.Sorted(maps.Keys(d.budgets)) {
		calls, spent, most := d.budgetOf(service).sums(d.opts.Budget, d.snap.Gateways)
		notes = append(notes, BudgetNote{service, calls, spent, int(math.Floor(most)), max(d.snap.Gateways, gatewaysLeast)})
	}
	return notes
}
