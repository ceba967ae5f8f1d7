package sim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"petreltide/internal/dispatch"
	"petreltide/internal/fault"
	"petreltide/internal/office"
	"petreltide/internal/subscriber"
	"petreltide/internal/wire"
	"petreltide/proofs/platform/replica"
	"petreltide/proofs/rules"
)

const (
	dialUs      = 400 * ms
	idleUs      = 900 * ms
	lingerUs    = 2300 * ms
	drainMostUs = 7300 * ms
	deadlineUs  = 5 * ms
)

type routedDesk struct {
	machine
	day     *routedDay
	zone    string
	inc     string
	decider *dispatch.Decider
	mirror  *subscriber.Mirror
	snap    *dispatch.Snapshot
	older   *dispatch.Snapshot
	open    map[string]*exchange
	streams map[uint64]*frameStream
	kept    map[string]int64
	term    bool
	shut    bool
	calls   int
}

// exchange is one client's request at one desk.
type exchange struct {
	desk    *routedDesk
	call    *dispatch.Call
	try     *rules.Try
	ask     replica.Ask
	seat    *seat
	back    *pipe
	opened  bool
	retried bool
	last    int
	leg     *leg
	gone    bool
	over    bool
}

// leg is one request on one connection to a replica.
type leg struct {
	x     *exchange
	st    dispatch.Start
	conn  uint64
	to    *replicaNode
	up    *pipe
	down  *pipe
	seal  string
	head  bool
	ended bool
	kept  bool
}

func newRoutedDesk(d *routedDay, name, zone string) *routedDesk {
	t := &routedDesk{machine: machine{sim: d.Sim, name: name, addr: name + ":1"}, day: d, zone: zone}
	t.start()
	return t
}

func (t *routedDesk) start() {
	if t.up {
		return
	}
	d := t.day
	t.boot++
	t.up, t.thawUs, t.term, t.shut = true, 0, false, false
	t.inc = d.newInc()
	t.skewUs = d.r.Int63n(1000) * sec
	b := d.seen.Bounds
	budget := dispatch.BudgetOptions{Ratio: b.BudgetRatio, Slack: b.BudgetSlack, WindowUs: b.BudgetUs}
	if d.plan.Plant == "no-budget" {
		budget.WindowUs = 0
	}
	t.decider = dispatch.New(dispatch.Options{Desk: t.name, Inc: t.inc, Zone: t.zone, BacklogMax: 200, Budget: budget})
	t.mirror = subscriber.NewMirror(subscriber.Options{Desk: t.name, Inc: t.inc, Addr: t.addr, Zone: t.zone, Seeds: d.seeds})
	t.snap, t.older, t.open, t.streams, t.kept = nil, nil, map[string]*exchange{}, map[uint64]*frameStream{}, map[string]int64{}
	d.over(t.name, "down")
	t.tick()
}

func (t *routedDesk) tick() {
	t.later(50*ms, func() {
		t.step(dispatch.Event{})
		t.reflect(subscriber.MirrorEvent{})
		t.tick()
	})
}

// crash ends the process: clients and replicas see their connections close.
func (t *routedDesk) crash(planned bool) {
	if !t.up {
		return
	}
	t.up = false
	t.day.over(t.name, "freeze")
	t.day.trouble(rules.Trouble{Machine: t.name, Kind: "down", Down: true, Planned: planned})
	for _, id := range slices.Sorted(maps.Keys(t.open)) {
		x := t.open[id]
		x.over = true
		if x.leg != nil {
			x.leg.close()
		}
		x.back.closed = true
		x.seat.broken(x.try)
	}
	t.open = map[string]*exchange{}
	for _, n := range slices.Sorted(maps.Keys(t.streams)) {
		t.unfollow(n)
	}
}

func (t *routedDesk) unfollow(number uint64) {
	s := t.streams[number]
	delete(t.streams, number)
	if s == nil {
		return
	}
	s.down.closed = true
	if o, ok := t.day.officeOf(s); ok {
		t.day.carry(&t.machine, &o.machine, 5*sec, func() { o.unfollow(s) }, func() {})
	}
}

