package controller

import (
	"maps"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// MaxOrderInFlightUs bounds how long an order may be on its way to a replica: its sender gives it up then, and resets the
// connection. A successor waits so long beside the lease, as an order may arrive after the last that was heard of it.
const MaxOrderInFlightUs = 900 * clock.Ms

const (
	// leaseSlackUs is how much longer than the lease a successor waits: an order's flight, and a margin.
	leaseSlackUs = MaxOrderInFlightUs + 100*clock.Ms
	// leaderFreshUs is how long after a takeover the leader before may still believe that it leads, and send again what is pending.
	leaderFreshUs = 1100 * clock.Ms
	// maxTrackedReplicas bounds what is remembered of replicas that are gone.
	maxTrackedReplicas = 4096
)

// predecessorWait is how long this controller has to wait out orders of other leaders: a replica holds for a lease to the
// one that ordered it last.
type predecessorWait struct {
	// leaseUs is that lease, in microseconds; 0 for none.
	leaseUs int64
	// startedUs is the first tick of this controller; 0 before.
	startedUs int64
	// leaderSinceUs is the first event as the leader; 0 while it does not lead.
	leaderSinceUs int64
	// foreignUs is when others may last have ordered any replica, for all that this controller did not see.
	foreignUs int64
	orders    predecessorOrders
}

// start records the first tick.
func (p *predecessorWait) start(nowUs int64, s *statemachine.State) {
	if p.startedUs == 0 {
		p.startedUs = nowUs
		p.orders.reset(s)
	}
}

// onApplied takes a leader's update as it is applied; foreign says that another leader wrote it.
func (p *predecessorWait) onApplied(nowUs int64, foreign bool, update statemachine.LeaderUpdate, s *statemachine.State) {
	if !p.orders.onApplied(nowUs, foreign, update, s) {
		p.foreignUs = nowUs
	}
}

// beginLeadership records, before the first event as the leader is acted on, what an earlier one may still have on its way:
// what stands then may have been settled by the first tick.
func (p *predecessorWait) beginLeadership(nowUs int64, epoch uint64, s *statemachine.State) {
	if p.leaderSinceUs != 0 {
		return
	}
	p.leaderSinceUs = nowUs
	if s.NextNumber > 1 {
		p.foreignUs = max(p.foreignUs, p.startedUs)
	}
	p.orders.recordUnseen(nowUs, s)
	if p.orders.nextNumber != s.NextNumber {
		p.orders.reset(s)
		p.foreignUs = nowUs
	}
	for id, command := range s.Pending {
		if command.Epoch != epoch {
			p.orders.lastOrderUs[id] = max(p.orders.lastOrderUs[id], nowUs+leaderFreshUs)
		}
	}
}

// canPlan says whether what a predecessor may have ordered of which nothing is known lies a lease behind.
func (p *predecessorWait) canPlan(nowUs int64) bool { return p.waitUs(nowUs, "") <= 0 }

// canOrder says whether what a predecessor may have ordered at this replica lies a lease behind as well.
func (p *predecessorWait) canOrder(nowUs int64, replica string) bool {
	return p.waitUs(nowUs, replica) <= 0
}

// waitUs is the time until a replica may be ordered, below 0 where it may be; "" is a replica of which nothing is known.
func (p *predecessorWait) waitUs(nowUs int64, replica string) int64 {
	return max(p.foreignUs, p.orders.lastOrderUs[replica]) + p.leaseUs + leaseSlackUs - nowUs
}

// longestWaitUs is the time until every replica may be ordered.
func (p *predecessorWait) longestWaitUs(nowUs int64, s *statemachine.State) int64 {
	longestUs := p.waitUs(nowUs, "")
	for id := range s.Replicas {
		longestUs = max(longestUs, p.waitUs(nowUs, id))
	}
	return longestUs
}

// predecessorOrders is when somebody else may last have ordered each replica. One that orders it next waits out the lease for
// that replica alone: an order is sent under a ticket in the ledger only, and what the ledger shows no ticket of
// was not ordered.
type predecessorOrders struct {
	lastOrderUs map[string]int64
	// replicaOf are those of the tickets that stand, by number.
	replicaOf map[uint64]string
	// nextNumber is the number up to which every ticket was seen.
	nextNumber uint64
}

// reset begins with what the ledger holds: of what came before nothing is known but that it was before.
func (o *predecessorOrders) reset(s *statemachine.State) {
	o.nextNumber, o.replicaOf = s.NextNumber, map[uint64]string{}
	for id, p := range s.Pending {
		o.replicaOf[p.Number] = id
	}
	if o.lastOrderUs == nil {
		o.lastOrderUs = map[string]int64{}
	}
}

// onApplied notes a leader update as it is applied; false where tickets came and went before that were not seen, as in a copy.
func (o *predecessorOrders) onApplied(nowUs int64, foreign bool, d statemachine.LeaderUpdate, s *statemachine.State) bool {
	if o.replicaOf == nil {
		o.reset(s)
		return false
	}
	complete := true
	if len(o.lastOrderUs)+len(o.replicaOf) > maxTrackedReplicas {
		maps.DeleteFunc(o.lastOrderUs, func(id string, _ int64) bool { return s.Replicas[id] == nil })
		maps.DeleteFunc(o.replicaOf, func(_ uint64, id string) bool { return s.Replicas[id] == nil })
	}
	for _, done := range d.Results {
		id, known := o.replicaOf[done.Number]
		delete(o.replicaOf, done.Number)
		complete = complete && known
		if foreign && known {
			o.lastOrderUs[id] = nowUs
		}
	}
	issued := uint64(0)
	for _, proposed := range d.Commands {
		p, stands := s.Pending[proposed.Replica]
		if !stands || p.Number < o.nextNumber {
			continue
		}
		issued++
		o.replicaOf[p.Number] = p.Replica
		if foreign {
			o.lastOrderUs[p.Replica] = nowUs
		}
	}
	if complete = complete && s.NextNumber == o.nextNumber+issued; !complete {
		o.reset(s)
	}
	o.nextNumber = s.NextNumber
	return complete
}

// recordUnseen notes the replicas of tickets that stood when this controller last looked and do not any more, though it
// saw none of them settled: whoever led meanwhile may have sent them again up to now.
func (o *predecessorOrders) recordUnseen(nowUs int64, s *statemachine.State) {
	for number, id := range o.replicaOf {
		if s.Pending[id].Number != number {
			o.lastOrderUs[id] = max(o.lastOrderUs[id], nowUs)
			delete(o.replicaOf, number)
		}
	}
}
