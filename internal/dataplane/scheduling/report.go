package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// Decision is a line of the log of what was decided and why.
type Decision struct {
	AtUs    int64  `json:"atUs"`
	Call    string `json:"call"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	What    string `json:"what"`
	Replica string `json:"replica,omitempty"`
	Why     string `json:"why"`
}

func (d *Decider) note(c *Call, what, replica, why string) {
	if len(d.Decisions) >= decisionMost {
		d.Decisions = append(d.Decisions[:0], d.Decisions[decisionMost/2:]...)
	}
	d.Decisions = append(d.Decisions, Decision{d.nowUs, c.ID, c.Kind, c.Model, what, replica, why})
}

func (d *Decider) turnSlots() {
	if d.slotAtUs == 0 {
		d.slotAtUs = d.nowUs
	}
	for n := 0; d.nowUs-d.slotAtUs >= arrivalUs; n++ {
		d.slotAtUs += arrivalUs
		if n >= rateSlots {
			d.slotAtUs = d.nowUs
		}
		d.slotNow = (d.slotNow + 1) % rateSlots
		d.slots[d.slotNow] = map[string]int{}
		d.tokens[d.slotNow] = map[string]int64{}
		d.paths[d.slotNow] = map[string]int{}
		d.slotsSeen = min(d.slotsSeen+1, rateSlots-1)
	}
}

// Arrivals per second over the last whole seconds, by model and by adapter.
func (d *Decider) Arrivals() map[string]float64 {
	rates := map[string]float64{}
	span := float64(max(d.slotsSeen, 1))
	for i, slot := range d.slots {
		if i == d.slotNow && d.slotsSeen > 0 {
			continue
		}
		for unit, n := range slot {
			rates[unit] += float64(n) / span
		}
	}
	return rates
}

// tokenRates are tokens of prompts a second over the same seconds, by model.
func (d *Decider) tokenRates() map[string]float64 {
	rates := map[string]float64{}
	span := float64(max(d.slotsSeen, 1))
	for i, slot := range d.tokens {
		if i == d.slotNow && d.slotsSeen > 0 {
			continue
		}
		for unit, n := range slot {
			rates[unit] += float64(n) / span
		}
	}
	return rates
}

// recent are arrivals a second over the last whole second and the one that has begun.
func (d *Decider) recent() map[string]float64 {
	rates := map[string]float64{}
	spanS := 1 + float64(d.nowUs-d.slotAtUs)/1e6
	last := (d.slotNow + rateSlots - 1) % rateSlots
	for _, slot := range []map[string]int{d.slots[d.slotNow], d.slots[last]} {
		for unit, n := range slot {
			rates[unit] += float64(n) / spanS
		}
	}
	return rates
}

// Report is what a gateway tells the control nodes: arrivals, what waits, what runs, how attempts ended.
func (d *Decider) Report(nowUs int64) wire.Report {
	rep := wire.Report{
		Gateway: d.opts.Gateway, Incarnation: d.opts.Incarnation, SentUs: nowUs, Arrivals: d.Arrivals(), Draining: d.drain,
		Queued: map[string]int{}, InFlight: map[string]int{}, UnusedGrants: map[string]wire.UnusedGrant{},
	}
	if d.snap != nil {
		rep.Number, rep.View, rep.Revision = d.snap.Number, d.snap.View, d.snap.Revision
	}
	for _, k := range d.kinds {
		for _, c := range k.waiting {
			if c.Model != "" {
				rep.Queued[c.Model]++
			}
			if c.Adapter != "" {
				rep.Queued[c.adapterUnit()]++
			}
		}
	}
	for id, p := range d.places {
		if len(p.inFlight) > 0 {
			rep.InFlight[id] = len(p.inFlight)
		}
	}
	d.reportRouted(&rep)
	if d.routed() {
		rep.PromptTokens, rep.RecentArrivals = d.tokenRates(), d.recent()
		rep.RouteArrivals = map[string]float64{}
		for _, slot := range d.paths {
			for key, n := range slot {
				rep.RouteArrivals[key] += float64(n) / rateSlots
			}
		}
	}
	for key, r := range d.runs {
		rep.UnusedGrants[key] = wire.UnusedGrant{Ticket: r.ticket, Remaining: r.to - r.next}
	}
	return rep
}

// KindNote counts the calls of one kind since the start.
type KindNote struct {
	Kind    string                `json:"kind"`
	Arrived uint64                `json:"arrived"`
	Waiting int                   `json:"waiting"`
	Done    uint64                `json:"done"`
	Given   map[fault.Code]uint64 `json:"given,omitempty"`
}

// Note is the state of a decider for a person.
type Note struct {
	Kinds    []KindNote     `json:"kinds"`
	Waiting  int            `json:"waiting"`
	Calls    int            `json:"calls"`
	InFlight map[string]int `json:"inFlight"`
	LeaseMs  int64          `json:"leaseMs"`
	Number   uint64         `json:"number"`
	View     uint64         `json:"view"`
	Revision uint64         `json:"revision"`
	Draining bool           `json:"draining"`
	Budgets  []BudgetNote   `json:"budgets,omitempty"`
	Recent   []Decision     `json:"recent,omitempty"`
}

// Note copies the state for a person.
func (d *Decider) Note() Note {
	n := Note{Waiting: d.waiting, Calls: len(d.calls), InFlight: map[string]int{}, LeaseMs: max(0, d.leaseUs-d.nowUs) / 1000, Draining: d.drain, Kinds: []KindNote{}}
	if d.snap != nil {
		n.Number, n.View, n.Revision = d.snap.Number, d.snap.View, d.snap.Revision
	}
	for _, name := range d.kindNames() {
		k := d.kinds[name]
		given := map[fault.Code]uint64{}
		for code, count := range k.given {
			given[code] = count
		}
		n.Kinds = append(n.Kinds, KindNote{name, k.arrived, len(k.waiting), k.done, given})
	}
	for id, p := range d.places {
		n.InFlight[id] = len(p.inFlight)
	}
	for id, s := range d.replicaStates {
		if len(s.openAttempts) > 0 {
			n.InFlight[id] = len(s.openAttempts)
		}
	}
	n.Budgets = d.budgetNotes()
	n.Recent = append(n.Recent, d.Decisions...)
	return n
}

// Ready is nil when this gateway can take calls now, or says why it cannot.
func (d *Decider) Ready(nowUs int64) *fault.Fault {
	var f *fault.Fault
	switch {
	case d.drain:
		f = fault.New(fault.Draining, "", "this desk is going down")
	case d.snap == nil || d.snap.Doc == nil:
		f = fault.New(fault.NoLease, "", "this desk has no declaration yet")
	case d.routed() && len(d.snap.Replicas) == 0:
		f = fault.New(fault.NoLease, "", "this desk knows no replica yet")
	case !d.routed() && nowUs >= d.leaseUs:
		f = fault.New(fault.NoLease, "", "this desk is cut off from the core")
	case d.waiting >= d.opts.QueueMax:
		f = fault.New(fault.Overloaded, "", "the backlog is full")
	default:
		return nil
	}
	f.RetryMs = noLeaseMs
	if f.Code == fault.Overloaded {
		f.RetryMs = d.RetryMs()
	}
	return f
}
