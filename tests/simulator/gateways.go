package simulator

import (
	"fmt"
	"math/rand"
	"sort"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/failuredetector"
	"petreltide/tests/modelserver"
	"petreltide/tests/rules"
)

type gatewayNode struct {
	machine
	zone        string
	incarnation string
	decider     *scheduling.Decider
	subscriber  *controlclient.Subscriber
	snap        *scheduling.Snapshot
	leaseUs     int64
	calls       map[string]*callState
}

type callState struct {
	call    *scheduling.Call
	ask     gateway.CallRequest
	told    rules.ClientAttempt
	attempt string
	stop    func()
	keyed   bool
	hung    bool
	done    func(rules.ClientAttempt)
}

func newGateway(s *Sim, name, zone string) *gatewayNode {
	d := &gatewayNode{machine: machine{sim: s, name: name, addr: name + ":1"}, zone: zone}
	d.start()
	return d
}

func (d *gatewayNode) start() {
	d.boot++
	d.up, d.thawUs = true, 0
	d.incarnation = d.sim.newIncarnation()
	d.skewUs = d.sim.r.Int63n(1000) * sec
	d.decider = scheduling.New(scheduling.Options{Gateway: d.name, Incarnation: d.incarnation, QueueMax: 200})
	d.subscriber = controlclient.New(controlclient.Options{Gateway: d.name, Incarnation: d.incarnation, Addr: d.addr, Zone: d.zone, Seeds: d.sim.seeds})
	d.snap, d.leaseUs, d.calls = nil, 0, map[string]*callState{}
	d.tick()
}

func (d *gatewayNode) tick() {
	d.later(20*ms, func() {
		d.step(scheduling.Tick{})
		d.subscribe(controlclient.Event{})
		d.tick()
	})
}

// crash: every open call is cut off for its caller, and the replicas see their pipes close.
func (d *gatewayNode) crash() {
	d.up = false
	ids := make([]string, 0, len(d.calls))
	for id := range d.calls {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		c := d.calls[id]
		if c.stop != nil {
			c.stop()
		}
		if c.hung {
			continue
		}
		c.told.Broken, c.told.Code, c.told.Run = true, "cut", fault.RunUnknown
		d.sim.finish(c)
	}
	d.calls = map[string]*callState{}
}

func (d *gatewayNode) news(n wire.GatewayUpdate) { d.subscribe(controlclient.Event{Update: &n}) }

func (d *gatewayNode) subscribe(ev controlclient.Event) {
	s := d.sim
	ev.NowUs = d.clock()
	for _, e := range d.subscriber.Step(ev) {
		switch {
		case e.RequestMembership != nil:
			for _, addr := range e.RequestMembership {
				if o := s.controlNodeAt(addr); o != nil {
					s.send(&d.machine, &o.machine, func() {
						where := o.where()
						s.send(&o.machine, &d.machine, func() { d.subscribe(controlclient.Event{Membership: &where}) })
					})
				}
			}
		case e.Follow != nil:
			d.follow(*e.Follow)
		case e.Report != nil:
			d.report(e.Report.Addr)
		case e.Heartbeats != nil:
			for _, n := range e.Heartbeats {
				d.beat(n.Addr, false)
			}
			for _, n := range e.Farewells {
				d.beat(n.Addr, true)
			}
		case e.Snapshot != nil:
			if s.plan.Plant == "deaf" && d.snap != nil && d.snap.Declaration != nil && d.snap.Grants["gpu-0|m7"].To+d.snap.Grants["gpu-1|m7"].To+d.snap.Grants["gpu-2|m7"].To+d.snap.Grants["gpu-3|m7"].To+d.snap.Grants["gpu-4|m7"].To > 0 {
				fresh := *d.snap
				fresh.Number, fresh.View, fresh.Grants = e.Snapshot.Number, e.Snapshot.View, e.Snapshot.Grants
				e.Snapshot = &fresh
			}
			if s.plan.Plant == "old-doc" && d.snap != nil && d.snap.Declaration != nil {
				fresh := *e.Snapshot
				fresh.Declaration, e.Snapshot = d.snap.Declaration, &fresh
			}
			d.snap = e.Snapshot
			s.ops.sawDoc(d.name, e.Snapshot)
			d.step(scheduling.SnapshotReceived{Snapshot: e.Snapshot})
		case e.LeaseUs != 0:
			d.leaseUs = e.LeaseUs
			d.step(scheduling.LeaseExtended{UntilUs: e.LeaseUs})
		}
	}
}

