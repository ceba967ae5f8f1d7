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
	snapshot    *scheduling.Snapshot
	leaseUs     int64
	calls       map[string]*callInFlight
}

type callInFlight struct {
	call    *scheduling.Call
	request gateway.CallRequest
	result  rules.ClientAttempt
	attempt string
	stop    func()
	keyed   bool
	hungUp  bool
	done    func(rules.ClientAttempt)
}

func newGateway(s *DeclaredDay, name, zone string) *gatewayNode {
	d := &gatewayNode{machine: machine{sim: s, name: name, addr: name + ":1"}, zone: zone}
	d.start()
	return d
}

func (g *gatewayNode) start() {
	g.boot++
	g.up, g.thawUs = true, 0
	g.incarnation = g.sim.nextIncarnation()
	g.skewUs = g.sim.random.Int63n(1000) * second
	g.decider = scheduling.New(scheduling.Options{Gateway: g.name, Incarnation: g.incarnation, QueueMax: 200})
	g.subscriber = controlclient.New(controlclient.Options{Gateway: g.name, Incarnation: g.incarnation, Addr: g.addr, Zone: g.zone, Seeds: g.sim.seeds})
	g.snapshot, g.leaseUs, g.calls = nil, 0, map[string]*callInFlight{}
	g.tick()
}

func (g *gatewayNode) tick() {
	g.after(20*millisecond, func() {
		g.step(scheduling.Tick{})
		g.subscribe(controlclient.Event{})
		g.tick()
	})
}

// crash: every open call is cut off for its caller, and the replicas see their pipes close.
func (g *gatewayNode) crash() {
	g.up = false
	ids := make([]string, 0, len(g.calls))
	for id := range g.calls {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		c := g.calls[id]
		if c.stop != nil {
			c.stop()
		}
		if c.hungUp {
			continue
		}
		c.result.Broken, c.result.Code, c.result.Run = true, "cut", fault.RunUnknown
		g.sim.recordResult(c)
	}
	g.calls = map[string]*callInFlight{}
}

func (g *gatewayNode) applyUpdate(n wire.GatewayUpdate) { g.subscribe(controlclient.Event{Update: &n}) }

func (g *gatewayNode) subscribe(ev controlclient.Event) {
	s := g.sim
	ev.NowUs = g.clock()
	for _, e := range g.subscriber.Step(ev) {
		switch {
		case e.RequestMembership != nil:
			for _, addr := range e.RequestMembership {
				if o := s.controlNodeAt(addr); o != nil {
					s.send(&g.machine, &o.machine, func() {
						where := o.membership()
						s.send(&o.machine, &g.machine, func() { g.subscribe(controlclient.Event{Membership: &where}) })
					})
				}
			}
		case e.Follow != nil:
			g.subscribeTo(*e.Follow)
		case e.Report != nil:
			g.report(e.Report.Addr)
		case e.Heartbeats != nil:
			for _, n := range e.Heartbeats {
				g.sendHeartbeat(n.Addr, false)
			}
			for _, n := range e.FinalHeartbeats {
				g.sendHeartbeat(n.Addr, true)
			}
		case e.Snapshot != nil:
			if s.plan.Plant == "deaf" && g.snapshot != nil && g.snapshot.Declaration != nil && g.snapshot.Grants["gpu-0|m7"].To+g.snapshot.Grants["gpu-1|m7"].To+g.snapshot.Grants["gpu-2|m7"].To+g.snapshot.Grants["gpu-3|m7"].To+g.snapshot.Grants["gpu-4|m7"].To > 0 {
				fresh := *g.snapshot
				fresh.Number, fresh.View, fresh.Grants = e.Snapshot.Number, e.Snapshot.View, e.Snapshot.Grants
				e.Snapshot = &fresh
			}
			if s.plan.Plant == "old-doc" && g.snapshot != nil && g.snapshot.Declaration != nil {
				fresh := *e.Snapshot
				fresh.Declaration, e.Snapshot = g.snapshot.Declaration, &fresh
			}
			g.snapshot = e.Snapshot
			s.operators.sawDoc(g.name, e.Snapshot)
			g.step(scheduling.SnapshotReceived{Snapshot: e.Snapshot})
		case e.LeaseUs != 0:
			g.leaseUs = e.LeaseUs
			g.step(scheduling.LeaseExtended{UntilUs: e.LeaseUs})
		}
	}
}

