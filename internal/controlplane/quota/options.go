package quota

import (
	"math"

	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
)

const (
	// defaultWindowUs is the window length used if Options.WindowUs is 0, in microseconds.
	defaultWindowUs = 5 * clock.Sec
	// mainShare and reserveShare are the fractions of the allowance given to the main bucket and to all reserves together.
	mainShare    = 0.3
	reserveShare = 0.6
	// minDepth is the minimum depth of a main bucket in tokens, as a bucket of less than one token never grants any. It may
	// exceed the bound by up to one request if burst and allowance together give less than one token.
	minDepth = 1.0
)

// Options configure the bound that the ledgers enforce.
type Options struct {
	// WindowUs is the length of the window to which the bound applies, in microseconds; 0 means 5 s.
	WindowUs int64
	// Overshoot is the fraction of rate and burst that may be passed in addition to them, and Slack an additional number of
	// requests; 0 means none.
	Overshoot, Slack float64
	// ToleratedLosses is how many control nodes may be partitioned away and replaced as voters while they still run. Each
	// has a share of the reserve, as each voter does. 0 means the largest minority of the voters.
	ToleratedLosses int
}

// Check returns a fault that lists all invalid options, or nil if all are valid.
func (o Options) Check() *fault.Fault {
	faults := fault.List{}
	if o.WindowUs < 0 {
		faults.Addf(fault.BadSettings, "windowUs", "%d is below 0", o.WindowUs)
	}
	if !(o.Overshoot >= 0) || math.IsInf(o.Overshoot, 0) {
		faults.Addf(fault.BadSettings, "overshoot", "%g is not a non-negative finite fraction", o.Overshoot)
	}
	if !(o.Slack >= 0) || math.IsInf(o.Slack, 0) {
		faults.Addf(fault.BadSettings, "slack", "%g is not a non-negative finite number of requests", o.Slack)
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

// allowance returns A of the package comment: the requests that may be passed in a window beyond r*W + b.
func (o Options) allowance(l Limit) float64 {
	return o.Overshoot*(l.RatePerSecond*float64(o.WindowUs)/float64(clock.Sec)+l.Burst) + o.Slack
}

// depth returns the depth of the main bucket in tokens.
func (o Options) depth(l Limit) float64 { return max(minDepth, l.Burst+mainShare*o.allowance(l)) }

// reserve returns how many tokens one control node may grant from its reserve in any window. The reserves of all control
// nodes that consider themselves voters sum to at most reserveShare of the allowance.
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