func (d *gatewayNode) beat(addr string, last bool) {
	s := d.sim
	b := failuredetector.Heartbeat{ID: d.name, Final: last}
	if o := s.controlNodeAt(addr); o != nil {
		s.send(&d.machine, &o.machine, func() { o.step(controlnode.PeerHeartbeat{Heartbeat: &b}) })
	}
	for _, to := range s.gateways {
		if to.addr == addr {
			s.send(&d.machine, &to.machine, func() { to.subscribe(controlclient.Event{Heartbeat: &b}) })
		}
	}
}

func (d *gatewayNode) follow(f controlclient.Follow) {
	s := d.sim
	o := s.controlNodeAt(f.Tail.Addr)
	if o == nil {
		d.later(5*ms, func() { d.subscribe(controlclient.Event{Closed: f.Number}) })
		return
	}
	s.send(&d.machine, &o.machine, func() {
		if !o.core.Node.TailReady(o.clock()) {
			s.send(&o.machine, &d.machine, func() { d.subscribe(controlclient.Event{Closed: f.Number}) })
			return
		}
		o.follows[d.name] = d
		ask := f.Request
		o.step(controlnode.FollowUpdates{Request: &ask})
	})
}

func (d *gatewayNode) report(addr string) {
	s := d.sim
	o := s.controlNodeAt(addr)
	if o == nil {
		return
	}
	report := clone(d.decider.Report(d.clock()))
	report.Addr, report.Zone, report.Suspects = d.addr, d.zone, d.subscriber.Suspects(d.clock())
	s.show("report", report)
	s.send(&d.machine, &o.machine, func() {
		o.replySeq++
		o.replies[o.replySeq] = func(l wire.Lease) {
			s.send(&o.machine, &d.machine, func() { d.subscribe(controlclient.Event{Lease: &l}) })
			if l.OK {
				s.spring("lease", o)
			}
		}
		o.step(controlnode.GatewayReport{Report: report, Reply: o.replySeq})
	})
}

func (d *gatewayNode) step(ev scheduling.Event) {
	s := d.sim
	for _, e := range d.decider.Step(d.clock(), ev) {
		switch e := e.(type) {
		case *scheduling.AttemptStart:
			d.attempt(*e)
		case *scheduling.CallFailed:
			if c := d.calls[e.Call.ID]; c != nil {
				d.give(c, e.Fault)
			}
		case *scheduling.CallFinished:
			if c := d.calls[e.Call.ID]; c != nil {
				d.cut(c, e.Outcome)
			}
		case scheduling.CancelAttempt:
			if c := d.calls[e.Call.ID]; c != nil && c.stop != nil && (c.hung || s.plan.Plant != "still") {
				c.stop()
			}
		}
	}
}

func (d *gatewayNode) give(c *callState, f *fault.Fault) {
	c.told.Code, c.told.Run, c.told.RetryMs = string(f.Code), f.Run, f.RetryMs
	d.over(c)
}

// cut is a call whose last attempt did not end well.
func (d *gatewayNode) cut(c *callState, e scheduling.Outcome) {
	c.told.Code, c.told.Run, c.told.Broken = string(fault.OutcomeUnknown), fault.RunUnknown, len(c.told.Chunks) > 0
	switch {
	case d.sim.plan.Plant == "lie":
		c.told.Run = fault.RunNone
	case e == scheduling.OutcomeTimedOut:
		c.told.Code = string(fault.Expired)
	case len(c.told.Chunks) > 0:
		c.told.Code, c.told.Run = string(fault.StreamBroken), fault.RunPartial
	}
	d.over(c)
}

func (d *gatewayNode) over(c *callState) {
	delete(d.calls, c.call.ID)
	if c.keyed {
		end := c.told.Run
		if c.told.Complete {
			end = fault.RunYes
		}
		d.keyChange(c, end)
	}
	if !c.hung {
		d.sim.finish(c)
	}
}

