package outlier

import (
	"cmp"
	"slices"
)

// serviceStats holds the attempt counts and failure rates of one service, against which its replicas are compared.
type serviceStats struct {
	attempts      map[string]float64
	recent        [2]float64
	windowStartUs int64
	failureRates  [classCount]float64
	replicas      int
	attemptsPerS  float64
}

// rotate starts a new counting window once the current one has lasted rateWindowUs, and updates the service's rate of
// attempts. The counts of its suspects rotate with it.
func (s *serviceStats) rotate(nowUs int64, d *Detector) {
	if s.windowStartUs == 0 {
		s.windowStartUs = nowUs
	}
	if nowUs-s.windowStartUs < rateWindowUs {
		return
	}
	s.attemptsPerS = s.recent[0] / (float64(nowUs-s.windowStartUs) / 1e6)
	s.windowStartUs = nowUs
	s.recent = [2]float64{0, s.recent[0]}
	for _, sus := range d.suspects {
		if d.services[sus.service] == s {
			sus.recent = [2][classCount]float64{{}, sus.recent[0]}
		}
	}
}

// updateBaselines sets each service's rate of every failure class over the current and the previous window. For each class
// it leaves out the maxEjected replicas that fail most.
func (d *Detector) updateBaselines() {
	byService := map[string][]*suspect{}
	for _, sus := range d.suspects {
		byService[sus.service] = append(byService[sus.service], sus)
	}
	for name, s := range d.services {
		suspects := byService[name]
		attempts := s.recent[0] + s.recent[1]
		for c := Success + 1; c < Inconclusive; c++ {
			counts := []float64{}
			for _, sus := range suspects {
				counts = append(counts, sus.recent[0][c]+sus.recent[1][c])
			}
			slices.SortFunc(counts, func(a, b float64) int { return cmp.Compare(b, a) })
			failures := 0.0
			for _, n := range counts[min(len(counts), d.maxEjected(s)):] {
				failures += n
			}
			s.failureRates[c] = 0
			if attempts > 0 {
				s.failureRates[c] = min(failures/attempts, 1)
			}
		}
	}
}
