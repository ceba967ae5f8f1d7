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
	ledger "petreltide/internal/controlplane/quota"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

type routedControlNode struct {
	machine
	day            *routedDay
	core           *controlnode.Core
	disk           disk
	zone           string
	founders       []string
	removed        bool
	waiters        map[string]func(wire.Result)
	streams        map[string]*frameStream
	pendingReplies map[uint64]func(ok bool)
	replySequence  uint64
	saver          saver
	sinceUs        int64
	// diskUs is since when its disk has lasted.
	diskUs int64
	// planted is a ledger that is kept wrongly, where that is planted, and plantedView the view that it was made in.
	planted      *ledger.Ledger
	plantedView  uint64
	quotaReplies map[uint64]func(*wire.QuotaResponse)
	// killed: its process was ended and its machine is up, so that its port refuses.
	killed bool
}

// frameStream is one gateway's stream of frames from one control node.
type frameStream struct {
	gateway         *routedGateway
	number          uint64
	incarnation     string
	fromControlNode *link
}

func (d *routedDay) addControlNode(name, addr, zone string, first bool) *routedControlNode {
	o := &routedControlNode{machine: machine{sim: d.DeclaredDay, name: name, addr: addr}, day: d, zone: zone}
	o.disk.identity = name + "-" + d.nextIncarnation()
	if first {
		o.founders = d.seeds
	}
	fromUs := d.nowUs
	if first {
		fromUs = 0
	}
	o.diskUs = fromUs
	d.controlNodes = append(d.controlNodes, o)
	d.observed.Core = append(d.observed.Core, rules.Member{Machine: name, FromUs: fromUs})
	o.start()
	return o
}

func (cn *routedControlNode) start() {
	if cn.up || cn.removed {
		return
	}
	cn.boot++
	cn.up, cn.thawUs, cn.sinceUs = true, 0, cn.day.nowUs
	cn.skewUs = cn.sim.random.Int63n(1000) * second
	cn.waiters, cn.streams, cn.pendingReplies = map[string]func(wire.Result){}, map[string]*frameStream{}, map[uint64]func(bool){}
	cn.quotaReplies = map[uint64]func(*wire.QuotaResponse){}
	cn.saver = saver{on: &cn.machine, disk: &cn.disk, step: cn.step, end: func() { cn.crash(0) }, kept: cn.snapshotStepReached}
	opts := chain.Options{
		Self: chain.Member{ID: cn.disk.identity, Name: cn.name, Addr: cn.addr, Zone: cn.zone}, Incarnation: cn.sim.nextIncarnation(), MinReplicas: cn.day.tolerated() + 1, AutoMembership: true,
	}
	opts = controlnode.WithAutoMembershipTimings(opts)
	opts.BootstrapAddrs, opts.FirstStart = cn.founders, len(cn.founders) > 0
	cn.founders = nil
	node, err := chain.NewNode(opts, clone(cn.disk.records), cn.clock())
	if err != nil {
		panic(err)
	}
	b := cn.day.observed.Bounds
	leaseUs := b.LeaseUs
	if cn.day.plan.Plant == "no-lease" {
		leaseUs = 0
	}
	cn.planted = nil
	cn.core = controlnode.NewCore(node, controlnode.CoreOptions{
		Quota:         cn.quotaOptions(),
		UnreachableUs: heartbeatUs * 5 / 2,
		Controller:    controller.Options{LeaseUs: leaseUs, StoreWindowUs: b.LoadWindowUs, StoreOvershoot: b.LoadOvershoot},
	})
	cn.day.endFault(cn.name, "down")
	cn.tick()
	cn.contactSeeds()
}

// crash ends the process; with power lost, what was not synced is there, missing or torn.
func (cn *routedControlNode) crash(torn int) {
	if !cn.up {
		return
	}
	cn.up, cn.killed = false, torn == 0
	cn.day.endFault(cn.name, "freeze")
	cn.day.recordFault(rules.FaultInterval{Machine: cn.name, Kind: "down", Down: true})
	cn.saver.torn(torn)
	if cn.day.plan.Plant == "amnesia" && cn.day.nowUs > bootUs {
		cn.disk.records = cn.disk.records[:len(cn.disk.records)/3]
	}
	for _, gateway := range slices.Sorted(maps.Keys(cn.streams)) {
		cn.streams[gateway].onBrokenLink(cn)
	}
}

