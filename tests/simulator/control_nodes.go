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
	core       *controlnode.Core
	memberName string
	disk       disk
	zone       string
	founding   int
	waiters    map[string]func(wire.Result)
	replies    map[uint64]func(wire.Lease)
	replySeq   uint64
	followers  map[string]*gatewayNode
	saver      saver
}

func newControlNode(s *DeclaredDay, name, addr, zone string, founding int) *controlNode {
	o := &controlNode{machine: machine{sim: s, name: name, addr: addr}, memberName: name, zone: zone, founding: founding}
	o.disk.identity = name + "-" + s.nextIncarnation()
	o.start()
	return o
}

func (cn *controlNode) start() {
	cn.boot++
	cn.up, cn.thawUs = true, 0
	cn.skewUs = cn.sim.random.Int63n(1000) * second
	cn.waiters, cn.replies, cn.followers = map[string]func(wire.Result){}, map[uint64]func(wire.Lease){}, map[string]*gatewayNode{}
	cn.saver = saver{on: &cn.machine, disk: &cn.disk, step: cn.step, end: func() { cn.crash(0, 0) }}
	me := chain.Member{ID: cn.disk.identity, Name: cn.memberName, Addr: cn.addr, Zone: cn.zone}
	node, err := chain.NewNode(chain.Options{Self: me, Incarnation: cn.sim.nextIncarnation(), BootstrapCount: cn.founding}, clone(cn.disk.records), cn.clock())
	if err != nil {
		panic(err)
	}
	cn.core = controlnode.NewCore(node, controlnode.CoreOptions{})
	cn.tick()
	cn.contactSeeds()
}

func (cn *controlNode) tick() {
	cn.after(25*millisecond, func() {
		cn.step(controlnode.Tick{})
		cn.tick()
	})
}

func (cn *controlNode) contactSeeds() {
	for _, seed := range cn.sim.seeds {
		to := cn.sim.controlNodeAt(seed)
		if to == nil || to == cn {
			continue
		}
		cn.sim.send(&cn.machine, &to.machine, func() {
			where := to.membership()
			cn.sim.send(&to.machine, &cn.machine, func() {
				learned := []string{}
				for _, m := range where.ControlNodes {
					if m.Addr != cn.addr {
						learned = append(learned, m.Addr)
					}
				}
				cn.step(controlnode.LearnPeers{Addrs: learned})
			})
		})
	}
	cn.after(second, cn.contactSeeds)
}

func (cn *controlNode) membership() wire.MembershipResponse {
	n := cn.core.Node
	w := wire.MembershipResponse{View: n.View(), ControlNodes: []chain.Member{n.Self()}}
	for _, p := range n.Peers() {
		if p.Alive {
			w.ControlNodes = append(w.ControlNodes, p.Member)
		}
	}
	return clone(w)
}

func (s *DeclaredDay) controlNodeAt(addr string) *controlNode {
	for _, o := range s.controlNodes {
		if o.addr == addr && o.up {
			return o
		}
	}
	return nil
}

func (cn *controlNode) crash(lossy, torn int) {
	if !cn.up {
		return
	}
	cn.up = false
	cn.saver.torn(torn)
	if lossy > 0 {
		cn.disk.records = cn.disk.records[:max(0, len(cn.disk.records)-lossy)]
	}
}

func (cn *controlNode) step(ev controlnode.Event) {
	s := cn.sim
	for _, effect := range cn.core.Step(cn.clock(), ev) {
		switch e := effect.(type) {
		case controlnode.SendMessage:
			to := s.controlNodeAt(e.Addr)
			if to == nil {
				continue
			}
			message := clone(e.Message)
			s.logValue("message", message)
			s.send(&cn.machine, &to.machine, func() { to.step(controlnode.PeerMessage{Message: &message}) })
		case controlnode.Persist:
			cn.saver.enqueue(*e.Request)
		case controlnode.PushUpdate:
			if d := cn.followers[e.Push.Gateway]; d != nil {
				update := clone(e.Push.Update)
				s.logValue("news", update)
				s.send(&cn.machine, &d.machine, func() { d.applyUpdate(update) })
			}
		case controlnode.DeliverResult:
			if w := cn.waiters[e.Result.Outcome.ID]; w != nil {
				w(*e.Result)
			}
		case controlnode.ReplyLease:
			if reply := cn.replies[e.ReplyID]; reply != nil {
				delete(cn.replies, e.ReplyID)
				reply(e.Lease)
			}
		case controlnode.RunController:
			cn.applyControllerEffect(e.Effect)
		case controlnode.ChangeApplied:
			s.checkApplied(cn, *e.Applied)
		case controlnode.LogMessage:
			s.logf("%s: %s %d %s", cn.name, e.Message, cn.core.Node.View().Number, e.Detail)
		}
	}
}

