package controller

import (
	"fmt"
	"maps"
	"slices"

	"petreltide/internal/clock"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/outlier"
	"petreltide/internal/placement"
	"petreltide/internal/roster"
	"petreltide/internal/scaler"
	"petreltide/internal/standing"
	"petreltide/internal/watch"
	"petreltide/internal/wire"
)

const (
	listEveryUs   = 400 * clock.Ms
	askEveryUs    = 250 * clock.Ms
	askBusyUs     = 50 * clock.Ms
	orderEveryUs  = 600 * clock.Ms
	policyEveryUs = 500 * clock.Ms
	policyLeastUs = 60 * clock.Ms
	policyLostUs  = 5 * clock.Sec
	shareEveryUs  = 400 * clock.Ms
	darkAfterUs   = 1500 * clock.Ms
	deskLiveUs    = 2500 * clock.Ms
	reportLateUs  = 600 * clock.Ms
	deskGoneUs    = 15 * clock.Sec
	gapMostUs     = 500 * clock.Ms
	writeLostUs   = 2 * clock.Sec
	emptyListMost = 8
	keyMarkUs     = 3600 * clock.Sec
	keyMarks      = 24
	legsLeast     = 24
	legsMost      = 4096
	legSeconds    = 5
)

// Event is one thing that the controller hears of; without any of its fields it is a tick of the clock.
type Event struct {
	NowUs   int64
	Listed  *Listed
	Told    *Told
	Ordered *Ordered
	Report  *wire.Report
	Silence *watch.Silence
	Policy  *PolicyDone
	Wrote   *ledger.Outcome
}

// Listed is the platform's list of replicas, or why it could not be read.
type Listed struct {
	List *wire.List
	Err  string
}

// Told is a replica's report, asked for at AskedUs; State is nil where none came.
type Told struct {
	AskedUs int64
	Replica string
	Addr    string
	State   *wire.ReplicaState
	Err     string
}

// Ordered is a replica's own answer to an order; only its word that it has it counts. Expected is the count that
// the order carried.
type Ordered struct {
	Replica  string
	Inc      string
	Expected *uint64
	State    wire.OrderState
}

// PolicyDone is what the live placement policy and its shadows proposed in one run.
type PolicyDone struct {
	Run      uint64
	Revision uint64
	Live     placement.Answer
	Shadows  []placement.Answer
}

// Effect is one thing that the controller wants done; one of its fields is set.
type Effect struct {
	PollList bool
	Ask      *Ask
	Order    *Order
	Write    *ledger.Change
	Run      *Run
	Note     string
	// Outliers are the verdicts on replicas, where they have changed.
	Outliers *outlier.Table
}

// Ask asks one replica for its report.
type Ask struct {
	AskedUs int64
	Replica string
	Addr    string
}

// Order sends one order to a replica.
type Order struct {
	Addr  string
	Order wire.Order
}

// Run lets the placement policies propose for the fleet as it is.
type Run struct {
	Number   uint64
	Revision uint64
	Live     standing.Policy
	Shadows  []standing.Policy
	Fleet    placement.Fleet
}

// Seen is what the office knows as an event is taken: the ledger, whether it leads and may write, and its replicas.
type Seen struct {
	NowUs  int64
	State  *ledger.State
	Head   bool
	Fresh  bool
	Writes bool
	View   uint64
	Roster *roster.Roster
	// Outliers are the newest verdicts of whoever judged last.
	Outliers outlier.Table
}

type told struct {
	addr    string
	state   wire.ReplicaState
	atUs    int64
	askedUs int64
	heardUs int64
	movedUs int64
}

type deskRow struct {
	report wire.Report
	atUs   int64
}

// Controller holds the duty of the one controller: it reads the ledger and what replicas,
// platform and desks told it, and answers with ledger writes and orders.
type Controller struct {
	opts       Options
	me         string
	claimed    uint64
	claimUs    int64
	writing    string
	writeUs    int64
	writes     uint64
	listUs     int64
	tickUs     int64
	list       *wire.List
	listAtUs   int64
	empties    int
	stales     int
	replicas   map[string]*told
	desks      map[string]*deskRow
	view       uint64
	viewUs     int64
	checked    bool
	jury       *watch.Jury
	bucket     placement.Bucket
	issuingMb  int64
	orderUs    map[uint64]int64
	policyUs   int64
	moved      bool
	runUs      int64
	run        uint64
	proposed   []placement.Proposal
	proposedAt uint64
	shareUs    int64
	counted    []scaler.Count
	marks      []uint64
	markUs     int64
	routed     routed
	turns      turns
	outliers   *outlier.Fleet
	judges     uint64
	Faults     map[fault.Code]uint64
	Policy     PolicyNote
	Shadows    []PolicyNote
	effects    []Effect
}

