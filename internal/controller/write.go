package controller

import (
	"fmt"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/placement"
)

func (f *Controller) write(seen Seen) {
	if !seen.Writes || (f.writing != "" && seen.NowUs-f.writeUs < writeLostUs) {
		return
	}
	s := seen.State
	f.issuingMb = 0
	duty := &ledger.Duty{}
	if seen.isRouted() {
		f.noteRoster(seen, duty)
	} else {
		f.noteFleet(seen, duty)
	}
	f.settle(seen.NowUs, s, duty)
	if seen.isRouted() {
		f.forgetDesks(seen.NowUs)
		f.writeRouted(seen, duty)
		return
	}
	f.dropDesks(seen, duty)
	if s.Doc != nil {
		f.grant(seen, duty)
		f.share(seen, duty)
		if f.proposedAt != s.Revision {
			f.proposed = nil
		}
		if f.proposed != nil {
			tickets, verdicts := placement.Check(s, f.bucket.TokensMb, f.proposed)
			f.proposed, f.Policy.Verdicts = nil, verdicts
			for _, v := range verdicts {
				if v.Fault != nil {
					f.count(v.Fault.Code)
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
	}
	f.markKeys(seen, duty)
	f.writeDuty(seen, duty)
}

// writeRouted adds the tickets that the policy proposed and the checker took.
func (f *Controller) writeRouted(seen Seen, duty *ledger.Duty) {
	s := seen.State
	if f.proposedAt != s.Revision || !f.mayPlan(seen.NowUs) {
		f.proposed = nil
	}
	if f.proposed != nil {
		tickets, verdicts := placement.CheckRouted(s, f.leftFor(seen.NowUs, s), f.proposed)
		f.proposed, f.Policy.Verdicts = nil, verdicts
		for _, v := range verdicts {
			if v.Fault != nil {
				f.count(v.Fault.Code)
			}
		}
		duty.Tickets = tickets
		f.intend(seen.NowUs, verdicts)
	}
	f.writeDuty(seen, duty)
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
