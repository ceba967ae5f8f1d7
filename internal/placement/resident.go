package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/ledger"
	"petreltide/internal/standing"
)

// ResidentName is the policy that is built in for services with an engine: it treats the replicas' room as
// a cache of models. Others are written as programs; every proposal is checked alike.
const ResidentName = "resident"

// Need is what calls ask of a model or an adapter. Rate is calls a second, Demand the share of one
// replica's time that they take; Waiting calls find no replica that has it.
type Need struct {
	Rate    float64
	Demand  float64
	Waiting int
	// Unread calls are at replicas and have no first piece yet.
	Unread int
	IdleMs int64
}

// Home is one replica of a service with an engine.
type Home struct {
	ID     string
	Usable bool
	Busy   bool
	FreeMb int64
	Holds  map[string]int64
	Had    map[string]bool
	Coming string
	Going  string
	// Intended is the model that room was made for here a moment ago.
	Intended string
	Runs     map[string]int
	Unread   map[string]int
	AgeMs    map[string]int64
}

// Service is one service's part of the fleet, as the resident policy reads it. StoreLeft is how many loads
// from the store may begin now.
type Service struct {
	Name      string
	Engine    *standing.Engine
	Homes     []Home
	Models    map[string]Need
	Adapters  map[string]Need
	StoreLeft int
	Spares    int
}

const (
	demandMost     = 0.33
	unreadMost     = 2.5
	secondRate     = 0.6
	warmMs         = 600
	unloadMs       = 300
	youngMs        = 1500
	adapterYoungMs = 800
	spareHarmMost  = 0.4
	spareIdleMs    = 4000
	copiesMost     = 0.5
	coverMost      = 0.85
	coverLoad      = 0.8
	runsWorth      = 0.5
	foundingWorth  = 0.1
	seldomPart     = 0.1
)

type resident struct {
	in     Service
	sizes  map[string]*standing.EngineModel
	free   []int64
	taken  []bool
	demand []float64
	held   map[string]int
	want   map[string]int
	store  int
	out    []Proposal

	unplaced []string
	victims  [][]victim
}

// victim is a unit that may go from a replica, and what would be lost.
type victim struct {
	unit  string
	mb    int64
	worth float64
}

// Resident proposes loads for models that calls wait for, then for adapters, then copies of models whose
// calls take more than their replicas should give, and unloads what is worth least to make room for them.
func Resident(in Service) (proposals []Proposal, unplaced []string) {
	p := &resident{in: in, sizes: map[string]*standing.EngineModel{}, held: map[string]int{}, want: map[string]int{}, store: in.StoreLeft, victims: make([][]victim, len(in.Homes))}
	for i := range in.Engine.Models {
		p.sizes[in.Engine.Models[i].Name] = &in.Engine.Models[i]
	}
	p.free, p.taken, p.demand = make([]int64, len(in.Homes)), make([]bool, len(in.Homes)), make([]float64, len(in.Homes))
	usable := 0
	for i := range in.Homes {
		h := &in.Homes[i]
		p.free[i], p.taken[i] = h.FreeMb, h.Busy
		if !h.Usable {
			continue
		}
		usable++
		for unit := range h.Holds {
			if p.sizes[unit] != nil && unit != h.Going {
				p.held[unit]++
			}
		}
		if p.sizes[h.Coming] != nil {
			p.held[h.Coming]++
		}
	}
	for name, n := range in.Models {
		if p.sizes[name] != nil {
			p.want[name] = min(p.wanted(name, n), usable)
		}
	}
	p.share(usable)
	for i := range in.Homes {
		for unit := range in.Homes[i].Holds {
			if p.held[unit] > 0 {
				p.demand[i] += in.Models[unit].Demand / float64(p.held[unit])
			}
		}
	}
	p.intended()
	p.models()
	p.adapters()
	p.spares()
	return p.out, p.unplaced
}

// spares keeps room for one more model free on a few replicas, and a place for one more adapter on those
// that are full, so that what is asked for next need not wait for something to go first.
func (p *resident) spares() {
	var largestMb int64
	for _, m := range p.sizes {
		largestMb = max(largestMb, m.SizeMb)
	}
	free, best, bestHarm := 0, -1, 0.0
	var first string
	for i := range p.in.Homes {
		h := &p.in.Homes[i]
		if !h.Usable {
			continue
		}
		if h.Going != "" && p.sizes[h.Going] != nil || p.free[i] >= largestMb && !p.taken[i] {
			free++
			continue
		}
		if p.taken[i] {
			continue
		}
		if victims, harm, ok := p.makeRoom(i, largestMb); ok && harm < spareHarmMost && (best < 0 || harm < bestHarm) {
			best, bestHarm, first = i, harm, victims[0]
		}
	}
	if free < p.in.Spares && best >= 0 {
		p.unload(best, first, "a spare")
	}
	for i := range p.in.Homes {
		p.spareAdapter(i)
	}
}

