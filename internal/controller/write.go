package controller

import (
	"fmt"

	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/placement"
)

// write puts into one change all that the ledger should learn now, unless an earlier change is under way.
func (f *Controller) write(seen Seen) {
	if !seen.Writes || (f.writing != "" && seen.NowUs-f.writeUs < writeLostUs) {
		return
	}
	f.issuingMb = 0
	duty := &ledger.Duty{}
	if seen.isRouted() {
		f.writeRouted(seen, duty)
	} else {
		f.writeDeclared(seen, duty)
	}
	f.writeDuty(seen, duty)
}

// writeDeclared gathers what is due for replicas that the platform lists.
func (f *Controller) writeDeclared(seen Seen, duty *ledger.Duty) {
	s := seen.State
	f.noteFleet(seen, duty)
	f.settle(seen.NowUs, s, duty)
	f.dropGateways(seen, duty)
	if s.Doc != nil {
		f.grant(seen, duty)
		f.share(seen, duty)
		if f.takeProposals(s.Revision) {
			f.issue(s, duty)
		}
	}
	f.markKeys(seen, duty)
}

// takeProposals says whether proposals wait that were made for this revision; older ones are dropped.
func (f *Controller) takeProposals(revision uint64) bool {
	if f.proposedAt != revision {
		f.proposed = nil
	}
	return f.proposed != nil
}

// issue adds the tickets that the policy proposed and the checker took, and spends the store's rate on them.
func (f *Controller) issue(s *ledger.State, duty *ledger.Duty) {
	tickets, verdicts := placement.Check(s, f.bucket.TokensMb, f.proposed)
	f.judged(verdicts)
	for _, v := range verdicts {
		if v.Fault != nil {
			f.moved = f.moved || (v.Fault.Code == fault.StoreRate && s.PendingLoads()+len(tickets) < s.Doc.Store.Loads)
		}
	}
	for _, t := range tickets {
		if t.Step == ledger.Load {
			f.bucket.Spend(t.SizeMb)
			f.issuingMb += t.SizeMb
		}
	}
	duty.Tickets = tickets
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
func (f *Controller) writeRouted(seen Seen, duty *ledger.Duty) {
	s := seen.State
	f.noteRoster(seen, duty)
	f.settle(seen.NowUs, s, duty)
	f.forgetGateways(seen.NowUs)
	if !f.mayPlan(seen.NowUs) {
		f.proposed = nil
	}
	if f.takeProposals(s.Revision) {
		tickets, verdicts := placement.CheckRouted(s, f.leftFor(seen.NowUs, s), f.proposed)
		f.judged(verdicts)
		duty.Tickets = tickets
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

// writeDuty writes a change, unless there is nothing in it.
func (f *Controller) writeDuty(seen Seen, duty *ledger.Duty) {
	if !seen.isRouted() && !f.checked && f.list != nil && f.listAtUs > f.viewUs {
		duty.Checked = f.view
		f.checked = true
	}
	if duty.Blank() {
		return
	}
	f.moved = f.moved || len(duty.Settled)+len(duty.Fleet)+len(duty.Gone) > 0
	f.writes++
	f.writing = fmt.Sprintf("duty-%s-%d-%d", f.me, f.claimed, f.writes)
	f.writeUs = seen.NowUs
	f.do(Effect{Write: &ledger.Change{ID: f.writing, Epoch: f.claimed, Duty: duty}})
}

// wrote takes the outcome of the change under way, and goes on at once.
func (f *Controller) wrote(seen Seen, out ledger.Outcome) {
	if out.ID != f.writing {
		return
	}
	f.writing, f.issuingMb = "", 0
	for _, bad := range out.Faults {
		f.count(bad.Code)
	}
	if f.OnDuty(seen.State) && seen.Fresh {
		if !seen.isRouted() {
			f.orders(seen)
		}
		f.act(seen)
	}
}
