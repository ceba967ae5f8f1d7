package controller

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/clock"
	"petreltide/internal/ledger"
	"petreltide/internal/placement"
	"petreltide/internal/roster"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

const (
	routedPolicyUs  = 500 * clock.Ms
	routedUrgentUs  = 30 * clock.Ms
	holderFreshUs   = 1100 * clock.Ms
	leaseSlackUs    = 250 * clock.Ms
	askLateUs       = 300 * clock.Ms
	askAgainUs      = 90 * clock.Ms
	orderAgainUs    = 700 * clock.Ms
	orderVoidUs     = 1200 * clock.Ms
	outdatedMostUs  = 10 * clock.Sec
	sendLateUs      = 300 * clock.Ms
	adapterDoneUs   = 25 * clock.Ms
	quietLeastUs    = 40 * clock.Ms
	quietMostUs     = 700 * clock.Ms
	warmFirstUs     = 620 * clock.Ms
	unloadFirstUs   = 215 * clock.Ms
	sparesUsual     = 1
	intentUs        = 2 * clock.Sec
	forgottenUs     = 15 * clock.Sec
	wordLateUs      = 2 * clock.Sec
	storeCut        = 1
	noteEveryUs     = 250 * clock.Ms
	trustSpans      = 3
	recentLeast     = 3.0
	recentCut       = 0.85
	tokensUnknown   = 1500.0
	expectCut       = 0.8
	expectLeast     = 0.5
	expectUs        = 5 * clock.Sec
	tokensPerMs     = 20.0
	decodeMsPerCall = 25.0
)

// standingOrder is what this controller knows of one order that stands: when it was sent, what the replica
// said to it, and when to look again.
type standingOrder struct {
	seenUs  int64
	sentUs  int64
	saidUs  int64
	said    string
	askUs   int64
	askedUs int64
	asked   bool
	// notedUs is when this order was last counted against the store's window.
	notedUs int64
	// outdatedUs is since when reports have shown nothing but older states; 0 while they do not.
	outdatedUs int64
	// basis is the state of the replica that the order is sent on; result is its state once the order is settled.
	basis, result *basis
}

// need is how often a unit was called for, smoothed, and when last.
type need struct {
	rate   float64
	tokens float64
	lastUs int64
}

// routed is the controller's memory for replicas that make themselves known.
type routed struct {
	dutyUs    int64
	foreignUs int64
	bornUs    int64
	loadsUs   []int64
	known     uint64
	missedUs  int64
	orders    map[uint64]*standingOrder
	needs     map[string]*need
	cameUs    map[string]int64
	trustedUs map[string]int64
	changedUs map[string]int64
	unseenUs  map[string]int64
	demandUs  int64
	begunUs   map[string]int64
	intents   map[string]intent
	unplaced  map[string]bool
	noted     notedAt
}

// notedAt is what the ledger was last compared with.
type notedAt struct {
	roster, holds, index uint64
	atUs                 int64
}

// intent is the model that room is being made for at a replica.
type intent struct {
	unit string
	atUs int64
}

func newRouted() routed {
	return routed{orders: map[uint64]*standingOrder{}, needs: map[string]*need{}, cameUs: map[string]int64{}, trustedUs: map[string]int64{}, changedUs: map[string]int64{}, unseenUs: map[string]int64{}, intents: map[string]intent{}, unplaced: map[string]bool{}}
}

// Saw notes the tickets and settled orders of whoever holds the duty, as they are applied: a successor
// waits out their lease, and counts their loads.
func (f *Controller) Saw(nowUs int64, epoch uint64, d ledger.Duty, s *ledger.State) {
	if s.Doc == nil || !s.Doc.Routed() {
		return
	}
	if foreign := epoch != f.claimed || !f.OnDuty(s); !f.turns.saw(nowUs, foreign, d, s) {
		f.routed.foreignUs = nowUs
	}
	f.routed.missed(nowUs, s, len(d.Tickets))
	for _, t := range d.Tickets {
		f.routed.noteLoad(nowUs, s, t)
	}
	for _, done := range d.Settled {
		delete(f.routed.orders, done.Number)
	}
	if len(d.Settled) > 0 {
		for id, r := range s.Replicas {
			if r.Index == s.Index {
				f.routed.changedUs[id] = nowUs
			}
		}
	}
}

