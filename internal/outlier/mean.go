package outlier

import (
	"cmp"
	"slices"
)

// service is the mean that its replicas are judged against.
type service struct {
	attempts map[string]float64
	recent   [2]float64
	turnUs   int64
	share    [classes]float64
	replicas int
	rate     float64
}

// turn begins a new span of counts now and then, and works out the mean anew.
func (s *service) turn(nowUs int64, f *Fleet) {
	if s.turnUs == 0 {
		s.turnUs = nowUs
	}
	if nowUs-s.turnUs < rateUs {
		return
	}
	s.rate = s.recent[0] / (float64(nowUs-s.turnUs) / 1e6)
	s.turnUs = nowUs
	s.recent = [2]float64{0, s.recent[0]}
	for _, sus := range f.suspects {
		if f.services[sus.service] == s {
			sus.recent = [2][classes]float64{{}, sus.recent[0]}
		}
	}
}

// means sets each service's share of every class over the last spans, without the replicas that fail most.
func (f *Fleet) means() {
	by := map[string][]*suspect{}
	for _, sus := range f.suspects {
		by[sus.service] = append(by[sus.service], sus)
	}
	for name, s := range f.services {
		all := by[name]
		attempts := s.recent[0] + s.recent[1]
		for c := Good + 1; c < Inconclusive; c++ {
			counts := []float64{}
			for _, sus := range all {
				counts = append(counts, sus.recent[0][c]+sus.recent[1][c])
			}
			slices.SortFunc(counts, func(a, b float64) int { return cmp.Compare(b, a) })
			sum := 0.0
			for _, n := range counts[min(len(counts), f.most(s)):] {
				sum += n
			}
			s.share[c] = 0
			if attempts > 0 {
				s.share[c] = min(sum/attempts, 1)
			}
		}
	}
}
