package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/controlplane/statemachine"
)

// Parameters of the wanted number of copies of a model.
const (
	// maxUtilization is the target maximum share of a replica's time that calls for one model take.
	maxUtilization = 0.33
	// maxUnstarted is the number of calls without a first output per copy above which more copies are wanted.
	maxUnstarted = 2.5
	// secondCopyRate is the rate, in calls per second, from which a model gets a second copy.
	secondCopyRate = 0.6
	// maxCopiesFraction is the fraction of the capacity up to which any further copies are added. maxReliefFraction is
	// the higher limit for copies of models whose utilization per copy exceeds reliefUtilization.
	maxCopiesFraction = 0.5
	maxReliefFraction = 0.85
	reliefUtilization = 0.8
)

// Cost model for choosing the replica of a new copy: the duration of loads and unloads in ms, and the ms that one unit
// of eviction loss or of utilization counts as.
const (
	warmLoadMs    = 600
	unloadMs      = 300
	lossMs        = 4000
	utilizationMs = 1500
	// noCopyUrgency is added to the urgency of a model that has no copy.
	noCopyUrgency = 3
)

// copiesFor returns how many replicas should hold a model under the given demand. The number follows from the
// utilization, and exceeds the current number of copies if unstarted calls accumulate at the replicas that hold it.
func (r *residentRun) copiesFor(name string, n Demand) int {
	switch {
	case n.Rate <= 0 && n.Waiting == 0:
		return 0
	case n.Rate < secondCopyRate:
		return 1
	}
	want := max(2, int(math.Ceil(n.Utilization/maxUtilization)))
	if copies := r.copies[name]; copies > 0 && float64(n.Unstarted)/float64(copies) > maxUnstarted {
		want = max(want, copies+1, min(2*copies, int(math.Ceil(float64(n.Unstarted)/maxUnstarted))))
	}
	return want
}

// limitToCapacity reduces the wanted copies to the capacity. Each model that wants several copies gets one first; then
// copies are added one at a time where each relieves the others most. Copies of overloaded models (above
// reliefUtilization) come first and may use up to maxReliefFraction of the capacity; other copies are added only up to
// maxCopiesFraction.
func (r *residentRun) limitToCapacity(usable int) {
	capacityMb := float64(usable) * float64(r.in.Engine.CapacityMB)
	c := &copyPlan{run: r, granted: map[string]int{}}
	for name, want := range r.wantedCopies {
		if want > 1 {
			c.names = append(c.names, name)
			c.add(name)
		}
	}
	slices.Sort(c.names)
	c.addUpTo(int64(capacityMb*maxReliefFraction), reliefUtilization)
	c.addUpTo(int64(capacityMb*maxCopiesFraction), 0)
	for _, name := range c.names {
		r.wantedCopies[name] = c.granted[name]
	}
}

// copyPlan holds the copies granted to models that want more than one copy, and the capacity that these copies take.
type copyPlan struct {
	run     *residentRun
	names   []string
	granted map[string]int
	spentMb int64
}

func (c *copyPlan) add(name string) {
	c.granted[name]++
	c.spentMb += c.run.modelByName[name].SizeMB
}

// addUpTo adds copies of models whose utilization per copy exceeds minUtilization, as long as all copies together take
// at most maxMb.
func (c *copyPlan) addUpTo(maxMb int64, minUtilization float64) {
	for {
		name := c.mostRelievedModel(maxMb, minUtilization)
		if name == "" {
			return
		}
		c.add(name)
	}
}

// mostRelievedModel returns the model for which one more copy reduces the utilization per copy most, or "" if no copy
// can be added.
func (c *copyPlan) mostRelievedModel(maxMb int64, minUtilization float64) string {
	best, relief := "", 0.0
	for _, name := range c.names {
		n := float64(c.granted[name])
		demand := c.run.in.Models[name].Utilization
		wanted := c.granted[name] < c.run.wantedCopies[name] && demand/n > minUtilization
		fits := c.spentMb+c.run.modelByName[name].SizeMB <= maxMb
		if wanted && fits && demand/(n*(n+1)) > relief {
			best, relief = name, demand/(n*(n+1))
		}
	}
	return best
}

