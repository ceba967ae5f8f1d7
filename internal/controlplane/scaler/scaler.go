package scaler

import (
	"sort"

	"petreltide/internal/api/configuration"
)

// Replica is one replica and how much it holds.
type Replica struct {
	ID         string
	CapacityMb int64
}

// Input is what the counts depend on: calls a second and calls waiting by model, and the replicas that can be used.
type Input struct {
	Doc     *configuration.Declaration
	Rates   map[string]float64
	Waiting map[string]int
	Usable  []Replica
}

// Count is how many replicas a model gets, and Wanted how many it would get if there were room. PerSecond and LatencyMs
// are those of the table at Replicas; Covers says that they bear the rate.
type Count struct {
	Model     string  `json:"model"`
	Replicas  int     `json:"replicas"`
	Wanted    int     `json:"wanted"`
	Rate      float64 `json:"rate"`
	PerSecond float64 `json:"perSecond"`
	LatencyMs int64   `json:"latencyMs"`
	Covers    bool    `json:"covers"`
}

const (
	// queueSeconds is the time over which calls that wait are spread when they are counted as a rate.
	queueSeconds = 10.0
	// weightOnlyDivisor makes a weight without a rate less urgent than any rate.
	weightOnlyDivisor = 1e6
)

// Choose is the source's rule for one model over counts 1..most: lowest latency among those
// that cover the rate, fewer replicas when latencies are similar, and the most throughput
// when nothing covers.
func Choose(table []configuration.CapacityPoint, rate float64, maxReplicas, similarPct int) (configuration.CapacityPoint, bool) {
	maxReplicas = min(maxReplicas, len(table))
	if maxReplicas < 1 {
		return configuration.CapacityPoint{}, false
	}
	table = table[:maxReplicas]
	best := fastestPoint(table, rate)
	if best == nil {
		return *highestThroughput(table), false
	}
	limitMs := best.LatencyMs + best.LatencyMs*int64(similarPct)/100
	for _, p := range table {
		if p.CallsPerSecond >= rate && p.LatencyMs <= limitMs {
			return p, true
		}
	}
	return *best, true
}

// fastestPoint is the point of the lowest latency that covers the rate; nil where none does.
func fastestPoint(table []configuration.CapacityPoint, rate float64) *configuration.CapacityPoint {
	var best *configuration.CapacityPoint
	for i := range table {
		p := &table[i]
		if p.CallsPerSecond >= rate && (best == nil || p.LatencyMs < best.LatencyMs) {
			best = p
		}
	}
	return best
}

// highestThroughput is the point of the most throughput.
func highestThroughput(table []configuration.CapacityPoint) *configuration.CapacityPoint {
	best := &table[0]
	for i := range table {
		if table[i].CallsPerSecond > best.CallsPerSecond {
			best = &table[i]
		}
	}
	return best
}

// Decide gives every model its count. The usable replicas include new ones and exclude
// leaving ones; the spares' room is left out when counts are raised above one.
func Decide(in Input) []Count {
	p := newPlan(in)
	order := p.lookUpWanted()
	p.sortByUrgency(order)
	p.placeFirst(order)
	p.addReplicas(order)
	p.lookUpPerformance()
	return p.counts
}

// plan is one run of Decide: the counts so far, and the room that they take.
type plan struct {
	in     Input
	spares int
	counts []Count
	// capacityMb is the room of all usable replicas, budgetMb that without the largest as spares.
	capacityMb, budgetMb, usedMb int64
}

func newPlan(in Input) *plan {
	usable := len(in.Usable)
	p := &plan{in: in, spares: min(in.Doc.Scaler.StandbyReplicas, max(0, usable-1)), counts: make([]Count, len(in.Doc.Models))}
	capacitiesMb := make([]int64, 0, usable)
	for _, r := range in.Usable {
		capacitiesMb = append(capacitiesMb, r.CapacityMb)
		p.capacityMb += r.CapacityMb
	}
	sort.Slice(capacitiesMb, func(i, j int) bool { return capacitiesMb[i] > capacitiesMb[j] })
	p.budgetMb = p.capacityMb
	for _, mb := range capacitiesMb[:p.spares] {
		p.budgetMb -= mb
	}
	return p
}

// lookUpWanted looks up how many replicas each model should have, and gives the places of those that should have any.
func (p *plan) lookUpWanted() (order []int) {
	usable := len(p.in.Usable)
	order = make([]int, 0, len(p.counts))
	for i, m := range p.in.Doc.Models {
		rate := p.in.Rates[m.Name] + float64(p.in.Waiting[m.Name])/queueSeconds
		p.counts[i] = Count{Model: m.Name, Rate: rate}
		if usable == 0 || (m.Weight == 0 && rate == 0) {
			continue
		}
		point, covers := Choose(m.Capacity, rate, max(1, usable-p.spares), p.in.Doc.Scaler.LatencyTolerancePct)
		p.counts[i].Wanted, p.counts[i].Covers = point.Replicas, covers
		order = append(order, i)
	}
	return order
}

// sortByUrgency sorts models by rate and weight; without a rate, by weight alone.
func (p *plan) sortByUrgency(order []int) {
	urgency := func(i int) float64 {
		weight := p.in.Doc.Models[i].Weight
		return p.counts[i].Rate*float64(1+weight) + float64(weight)/weightOnlyDivisor
	}
	sort.SliceStable(order, func(a, b int) bool { return urgency(order[a]) > urgency(order[b]) })
}

// placeFirst gives each model one replica, while there is room at all.
func (p *plan) placeFirst(order []int) {
	for _, i := range order {
		if sizeMb := p.in.Doc.Models[i].SizeMB; p.usedMb+sizeMb <= p.capacityMb {
			p.counts[i].Replicas = 1
			p.usedMb += sizeMb
		}
	}
}

// addReplicas gives models one replica more in turns, up to what they want and the spares leave room for.
func (p *plan) addReplicas(order []int) {
	for raised := true; raised; {
		raised = false
		for _, i := range order {
			c, sizeMb := &p.counts[i], p.in.Doc.Models[i].SizeMB
			if c.Replicas > 0 && c.Replicas < c.Wanted && p.usedMb+sizeMb <= p.budgetMb {
				c.Replicas++
				p.usedMb += sizeMb
				raised = true
			}
		}
	}
}

// lookUpPerformance adds what the tables say of the counts.
func (p *plan) lookUpPerformance() {
	for i := range p.counts {
		c := &p.counts[i]
		if c.Replicas == 0 {
			continue
		}
		point := p.in.Doc.Models[i].Capacity[c.Replicas-1]
		c.PerSecond, c.LatencyMs = point.CallsPerSecond, point.LatencyMs
		c.Covers = point.CallsPerSecond >= c.Rate
	}
}