// outdated: what a replica said may be older than the last order that changed what it holds, as words lie
// in sockets, links and frozen machines for a while.
func (r *routed) outdated(e *roster.Entry) bool {
	return e.SaidUs <= max(r.changedUs[e.ID], r.bornUs)+wordLateUs
}

// missed notes that tickets were issued which this controller did not see one by one: as many loads may lie
// behind them as the store's window bears. Numbers rise by one, so that a gap shows.
func (r *routed) missed(nowUs int64, s *ledger.State, news int) {
	if r.known == 0 {
		r.known = 1
	}
	if s.NextTicket > r.known+uint64(news) {
		r.missedUs = nowUs
	}
	r.known = s.NextTicket
}

func (r *routed) noteLoad(nowUs int64, s *ledger.State, t ledger.Ticket) {
	have := s.Replicas[t.Replica]
	if t.Step != ledger.Load || strings.Contains(t.Unit, "/") || (have != nil && have.Had[t.Unit]) {
		return
	}
	r.loadsUs = append(r.loadsUs, nowUs)
	if len(r.loadsUs) > 4096 {
		r.loadsUs = append([]int64(nil), r.loadsUs[2048:]...)
	}
}

// windowUs is the span over which the store's loads are counted.
func (f *Controller) windowUs() int64 {
	if f.opts.StoreWindowUs == 0 {
		return 5 * clock.Sec
	}
	return f.opts.StoreWindowUs
}

// storeLeft is how many loads from the store may begin now: what the sliding window still allows, and no
// more at once than the store bears at full speed.
func (f *Controller) storeLeft(nowUs int64, s *ledger.State, service *standing.Service) int {
	e := service.Engine
	windowUs := f.windowUs()
	overshoot := max(f.opts.StoreOvershoot, 1)
	most := int(e.LoadsPerS*float64(windowUs)/1e6*overshoot+3) - storeCut
	spent := 0
	for _, atUs := range f.routed.loadsUs {
		if nowUs-atUs < windowUs+400*clock.Ms {
			spent++
		}
	}
	if f.routed.missed(nowUs, s, 0); f.routed.missedUs > 0 && nowUs-f.routed.missedUs < windowUs+400*clock.Ms {
		spent += most
	}
	running := 0
	for _, t := range s.Pending {
		if have := s.Replicas[t.Replica]; t.Step == ledger.Load && have != nil && have.Service == service.Name && !have.Had[t.Unit] && !strings.Contains(t.Unit, "/") {
			running++
		}
	}
	return max(0, min(most-spent, e.StoreAtOnce()-running))
}

func (f *Controller) routedTick(seen Seen) {
	r := &f.routed
	if r.dutyUs == 0 {
		r.dutyUs = seen.NowUs
		if seen.State.NextTicket > 1 {
			r.foreignUs = max(r.foreignUs, r.bornUs)
		}
		f.turns.unseen(seen.NowUs, seen.State)
		if f.turns.next != seen.State.NextTicket {
			f.turns.follow(seen.State)
			r.foreignUs = seen.NowUs
		}
		for id, t := range seen.State.Pending {
			if t.Epoch != f.claimed {
				f.turns.atUs[id] = max(f.turns.atUs[id], seen.NowUs+holderFreshUs)
			}
		}
	}
	f.countNeeds(seen.NowUs)
	f.judgeOutliers(seen)
	f.routedOrders(seen)
	f.startResident(seen)
	f.write(seen)
}

