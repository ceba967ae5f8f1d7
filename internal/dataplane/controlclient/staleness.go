package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// staleAfterUs is how long a control node may be behind before it is left.
	staleAfterUs = 500 * clock.Ms
	// staleBackoffUs later it may be followed again, and staleZoneBackoffUs later for being near.
	staleBackoffUs     = 1 * clock.Sec
	staleZoneBackoffUs = 5 * clock.Sec
)

// recordStaleness notes whether a control node says that newer declarations may be in force than it knows.
func (i *Informer) recordStaleness(nowUs int64, s *source, stale bool) {
	switch {
	case !stale:
		s.staleSinceUs = 0
		delete(i.staleAtUs, s.addr)
	case s.staleSinceUs == 0:
		s.staleSinceUs = nowUs
	}
}

func (i *Informer) wasStale(nowUs int64, addr string, withinUs int64) bool {
	lastUs, known := i.staleAtUs[addr]
	return known && nowUs-lastUs < withinUs
}

// compareStaleness puts control nodes that were behind of late after the others.
func (i *Informer) compareStaleness(nowUs int64, a, b string) int {
	rank := func(addr string) int {
		if i.wasStale(nowUs, addr, staleBackoffUs) {
			return 1
		}
		return 0
	}
	return rank(a) - rank(b)
}

// replaceStale follows another control node in place of one that has been behind for a while. As long as nobody who is
// followed is current, one more is followed, so that nothing is lost where all are behind: from the first frame on that
// says so, one after another.
func (i *Informer) replaceStale(nowUs int64) {
	var current, stale, newest *source
	anyStale := false
	for _, number := range slices.Sorted(maps.Keys(i.sources)) {
		s := i.sources[number]
		newest = s
		if s.complete && s.staleSinceUs == 0 {
			current = s
		}
		anyStale = anyStale || s.staleSinceUs > 0
		if s.staleSinceUs > 0 && nowUs-s.staleSinceUs >= staleAfterUs {
			i.staleAtUs[s.addr] = nowUs
			stale = s
		}
	}
	hasExtra := len(i.sources) > streamCount
	switch {
	case hasExtra && stale != nil && (current != nil || stale == newest):
		i.drop(nowUs, stale)
	case hasExtra && stale == nil && current != nil:
		i.drop(nowUs, newest)
	case hasExtra, !anyStale, !i.hasFreshCandidate(nowUs):
	case current != nil:
		if stale != nil {
			i.drop(nowUs, stale)
		}
	case nowUs-i.openedAtUs >= openIntervalUs:
		i.open(nowUs, "")
	}
}

// hasFreshCandidate: there is a control node that could be followed, is not, and was not behind of late.
func (i *Informer) hasFreshCandidate(nowUs int64) bool {
	followed := map[string]bool{}
	for _, s := range i.sources {
		followed[s.addr] = true
	}
	return slices.ContainsFunc(i.ControlNodes(), func(addr string) bool {
		return !followed[addr] && nowUs >= i.backoffUntilUs[addr] && !i.wasStale(nowUs, addr, staleBackoffUs)
	})
}
