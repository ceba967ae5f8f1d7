package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// mode defines how replicas become known and how orders to them are tracked. It has one implementation for declared
// mode and one for routed mode, selected by the declaration in force; the package documentation describes both.
type mode interface {
	// beginLeadership records the orders that an earlier leader may still have in flight, before the first event is
	// processed as leader.
	beginLeadership(snapshot Snapshot)
	// tick does the work that is due by time. It is called on the leader while the head's lease is valid.
	tick(snapshot Snapshot)
	// onGatewayReport processes the parts of a gateway's report that do not concern membership.
	onGatewayReport(snapshot Snapshot, report *wire.Report)
	// onReplicaReport processes a requested report from a replica.
	onReplicaReport(snapshot Snapshot, report ReplicaReport)
	// onOrderResult processes a replica's response to an order.
	onOrderResult(snapshot Snapshot, result OrderResult)
	// plan produces new proposals and command outcomes before the next change is written.
	plan(snapshot Snapshot)
	// collect adds everything that the replicated state should record now to the update.
	collect(snapshot Snapshot, update *statemachine.LeaderUpdate)
	// afterWrite is called once the previous change has been applied. It sends what depended on that change.
	afterWrite(snapshot Snapshot)
}

// mode returns the implementation for the declaration in force.
func (c *Controller) mode(snapshot Snapshot) mode {
	if snapshot.isRouted() {
		return routedMode{c}
	}
	return declaredMode{c}
}
