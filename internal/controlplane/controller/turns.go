package controller

import (
	"maps"

	"petreltide/internal/controlplane/statemachine"
)

// turns is when somebody else may last have ordered each replica. One that orders it next waits out the lease for
// that replica alone: an order is sent under a ticket in the ledger only, and what the ledger shows no ticket of
// was not ordered.
type turns struct {
	atUs map[string]int64
	// replicas are those of the tickets that stand, by number.
	replicas map[uint64]string
	// next is the number up to which every ticket was seen.
	next uint64
}

const turnsMost = 4096

// follow begins with what the ledger holds: of what came before nothing is known but that it was before.
func (t *turns) follow(s *statemachine.State) {
	t.next, t.replicas = s.NextNumber, map[uint64]string{}
	for id, p := range s.Pending {
		t.replicas[p.Number] = id
	}
	if t.atUs == nil {
		t.atUs = map[string]int64{}
	}
}

// saw notes a leader update as it is applied; false where tickets came and went before that were not seen, as in a copy.
func (t *turns) saw(nowUs int64, foreign bool, d statemachine.LeaderUpdate, s *statemachine.State) bool {
	if t.replicas == nil {
		t.follow(s)
		return false
	}
	whole := true
	if len(t.atUs)+len(t.replicas) > turnsMost {
		maps.DeleteFunc(t.atUs, func(id string, _ int64) bool { return s.Replicas[id] == nil })
		maps.DeleteFunc(t.replicas, func(_ uint64, id string) bool { return s.Replicas[id] == nil })
	}
	for _, done := range d.Results {
		id, known := t.replicas[done.Number]
		delete(t.replicas, done.Number)
		whole = whole && known
		if foreign && known {
			t.atUs[id] = nowUs
		}
	}
	issued := uint64(0)
	for _, asked := range d.Commands {
		p, stands := s.Pending[asked.Replica]
		if !stands || p.Number < t.next {
			continue
		}
		issued++
		t.replicas[p.Number] = p.Replica
		if foreign {
			t.atUs[p.Replica] = nowUs
		}
	}
	if whole = whole && s.NextNumber == t.next+issued; !whole {
		t.follow(s)
	}
	t.next = s.NextNumber
	return whole
}

// unseen notes the replicas of tickets that stood when this controller last looked and do not any more, though it
// saw none of them settled: whoever led meanwhile may have sent them again up to now.
func (t *turns) unseen(nowUs int64, s *statemachine.State) {
	for number, id := range t.replicas {
		if s.Pending[id].Number != number {
			t.atUs[id] = max(t.atUs[id], nowUs)
			delete(t.replicas, number)
		}
	}
}

// mayPlan: what a predecessor may have ordered of which nothing is known lies a lease behind.
func (f *Controller) mayPlan(nowUs int64) bool { return f.ordersInUs(nowUs, "") <= 0 }

// mayOrder: and so does what it may have ordered at this replica.
func (f *Controller) mayOrder(nowUs int64, replica string) bool {
	return f.ordersInUs(nowUs, replica) <= 0
}

func (f *Controller) ordersInUs(nowUs int64, replica string) int64 {
	return max(f.routed.foreignUs, f.turns.atUs[replica]) + f.opts.LeaseUs + leaseSlackUs - nowUs
}

// lastTurnUs is how long it takes until every replica may be ordered.
func (f *Controller) lastTurnUs(nowUs int64, s *statemachine.State) int64 {
	lastUs := f.ordersInUs(nowUs, "")
	for id := range s.Replicas {
		lastUs = max(lastUs, f.ordersInUs(nowUs, id))
	}
	return lastUs
}