func (d *routedDay) officeOf(s *frameStream) (*routedOffice, bool) {
	for _, o := range d.offices {
		if &o.machine == s.down.from {
			return o, true
		}
	}
	return nil, false
}

func (t *routedDesk) reflect(ev subscriber.MirrorEvent) {
	d := t.day
	ev.NowUs = t.clock()
	for _, e := range t.mirror.Step(ev) {
		switch {
		case e.Open != nil:
			t.follow(*e.Open)
		case e.Close != 0:
			t.unfollow(e.Close)
		case e.Report != "":
			report := clone(t.decider.Report(t.clock()))
			report.Addr, report.Zone = t.addr, t.zone
			if o := d.officeAt(e.Report); o != nil {
				d.carry(&t.machine, &o.machine, 600*ms, func() { o.step(office.Event{DeskReport: &report}) }, func() {})
			}
		case e.Snapshot != nil:
			t.swap(e.Snapshot)
		}
	}
}

// swap takes the newest news; the plants break that.
func (t *routedDesk) swap(snap *dispatch.Snapshot) {
	held := *snap
	if t.snap != nil {
		switch t.day.plan.Plant {
		case "deaf":
			fresh := map[string]*wire.ReplicaNews{}
			for id, r := range held.Replicas {
				row := *r
				row.Leaving = false
				fresh[id] = &row
			}
			held.Replicas, held.ByService = fresh, map[string][]*wire.ReplicaNews{}
			for _, id := range held.IDs {
				held.ByService[fresh[id].Service] = append(held.ByService[fresh[id].Service], fresh[id])
			}
		case "forgetful":
			if len(held.IDs) > 1 {
				forget(&held, held.IDs[0])
			}
		case "old-doc":
			if t.snap.Doc != nil && t.day.nowUs > bootUs+t.day.plan.CalmUs {
				held.Doc, held.Revision = t.snap.Doc, t.snap.Revision
			}
		case "back":
			if t.older == nil && t.snap.Doc != nil && t.snap.Doc != held.Doc {
				t.older = t.snap
			}
			if t.older != nil && t.day.nowUs/sec%4 >= 2 {
				held.Doc = t.older.Doc
			}
		}
	}
	t.snap = &held
	t.step(dispatch.Event{Snapshot: &held})
}

// forget leaves a replica out of what a desk knows.
func forget(s *dispatch.Snapshot, id string) {
	row := s.Replicas[id]
	s.Replicas, s.ByService, s.IDs = maps.Clone(s.Replicas), maps.Clone(s.ByService), slices.Clone(s.IDs)
	delete(s.Replicas, id)
	s.IDs = slices.DeleteFunc(s.IDs, func(other string) bool { return other == id })
	s.ByService[row.Service] = slices.DeleteFunc(slices.Clone(s.ByService[row.Service]), func(r *wire.ReplicaNews) bool { return r.ID == id })
}

func (t *routedDesk) follow(s subscriber.Stream) {
	d := t.day
	o := d.officeAt(s.Addr)
	if o == nil || !o.up || d.isCut(t.name, o.name) || d.isCut(o.name, t.name) {
		t.later(dialUs, func() { t.closed(s.Number) })
		return
	}
	f := &frameStream{desk: t, number: s.Number, down: d.pipe(&o.machine, &t.machine)}
	t.streams[s.Number] = f
	ask := s.Ask
	d.carry(&t.machine, &o.machine, 5*sec, func() { o.subscribe(f, ask) }, func() {
		t.now(t.boot, func() { t.closed(s.Number) })
	})
}

func (t *routedDesk) closed(number uint64) {
	delete(t.streams, number)
	t.reflect(subscriber.MirrorEvent{Closed: number})
}

func (t *routedDesk) frame(number uint64, f *wire.Frame) {
	t.reflect(subscriber.MirrorEvent{Frame: f, Stream: number})
}

