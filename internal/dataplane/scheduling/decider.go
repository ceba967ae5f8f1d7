package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	attemptsMost = 8
	prefixMost   = 4096
	avoidUs      = 400 * clock.Ms
	rateSlots    = 6
	decisionMost = 512
	arrivalUs    = 1 * clock.Sec
	noLeaseMs    = 500
	drainingMs   = 50
)

// Options are those of one gateway. QueueMax bounds the calls that wait for a replica.
type Options struct {
	Gateway     string
	Incarnation string
	Zone        string
	QueueMax    int
	Budget      BudgetOptions
	Patience    PatienceOptions
	Outlier     outlier.Options
	// Disable are mechanisms that are switched off.
	Disable feature.Disabled
}

// Decider is asked; the executor obeys. It owns the queue, the slots and the attempt numbers.
type Decider struct {
	opts          Options
	nowUs         int64
	snap          *Snapshot
	leaseUs       int64
	drain         bool
	closed        bool
	calls         map[string]*Call
	kinds         map[string]*kindRow
	places        map[string]*place
	runs          map[string]*run
	waiting       int
	passNow       float64
	slots         [rateSlots]map[string]int
	tokens        [rateSlots]map[string]int64
	paths         [rateSlots]map[string]int
	slotAtUs      int64
	slotNow       int
	slotsSeen     int
	serviceUs     float64
	gauges        []*Gauge
	Decisions     []Decision
	replicaStates map[string]*replicaState
	budgets       map[string]*budget
	readings      map[string]*reading
	prospects     *prospects
	admission     *admission
	outliers      *outlier.Local
	attemptSeq    uint64
	effects       []Effect
}

// New is a decider that knows no declaration yet.
func New(opts Options) *Decider {
	d := &Decider{opts: opts, calls: map[string]*Call{}, kinds: map[string]*kindRow{}, places: map[string]*place{}, runs: map[string]*run{},
		replicaStates: map[string]*replicaState{}, budgets: map[string]*budget{}, readings: map[string]*reading{}, prospects: newProspects(), admission: newAdmission(), outliers: outlier.NewLocal(opts.Outlier)}
	for i := range d.slots {
		d.slots[i] = map[string]int{}
		d.tokens[i] = map[string]int64{}
		d.paths[i] = map[string]int{}
	}
	return d
}

// Step takes one event and returns what is to be done, in order.
func (d *Decider) Step(ev Event) []Effect {
	d.effects = nil
	d.nowUs = ev.NowUs
	d.turnSlots()
	switch {
	case ev.Arrived != nil:
		d.arrived(ev.Arrived)
	case ev.Ended != nil:
		d.ended(*ev.Ended)
	case ev.Gone != "":
		d.callerGone(ev.Gone)
	case ev.Snapshot != nil:
		d.taken(ev.Snapshot)
	case ev.LeaseUs != 0:
		d.leaseUs = max(d.leaseUs, ev.LeaseUs)
	case ev.Drain:
		d.drain = true
	case ev.Close:
		d.drain, d.closed = true, true
	}
	d.expire()
	d.dispatch()
	d.weighProspects()
	d.moveOff()
	if d.closed {
		for _, c := range d.waitingCalls() {
			d.give(c, fault.Draining, "this desk is going down", drainingMs)
		}
	}
	if c := ev.Arrived; c != nil && c.Routed != nil && c.attempt == "" && d.calls[c.ID] != nil {
		if d.drain {
			d.give(c, fault.Draining, "this desk is going down", drainingMs)
		} else {
			d.do(Effect{Unplaced: true})
		}
	}
	return d.effects
}

func (d *Decider) do(e Effect) { d.effects = append(d.effects, e) }

func (d *Decider) arrived(c *Call) {
	k := d.kind(c.Kind)
	k.arrived++
	if c.Model != "" {
		d.slots[d.slotNow][c.Model]++
		if c.Routed != nil {
			d.tokens[d.slotNow][c.Model] += c.Routed.PromptIn
			d.paths[d.slotNow][c.Kind+"|"+c.Model]++
		}
	}
	if c.Adapter != "" {
		d.slots[d.slotNow][c.adapterUnit()]++
	}
	d.calls[c.ID] = c
	d.gaugeTaken(c)
	if c.TakenUs == 0 {
		c.TakenUs = d.nowUs
	}
	if !d.applyTerms(c) {
		return
	}
	if c.Routed != nil {
		d.arrivedRouted(c)
		return
	}
	if d.drain {
		d.give(c, fault.Draining, "this desk is going down", 200)
		return
	}
	if d.waiting >= d.opts.QueueMax && !d.makeRoom(c) {
		d.give(c, fault.Overloaded, "the backlog is full", d.RetryMs())
		return
	}
	if waitUs := d.waitUs(c); d.nowUs+waitUs > c.deadlineUs {
		d.give(c, fault.Overloaded, fmt.Sprintf("about %d ms of waiting lie before its expiry", waitUs/1000), d.RetryMs())
		return
	}
	d.enqueue(c)
}

// dispatch shares the free slots between kinds by stride: urgency squared is the weight, and a kind
// that waits always comes round, however rare it is.
func (d *Decider) dispatch() {
	if d.waiting == 0 || d.snap == nil || d.snap.Doc == nil || (!d.routed() && d.nowUs >= d.leaseUs) {
		return
	}
	hopeless := map[string]bool{}
	for {
		names := d.kindNames()
		sort.SliceStable(names, func(i, j int) bool { return d.kinds[names[i]].pass < d.kinds[names[j]].pass })
		started := false
		for _, name := range names {
			k := d.kinds[name]
			if c, replica, why := d.placeable(k, hopeless); c != nil {
				if c.Routed == nil {
					d.start(c, replica, why)
				}
				d.passNow = max(d.passNow, k.pass)
				k.pass += 1 / float64(weight(c))
				started = true
				break
			}
		}
		if !started {
			return
		}
	}
}

func (d *Decider) placeable(k *kindRow, hopeless map[string]bool) (*Call, *wire.ReplicaUpdate, string) {
	for _, c := range k.waiting {
		unit := c.Model + "|" + c.Adapter
		if c.Routed != nil {
			unit = c.Routed.Service + "|" + unit
		}
		if hopeless[unit] {
			continue
		}
		if c.Routed != nil {
			if r, ms := d.selectRouted(c); r != nil {
				d.launch(c, r, ms)
				return c, r, ""
			}
			hopeless[unit] = len(c.tried) == 0
			continue
		}
		if r, why := d.selectFor(c); r != nil {
			return c, r, why
		}
		hopeless[unit] = true
	}
	return nil, nil, ""
}