// needsCopy reports whether a model has fewer copies than wanted. A model without any copy also needs waiting calls.
func (r *residentRun) needsCopy(name string) bool {
	return r.copies[name] < r.wantedCopies[name] && (r.copies[name] > 0 || r.in.Models[name].Waiting > 0)
}

// placeModels places all models that need a copy, in descending order of urgency. Of equally urgent ones, the one that calls have
// waited for longest comes first.
func (r *residentRun) placeModels() {
	names := []string{}
	for name := range r.wantedCopies {
		if r.needsCopy(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(r.urgency(b), r.urgency(a)); c != 0 {
			return c
		}
		return compareWait(r.in.Models, a, b)
	})
	for _, name := range names {
		r.placeModel(name)
	}
}

// compareWait orders two units by the time that calls have waited for them, longest first, and by name if that is equal.
func compareWait(demand map[string]Demand, a, b string) int {
	if c := cmp.Compare(demand[b].WaitingMs, demand[a].WaitingMs); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// urgency returns the priority of a further copy of a model. A model without a copy precedes most others.
func (r *residentRun) urgency(name string) float64 {
	n := r.in.Models[name]
	if r.copies[name] == 0 {
		return noCopyUrgency + float64(n.Waiting) + n.Rate
	}
	return (float64(n.Unstarted) + 2*n.Utilization) / float64(r.copies[name])
}

// placeModel selects the replica with the lowest placement cost for a model and proposes the first step to load it there.
func (r *residentRun) placeModel(name string) {
	best, bestCost := -1, 0.0
	for i := range r.in.Candidates {
		cost, ok := r.placeCost(i, name)
		if ok && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		r.unplaced = append(r.unplaced, name)
		return
	}
	r.placeModelAt(best, name)
}

// placeCost returns the cost in ms of placing a model on a replica: the time until it is loaded, plus the eviction loss
// and the utilization of the replica converted to ms. It reports false if the model cannot be placed there.
func (r *residentRun) placeCost(i int, name string) (costMs float64, ok bool) {
	candidate, m := &r.in.Candidates[i], r.modelByName[name]
	if !candidate.Usable || r.busy[i] {
		return 0, false
	}
	if _, has := candidate.SizeMbOf[name]; has {
		return 0, false
	}
	if !candidate.WarmUnits[name] && r.storeLoadsLeft <= 0 {
		return 0, false
	}
	out, loss, fits := r.evictionFor(i, m.SizeMB)
	if !fits {
		return 0, false
	}
	costMs = float64(m.LoadMs)
	if candidate.WarmUnits[name] {
		costMs = min(warmLoadMs, costMs)
	}
	return costMs + (unloadMs*float64(len(out)) + lossMs*loss + utilizationMs*r.utilization[i]), true
}

// placeModelAt proposes the next step to load a model on a replica: an eviction if capacity is missing, else the load.
func (r *residentRun) placeModelAt(i int, name string) {
	candidate := &r.in.Candidates[i]
	if r.busy[i] {
		return
	}
	victims, _, ok := r.evictionFor(i, r.modelByName[name].SizeMB)
	switch {
	case !ok, len(victims) == 0 && !candidate.WarmUnits[name] && r.storeLoadsLeft <= 0:
		return
	case len(victims) > 0:
		r.unload(i, victims[0], "room for "+name)
		r.proposals[len(r.proposals)-1].For = name
		return
	}
	r.load(i, name, "asked for")
}

// load proposes a load and counts the new copy at once.
func (r *residentRun) load(i int, name, why string) {
	if !r.in.Candidates[i].WarmUnits[name] {
		r.storeLoadsLeft--
	}
	r.copies[name]++
	r.propose(i, statemachine.Load, name, why)
}

// unload proposes an unload and stops counting the copy at once, so that no second copy is evicted for the same reason.
func (r *residentRun) unload(i int, unit, why string) {
	r.copies[unit]--
	r.propose(i, statemachine.Unload, unit, why)
}