func (g *gatewayNode) sendHeartbeat(addr string, last bool) {
	s := g.sim
	b := failuredetector.Heartbeat{ID: g.name, Final: last}
	if o := s.controlNodeAt(addr); o != nil {
		s.send(&g.machine, &o.machine, func() { o.step(controlnode.PeerHeartbeat{Heartbeat: &b}) })
	}
	for _, to := range s.gateways {
		if to.addr == addr {
			s.send(&g.machine, &to.machine, func() { to.subscribe(controlclient.Event{Heartbeat: &b}) })
		}
	}
}

func (g *gatewayNode) subscribeTo(f controlclient.Follow) {
	s := g.sim
	o := s.controlNodeAt(f.Tail.Addr)
	if o == nil {
		g.after(5*millisecond, func() { g.subscribe(controlclient.Event{Closed: f.Number}) })
		return
	}
	s.send(&g.machine, &o.machine, func() {
		if !o.core.Node.IsTailReady(o.clock()) {
			s.send(&o.machine, &g.machine, func() { g.subscribe(controlclient.Event{Closed: f.Number}) })
			return
		}
		o.followers[g.name] = g
		ask := f.Request
		o.step(controlnode.SubscribeUpdates{Request: &ask})
	})
}

func (g *gatewayNode) report(addr string) {
	s := g.sim
	o := s.controlNodeAt(addr)
	if o == nil {
		return
	}
	report := clone(g.decider.Report(g.clock()))
	report.Addr, report.Zone, report.Suspects = g.addr, g.zone, g.subscriber.Suspects(g.clock())
	s.logValue("report", report)
	s.send(&g.machine, &o.machine, func() {
		o.replySeq++
		o.replies[o.replySeq] = func(l wire.Lease) {
			s.send(&o.machine, &g.machine, func() { g.subscribe(controlclient.Event{Lease: &l}) })
			if l.OK {
				s.springTraps("lease", o)
			}
		}
		o.step(controlnode.GatewayReport{Report: report, ReplyID: o.replySeq})
	})
}

func (g *gatewayNode) step(ev scheduling.Event) {
	s := g.sim
	for _, e := range g.decider.Step(g.clock(), ev) {
		switch e := e.(type) {
		case *scheduling.AttemptStart:
			g.attempt(*e)
		case *scheduling.CallFailed:
			if c := g.calls[e.Call.ID]; c != nil {
				g.failCall(c, e.Fault)
			}
		case *scheduling.CallFinished:
			if c := g.calls[e.Call.ID]; c != nil {
				g.endTruncated(c, e.Outcome)
			}
		case scheduling.CancelAttempt:
			if c := g.calls[e.Call.ID]; c != nil && c.stop != nil && (c.hungUp || s.plan.Plant != "still") {
				c.stop()
			}
		}
	}
}

func (g *gatewayNode) failCall(c *callInFlight, f *fault.Fault) {
	c.result.Code, c.result.Run, c.result.RetryMs = string(f.Code), f.Run, f.RetryMs
	g.callEnded(c)
}

// endTruncated is a call whose last attempt did not end well.
func (g *gatewayNode) endTruncated(c *callInFlight, e scheduling.Outcome) {
	c.result.Code, c.result.Run, c.result.Broken = string(fault.OutcomeUnknown), fault.RunUnknown, len(c.result.Chunks) > 0
	switch {
	case g.sim.plan.Plant == "lie":
		c.result.Run = fault.RunNone
	case e == scheduling.OutcomeTimedOut:
		c.result.Code = string(fault.Expired)
	case len(c.result.Chunks) > 0:
		c.result.Code, c.result.Run = string(fault.StreamBroken), fault.RunPartial
	}
	g.callEnded(c)
}

