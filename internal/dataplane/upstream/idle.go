package upstream

import "petreltide/internal/process/clock"

const (
	idleLeastUs  = 50 * clock.Ms
	idleRiseUs   = 2 * clock.Sec
	idleRise     = 1.25
	idleFreeUs   = 60 * clock.Sec
	deathsWithin = 10 * clock.Sec
	shortPart    = 4
)

// idleLimit is how long connections of one service are used again after they lay idle. It falls to half
// the age at which reused ones were found dead, and rises slowly while none is.
type idleLimit struct {
	limitUs int64
	roseUs  int64
	deaths  map[string]death
}

type death struct {
	atUs  int64
	ageUs int64
}

func (l *idleLimit) most(nowUs int64) int64 {
	if l == nil || l.limitUs == 0 {
		return idleFreeUs
	}
	for nowUs-l.roseUs >= idleRiseUs {
		l.roseUs += idleRiseUs
		if l.limitUs = int64(float64(l.limitUs) * idleRise); l.limitUs >= idleFreeUs {
			l.limitUs = 0
			return idleFreeUs
		}
	}
	return l.limitUs
}

// died takes a reused connection that ended before the first byte of an answer. One replica alone may be
// ill; where a second shows the same soon after, it is how long the service keeps connections. short says
// that it had not lain idle long enough for that: what ended then is the replica's doing.
func (l *idleLimit) died(nowUs int64, replica string, ageUs int64) (short bool) {
	mostUs := l.most(nowUs)
	if ageUs <= max(mostUs/shortPart, idleLeastUs) && mostUs < idleFreeUs {
		return true
	}
	if ageUs <= idleLeastUs {
		return true
	}
	worstUs := int64(0)
	for other, d := range l.deaths {
		switch {
		case nowUs-d.atUs > deathsWithin:
			delete(l.deaths, other)
		case other != replica:
			worstUs = max(worstUs, d.ageUs)
		}
	}
	l.deaths[replica] = death{nowUs, ageUs}
	if worstUs > 0 {
		l.limitUs, l.roseUs = max(min(mostUs, ageUs/2, worstUs/2), idleLeastUs), nowUs
	}
	return false
}