// hangUp is a caller that goes away, waiting or in the middle of a stream.
func (d *gatewayNode) hangUp(c *callState) {
	if d.calls[c.call.ID] != c || c.hung {
		return
	}
	c.hung = true
	c.told.Broken, c.told.Code, c.told.Run = true, "hung up", fault.RunUnknown
	c.done = nil
	d.sim.finish(c)
	running := c.attempt != "" && c.stop != nil
	d.step(scheduling.CallCanceled{Call: c.call.ID})
	if !running {
		d.over(c)
	}
}

func (d *gatewayNode) keyChange(c *callState, end string) {
	change := statemachine.Change{ID: "keyend-" + c.call.ID, Key: &statemachine.KeyChange{Key: c.told.Key, Gateway: d.name, GatewayIncarnation: d.incarnation, Call: c.call.ID, End: end, Release: end == fault.RunNone}}
	if end == fault.RunNone {
		change.Key.End = ""
	}
	d.submit(change, func(wire.Result, bool) {})
}

func (d *gatewayNode) submit(c statemachine.Change, done func(wire.Result, bool)) {
	s := d.sim
	over := false
	finish := func(r wire.Result, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	d.later(2500*ms, func() { finish(wire.Result{}, false) })
	var o *controlNode
	for _, addr := range d.subscriber.ControlNodes() {
		if at := s.controlNodeAt(addr); o == nil && at != nil && !s.isCut(d.name, at.name) && !s.isCut(at.name, d.name) {
			o = at
		}
	}
	if o == nil {
		return
	}
	s.send(&d.machine, &o.machine, func() {
		o.submit(c, 2*sec, func(r wire.Result, ok bool) {
			if ok {
				s.send(&o.machine, &d.machine, func() { finish(r, true) })
				s.spring("key", o)
			}
		})
	})
}

func (d *gatewayNode) maySend(st scheduling.AttemptStart) bool {
	return st.MaySend(d.snap, d.clock(), d.leaseUs) || d.sim.plan.Plant == "deaf"
}

// attempt is the executor: it obeys one decision against the simulated network and replica.
func (d *gatewayNode) attempt(st scheduling.AttemptStart) {
	s := d.sim
	c := d.calls[st.Call.ID]
	ended := func(e scheduling.Outcome) {
		d.step(scheduling.AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: e})
	}
	if c == nil || !d.maySend(st) {
		d.later(10, func() { ended(scheduling.OutcomeUnsent) })
		return
	}
	c.attempt = st.Attempt
	p := s.servers[st.Replica]
	if p == nil || !p.up || p.addr != st.Addr || s.isCut(d.name, p.name) || s.isCut(p.name, d.name) {
		d.later(400*ms, func() { ended(scheduling.OutcomeUnsent) })
		return
	}
	over := false
	finish := func(e scheduling.Outcome, why string) {
		if over {
			return
		}
		over = true
		c.stop = nil
		d.attemptEnded(c, st, e, why, ended)
	}
	var run *modelserver.Run
	close := func() {
		if run != nil && p.core.Running(run.Attempt) {
			p.core.EndAttempt(s.nowUs, run, false)
		}
	}
	c.stop = func() {
		if over {
			return
		}
		over = true
		c.stop = nil
		boot := d.boot
		s.at(s.nowUs+2*ms, func() {
			close()
			d.now(boot, func() { d.attemptEnded(c, st, scheduling.OutcomeMigrated, "moved", ended) })
		})
	}
	d.later(max(1, st.DeadlineUs-d.clock()), func() {
		if !over {
			close()
			finish(scheduling.OutcomeTimedOut, "expired while it ran")
		}
	})
	attempt := wire.Attempt{ID: st.Attempt, Ticket: st.Ticket, Incarnation: st.Incarnation, Call: st.Call.ID, Model: c.ask.Model, Adapter: c.ask.Adapter,
		Prefix: c.ask.Prefix, Prompt: c.ask.Prompt, Received: append(append([]string(nil), c.ask.Received...), c.told.Chunks...), NextChunk: c.told.ReceivedChunks + len(c.told.Chunks) + 1, MaxOutput: c.ask.MaxOutput}
	boot := d.boot
	asked := false
	d.later(sec, func() {
		if !asked {
			finish(scheduling.OutcomeUnsent, "the replica did not ask for the leg")
		}
	})
	wait := func() int64 { return 200 + s.r.Int63n(1500) }
	start := func(reachedUs int64) {
		started, refusal, firstUs := p.core.StartAttempt(reachedUs, attempt)
		if refusal != nil {
			d.now(boot, func() { finish(scheduling.OutcomeRejected, refusal.Code) })
			return
		}
		run = started
		if over || !d.up || d.boot != boot {
			close()
			return
		}
		d.pieces(p, c, run, attempt, firstUs, boot, func() bool { return over }, finish)
	}
	body := func() {
		if over {
			return
		}
		asked = true
		if !d.maySend(st) {
			finish(scheduling.OutcomeUnsent, "the news changed before it was sent")
			return
		}
		s.at(s.nowUs+wait(), func() {
			if !p.up {
				d.now(boot, func() { finish(scheduling.OutcomeUnknown, "the pipe broke") })
				return
			}
			reachedUs := s.nowUs
			p.now(p.boot, func() { start(reachedUs) })
		})
	}
	s.at(s.nowUs+wait(), func() {
		if !p.up {
			d.now(boot, func() { finish(scheduling.OutcomeUnsent, "the connection broke before the attempt was asked for") })
			return
		}
		p.now(p.boot, func() { s.at(s.nowUs+wait(), func() { d.now(boot, body) }) })
	})
}

