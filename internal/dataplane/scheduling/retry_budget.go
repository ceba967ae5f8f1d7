package scheduling

import "petreltide/internal/process/clock"

// RetryBudgetOptions bound the retries of all gateways together: in every window of WindowUs, at most Ratio times the calls for
// a service plus Slack. Each gateway limits itself to its share of the slack, divided by the number of gateways in its last
// snapshot, so that the bound also holds while no control node assigns shares.
type RetryBudgetOptions struct {
	Ratio    float64
	Slack    float64
	WindowUs int64
}

const (
	// retryBudgetMargin is the fraction of the budget that gateways use; the rest is a safety margin.
	retryBudgetMargin = 0.8
	// retryBudgetSlots is the number of slots in the ring that covers a window.
	retryBudgetSlots = 20
	// minGateways is the minimum number of gateways by which the slack is divided.
	minGateways = 3
)

// retryBudget counts the calls and retries of one service over the last window, in a ring of slots.
type retryBudget struct {
	calls       [retryBudgetSlots]int
	retries     [retryBudgetSlots]int
	slotStartUs int64
	slot        int
}

// advance moves to the slot of nowUs, for slots of spanUs, and clears the slots that it enters.
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

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	opts      RetryBudgetOptions
	byService map[string]*retryBudget
}

func newRetryBudgets(opts RetryBudgetOptions) *retryBudgets {
	return &retryBudgets{opts: opts, byService: map[string]*retryBudget{}}
}

// forService returns the budget of a service, advanced to nowUs. Without a configured window, calls are counted over 10 s.
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

// totals returns the calls and the retries sent over the window, and the maximum number of retries for these calls.
func (b *retryBudget) totals(opts RetryBudgetOptions, gateways int) (calls, retriesSent int, maxRetries float64) {
	for i := range b.calls {
		calls += b.calls[i]
		retriesSent += b.retries[i]
	}
	share := retryBudgetMargin * opts.Slack / float64(max(gateways, minGateways))
	return calls, retriesSent, retryBudgetMargin*opts.Ratio*float64(calls) + share
}

// spendRetry reports whether a retry may be sent to a service now, and if so counts it.
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
