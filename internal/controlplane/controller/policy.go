package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
)

// PolicyNote is what is shown of a placement policy: how often it ran, failed, and differed from the live one.
type PolicyNote struct {
	Name     string              `json:"name"`
	Runs     uint64              `json:"runs"`
	Steps    uint64              `json:"steps"`
	Fault    *fault.Fault        `json:"fault,omitempty"`
	Faulted  uint64              `json:"faulted"`
	Verdicts []placement.Verdict `json:"verdicts,omitempty"`
	Parted   *Parted             `json:"parted,omitempty"`
}

// startPolicy lets the placement policies run, more often where something has changed.
func (f *Controller) startPolicy(seen Seen) {
	s := seen.State
	if !f.policyDue(seen.NowUs, s) {
		return
	}
	f.policyUs, f.runUs, f.moved = seen.NowUs, seen.NowUs, false
	f.run++
	fleet := f.fleet(seen.NowUs, s)
	f.counted = fleet.Counts
	f.do(Effect{Run: &Run{Number: f.run, Revision: s.Revision, Live: s.Doc.Policy, Shadows: s.Doc.Shadows, Fleet: fleet}})
}

// policyDue: the policies may run, none of their proposals waits, and no run is under way.
func (f *Controller) policyDue(nowUs int64, s *statemachine.State) bool {
	spanUs := policyEveryUs
	if f.moved {
		spanUs = policyLeastUs
	}
	if s.Doc == nil || f.list == nil || f.proposed != nil || nowUs-f.policyUs < spanUs {
		return false
	}
	return f.runUs == 0 || nowUs-f.runUs >= policyLostUs
}

// fleet is what the placement policies read.
func (f *Controller) fleet(nowUs int64, s *statemachine.State) placement.Fleet {
	rates, waiting := f.demand(nowUs)
	usable := []scaler.Room{}
	fleet := placement.Fleet{Doc: s.Doc, Rates: rates, Waiting: waiting}
	for _, id := range s.ReplicaIDs() {
		row := f.replica(s, s.Replicas[id])
		if row.Usable {
			usable = append(usable, scaler.Room{ID: id, RoomMb: row.RoomMb})
		}
		fleet.Replicas = append(fleet.Replicas, row)
	}
	fleet.Counts = scaler.Decide(scaler.Input{Doc: s.Doc, Rates: rates, Waiting: waiting, Usable: usable})
	return fleet
}

// replica is one replica as the placement policies read it.
func (f *Controller) replica(s *statemachine.State, r *statemachine.Replica) placement.Replica {
	row := placement.Replica{
		ID: r.ID, Zone: r.Zone, RoomMb: r.CapacityMb, FreeMb: r.CapacityMb - s.ReservedMb(r.ID), Slots: r.Slots,
		Holds: sorted(r.Resident), Usable: r.AcceptsLoads(s.Doc),
	}
	if t, pending := s.Pending[r.ID]; pending {
		row.Busy = true
		if t.Action == statemachine.Load {
			row.Loading = t.Unit
		}
	}
	for _, d := range f.gateways {
		row.InFlight += d.report.InFlight[r.ID]
	}
	return row
}

// ran takes what a run of the policies proposed.
func (f *Controller) ran(seen Seen, p PolicyDone) {
	if p.Run != f.run {
		return
	}
	f.runUs = 0
	if !f.IsLeader(seen.State) || seen.State.Doc == nil {
		return
	}
	f.Policy = noted(f.Policy, p.Live)
	if p.Live.Fault != nil {
		f.count(p.Live.Fault.Code)
	} else if len(p.Live.Proposals) > 0 && p.Revision == seen.State.Revision {
		f.proposed, f.proposedAt = p.Live.Proposals, p.Revision
	}
	shadows := []PolicyNote{}
	for i, a := range p.Shadows {
		shadows = append(shadows, f.notedShadow(seen.State, i, p.Live, a))
	}
	f.Shadows = shadows
}

// notedShadow adds a run of a shadow policy to what is shown of it, and how it differed from the live one.
func (f *Controller) notedShadow(s *statemachine.State, i int, live, shadow placement.Answer) PolicyNote {
	note := PolicyNote{}
	if i < len(f.Shadows) && f.Shadows[i].Name == shadow.Policy {
		note = f.Shadows[i]
	}
	note = noted(note, shadow)
	if shadow.Fault == nil {
		_, note.Verdicts = placement.Check(s, f.bucket.TokensMb, shadow.Proposals)
	}
	note.Parted = note.Parted.add(live.Proposals, shadow.Proposals)
	return note
}

// noted adds a run to what is shown of a policy.
func noted(note PolicyNote, a placement.Answer) PolicyNote {
	if note.Name != a.Policy {
		note = PolicyNote{Name: a.Policy}
	}
	note.Runs++
	note.Steps = a.Steps
	note.Fault = a.Fault
	if a.Fault != nil {
		note.Faulted++
	}
	return note
}
