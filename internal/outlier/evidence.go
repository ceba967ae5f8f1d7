package outlier

import (
	"maps"
	"slices"
)

// evidence is what the gateways of one zone hold against one replica: one cumulative sum, and by gateway what they
// brought to it since it was last nothing, in parts of scale.
type evidence struct {
	total     float64
	scale     float64
	byGateway map[string]float64
	attempts  float64
	// failures failed since the sum was last nothing, of about as many attempts as were sent since fromAttempts.
	failures     float64
	fromAttempts float64
}

// decay takes off what good attempts are worth, from every gateway's part alike.
func (e *evidence) decay(amount float64) {
	if e.total <= amount {
		e.total, e.scale, e.failures = 0, 1, 0
		clear(e.byGateway)
		return
	}
	e.scale *= (e.total - amount) / e.total
	e.total -= amount
}

// decayByTraffic takes off what the zone's other attempts at the replica are worth: nobody tells of them, so that they are
// as many as its even part of what the zone's gateways sent.
func (e *evidence) decayByTraffic(s *serviceStats, zone string) {
	e.decay((s.attempts[zone] - e.attempts) / float64(max(s.replicas, 1)) * -weight(Success, 0))
	e.attempts = s.attempts[zone]
	if e.total == 0 {
		e.fromAttempts = e.attempts
	}
}

// add takes one gateway's report: its good attempts there answer what it said before, not what other gateways say.
func (e *evidence) add(gateway string, successes int, gain, limit float64) {
	previous := e.byGateway[gateway] * e.scale
	updated := min(max(0, previous+float64(successes)*weight(Success, 0))+gain, limit)
	e.total = max(0, e.total+updated-previous)
	if updated > 0 {
		e.byGateway[gateway] = updated / e.scale
	} else {
		delete(e.byGateway, gateway)
	}
}

// cappedTotal is the sum with no gateway's part above most.
func (e *evidence) cappedTotal(limit float64) (sum float64) {
	for _, gateway := range slices.Sorted(maps.Keys(e.byGateway)) {
		sum += min(e.byGateway[gateway]*e.scale, limit)
	}
	return sum
}

// suspect is what is known against one replica.
type suspect struct {
	service      string
	zones        map[string]*evidence
	ejections    map[string]*ejection
	recent       [2][classCount]float64
	lastReportUs int64
	// reliefFailedUs is when it last failed with fewer calls as well, so that load does not explain it; 0 if it never did.
	reliefFailedUs int64
}

// ejection is what stands against one replica for the gateways of one zone, or of all: it is ejected, on probation, or
// cleared and remembered.
type ejection struct {
	ejected bool
	dead    bool
	// relieved is probation that no ejection went before: load may explain what failed, so that fewer calls come first.
	relieved bool
	// sinceUs is when the relief began.
	sinceUs int64
	// untilUs ends the ejection, or the stage of probation.
	untilUs       int64
	stage         int
	successes     int
	failureWeight float64
	count         int
	clearedUs     int64
}

func (v *ejection) active() bool { return v != nil && v.clearedUs == 0 }

// onProbation: it gets a part of its calls, and what becomes of them decides.
func (v *ejection) onProbation() bool { return v.active() && !v.ejected }

// settling: calls from before the relief may still be told of as late, whatever the replica does now.
func (v *ejection) settling(nowUs int64) bool {
	return v.relieved && nowUs-v.sinceUs < reliefSettleUs
}

// addProbation takes what became of a replica's calls on probation: the weight of its failures, and that of those of
// them that load may explain apart.
func (v *ejection) addProbation(nowUs int64, successes int, gain, loadGain float64) {
	v.failureWeight += gain
	if v.settling(nowUs) {
		return
	}
	v.successes += successes
	v.failureWeight += loadGain
}

// passedStage says whether a stage of probation went well. A relief lasts until enough calls have shown that it helps.
func (v *ejection) passedStage(nowUs int64) bool {
	if v.successes >= probationSuccesses {
		return true
	}
	return !v.relieved && nowUs >= v.untilUs && v.failureWeight == 0
}