// requireAcknowledgements checks that every member a tail counts for an acknowledgement has it on its disk.
func (s *DeclaredDay) requireAcknowledgements(tail *controlNode, index uint64) {
	for _, o := range s.controlNodes {
		if o.up && o.disk.full {
			s.watch.Stake(rules.UnsyncedCopy)
		}
		if !o.up || tail.core.Node.View().Position(o.core.Node.Self().ID, o.core.Node.Incarnation()) < 0 {
			continue
		}
		if o.disk.discardedTo < index {
			s.watch.Break(rules.UnsyncedCopy, "%s acknowledges %d in view %d, %s holds %d", tail.name, index, tail.core.Node.View().Number, o.name, o.disk.discardedTo)
		}
	}
}

// checkApplied checks that all control nodes apply the same change at the same place, whatever they are told.
func (s *DeclaredDay) checkApplied(o *controlNode, a chain.Applied) {
	s.logValue("applied", a.Entry.Change)
	s.logValue("outcome", a.Outcome)
	raw, err := json.Marshal(a.Entry.Change)
	if err != nil {
		panic(err)
	}
	if c := a.Entry.Change; c.Claim != nil && a.Outcome.Fault == nil && len(o.core.Node.State().Pending) > 0 {
		s.watch.Stake(rules.CommandConflict)
	}
	if before, seen := s.agreedEntries[a.Entry.Index]; seen && before != string(raw) {
		s.watch.Break(rules.ConfigMissing, "%s applies another change at %d", o.name, a.Entry.Index)
	}
	s.agreedEntries[a.Entry.Index] = string(raw)
	if n := o.core.Node; n.IsTail() && n.AcceptsWrites() {
		s.requireAcknowledgements(o, a.Entry.Index)
	}
	if c := a.Entry.Change.Config; c != nil && a.Outcome.Fault == nil && !a.Outcome.Repeated {
		s.operators.byRevision[a.Outcome.Revision] = c.Doc.Name
	}
}

// submit does for a change what a control node's host does: send it on until a result comes.
func (cn *controlNode) submit(c statemachine.Change, waitUs int64, done func(wire.Result, bool)) {
	c.Origin = cn.addr
	endUs := cn.sim.nowUs + waitUs
	over := false
	finish := func(r wire.Result, ok bool) {
		if over {
			return
		}
		over = true
		delete(cn.waiters, c.ID)
		done(r, ok)
	}
	cn.waiters[c.ID] = func(r wire.Result) {
		if r.Outcome.Fault == nil || r.Outcome.Fault.Code != "not_serving" {
			finish(clone(r), true)
		}
	}
	var again func()
	again = func() {
		if over {
			return
		}
		if cn.sim.nowUs >= endUs {
			finish(wire.Result{}, false)
			return
		}
		held := clone(c)
		cn.step(controlnode.SubmitChange{Change: &held})
		cn.after(400*millisecond, again)
	}
	again()
}

func (cn *controlNode) tellController(ev controller.Event) {
	cn.step(controlnode.ControllerInput{Event: ev})
}

func (cn *controlNode) applyControllerEffect(effect controller.Effect) {
	s := cn.sim
	wait := func() int64 { return 200 + s.random.Int63n(2000) }
	switch effect := effect.(type) {
	case controller.PollPlatform:
		mood := s.platformFault
		cn.after(wait(), func() {
			listed := controller.PlatformListing{Err: mood}
			switch mood {
			case "":
				list := s.platform.List(s.nowUs)
				listed.List = &list
			case "empty":
				listed.List = &wire.ReplicaList{Version: s.platform.List(s.nowUs).Version}
			case "stale":
				listed.List = &wire.ReplicaList{Version: 0}
			}
			cn.tellController(listed)
		})
	case controller.ReportRequest:
		p := s.servers[effect.Replica]
		if p == nil || p.addr != effect.Addr || !p.up {
			return
		}
		s.send(&cn.machine, &p.machine, func() {
			st := clone(p.core.State())
			s.send(&p.machine, &cn.machine, func() {
				cn.tellController(controller.ReplicaReport{RequestedUs: effect.RequestedUs, Replica: effect.Replica, Addr: effect.Addr, State: &st})
			})
		})
	case controller.SendOrder:
		order := clone(effect.Order)
		s.logValue("order", order)
		p := s.servers[order.Command.Replica]
		if p == nil || p.addr != effect.Addr || !p.up {
			return
		}
		if s.plan.Plant == "forger" && order.Command.Number%5 == 0 {
			order.Command.Number--
		}
		s.send(&cn.machine, &p.machine, func() {
			state := p.takeOrder(order)
			s.springTraps("ticket", cn)
			s.send(&p.machine, &cn.machine, func() {
				cn.tellController(controller.OrderResult{Replica: order.Command.Replica, Incarnation: order.Command.Incarnation, State: state})
			})
		})
	case controller.PolicyRun:
		done := controller.PolicyResult{Number: effect.Number, Revision: effect.Revision, Live: placement.Run(effect.Live, effect.Fleet)}
		for _, p := range effect.Shadows {
			done.Shadows = append(done.Shadows, placement.Run(p, effect.Fleet))
		}
		cn.after(2*millisecond, func() { cn.tellController(done) })
	}
}
