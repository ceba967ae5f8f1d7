package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/process/clock"
)

const (
	// admissionWindowUs is how far back attempts tell how calls for a model fare now.
	admissionWindowUs = 2 * clock.Sec
	// maxAdmissionSamples bounds the attempts that are remembered for one model.
	maxAdmissionSamples = 32
	// withinTargetFraction of its aim is how soon a call's first piece comes where no queue makes the calls behind it late.
	withinTargetFraction = 0.4
	// admissionSlack is how many times as many calls are let in as were served soon: above 1, so that calls are let in
	// again as soon as there is room.
	admissionSlack = 2.0
	// admissionPrior is how many undecided attempts the evidence is diluted with: one late call proves little.
	admissionPrior = 2.0
	// minRetryAfterMs and maxRetryAfterMs bound when a refused caller is told to come back.
	minRetryAfterMs = 400
	maxRetryAfterMs = 1500
	// retryAfterDivisor of the time that a caller has left is as long as it may be told to wait.
	retryAfterDivisor = 3
	hashBuckets       = 1 << 16
)

// attemptSample is an attempt whose first piece shows how calls for its model fare.
type attemptSample struct {
	call     *Call
	startUs  int64
	targetUs int64
}

// withinTarget says whether the first piece came soon after the attempt began; decided is false while it may still.
func (s attemptSample) withinTarget(nowUs int64) (within, decided bool) {
	firstUs := s.call.FirstByteUs.Load()
	if firstUs >= s.startUs {
		return firstUs-s.startUs <= s.targetUs, true
	}
	return false, nowUs-s.startUs > s.targetUs
}

// admission lets in no more calls for a model than its replicas can serve in time. Where replicas are asked for more than they can
// do, each call that waits there makes those behind it late as well: fewer in time are worth more than all of them late.
// A gateway goes by its own attempts alone, as its calls meet the same queues as those of others.
type admission struct {
	recent map[string][]attemptSample
}

func newAdmission() *admission { return &admission{recent: map[string][]attemptSample{}} }

// attemptStarted notes an attempt.
func (a *admission) attemptStarted(c *Call, nowUs int64) {
	limitUs := int64(withinTargetFraction * float64(c.Routed.Route.LatencyTargetMs*clock.Ms))
	if c.Model == "" || limitUs == 0 {
		return
	}
	key := c.modelKey()
	samples := a.recent[key]
	if len(samples) >= maxAdmissionSamples {
		samples = samples[1:]
	}
	a.recent[key] = append(samples, attemptSample{call: c, startUs: nowUs, targetUs: limitUs})
}

// rejectFraction is the part of the calls for a model that is to be refused now.
func (a *admission) rejectFraction(key string, nowUs int64) float64 {
	withinCount, decidedCount := 0.0, 0.0
	for _, sample := range a.recent[key] {
		if nowUs-sample.startUs > admissionWindowUs {
			continue
		}
		within, decided := sample.withinTarget(nowUs)
		if decided {
			decidedCount++
		}
		if within {
			withinCount++
		}
	}
	if decidedCount == 0 {
		return 0
	}
	return max(0, 1-admissionSlack*withinCount/decidedCount) * decidedCount / (decidedCount + admissionPrior)
}

// prune drops what is too old to tell anything.
func (a *admission) prune(nowUs int64) {
	for key, samples := range a.recent {
		if last := samples[len(samples)-1]; nowUs-last.startUs > admissionWindowUs {
			delete(a.recent, key)
		}
	}
}

// rejectOverload refuses a call at once, with when to come back, where calls for its model are late now. Whoever has come back
// once is let in, and what is most urgent is refused less often.
func (d *Decider) rejectOverload(c *Call) bool {
	if c.Model == "" || c.Routed.isClientRetry || c.Delivered > 0 || d.opts.Disable.Has(feature.OverloadRefusal) {
		return false
	}
	fraction := d.admission.rejectFraction(c.modelKey(), d.nowUs)
	if fraction == 0 {
		return false
	}
	if c.priority() == 0 {
		fraction *= fraction
	}
	if float64(mixHash(c.Routed.idHash^hashOf(c.ID))%hashBuckets) >= fraction*hashBuckets {
		return false
	}
	leftMs := (c.deadlineUs - d.nowUs) / clock.Ms
	retryMs := spreadRetryMs(c.ID, min(max(leftMs/(2*retryAfterDivisor), minRetryAfterMs), maxRetryAfterMs))
	d.failCallWithRetry(c, fault.Overloaded, "calls for its model are served too late now", min(retryMs, leftMs/retryAfterDivisor))
	return true
}