func (t *routedDesk) step(ev dispatch.Event) {
	ev.NowUs = t.clock()
	urgent := false
	for _, e := range t.decider.Step(ev) {
		switch {
		case e.Start != nil:
			if x := t.open[e.Start.Call.ID]; x != nil {
				x.begin(*e.Start)
				continue
			}
			st := *e.Start
			t.later(1, func() { t.step(dispatch.Event{Gone: st.Call.ID}) })
			t.later(2, func() {
				t.step(dispatch.Event{Ended: &dispatch.Ended{Call: st.Call.ID, Leg: st.Leg, Ending: dispatch.Unsent}})
			})
		case e.Give != nil:
			if x := t.open[e.Give.Call.ID]; x != nil {
				x.fail(e.Give.Fault)
			}
		case e.Over != nil:
			if x := t.open[e.Over.Call.ID]; x != nil {
				x.ended(e.Over.Ending)
			}
		case e.Unplaced:
			urgent = true
		case e.Cancel != "":
			if x := t.open[e.Cancel]; x != nil && x.leg != nil {
				x.leg.cancel()
			}
		}
	}
	if urgent {
		t.reflect(subscriber.MirrorEvent{Urgent: true})
	}
}

// take is a request that this desk has read whole.
func (t *routedDesk) take(s *seat, try *rules.Try, ask replica.Ask, deadlineMs int64) *exchange {
	d := t.day
	try.ReadUs, try.Life = d.nowUs, t.boot
	x := &exchange{desk: t, try: try, ask: ask, seat: s, back: d.pipe(&t.machine, &d.clients.machine), last: ask.Last}
	if t.snap == nil || t.snap.Doc == nil {
		x.answer(&fault.Fault{Code: fault.NoLease, RetryMs: 500})
		return x
	}
	route := t.snap.Doc.Match(try.Host, try.Path)
	if route == nil || (d.plan.Plant == "denier" && d.r.Intn(10) == 0) {
		x.answer(&fault.Fault{Code: fault.NotFound})
		return x
	}
	if t.snubs(s, route.Name) {
		x.answer(&fault.Fault{Code: fault.Overloaded})
		return x
	}
	t.calls++
	x.call = &dispatch.Call{ID: fmt.Sprintf("%s-%s-%d", t.name, t.inc, t.calls), Kind: route.Name, Model: ask.Model, Adapter: ask.Adapter, MostMs: deadlineMs, TakenUs: t.clock(),
		Routed: &dispatch.Routed{Route: route, PromptIn: ask.In, MostOut: int64(replica.Total(ask.Body) * 3)}}
	for _, p := range ask.Parts {
		x.call.Routed.Parts = append(x.call.Routed.Parts, dispatch.Part{ID: hashPart(p.ID), Tokens: p.Tokens})
	}
	if ask.Last > 0 && route.Resumable {
		x.call.Had = ask.Last
		x.call.Progress.Store(int64(ask.Last))
	}
	t.open[x.call.ID] = x
	t.step(dispatch.Event{Arrived: x.call})
	if len(d.taking) > 0 {
		strike := d.taking[0]
		d.taking = d.taking[1:]
		d.at(d.nowUs+d.r.Int63n(4*ms), func() { strike(t) })
	}
	return x
}

// snubs are the plants that never serve some requests.
func (t *routedDesk) snubs(s *seat, route string) bool {
	switch t.day.plan.Plant {
	case "snob":
		return route == "record"
	case "no-newcomers":
		return strings.HasPrefix(route, "mark-") || strings.HasPrefix(route, "big-")
	case "small-only":
		return s.class != nil && s.size() > 1800
	case "no-subjects":
		return s.class != nil && s.subject() != "" && s.subject() < "s4"
	case "no-adapters":
		return s.adapter != ""
	}
	return false
}