// onBrokenLink tells a gateway that a stream's other end is gone, unless a cut hides it.
func (s *frameStream) onBrokenLink(o *routedControlNode) {
	gateway, number := s.gateway, s.number
	s.fromControlNode.closed = true
	o.day.schedule(o.day.nowUs+millisecond, func() {
		if !o.day.isCut(o.name, gateway.name) {
			gateway.deliver(gateway.boot, func() { gateway.closed(number) })
		}
	})
}

func (cn *routedControlNode) tick() {
	cn.after(25*millisecond, func() {
		cn.step(controlnode.Tick{})
		cn.tick()
	})
}

func (cn *routedControlNode) contactSeeds() {
	for _, seed := range cn.day.seeds {
		to := cn.day.controlNodeAt(seed)
		if to == nil || to == cn {
			continue
		}
		cn.day.transmit(&cn.machine, &to.machine, 500*millisecond, func() {
			learned := []string{}
			for _, m := range to.membership() {
				if m != cn.addr {
					learned = append(learned, m)
				}
			}
			cn.day.transmit(&to.machine, &cn.machine, 500*millisecond, func() { cn.step(controlnode.LearnPeers{Addrs: learned}) }, func() {})
		}, func() {})
	}
	cn.after(second, cn.contactSeeds)
}