// routedOrders sends what the ledger holds, looks what became of what was sent, and sends again only what
// the replica does not have.
func (f *Controller) routedOrders(seen Seen) {
	s, nowUs := seen.State, seen.NowUs
	if len(f.routed.orders) > len(s.Pending) {
		stand := map[uint64]bool{}
		for _, t := range s.Pending {
			stand[t.Number] = true
		}
		maps.DeleteFunc(f.routed.orders, func(number uint64, _ *standingOrder) bool { return !stand[number] })
	}
	for _, id := range sorted(s.Pending) {
		t := s.Pending[id]
		e := seen.Roster.Row(id)
		if e == nil || e.Gone {
			continue
		}
		o := f.routed.orders[t.Number]
		if o == nil {
			o = &standingOrder{notedUs: nowUs}
			f.routed.orders[t.Number] = o
			if t.Epoch != f.claimed {
				o.askUs, o.notedUs = nowUs, 0
			}
		}
		switch {
		case o.said == wire.OrderRunning && o.askUs > 0 && nowUs >= o.askUs && f.known(s, t):
			f.routed.trustedUs[id+"|"+t.Unit] = nowUs + trustSpans*f.lookUs(s, t) + wordLateUs
			o.result = o.basis.after(t)
			f.settled(id, t, wire.OrderDone, "")
			o.askUs, o.said = 0, wire.OrderDone
		case o.askUs > 0:
			if nowUs >= o.askUs && !o.asked {
				o.asked, o.askedUs = true, nowUs
				f.do(Effect{Ask: &Ask{AskedUs: nowUs, Replica: id, Addr: e.Addr}})
			} else if o.asked && nowUs-o.askedUs > 1200*clock.Ms {
				o.asked, o.askUs = false, nowUs
			}
		case o.sentUs == 0 && f.mayOrder(nowUs, id):
			if o.seenUs == 0 {
				o.seenUs = nowUs
			}
			if t.Step == ledger.Unload && !f.quiet(nowUs, t, o.seenUs) {
				continue
			}
			if o.basis == nil {
				o.basis = recordedBasis(s.Replicas[id])
			}
			if o.basis == nil {
				o.askUs = nowUs
				continue
			}
			f.sendOrder(seen, t, e, o)
		case o.sentUs > 0 && o.said == "" && nowUs-o.sentUs > orderAgainUs:
			o.askUs = nowUs
		}
	}
}

// quiet: every desk has had time to hear that a unit is to go, and none has calls there that have not begun;
// a replica would turn them away.
func (f *Controller) quiet(nowUs int64, t ledger.Ticket, sinceUs int64) bool {
	if nowUs-sinceUs < quietLeastUs {
		return false
	}
	if nowUs-sinceUs > quietMostUs {
		return true
	}
	model, _ := standing.Units(t.Unit)
	for _, d := range f.desks {
		if nowUs-d.atUs < deskLiveUs && d.report.Unread[t.Replica+"|"+model] > 0 {
			return false
		}
	}
	return true
}

// sendOrder sends an order on its basis. A load that is sent again, or long after its ticket, is counted
// against the store's window once more.
func (f *Controller) sendOrder(seen Seen, t ledger.Ticket, e *roster.Entry, o *standingOrder) {
	if o.saidUs > 0 || seen.NowUs-o.notedUs > sendLateUs {
		f.routed.noteLoad(seen.NowUs, seen.State, t)
		o.notedUs = seen.NowUs
	}
	o.sentUs, o.said = seen.NowUs, ""
	expected := o.basis.orders
	f.do(Effect{Order: &Order{Addr: e.Addr, Order: wire.Order{Ticket: t, Epoch: f.claimed, Holder: f.me, Expected: &expected}}})
}

// routedOrdered takes a replica's answer to an order; what it means in the end is seen by what it holds.
func (f *Controller) routedOrdered(seen Seen, a Ordered) {
	t, pending := seen.State.Pending[a.Replica]
	o := f.routed.orders[a.State.Number]
	if !pending || t.Number != a.State.Number || o == nil {
		return
	}
	if a.Expected != nil && o.basis != nil && *a.Expected != o.basis.orders {
		return
	}
	nowUs := seen.NowUs
	o.saidUs, o.said = nowUs, a.State.State
	switch a.State.State {
	case wire.OrderRunning:
		o.askUs = nowUs + f.lookUs(seen.State, t)
	case wire.OrderDone:
		f.settled(a.Replica, t, wire.OrderDone, "")
	case wire.OrderFailed:
		f.settled(a.Replica, t, wire.OrderFailed, a.State.Why)
	default:
		o.askUs = nowUs + askLateUs
	}
}

// known: an order that was taken ends after a time that the configuration states; what the replica says of
// itself soon after would show it if it had not.
func (f *Controller) known(s *ledger.State, t ledger.Ticket) bool {
	have := s.Replicas[t.Replica]
	return t.Step == ledger.Load && (strings.Contains(t.Unit, "/") || have == nil || !have.Had[t.Unit])
}