// left is a client that has gone.
func (t *routedDesk) left(x *exchange) {
	if x.over || x.call == nil || t.day.plan.Plant == "clingy" {
		return
	}
	x.gone = true
	t.step(dispatch.Event{Gone: x.call.ID})
	if x.leg == nil {
		x.done()
	}
}

func (x *exchange) done() {
	x.over = true
	if x.call != nil {
		delete(x.desk.open, x.call.ID)
	}
}

// fail ends a request with an answer of the product's own, or cuts it where one has begun.
func (x *exchange) fail(f *fault.Fault) {
	if x.over {
		return
	}
	x.done()
	if x.opened {
		x.back.send(func() { x.seat.broken(x.try) })
		return
	}
	x.answer(f)
}

// answer mirrors how the platform's side of a desk words what the product says.
func (x *exchange) answer(f *fault.Fault) {
	status := http.StatusBadGateway
	switch f.Code {
	case fault.NotFound, fault.UnknownKind:
		status = http.StatusNotFound
	case fault.BadField, fault.BadLastEventID:
		status = http.StatusBadRequest
	default:
		if f.Run == "" || f.Run == fault.RunNone {
			status = http.StatusServiceUnavailable
		} else if f.Code == fault.Expired {
			status = http.StatusGatewayTimeout
		}
	}
	if x.desk.day.plan.Plant == "liar" && status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	x.back.send(func() { x.seat.answered(x.try, status, "", "", f.RetryMs) })
}

// ended is a call whose last leg did not end well.
func (x *exchange) ended(e dispatch.Ending) {
	f := &fault.Fault{Code: fault.Unknown, Run: fault.RunUnknown}
	switch {
	case e == dispatch.Final:
		f.Code = fault.Expired
	case x.opened:
		f.Code, f.Run = fault.Broken, fault.RunPartial
	}
	x.fail(f)
}

// begin is the executor of one leg.
func (x *exchange) begin(st dispatch.Start) {
	t := x.desk
	d := t.day
	d.conns++
	l := &leg{x: x, st: st, conn: d.conns}
	x.leg = l
	if st.ExpiryUs-t.clock() < ms {
		t.later(1, func() { l.finish(dispatch.Unsent) })
		return
	}
	l.to = d.replicaAt(st.Addr)
	reused := t.kept[st.Inc] > d.nowUs && l.to != nil && l.to.name == st.Inc
	switch {
	case l.to == nil:
		t.later(ms, func() { l.finish(dispatch.Unsent) })
	case reused:
		l.kept = true
		t.later(1, l.write)
	case d.isCut(t.name, l.to.name) || d.isCut(l.to.name, t.name) || l.to.thawUs > d.nowUs:
		t.later(dialUs, func() { l.finish(dispatch.Unsent) })
	default:
		t.later(300+d.r.Int63n(1500), l.write)
	}
}

// write sends the request, unless the news has changed since it was decided.
func (l *leg) write() {
	t, st := l.x.desk, l.st
	d := t.day
	if l.ended {
		return
	}
	if !st.MaySend(t.snap, t.clock(), 0) || !l.to.up {
		l.finish(dispatch.Unsent)
		return
	}
	ask := l.x.ask
	ask.From, ask.Expect, ask.Last = t.name, st.Inc, l.x.last
	ask.Priority = l.st.Route.Priority
	ask.DeadlineUs = d.nowUs + max(1, (st.ExpiryUs-t.clock()-deadlineUs)/1000)*ms
	if d.plan.Plant == "smuggler" && d.r.Intn(50) == 0 {
		ask.ID += "x"
	}
	l.up, l.down = d.pipe(&t.machine, &l.to.machine), d.pipe(&l.to.machine, &t.machine)
	if drops := l.to.dropsIdle; drops != nil && l.kept {
		drops()
		delete(t.kept, st.Inc)
		l.up.closed = true
		l.reset()
		return
	}
	l.up.send(func() { l.to.take(l, ask) })
	boot := l.to.boot
	d.at(d.nowUs+3*ms, func() { l.watch(boot) })
	t.later(max(1, st.ExpiryUs-t.clock()), func() { l.lost(true) })
}

