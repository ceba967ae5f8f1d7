package controller

import (
	"slices"

	"petreltide/internal/ledger"
	"petreltide/internal/roster"
	"petreltide/internal/standing"
)

// notedAt is what the ledger was last compared with.
type notedAt struct {
	roster, holds, index uint64
	atUs                 int64
}

// outdated: what a replica said may be older than the last order that changed what it holds, as words lie
// in sockets, links and frozen machines for a while.
func (r *routed) outdated(e *roster.Entry) bool {
	return e.SaidUs <= max(r.changedUs[e.ID], r.bornUs)+wordLateUs
}

// noteRoster writes down what tickets need to know of replicas: their lives, their room and what they hold.
// It changes with notices, lives and loads, not with heartbeats.
func (f *Controller) noteRoster(seen Seen, duty *ledger.Duty) {
	s := seen.State
	now := notedAt{seen.Roster.Rev, s.HoldsIndex, s.Revision, f.routed.noted.atUs}
	if now == f.routed.noted && seen.NowUs-now.atUs < noteEveryUs {
		return
	}
	now.atUs = seen.NowUs
	f.routed.noted = now
	for _, id := range seen.Roster.IDs() {
		e := seen.Roster.Row(id)
		have := s.Replicas[id]
		svc := s.Doc.Service(e.Service)
		if e.Gone || svc == nil || svc.Engine == nil {
			if have != nil {
				duty.Gone = append(duty.Gone, id)
				delete(f.routed.changedUs, id)
			}
			continue
		}
		n := ledger.ReplicaNote{
			ID: id, Inc: id, Addr: e.Addr, Zone: e.Zone, RoomMb: svc.Engine.RoomMb, Slots: e.Slots, Leaving: e.Draining, LeftMs: e.LeftMs,
			Dark: e.Dark, Service: e.Service,
		}
		if have != nil && have.Leaving && n.Leaving {
			n.LeftMs = have.LeftMs
		}
		_, pending := s.Pending[id]
		units := f.routed.withTrusted(seen.NowUs, have, e.Units)
		if differs := have == nil || (!pending && !sameUnits(have, units)); differs && (have == nil || !f.routed.outdated(e)) {
			n.Told, n.Holds = true, holdings(s.Doc, svc, units)
			if have == nil {
				n.Orders = new(uint64)
			}
		} else if differs {
			f.routed.noted = notedAt{}
		}
		if have == nil || have.Addr != n.Addr || have.Zone != n.Zone || have.RoomMb != n.RoomMb || have.Slots != n.Slots ||
			have.Leaving != n.Leaving || have.Dark != n.Dark || n.Told {
			duty.Fleet = append(duty.Fleet, n)
		}
	}
	for _, id := range s.ReplicaIDs() {
		if seen.Roster.Row(id) != nil {
			delete(f.routed.unseenUs, id)
			continue
		}
		since, known := f.routed.unseenUs[id]
		if !known {
			f.routed.unseenUs[id] = seen.NowUs
		} else if seen.NowUs-since > forgottenUs {
			duty.Gone = append(duty.Gone, id)
			delete(f.routed.unseenUs, id)
			delete(f.routed.changedUs, id)
		}
	}
}

// withTrusted adds what was settled by its time alone and the replica has not yet shown: a load that takes
// longer than stated keeps its room until it comes, or has had three times its time.
func (r *routed) withTrusted(nowUs int64, have *ledger.Replica, units []string) []string {
	if have == nil || len(r.trustedUs) == 0 {
		return units
	}
	for unit := range have.Holds {
		key := have.ID + "|" + unit
		untilUs, trusted := r.trustedUs[key]
		if !trusted {
			continue
		}
		if _, shown := slices.BinarySearch(units, unit); shown || nowUs > untilUs {
			delete(r.trustedUs, key)
		} else {
			units = append(slices.Clone(units), unit)
		}
	}
	return units
}

func sameUnits(have *ledger.Replica, units []string) bool {
	if len(have.Holds) != len(units) {
		return false
	}
	for _, u := range units {
		if _, holds := have.Holds[u]; !holds {
			return false
		}
	}
	return true
}

// holdings gives each unit its size; one that no engine names is taken to fill what is left.
func holdings(doc *standing.Declaration, svc *standing.Service, units []string) []ledger.Holding {
	all := []ledger.Holding{}
	for _, u := range units {
		sizeMb, _, ok := doc.EngineUnitMb(svc.Name, u)
		if !ok {
			sizeMb = svc.Engine.RoomMb / 2
		}
		all = append(all, ledger.Holding{Unit: u, SizeMb: sizeMb})
	}
	return all
}
