package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// declaredState is the controller's state for declared mode, in which the replicas are those on the polled list.
type declaredState struct {
	listing platformListing
	orders  declaredOrders
	budget  loadBudget
	shares  slotShares
	keys    logExpiry
}

// declaredMode implements mode for deployments whose replicas are on a list that the controller polls; the package
// documentation describes the two modes.
type declaredMode struct{ c *Controller }

// beginLeadership does nothing: replicas in declared mode check the epoch of each order themselves.
func (m declaredMode) beginLeadership(Snapshot) {}

func (m declaredMode) tick(snapshot Snapshot) {
	c := m.c
	c.declared.budget.refill(snapshot.NowUs, snapshot.State, &c.replicas)
	if c.declared.listing.pollDue(snapshot.NowUs, snapshot.ViewNumber) {
		c.emit(PollPlatform{})
	}
	for _, request := range c.replicas.requestsDue(snapshot.NowUs, snapshot.State, c.declared.listing.list) {
		c.emit(request)
	}
	c.sendOrders(snapshot)
	c.startPolicy(snapshot)
	c.writeUpdate(snapshot)
}

func (m declaredMode) onGatewayReport(Snapshot, *wire.Report) {}

func (m declaredMode) onReplicaReport(snapshot Snapshot, report ReplicaReport) {
	if !m.c.replicas.onReport(snapshot.NowUs, report) {
		m.c.countFault(fault.ReplicaFailed)
	}
	if m.c.replicas.hasOutcome(snapshot.State, report.Replica) {
		m.c.planAndWrite(snapshot)
	}
}

// onOrderResult accepts only a replica's explicit confirmation that it has the order. If the result is in doubt, the
// replica's next report resolves it.
func (m declaredMode) onOrderResult(_ Snapshot, result OrderResult) {
	switch result.State.State {
	case wire.OrderInDoubt, wire.OrderBusy:
	case wire.OrderFailed:
		m.c.countFault(fault.CommandRejected)
	default:
		m.c.replicas.onOrderResult(result)
	}
}

func (m declaredMode) plan(snapshot Snapshot) {
	m.c.declared.budget.refill(snapshot.NowUs, snapshot.State, &m.c.replicas)
	m.c.startPolicy(snapshot)
}

func (m declaredMode) collect(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	c, s := m.c, snapshot.State
	c.recordListing(snapshot, update)
	c.settleCommands(snapshot.NowUs, s, update)
	update.RemovedGateways = append(update.RemovedGateways, c.gateways.removeSilent(snapshot.NowUs)...)
	if s.Doc != nil {
		c.grantAttempts(snapshot, update)
		c.divideSlots(snapshot, update)
		if c.policies.hasCurrentProposals(s.Revision) {
			m.issueCommands(s, update)
		}
	}
	update.ForgetKeysBefore = c.declared.keys.expireBefore(snapshot.NowUs, s.Index)
	if c.declared.listing.confirmView() {
		update.CheckedInView = c.declared.listing.view
	}
}

// issueCommands adds the proposed commands that passed the checker to the update and charges their loads to the load budget.
func (m declaredMode) issueCommands(s *statemachine.State, update *statemachine.LeaderUpdate) {
	c := m.c
	commands, verdicts := placement.Check(s, c.declared.budget.bucket.TokensMb, c.policies.proposals)
	c.onVerdicts(verdicts)
	for _, v := range verdicts {
		if v.Fault != nil && v.Fault.Code == fault.StoreRateLimited && s.PendingLoads()+len(commands) < s.Doc.Store.Loads {
			c.policies.inputChanged = true
		}
	}
	c.declared.budget.spend(commands)
	update.Commands = commands
}

func (m declaredMode) afterWrite(snapshot Snapshot) { m.c.sendOrders(snapshot) }