func (g *gatewayNode) callEnded(c *callInFlight) {
	delete(g.calls, c.call.ID)
	if c.keyed {
		end := c.result.Run
		if c.result.Complete {
			end = fault.RunYes
		}
		g.keyChange(c, end)
	}
	if !c.hungUp {
		g.sim.recordResult(c)
	}
}

// hangUp is a caller that goes away, waiting or in the middle of a stream.
func (g *gatewayNode) hangUp(c *callInFlight) {
	if g.calls[c.call.ID] != c || c.hungUp {
		return
	}
	c.hungUp = true
	c.result.Broken, c.result.Code, c.result.Run = true, "hung up", fault.RunUnknown
	c.done = nil
	g.sim.recordResult(c)
	running := c.attempt != "" && c.stop != nil
	g.step(scheduling.CallCanceled{Call: c.call.ID})
	if !running {
		g.callEnded(c)
	}
}

func (g *gatewayNode) keyChange(c *callInFlight, end string) {
	change := statemachine.Change{ID: "keyend-" + c.call.ID, Key: &statemachine.KeyChange{Key: c.result.Key, Gateway: g.name, GatewayIncarnation: g.incarnation, Call: c.call.ID, End: end, Release: end == fault.RunNone}}
	if end == fault.RunNone {
		change.Key.End = ""
	}
	g.submit(change, func(wire.Result, bool) {})
}

func (g *gatewayNode) submit(c statemachine.Change, done func(wire.Result, bool)) {
	s := g.sim
	over := false
	finish := func(r wire.Result, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	g.after(2500*millisecond, func() { finish(wire.Result{}, false) })
	var o *controlNode
	for _, addr := range g.subscriber.ControlNodes() {
		if at := s.controlNodeAt(addr); o == nil && at != nil && !s.isCut(g.name, at.name) && !s.isCut(at.name, g.name) {
			o = at
		}
	}
	if o == nil {
		return
	}
	s.send(&g.machine, &o.machine, func() {
		o.submit(c, 2*second, func(r wire.Result, ok bool) {
			if ok {
				s.send(&o.machine, &g.machine, func() { finish(r, true) })
				s.springTraps("key", o)
			}
		})
	})
}

func (g *gatewayNode) maySend(st scheduling.AttemptStart) bool {
	return st.MaySend(g.snapshot, g.clock(), g.leaseUs) || g.sim.plan.Plant == "deaf"
}

// attempt is the executor: it obeys one decision against the simulated network and replica.
func (g *gatewayNode) attempt(st scheduling.AttemptStart) {
	s := g.sim
	c := g.calls[st.Call.ID]
	ended := func(e scheduling.Outcome) {
		g.step(scheduling.AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: e})
	}
	if c == nil || !g.maySend(st) {
		g.after(10, func() { ended(scheduling.OutcomeUnsent) })
		return
	}
	c.attempt = st.Attempt
	p := s.servers[st.Replica]
	if p == nil || !p.up || p.addr != st.Addr || s.isCut(g.name, p.name) || s.isCut(p.name, g.name) {
		g.after(400*millisecond, func() { ended(scheduling.OutcomeUnsent) })
		return
	}
	over := false
	finish := func(e scheduling.Outcome, why string) {
		if over {
			return
		}
		over = true
		c.stop = nil
		g.attemptEnded(c, st, e, why, ended)
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
		boot := g.boot
		s.schedule(s.nowUs+2*millisecond, func() {
			close()
			g.deliver(boot, func() { g.attemptEnded(c, st, scheduling.OutcomeMigrated, "moved", ended) })
		})
	}
	g.after(max(1, st.DeadlineUs-g.clock()), func() {
		if !over {
			close()
			finish(scheduling.OutcomeTimedOut, "expired while it ran")
		}
	})
	attempt := wire.Attempt{ID: st.Attempt, Ticket: st.GrantNumber, Incarnation: st.Incarnation, Call: st.Call.ID, Model: c.request.Model, Adapter: c.request.Adapter,
		Prefix: c.request.Prefix, Prompt: c.request.Prompt, Received: append(append([]string(nil), c.request.Received...), c.result.Chunks...), NextChunk: c.result.ReceivedChunks + len(c.result.Chunks) + 1, MaxOutput: c.request.MaxOutput}
	boot := g.boot
	asked := false
	g.after(second, func() {
		if !asked {
			finish(scheduling.OutcomeUnsent, "the replica did not ask for the leg")
		}
	})
	wait := func() int64 { return 200 + s.random.Int63n(1500) }
	start := func(reachedUs int64) {
		started, refusal, firstUs := p.core.StartAttempt(reachedUs, attempt)
		if refusal != nil {
			g.deliver(boot, func() { finish(scheduling.OutcomeRejected, refusal.Code) })
			return
		}
		run = started
		if over || !g.up || g.boot != boot {
			close()
			return
		}
		g.deliverChunks(p, c, run, attempt, firstUs, boot, func() bool { return over }, finish)
	}
	body := func() {
		if over {
			return
		}
		asked = true
		if !g.maySend(st) {
			finish(scheduling.OutcomeUnsent, "the news changed before it was sent")
			return
		}
		s.schedule(s.nowUs+wait(), func() {
			if !p.up {
				g.deliver(boot, func() { finish(scheduling.OutcomeUnknown, "the pipe broke") })
				return
			}
			reachedUs := s.nowUs
			p.deliver(p.boot, func() { start(reachedUs) })
		})
	}
	s.schedule(s.nowUs+wait(), func() {
		if !p.up {
			g.deliver(boot, func() { finish(scheduling.OutcomeUnsent, "the connection broke before the attempt was asked for") })
			return
		}
		p.deliver(p.boot, func() { s.schedule(s.nowUs+wait(), func() { g.deliver(boot, body) }) })
	})
}

