package simulator

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

type routedControlNode struct {
	machine
	day      *routedDay
	core     *controlnode.Core
	disk     disk
	zone     string
	founders []string
	removed  bool
	waiters  map[string]func(wire.Result)
	streams  map[string]*frameStream
	words    map[uint64]func(ok bool)
	wordSeq  uint64
	saver    saver
	sinceUs  int64
	// diskUs is since when its disk has lasted.
	diskUs int64
}

// frameStream is one gateway's stream of frames from one control node.
type frameStream struct {
	gateway     *routedGateway
	number      uint64
	incarnation string
	down        *pipe
}

func (d *routedDay) addControlNode(name, addr, zone string, first bool) *routedControlNode {
	o := &routedControlNode{machine: machine{sim: d.Sim, name: name, addr: addr}, day: d, zone: zone}
	o.disk.identity = name + "-" + d.newIncarnation()
	if first {
		o.founders = d.seeds
	}
	fromUs := d.nowUs
	if first {
		fromUs = 0
	}
	o.diskUs = fromUs
	d.controlNodes = append(d.controlNodes, o)
	d.seen.Core = append(d.seen.Core, rules.Member{Machine: name, FromUs: fromUs})
	o.start()
	return o
}

func (o *routedControlNode) start() {
	if o.up || o.removed {
		return
	}
	o.boot++
	o.up, o.thawUs, o.sinceUs = true, 0, o.day.nowUs
	o.skewUs = o.sim.r.Int63n(1000) * sec
	o.waiters, o.streams, o.words = map[string]func(wire.Result){}, map[string]*frameStream{}, map[uint64]func(bool){}
	o.saver = saver{on: &o.machine, disk: &o.disk, step: o.step, end: func() { o.crash(0) }, kept: o.keepsCopy}
	opts := chain.Options{
		Self: chain.Member{ID: o.disk.identity, Name: o.name, Addr: o.addr, Zone: o.zone}, Incarnation: o.sim.newIncarnation(), MinReplicas: o.day.tolerated() + 1, AutoMembership: true,
	}
	opts = controlnode.SelfPaced(opts)
	opts.BootstrapAddrs, opts.FirstStart = o.founders, len(o.founders) > 0
	o.founders = nil
	node, err := chain.NewNode(opts, clone(o.disk.records), o.clock())
	if err != nil {
		panic(err)
	}
	b := o.day.seen.Bounds
	leaseUs := b.LeaseUs
	if o.day.plan.Plant == "no-lease" {
		leaseUs = 0
	}
	o.core = controlnode.NewCore(node, controlnode.CoreOptions{
		UnreachableUs: heartbeatUs * 5 / 2,
		Controller:    controller.Options{LeaseUs: leaseUs, StoreWindowUs: b.LoadWindowUs, StoreOvershoot: b.LoadOvershoot},
	})
	o.day.over(o.name, "down")
	o.tick()
	o.seek()
}

// crash ends the process; with power lost, what was not synced is there, missing or torn.
func (o *routedControlNode) crash(torn int) {
	if !o.up {
		return
	}
	o.up = false
	o.day.over(o.name, "freeze")
	o.day.trouble(rules.FaultInterval{Machine: o.name, Kind: "down", Down: true})
	o.saver.torn(torn)
	if o.day.plan.Plant == "amnesia" && o.day.nowUs > bootUs {
		o.disk.records = o.disk.records[:len(o.disk.records)/3]
	}
	for _, gateway := range slices.Sorted(maps.Keys(o.streams)) {
		o.streams[gateway].broke(o)
	}
}

// broke tells a gateway that a stream's other end is gone, unless a cut hides it.
func (s *frameStream) broke(o *routedControlNode) {
	gateway, number := s.gateway, s.number
	s.down.closed = true
	o.day.at(o.day.nowUs+ms, func() {
		if !o.day.isCut(o.name, gateway.name) {
			gateway.now(gateway.boot, func() { gateway.closed(number) })
		}
	})
}