// lookUs is how long after an order was taken its end may be seen.
func (f *Controller) lookUs(s *ledger.State, t ledger.Ticket) int64 {
	have := s.Replicas[t.Replica]
	switch {
	case t.Step == ledger.Unload:
		return unloadFirstUs
	case strings.Contains(t.Unit, "/"):
		return adapterDoneUs
	case have != nil && have.Had[t.Unit]:
		return warmFirstUs
	}
	if _, loadMs, ok := s.Doc.EngineUnitMb(have.Service, t.Unit); ok {
		return loadMs*1000 + 15*clock.Ms
	}
	return clock.Sec
}

// settled gives the ledger's way of settling what it needs: the replica's last order.
func (f *Controller) settled(replica string, t ledger.Ticket, state, why string) {
	row := f.replicas[replica]
	if row == nil {
		row = &told{}
		f.replicas[replica] = row
	}
	row.state.Inc, row.state.ID, row.atUs = t.Inc, replica, 1
	row.state.Last = &wire.OrderState{Number: t.Number, Epoch: t.Epoch, State: state, Why: why}
	f.moved = true
}

// routedTold takes a replica's report while an order stands there.
func (f *Controller) routedTold(seen Seen, a Told) {
	t, pending := seen.State.Pending[a.Replica]
	if !pending {
		return
	}
	o := f.routed.orders[t.Number]
	if o == nil {
		return
	}
	o.asked = false
	if a.State == nil {
		o.askUs = seen.NowUs + askAgainUs
		return
	}
	f.look(seen, t, o, a.State)
}

// look judges an order by what the replica holds. A report lags a little, so that it ends an order only
// by what it shows, or by showing nothing for long enough.
func (f *Controller) look(seen Seen, t ledger.Ticket, o *standingOrder, told *wire.ReplicaState) {
	_, holds := slices.BinarySearch(told.Units, t.Unit)
	nowUs, have := seen.NowUs, seen.State.Replicas[t.Replica]
	if have == nil {
		return
	}
	if o.outdatedReport(have, told) {
		f.lookAgain(nowUs, t, o)
		return
	}
	o.outdatedUs = 0
	reported := reportedBasis(told)
	switch {
	case holds && t.Step == ledger.Load:
		f.conclude(t, o, wire.OrderDone, "", reported)
	case !holds && t.Step == ledger.Unload && (!told.Busy || o.said == wire.OrderRunning):
		f.conclude(t, o, wire.OrderDone, "", reported)
	case o.said == wire.OrderRunning && (told.Busy || nowUs-o.saidUs < orderVoidUs):
		o.askUs = nowUs + askAgainUs
	case o.said == wire.OrderRunning:
		f.conclude(t, o, wire.OrderFailed, "it was taken and is not there", reported)
	case told.Busy:
		o.askUs = nowUs + askAgainUs
	case !reported.admits(seen.State.Doc, have, t):
		f.conclude(t, o, wire.OrderFailed, "what the replica holds leaves no room", reported)
	default:
		o.askUs, o.sentUs, o.basis = 0, 0, reported
		if o.said != "" && nowUs-o.saidUs < orderAgainUs {
			o.askUs = nowUs + askAgainUs
		}
	}
}

// lookAgain waits for a report that is new enough. One that never comes ends the order: its replica's count will
// be asked for before the next one.
func (f *Controller) lookAgain(nowUs int64, t ledger.Ticket, o *standingOrder) {
	if o.outdatedUs == 0 {
		o.outdatedUs = nowUs
	}
	if nowUs-o.outdatedUs > outdatedMostUs {
		f.conclude(t, o, wire.OrderFailed, "its reports are older than its orders", nil)
		return
	}
	o.askUs = nowUs + askAgainUs
}

// conclude settles an order with what the replica holds after it, where that is known.
func (f *Controller) conclude(t ledger.Ticket, o *standingOrder, state, why string, result *basis) {
	o.askUs, o.said, o.result = 0, state, result
	f.settled(t.Replica, t, state, why)
}

