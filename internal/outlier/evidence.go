package outlier

import (
	"maps"
	"slices"
)

// evidence is what the gateways of one zone hold against one replica: one cumulative sum, and by gateway what they
// brought to it since it was last nothing, in parts of scale.
type evidence struct {
	total    float64
	scale    float64
	gains    map[string]float64
	attempts float64
	// bads failed since the sum was last nothing, of about as many attempts as were sent since fromAttempts.
	bads         float64
	fromAttempts float64
}

// less takes off what good attempts are worth, from every gateway's part alike.
func (e *evidence) less(worth float64) {
	if e.total <= worth {
		e.total, e.scale, e.bads = 0, 1, 0
		clear(e.gains)
		return
	}
	e.scale *= (e.total - worth) / e.total
	e.total -= worth
}

// fade takes off what the zone's other attempts at the replica are worth: nobody tells of them, so that they are
// as many as its even part of what the zone's gateways sent.
func (e *evidence) fade(s *service, zone string) {
	e.less((s.attempts[zone] - e.attempts) / float64(max(s.replicas, 1)) * -weight(Good, 0))
	e.attempts = s.attempts[zone]
	if e.total == 0 {
		e.fromAttempts = e.attempts
	}
}

// add takes one gateway's report: its good attempts there answer what it said before, not what other gateways say.
func (e *evidence) add(gateway string, good int, gain, most float64) {
	had := e.gains[gateway] * e.scale
	now := min(max(0, had+float64(good)*weight(Good, 0))+gain, most)
	e.total = max(0, e.total+now-had)
	if now > 0 {
		e.gains[gateway] = now / e.scale
	} else {
		delete(e.gains, gateway)
	}
}

// capped is the sum with no gateway's part above most.
func (e *evidence) capped(most float64) (sum float64) {
	for _, gateway := range slices.Sorted(maps.Keys(e.gains)) {
		sum += min(e.gains[gateway]*e.scale, most)
	}
	return sum
}

// suspect is what is known against one replica.
type suspect struct {
	service string
	zones   map[string]*evidence
	verdict map[string]*verdict
	recent  [2][classes]float64
	atUs    int64
}

type verdict struct {
	out     bool
	dead    bool
	untilUs int64
	stage   int
	goods   int
	bads    float64
	times   int
	clearUs int64
}

func (v *verdict) stands() bool { return v != nil && v.clearUs == 0 }