// watch finds a replica's end before it has taken the request.
func (l *leg) watch(boot int) {
	if l.ended || l.to.conns[l.conn] != nil {
		return
	}
	if !l.to.up || l.to.boot != boot {
		l.reset()
		return
	}
	if len(l.up.queue) > 0 {
		l.x.desk.day.at(l.x.desk.day.nowUs+20*ms, func() { l.watch(boot) })
	}
}

// reset is a connection that the other end has given up; a cut hides it.
func (l *leg) reset() {
	t := l.x.desk
	d := t.day
	boot := t.boot
	var arrive func()
	arrive = func() {
		if l.ended {
			return
		}
		if d.isCut(l.to.name, t.name) {
			d.at(d.nowUs+20*ms, arrive)
			return
		}
		t.now(boot, func() { l.lost(false) })
	}
	d.at(max(d.nowUs+ms, l.down.freeUs), arrive)
}

// lost is a leg that was sent and whose answer did not come, or not whole.
func (l *leg) lost(late bool) {
	switch {
	case late && !l.x.gone:
		l.finish(dispatch.Decide(l.st.Kind, dispatch.SilentUntilExpiry).Ending)
	case l.head:
		l.finish(dispatch.Decide(l.st.Kind, l.broke()).Ending)
	default:
		if l.x.desk.day.plan.Plant == "again" {
			l.finish(dispatch.Unsent)
			return
		}
		l.finish(dispatch.Decide(l.st.Kind, dispatch.ClosedUnanswered).Ending)
	}
}

// broke is a stream that cannot be read on, by what of it has reached the client.
func (l *leg) broke() dispatch.Observation {
	if l.x.opened {
		return dispatch.StreamCut
	}
	return dispatch.CutShort
}

// cancel ends a leg whose client is gone.
func (l *leg) cancel() {
	boot := l.x.desk.boot
	l.x.desk.day.at(l.x.desk.day.nowUs+ms, func() {
		l.x.desk.now(boot, func() {
			if !l.ended {
				if l.up == nil {
					l.finish(dispatch.Unsent)
					return
				}
				l.lost(false)
			}
		})
	})
}

// close gives the connection up: what a cut holds back is lost, and the replica learns of the end.
func (l *leg) close() {
	if l.ended {
		return
	}
	l.ended = true
	if l.up == nil {
		return
	}
	l.up.closed, l.down.closed = true, true
	t, p := l.x.desk, l.to
	d := t.day
	var arrive func()
	arrive = func() {
		if d.isCut(t.name, p.name) {
			d.at(d.nowUs+50*ms, arrive)
			return
		}
		p.now(p.boot, func() { p.gone(l.conn) })
	}
	d.at(d.nowUs+ms, arrive)
}

// finish tells the decider how a leg ended.
func (l *leg) finish(e dispatch.Ending) {
	if l.ended {
		return
	}
	x, t := l.x, l.x.desk
	if e == dispatch.Done || e == dispatch.Failed || e == dispatch.Refused || e == dispatch.Missing {
		l.ended = true
		t.kept[l.st.Inc] = t.day.nowUs + idleUs
	} else {
		l.close()
		l.ended = true
	}
	x.leg = nil
	if x.gone || e == dispatch.Done || e == dispatch.Failed {
		x.done()
	}
	t.step(dispatch.Event{Ended: &dispatch.Ended{Call: l.st.Call.ID, Leg: l.st.Leg, Ending: e}})
}

