package controller

import (
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// policyIntervalUs is how often the policies run, minPolicyIntervalUs where what they read has changed.
	policyIntervalUs    = 500 * clock.Ms
	minPolicyIntervalUs = 60 * clock.Ms
	// policyTimeoutUs is how long the answer of a run is waited for.
	policyTimeoutUs = 5 * clock.Sec
)

// policyRuns are the runs of the placement policies and what came of them.
type policyRuns struct {
	// startedUs is when the last run began, runningSinceUs the same while its answer is awaited, else 0.
	startedUs, runningSinceUs int64
	// runNumber counts the runs.
	runNumber uint64
	// inputChanged: what the policies read has changed since the last run.
	inputChanged bool
	// proposals wait for the next change; nil where none do. They were made for this revision of the declaration.
	proposals []placement.Proposal
	revision  uint64
	// counts are how many replicas of each model the scaler wanted at the last run.
	counts []scaler.Count
	// live and shadows are what is shown of the policies.
	live    PolicyStatus
	shadows []PolicyStatus
}

// isDue says whether a run is due: no proposals wait, and the interval has passed, or the shorter one where the input has changed.
func (p *policyRuns) isDue(nowUs, intervalUs, changedIntervalUs int64) bool {
	if p.inputChanged {
		intervalUs = changedIntervalUs
	}
	return p.proposals == nil && nowUs-p.startedUs >= intervalUs
}

// isRunning says whether the answer of a run is awaited.
func (p *policyRuns) isRunning(nowUs int64) bool {
	return p.runningSinceUs != 0 && nowUs-p.runningSinceUs < policyTimeoutUs
}

// begin counts a run.
func (p *policyRuns) begin(nowUs int64) {
	p.startedUs, p.inputChanged = nowUs, false
	p.runNumber++
}

// hasCurrentProposals says whether proposals wait that were made for this revision; older ones are dropped.
func (p *policyRuns) hasCurrentProposals(revision uint64) bool {
	if p.revision != revision {
		p.proposals = nil
	}
	return p.proposals != nil
}

// startPolicy lets the placement policies run, more often where something has changed.
func (c *Controller) startPolicy(snapshot Snapshot) {
	s := snapshot.State
	if s.Doc == nil || c.declared.listing.list == nil || !c.policies.isDue(snapshot.NowUs, policyIntervalUs, minPolicyIntervalUs) || c.policies.isRunning(snapshot.NowUs) {
		return
	}
	c.policies.begin(snapshot.NowUs)
	c.policies.runningSinceUs = snapshot.NowUs
	fleet := c.policyInput(snapshot.NowUs, s)
	c.policies.counts = fleet.Counts
	c.emit(PolicyRun{Number: c.policies.runNumber, Revision: s.Revision, Live: s.Doc.Policy, Shadows: s.Doc.Shadows, Fleet: fleet})
}

// policyInput is what the placement policies read.
func (c *Controller) policyInput(nowUs int64, s *statemachine.State) placement.Fleet {
	rates, waiting := c.gateways.demand(nowUs)
	usable := []scaler.Replica{}
	fleet := placement.Fleet{Doc: s.Doc, Rates: rates, Waiting: waiting}
	for _, id := range s.ReplicaIDs() {
		replica := c.policyReplica(s, s.Replicas[id])
		if replica.Usable {
			usable = append(usable, scaler.Replica{ID: id, CapacityMb: replica.CapacityMb})
		}
		fleet.Replicas = append(fleet.Replicas, replica)
	}
	fleet.Counts = scaler.Decide(scaler.Input{Doc: s.Doc, Rates: rates, Waiting: waiting, Usable: usable})
	return fleet
}

// policyReplica is one replica as the placement policies read it.
func (c *Controller) policyReplica(s *statemachine.State, r *statemachine.Replica) placement.Replica {
	replica := placement.Replica{
		ID: r.ID, Zone: r.Zone, CapacityMb: r.CapacityMB, FreeMb: r.CapacityMB - s.ReservedMB(r.ID), Slots: r.Slots,
		Units: sortedKeys(r.Resident), Usable: r.AcceptsLoads(s.Doc),
	}
	if command, pending := s.Pending[r.ID]; pending {
		replica.Busy = true
		if command.Action == statemachine.Load {
			replica.Loading = command.Unit
		}
	}
	for _, gateway := range c.gateways.byID {
		replica.InFlight += gateway.report.InFlight[r.ID]
	}
	return replica
}

// onPolicyResult takes what a run of the policies proposed.
func (c *Controller) onPolicyResult(snapshot Snapshot, p PolicyResult) {
	if p.Number != c.policies.runNumber {
		return
	}
	c.policies.runningSinceUs = 0
	if !c.IsLeader(snapshot.State) || snapshot.State.Doc == nil {
		return
	}
	c.policies.live = withRun(c.policies.live, p.Live)
	if p.Live.Fault != nil {
		c.countFault(p.Live.Fault.Code)
	} else if len(p.Live.Proposals) > 0 && p.Revision == snapshot.State.Revision {
		c.policies.proposals, c.policies.revision = p.Live.Proposals, p.Revision
	}
	shadows := []PolicyStatus{}
	for i, result := range p.Shadows {
		shadows = append(shadows, c.shadowStatus(snapshot.State, i, p.Live, result))
	}
	c.policies.shadows = shadows
}

// shadowStatus adds a run of a shadow policy to what is shown of it, and how it differed from the live one.
func (c *Controller) shadowStatus(s *statemachine.State, i int, live, shadow placement.RunResult) PolicyStatus {
	status := PolicyStatus{}
	if i < len(c.policies.shadows) && c.policies.shadows[i].Name == shadow.Policy {
		status = c.policies.shadows[i]
	}
	status = withRun(status, shadow)
	if shadow.Fault == nil {
		_, status.Verdicts = placement.Check(s, c.declared.budget.bucket.TokensMb, shadow.Proposals)
	}
	status.Difference = status.Difference.add(live.Proposals, shadow.Proposals)
	return status
}

// onVerdicts notes what the checker said to the proposals, which are done with.
func (c *Controller) onVerdicts(verdicts []placement.Verdict) {
	c.policies.proposals, c.policies.live.Verdicts = nil, verdicts
	for _, v := range verdicts {
		if v.Fault != nil {
			c.countFault(v.Fault.Code)
		}
	}
}