func (d *gatewayNode) pieces(p *serverNode, c *callState, run *modelserver.Run, attempt wire.Attempt, firstUs int64, boot int, over func() bool, finish func(scheduling.Outcome, string)) {
	s := d.sim
	n := attempt.NextChunk
	serverBoot := p.boot
	deliver := func(piece wire.Chunk) {
		d.now(boot, func() {
			if over() {
				return
			}
			ending, why := scheduling.CheckPiece(attempt.ID, c.told.ReceivedChunks+len(c.told.Chunks), piece)
			switch {
			case s.plan.Plant == "blind" && piece.Number != c.told.ReceivedChunks+len(c.told.Chunks)+1 && !piece.End:
				ending = ""
			case s.plan.Plant == "hasty" && len(c.told.Chunks) == 3:
				ending = scheduling.OutcomeDone
			case s.plan.Plant == "mixed" && len(c.told.Chunks) == 2:
				piece.Text = "0000000000000000~" + run.Nonce
			}
			if ending != "" {
				finish(ending, why)
				return
			}
			if c.told.FirstUs == 0 {
				c.told.FirstUs = s.nowUs
			}
			c.call.FirstByteUs.CompareAndSwap(0, d.clock())
			c.told.Chunks = append(c.told.Chunks, piece.Text)
			c.told.IDs = append(c.told.IDs, c.told.ReceivedChunks+len(c.told.Chunks))
			c.call.Progress.Store(int64(c.told.ReceivedChunks + len(c.told.Chunks)))
		})
	}
	var next func()
	next = func() {
		if over() {
			return
		}
		if !p.up || p.boot != serverBoot {
			s.at(s.nowUs+ms, func() { d.now(boot, func() { finish(scheduling.OutcomeBroken, "the replica's stream ended early") }) })
			return
		}
		if p.thawUs > s.nowUs {
			s.at(p.thawUs, next)
			return
		}
		if s.isCut(p.name, d.name) {
			s.at(s.nowUs+50*ms, next)
			return
		}
		if n > run.Total {
			run.Ended = true
			p.core.EndAttempt(s.nowUs, run, true)
			s.at(s.nowUs+300, func() { deliver(wire.Chunk{AttemptID: attempt.ID, End: true, Number: run.Total}) })
			return
		}
		piece := wire.Chunk{AttemptID: attempt.ID, Number: n, Text: modelserver.Text(attempt.Prompt, attempt.Model, attempt.Adapter, n, run.Nonce)}
		if s.plan.Plant == "blind" && n == 3 {
			n++
			piece.Number, piece.Text = n, modelserver.Text(attempt.Prompt, attempt.Model, attempt.Adapter, n, run.Nonce)
		}
		s.at(s.nowUs+300, func() { deliver(piece) })
		run.Sent = n
		n++
		s.at(s.nowUs+p.core.PieceUs(), next)
	}
	s.at(s.nowUs+firstUs, next)
}

