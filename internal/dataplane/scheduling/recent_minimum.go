package scheduling

// recentSamples is the number of observations of which recentMinimum takes the smallest. The next observation of a process that does
// not change is smaller than all of them in 1 of recentSamples + 1 cases.
const recentSamples = 19

// recentMinimum is the smallest of the last recentSamples observations. It is a lower bound of the next one only once there are so
// many.
type recentMinimum struct {
	samples [recentSamples]float64
	count   int
}

// add adds an observation, which replaces the oldest.
func (m *recentMinimum) add(observed float64) {
	m.samples[m.count%recentSamples] = observed
	m.count++
}

// value returns the smallest recent observation, or 0 while there are too few of them.
func (m *recentMinimum) value() float64 {
	if m.count < recentSamples {
		return 0
	}
	smallest := m.samples[0]
	for _, observed := range m.samples[1:] {
		smallest = min(smallest, observed)
	}
	return smallest
}