// membership are the addresses that this control node knows of.
func (cn *routedControlNode) membership() []string {
	n := cn.core.Node
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

func (cn *routedControlNode) step(ev controlnode.Event) {
	d := cn.day
	nowUs := cn.clock()
	if d.plan.Plant == "forgets-orders" {
		clear(cn.core.Node.State().Outcomes)
		cn.core.Node.State().OutcomeIDs = nil
	}
	for _, effect := range cn.core.Step(nowUs, ev) {
		switch e := effect.(type) {
		case controlnode.SendMessage:
			to := d.controlNodeAt(e.Addr)
			if to == nil || to == cn {
				continue
			}
			if !to.up && to.killed && !d.isCut(cn.name, to.name) && !d.isCut(to.name, cn.name) {
				cn.after(millisecond, func() { cn.step(controlnode.PeerConnectionRefused{Addr: to.addr}) })
				continue
			}
			message := clone(e.Message)
			d.logValue("message", message)
			d.send(&cn.machine, &to.machine, func() { to.step(controlnode.PeerMessage{Message: &message}) })
		case controlnode.Persist:
			cn.saver.enqueue(*e.Request)
		case controlnode.PushFrame:
			cn.frame(e.Push.Gateway, e.Push.Frame)
		case controlnode.DeliverResult:
			if w := cn.waiters[e.Result.Outcome.ID]; w != nil {
				w(clone(*e.Result))
			}
		case controlnode.AcknowledgeReplica:
			cn.onReply(e)
		case controlnode.ReplyQuota:
			cn.onQuotaReply(e)
		case controlnode.RunController:
			cn.applyControllerEffect(e.Effect)
		case controlnode.LogMessage:
			d.logf("%s: %s %d %s", cn.name, e.Message, cn.core.Node.View().Number, e.Detail)
		}
	}
}

func (cn *routedControlNode) frame(gateway string, f *wire.Frame) {
	s := cn.streams[gateway]
	if s == nil {
		return
	}
	f = clone(f)
	cn.day.logValue("frame", f)
	if cn.day.plan.Plant == "sure" {
		f.PossiblyStale = false
	}
	number := s.number
	s.fromControlNode.send(func() { s.gateway.frame(number, f) })
}

// subscribe is a gateway that follows this control node; its stream before is ended.
func (cn *routedControlNode) subscribe(s *frameStream, ask wire.SubscribeRequest) {
	if prior := cn.streams[s.gateway.name]; prior != nil {
		prior.onBrokenLink(cn)
	}
	s.incarnation = ask.Incarnation
	cn.streams[s.gateway.name] = s
	cn.step(controlnode.SubscribeFrames{Request: &ask})
}

func (cn *routedControlNode) unfollow(s *frameStream) {
	if cn.streams[s.gateway.name] == s {
		delete(cn.streams, s.gateway.name)
		cn.step(controlnode.UnsubscribeFrames{Gateway: s.gateway.name, Incarnation: s.incarnation})
	}
}

// heartbeat takes what a replica says of itself, and answers whether it is acknowledged.
func (cn *routedControlNode) heartbeat(row registry.ReplicaStatus, answer func(ok bool)) {
	cn.stepWithReply(func(reply uint64) controlnode.Event {
		return controlnode.ReplicaHeartbeat{Status: &row, ReplyID: reply}
	}, answer)
}

func (cn *routedControlNode) stepWithReply(event func(reply uint64) controlnode.Event, answer func(ok bool)) {
	cn.replySequence++
	cn.pendingReplies[cn.replySequence] = answer
	cn.step(event(cn.replySequence))
}

// onReply passes on the answer to a replica's word; a plant acknowledges whatever was said.
func (cn *routedControlNode) onReply(r controlnode.AcknowledgeReplica) {
	answer := cn.pendingReplies[r.ReplyID]
	delete(cn.pendingReplies, r.ReplyID)
	if answer != nil {
		answer(r.OK || cn.day.plan.Plant == "credulous")
	}
}

// submit does for a change what a control node's host does: send it on until a result comes or nobody asks any more.
func (cn *routedControlNode) submit(c statemachine.Change, wanted func() bool, done func(statemachine.Outcome, bool)) {
	c.Origin = cn.addr
	endUs := cn.sim.nowUs + 8*second
	over := false
	finish := func(out statemachine.Outcome, ok bool) {
		if !over {
			over = true
			delete(cn.waiters, c.ID)
			done(out, ok)
		}
	}
	cn.waiters[c.ID] = func(r wire.Result) {
		if r.Outcome.Fault == nil || r.Outcome.Fault.Code != "not_serving" {
			finish(r.Outcome, true)
		}
	}
	var again func()
	again = func() {
		switch {
		case over:
		case cn.sim.nowUs >= endUs || !wanted():
			finish(statemachine.Outcome{}, false)
		default:
			held := clone(c)
			cn.step(controlnode.SubmitChange{Change: &held})
			cn.after(400*millisecond, again)
		}
	}
	again()
}

// configure is what the platform's side of a control node does with an operator's order.
func (cn *routedControlNode) configure(mark string, c statemachine.ConfigChange, wanted func() bool, answer func(status int)) {
	id := "op-" + mark
	if cn.day.plan.Plant == "own-state" && c.Base != cn.core.Node.State().Version() {
		answer(http.StatusPreconditionFailed)
		return
	}
	if out, seen := cn.core.Outcome(id); seen {
		answer(statusOf(out, true))
		return
	}
	if c.Doc != nil {
		if bad := c.Doc.CheckRoutes(); bad != nil {
			if cn.day.plan.Plant == "lenient" {
				answer(http.StatusOK)
				return
			}
			answer(http.StatusBadRequest)
			return
		}
	}
	if base := cn.core.Node.State().Version(); cn.day.plan.Plant == "own-state" && base != c.Base {
		answer(http.StatusPreconditionFailed)
		return
	}
	if cn.day.plan.Plant == "silent" && cn.day.nowUs > bootUs {
		return
	}
	cn.submit(statemachine.Change{ID: id, Config: &c}, wanted, func(out statemachine.Outcome, ok bool) {
		status := statusOf(out, ok)
		if cn.day.plan.Plant == "two-winners" && status == http.StatusPreconditionFailed {
			status = http.StatusOK
		}
		if cn.day.plan.Plant == "denies-winners" && status == http.StatusOK && c.Version%3 == 0 {
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
func (cn *routedControlNode) read(answer func(*configuration.Declaration, bool)) {
	n := cn.core.Node
	if n.IsTailReady(cn.clock()) || cn.day.plan.Plant == "unleased" && n.IsTail() {
		answer(n.State().Doc, true)
		return
	}
	tail := cn.day.controlNodeAt(n.View().Tail().Addr)
	if tail == nil || tail == cn {
		answer(nil, false)
		return
	}
	fail := func() { answer(nil, false) }
	cn.day.transmit(&cn.machine, &tail.machine, 700*millisecond, func() {
		open, doc := tail.core.Node.IsTailReady(tail.clock()), tail.core.Node.State().Doc
		cn.day.transmit(&tail.machine, &cn.machine, 700*millisecond, func() { answer(doc, open) }, fail)
	}, fail)
}

func (cn *routedControlNode) tellController(ev controller.Event) {
	cn.step(controlnode.ControllerInput{Event: ev})
}

const replicaWaitUs = 900 * millisecond

func (cn *routedControlNode) applyControllerEffect(effect controller.Effect) {
	d := cn.day
	switch effect := effect.(type) {
	case controller.PollPlatform:
		cn.after(millisecond, func() { cn.tellController(controller.PlatformListing{}) })
	case controller.ReportRequest:
		told := controller.ReplicaReport{RequestedUs: effect.RequestedUs, Replica: effect.Replica, Addr: effect.Addr}
		fail := func() { cn.after(millisecond, func() { cn.tellController(told) }) }
		p := d.replicaAt(effect.Addr)
		if p == nil {
			fail()
			return
		}
		d.transmit(&cn.machine, &p.machine, replicaWaitUs, func() {
			r := p.core.Report(d.nowUs)
			d.transmit(&p.machine, &cn.machine, replicaWaitUs, func() {
				told.State = &wire.ReplicaState{ID: effect.Replica, Incarnation: effect.Replica, Active: r.Running, Busy: r.Busy, Orders: r.Orders, Units: r.Units}
				cn.tellController(told)
			}, fail)
		}, fail)
	case controller.SendOrder:
		cn.sendOrder(clone(effect.Order), effect.Addr)
	}
}

// sendOrder is what the platform's side of a control node makes of a ticket, and of the replica's answer to it.
func (cn *routedControlNode) sendOrder(w wire.Order, addr string) {
	d := cn.day
	d.logValue("order", w)
	t := w.Command
	state := wire.OrderState{Number: t.Number, Epoch: w.Epoch}
	tell := func() {
		cn.tellController(controller.OrderResult{Replica: t.Replica, Incarnation: t.Incarnation, Expected: w.ExpectedOrders, State: state})
	}
	doubt := func() {
		cn.after(millisecond, func() {
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
	asked := replica.Order{From: cn.name, Operation: "loading", Model: model, Adapter: adapter, Holder: w.Leader, Fence: w.Epoch, Expected: w.ExpectedOrders, Expect: t.Incarnation}
	if t.Action == statemachine.Unload {
		asked.Operation = "unloading"
	}
	if d.plan.Plant == "forger" && t.Number%3 == 0 {
		asked.Holder = "node-of-nobody"
	}
	d.transmitResetting(&cn.machine, &p.machine, replicaWaitUs, func() {
		status := p.takeOrder(asked)
		if status == http.StatusAccepted {
			d.orderAccepted()
		}
		d.transmit(&p.machine, &cn.machine, replicaWaitUs, func() {
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
func (cn *routedControlNode) isLeader() bool {
	return cn.up && cn.core.Controller.IsLeader(cn.core.Node.State()) && cn.core.Node.IsHead()
}

// caughtUp: it serves, and has for as long as the platform counts a machine as lost after its return.
func (cn *routedControlNode) caughtUp() bool {
	return cn.up && cn.thawUs <= cn.sim.nowUs && cn.core.Node.Phase() == chain.PhaseServing && cn.sim.nowUs-cn.sinceUs > cn.day.catchUpUs()
}
