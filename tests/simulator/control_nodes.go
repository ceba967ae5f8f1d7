package simulator

import (
	"encoding/json"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/tests/rules"
)

type controlNode struct {
	machine
	core     *controlnode.Core
	named    string
	disk     disk
	zone     string
	founding int
	waiters  map[string]func(wire.Result)
	replies  map[uint64]func(wire.Lease)
	replySeq uint64
	follows  map[string]*gatewayNode
	saver    saver
}

func newControlNode(s *Sim, name, addr, zone string, founding int) *controlNode {
	o := &controlNode{machine: machine{sim: s, name: name, addr: addr}, named: name, zone: zone, founding: founding}
	o.disk.identity = name + "-" + s.newIncarnation()
	o.start()
	return o
}

func (o *controlNode) start() {
	o.boot++
	o.up, o.thawUs = true, 0
	o.skewUs = o.sim.r.Int63n(1000) * sec
	o.waiters, o.replies, o.follows = map[string]func(wire.Result){}, map[uint64]func(wire.Lease){}, map[string]*gatewayNode{}
	o.saver = saver{on: &o.machine, disk: &o.disk, step: o.step, end: func() { o.crash(0, 0) }}
	me := chain.Member{ID: o.disk.identity, Name: o.named, Addr: o.addr, Zone: o.zone}
	node, err := chain.NewNode(chain.Options{Self: me, Incarnation: o.sim.newIncarnation(), BootstrapCount: o.founding}, clone(o.disk.records), o.clock())
	if err != nil {
		panic(err)
	}
	o.core = controlnode.NewCore(node, controlnode.CoreOptions{})
	o.tick()
	o.seek()
}

func (o *controlNode) tick() {
	o.later(25*ms, func() {
		o.step(controlnode.Tick{})
		o.tick()
	})
}

func (o *controlNode) seek() {
	for _, seed := range o.sim.seeds {
		to := o.sim.controlNodeAt(seed)
		if to == nil || to == o {
			continue
		}
		o.sim.send(&o.machine, &to.machine, func() {
			where := to.where()
			o.sim.send(&to.machine, &o.machine, func() {
				learned := []string{}
				for _, m := range where.ControlNodes {
					if m.Addr != o.addr {
						learned = append(learned, m.Addr)
					}
				}
				o.step(controlnode.LearnPeers{Addrs: learned})
			})
		})
	}
	o.later(sec, o.seek)
}

func (o *controlNode) where() wire.MembershipResponse {
	n := o.core.Node
	w := wire.MembershipResponse{View: n.View(), ControlNodes: []chain.Member{n.Self()}}
	for _, p := range n.Peers() {
		if p.Alive {
			w.ControlNodes = append(w.ControlNodes, p.Member)
		}
	}
	return clone(w)
}

func (s *Sim) controlNodeAt(addr string) *controlNode {
	for _, o := range s.controlNodes {
		if o.addr == addr && o.up {
			return o
		}
	}
	return nil
}

func (o *controlNode) crash(lossy, torn int) {
	if !o.up {
		return
	}
	o.up = false
	o.saver.torn(torn)
	if lossy > 0 {
		o.disk.records = o.disk.records[:max(0, len(o.disk.records)-lossy)]
	}
}

func (o *controlNode) step(ev controlnode.Event) {
	s := o.sim
	for _, effect := range o.core.Step(o.clock(), ev) {
		switch e := effect.(type) {
		case controlnode.SendMessage:
			to := s.controlNodeAt(e.Addr)
			if to == nil {
				continue
			}
			message := clone(e.Message)
			s.show("message", message)
			s.send(&o.machine, &to.machine, func() { to.step(controlnode.PeerMessage{Message: &message}) })
		case controlnode.PersistSave:
			o.saver.put(*e.Save)
		case controlnode.PushUpdate:
			if d := o.follows[e.Push.Gateway]; d != nil {
				news := clone(e.Push.Update)
				s.show("news", news)
				s.send(&o.machine, &d.machine, func() { d.news(news) })
			}
		case controlnode.DeliverResult:
			if w := o.waiters[e.Result.Outcome.ID]; w != nil {
				w(*e.Result)
			}
		case controlnode.ReplyLease:
			if reply := o.replies[e.Reply]; reply != nil {
				delete(o.replies, e.Reply)
				reply(e.Lease)
			}
		case controlnode.RunController:
			o.controller(e.Effect)
		case controlnode.ChangeApplied:
			s.applied(o, *e.Applied)
		case controlnode.LogMessage:
			s.note("%s: %s %d %s", o.name, e.Message, o.core.Node.View().Number, e.Detail)
		}
	}
}

