package controller

import (
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/placement"
	"petreltide/internal/scaler"
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

func (f *Controller) startPolicy(seen Seen) {
	s := seen.State
	spanUs := policyEveryUs
	if f.moved {
		spanUs = policyLeastUs
	}
	if s.Doc == nil || f.list == nil || f.proposed != nil || seen.NowUs-f.policyUs < spanUs {
		return
	}
	if f.runUs != 0 && seen.NowUs-f.runUs < policyLostUs {
		return
	}
	f.policyUs, f.runUs, f.moved = seen.NowUs, seen.NowUs, false
	f.run++
	rates, waiting := f.demand(seen.NowUs)
	usable := []scaler.Room{}
	fleet := placement.Fleet{Doc: s.Doc, Rates: rates, Waiting: waiting}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		row := placement.Replica{
			ID: id, Zone: r.Zone, RoomMb: r.RoomMb, FreeMb: r.RoomMb - s.TakenMb(id), Slots: r.Slots,
			Holds: sorted(r.Holds), Usable: r.Usable(s.Doc),
		}
		if t, pending := s.Pending[id]; pending {
			row.Busy = true
			if t.Step == ledger.Load {
				row.Loading = t.Unit
			}
		}
		for _, d := range f.desks {
			row.InFlight += d.report.InFlight[id]
		}
		if row.Usable {
			usable = append(usable, scaler.Room{ID: id, RoomMb: r.RoomMb})
		}
		fleet.Replicas = append(fleet.Replicas, row)
	}
	f.counted = scaler.Decide(scaler.Input{Doc: s.Doc, Rates: rates, Waiting: waiting, Usable: usable})
	fleet.Counts = f.counted
	f.do(Effect{Run: &Run{Number: f.run, Revision: s.Revision, Live: s.Doc.Policy, Shadows: s.Doc.Shadows, Fleet: fleet}})
}

func (f *Controller) ran(seen Seen, p PolicyDone) {
	if p.Run != f.run {
		return
	}
	f.runUs = 0
	if !f.OnDuty(seen.State) || seen.State.Doc == nil {
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
		note := PolicyNote{}
		if i < len(f.Shadows) && f.Shadows[i].Name == a.Policy {
			note = f.Shadows[i]
		}
		note = noted(note, a)
		if a.Fault == nil {
			_, note.Verdicts = placement.Check(seen.State, f.bucket.TokensMb, a.Proposals)
		}
		note.Parted = note.Parted.add(p.Live.Proposals, a.Proposals)
		shadows = append(shadows, note)
	}
	f.Shadows = shadows
}

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
