package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
)

// PolicyStatus is what is shown of a placement policy: how often it ran, failed, and differed from the live one.
type PolicyStatus struct {
	Name       string              `json:"name"`
	Runs       uint64              `json:"runs"`
	Steps      uint64              `json:"steps"`
	Fault      *fault.Fault        `json:"fault,omitempty"`
	Faulted    uint64              `json:"faulted"`
	Verdicts   []placement.Verdict `json:"verdicts,omitempty"`
	Difference *ShadowDifference   `json:"parted,omitempty"`
}

// startPolicy lets the placement policies run, more often where something has changed.
func (c *Controller) startPolicy(snapshot Snapshot) {
	s := snapshot.State
	if !c.isPolicyDue(snapshot.NowUs, s) {
		return
	}
	c.policyUs, c.runUs, c.moved = snapshot.NowUs, snapshot.NowUs, false
	c.run++
	fleet := c.policyInput(snapshot.NowUs, s)
	c.counted = fleet.Counts
	c.emit(PolicyRun{Number: c.run, Revision: s.Revision, Live: s.Doc.Policy, Shadows: s.Doc.Shadows, Fleet: fleet})
}

// isPolicyDue: the policies may run, none of their proposals waits, and no run is under way.
func (c *Controller) isPolicyDue(nowUs int64, s *statemachine.State) bool {
	spanUs := policyIntervalUs
	if c.moved {
		spanUs = minPolicyIntervalUs
	}
	if s.Doc == nil || c.list == nil || c.proposed != nil || nowUs-c.policyUs < spanUs {
		return false
	}
	return c.runUs == 0 || nowUs-c.runUs >= policyTimeoutUs
}

// policyInput is what the placement policies read.
func (c *Controller) policyInput(nowUs int64, s *statemachine.State) placement.Fleet {
	rates, waiting := c.demand(nowUs)
	usable := []scaler.Replica{}
	fleet := placement.Fleet{Doc: s.Doc, Rates: rates, Waiting: waiting}
	for _, id := range s.ReplicaIDs() {
		row := c.policyReplica(s, s.Replicas[id])
		if row.Usable {
			usable = append(usable, scaler.Replica{ID: id, CapacityMb: row.CapacityMb})
		}
		fleet.Replicas = append(fleet.Replicas, row)
	}
	fleet.Counts = scaler.Decide(scaler.Input{Doc: s.Doc, Rates: rates, Waiting: waiting, Usable: usable})
	return fleet
}

// policyReplica is one replica as the placement policies read it.
func (c *Controller) policyReplica(s *statemachine.State, r *statemachine.Replica) placement.Replica {
	row := placement.Replica{
		ID: r.ID, Zone: r.Zone, CapacityMb: r.CapacityMB, FreeMb: r.CapacityMB - s.ReservedMB(r.ID), Slots: r.Slots,
		Units: sortedKeys(r.Resident), Usable: r.AcceptsLoads(s.Doc),
	}
	if t, pending := s.Pending[r.ID]; pending {
		row.Busy = true
		if t.Action == statemachine.Load {
			row.Loading = t.Unit
		}
	}
	for _, d := range c.gateways {
		row.InFlight += d.report.InFlight[r.ID]
	}
	return row
}

// onPolicyResult takes what a run of the policies proposed.
func (c *Controller) onPolicyResult(snapshot Snapshot, p PolicyResult) {
	if p.Number != c.run {
		return
	}
	c.runUs = 0
	if !c.IsLeader(snapshot.State) || snapshot.State.Doc == nil {
		return
	}
	c.Policy = withRun(c.Policy, p.Live)
	if p.Live.Fault != nil {
		c.count(p.Live.Fault.Code)
	} else if len(p.Live.Proposals) > 0 && p.Revision == snapshot.State.Revision {
		c.proposed, c.proposedAt = p.Live.Proposals, p.Revision
	}
	shadows := []PolicyStatus{}
	for i, a := range p.Shadows {
		shadows = append(shadows, c.shadowStatus(snapshot.State, i, p.Live, a))
	}
	c.Shadows = shadows
}

// shadowStatus adds a run of a shadow policy to what is shown of it, and how it differed from the live one.
func (c *Controller) shadowStatus(s *statemachine.State, i int, live, shadow placement.RunResult) PolicyStatus {
	note := PolicyStatus{}
	if i < len(c.Shadows) && c.Shadows[i].Name == shadow.Policy {
		note = c.Shadows[i]
	}
	note = withRun(note, shadow)
	if shadow.Fault == nil {
		_, note.Verdicts = placement.Check(s, c.bucket.TokensMb, shadow.Proposals)
	}
	note.Difference = note.Difference.add(live.Proposals, shadow.Proposals)
	return note
}

// withRun adds a run to what is shown of a policy.
func withRun(note PolicyStatus, a placement.RunResult) PolicyStatus {
	if note.Name != a.Policy {
		note = PolicyStatus{Name: a.Policy}
	}
	note.Runs++
	note.Steps = a.Steps
	note.Fault = a.Fault
	if a.Fault != nil {
		note.Faulted++
	}
	return note
}