func (d *gatewayNode) attemptEnded(c *callState, st scheduling.AttemptStart, e scheduling.Outcome, why string, ended func(scheduling.Outcome)) {
	if d.sim.plan.Plant == "again" && (e == scheduling.OutcomeUnknown || e == scheduling.OutcomeBroken) && len(c.told.Chunks) == 0 {
		e = scheduling.OutcomeUnsent
	}
	if c.hung {
		d.over(c)
		ended(e)
		return
	}
	if e == scheduling.OutcomeDone {
		c.told.Complete, c.told.EndCount = true, c.told.ReceivedChunks+len(c.told.Chunks)
		d.over(c)
	}
	ended(e)
}

// take is a call reaching this gateway.
func (d *gatewayNode) take(ask gateway.CallRequest, t rules.ClientAttempt, done func(rules.ClientAttempt)) {
	s := d.sim
	t.AdmittedUs = s.nowUs
	s.watch.Admitted(t.Tag, s.nowUs)
	c := &callState{ask: ask, told: t, done: done}
	refuse := func(f *fault.Fault) {
		c.told.Code, c.told.Run, c.told.RetryMs = string(f.Code), f.Run, f.RetryMs
		if c.told.Run == "" {
			c.told.Run = fault.RunNone
		}
		s.finish(c)
	}
	if d.snap == nil || d.snap.Declaration == nil {
		refuse(&fault.Fault{Code: fault.NoLease, RetryMs: 500})
		return
	}
	kind, bad := d.snap.Lookup(scheduling.Lookup{Kind: ask.Kind, Model: ask.Model, Adapter: ask.Adapter, Resuming: t.ReceivedChunks > 0}, d.clock(), d.leaseUs)
	if bad != nil {
		refuse(bad)
		return
	}
	s.calls++
	c.call = &scheduling.Call{
		ID: fmt.Sprintf("%s-%d", d.name, s.calls), Kind: kind.Name, Model: ask.Model, Adapter: ask.Adapter, Prefix: ask.Prefix, ArrivedUs: d.clock(), Delivered: t.ReceivedChunks,
	}
	c.call.Progress.Store(int64(t.ReceivedChunks))
	enter := func() {
		d.calls[c.call.ID] = c
		if s.r.Intn(40) == 0 {
			d.later(s.r.Int63n(600*ms), func() { d.hangUp(c) })
		}
		d.step(scheduling.CallArrived{Call: c.call})
	}
	if t.Key == "" || kind.Resumable {
		enter()
		return
	}
	change := statemachine.Change{ID: "key-" + c.call.ID, Key: &statemachine.KeyChange{Key: t.Key, Gateway: d.name, GatewayIncarnation: d.incarnation, Call: c.call.ID}}
	d.calls[c.call.ID] = c
	d.submit(change, func(r wire.Result, ok bool) {
		delete(d.calls, c.call.ID)
		switch {
		case !ok:
			d.keyChange(c, fault.RunNone)
			refuse(&fault.Fault{Code: fault.Overloaded, RetryMs: 1000})
		case r.Outcome.Fault != nil:
			refuse(&fault.Fault{Code: r.Outcome.Fault.Code, RetryMs: 2000})
		case r.Outcome.Repeated && s.plan.Plant != "keys":
			c.told.Code, c.told.Run = string(fault.KeyRunning), fault.RunUnknown
			s.finish(c)
		default:
			c.keyed = true
			enter()
		}
	})
}

func (s *Sim) finish(c *callState) {
	c.told.EndUs = s.nowUs
	s.told = append(s.told, c.told)
	s.watch.Observed(c.told)
	if c.done != nil {
		c.done(c.told)
	}
}

