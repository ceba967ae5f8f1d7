package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// staleAfterUs is how long a control node may be stale before it is replaced, in microseconds.
	staleAfterUs = 500 * clock.Ms
	// staleBackoffUs is how long a control node that was replaced as stale is ranked after the others.
	staleBackoffUs = 1 * clock.Sec
	// staleZoneBackoffUs is how long such a control node is not preferred for being in the gateway's zone.
	staleZoneBackoffUs = 5 * clock.Sec
)

// recordStaleness records whether a control node reports that declarations newer than the one it knows may be in force.
func (i *Informer) recordStaleness(nowUs int64, s *source, stale bool) {
	switch {
	case !stale:
		s.staleSinceUs = 0
		delete(i.staleAtUs, s.addr)
	case s.staleSinceUs == 0:
		s.staleSinceUs = nowUs
	}
}

// wasStale reports whether a control node was stale for too long within the given time before nowUs.
func (i *Informer) wasStale(nowUs int64, addr string, withinUs int64) bool {
	lastUs, known := i.staleAtUs[addr]
	return known && nowUs-lastUs < withinUs
}

// compareStaleness orders control nodes that were recently stale after the others.
func (i *Informer) compareStaleness(nowUs int64, a, b string) int {
	rank := func(addr string) int {
		if i.wasStale(nowUs, addr, staleBackoffUs) {
			return 1
		}
		return 0
	}
	return rank(a) - rank(b)
}

// replaceStale replaces a control node that has been stale for staleAfterUs. As long as no followed control node is current, it
// keeps one extra stream, so that no state is lost if all control nodes are stale. It opens that stream as soon as the first frame
// reports staleness, and tries the candidates one after another.
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

// hasFreshCandidate reports whether there is a control node that is not followed, is not in backoff, and was not recently stale.
func (i *Informer) hasFreshCandidate(nowUs int64) bool {
	followed := map[string]bool{}
	for _, s := range i.sources {
		followed[s.addr] = true
	}
	return slices.ContainsFunc(i.ControlNodes(), func(addr string) bool {
		return !followed[addr] && nowUs >= i.backoffUntilUs[addr] && !i.wasStale(nowUs, addr, staleBackoffUs)
	})
}
