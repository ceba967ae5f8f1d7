package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// mirrorBehindUs is how long a control node may be behind before another one is looked for.
	mirrorBehindUs = 500 * clock.Ms
	// mirrorBehindAgainUs later it may be followed again, and mirrorBehindNearUs later for being near.
	mirrorBehindAgainUs = 1 * clock.Sec
	mirrorBehindNearUs  = 5 * clock.Sec
)

// noteBehind notes whether a control node says that newer declarations may be in force than it knows.
func (m *Mirror) noteBehind(nowUs int64, s *source, behind bool) {
	switch {
	case !behind:
		s.behindUs = 0
		delete(m.behindUs, s.addr)
	case s.behindUs == 0:
		s.behindUs = nowUs
	}
}

func (m *Mirror) wasBehind(nowUs int64, addr string, spanUs int64) bool {
	lastUs, known := m.behindUs[addr]
	return known && nowUs-lastUs < spanUs
}

// compareBehind puts control nodes that were behind of late after the others.
func (m *Mirror) compareBehind(nowUs int64, a, b string) int {
	rank := func(addr string) int {
		if m.wasBehind(nowUs, addr, mirrorBehindAgainUs) {
			return 1
		}
		return 0
	}
	return rank(a) - rank(b)
}

// leaveBehind follows another control node in place of one that has been behind for a while. As long as nobody who is
// followed is current, one more is followed, so that nothing is lost where all are behind.
func (m *Mirror) leaveBehind(nowUs int64) {
	var current, behind, newest *source
	for _, number := range slices.Sorted(maps.Keys(m.sources)) {
		s := m.sources[number]
		newest = s
		if s.whole && s.behindUs == 0 {
			current = s
		}
		if s.behindUs > 0 && nowUs-s.behindUs >= mirrorBehindUs {
			m.behindUs[s.addr] = nowUs
			behind = s
		}
	}
	oneMore := len(m.sources) > mirrorStreams
	switch {
	case oneMore && behind != nil && (current != nil || behind == newest):
		m.drop(nowUs, behind)
	case oneMore && behind == nil && current != nil:
		m.drop(nowUs, newest)
	case oneMore, behind == nil, !m.othersThanBehind(nowUs):
	case current != nil:
		m.drop(nowUs, behind)
	case nowUs-m.triedUs >= mirrorTryUs:
		m.open(nowUs, "")
	}
}

// othersThanBehind: there is a control node that could be followed, is not, and was not behind of late.
func (m *Mirror) othersThanBehind(nowUs int64) bool {
	followed := map[string]bool{}
	for _, s := range m.sources {
		followed[s.addr] = true
	}
	return slices.ContainsFunc(m.ControlNodes(), func(addr string) bool {
		return !followed[addr] && nowUs >= m.avoidUntilUs[addr] && !m.wasBehind(nowUs, addr, mirrorBehindAgainUs)
	})
}