// PolicyNote is what is shown of a placement policy: how often it ran, failed, and differed from the live one.
type PolicyNote struct {
	Name     string              `json:"name"`
	Runs     uint64              `json:"runs"`
	Steps    uint64              `json:"steps"`
	Fault    *fault.Fault        `json:"fault,omitempty"`
	Faulted  uint64              `json:"faulted"`
	Verdicts []placement.Verdict `json:"verdicts,omitempty"`
	Parted   *Parted             `json:"parted,omitempty"`
}

// Options hold for replicas that make themselves known. LeaseUs is how long they hold to one who orders
// them; StoreWindowUs and StoreOvershoot bound how far loads may go beyond the store's rate.
type Options struct {
	LeaseUs        int64
	StoreWindowUs  int64
	StoreOvershoot float64
	Outlier        outlier.Options
}

// New makes a controller with the usual options.
func New(me string) *Controller { return NewWith(me, Options{}) }

// NewWith makes a controller that remembers nothing yet.
func NewWith(me string, opts Options) *Controller {
	return &Controller{
		me: me, opts: opts, replicas: map[string]*told{}, desks: map[string]*deskRow{},
		jury: watch.NewJury(), orderUs: map[uint64]int64{}, Faults: map[fault.Code]uint64{}, routed: newRouted(), outliers: outlier.NewFleet(opts.Outlier),
	}
}

// Counts are how many replicas of each model the scaler wants.
func (f *Controller) Counts() []scaler.Count { return f.counted }

// OnDuty says whether this controller holds the duty, by its own claim in the ledger.
func (f *Controller) OnDuty(s *ledger.State) bool {
	return f.claimed > 0 && s.Epoch == f.claimed && s.Holder == f.me
}

