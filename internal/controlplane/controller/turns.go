package controller

import (
	"maps"

	"petreltide/internal/controlplane/statemachine"
)

// predecessorOrders is when somebody else may last have ordered each replica. One that orders it next waits out the lease for
// that replica alone: an order is sent under a ticket in the ledger only, and what the ledger shows no ticket of
// was not ordered.
type predecessorOrders struct {
	lastOrderUs map[string]int64
	// replicaOf are those of the tickets that stand, by number.
	replicaOf map[uint64]string
	// nextTicket is the number up to which every ticket was seen.
	nextTicket uint64
}

const maxTrackedReplicas = 4096

// reset begins with what the ledger holds: of what came before nothing is known but that it was before.
func (t *predecessorOrders) reset(s *statemachine.State) {
	t.nextTicket, t.replicaOf = s.NextNumber, map[uint64]string{}
	for id, p := range s.Pending {
		t.replicaOf[p.Number] = id
	}
	if t.lastOrderUs == nil {
		t.lastOrderUs = map[string]int64{}
	}
}

// onApplied notes a leader update as it is applied; false where tickets came and went before that were not seen, as in a copy.
func (t *predecessorOrders) onApplied(nowUs int64, foreign bool, d statemachine.LeaderUpdate, s *statemachine.State) bool {
	if t.replicaOf == nil {
		t.reset(s)
		return false
	}
	whole := true
	if len(t.lastOrderUs)+len(t.replicaOf) > maxTrackedReplicas {
		maps.DeleteFunc(t.lastOrderUs, func(id string, _ int64) bool { return s.Replicas[id] == nil })
		maps.DeleteFunc(t.replicaOf, func(_ uint64, id string) bool { return s.Replicas[id] == nil })
	}
	for _, done := range d.Results {
		id, known := t.replicaOf[done.Number]
		delete(t.replicaOf, done.Number)
		whole = whole && known
		if foreign && known {
			t.lastOrderUs[id] = nowUs
		}
	}
	issued := uint64(0)
	for _, asked := range d.Commands {
		p, stands := s.Pending[asked.Replica]
		if !stands || p.Number < t.nextTicket {
			continue
		}
		issued++
		t.replicaOf[p.Number] = p.Replica
		if foreign {
			t.lastOrderUs[p.Replica] = nowUs
		}
	}
	if whole = whole && s.NextNumber == t.nextTicket+issued; !whole {
		t.reset(s)
	}
	t.nextTicket = s.NextNumber
	return whole
}

// recordUnseen notes the replicas of tickets that stood when this controller last looked and do not any more, though it
// saw none of them settled: whoever led meanwhile may have sent them again up to now.
func (t *predecessorOrders) recordUnseen(nowUs int64, s *statemachine.State) {
	for number, id := range t.replicaOf {
		if s.Pending[id].Number != number {
			t.lastOrderUs[id] = max(t.lastOrderUs[id], nowUs)
			delete(t.replicaOf, number)
		}
	}
}

// canPlan: what a predecessor may have ordered of which nothing is known lies a lease behind.
func (c *Controller) canPlan(nowUs int64) bool { return c.waitUs(nowUs, "") <= 0 }

// canOrder: and so does what it may have ordered at this replica.
func (c *Controller) canOrder(nowUs int64, replica string) bool {
	return c.waitUs(nowUs, replica) <= 0
}

func (c *Controller) waitUs(nowUs int64, replica string) int64 {
	return max(c.routed.foreignUs, c.turns.lastOrderUs[replica]) + c.opts.LeaseUs + leaseSlackUs - nowUs
}

// longestWaitUs is how long it takes until every replica may be ordered.
func (c *Controller) longestWaitUs(nowUs int64, s *statemachine.State) int64 {
	lastUs := c.waitUs(nowUs, "")
	for id := range s.Replicas {
		lastUs = max(lastUs, c.waitUs(nowUs, id))
	}
	return lastUs
}
