package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/feature"
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
	Engine    *configuration.Engine
	Homes     []Home
	Models    map[string]Need
	Adapters  map[string]Need
	StoreLeft int
	Spares    int
	// Disable are mechanisms that are switched off.
	Disable feature.Disabled
}

// resident is one run of the policy.
type resident struct {
	in    Service
	sizes map[string]*configuration.EngineModel
	// By replica, in the order of in.Homes: MB that are free, whether it has its proposal of this run, the share of
	// its time that calls take, and what may go from it.
	free    []int64
	taken   []bool
	demand  []float64
	victims [][]victim
	// By model: copies that there are or that are coming, and how many there should be.
	held map[string]int
	want map[string]int
	// store is how many loads from the store may still be proposed.
	store int

	out      []Proposal
	unplaced []string
}

// Resident proposes loads for models that calls wait for, then for adapters, then copies of models whose
// calls take more than their replicas should give, and unloads what is worth least to make room for them.
func Resident(in Service) (proposals []Proposal, unplaced []string) {
	p := newResident(in)
	usable := p.countCopies()
	p.wantCopies(usable)
	p.spreadDemand()
	p.intended()
	p.models()
	p.adapters()
	if !p.in.Disable.Has(feature.SpareCapacity) {
		p.spares()
	}
	return p.out, p.unplaced
}

func newResident(in Service) *resident {
	homes := len(in.Homes)
	p := &resident{
		in: in, sizes: map[string]*configuration.EngineModel{}, held: map[string]int{}, want: map[string]int{}, store: in.StoreLeft,
		free: make([]int64, homes), taken: make([]bool, homes), demand: make([]float64, homes), victims: make([][]victim, homes),
	}
	for i := range in.Engine.Models {
		p.sizes[in.Engine.Models[i].Name] = &in.Engine.Models[i]
	}
	for i := range in.Homes {
		p.free[i], p.taken[i] = in.Homes[i].FreeMb, in.Homes[i].Busy
	}
	return p
}

// countCopies counts at how many usable replicas each model is or is coming, and how many are usable.
func (p *resident) countCopies() (usable int) {
	for i := range p.in.Homes {
		h := &p.in.Homes[i]
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
	return usable
}

// wantCopies says how many copies of each model there should be, as far as there is room.
func (p *resident) wantCopies(usable int) {
	for name, n := range p.in.Models {
		if p.sizes[name] != nil {
			p.want[name] = min(p.wanted(name, n), usable)
		}
	}
	p.share(usable)
}

// spreadDemand divides what each model's calls take among the replicas that hold it.
func (p *resident) spreadDemand() {
	for i := range p.in.Homes {
		for unit := range p.in.Homes[i].Holds {
			if p.held[unit] > 0 {
				p.demand[i] += p.in.Models[unit].Demand / float64(p.held[unit])
			}
		}
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
