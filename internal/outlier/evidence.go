package outlier

import (
	"maps"
	"slices"
)

// evidence is the evidence of one zone's gateways against one replica: a cumulative sum (total), and the contribution of each
// gateway since the sum was last zero. A contribution is the value in byGateway times scale.
type evidence struct {
	total     float64
	scale     float64
	byGateway map[string]float64
	attempts  float64
	// failures counts the failures since the sum was last zero that load does not cause. The attempts of the same time are the
	// replica's share of attempts - fromAttempts, which count those of the whole zone at the service.
	failures     float64
	fromAttempts float64
}

// decay subtracts amount, the weight of successful attempts, from the sum, and reduces every gateway's contribution in proportion.
func (e *evidence) decay(amount float64) {
	if e.total <= amount {
		e.total, e.scale, e.failures = 0, 1, 0
		clear(e.byGateway)
		return
	}
	e.scale *= (e.total - amount) / e.total
	e.total -= amount
}

// decayByTraffic subtracts the weight of the zone's unreported attempts at the replica, which count as successes. Their
// number is the replica's even share of the attempts that the zone's gateways sent.
func (e *evidence) decayByTraffic(s *serviceStats, zone string) {
	e.decay((s.attempts[zone] - e.attempts) / float64(max(s.replicas, 1)) * -weight(Success, 0))
	e.attempts = s.attempts[zone]
	if e.total == 0 {
		e.fromAttempts = e.attempts
	}
}

// add takes in one gateway's report. Its successes reduce only that gateway's own contribution, which is capped at limit.
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

// cappedTotal returns the sum of the gateways' contributions, each capped at limit.
func (e *evidence) cappedTotal(limit float64) (sum float64) {
	for _, gateway := range slices.Sorted(maps.Keys(e.byGateway)) {
		sum += min(e.byGateway[gateway]*e.scale, limit)
	}
	return sum
}

// suspect is the state of one replica with reported failures: its evidence and its ejections, each by zone.
type suspect struct {
	service      string
	zones        map[string]*evidence
	ejections    map[string]*ejection
	recent       [2][classCount]float64
	lastReportUs int64
	// reliefFailedUs is when the replica last failed under reduced load, so that load does not explain its failures; 0 if never.
	reliefFailedUs int64
}

// ejection is the state of one replica for the gateways of one zone, or of all: it is ejected, on probation, or cleared. A
// cleared one is kept for a while, so that the next ejection lasts longer.
type ejection struct {
	ejected bool
	dead    bool
	// relieved marks a probation that follows no ejection: load may explain the failures, so that load is reduced first.
	relieved bool
	// sinceUs is when the relief began.
	sinceUs int64
	// untilUs is the end of the ejection or of the stage of probation.
	untilUs       int64
	stage         int
	successes     int
	failureWeight float64
	count         int
	clearedUs     int64
}

// active reports whether the replica is ejected or on probation. It is false for nil.
func (v *ejection) active() bool { return v != nil && v.clearedUs == 0 }

// onProbation reports whether the replica gets a part of its calls, whose outcomes decide whether it is ejected.
func (v *ejection) onProbation() bool { return v.active() && !v.ejected }

// settling reports whether calls from before the relief may still be reported as late, whatever the replica does now.
func (v *ejection) settling(nowUs int64) bool {
	return v.relieved && nowUs-v.sinceUs < reliefSettleUs
}

// addProbation adds the outcomes of calls on probation. gain is the weight of the failures that load does not cause, loadGain
// that of the others; successes and loadGain don't count while a relief settles.
func (v *ejection) addProbation(nowUs int64, successes int, gain, loadGain float64) {
	v.failureWeight += gain
	if v.settling(nowUs) {
		return
	}
	v.successes += successes
	v.failureWeight += loadGain
}

// passedStage reports whether a stage of probation is passed: by probationSuccesses successes or, except for a relief, by a
// stage without failures. A relief needs enough successes to show that it helps.
func (v *ejection) passedStage(nowUs int64) bool {
	if v.successes >= probationSuccesses {
		return true
	}
	return !v.relieved && nowUs >= v.untilUs && v.failureWeight == 0
}
