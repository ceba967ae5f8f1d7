package scheduling

import "petreltide/internal/process/clock"

// RetryBudgetOptions bound the further tries of all gateways together: Ratio of the calls for a service plus
// Slack, in every span of WindowUs. A gateway holds to its share of the slack by the number of gateways it
// was last told, so the sum holds also while nobody hands out shares.
type RetryBudgetOptions struct {
	Ratio    float64
	Slack    float64
	WindowUs int64
}

const (
	// retryBudgetMargin is the fraction of the budget that gateways use; the rest is kept as a margin.
	retryBudgetMargin = 0.8
	// retryBudgetSlots is the number of slots of one window.
	retryBudgetSlots = 20
	// minGateways is the number of gateways by which the slack is divided at the least.
	minGateways = 3
)

// retryBudget counts one service's calls and further attempts over the last window, in slots.
type retryBudget struct {
	calls       [retryBudgetSlots]int
	retries     [retryBudgetSlots]int
	slotStartUs int64
	slot        int
}

func (b *retryBudget) advance(nowUs, spanUs int64) {
	if b.slotStartUs == 0 {
		b.slotStartUs = nowUs
	}
	for n := 0; nowUs-b.slotStartUs >= spanUs && n <= retryBudgetSlots; n++ {
		b.slotStartUs += spanUs
		b.slot = (b.slot + 1) % retryBudgetSlots
		b.calls[b.slot], b.retries[b.slot] = 0, 0
	}
	if nowUs-b.slotStartUs >= spanUs {
		b.slotStartUs = nowUs
	}
}

// retryBudgets holds one budget for each service.
type retryBudgets struct {
	opts      RetryBudgetOptions
	byService map[string]*retryBudget
}

func newRetryBudgets(opts RetryBudgetOptions) *retryBudgets {
	return &retryBudgets{opts: opts, byService: map[string]*retryBudget{}}
}

// of is a service's budget at nowUs.
func (r *retryBudgets) forService(service string, nowUs int64) *retryBudget {
	b := r.byService[service]
	if b == nil {
		b = &retryBudget{}
		r.byService[service] = b
	}
	windowUs := r.opts.WindowUs
	if windowUs == 0 {
		windowUs = 10 * clock.Sec
	}
	b.advance(nowUs, windowUs/(retryBudgetSlots-1))
	return b
}

// totals are calls and further attempts over the window, and how many further attempts it allows in all.
func (b *retryBudget) totals(opts RetryBudgetOptions, gateways int) (calls, retriesSent int, maxRetries float64) {
	for i := range b.calls {
		calls += b.calls[i]
		retriesSent += b.retries[i]
	}
	share := retryBudgetMargin * opts.Slack / float64(max(gateways, minGateways))
	return calls, retriesSent, retryBudgetMargin*opts.Ratio*float64(calls) + share
}

// spendRetry says whether one more attempt beyond a call's first may go to a service now, and counts it.
func (d *Decider) spendRetry(service string) bool {
	if d.budgets.opts.WindowUs == 0 {
		return true
	}
	b := d.budgets.forService(service, d.nowUs)
	if _, retriesSent, maxRetries := b.totals(d.budgets.opts, d.snapshot.Gateways); float64(retriesSent+1) > maxRetries {
		return false
	}
	b.retries[b.slot]++
	return true
}
