package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/controlplane/statemachine"
)

// How many copies of a model there should be.
const (
	// demandMost is the share of a replica's time that calls for one model should take.
	demandMost = 0.33
	// unreadMost is how many calls without a first piece a copy bears.
	unreadMost = 2.5
	// secondRate is the rate of calls from which a model gets a second copy.
	secondRate = 0.6
	// copiesMost and coverMost are the parts of the room that copies may take, all and those of models whose
	// copies bear more than coverLoad each.
	copiesMost = 0.5
	coverMost  = 0.85
	coverLoad  = 0.8
)

// Where a copy goes: the time that steps take, and the time that what is lost is put at.
const (
	warmMs   = 600
	unloadMs = 300
	harmMs   = 4000
	demandMs = 1500
	// nobodyHasIt is added to the urgency of a model without a copy.
	nobodyHasIt = 3
)

// wanted is how many replicas should hold a model that is called for so: by how much of a replica's time
// its calls take, and more than now where calls pile up at those that have it.
func (p *resident) wanted(name string, n Need) int {
	switch {
	case n.Rate <= 0 && n.Waiting == 0:
		return 0
	case n.Rate < secondRate:
		return 1
	}
	want := max(2, int(math.Ceil(n.Demand/demandMost)))
	if held := p.held[name]; held > 0 && float64(n.Unread)/float64(held) > unreadMost {
		want = max(want, held+1, min(2*held, int(math.Ceil(float64(n.Unread)/unreadMost))))
	}
	return want
}

// share cuts what is wanted to the room there is: one copy of each model first, then one more at a time
// where a copy relieves most. What keeps replicas from falling behind goes first and may take most of the
// room, copies beyond that no more than their part of it.
func (p *resident) share(usable int) {
	roomMb := float64(usable) * float64(p.in.Engine.CapacityMB)
	c := &copies{p: p, got: map[string]int{}}
	for name, want := range p.want {
		if want > 1 {
			c.names = append(c.names, name)
			c.add(name)
		}
	}
	slices.Sort(c.names)
	c.addUpTo(int64(roomMb*coverMost), coverLoad)
	c.addUpTo(int64(roomMb*copiesMost), 0)
	for _, name := range c.names {
		p.want[name] = c.got[name]
	}
}

// copies counts the copies of models that more than one copy is wanted of, and the room that they take.
type copies struct {
	p       *resident
	names   []string
	got     map[string]int
	spentMb int64
}

func (c *copies) add(name string) {
	c.got[name]++
	c.spentMb += c.p.sizes[name].SizeMB
}

// addUpTo adds copies while all take no more than mostMb, of models whose copies bear more than loadLeast each.
func (c *copies) addUpTo(mostMb int64, loadLeast float64) {
	for {
		name := c.mostRelieved(mostMb, loadLeast)
		if name == "" {
			return
		}
		c.add(name)
	}
}

// mostRelieved names the model of which one more copy takes most load from each of the others; "" where none may
// be added.
func (c *copies) mostRelieved(mostMb int64, loadLeast float64) string {
	best, relief := "", 0.0
	for _, name := range c.names {
		n := float64(c.got[name])
		demand := c.p.in.Models[name].Demand
		wanted := c.got[name] < c.p.want[name] && demand/n > loadLeast
		fits := c.spentMb+c.p.sizes[name].SizeMB <= mostMb
		if wanted && fits && demand/(n*(n+1)) > relief {
			best, relief = name, demand/(n*(n+1))
		}
	}
	return best
}

// wants: calls wait for a model that nobody has, or too few have it.
func (p *resident) wants(name string) bool {
	return p.held[name] < p.want[name] && (p.held[name] > 0 || p.in.Models[name].Waiting > 0)
}

// models places those that nobody holds though calls wait, and those that are held by too few, as it
// presses most.
func (p *resident) models() {
	names := []string{}
	for name := range p.want {
		if p.wants(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(p.urgency(b), p.urgency(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, name := range names {
		p.place(name)
	}
}

// urgency is how much a further copy of a model presses; one that nobody has comes before most others.
func (p *resident) urgency(name string) float64 {
	n := p.in.Models[name]
	if p.held[name] == 0 {
		return nobodyHasIt + float64(n.Waiting) + n.Rate
	}
	return (float64(n.Unread) + 2*n.Demand) / float64(p.held[name])
}

// place finds the replica at which a model is soonest there at the least harm, and proposes the first
// step towards it.
func (p *resident) place(name string) {
	best, bestCost := -1, 0.0
	for i := range p.in.Homes {
		cost, may := p.placeCost(i, name)
		if may && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		p.unplaced = append(p.unplaced, name)
		return
	}
	p.placeAt(best, name)
}

// placeCost is the time until a model is at a replica, in ms, and what is lost by it there in the same measure.
func (p *resident) placeCost(i int, name string) (costMs float64, may bool) {
	h, m := &p.in.Homes[i], p.sizes[name]
	if !h.Usable || p.taken[i] {
		return 0, false
	}
	if _, has := h.Holds[name]; has {
		return 0, false
	}
	if !h.Had[name] && p.store <= 0 {
		return 0, false
	}
	out, harm, ok := p.makeRoom(i, m.SizeMB)
	if !ok {
		return 0, false
	}
	costMs = float64(m.LoadMs)
	if h.Had[name] {
		costMs = min(warmMs, costMs)
	}
	return costMs + (unloadMs*float64(len(out)) + harmMs*harm + demandMs*p.demand[i]), true
}

// placeAt proposes the next step by which a model comes to a replica.
func (p *resident) placeAt(i int, name string) {
	h := &p.in.Homes[i]
	if p.taken[i] {
		return
	}
	victims, _, ok := p.makeRoom(i, p.sizes[name].SizeMB)
	switch {
	case !ok, len(victims) == 0 && !h.Had[name] && p.store <= 0:
		return
	case len(victims) > 0:
		p.unload(i, victims[0], "room for "+name)
		p.out[len(p.out)-1].For = name
		return
	}
	p.load(i, name, "asked for")
}

// load proposes a load, and counts the copy as there.
func (p *resident) load(i int, name, why string) {
	if !p.in.Homes[i].Had[name] {
		p.store--
	}
	p.held[name]++
	p.propose(i, statemachine.Load, name, why)
}

// unload counts a copy out at once, so that no second one of it goes for the same reason.
func (p *resident) unload(i int, unit, why string) {
	p.held[unit]--
	p.propose(i, statemachine.Unload, unit, why)
}
