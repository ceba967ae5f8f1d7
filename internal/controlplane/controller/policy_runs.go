package controller

import (
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// policyIntervalUs is the interval between policy runs, minPolicyIntervalUs the interval if the policies' input has
	// changed.
	policyIntervalUs    = 500 * clock.Ms
	minPolicyIntervalUs = 60 * clock.Ms
	// policyTimeoutUs is how long to wait for the result of a run.
	policyTimeoutUs = 5 * clock.Sec
)

// policyRuns tracks the runs of the placement policies and their results.
type policyRuns struct {
	// startedUs is the start of the latest run. runningSinceUs is the same while the result is outstanding, otherwise 0.
	startedUs, runningSinceUs int64
	// runNumber is the number of runs.
	runNumber uint64
	// inputChanged is true if the policies' input has changed since the latest run.
	inputChanged bool
	// proposals are to be issued with the next change; nil if there are none. revision is the revision of the declaration
	// for which they were made.
	proposals []placement.Proposal
	revision  uint64
	// counts are the numbers of replicas that the scaler wanted for each model at the latest run.
	counts []scaler.Count
	// live and shadows are the statuses of the policies.
	live    PolicyStatus
	shadows []PolicyStatus
}

// isDue reports whether a run is due: no proposals are waiting, and the interval has passed, which is changedIntervalUs if
// the input has changed.
func (p *policyRuns) isDue(nowUs, intervalUs, changedIntervalUs int64) bool {
	if p.inputChanged {
		intervalUs = changedIntervalUs
	}
	return p.proposals == nil && nowUs-p.startedUs >= intervalUs
}

// isRunning reports whether the result of a run is outstanding.
func (p *policyRuns) isRunning(nowUs int64) bool {
	return p.runningSinceUs != 0 && nowUs-p.runningSinceUs < policyTimeoutUs
}

// begin records the start of a run.
func (p *policyRuns) begin(nowUs int64) {
	p.startedUs, p.inputChanged = nowUs, false
	p.runNumber++
}

// hasCurrentProposals reports whether there are proposals for this revision of the declaration. It discards proposals for
// any other revision.
func (p *policyRuns) hasCurrentProposals(revision uint64) bool {
	if p.revision != revision {
		p.proposals = nil
	}
	return p.proposals != nil
}

// startPolicy starts a run of the placement policies when one is due; runs are more frequent after a change of the input.
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

// policyInput returns the input of the placement policies.
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

// policyReplica returns one replica as input of the placement policies.
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

// onPolicyResult processes the result of a policy run.
func (c *Controller) onPolicyResult(snapshot Snapshot, result PolicyResult) {
	if result.Number != c.policies.runNumber {
		return
	}
	c.policies.runningSinceUs = 0
	if !c.IsLeader(snapshot.State) || snapshot.State.Doc == nil {
		return
	}
	c.policies.live = withRun(c.policies.live, result.Live)
	if result.Live.Fault != nil {
		c.countFault(result.Live.Fault.Code)
	} else if len(result.Live.Proposals) > 0 && result.Revision == snapshot.State.Revision {
		c.policies.proposals, c.policies.revision = result.Live.Proposals, result.Revision
	}
	shadows := []PolicyStatus{}
	for i, shadow := range result.Shadows {
		shadows = append(shadows, c.shadowStatus(snapshot.State, i, result.Live, shadow))
	}
	c.policies.shadows = shadows
}

// shadowStatus adds a run of shadow policy i to its status, including the difference from the live policy.
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

// onVerdicts records the checker's verdicts on the proposals and removes the proposals.
func (c *Controller) onVerdicts(verdicts []placement.Verdict) {
	c.policies.proposals, c.policies.live.Verdicts = nil, verdicts
	for _, v := range verdicts {
		if v.Fault != nil {
			c.countFault(v.Fault.Code)
		}
	}
}
