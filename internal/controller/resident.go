package controller

import (
	"strings"

	"petreltide/internal/ledger"
	"petreltide/internal/placement"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

// startResident asks the policy for each service with an engine, at once where calls wait for a model that
// nobody has.
func (f *Controller) startResident(seen Seen) {
	s := seen.State
	spanUs := routedPolicyUs
	if f.moved {
		spanUs = routedUrgentUs
	}
	if f.proposed != nil || seen.NowUs-f.policyUs < spanUs || !f.mayPlan(seen.NowUs) {
		return
	}
	services := f.services(seen)
	if len(services) == 0 {
		return
	}
	f.policyUs, f.moved = seen.NowUs, false
	f.run++
	answer := placement.Answer{Policy: placement.ResidentName}
	clear(f.routed.unplaced)
	for _, in := range services {
		proposals, unplaced := placement.Resident(in)
		answer.Proposals = append(answer.Proposals, proposals...)
		for _, unit := range unplaced {
			f.routed.unplaced[unit] = true
		}
	}
	f.Policy = noted(f.Policy, answer)
	if len(answer.Proposals) > 0 {
		f.proposed, f.proposedAt = answer.Proposals, s.Revision
	}
}

// unplaced: calls wait at a desk for a model or an adapter that no replica holds, that is on its way to
// none, and of which the policy does not know already that it has no place now.
func (f *Controller) unplaced(seen Seen, r *wire.Report) bool {
	for unit, n := range r.Waiting {
		if n > 0 && !f.routed.unplaced[unit] && !f.placed(seen.State, unit) {
			return true
		}
	}
	return false
}

func (f *Controller) placed(s *ledger.State, unit string) bool {
	for _, t := range s.Pending {
		if t.Unit == unit && t.Step == ledger.Load {
			return true
		}
	}
	for id, r := range s.Replicas {
		if _, holds := r.Holds[unit]; holds && !r.Leaving && !r.Dark && !f.outliers.Kept(id) && s.Pending[id].Unit != unit {
			return true
		}
	}
	return false
}

func (f *Controller) services(seen Seen) []placement.Service {
	s := seen.State
	all := []placement.Service{}
	waiting, runs, unread, unreadAt := map[string]int{}, map[string]map[string]int{}, map[string]map[string]int{}, map[string]int{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		if seen.NowUs-d.atUs > deskLiveUs {
			continue
		}
		for unit, n := range d.report.Waiting {
			waiting[unit] += n
		}
		for key, n := range d.report.Runs {
			replica, unit, _ := strings.Cut(key, "|")
			if runs[replica] == nil {
				runs[replica] = map[string]int{}
			}
			runs[replica][unit] += n
		}
		for key, n := range d.report.Unread {
			replica, unit, _ := strings.Cut(key, "|")
			if unread[replica] == nil {
				unread[replica] = map[string]int{}
			}
			unread[replica][unit] += n
			unreadAt[unit] += n
		}
	}
	for i := range s.Doc.Services {
		svc := &s.Doc.Services[i]
		if svc.Engine == nil {
			continue
		}
		in := placement.Service{
			Name: svc.Name, Engine: svc.Engine, Models: map[string]placement.Need{}, Adapters: map[string]placement.Need{},
			StoreLeft: f.storeLeft(seen.NowUs, s, svc), Spares: sparesUsual,
		}
		for _, id := range s.ReplicaIDs() {
			if r := s.Replicas[id]; r.Service == svc.Name {
				in.Homes = append(in.Homes, f.home(seen, r, runs[id], unread[id]))
			}
		}
		units := map[string]bool{}
		for unit := range f.routed.needs {
			units[unit] = true
		}
		for unit := range waiting {
			units[unit] = true
		}
		for unit := range units {
			n := f.routed.needs[unit]
			if n == nil {
				n = &need{}
			}
			model, adapter := standing.Units(unit)
			m := s.Doc.EngineModel(svc.Name, model)
			if m == nil {
				continue
			}
			row := placement.Need{
				Rate: n.rate, Demand: (n.tokens/tokensPerMs + n.rate*decodeMsPerCall) / 1000, Waiting: waiting[unit], Unread: unreadAt[unit], IdleMs: (seen.NowUs - n.lastUs) / 1000,
			}
			if adapter != "" {
				in.Adapters[unit] = row
			} else {
				in.Models[unit] = row
			}
		}
		all = append(all, in)
	}
	return all
}

func (f *Controller) home(seen Seen, r *ledger.Replica, runs, unread map[string]int) placement.Home {
	h := placement.Home{
		ID: r.ID, Usable: !r.Leaving && !r.Dark && !f.outliers.Kept(r.ID), FreeMb: r.RoomMb - seen.State.TakenMb(r.ID), Holds: r.Holds, Had: r.Had,
		Runs: runs, Unread: unread, AgeMs: map[string]int64{},
	}
	for unit := range r.Holds {
		if atUs, ok := f.routed.cameUs[r.ID+"|"+unit]; ok {
			h.AgeMs[unit] = (seen.NowUs - atUs) / 1000
		}
	}
	if in, ok := f.routed.intents[r.ID]; ok && seen.NowUs-in.atUs < intentUs {
		h.Intended = in.unit
	}
	h.Busy = !f.mayOrder(seen.NowUs, r.ID)
	if t, pending := seen.State.Pending[r.ID]; pending {
		h.Busy = true
		if t.Step == ledger.Load {
			h.Coming = t.Unit
		} else {
			h.Going = t.Unit
		}
	}
	return h
}

// came remembers when a unit came to a replica.
func (f *Controller) came(nowUs int64, t ledger.Ticket) {
	f.routed.cameUs[t.Replica+"|"+t.Unit] = nowUs
	if len(f.routed.cameUs) > 20000 {
		f.routed.cameUs = map[string]int64{}
	}
}