func (p *resident) spareAdapter(i int) {
	h := &p.in.Homes[i]
	if !h.Usable || p.taken[i] {
		return
	}
	places, least, leastMs := 0, "", int64(spareIdleMs)
	for unit := range h.Holds {
		if _, adapter := standing.Units(unit); adapter == "" {
			continue
		}
		places++
		n, known := p.in.Adapters[unit]
		idleMs := n.IdleMs
		if !known {
			idleMs = 1 << 40
		}
		if idleMs > leastMs || (idleMs == leastMs && unit < least) {
			least, leastMs = unit, idleMs
		}
	}
	if places >= p.in.Engine.AdaptersMost && least != "" {
		p.taken[i] = true
		p.out = append(p.out, Proposal{Step: ledger.Unload, Replica: h.ID, Unit: least, Why: "a spare place"})
	}
}

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
	roomMb := float64(usable) * float64(p.in.Engine.RoomMb)
	got := map[string]int{}
	names := []string{}
	var spentMb int64
	for name, want := range p.want {
		if want > 1 {
			names = append(names, name)
			got[name] = 1
			spentMb += p.sizes[name].SizeMb
		}
	}
	slices.Sort(names)
	add := func(mostMb int64, loadLeast float64) {
		for {
			best, relief := "", 0.0
			for _, name := range names {
				n := float64(got[name])
				demand := p.in.Models[name].Demand
				if got[name] < p.want[name] && demand/n > loadLeast && spentMb+p.sizes[name].SizeMb <= mostMb && demand/(n*(n+1)) > relief {
					best, relief = name, demand/(n*(n+1))
				}
			}
			if best == "" {
				return
			}
			got[best]++
			spentMb += p.sizes[best].SizeMb
		}
	}
	add(int64(roomMb*coverMost), coverLoad)
	add(int64(roomMb*copiesMost), 0)
	for _, name := range names {
		p.want[name] = got[name]
	}
}