func (o *routedControlNode) tick() {
	o.later(25*ms, func() {
		o.step(controlnode.Tick{})
		o.tick()
	})
}

func (o *routedControlNode) seek() {
	for _, seed := range o.day.seeds {
		to := o.day.controlNodeAt(seed)
		if to == nil || to == o {
			continue
		}
		o.day.carry(&o.machine, &to.machine, 500*ms, func() {
			learned := []string{}
			for _, m := range to.where() {
				if m != o.addr {
					learned = append(learned, m)
				}
			}
			o.day.carry(&to.machine, &o.machine, 500*ms, func() { o.step(controlnode.LearnPeers{Addrs: learned}) }, func() {})
		}, func() {})
	}
	o.later(sec, o.seek)
}

// where are the addresses that this control node knows of.
func (o *routedControlNode) where() []string {
	n := o.core.Node
	addrs := []string{n.Self().Addr}
	for _, s := range n.View().Replicas {
		addrs = append(addrs, s.Addr)
	}
	for _, p := range n.Peers() {
		if p.Alive {
			addrs = append(addrs, p.Member.Addr)
		}
	}
	return addrs
}

func (o *routedControlNode) step(ev controlnode.Event) {
	d := o.day
	nowUs := o.clock()
	if d.plan.Plant == "forgets-orders" {
		clear(o.core.Node.State().Outcomes)
		o.core.Node.State().OutcomeIDs = nil
	}
	for _, effect := range o.core.Step(nowUs, ev) {
		switch e := effect.(type) {
		case controlnode.SendMessage:
			to := d.controlNodeAt(e.Addr)
			if to == nil || to == o {
				continue
			}
			message := clone(e.Message)
			d.show("message", message)
			d.send(&o.machine, &to.machine, func() { to.step(controlnode.PeerMessage{Message: &message}) })
		case controlnode.PersistSave:
			o.saver.put(*e.Save)
		case controlnode.PushFrame:
			o.frame(e.Push.Gateway, e.Push.Frame)
		case controlnode.DeliverResult:
			if w := o.waiters[e.Result.Outcome.ID]; w != nil {
				w(clone(*e.Result))
			}
		case controlnode.AcknowledgeReplica:
			o.answered(e)
		case controlnode.RunController:
			o.controller(e.Effect)
		case controlnode.LogMessage:
			d.note("%s: %s %d %s", o.name, e.Message, o.core.Node.View().Number, e.Detail)
		}
	}
}

func (o *routedControlNode) frame(gateway string, f *wire.Frame) {
	s := o.streams[gateway]
	if s == nil {
		return
	}
	f = clone(f)
	o.day.show("frame", f)
	if o.day.plan.Plant == "sure" {
		f.PossiblyStale = false
	}
	number := s.number
	s.down.send(func() { s.gateway.frame(number, f) })
}

// subscribe is a gateway that follows this control node; its stream before is ended.
func (o *routedControlNode) subscribe(s *frameStream, ask wire.SubscribeRequest) {
	if prior := o.streams[s.gateway.name]; prior != nil {
		prior.broke(o)
	}
	s.incarnation = ask.Incarnation
	o.streams[s.gateway.name] = s
	o.step(controlnode.SubscribeFrames{Request: &ask})
}

func (o *routedControlNode) unfollow(s *frameStream) {
	if o.streams[s.gateway.name] == s {
		delete(o.streams, s.gateway.name)
		o.step(controlnode.UnsubscribeFrames{Gateway: s.gateway.name, Incarnation: s.incarnation})
	}
}

// heard takes what a replica says of itself, and answers whether it is acknowledged.
func (o *routedControlNode) heard(row registry.ReplicaStatus, answer func(ok bool)) {
	o.word(func(reply uint64) controlnode.Event { return controlnode.ReplicaHeartbeat{Status: &row, Reply: reply} }, answer)
}

func (o *routedControlNode) word(event func(reply uint64) controlnode.Event, answer func(ok bool)) {
	o.wordSeq++
	o.words[o.wordSeq] = answer
	o.step(event(o.wordSeq))
}

