package controller

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// maxTrackedArrivals bounds how many units at replicas the controller remembers the arrival of.
const maxTrackedArrivals = 20000

// runResident asks the policy for each service with an engine, at once where calls wait for a model that
// nobody has.
func (c *Controller) runResident(snapshot Snapshot) {
	s := snapshot.State
	spanUs := residentIntervalUs
	if c.moved {
		spanUs = minResidentIntervalUs
	}
	if c.proposed != nil || snapshot.NowUs-c.policyUs < spanUs || !c.canPlan(snapshot.NowUs) {
		return
	}
	services := c.residentInputs(snapshot)
	if len(services) == 0 {
		return
	}
	c.policyUs, c.moved = snapshot.NowUs, false
	c.run++
	answer := placement.RunResult{Policy: placement.ResidentName}
	clear(c.routed.unplaced)
	for _, in := range services {
		proposals, unplaced := placement.Resident(in)
		answer.Proposals = append(answer.Proposals, proposals...)
		for _, unit := range unplaced {
			c.routed.unplaced[unit] = true
		}
	}
	c.Policy = withRun(c.Policy, answer)
	if len(answer.Proposals) > 0 {
		c.proposed, c.proposedAt = answer.Proposals, s.Revision
	}
}

// hasUnplacedCalls: calls wait at a gateway for a model or an adapter that no replica holds, that is on its way to
// none, and of which the policy does not know already that it has no place now.
func (c *Controller) hasUnplacedCalls(snapshot Snapshot, r *wire.Report) bool {
	for unit, n := range r.Queued {
		if n > 0 && !c.routed.unplaced[unit] && !c.isPlaced(snapshot.State, unit) {
			return true
		}
	}
	return false
}

// isPlaced: some replica that calls may go to holds a unit or loads it.
func (c *Controller) isPlaced(s *statemachine.State, unit string) bool {
	for _, t := range s.Pending {
		if t.Unit == unit && t.Action == statemachine.Load {
			return true
		}
	}
	for id, r := range s.Replicas {
		if _, holds := r.Resident[unit]; holds && !r.Draining && !r.Unreachable && !c.outliers.Ejected(id) && s.Pending[id].Unit != unit {
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
	waiting, unstarted     map[string]int
	runningAt, unstartedAt callCounts
}

// residentInputs gives what the placement policy reads of each service with an engine.
func (c *Controller) residentInputs(snapshot Snapshot) []placement.Service {
	all := []placement.Service{}
	calls := loadOf(c.recentReports(snapshot.NowUs))
	services := snapshot.State.Doc.Services
	for i := range services {
		if services[i].Engine != nil {
			all = append(all, c.residentInput(snapshot, &services[i], calls))
		}
	}
	return all
}

// loadOf sums the counts of calls in the reports of gateways.
func loadOf(reports []*wire.Report) callLoad {
	load := callLoad{waiting: map[string]int{}, unstarted: map[string]int{}, runningAt: callCounts{}, unstartedAt: callCounts{}}
	for _, report := range reports {
		addTo(load.waiting, report.Queued)
		for key, n := range report.ModelInFlight {
			load.runningAt.add(parseReplicaUnit(key), n)
		}
		for key, n := range report.PendingPrefill {
			at := parseReplicaUnit(key)
			load.unstartedAt.add(at, n)
			load.unstarted[at.unit] += n
		}
	}
	return load
}

// parseReplicaUnit reads a key of a gateway's report.
func parseReplicaUnit(key string) replicaUnit {
	replica, unit, _ := strings.Cut(key, "|")
	return replicaUnit{replica, unit}
}

func (c callCounts) add(at replicaUnit, n int) {
	if c[at.replica] == nil {
		c[at.replica] = map[string]int{}
	}
	c[at.replica][at.unit] += n
}

// residentInput gives what the placement policy reads of one service.
func (c *Controller) residentInput(snapshot Snapshot, svc *configuration.Service, calls callLoad) placement.Service {
	s := snapshot.State
	in := placement.Service{
		Name: svc.Name, Engine: svc.Engine, Models: map[string]placement.Demand{}, Adapters: map[string]placement.Demand{},
		StoreLoadsLeft: c.storeLoadsLeft(snapshot.NowUs, s, svc), MinSpares: defaultSpares, Disable: c.opts.Disable,
	}
	for _, id := range s.ReplicaIDs() {
		if r := s.Replicas[id]; r.Service == svc.Name {
			in.Candidates = append(in.Candidates, c.candidate(snapshot, r, calls.runningAt[id], calls.unstartedAt[id]))
		}
	}
	for _, unit := range c.calledUnits(calls) {
		model, adapter := configuration.SplitUnit(unit)
		switch {
		case s.Doc.EngineModel(svc.Name, model) == nil:
		case adapter != "":
			in.Adapters[unit] = c.unitDemand(snapshot.NowUs, unit, calls)
		default:
			in.Models[unit] = c.unitDemand(snapshot.NowUs, unit, calls)
		}
	}
	return in
}

// calledUnits names the units that were called for lately or are waited for.
func (c *Controller) calledUnits(calls callLoad) []string {
	units := sortedKeys(c.routed.needs)
	for unit := range calls.waiting {
		if c.routed.needs[unit] == nil {
			units = append(units, unit)
		}
	}
	return units
}

// unitDemand is what calls ask of a unit, as the placement policy reads it.
func (c *Controller) unitDemand(nowUs int64, unit string, calls callLoad) placement.Demand {
	n := c.routed.needs[unit]
	if n == nil {
		n = &demandEstimate{}
	}
	return placement.Demand{
		Rate: n.rate, Utilization: (n.tokens/tokensPerMs + n.rate*decodeMsPerCall) / 1000,
		Waiting: calls.waiting[unit], Unstarted: calls.unstarted[unit], IdleMs: (nowUs - n.lastUs) / clock.Ms,
	}
}

// candidate is one replica as the placement policy reads it.
func (c *Controller) candidate(snapshot Snapshot, r *statemachine.Replica, runs, unread map[string]int) placement.Candidate {
	h := placement.Candidate{
		ID: r.ID, Usable: !r.Draining && !r.Unreachable && !c.outliers.Ejected(r.ID), FreeMb: r.CapacityMB - snapshot.State.ReservedMB(r.ID), SizeMbOf: r.Resident, WarmUnits: r.EverLoaded,
		Running: runs, Unstarted: unread, ResidentMs: map[string]int64{},
	}
	for unit := range r.Resident {
		if atUs, ok := c.routed.cameUs[replicaUnit{r.ID, unit}]; ok {
			h.ResidentMs[unit] = (snapshot.NowUs - atUs) / clock.Ms
		}
	}
	if in, ok := c.routed.intents[r.ID]; ok && snapshot.NowUs-in.atUs < reservationUs {
		h.ReservedFor = in.unit
	}
	h.Busy = !c.canOrder(snapshot.NowUs, r.ID)
	if t, pending := snapshot.State.Pending[r.ID]; pending {
		h.Busy = true
		if t.Action == statemachine.Load {
			h.Loading = t.Unit
		} else {
			h.Unloading = t.Unit
		}
	}
	return h
}

// recordArrival remembers when a unit came to a replica.
func (c *Controller) recordArrival(nowUs int64, t statemachine.ReplicaCommand) {
	c.routed.cameUs[replicaUnit{t.Replica, t.Unit}] = nowUs
	if len(c.routed.cameUs) > maxTrackedArrivals {
		c.routed.cameUs = map[replicaUnit]int64{}
	}
}