// intended goes on with what room was made for, at the replica where it was made, and counts it as on its
// way: more copies may be begun beside it.
func (p *resident) intended() {
	for i := range p.in.Homes {
		h := &p.in.Homes[i]
		if h.Intended == "" || p.sizes[h.Intended] == nil || !h.Usable || !p.wants(h.Intended) {
			continue
		}
		held, free := p.held[h.Intended], !p.taken[i]
		p.placeAt(i, h.Intended)
		if free && !p.taken[i] && !h.Had[h.Intended] {
			p.store--
		}
		p.held[h.Intended], p.taken[i] = held+1, true
	}
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

func (p *resident) urgency(name string) float64 {
	n := p.in.Models[name]
	if p.held[name] == 0 {
		return 3 + float64(n.Waiting) + n.Rate
	}
	return (float64(n.Unread) + 2*n.Demand) / float64(p.held[name])
}

// place finds the replica at which a model is soonest there at the least harm, and proposes the first
// step towards it.
func (p *resident) place(name string) {
	m := p.sizes[name]
	best, bestCost := -1, 0.0
	for i := range p.in.Homes {
		h := &p.in.Homes[i]
		if !h.Usable || p.taken[i] {
			continue
		}
		if _, has := h.Holds[name]; has {
			continue
		}
		if !h.Had[name] && p.store <= 0 {
			continue
		}
		out, harm, ok := p.makeRoom(i, m.SizeMb)
		if !ok {
			continue
		}
		cost := float64(m.LoadMs)
		if h.Had[name] {
			cost = min(warmMs, cost)
		}
		cost += unloadMs*float64(len(out)) + 4000*harm + 1500*p.demand[i]
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		p.unplaced = append(p.unplaced, name)
		return
	}
	p.placeAt(best, name)
}

// placeAt proposes the next step by which a model comes to a replica.
func (p *resident) placeAt(i int, name string) {
	h := &p.in.Homes[i]
	if p.taken[i] {
		return
	}
	victims, _, ok := p.makeRoom(i, p.sizes[name].SizeMb)
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

func (p *resident) load(i int, name, why string) {
	h := &p.in.Homes[i]
	p.taken[i] = true
	if !h.Had[name] {
		p.store--
	}
	p.held[name]++
	p.out = append(p.out, Proposal{Step: ledger.Load, Replica: h.ID, Unit: name, Why: why})
}

// unload counts a copy out at once, so that no second one of it goes for the same reason.
func (p *resident) unload(i int, unit, why string) {
	p.taken[i] = true
	p.held[unit]--
	p.out = append(p.out, Proposal{Step: ledger.Unload, Replica: p.in.Homes[i].ID, Unit: unit, Why: why})
}

// makeRoom names what would have to go for a model of this size, least worth first; an adapter goes with
// its model.
func (p *resident) makeRoom(i int, sizeMb int64) (victims []string, harm float64, ok bool) {
	freeMb := p.free[i]
	if freeMb >= sizeMb {
		return nil, 0, true
	}
	for _, v := range p.victimsOf(i) {
		if freeMb >= sizeMb {
			break
		}
		if p.sizes[v.unit] != nil {
			worth, may := p.worth(i, v.unit)
			if !may {
				continue
			}
			v.worth = worth
		}
		victims = append(victims, v.unit)
		harm += v.worth
		freeMb += v.mb
	}
	return victims, harm, freeMb >= sizeMb
}

// victimsOf are a replica's units, least worth first; they are put in order once a run.
func (p *resident) victimsOf(i int) []victim {
	if p.victims[i] != nil {
		return p.victims[i]
	}
	h := &p.in.Homes[i]
	all := []victim{}
	for unit, mb := range h.Holds {
		if p.sizes[unit] == nil {
			if model, adapter := standing.Units(unit); adapter == "" || p.sizes[model] == nil {
				all = append(all, victim{unit, mb, 0})
			}
			continue
		}
		if worth, may := p.worth(i, unit); may {
			all = append(all, victim{unit, mb + p.adaptersMb(h, unit), worth})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		if c := cmp.Compare(a.worth, b.worth); c != 0 {
			return c
		}
		return cmp.Compare(a.unit, b.unit)
	})
	p.victims[i] = all
	return all
}

func (p *resident) adaptersMb(h *Home, model string) int64 {
	var sumMb int64
	for unit, mb := range h.Holds {
		if of, adapter := standing.Units(unit); adapter != "" && of == model {
			sumMb += mb
		}
	}
	return sumMb
}

// worth is what is lost if a model goes from a replica: little while more than enough others hold it, else
// by how often and how lately it was called for. Copies of what is called for often, what is wanted at
// once, what has only just come and what calls have not begun on stays.
func (p *resident) worth(i int, unit string) (worth float64, may bool) {
	h, n := &p.in.Homes[i], p.in.Models[unit]
	held := max(p.held[unit], 1)
	if n.Waiting > 0 && held <= 1 {
		return 0, false
	}
	if age, known := h.AgeMs[unit]; known && age < youngMs {
		return 0, false
	}
	if h.Unread[unit] > 0 {
		return 0, false
	}
	often := n.Rate >= secondRate/2
	if often && held <= p.want[unit] {
		return 0, false
	}
	_, called := p.in.Models[unit]
	_, came := h.AgeMs[unit]
	switch {
	case !called && !came:
		worth = foundingWorth / float64(held)
	case often:
		worth = n.Rate / float64(held)
	default:
		worth = seldomPart * n.Rate / float64(held)
	}
	if called {
		worth += 0.05 * math.Exp(-float64(n.IdleMs)/15000)
	}
	if held > max(p.want[unit], 1) {
		worth *= 0.2
	}
	if runs := h.Runs[unit]; runs > 0 {
		worth += runsWorth + 0.3*float64(runs)
	}
	return worth, true
}

// adapters gives each adapter that calls wait for a place beside its model.
func (p *resident) adapters() {
	units := []string{}
	for unit, n := range p.in.Adapters {
		if n.Waiting > 0 {
			units = append(units, unit)
		}
	}
	slices.SortFunc(units, func(a, b string) int {
		if c := cmp.Compare(p.in.Adapters[b].Waiting, p.in.Adapters[a].Waiting); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, unit := range units {
		p.adapter(unit)
	}
}

func (p *resident) adapter(unit string) {
	model, adapter := standing.Units(unit)
	m := p.sizes[model]
	if m == nil || !m.HasAdapter(adapter) {
		return
	}
	best, bestCost, victim := -1, 0.0, ""
	for i := range p.in.Homes {
		h := &p.in.Homes[i]
		if !h.Usable {
			continue
		}
		if h.Going == model {
			continue
		}
		if _, has := h.Holds[unit]; (has && h.Going != unit) || h.Coming == unit {
			return
		}
		if _, has := h.Holds[model]; !has || p.taken[i] {
			continue
		}
		places, least, leastWorth := 0, "", 0.0
		for other := range h.Holds {
			if _, a := standing.Units(other); a == "" {
				continue
			}
			places++
			if age, known := h.AgeMs[other]; known && age < adapterYoungMs {
				continue
			}
			n := p.in.Adapters[other]
			worth := n.Rate + math.Exp(-float64(n.IdleMs)/5000)
			if least == "" || worth < leastWorth || (worth == leastWorth && other < least) {
				least, leastWorth = other, worth
			}
		}
		cost := p.demand[i] + 0.02*float64(places)
		full := places >= p.in.Engine.AdaptersMost || p.free[i] < m.AdapterMb
		if full {
			if least == "" {
				continue
			}
			cost += 0.5 + leastWorth
		} else {
			least = ""
		}
		if best < 0 || cost < bestCost {
			best, bestCost, victim = i, cost, least
		}
	}
	if best < 0 {
		p.unplaced = append(p.unplaced, unit)
		return
	}
	h := &p.in.Homes[best]
	p.taken[best] = true
	if victim != "" {
		p.out = append(p.out, Proposal{Step: ledger.Unload, Replica: h.ID, Unit: victim, Why: "a place for " + unit})
		return
	}
	p.out = append(p.out, Proposal{Step: ledger.Load, Replica: h.ID, Unit: unit, Why: "asked for"})
}
