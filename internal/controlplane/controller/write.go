package controller

import (
	"fmt"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// writeDue puts into one change all that the ledger should learn now, unless an earlier change is under way.
func (c *Controller) writeDue(snapshot Snapshot) {
	if !snapshot.CanWrite || (c.writing != "" && snapshot.NowUs-c.writeUs < writeTimeoutUs) {
		return
	}
	c.issuingMb = 0
	update := &statemachine.LeaderUpdate{}
	if snapshot.isRouted() {
		c.writeRouted(snapshot, update)
	} else {
		c.writeDeclared(snapshot, update)
	}
	c.writeUpdate(snapshot, update)
}

// writeDeclared gathers what is due for replicas that the platform lists.
func (c *Controller) writeDeclared(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	s := snapshot.State
	c.recordListing(snapshot, update)
	c.settleTickets(snapshot.NowUs, s, update)
	c.removeSilentGateways(snapshot, update)
	if s.Doc != nil {
		c.grantAttempts(snapshot, update)
		c.divideSlots(snapshot, update)
		if c.takeProposals(s.Revision) {
			c.issueTickets(s, update)
		}
	}
	c.expireIdempotencyKeys(snapshot, update)
}

// takeProposals says whether proposals wait that were made for this revision; older ones are dropped.
func (c *Controller) takeProposals(revision uint64) bool {
	if c.proposedAt != revision {
		c.proposed = nil
	}
	return c.proposed != nil
}

// issueTickets adds the tickets that the policy proposed and the checker took, and spends the store's rate on them.
func (c *Controller) issueTickets(s *statemachine.State, update *statemachine.LeaderUpdate) {
	tickets, verdicts := placement.Check(s, c.bucket.TokensMb, c.proposed)
	c.onVerdicts(verdicts)
	for _, v := range verdicts {
		if v.Fault != nil {
			c.moved = c.moved || (v.Fault.Code == fault.StoreRateLimited && s.PendingLoads()+len(tickets) < s.Doc.Store.Loads)
		}
	}
	for _, t := range tickets {
		if t.Action == statemachine.Load {
			c.bucket.Spend(t.SizeMB)
			c.issuingMb += t.SizeMB
		}
	}
	update.Commands = tickets
}

// onVerdicts notes what the checker said to the proposals, which are done with.
func (c *Controller) onVerdicts(verdicts []placement.Verdict) {
	c.proposed, c.Policy.Verdicts = nil, verdicts
	for _, v := range verdicts {
		if v.Fault != nil {
			c.count(v.Fault.Code)
		}
	}
}

// writeRouted gathers what is due for replicas that make themselves known.
func (c *Controller) writeRouted(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	s := snapshot.State
	c.recordRegistry(snapshot, update)
	c.settleTickets(snapshot.NowUs, s, update)
	c.forgetSilentGateways(snapshot.NowUs)
	if !c.canPlan(snapshot.NowUs) {
		c.proposed = nil
	}
	if c.takeProposals(s.Revision) {
		tickets, verdicts := placement.CheckRouted(s, c.totalStoreLoadsLeft(snapshot.NowUs, s), c.proposed)
		c.onVerdicts(verdicts)
		update.Commands = tickets
		c.reserve(snapshot.NowUs, verdicts)
	}
}

// reserve remembers what room is made for, until it has come or too long after.
func (c *Controller) reserve(nowUs int64, verdicts []placement.Verdict) {
	for _, v := range verdicts {
		if v.Fault != nil {
			continue
		}
		delete(c.routed.intents, v.Proposal.Replica)
		if v.Proposal.For != "" {
			c.routed.intents[v.Proposal.Replica] = reservation{v.Proposal.For, nowUs}
		}
	}
}

// writeUpdate writes a change, unless there is nothing in it.
func (c *Controller) writeUpdate(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	if !snapshot.isRouted() && !c.checked && c.list != nil && c.listAtUs > c.viewUs {
		update.CheckedInView = c.view
		c.checked = true
	}
	if update.IsEmpty() {
		return
	}
	c.moved = c.moved || len(update.Results)+len(update.Replicas)+len(update.RemovedReplicas) > 0
	c.writes++
	c.writing = fmt.Sprintf("duty-%s-%d-%d", c.me, c.claimed, c.writes)
	c.writeUs = snapshot.NowUs
	c.emit(WriteChange{Change: &statemachine.Change{ID: c.writing, Epoch: c.claimed, LeaderUpdate: update}})
}

// onWriteResult takes the outcome of the change under way, and goes on at once.
func (c *Controller) onWriteResult(snapshot Snapshot, out statemachine.Outcome) {
	if out.ID != c.writing {
		return
	}
	c.writing, c.issuingMb = "", 0
	for _, bad := range out.Faults {
		c.count(bad.Code)
	}
	if c.IsLeader(snapshot.State) && snapshot.IsFresh {
		if !snapshot.isRouted() {
			c.sendOrders(snapshot)
		}
		c.act(snapshot)
	}
}