// demand sends seeded calls until a time; a keyed call whose fate is not known is asked for
// again, with its key, at another gateway.
func (s *Sim) demand(untilUs int64) {
	r := rand.New(rand.NewSource(s.plan.Seed*7 + s.nowUs))
	label := fmt.Sprintf("t%d", s.nowUs/1000)
	n := 0
	var next func()
	next = func() {
		if s.nowUs >= untilUs {
			return
		}
		n++
		ask := s.draw(r, label, n)
		key := ""
		if r.Intn(4) == 0 {
			key = "key-" + ask.Prompt
		}
		s.call(ask, key, r.Intn(len(s.gateways)), 0)
		s.at(s.nowUs+int64(r.ExpFloat64()/s.plan.PerSec*1e6), next)
	}
	next()
}

func (s *Sim) draw(r *rand.Rand, label string, n int) gateway.CallRequest {
	d := s.plan.Doc
	kind := byUrgency(d)[[]int{0, 1, 1, 2, 2, 2, 2}[r.Intn(7)]%len(d.Kinds)]
	m := d.Models[min(int(r.ExpFloat64()*float64(len(d.Models))/4), len(d.Models)-1)]
	if s.rareOnly {
		m = d.Models[len(d.Models)/2+r.Intn(len(d.Models)/2)]
	}
	ask := gateway.CallRequest{Kind: kind.Name, Model: m.Name, Prefix: []string{"house", fmt.Sprintf("school %d", r.Intn(4))}, Prompt: fmt.Sprintf("%s.%d go", label, n)}
	if s.ops.once["model of "+d.Adapters[1].Name] && r.Intn(8) == 0 {
		ask.Adapter, ask.Model = d.Adapters[1].Name, s.ops.elsewhere()
		return ask
	}
	if r.Intn(4) == 0 {
		for _, a := range d.Adapters {
			if a.Model == m.Name {
				ask.Adapter = a.Name
			}
		}
	}
	return ask
}

func (s *Sim) call(ask gateway.CallRequest, key string, at, try int) {
	d := s.gateways[at%len(s.gateways)]
	t := rules.ClientAttempt{Tag: modelserver.TagOf(ask.Prompt), Key: key, Kind: ask.Kind, Model: ask.Model, Adapter: ask.Adapter, Prompt: ask.Prompt, Gateway: d.name,
		StartUs: s.nowUs, ReceivedChunks: len(ask.Received), MaxOutput: ask.MaxOutput, Resumable: s.ops.mayResume(ask.Kind)}
	s.watch.Requested(t)
	done := func(t rules.ClientAttempt) { s.askAgain(t, ask, key, at, try) }
	if !d.up {
		t.Code, t.Run, t.EndUs = "down", fault.RunNone, s.nowUs
		s.told = append(s.told, t)
		done(t)
		return
	}
	boot := d.boot
	s.at(s.nowUs+500, func() {
		if !d.up || d.boot != boot {
			t.Code, t.Run, t.EndUs = "cut", fault.RunUnknown, s.nowUs
			s.told = append(s.told, t)
			return
		}
		d.now(boot, func() { d.take(ask, t, done) })
	})
}

// askAgain is what a sensible caller does: it comes back when it was told to, asks what became of
// a keyed call, and goes on with a stream that was cut where that is allowed.
func (s *Sim) askAgain(t rules.ClientAttempt, ask gateway.CallRequest, key string, at, try int) {
	if t.Complete || try >= 4 || t.Code == "hung up" {
		return
	}
	switch {
	case t.Resumable && t.Broken && t.ReceivedChunks+len(t.Chunks) > 0:
		ask.Received = append(append([]string(nil), ask.Received...), t.Chunks...)
	case t.Run == fault.RunNone && (t.RetryMs > 0 || t.Code == "down"), key != "" && !t.Resumable && t.Run != fault.RunNone:
		ask.Prompt = fmt.Sprintf("%s.r%d go", modelserver.TagOf(ask.Prompt), try+1)
	default:
		return
	}
	s.at(s.nowUs+max(t.RetryMs, 200)*ms, func() { s.call(ask, key, at+1, try+1) })
}