// noteRoster writes down what tickets need to know of replicas: their lives, their room and what they hold.
// It changes with notices, lives and loads, not with heartbeats.
func (f *Controller) noteRoster(seen Seen, duty *ledger.Duty) {
	s := seen.State
	now := notedAt{seen.Roster.Rev, s.HoldsIndex, s.Revision, f.routed.noted.atUs}
	if now == f.routed.noted && seen.NowUs-now.atUs < noteEveryUs {
		return
	}
	now.atUs = seen.NowUs
	f.routed.noted = now
	for _, id := range seen.Roster.IDs() {
		e := seen.Roster.Row(id)
		have := s.Replicas[id]
		svc := s.Doc.Service(e.Service)
		if e.Gone || svc == nil || svc.Engine == nil {
			if have != nil {
				duty.Gone = append(duty.Gone, id)
				delete(f.routed.changedUs, id)
			}
			continue
		}
		n := ledger.ReplicaNote{
			ID: id, Inc: id, Addr: e.Addr, Zone: e.Zone, RoomMb: svc.Engine.RoomMb, Slots: e.Slots, Leaving: e.Draining, LeftMs: e.LeftMs,
			Dark: e.Dark, Service: e.Service,
		}
		if have != nil && have.Leaving && n.Leaving {
			n.LeftMs = have.LeftMs
		}
		_, pending := s.Pending[id]
		units := f.routed.withTrusted(seen.NowUs, have, e.Units)
		if differs := have == nil || (!pending && !sameUnits(have, units)); differs && (have == nil || !f.routed.outdated(e)) {
			n.Told, n.Holds = true, holdings(s.Doc, svc, units)
			if have == nil {
				n.Orders = new(uint64)
			}
		} else if differs {
			f.routed.noted = notedAt{}
		}
		if have == nil || have.Addr != n.Addr || have.Zone != n.Zone || have.RoomMb != n.RoomMb || have.Slots != n.Slots ||
			have.Leaving != n.Leaving || have.Dark != n.Dark || n.Told {
			duty.Fleet = append(duty.Fleet, n)
		}
	}
	for _, id := range s.ReplicaIDs() {
		if seen.Roster.Row(id) != nil {
			delete(f.routed.unseenUs, id)
			continue
		}
		since, known := f.routed.unseenUs[id]
		if !known {
			f.routed.unseenUs[id] = seen.NowUs
		} else if seen.NowUs-since > forgottenUs {
			duty.Gone = append(duty.Gone, id)
			delete(f.routed.unseenUs, id)
			delete(f.routed.changedUs, id)
		}
	}
}

// withTrusted adds what was settled by its time alone and the replica has not yet shown: a load that takes
// longer than stated keeps its room until it comes, or has had three times its time.
func (r *routed) withTrusted(nowUs int64, have *ledger.Replica, units []string) []string {
	if have == nil || len(r.trustedUs) == 0 {
		return units
	}
	for unit := range have.Holds {
		key := have.ID + "|" + unit
		untilUs, trusted := r.trustedUs[key]
		if !trusted {
			continue
		}
		if _, shown := slices.BinarySearch(units, unit); shown || nowUs > untilUs {
			delete(r.trustedUs, key)
		} else {
			units = append(slices.Clone(units), unit)
		}
	}
	return units
}

func sameUnits(have *ledger.Replica, units []string) bool {
	if len(have.Holds) != len(units) {
		return false
	}
	for _, u := range units {
		if _, holds := have.Holds[u]; !holds {
			return false
		}
	}
	return true
}

// holdings gives each unit its size; one that no engine names is taken to fill what is left.
func holdings(doc *standing.Declaration, svc *standing.Service, units []string) []ledger.Holding {
	all := []ledger.Holding{}
	for _, u := range units {
		sizeMb, _, ok := doc.EngineUnitMb(svc.Name, u)
		if !ok {
			sizeMb = svc.Engine.RoomMb / 2
		}
		all = append(all, ledger.Holding{Unit: u, SizeMb: sizeMb})
	}
	return all
}

