package scheduling

import "petreltide/internal/process/clock"

// BudgetOptions bound the further tries of all gateways together: Ratio of the calls for a service plus
// Slack, in every span of WindowUs. A gateway holds to its share of the slack by the number of gateways it
// was last told, so the sum holds also while nobody hands out shares.
type BudgetOptions struct {
	Ratio    float64
	Slack    float64
	WindowUs int64
}

const (
	budgetCut     = 0.8
	budgetSlots   = 20
	gatewaysLeast = 3
)

// budget counts one service's calls and further attempts over the last window, in slots.
type budget struct {
	calls [budgetSlots]int
	spent [budgetSlots]int
	atUs  int64
	now   int
}

func (b *budget) turn(nowUs, spanUs int64) {
	if b.atUs == 0 {
		b.atUs = nowUs
	}
	for n := 0; nowUs-b.atUs >= spanUs && n <= budgetSlots; n++ {
		b.atUs += spanUs
		b.now = (b.now + 1) % budgetSlots
		b.calls[b.now], b.spent[b.now] = 0, 0
	}
	if nowUs-b.atUs >= spanUs {
		b.atUs = nowUs
	}
}

func (d *Decider) budgetOf(service string) *budget {
	b := d.budgets[service]
	if b == nil {
		b = &budget{}
		d.budgets[service] = b
	}
	windowUs := d.opts.Budget.WindowUs
	if windowUs == 0 {
		windowUs = 10 * clock.Sec
	}
	b.turn(d.nowUs, windowUs/(budgetSlots-1))
	return b
}

// sums are calls and further attempts over the window, and how many further attempts it allows in all.
func (b *budget) sums(o BudgetOptions, gateways int) (calls, spent int, most float64) {
	for i := range b.calls {
		calls += b.calls[i]
		spent += b.spent[i]
	}
	share := budgetCut * o.Slack / float64(max(gateways, gatewaysLeast))
	return calls, spent, budgetCut*o.Ratio*float64(calls) + share
}

// budget says whether one more attempt beyond a call's first may go to a service now, and counts it.
func (d *Decider) budget(service string) bool {
	if d.opts.Budget.WindowUs == 0 {
		return true
	}
	b := d.budgetOf(service)
	if _, spent, most := b.sums(d.opts.Budget, d.snap.Gateways); float64(spent+1) > most {
		return false
	}
	b.spent[b.now]++
	return true
}