func (g *gatewayNode) deliverChunks(p *serverNode, c *callInFlight, run *modelserver.Run, attempt wire.Attempt, firstUs int64, boot int, over func() bool, finish func(scheduling.Outcome, string)) {
	s := g.sim
	n := attempt.NextChunk
	serverBoot := p.boot
	deliver := func(chunk wire.Chunk) {
		g.deliver(boot, func() {
			if over() {
				return
			}
			ending, why := scheduling.CheckChunk(attempt.ID, c.result.ReceivedChunks+len(c.result.Chunks), chunk)
			switch {
			case s.plan.Plant == "blind" && chunk.Number != c.result.ReceivedChunks+len(c.result.Chunks)+1 && !chunk.End:
				ending = ""
			case s.plan.Plant == "hasty" && len(c.result.Chunks) == 3:
				ending = scheduling.OutcomeDone
			case s.plan.Plant == "mixed" && len(c.result.Chunks) == 2:
				chunk.Text = "0000000000000000~" + run.Nonce
			}
			if ending != "" {
				finish(ending, why)
				return
			}
			if c.result.FirstUs == 0 {
				c.result.FirstUs = s.nowUs
			}
			c.call.FirstByteUs.CompareAndSwap(0, g.clock())
			c.result.Chunks = append(c.result.Chunks, chunk.Text)
			c.result.IDs = append(c.result.IDs, c.result.ReceivedChunks+len(c.result.Chunks))
			c.call.Progress.Store(int64(c.result.ReceivedChunks + len(c.result.Chunks)))
		})
	}
	var next func()
	next = func() {
		if over() {
			return
		}
		if !p.up || p.boot != serverBoot {
			s.schedule(s.nowUs+millisecond, func() {
				g.deliver(boot, func() { finish(scheduling.OutcomeBroken, "the replica's stream ended early") })
			})
			return
		}
		if p.thawUs > s.nowUs {
			s.schedule(p.thawUs, next)
			return
		}
		if s.isCut(p.name, g.name) {
			s.schedule(s.nowUs+50*millisecond, next)
			return
		}
		if n > run.Total {
			run.Ended = true
			p.core.EndAttempt(s.nowUs, run, true)
			s.schedule(s.nowUs+300, func() { deliver(wire.Chunk{AttemptID: attempt.ID, End: true, Number: run.Total}) })
			return
		}
		chunk := wire.Chunk{AttemptID: attempt.ID, Number: n, Text: modelserver.Text(attempt.Prompt, attempt.Model, attempt.Adapter, n, run.Nonce)}
		if s.plan.Plant == "blind" && n == 3 {
			n++
			chunk.Number, chunk.Text = n, modelserver.Text(attempt.Prompt, attempt.Model, attempt.Adapter, n, run.Nonce)
		}
		s.schedule(s.nowUs+300, func() { deliver(chunk) })
		run.Sent = n
		n++
		s.schedule(s.nowUs+p.core.PieceUs(), next)
	}
	s.schedule(s.nowUs+firstUs, next)
}

