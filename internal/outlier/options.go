package outlier

import "petreltide/internal/process/clock"

// Options bound the verdicts. All may be left out.
type Options struct {
	// MostShare of a service's replicas may be out or on trial at once. The same share of those that fail
	// most is left out of the service's own mean, so that a few ill ones do not hide among themselves.
	MostShare float64
	// FalseUs is the time in which one sound replica may be suspected once for nothing.
	FalseUs int64
	// OutUs is how long a replica stays out the first time; it doubles up to OutMostUs.
	OutUs     int64
	OutMostUs int64
	// Off takes evidence and judges nobody.
	Off bool
}

const (
	mostShareUsual = 0.25
	falseUsual     = 600 * clock.Sec
	outUsual       = 2 * clock.Sec
	outMostUsual   = 8 * clock.Sec
	rateUs         = 5 * clock.Sec
	judgeUs        = 100 * clock.Ms
	trialUs        = 2 * clock.Sec
	meansUs        = 500 * clock.Ms
	trialGoods     = 8
	restateUs      = 10 * clock.Sec
	forgetUs       = 60 * clock.Sec
	// gatewaysLeast must hold something against a replica before it is ill, where there are as many.
	gatewaysLeast = 2
	aloneUs       = 10 * clock.Sec
	// trialPart is the part of the threshold that sends one on trial out again: it was ill a moment ago.
	trialPart = 4
	// deadPart of the attempts at a replica must have failed, and deadLeast of them, for it to be taken as dead.
	deadPart  = 0.7
	deadLeast = 3
)

// trials are the shares, in 100, by which a replica comes back.
var trials = []int{3, 12, 40}

func (o Options) filled() Options {
	if o.MostShare == 0 {
		o.MostShare = mostShareUsual
	}
	if o.FalseUs == 0 {
		o.FalseUs = falseUsual
	}
	if o.OutUs == 0 {
		o.OutUs = outUsual
	}
	if o.OutMostUs == 0 {
		o.OutMostUs = outMostUsual
	}
	return o
}