// counted checks that every member a tail counts for an acknowledgement has it on its disk.
func (s *Sim) counted(tail *controlNode, index uint64) {
	for _, o := range s.controlNodes {
		if o.up && o.disk.full {
			s.watch.Stake(rules.UnsyncedCopy)
		}
		if !o.up || tail.core.Node.View().Position(o.core.Node.Self().ID, o.core.Node.Incarnation()) < 0 {
			continue
		}
		if o.disk.held < index {
			s.watch.Break(rules.UnsyncedCopy, "%s acknowledges %d in view %d, %s holds %d", tail.name, index, tail.core.Node.View().Number, o.name, o.disk.held)
		}
	}
}

// applied checks that all control nodes apply the same change at the same place, whatever they are told.
func (s *Sim) applied(o *controlNode, a chain.Applied) {
	s.show("applied", a.Entry.Change)
	s.show("outcome", a.Outcome)
	raw, err := json.Marshal(a.Entry.Change)
	if err != nil {
		panic(err)
	}
	if c := a.Entry.Change; c.Claim != nil && a.Outcome.Fault == nil && len(o.core.Node.State().Pending) > 0 {
		s.watch.Stake(rules.CommandConflict)
	}
	if before, seen := s.agreed[a.Entry.Index]; seen && before != string(raw) {
		s.watch.Break(rules.ConfigMissing, "%s applies another change at %d", o.name, a.Entry.Index)
	}
	s.agreed[a.Entry.Index] = string(raw)
	if n := o.core.Node; n.IsTail() && n.AcceptsWrites() {
		s.counted(o, a.Entry.Index)
	}
	if c := a.Entry.Change.Config; c != nil && a.Outcome.Fault == nil && !a.Outcome.Repeated {
		s.ops.byRevision[a.Outcome.Revision] = c.Doc.Name
	}
}

// submit does for a change what a control node's host does: send it on until a result comes.
func (o *controlNode) submit(c statemachine.Change, waitUs int64, done func(wire.Result, bool)) {
	c.Origin = o.addr
	endUs := o.sim.nowUs + waitUs
	over := false
	finish := func(r wire.Result, ok bool) {
		if over {
			return
		}
		over = true
		delete(o.waiters, c.ID)
		done(r, ok)
	}
	o.waiters[c.ID] = func(r wire.Result) {
		if r.Outcome.Fault == nil || r.Outcome.Fault.Code != "not_serving" {
			finish(clone(r), true)
		}
	}
	var again func()
	again = func() {
		if over {
			return
		}
		if o.sim.nowUs >= endUs {
			finish(wire.Result{}, false)
			return
		}
		held := clone(c)
		o.step(controlnode.SubmitChange{Change: &held})
		o.later(400*ms, again)
	}
	again()
}

func (o *controlNode) tell(ev controller.Event) { o.step(controlnode.ControllerInput{Event: ev}) }

func (o *controlNode) controller(effect controller.Effect) {
	s := o.sim
	wait := func() int64 { return 200 + s.r.Int63n(2000) }
	switch effect := effect.(type) {
	case controller.PollPlatform:
		mood := s.platMood
		o.later(wait(), func() {
			listed := controller.PlatformListing{Err: mood}
			switch mood {
			case "":
				list := s.plat.List(s.nowUs)
				listed.List = &list
			case "empty":
				listed.List = &wire.ReplicaList{Version: s.plat.List(s.nowUs).Version}
			case "stale":
				listed.List = &wire.ReplicaList{Version: 0}
			}
			o.tell(listed)
		})
	case controller.ReportRequest:
		p := s.servers[effect.Replica]
		if p == nil || p.addr != effect.Addr || !p.up {
			return
		}
		s.send(&o.machine, &p.machine, func() {
			st := clone(p.core.State())
			s.send(&p.machine, &o.machine, func() {
				o.tell(controller.ReplicaReport{RequestedUs: effect.RequestedUs, Replica: effect.Replica, Addr: effect.Addr, State: &st})
			})
		})
	case controller.SendOrder:
		order := clone(effect.Order)
		s.show("order", order)
		p := s.servers[order.Command.Replica]
		if p == nil || p.addr != effect.Addr || !p.up {
			return
		}
		if s.plan.Plant == "forger" && order.Command.Number%5 == 0 {
			order.Command.Number--
		}
		s.send(&o.machine, &p.machine, func() {
			state := p.take(order)
			s.spring("ticket", o)
			s.send(&p.machine, &o.machine, func() {
				o.tell(controller.OrderResult{Replica: order.Command.Replica, Incarnation: order.Command.Incarnation, State: state})
			})
		})
	case controller.PolicyRun:
		done := controller.PolicyResult{Number: effect.Number, Revision: effect.Revision, Live: placement.Run(effect.Live, effect.Fleet)}
		for _, p := range effect.Shadows {
			done.Shadows = append(done.Shadows, placement.Run(p, effect.Fleet))
		}
		o.later(2*ms, func() { o.tell(done) })
	}
}
