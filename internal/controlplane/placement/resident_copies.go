package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/controlplane/statemachine"
)

// How many copies of a model there should be.
const (
	// maxUtilization is the share of a replica's time that calls for one model should take.
	maxUtilization = 0.33
	// maxUnstarted is how many calls without a first piece a copy bears.
	maxUnstarted = 2.5
	// secondCopyRate is the rate of calls from which a model gets a second copy.
	secondCopyRate = 0.6
	// maxCopiesFraction and maxReliefFraction are the parts of the room that copies may take, all and those of models whose
	// copies bear more than reliefUtilization each.
	maxCopiesFraction = 0.5
	maxReliefFraction = 0.85
	reliefUtilization = 0.8
)

// Where a copy goes: the time that steps take, and the time that what is lost is put at.
const (
	warmLoadMs    = 600
	unloadMs      = 300
	lossMs        = 4000
	utilizationMs = 1500
	// noCopyUrgency is added to the urgency of a model without a copy.
	noCopyUrgency = 3
)

// copiesFor is how many replicas should hold a model that is called for so: by how much of a replica's time
// its calls take, and more than now where calls pile up at those that have it.
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

// limitToCapacity cuts what is wanted to the room there is: one copy of each model first, then one more at a time
// where a copy relieves most. What keeps replicas from falling behind goes first and may take most of the
// room, copies beyond that no more than their part of it.
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

// copyPlan counts the copies of models that more than one copy is wanted of, and the room that they take.
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

// addUpTo adds copies while all take no more than maxMb, of models whose copies bear more than minUtilization each.
func (c *copyPlan) addUpTo(maxMb int64, minUtilization float64) {
	for {
		name := c.mostRelievedModel(maxMb, minUtilization)
		if name == "" {
			return
		}
		c.add(name)
	}
}

// mostRelievedModel names the model of which one more copy takes most load from each of the others; "" where none may
// be added.
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

// needsCopy: calls wait for a model that nobody has, or too few have it.
func (r *residentRun) needsCopy(name string) bool {
	return r.copies[name] < r.wantedCopies[name] && (r.copies[name] > 0 || r.in.Models[name].Waiting > 0)
}

// placeModels places those that nobody holds though calls wait, and those that are held by too few, as it
// presses most.
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
		return cmp.Compare(a, b)
	})
	for _, name := range names {
		r.placeModel(name)
	}
}

// urgency is how much a further copy of a model presses; one that nobody has comes before most others.
func (r *residentRun) urgency(name string) float64 {
	n := r.in.Models[name]
	if r.copies[name] == 0 {
		return noCopyUrgency + float64(n.Waiting) + n.Rate
	}
	return (float64(n.Unstarted) + 2*n.Utilization) / float64(r.copies[name])
}

// placeModel finds the replica at which a model is soonest there at the least harm, and proposes the first
// step towards it.
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

// placeCost is the time until a model is at a replica, in ms, and what is lost by it there in the same measure.
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
	out, loss, ok := r.evictionFor(i, m.SizeMB)
	if !ok {
		return 0, false
	}
	costMs = float64(m.LoadMs)
	if candidate.WarmUnits[name] {
		costMs = min(warmLoadMs, costMs)
	}
	return costMs + (unloadMs*float64(len(out)) + lossMs*loss + utilizationMs*r.utilization[i]), true
}

// placeModelAt proposes the next step by which a model comes to a replica.
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

// load proposes a load, and counts the copy as there.
func (r *residentRun) load(i int, name, why string) {
	if !r.in.Candidates[i].WarmUnits[name] {
		r.storeLoadsLeft--
	}
	r.copies[name]++
	r.propose(i, statemachine.Load, name, why)
}

// unload counts a copy out at once, so that no second one of it goes for the same reason.
func (r *residentRun) unload(i int, unit, why string) {
	r.copies[unit]--
	r.propose(i, statemachine.Unload, unit, why)
}