// answered passes on the answer to a replica's word; a plant acknowledges whatever was said.
func (o *routedControlNode) answered(r controlnode.AcknowledgeReplica) {
	answer := o.words[r.Reply]
	delete(o.words, r.Reply)
	if answer != nil {
		answer(r.OK || o.day.plan.Plant == "credulous")
	}
}

// submit does for a change what a control node's host does: send it on until a result comes or nobody asks any more.
func (o *routedControlNode) submit(c statemachine.Change, wanted func() bool, done func(statemachine.Outcome, bool)) {
	c.Origin = o.addr
	endUs := o.sim.nowUs + 8*sec
	over := false
	finish := func(out statemachine.Outcome, ok bool) {
		if !over {
			over = true
			delete(o.waiters, c.ID)
			done(out, ok)
		}
	}
	o.waiters[c.ID] = func(r wire.Result) {
		if r.Outcome.Fault == nil || r.Outcome.Fault.Code != "not_serving" {
			finish(r.Outcome, true)
		}
	}
	var again func()
	again = func() {
		switch {
		case over:
		case o.sim.nowUs >= endUs || !wanted():
			finish(statemachine.Outcome{}, false)
		default:
			held := clone(c)
			o.step(controlnode.SubmitChange{Change: &held})
			o.later(400*ms, again)
		}
	}
	again()
}

// configure is what the platform's side of a control node does with an operator's order.
func (o *routedControlNode) configure(mark string, c statemachine.ConfigChange, wanted func() bool, answer func(status int)) {
	id := "op-" + mark
	if o.day.plan.Plant == "own-state" && c.Base != o.core.Node.State().Version() {
		answer(http.StatusPreconditionFailed)
		return
	}
	if out, seen := o.core.Outcome(id); seen {
		answer(statusOf(out, true))
		return
	}
	if c.Doc != nil {
		if bad := c.Doc.CheckRoutes(); bad != nil {
			if o.day.plan.Plant == "lenient" {
				answer(http.StatusOK)
				return
			}
			answer(http.StatusBadRequest)
			return
		}
	}
	if base := o.core.Node.State().Version(); o.day.plan.Plant == "own-state" && base != c.Base {
		answer(http.StatusPreconditionFailed)
		return
	}
	if o.day.plan.Plant == "silent" && o.day.nowUs > bootUs {
		return
	}
	o.submit(statemachine.Change{ID: id, Config: &c}, wanted, func(out statemachine.Outcome, ok bool) {
		status := statusOf(out, ok)
		if o.day.plan.Plant == "two-winners" && status == http.StatusPreconditionFailed {
			status = http.StatusOK
		}
		if o.day.plan.Plant == "denies-winners" && status == http.StatusOK && c.Version%3 == 0 {
			status = http.StatusPreconditionFailed
		}
		answer(status)
	})
}

func statusOf(out statemachine.Outcome, ok bool) int {
	switch {
	case !ok:
		return http.StatusServiceUnavailable
	case out.Fault == nil:
		return http.StatusOK
	case out.Fault.Code == "stale_base":
		return http.StatusPreconditionFailed
	}
	return http.StatusBadRequest
}

// read is the declaration that was acknowledged last, where this control node can say.
func (o *routedControlNode) read(answer func(*configuration.Declaration, bool)) {
	n := o.core.Node
	if n.TailReady(o.clock()) || o.day.plan.Plant == "unleased" && n.IsTail() {
		answer(n.State().Doc, true)
		return
	}
	tail := o.day.controlNodeAt(n.View().Tail().Addr)
	if tail == nil || tail == o {
		answer(nil, false)
		return
	}
	fail := func() { answer(nil, false) }
	o.day.carry(&o.machine, &tail.machine, 700*ms, func() {
		open, doc := tail.core.Node.TailReady(tail.clock()), tail.core.Node.State().Doc
		o.day.carry(&tail.machine, &o.machine, 700*ms, func() { answer(doc, open) }, fail)
	}, fail)
}

