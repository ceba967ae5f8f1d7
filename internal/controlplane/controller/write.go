package controller

import (
	"fmt"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// write puts into one change all that the ledger should learn now, unless an earlier change is under way.
func (f *Controller) write(seen Seen) {
	if !seen.Writes || (f.writing != "" && seen.NowUs-f.writeUs < writeLostUs) {
		return
	}
	f.issuingMb = 0
	update := &statemachine.LeaderUpdate{}
	if seen.isRouted() {
		f.writeRouted(seen, update)
	} else {
		f.writeDeclared(seen, update)
	}
	f.writeUpdate(seen, update)
}

// writeDeclared gathers what is due for replicas that the platform lists.
func (f *Controller) writeDeclared(seen Seen, update *statemachine.LeaderUpdate) {
	s := seen.State
	f.noteFleet(seen, update)
	f.settle(seen.NowUs, s, update)
	f.dropGateways(seen, update)
	if s.Doc != nil {
		f.grant(seen, update)
		f.share(seen, update)
		if f.takeProposals(s.Revision) {
			f.issue(s, update)
		}
	}
	f.markKeys(seen, update)
}

// takeProposals says whether proposals wait that were made for this revision; older ones are dropped.
func (f *Controller) takeProposals(revision uint64) bool {
	if f.proposedAt != revision {
		f.proposed = nil
	}
	return f.proposed != nil
}

// issue adds the tickets that the policy proposed and the checker took, and spends the store's rate on them.
func (f *Controller) issue(s *statemachine.State, update *statemachine.LeaderUpdate) {
	tickets, verdicts := placement.Check(s, f.bucket.TokensMb, f.proposed)
	f.judged(verdicts)
	for _, v := range verdicts {
		if v.Fault != nil {
			f.moved = f.moved || (v.Fault.Code == fault.StoreRateLimited && s.PendingLoads()+len(tickets) < s.Doc.Store.Loads)
		}
	}
	for _, t := range tickets {
		if t.Action == statemachine.Load {
			f.bucket.Spend(t.SizeMb)
			f.issuingMb += t.SizeMb
		}
	}
	update.Commands = tickets
}

// judged notes what the checker said to the proposals, which are done with.
func (f *Controller) judged(verdicts []placement.Verdict) {
	f.proposed, f.Policy.Verdicts = nil, verdicts
	for _, v := range verdicts {
		if v.Fault != nil {
			f.count(v.Fault.Code)
		}
	}
}

// writeRouted gathers what is due for replicas that make themselves known.
func (f *Controller) writeRouted(seen Seen, update *statemachine.LeaderUpdate) {
	s := seen.State
	f.noteRoster(seen, update)
	f.settle(seen.NowUs, s, update)
	f.forgetGateways(seen.NowUs)
	if !f.mayPlan(seen.NowUs) {
		f.proposed = nil
	}
	if f.takeProposals(s.Revision) {
		tickets, verdicts := placement.CheckRouted(s, f.leftFor(seen.NowUs, s), f.proposed)
		f.judged(verdicts)
		update.Commands = tickets
		f.intend(seen.NowUs, verdicts)
	}
}

// intend remembers what room is made for, until it has come or too long after.
func (f *Controller) intend(nowUs int64, verdicts []placement.Verdict) {
	for _, v := range verdicts {
		if v.Fault != nil {
			continue
		}
		delete(f.routed.intents, v.Proposal.Replica)
		if v.Proposal.For != "" {
			f.routed.intents[v.Proposal.Replica] = intent{v.Proposal.For, nowUs}
		}
	}
}

// writeUpdate writes a change, unless there is nothing in it.
func (f *Controller) writeUpdate(seen Seen, update *statemachine.LeaderUpdate) {
	if !seen.isRouted() && !f.checked && f.list != nil && f.listAtUs > f.viewUs {
		update.CheckedInView = f.view
		f.checked = true
	}
	if update.IsEmpty() {
		return
	}
	f.moved = f.moved || len(update.Results)+len(update.Replicas)+len(update.RemovedReplicas) > 0
	f.writes++
	f.writing = fmt.Sprintf("duty-%s-%d-%d", f.me, f.claimed, f.writes)
	f.writeUs = seen.NowUs
	f.do(Effect{Write: &statemachine.Change{ID: f.writing, Epoch: f.claimed, LeaderUpdate: update}})
}

// wrote takes the outcome of the change under way, and goes on at once.
func (f *Controller) wrote(seen Seen, out statemachine.Outcome) {
	if out.ID != f.writing {
		return
	}
	f.writing, f.issuingMb = "", 0
	for _, bad := range out.Faults {
		f.count(bad.Code)
	}
	if f.IsLeader(seen.State) && seen.Fresh {
		if !seen.isRouted() {
			f.orders(seen)
		}
		f.act(seen)
	}
}
