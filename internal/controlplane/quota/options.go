package quota

import (
	"math"

	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
)

const (
	// defaultWindowUs is the window of Options whose WindowUs is 0, in microseconds.
	defaultWindowUs = 5 * clock.Sec
	// mainShare and reserveShare are the parts of the allowance that the main book and all reserves together have.
	mainShare    = 0.3
	reserveShare = 0.6
	// minDepth is the least depth of a bucket in tokens: one of less than a token never grants any. It passes the bound by
	// up to one request where neither burst nor allowance give as much.
	minDepth = 1.0
)

// Options are the bounds that a Ledger keeps.
type Options struct {
	// WindowUs is the length of the window that the bound is over, in microseconds; 0 means 5 s.
	WindowUs int64
	// Overshoot is the part of rate and burst that may be passed beyond them, and Slack a number of requests besides; 0
	// allows nothing.
	Overshoot, Slack float64
	// ToleratedLosses is how many control nodes may be lost, have their votes taken by others and run on, cut off from these;
	// each has a part of the reserve beside the voters. 0 means as many as are a minority of the voters.
	ToleratedLosses int
}

// Check lists everything that is wrong with the options; nil where nothing is.
func (o Options) Check() *fault.Fault {
	faults := fault.List{}
	if o.WindowUs < 0 {
		faults.Addf(fault.BadSettings, "windowUs", "%d is below 0", o.WindowUs)
	}
	if !(o.Overshoot >= 0) || math.IsInf(o.Overshoot, 0) {
		faults.Addf(fault.BadSettings, "overshoot", "%g is no part", o.Overshoot)
	}
	if !(o.Slack >= 0) || math.IsInf(o.Slack, 0) {
		faults.Addf(fault.BadSettings, "slack", "%g is no number of requests", o.Slack)
	}
	if o.ToleratedLosses < 0 {
		faults.Addf(fault.BadSettings, "toleratedLosses", "%d is below 0", o.ToleratedLosses)
	}
	return faults.Combined(fault.BadSettings)
}

func (o Options) withDefaults() Options {
	if o.WindowUs == 0 {
		o.WindowUs = defaultWindowUs
	}
	return o
}

// allowance is A: what may be passed in a window beyond rate and burst.
func (o Options) allowance(l Limit) float64 {
	return o.Overshoot*(l.RatePerSecond*float64(o.WindowUs)/float64(clock.Sec)+l.Burst) + o.Slack
}

// depth is that of the main bucket.
func (o Options) depth(l Limit) float64 { return max(minDepth, l.Burst+mainShare*o.allowance(l)) }

// reserve is what one control node may grant in any window by itself: all that believe themselves voters sum to at most
// reserveShare of the allowance.
func (o Options) reserve(l Limit, voters int) int64 {
	if voters <= 0 {
		return 0
	}
	losses := o.ToleratedLosses
	if losses == 0 {
		losses = (voters - 1) / 2
	}
	return int64(math.Floor(reserveShare*o.allowance(l)/float64(voters+losses) + roundingTolerance))
}