func (o *routedControlNode) tell(ev controller.Event) { o.step(controlnode.ControllerInput{Event: ev}) }

const replicaWaitUs = 900 * ms

func (o *routedControlNode) controller(effect controller.Effect) {
	d := o.day
	switch effect := effect.(type) {
	case controller.PollPlatform:
		o.later(ms, func() { o.tell(controller.PlatformListing{}) })
	case controller.ReportRequest:
		told := controller.ReplicaReport{RequestedUs: effect.RequestedUs, Replica: effect.Replica, Addr: effect.Addr}
		fail := func() { o.later(ms, func() { o.tell(told) }) }
		p := d.replicaAt(effect.Addr)
		if p == nil {
			fail()
			return
		}
		d.carry(&o.machine, &p.machine, replicaWaitUs, func() {
			r := p.core.Report(d.nowUs)
			d.carry(&p.machine, &o.machine, replicaWaitUs, func() {
				told.State = &wire.ReplicaState{ID: effect.Replica, Incarnation: effect.Replica, Active: r.Running, Busy: r.Busy, Orders: r.Orders, Units: r.Units}
				o.tell(told)
			}, fail)
		}, fail)
	case controller.SendOrder:
		o.order(clone(effect.Order), effect.Addr)
	}
}

// order is what the platform's side of a control node makes of a ticket, and of the replica's answer to it.
func (o *routedControlNode) order(w wire.Order, addr string) {
	d := o.day
	d.show("order", w)
	t := w.Command
	state := wire.OrderState{Number: t.Number, Epoch: w.Epoch}
	tell := func() {
		o.tell(controller.OrderResult{Replica: t.Replica, Incarnation: t.Incarnation, Expected: w.ExpectedOrders, State: state})
	}
	doubt := func() {
		o.later(ms, func() {
			state = wire.OrderState{Number: t.Number, State: wire.OrderInDoubt, Reason: "no answer"}
			tell()
		})
	}
	p := d.replicaAt(addr)
	if p == nil {
		doubt()
		return
	}
	model, adapter := configuration.SplitUnit(t.Unit)
	asked := replica.Order{From: o.name, Operation: "loading", Model: model, Adapter: adapter, Holder: w.Leader, Fence: w.Epoch, Expected: w.ExpectedOrders, Expect: t.Incarnation}
	if t.Action == statemachine.Unload {
		asked.Operation = "unloading"
	}
	if d.plan.Plant == "forger" && t.Number%3 == 0 {
		asked.Holder = "node-of-nobody"
	}
	d.carry(&o.machine, &p.machine, replicaWaitUs, func() {
		status := p.ordered(asked)
		if status == http.StatusAccepted {
			d.orderTaken()
		}
		d.carry(&p.machine, &o.machine, replicaWaitUs, func() {
			switch status {
			case http.StatusAccepted:
				state.State = wire.OrderRunning
			case http.StatusOK:
				state.State = wire.OrderDone
			case http.StatusConflict:
				state.State = wire.OrderBusy
			case http.StatusBadRequest, http.StatusPreconditionFailed, http.StatusMisdirectedRequest:
				state.State = wire.OrderFailed
			default:
				state.State = wire.OrderInDoubt
			}
			state.Reason = fmt.Sprint(status)
			tell()
		}, doubt)
	}, doubt)
}

// holds says whether this control node leads now, as far as it knows.
func (o *routedControlNode) isLeader() bool {
	return o.up && o.core.Controller.IsLeader(o.core.Node.State()) && o.core.Node.IsHead()
}

// caughtUp: it serves, and has for as long as the platform counts a machine as lost after its return.
func (o *routedControlNode) caughtUp() bool {
	return o.up && o.thawUs <= o.sim.nowUs && o.core.Node.Phase() == chain.PhaseServing && o.sim.nowUs-o.sinceUs > o.day.catchUpUs()
}