// got is what a replica sends, as the platform's side of a desk reads it.
func (l *leg) got(e replica.Effect) {
	if l.ended {
		return
	}
	x := l.x
	d := x.desk.day
	switch {
	case e.Head && (e.Status == http.StatusMisdirectedRequest || e.NotExecuted):
		l.turned(e)
	case e.Head && x.try.Stream && e.Status/100 == 2:
		l.head, l.seal = true, e.Seal
		if e.End {
			l.finish(dispatch.Done)
		}
	case e.Head:
		l.whole(e)
	case e.End:
		if !x.opened {
			l.open()
		}
		x.back.send(func() { x.seat.complete(x.try) })
		l.finish(dispatch.Done)
	default:
		if int64(e.N) <= x.call.Progress.Load() && x.call.Progress.Load() > 0 {
			l.finish(dispatch.Decide(l.st.Kind, l.broke()).Ending)
			return
		}
		if d.plan.Plant == "skips" && e.N == 3 {
			return
		}
		x.last = e.N
		x.call.Progress.Store(int64(e.N))
		l.open()
		text := e.Text
		if d.plan.Plant == "mixer" && e.N == 2 {
			text = "0000000000000000~" + text
		}
		x.back.send(func() { x.seat.event(x.try, e.N, text) })
	}
}

func (l *leg) turned(e replica.Effect) {
	switch {
	case e.Status == http.StatusMisdirectedRequest && l.to.name != l.st.Inc:
		l.finish(dispatch.Elsewhere)
	case e.Status == http.StatusMisdirectedRequest:
		l.finish(dispatch.Missing)
	default:
		l.finish(dispatch.Refused)
	}
}

// whole is an answer that came at once.
func (l *leg) whole(e replica.Effect) {
	x := l.x
	l.first()
	decided := dispatch.Decide(l.st.Kind, l.classify(e.Status))
	if decided.Answer != dispatch.PassOn {
		x.retried = x.retried || e.Status/100 != 2
		l.finish(decided.Ending)
		return
	}
	x.opened = true
	seal := e.Seal
	if x.desk.day.plan.Plant == "unsealed" {
		seal = ""
	}
	x.back.send(func() { x.seat.answered(x.try, e.Status, seal, e.Body, 0) })
	l.finish(decided.Ending)
}

// classify is what a whole answer is to this request, as the platform's side of a desk has it.
func (l *leg) classify(status int) dispatch.Observation {
	switch {
	case l.x.opened:
		return dispatch.AnswerInStream
	case status/100 == 2:
		return dispatch.WholeAnswer
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return dispatch.UnprovenRefusal
	case l.x.retried || l.st.Route.AttemptsMost <= 1:
		return dispatch.FailureRepeated
	}
	return dispatch.FailureAnswer
}

func (l *leg) first() { l.x.call.FirstUs.CompareAndSwap(0, l.x.desk.clock()) }

// open begins an answer with the head of the replica that sent the first event.
func (l *leg) open() {
	l.first()
	x := l.x
	if x.opened {
		return
	}
	x.opened = true
	seal := l.seal
	x.back.send(func() { x.seat.head(x.try, http.StatusOK, seal) })
}

// stop is SIGTERM: no longer ready, then nobody new, then the end when nobody is inside.
func (t *routedDesk) stop(again func()) {
	if !t.up || t.term {
		return
	}
	d := t.day
	t.term = true
	d.seen.Terms = append(d.seen.Terms, rules.Term{Machine: t.name, AtUs: d.nowUs})
	if d.plan.Plant == "abrupt" {
		t.crash(true)
		again()
		return
	}
	t.step(dispatch.Event{Drain: true})
	boot, endUs := t.boot, d.nowUs+drainMostUs
	t.later(lingerUs, func() {
		t.shut = true
		t.step(dispatch.Event{Close: true})
	})
	var look func()
	look = func() {
		if !t.up || t.boot != boot {
			return
		}
		if t.shut && len(t.open) == 0 || d.nowUs >= endUs {
			t.crash(true)
			again()
			return
		}
		t.later(20*ms, look)
	}
	t.later(20*ms, look)
}

func hashPart(id string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

// reseed gives the mirror other first contacts.
func (t *routedDesk) reseed(seeds []string) {
	t.reflect(subscriber.MirrorEvent{Seeds: seeds})
}
