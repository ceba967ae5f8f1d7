package outlier

import "petreltide/internal/process/clock"

// Options configures detection. A zero field stands for its default.
type Options struct {
	// MaxEjectedFraction is the fraction of a service's replicas that may be ejected or on probation at once. The same fraction,
	// of the replicas that fail most, is left out of the service's baseline, so that a few faulty replicas don't raise the
	// baseline that they are compared with.
	MaxEjectedFraction float64
	// FalseEjectionIntervalUs is the time in which one healthy replica may be ejected once by chance.
	FalseEjectionIntervalUs int64
	// BaseEjectionUs is how long a first ejection lasts. The time doubles with each further ejection, up to MaxEjectionUs.
	BaseEjectionUs int64
	MaxEjectionUs  int64
	// Disabled collects evidence without ejecting any replica.
	Disabled bool
}

const (
	// defaultMaxEjectedFraction and the next three are the defaults of Options.
	defaultMaxEjectedFraction      = 0.25
	defaultFalseEjectionIntervalUs = 600 * clock.Sec
	defaultBaseEjectionUs          = 2 * clock.Sec
	defaultMaxEjectionUs           = 8 * clock.Sec
	// rateWindowUs is the window over which a service's attempts and failures are counted.
	rateWindowUs = 5 * clock.Sec
	// evaluationIntervalUs is the time between two evaluations.
	evaluationIntervalUs = 100 * clock.Ms
	// probationStageUs is how long a stage of probation lasts without enough successes to end it sooner.
	probationStageUs = 2 * clock.Sec
	// baselineIntervalUs is the time between two updates of the services' own failure rates.
	baselineIntervalUs = 500 * clock.Ms
	// reliefSettleUs is how long after the start of a relief earlier calls may still be reported as late.
	reliefSettleUs = 1 * clock.Sec
	// reliefMemorySpans is how long a relief that did not help is remembered, in multiples of MaxEjectionUs.
	reliefMemorySpans = 4
	// probationSuccesses is how many successes end a stage of probation.
	probationSuccesses = 8
	// republishIntervalUs is the time after which an unchanged table is published again, for gateways that missed it.
	republishIntervalUs = 10 * clock.Sec
	// expiryUs is how long gateways and suspects are kept after the last report from or about them.
	expiryUs = 60 * clock.Sec
	// minGateways is the number of gateways that must have evidence against a replica to eject it, unless only one reports.
	minGateways = 2
	// singleGatewayUs is how long one gateway must have reported alone before it may eject without another.
	singleGatewayUs = 10 * clock.Sec
	// probationDivisor divides the threshold for a replica on probation, which failed a moment ago and is ejected again sooner.
	probationDivisor = 4
	// deadFailureFraction is the fraction of attempts, and minDeadFailures the number, that must have failed for a replica to be
	// marked dead.
	deadFailureFraction = 0.7
	minDeadFailures     = 3
)

// probationPercents has the percentage of its calls that a replica gets in each stage of probation.
var probationPercents = []int{3, 12, 40}

func (o Options) withDefaults() Options {
	if o.MaxEjectedFraction == 0 {
		o.MaxEjectedFraction = defaultMaxEjectedFraction
	}
	if o.FalseEjectionIntervalUs == 0 {
		o.FalseEjectionIntervalUs = defaultFalseEjectionIntervalUs
	}
	if o.BaseEjectionUs == 0 {
		o.BaseEjectionUs = defaultBaseEjectionUs
	}
	if o.MaxEjectionUs == 0 {
		o.MaxEjectionUs = defaultMaxEjectionUs
	}
	return o
}