// countNeeds smooths what desks count: a rise is believed at once, a fall over some seconds.
func (f *Controller) countNeeds(nowUs int64) {
	r := &f.routed
	if nowUs-r.demandUs < 200*clock.Ms {
		return
	}
	spanS := min(float64(nowUs-r.demandUs)/1e6, 2)
	r.demandUs = nowUs
	rates, tokens, recent := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		if nowUs-d.atUs > deskLiveUs {
			continue
		}
		for unit, rate := range d.report.Arrivals {
			rates[unit] += rate
		}
		for unit, n := range d.report.Tokens {
			tokens[unit] += n
		}
		for unit, n := range d.report.Recent {
			recent[unit] += n
		}
		for unit, n := range d.report.Waiting {
			if n > 0 {
				r.need(unit).lastUs = nowUs
			}
		}
	}
	f.expect(nowUs, rates, tokens)
	for unit, fast := range recent {
		if slow := rates[unit]; fast > recentLeast && fast*recentCut > slow {
			tokens[unit] *= fast * recentCut / max(slow, 0.2)
			if slow < 0.2 {
				tokens[unit] = fast * recentCut * tokensUnknown
			}
			rates[unit] = fast * recentCut
		}
	}
	for unit, rate := range rates {
		n := r.need(unit)
		if rate > 0 {
			n.lastUs = nowUs
		}
		n.rate = max(rate, n.rate)
		n.tokens = max(tokens[unit], n.tokens)
	}
	for unit, n := range r.needs {
		keep := 1 - spanS/6
		n.rate += (rates[unit] - n.rate) * (1 - keep)
		n.tokens += (tokens[unit] - n.tokens) * (1 - keep)
		if n.rate < 0.01 && nowUs-n.lastUs > 120*clock.Sec {
			delete(r.needs, unit)
		}
	}
}

// expect raises a model that has only begun to be called on a route to what the other models of that route
// are called: by the time it shows in the counts, its calls would already wait.
func (f *Controller) expect(nowUs int64, rates, tokens map[string]float64) {
	type path struct {
		rate   float64
		models map[string]float64
	}
	paths := map[string]*path{}
	for _, id := range sorted(f.desks) {
		for key, rate := range f.desks[id].report.Paths {
			name, model, _ := strings.Cut(key, "|")
			p := paths[name]
			if p == nil {
				p = &path{models: map[string]float64{}}
				paths[name] = p
			}
			p.rate += rate
			p.models[model] += rate
		}
	}
	most, mostTokens := map[string]float64{}, map[string]float64{}
	begun := map[string]int64{}
	for name, p := range paths {
		even := p.rate / float64(len(p.models)) * expectCut
		for model, rate := range p.models {
			sinceUs, known := f.routed.begunUs[name+"|"+model]
			if !known {
				sinceUs = nowUs
			}
			begun[name+"|"+model] = sinceUs
			if rate < even && nowUs-sinceUs < expectUs {
				most[model] += even - rate
				mostTokens[model] += (even - rate) * tokensUnknown
			}
		}
	}
	f.routed.begunUs = begun
	for model, rate := range most {
		if rate > expectLeast {
			rates[model] += rate
			tokens[model] += mostTokens[model]
		}
	}
}

func (r *routed) need(unit string) *need {
	n := r.needs[unit]
	if n == nil {
		n = &need{}
		r.needs[unit] = n
	}
	return n
}

// startResident asks the policy for each service with an engine, at once where calls wait for a model that
// nobody has.
func (f *Controller) startResident(seen Seen) {
	s := seen.State
	spanUs := routedPolicyUs
	if f.moved {
		spanUs = routedUrgentUs
	}
	if f.proposed != nil || seen.NowUs-f.policyUs < spanUs || !f.mayPlan(seen.NowUs) {
		return
	}
	services := f.services(seen)
	if len(services) == 0 {
		return
	}
	f.policyUs, f.moved = seen.NowUs, false
	f.run++
	answer := placement.Answer{Policy: placement.ResidentName}
	clear(f.routed.unplaced)
	for _, in := range services {
		proposals, unplaced := placement.Resident(in)
		answer.Proposals = append(answer.Proposals, proposals...)
		for _, unit := range unplaced {
			f.routed.unplaced[unit] = true
		}
	}
	f.Policy = noted(f.Policy, answer)
	if len(answer.Proposals) > 0 {
		f.proposed, f.proposedAt = answer.Proposals, s.Revision
	}
}

// unplaced: calls wait at a desk for a model or an adapter that no replica holds, that is on its way to
// none, and of which the policy does not know already that it has no place now.
func (f *Controller) unplaced(seen Seen, r *wire.Report) bool {
	for unit, n := range r.Waiting {
		if n > 0 && !f.routed.unplaced[unit] && !f.placed(seen.State, unit) {
			return true
		}
	}
	return false
}

func (f *Controller) placed(s *ledger.State, unit string) bool {
	for _, t := range s.Pending {
		if t.Unit == unit && t.Step == ledger.Load {
			return true
		}
	}
	for id, r := range s.Replicas {
		if _, holds := r.Holds[unit]; holds && !r.Leaving && !r.Dark && !f.outliers.Kept(id) && s.Pending[id].Unit != unit {
			return true
		}
	}
	return false
}

