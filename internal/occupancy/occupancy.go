package occupancy

import (
	"maps"
	"math"
	"slices"

	"petreltide/internal/clock"
)

const (
	// publishEveryUs is how often a leader publishes a table.
	publishEveryUs = 500 * clock.Ms
	// smoothing is the weight of the newest sum in the average; about 1 s is remembered.
	smoothing = 0.4
	// unitsPerCall is the resolution of a level: tenths of a waiting attempt.
	unitsPerCall = 10
	// leastTold is the level from which a replica is told of: most replicas have no queue, and stay out of the table.
	leastTold = 1.0
	// freshUs is for how long a table is believed in whole, and fadeUs is how long it then takes to count for nothing.
	freshUs = 1000 * clock.Ms
	fadeUs  = 1500 * clock.Ms
)

// Table tells how many attempts wait at replicas for a first piece, in tenths, averaged over about a second. A replica
// that is not in it has hardly any. Later tables have a greater Epoch, or the same and a greater Number.
type Table struct {
	Epoch  uint64         `json:"epoch"`
	Number uint64         `json:"number"`
	Levels map[string]int `json:"levels,omitempty"`
}

// After says whether this table is newer than another.
func (t Table) After(o Table) bool {
	return t.Epoch > o.Epoch || (t.Epoch == o.Epoch && t.Number > o.Number)
}

// Waiting is how many attempts wait at a replica.
func (t Table) Waiting(replica string) float64 {
	return float64(t.Levels[replica]) / unitsPerCall
}

// Weight is how far a table that came at atUs is still believed: 1 while it is fresh, then less, at last 0.
func Weight(atUs, nowUs int64) float64 {
	oldUs := nowUs - atUs - freshUs
	return min(max(1-float64(oldUs)/float64(fadeUs), 0), 1)
}

// Meter averages what gateways report, at the leader.
type Meter struct {
	average map[string]float64
	atUs    int64
	number  uint64
}

// NewMeter is a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{average: map[string]float64{}} }

// Due says whether the next table is to be worked out.
func (m *Meter) Due(nowUs int64) bool { return nowUs-m.atUs >= publishEveryUs }

// Measure takes the attempts that wait now, by replica, and gives the next table of a leader.
func (m *Meter) Measure(nowUs int64, epoch uint64, waiting map[string]int) Table {
	m.atUs = nowUs
	m.number++
	for replica := range waiting {
		if _, known := m.average[replica]; !known {
			m.average[replica] = 0
		}
	}
	levels := map[string]int{}
	for _, replica := range slices.Sorted(maps.Keys(m.average)) {
		average := m.average[replica] + (float64(waiting[replica])-m.average[replica])*smoothing
		if average < 0.5/unitsPerCall {
			delete(m.average, replica)
			continue
		}
		m.average[replica] = average
		if average >= leastTold {
			levels[replica] = int(math.Round(average * unitsPerCall))
		}
	}
	return Table{Epoch: epoch, Number: m.number, Levels: levels}
}
