package simulator

import (
	"fmt"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/tests/rules"
)

// order sends an order about members until it is answered, at any control node that is up, and once more after
// that, as an operator may who lost the answer.
func (ops *operators) order(id string, m statemachine.MembershipChange) {
	s := ops.sim
	o := ops.controlNode()
	again := func() { s.schedule(s.nowUs+300*millisecond, func() { ops.order(id, m) }) }
	if o == nil {
		again()
		return
	}
	held := m
	if bad := o.core.Node.ResolveMemberChange(&held, true); bad != nil && bad.Code == "not_serving" {
		again()
		return
	}
	sent := held
	o.submit(statemachine.Change{ID: id, Membership: &sent}, 2*second, func(r wire.Result, ok bool) {
		switch {
		case !ok:
			again()
		case r.Outcome.Fault != nil:
			s.watch.Break(rules.ConfigMissing, "%s was refused: %v", id, r.Outcome.Fault)
		case !r.Outcome.Repeated:
			again()
		}
	})
}

func (s *DeclaredDay) empty(name, zone string) *controlNode {
	o := newControlNode(s, name, fmt.Sprintf("%s:new%s", name, s.nextIncarnation()), zone, 0)
	s.controlNodes = append(s.controlNodes, o)
	return o
}

func (s *DeclaredDay) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limitUs := s.nowUs + 30*second; !holds(); {
		if !s.runUntil(s.nowUs+50*millisecond) || s.nowUs > limitUs {
			t.Fatalf("not %s: %v %s", what, s.watch.Breaches, s.unsettledReason())
		}
	}
}

// votes are the names that vote in the newest view any control node has, whether all are seated, and the order
// that stands.
func (s *DeclaredDay) votes() (names map[string]string, seated bool, order *statemachine.MembershipChange) {
	var newest *controlNode
	for _, o := range s.controlNodes {
		if o.up && (newest == nil || o.core.Node.View().Number > newest.core.Node.View().Number) {
			newest = o
		}
	}
	names, seated = map[string]string{}, true
	view := newest.core.Node.View()
	for _, v := range view.Voters {
		names[v.Name] = v.ID
		seated = seated && view.HasReplica(v.ID)
	}
	for _, o := range s.controlNodes {
		if o.up && o.core.Node.IsTailReady(o.clock()) {
			return names, seated, o.core.Node.State().Membership
		}
	}
	return names, false, nil
}

// A control node is added, one replaced beside its living self, one removed; whichever control node is killed at
// whichever step, each order is carried out once and service holds.
func TestMembershipByCommandWithKillsAtEachStep(t *testing.T) {
	heavy(t)
	from, count := seeds(12)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			p := plan(int64(seed), 0)
			p.Changes = false
			s := New(p)
			s.operators.begin()
			s.until(t, "up", func() bool { return s.operators.grown && s.recovered() })
			s.generateCalls(s.nowUs + 90*second)
			kill := func() {
				s.schedule(s.nowUs+s.random.Int63n(2500*millisecond), func() {
					if !s.damaged() {
						s.crashControlNode(s.controlNodes[s.random.Intn(len(s.controlNodes))], 0, s.random.Intn(4), 300*millisecond+s.random.Int63n(1500*millisecond))
					}
				})
			}
			step := func(what string, m statemachine.MembershipChange, done func(names map[string]string) bool) {
				s.operators.order("member-"+what, m)
				kill()
				s.until(t, what, func() bool {
					names, seated, order := s.votes()
					return seated && order == nil && done(names) && !s.damagedBut()
				})
			}
			s.empty("core-3", "a")
			s.runUntil(s.nowUs + 2*second)
			if names, _, _ := s.votes(); names["core-3"] != "" {
				t.Fatal("a control node nobody ordered votes")
			}
			step("added", statemachine.MembershipChange{Action: statemachine.AddMember, Name: "core-3"}, func(n map[string]string) bool { return len(n) == 4 && n["core-3"] != "" })
			old := s.controlNodes[1]
			oldID := old.core.Node.Self().ID
			s.empty(old.name, old.zone)
			s.runUntil(s.nowUs + 2*second)
			if names, _, _ := s.votes(); names[old.name] != oldID {
				t.Fatal("a living control node was replaced without an order")
			}
			step("replaced", statemachine.MembershipChange{Action: statemachine.ReplaceMember, Name: old.name}, func(n map[string]string) bool { return len(n) == 4 && n[old.name] != oldID })
			old.crash(0, 0)
			s.controlNodes = append(s.controlNodes[:1:1], s.controlNodes[2:]...)
			step("removed", statemachine.MembershipChange{Action: statemachine.RemoveMember, Name: "core-3"}, func(n map[string]string) bool { return len(n) == 3 && n["core-3"] == "" })
			s.until(t, "usual again", func() bool { return s.recovered() })
			fromUs := s.nowUs
			if !s.runUntil(fromUs + 8*second) {
				t.Fatal(s.watch.Breaches)
			}
			if row := s.serviceLevels(fromUs, fromUs+4*second)["all"]; row == nil || row.share() < 0.95 {
				t.Fatalf("%+v", row)
			}
		})
	}
}

// damagedBut: a control node that votes is down or not yet serving.
func (s *DeclaredDay) damagedBut() bool {
	names, _, _ := s.votes()
	for _, o := range s.controlNodes {
		if id := names[o.memberName]; id == o.disk.identity && (!o.up || o.core.Node.Phase() != "serving") {
			return true
		}
	}
	return false
}
