package controller

import (
	"maps"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// MaxOrderInFlightUs bounds the time for which an order may be in flight to a replica: after that its sender gives up and
// resets the connection. A successor waits for this time in addition to the lease, because an order may arrive after the
// last sign of it in the replicated state.
const MaxOrderInFlightUs = 900 * clock.Ms

const (
	// leaseSlackUs is how much longer than the lease a successor waits: the maximum time of an order in flight, and a
	// margin.
	leaseSlackUs = MaxOrderInFlightUs + 100*clock.Ms
	// maxStaleLeaderUs is how long after a takeover the previous leader may still believe that it leads and resend pending
	// commands.
	maxStaleLeaderUs = 1100 * clock.Ms
	// maxTrackedReplicas bounds the records kept of replicas that are gone.
	maxTrackedReplicas = 4096
)

// predecessorWait determines how long this controller has to wait for the orders of other leaders: a replica is bound for a
// lease to the leader that ordered it last.
type predecessorWait struct {
	// leaseUs is the length of the lease, in microseconds; 0 for no lease.
	leaseUs int64
	// startedUs is the time of this controller's first tick; 0 before.
	startedUs int64
	// leaderSinceUs is the time of the first event as leader; 0 while this controller does not lead.
	leaderSinceUs int64
	// lastUnseenOrderUs is the latest time at which another leader may have ordered any replica without this controller
	// observing it.
	lastUnseenOrderUs int64
	orders            predecessorOrders
}

// start records the first tick.
func (p *predecessorWait) start(nowUs int64, s *statemachine.State) {
	if p.startedUs == 0 {
		p.startedUs = nowUs
		p.orders.reset(s)
	}
}

// onApplied processes a leader update when it is applied; foreign means that another leader wrote it.
func (p *predecessorWait) onApplied(nowUs int64, foreign bool, update statemachine.LeaderUpdate, s *statemachine.State) {
	if !p.orders.onApplied(nowUs, foreign, update, s) {
		p.lastUnseenOrderUs = nowUs
	}
}

// beginLeadership records the orders that an earlier leader may still have in flight. It has to run before the first event
// as leader is processed, because an event before the first tick may settle a command that is pending then.
func (p *predecessorWait) beginLeadership(nowUs int64, epoch uint64, s *statemachine.State) {
	if p.leaderSinceUs != 0 {
		return
	}
	p.leaderSinceUs = nowUs
	if s.NextNumber > 1 {
		p.lastUnseenOrderUs = max(p.lastUnseenOrderUs, p.startedUs)
	}
	p.orders.recordUnseen(nowUs, s)
	if p.orders.nextNumber != s.NextNumber {
		p.orders.reset(s)
		p.lastUnseenOrderUs = nowUs
	}
	for id, command := range s.Pending {
		if command.Epoch != epoch {
			p.orders.lastOrderUs[id] = max(p.orders.lastOrderUs[id], nowUs+maxStaleLeaderUs)
		}
	}
}

// canPlan reports whether a full lease has passed since the last time at which a previous leader may have sent an order that
// this process has not observed.
func (p *predecessorWait) canPlan(nowUs int64) bool { return p.waitUs(nowUs, "") <= 0 }

// canOrder reports whether canPlan holds and a full lease has passed since a previous leader may have last sent this replica
// an order.
func (p *predecessorWait) canOrder(nowUs int64, replica string) bool {
	return p.waitUs(nowUs, replica) <= 0
}

// waitUs returns the time until a replica may be ordered, negative if it already may be. An empty ID stands for a replica
// without any observed order.
func (p *predecessorWait) waitUs(nowUs int64, replica string) int64 {
	return max(p.lastUnseenOrderUs, p.orders.lastOrderUs[replica]) + p.leaseUs + leaseSlackUs - nowUs
}

// longestWaitUs returns the time until every replica may be ordered.
func (p *predecessorWait) longestWaitUs(nowUs int64, s *statemachine.State) int64 {
	longestUs := p.waitUs(nowUs, "")
	for id := range s.Replicas {
		longestUs = max(longestUs, p.waitUs(nowUs, id))
	}
	return longestUs
}

// predecessorOrders records when another leader may last have ordered each replica, so that a new leader waits for the end of
// the previous leader's lease at that replica only. This relies on the rule that an order is sent only for a command that is
// pending in the replicated state: without such a command there was no order.
type predecessorOrders struct {
	lastOrderUs map[string]int64
	// replicaOf maps the numbers of pending commands to their replicas.
	replicaOf map[uint64]string
	// nextNumber is the lowest command number not observed yet.
	nextNumber uint64
}

// reset restarts tracking from the pending commands in the replicated state; the times of earlier orders are not known.
func (o *predecessorOrders) reset(s *statemachine.State) {
	o.nextNumber, o.replicaOf = s.NextNumber, map[uint64]string{}
	for id, command := range s.Pending {
		o.replicaOf[command.Number] = id
	}
	if o.lastOrderUs == nil {
		o.lastOrderUs = map[string]int64{}
	}
}

// onApplied records a leader update when it is applied. It returns false if commands were issued or settled earlier without
// being observed, as happens when the state is restored from a snapshot.
func (o *predecessorOrders) onApplied(nowUs int64, foreign bool, update statemachine.LeaderUpdate, s *statemachine.State) bool {
	if o.replicaOf == nil {
		o.reset(s)
		return false
	}
	complete := true
	if len(o.lastOrderUs)+len(o.replicaOf) > maxTrackedReplicas {
		maps.DeleteFunc(o.lastOrderUs, func(id string, _ int64) bool { return s.Replicas[id] == nil })
		maps.DeleteFunc(o.replicaOf, func(_ uint64, id string) bool { return s.Replicas[id] == nil })
	}
	for _, result := range update.Results {
		id, known := o.replicaOf[result.Number]
		delete(o.replicaOf, result.Number)
		complete = complete && known
		if foreign && known {
			o.lastOrderUs[id] = nowUs
		}
	}
	issued := uint64(0)
	for _, proposed := range update.Commands {
		command, isPending := s.Pending[proposed.Replica]
		if !isPending || command.Number < o.nextNumber {
			continue
		}
		issued++
		o.replicaOf[command.Number] = command.Replica
		if foreign {
			o.lastOrderUs[command.Replica] = nowUs
		}
	}
	if complete = complete && s.NextNumber == o.nextNumber+issued; !complete {
		o.reset(s)
	}
	o.nextNumber = s.NextNumber
	return complete
}

// recordUnseen records the replicas of commands that were pending when this controller last looked and are not pending now,
// although it did not observe their results: the leaders in between may have resent them until now.
func (o *predecessorOrders) recordUnseen(nowUs int64, s *statemachine.State) {
	for number, id := range o.replicaOf {
		if s.Pending[id].Number != number {
			o.lastOrderUs[id] = max(o.lastOrderUs[id], nowUs)
			delete(o.replicaOf, number)
		}
	}
}