func (f *Controller) services(seen Seen) []placement.Service {
	s := seen.State
	all := []placement.Service{}
	waiting, runs, unread, unreadAt := map[string]int{}, map[string]map[string]int{}, map[string]map[string]int{}, map[string]int{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		if seen.NowUs-d.atUs > deskLiveUs {
			continue
		}
		for unit, n := range d.report.Waiting {
			waiting[unit] += n
		}
		for key, n := range d.report.Runs {
			replica, unit, _ := strings.Cut(key, "|")
			if runs[replica] == nil {
				runs[replica] = map[string]int{}
			}
			runs[replica][unit] += n
		}
		for key, n := range d.report.Unread {
			replica, unit, _ := strings.Cut(key, "|")
			if unread[replica] == nil {
				unread[replica] = map[string]int{}
			}
			unread[replica][unit] += n
			unreadAt[unit] += n
		}
	}
	for i := range s.Doc.Services {
		svc := &s.Doc.Services[i]
		if svc.Engine == nil {
			continue
		}
		in := placement.Service{
			Name: svc.Name, Engine: svc.Engine, Models: map[string]placement.Need{}, Adapters: map[string]placement.Need{},
			StoreLeft: f.storeLeft(seen.NowUs, s, svc), Spares: sparesUsual,
		}
		for _, id := range s.ReplicaIDs() {
			if r := s.Replicas[id]; r.Service == svc.Name {
				in.Homes = append(in.Homes, f.home(seen, r, runs[id], unread[id]))
			}
		}
		units := map[string]bool{}
		for unit := range f.routed.needs {
			units[unit] = true
		}
		for unit := range waiting {
			units[unit] = true
		}
		for unit := range units {
			n := f.routed.needs[unit]
			if n == nil {
				n = &need{}
			}
			model, adapter := standing.Units(unit)
			m := s.Doc.EngineModel(svc.Name, model)
			if m == nil {
				continue
			}
			row := placement.Need{
				Rate: n.rate, Demand: (n.tokens/tokensPerMs + n.rate*decodeMsPerCall) / 1000, Waiting: waiting[unit], Unread: unreadAt[unit], IdleMs: (seen.NowUs - n.lastUs) / 1000,
			}
			if adapter != "" {
				in.Adapters[unit] = row
			} else {
				in.Models[unit] = row
			}
		}
		all = append(all, in)
	}
	return all
}

func (f *Controller) home(seen Seen, r *ledger.Replica, runs, unread map[string]int) placement.Home {
	h := placement.Home{
		ID: r.ID, Usable: !r.Leaving && !r.Dark && !f.outliers.Kept(r.ID), FreeMb: r.RoomMb - seen.State.TakenMb(r.ID), Holds: r.Holds, Had: r.Had,
		Runs: runs, Unread: unread, AgeMs: map[string]int64{},
	}
	for unit := range r.Holds {
		if atUs, ok := f.routed.cameUs[r.ID+"|"+unit]; ok {
			h.AgeMs[unit] = (seen.NowUs - atUs) / 1000
		}
	}
	if in, ok := f.routed.intents[r.ID]; ok && seen.NowUs-in.atUs < intentUs {
		h.Intended = in.unit
	}
	h.Busy = !f.mayOrder(seen.NowUs, r.ID)
	if t, pending := seen.State.Pending[r.ID]; pending {
		h.Busy = true
		if t.Step == ledger.Load {
			h.Coming = t.Unit
		} else {
			h.Going = t.Unit
		}
	}
	return h
}

// leftFor sums what the store still gives over all services; each is checked by its own account as well.
func (f *Controller) leftFor(nowUs int64, s *ledger.State) int {
	left := 0
	for i := range s.Doc.Services {
		if s.Doc.Services[i].Engine != nil {
			left += f.storeLeft(nowUs, s, &s.Doc.Services[i])
		}
	}
	return left
}

// came remembers when a unit came to a replica.
func (f *Controller) came(nowUs int64, t ledger.Ticket) {
	f.routed.cameUs[t.Replica+"|"+t.Unit] = nowUs
	if len(f.routed.cameUs) > 20000 {
		f.routed.cameUs = map[string]int64{}
	}
}