func (g *gatewayNode) attemptEnded(c *callInFlight, st scheduling.AttemptStart, e scheduling.Outcome, why string, ended func(scheduling.Outcome)) {
	if g.sim.plan.Plant == "again" && (e == scheduling.OutcomeUnknown || e == scheduling.OutcomeBroken) && len(c.result.Chunks) == 0 {
		e = scheduling.OutcomeUnsent
	}
	if c.hungUp {
		g.callEnded(c)
		ended(e)
		return
	}
	if e == scheduling.OutcomeDone {
		c.result.Complete, c.result.EndCount = true, c.result.ReceivedChunks+len(c.result.Chunks)
		g.callEnded(c)
	}
	ended(e)
}

// serveCall is a call reaching this gateway.
func (g *gatewayNode) serveCall(ask gateway.CallRequest, t rules.ClientAttempt, done func(rules.ClientAttempt)) {
	s := g.sim
	t.AdmittedUs = s.nowUs
	s.watch.Admitted(t.Tag, s.nowUs)
	c := &callInFlight{request: ask, result: t, done: done}
	refuse := func(f *fault.Fault) {
		c.result.Code, c.result.Run, c.result.RetryMs = string(f.Code), f.Run, f.RetryMs
		if c.result.Run == "" {
			c.result.Run = fault.RunNone
		}
		s.recordResult(c)
	}
	if g.snapshot == nil || g.snapshot.Declaration == nil {
		refuse(&fault.Fault{Code: fault.NoLease, RetryMs: 500})
		return
	}
	kind, bad := g.snapshot.LookupKind(scheduling.KindLookup{Kind: ask.Kind, Model: ask.Model, Adapter: ask.Adapter, Resuming: t.ReceivedChunks > 0}, g.clock(), g.leaseUs)
	if bad != nil {
		refuse(bad)
		return
	}
	s.calls++
	c.call = &scheduling.Call{
		ID: fmt.Sprintf("%s-%d", g.name, s.calls), Kind: kind.Name, Model: ask.Model, Adapter: ask.Adapter, Prefix: ask.Prefix, ArrivedUs: g.clock(), Delivered: t.ReceivedChunks,
	}
	c.call.Progress.Store(int64(t.ReceivedChunks))
	enter := func() {
		g.calls[c.call.ID] = c
		if s.random.Intn(40) == 0 {
			g.after(s.random.Int63n(600*millisecond), func() { g.hangUp(c) })
		}
		g.step(scheduling.CallArrived{Call: c.call})
	}
	if t.Key == "" || kind.Resumable {
		enter()
		return
	}
	change := statemachine.Change{ID: "key-" + c.call.ID, Key: &statemachine.KeyChange{Key: t.Key, Gateway: g.name, GatewayIncarnation: g.incarnation, Call: c.call.ID}}
	g.calls[c.call.ID] = c
	g.submit(change, func(r wire.Result, ok bool) {
		delete(g.calls, c.call.ID)
		switch {
		case !ok:
			g.keyChange(c, fault.RunNone)
			refuse(&fault.Fault{Code: fault.Overloaded, RetryMs: 1000})
		case r.Outcome.Fault != nil:
			refuse(&fault.Fault{Code: r.Outcome.Fault.Code, RetryMs: 2000})
		case r.Outcome.Repeated && s.plan.Plant != "keys":
			c.result.Code, c.result.Run = string(fault.KeyRunning), fault.RunUnknown
			s.recordResult(c)
		default:
			c.keyed = true
			enter()
		}
	})
}

