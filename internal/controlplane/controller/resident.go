package controller

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// cameMost bounds how many units at replicas the controller remembers the arrival of.
const cameMost = 20000

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

// unplaced: calls wait at a gateway for a model or an adapter that no replica holds, that is on its way to
// none, and of which the policy does not know already that it has no place now.
func (f *Controller) unplaced(seen Seen, r *wire.Report) bool {
	for unit, n := range r.Queued {
		if n > 0 && !f.routed.unplaced[unit] && !f.placed(seen.State, unit) {
			return true
		}
	}
	return false
}

// placed: some replica that calls may go to holds a unit or loads it.
func (f *Controller) placed(s *statemachine.State, unit string) bool {
	for _, t := range s.Pending {
		if t.Unit == unit && t.Action == statemachine.Load {
			return true
		}
	}
	for id, r := range s.Replicas {
		if _, holds := r.Resident[unit]; holds && !r.Draining && !r.Unreachable && !f.outliers.Kept(id) && s.Pending[id].Unit != unit {
			return true
		}
	}
	return false
}

// callCounts are counts of calls at replicas, by replica and unit.
type callCounts map[string]map[string]int

// callLoad is what gateways report of calls now: those that wait and those that have no first piece yet by unit,
// and those that run and that have no first piece yet by replica and unit.
type callLoad struct {
	waiting, unread  map[string]int
	runsAt, unreadAt callCounts
}

// services gives what the placement policy reads of each service with an engine.
func (f *Controller) services(seen Seen) []placement.Service {
	all := []placement.Service{}
	calls := loadOf(f.reporting(seen.NowUs))
	services := seen.State.Doc.Services
	for i := range services {
		if services[i].Engine != nil {
			all = append(all, f.service(seen, &services[i], calls))
		}
	}
	return all
}

// loadOf sums the counts of calls in the reports of gateways.
func loadOf(reports []*wire.Report) callLoad {
	load := callLoad{waiting: map[string]int{}, unread: map[string]int{}, runsAt: callCounts{}, unreadAt: callCounts{}}
	for _, report := range reports {
		addTo(load.waiting, report.Queued)
		for key, n := range report.ModelInFlight {
			load.runsAt.add(atOf(key), n)
		}
		for key, n := range report.PendingPrefill {
			at := atOf(key)
			load.unreadAt.add(at, n)
			load.unread[at.unit] += n
		}
	}
	return load
}

// atOf reads a key of a gateway's report.
func atOf(key string) unitAt {
	replica, unit, _ := strings.Cut(key, "|")
	return unitAt{replica, unit}
}

func (c callCounts) add(at unitAt, n int) {
	if c[at.replica] == nil {
		c[at.replica] = map[string]int{}
	}
	c[at.replica][at.unit] += n
}

// service gives what the placement policy reads of one service.
func (f *Controller) service(seen Seen, svc *configuration.Service, calls callLoad) placement.Service {
	s := seen.State
	in := placement.Service{
		Name: svc.Name, Engine: svc.Engine, Models: map[string]placement.Need{}, Adapters: map[string]placement.Need{},
		StoreLeft: f.storeLeft(seen.NowUs, s, svc), Spares: sparesUsual, Disable: f.opts.Disable,
	}
	for _, id := range s.ReplicaIDs() {
		if r := s.Replicas[id]; r.Service == svc.Name {
			in.Homes = append(in.Homes, f.home(seen, r, calls.runsAt[id], calls.unreadAt[id]))
		}
	}
	for _, unit := range f.unitsCalled(calls) {
		model, adapter := configuration.SplitUnit(unit)
		switch {
		case s.Doc.EngineModel(svc.Name, model) == nil:
		case adapter != "":
			in.Adapters[unit] = f.needOf(seen.NowUs, unit, calls)
		default:
			in.Models[unit] = f.needOf(seen.NowUs, unit, calls)
		}
	}
	return in
}

// unitsCalled names the units that were called for lately or are waited for.
func (f *Controller) unitsCalled(calls callLoad) []string {
	units := sorted(f.routed.needs)
	for unit := range calls.waiting {
		if f.routed.needs[unit] == nil {
			units = append(units, unit)
		}
	}
	return units
}

// needOf is what calls ask of a unit, as the placement policy reads it.
func (f *Controller) needOf(nowUs int64, unit string, calls callLoad) placement.Need {
	n := f.routed.needs[unit]
	if n == nil {
		n = &need{}
	}
	return placement.Need{
		Rate: n.rate, Demand: (n.tokens/tokensPerMs + n.rate*decodeMsPerCall) / 1000,
		Waiting: calls.waiting[unit], Unread: calls.unread[unit], IdleMs: (nowUs - n.lastUs) / clock.Ms,
	}
}

// home is one replica as the placement policy reads it.
func (f *Controller) home(seen Seen, r *statemachine.Replica, runs, unread map[string]int) placement.Home {
	h := placement.Home{
		ID: r.ID, Usable: !r.Draining && !r.Unreachable && !f.outliers.Kept(r.ID), FreeMb: r.CapacityMb - seen.State.ReservedMb(r.ID), Holds: r.Resident, Had: r.EverLoaded,
		Runs: runs, Unread: unread, AgeMs: map[string]int64{},
	}
	for unit := range r.Resident {
		if atUs, ok := f.routed.cameUs[unitAt{r.ID, unit}]; ok {
			h.AgeMs[unit] = (seen.NowUs - atUs) / clock.Ms
		}
	}
	if in, ok := f.routed.intents[r.ID]; ok && seen.NowUs-in.atUs < intentUs {
		h.Intended = in.unit
	}
	h.Busy = !f.mayOrder(seen.NowUs, r.ID)
	if t, pending := seen.State.Pending[r.ID]; pending {
		h.Busy = true
		if t.Action == statemachine.Load {
			h.Coming = t.Unit
		} else {
			h.Going = t.Unit
		}
	}
	return h
}

// came remembers when a unit came to a replica.
func (f *Controller) came(nowUs int64, t statemachine.ReplicaCommand) {
	f.routed.cameUs[unitAt{t.Replica, t.Unit}] = nowUs
	if len(f.routed.cameUs) > cameMost {
		f.routed.cameUs = map[unitAt]int64{}
	}
}
