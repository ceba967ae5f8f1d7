package scaler

import (
	"sort"

	"petreltide/internal/api/configuration"
)

// Replica is one usable replica and its capacity in MB.
type Replica struct {
	ID         string
	CapacityMb int64
}

// Input is the input of Decide: the declaration, the calls per second and the waiting calls by model, and the usable
// replicas.
type Input struct {
	Doc     *configuration.Declaration
	Rates   map[string]float64
	Waiting map[string]int
	Usable  []Replica
}

// Count is the decision for one model. Replicas is the number of replicas that the model gets, and Wanted the number
// it would get with enough capacity. Rate is the demand in calls per second, waiting calls included. PerSecond and
// LatencyMs are the throughput and latency in the model's table at Replicas; Covers reports whether that throughput
// covers the rate.
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
	// queueSeconds is the time in seconds over which waiting calls are spread when they are counted as a rate.
	queueSeconds = 10.0
	// weightOnlyDivisor scales the weight of a model down so that a weight without a rate ranks below any rate.
	weightOnlyDivisor = 1e6
)

// Choose applies SpotServe's rule to one model. Among the counts 1..maxReplicas it selects:
//  1. the count with the lowest latency of those whose throughput covers the rate,
//  2. the lowest covering count instead whose latency is within similarPct percent of that,
//  3. the count with the highest throughput if no count covers the rate.
//
// It reports whether the selected count covers the rate. If maxReplicas is below 1 or the table is empty, it returns
// the zero point and false.
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

// fastestPoint returns the point with the lowest latency that covers the rate, or nil if none does.
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

// highestThroughput returns the point with the highest throughput; of equal ones, the first.
func highestThroughput(table []configuration.CapacityPoint) *configuration.CapacityPoint {
	best := &table[0]
	for i := range table {
		if table[i].CallsPerSecond > best.CallsPerSecond {
			best = &table[i]
		}
	}
	return best
}

// Decide returns the replica count of every model, in the order of the declaration. The usable replicas include new ones
// and exclude draining ones. The capacity of the spares is not used to raise counts above one.
func Decide(in Input) []Count {
	p := newPlan(in)
	order := p.computeWantedReplicas()
	p.sortByUrgency(order)
	p.placeFirstReplicas(order)
	p.addReplicas(order)
	p.lookUpPerformance()
	return p.counts
}

// plan is the state of one run of Decide: the counts so far and the capacity that they take.
type plan struct {
	in     Input
	spares int
	counts []Count
	// capacityMb is the total capacity of the usable replicas. budgetMb is the capacity without the largest replicas,
	// which are reserved as spares. usedMb is the capacity taken by the counts.
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

// computeWantedReplicas sets the wanted number of replicas of each model that has a weight or demand, and returns the
// indices of these models.
func (p *plan) computeWantedReplicas() (order []int) {
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

// sortByUrgency sorts model indices in descending order of rate and weight; models without a rate by weight alone.
func (p *plan) sortByUrgency(order []int) {
	urgency := func(i int) float64 {
		weight := p.in.Doc.Models[i].Weight
		return p.counts[i].Rate*float64(1+weight) + float64(weight)/weightOnlyDivisor
	}
	sort.SliceStable(order, func(a, b int) bool { return urgency(order[a]) > urgency(order[b]) })
}

// placeFirstReplicas gives each model one replica as far as the total capacity, spares included, allows.
func (p *plan) placeFirstReplicas(order []int) {
	for _, i := range order {
		if sizeMb := p.in.Doc.Models[i].SizeMB; p.usedMb+sizeMb <= p.capacityMb {
			p.counts[i].Replicas = 1
			p.usedMb += sizeMb
		}
	}
}

// addReplicas raises the counts round-robin by one replica, up to the wanted number and the capacity without spares.
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

// lookUpPerformance sets the throughput and latency of each count from the model's table.
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