func (s *DeclaredDay) recordResult(c *callInFlight) {
	c.result.EndUs = s.nowUs
	s.results = append(s.results, c.result)
	s.watch.Observed(c.result)
	if c.done != nil {
		c.done(c.result)
	}
}

// generateCalls sends seeded calls until a time; a keyed call whose fate is not known is asked for
// again, with its key, at another gateway.
func (s *DeclaredDay) generateCalls(untilUs int64) {
	r := rand.New(rand.NewSource(s.plan.Seed*7 + s.nowUs))
	label := fmt.Sprintf("t%d", s.nowUs/1000)
	n := 0
	var next func()
	next = func() {
		if s.nowUs >= untilUs {
			return
		}
		n++
		ask := s.randomCall(r, label, n)
		key := ""
		if r.Intn(4) == 0 {
			key = "key-" + ask.Prompt
		}
		s.sendCall(ask, key, r.Intn(len(s.gateways)), 0)
		s.schedule(s.nowUs+int64(r.ExpFloat64()/s.plan.CallsPerSecond*1e6), next)
	}
	next()
}

func (s *DeclaredDay) randomCall(r *rand.Rand, label string, n int) gateway.CallRequest {
	d := s.plan.Doc
	kind := kindsByPriority(d)[[]int{0, 1, 1, 2, 2, 2, 2}[r.Intn(7)]%len(d.Kinds)]
	m := d.Models[min(int(r.ExpFloat64()*float64(len(d.Models))/4), len(d.Models)-1)]
	if s.onlyRareModels {
		m = d.Models[len(d.Models)/2+r.Intn(len(d.Models)/2)]
	}
	ask := gateway.CallRequest{Kind: kind.Name, Model: m.Name, Prefix: []string{"house", fmt.Sprintf("school %d", r.Intn(4))}, Prompt: fmt.Sprintf("%s.%d go", label, n)}
	if s.operators.done["model of "+d.Adapters[1].Name] && r.Intn(8) == 0 {
		ask.Adapter, ask.Model = d.Adapters[1].Name, s.operators.elsewhere()
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

func (s *DeclaredDay) sendCall(ask gateway.CallRequest, key string, at, try int) {
	d := s.gateways[at%len(s.gateways)]
	t := rules.ClientAttempt{Tag: modelserver.TagOf(ask.Prompt), Key: key, Kind: ask.Kind, Model: ask.Model, Adapter: ask.Adapter, Prompt: ask.Prompt, Gateway: d.name,
		StartUs: s.nowUs, ReceivedChunks: len(ask.Received), MaxOutput: ask.MaxOutput, Resumable: s.operators.mayResume(ask.Kind)}
	s.watch.Requested(t)
	done := func(t rules.ClientAttempt) { s.retryCall(t, ask, key, at, try) }
	if !d.up {
		t.Code, t.Run, t.EndUs = "down", fault.RunNone, s.nowUs
		s.results = append(s.results, t)
		done(t)
		return
	}
	boot := d.boot
	s.schedule(s.nowUs+500, func() {
		if !d.up || d.boot != boot {
			t.Code, t.Run, t.EndUs = "cut", fault.RunUnknown, s.nowUs
			s.results = append(s.results, t)
			return
		}
		d.deliver(boot, func() { d.serveCall(ask, t, done) })
	})
}

// retryCall is what a sensible caller does: it comes back when it was told to, asks what became of
// a keyed call, and goes on with a stream that was cut where that is allowed.
func (s *DeclaredDay) retryCall(t rules.ClientAttempt, ask gateway.CallRequest, key string, at, try int) {
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
	s.schedule(s.nowUs+max(t.RetryMs, 200)*millisecond, func() { s.sendCall(ask, key, at+1, try+1) })
}