// DeskNote is what is shown of a desk: when it last reported, and what is called for and waits there.
type DeskNote struct {
	Silent   bool               `json:"silent,omitempty"`
	Desk     string             `json:"desk"`
	Zone     string             `json:"zone"`
	Addr     string             `json:"addr"`
	AgoMs    int64              `json:"agoMs"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
}

// Desks shows every desk that has reported.
func (f *Controller) Desks(nowUs int64) []DeskNote {
	notes := []DeskNote{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		notes = append(notes, DeskNote{f.silent(nowUs, id), id, d.report.Zone, d.report.Addr, (nowUs - d.atUs) / 1000, d.report.Arrivals, d.report.Waiting})
	}
	return notes
}

func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Step takes one event and returns what is to be done.
func (f *Controller) Step(seen Seen, ev Event) []Effect {
	f.effects = nil
	switch {
	case ev.Report != nil:
		f.desks[ev.Report.Desk] = &deskRow{report: *ev.Report, atUs: ev.NowUs}
		f.jury.Say(ev.NowUs, watch.Silence{By: ev.Report.Desk, Silent: ev.Report.Silent})
		f.hearOutcomes(seen, ev.Report)
		if seen.isRouted() && f.unplaced(seen, ev.Report) {
			f.moved = true
			f.act(seen)
		}
	case ev.Silence != nil:
		f.jury.Say(ev.NowUs, *ev.Silence)
	case ev.Listed != nil:
		f.listed(ev.NowUs, *ev.Listed)
	case ev.Told != nil && seen.isRouted():
		f.routedTold(seen, *ev.Told)
		f.act(seen)
	case ev.Ordered != nil && seen.isRouted():
		f.routedOrdered(seen, *ev.Ordered)
		f.act(seen)
	case ev.Told != nil:
		f.told(ev.NowUs, *ev.Told)
		if f.settles(seen.State, ev.Told.Replica) {
			f.act(seen)
		}
	case ev.Ordered != nil:
		f.ordered(*ev.Ordered)
	case ev.Policy != nil:
		f.ran(seen, *ev.Policy)
		f.act(seen)
	case ev.Wrote != nil:
		f.wrote(seen, *ev.Wrote)
	default:
		f.tick(seen)
	}
	return f.effects
}

func (f *Controller) do(e Effect) { f.effects = append(f.effects, e) }

func (f *Controller) count(code fault.Code) { f.Faults[code]++ }

func (f *Controller) told(nowUs int64, t Told) {
	row := f.replicas[t.Replica]
	if row == nil || row.addr != t.Addr {
		row = &told{addr: t.Addr, askedUs: nowUs}
		f.replicas[t.Replica] = row
	}
	if t.State == nil || t.State.ID != t.Replica || t.State.Inc == "" || !fitHoldings(t.State.Holds) {
		f.count(fault.ReplicaFailed)
		return
	}
	if t.AskedUs < row.heardUs {
		return
	}
	row.state, row.atUs, row.heardUs = *t.State, nowUs, t.AskedUs
}

// isRouted: replicas make themselves known, and what is in force sends by routes.
func (s Seen) isRouted() bool {
	return s.Roster != nil && s.State.Doc != nil && s.State.Doc.Routed()
}

func (f *Controller) tick(seen Seen) {
	if f.routed.bornUs == 0 {
		f.routed.bornUs = seen.NowUs
		f.turns.follow(seen.State)
	}
	if !seen.Head {
		f.leave()
		return
	}
	s := seen.State
	if !f.OnDuty(s) {
		if f.claimUs == 0 || seen.NowUs-f.claimUs > writeLostUs {
			f.leave()
			f.claimUs = seen.NowUs
			f.claimed = s.Epoch + 1
			f.do(Effect{Write: &ledger.Change{ID: fmt.Sprintf("claim-%s-%d", f.me, f.claimed), Epoch: f.claimed, Claim: &ledger.Claim{Holder: f.me}}})
		}
		return
	}
	gapUs := seen.NowUs - f.tickUs
	f.tickUs = seen.NowUs
	if !seen.Fresh || gapUs > gapMostUs {
		f.bucket.Empty()
	}
	if !seen.Fresh {
		return
	}
	if seen.isRouted() {
		f.routedTick(seen)
		return
	}
	f.fill(seen)
	if seen.View != f.view {
		f.view, f.viewUs, f.checked, f.listUs = seen.View, seen.NowUs, false, 0
	}
	if seen.NowUs-f.listUs >= listEveryUs {
		f.listUs = seen.NowUs
		f.do(Effect{PollList: true})
	}
	f.askReplicas(seen.NowUs, s)
	f.orders(seen)
	f.startPolicy(seen)
	f.write(seen)
}

// act writes and asks the policy at once where an event has made it worthwhile, not at the next tick.
func (f *Controller) act(seen Seen) {
	if seen.Head && seen.Fresh && f.OnDuty(seen.State) && seen.isRouted() {
		f.routedOrders(seen)
		f.startResident(seen)
		f.write(seen)
		return
	}
	if seen.Head && seen.Fresh && f.OnDuty(seen.State) {
		f.fill(seen)
		f.startPolicy(seen)
		f.write(seen)
	}
}

// fill brings the bucket up to now; what it may not hold any more must be gone before it is spent from.
func (f *Controller) fill(seen Seen) {
	if seen.State.Doc != nil {
		f.bucket.Fill(seen.NowUs, seen.State.Doc.Store, f.unconfirmedMb(seen.State))
	}
}

func (f *Controller) leave() {
	fresh := NewWith(f.me, f.opts)
	fresh.Faults, fresh.writes, fresh.desks, fresh.Policy = f.Faults, f.writes, f.desks, f.Policy
	fresh.turns = f.turns
	fresh.run, fresh.jury = f.run, f.jury
	fresh.routed.foreignUs, fresh.routed.bornUs, fresh.routed.loadsUs = f.routed.foreignUs, f.routed.bornUs, f.routed.loadsUs
	fresh.routed.changedUs, fresh.routed.known, fresh.routed.missedUs = f.routed.changedUs, f.routed.known, f.routed.missedUs
	effects := f.effects
	*f = *fresh
	f.effects = effects
}

// orders sends what the ledger holds and the replica has not seen yet. The ticket keeps its
// number, so a replica that did see it answers with its state instead of doing it again.
func (f *Controller) orders(seen Seen) {
	s := seen.State
	for _, id := range sorted(s.Pending) {
		t := s.Pending[id]
		row := f.replicas[id]
		if row == nil || row.atUs == 0 || row.state.Inc != t.Inc {
			continue
		}
		if last := row.state.Last; last != nil && last.Number >= t.Number {
			continue
		}
		sentUs, sent := f.orderUs[t.Number]
		if sent && seen.NowUs-sentUs < orderEveryUs {
			continue
		}
		f.orderUs[t.Number] = seen.NowUs
		f.do(Effect{Order: &Order{Addr: row.addr, Order: wire.Order{Ticket: t, Epoch: s.Epoch}}})
	}
}

func (f *Controller) unconfirmedMb(s *ledger.State) int64 {
	sumMb := f.issuingMb
	for _, t := range s.Pending {
		row := f.replicas[t.Replica]
		seen := row != nil && row.atUs > 0 && row.state.Inc == t.Inc && row.state.Last != nil && row.state.Last.Number >= t.Number
		if t.Step == ledger.Load && !seen {
			sumMb += t.SizeMb
		}
	}
	return sumMb
}

func (f *Controller) write(seen Seen) {
	if !seen.Writes || (f.writing != "" && seen.NowUs-f.writeUs < writeLostUs) {
		return
	}
	s := seen.State
	f.issuingMb = 0
	duty := &ledger.Duty{}
	if seen.isRouted() {
		f.noteRoster(seen, duty)
	} else {
		f.noteFleet(seen, duty)
	}
	f.settle(seen.NowUs, s, duty)
	if seen.isRouted() {
		f.forgetDesks(seen.NowUs)
		f.writeRouted(seen, duty)
		return
	}
	f.dropDesks(seen, duty)
	if s.Doc != nil {
		f.grant(seen, duty)
		f.share(seen, duty)
		if f.proposedAt != s.Revision {
			f.proposed = nil
		}
		if f.proposed != nil {
			tickets, verdicts := placement.Check(s, f.bucket.TokensMb, f.proposed)
			f.proposed, f.Policy.Verdicts = nil, verdicts
			for _, v := range verdicts {
				if v.Fault != nil {
					f.count(v.Fault.Code)
					f.moved = f.moved || (v.Fault.Code == fault.StoreRate && s.PendingLoads()+len(tickets) < s.Doc.Store.Loads)
				}
			}
			for _, t := range tickets {
				if t.Step == ledger.Load {
					f.bucket.Spend(t.SizeMb)
					f.issuingMb += t.SizeMb
				}
			}
			duty.Tickets = tickets
		}
	}
	f.markKeys(seen, duty)
	f.writeDuty(seen, duty)
}

// writeRouted adds the tickets that the policy proposed and the checker took.
func (f *Controller) writeRouted(seen Seen, duty *ledger.Duty) {
	s := seen.State
	if f.proposedAt != s.Revision || !f.mayPlan(seen.NowUs) {
		f.proposed = nil
	}
	if f.proposed != nil {
		tickets, verdicts := placement.CheckRouted(s, f.leftFor(seen.NowUs, s), f.proposed)
		f.proposed, f.Policy.Verdicts = nil, verdicts
		for _, v := range verdicts {
			if v.Fault != nil {
				f.count(v.Fault.Code)
			}
		}
		duty.Tickets = tickets
		f.intend(seen.NowUs, verdicts)
	}
	f.writeDuty(seen, duty)
}

// intend remembers what room is made for, until it has come or too long after.
func (f *Controller) intend(nowUs int64, verdicts []placement.Verdict) {
	for _, v := range verdicts {
		if v.Fault != nil {
			continue
		}
		delete(f.routed.intents, v.Proposal.Replica)
		if v.Proposal.For != "" {
			f.routed.intents[v.Proposal.Replica] = intent{v.Proposal.For, nowUs}
		}
	}
}

func (f *Controller) writeDuty(seen Seen, duty *ledger.Duty) {
	if !seen.isRouted() && !f.checked && f.list != nil && f.listAtUs > f.viewUs {
		duty.Checked = f.view
		f.checked = true
	}
	if duty.Blank() {
		return
	}
	f.moved = f.moved || len(duty.Settled)+len(duty.Fleet)+len(duty.Gone) > 0
	f.writes++
	f.writing = fmt.Sprintf("duty-%s-%d-%d", f.me, f.claimed, f.writes)
	f.writeUs = seen.NowUs
	f.do(Effect{Write: &ledger.Change{ID: f.writing, Epoch: f.claimed, Duty: duty}})
}

func (f *Controller) wrote(seen Seen, out ledger.Outcome) {
	if out.ID != f.writing {
		return
	}
	f.writing, f.issuingMb = "", 0
	for _, bad := range out.Faults {
		f.count(bad.Code)
	}
	if f.OnDuty(seen.State) && seen.Fresh {
		if !seen.isRouted() {
			f.orders(seen)
		}
		f.act(seen)
	}
}

func (f *Controller) startPolicy(seen Seen) {
	s := seen.State
	spanUs := policyEveryUs
	if f.moved {
		spanUs = policyLeastUs
	}
	if s.Doc == nil || f.list == nil || f.proposed != nil || seen.NowUs-f.policyUs < spanUs {
		return
	}
	if f.runUs != 0 && seen.NowUs-f.runUs < policyLostUs {
		return
	}
	f.policyUs, f.runUs, f.moved = seen.NowUs, seen.NowUs, false
	f.run++
	rates, waiting := f.demand(seen.NowUs)
	usable := []scaler.Room{}
	fleet := placement.Fleet{Doc: s.Doc, Rates: rates, Waiting: waiting}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		row := placement.Replica{
			ID: id, Zone: r.Zone, RoomMb: r.RoomMb, FreeMb: r.RoomMb - s.TakenMb(id), Slots: r.Slots,
			Holds: sorted(r.Holds), Usable: r.Usable(s.Doc),
		}
		if t, pending := s.Pending[id]; pending {
			row.Busy = true
			if t.Step == ledger.Load {
				row.Loading = t.Unit
			}
		}
		for _, d := range f.desks {
			row.InFlight += d.report.InFlight[id]
		}
		if row.Usable {
			usable = append(usable, scaler.Room{ID: id, RoomMb: r.RoomMb})
		}
		fleet.Replicas = append(fleet.Replicas, row)
	}
	f.counted = scaler.Decide(scaler.Input{Doc: s.Doc, Rates: rates, Waiting: waiting, Usable: usable})
	fleet.Counts = f.counted
	f.do(Effect{Run: &Run{Number: f.run, Revision: s.Revision, Live: s.Doc.Policy, Shadows: s.Doc.Shadows, Fleet: fleet}})
}

func (f *Controller) ran(seen Seen, p PolicyDone) {
	if p.Run != f.run {
		return
	}
	f.runUs = 0
	if !f.OnDuty(seen.State) || seen.State.Doc == nil {
		return
	}
	f.Policy = noted(f.Policy, p.Live)
	if p.Live.Fault != nil {
		f.count(p.Live.Fault.Code)
	} else if len(p.Live.Proposals) > 0 && p.Revision == seen.State.Revision {
		f.proposed, f.proposedAt = p.Live.Proposals, p.Revision
	}
	shadows := []PolicyNote{}
	for i, a := range p.Shadows {
		note := PolicyNote{}
		if i < len(f.Shadows) && f.Shadows[i].Name == a.Policy {
			note = f.Shadows[i]
		}
		note = noted(note, a)
		if a.Fault == nil {
			_, note.Verdicts = placement.Check(seen.State, f.bucket.TokensMb, a.Proposals)
		}
		note.Parted = note.Parted.add(p.Live.Proposals, a.Proposals)
		shadows = append(shadows, note)
	}
	f.Shadows = shadows
}

func noted(note PolicyNote, a placement.Answer) PolicyNote {
	if note.Name != a.Policy {
		note = PolicyNote{Name: a.Policy}
	}
	note.Runs++
	note.Steps = a.Steps
	note.Fault = a.Fault
	if a.Fault != nil {
		note.Faulted++
	}
	return note
}
