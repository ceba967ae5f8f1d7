package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// residentIntervalUs is the interval between runs of the resident policy, minResidentIntervalUs the interval if its
	// input has changed.
	residentIntervalUs    = 500 * clock.Ms
	minResidentIntervalUs = 30 * clock.Ms
	// defaultSpares is the number of replicas of a service that keep capacity free for one more model.
	defaultSpares = 1
	// tokensPerMs is the number of prompt tokens that a replica processes per millisecond; decodeMsPerCall is the replica
	// time in milliseconds for the rest of a call. Both are rough estimates, used only to compare demand with capacity.
	tokensPerMs     = 20.0
	decodeMsPerCall = 25.0
)

// runResidentPolicy runs the built-in placement policy of routed mode (placement.Resident) for each service that declares an
// engine. The policy runs every residentIntervalUs, or after minResidentIntervalUs if its input has changed, for example
// because calls wait for a model that no replica has loaded.
func (c *Controller) runResidentPolicy(snapshot Snapshot) {
	s := snapshot.State
	if !c.policies.isDue(snapshot.NowUs, residentIntervalUs, minResidentIntervalUs) || !c.routed.predecessor.canPlan(snapshot.NowUs) {
		return
	}
	services := c.residentInputs(snapshot)
	if len(services) == 0 {
		return
	}
	c.policies.begin(snapshot.NowUs)
	result := placement.RunResult{Policy: placement.ResidentName}
	clear(c.routed.residency.unplaced)
	for _, in := range services {
		proposals, unplaced := placement.Resident(in)
		result.Proposals = append(result.Proposals, proposals...)
		for _, unit := range unplaced {
			c.routed.residency.unplaced[unit] = true
		}
	}
	c.policies.live = withRun(c.policies.live, result)
	if len(result.Proposals) > 0 {
		c.policies.proposals, c.policies.revision = result.Proposals, s.Revision
	}
}

// hasUnplacedCalls reports whether calls wait at a gateway for a unit that no replica holds or loads, and for which the
// latest policy run did not already fail to find a replica.
func (c *Controller) hasUnplacedCalls(snapshot Snapshot, r *wire.Report) bool {
	for unit, n := range r.Queued {
		if n > 0 && !c.routed.residency.unplaced[unit] && !c.isPlaced(snapshot.State, unit) {
			return true
		}
	}
	return false
}

// isPlaced reports whether a unit is being loaded or is resident at a replica that accepts calls.
func (c *Controller) isPlaced(s *statemachine.State, unit string) bool {
	for _, command := range s.Pending {
		if command.Unit == unit && command.Action == statemachine.Load {
			return true
		}
	}
	for id, r := range s.Replicas {
		if _, holds := r.Resident[unit]; holds && !r.Draining && !r.Unreachable && !c.outliers.detector.Ejected(id) && s.Pending[id].Unit != unit {
			return true
		}
	}
	return false
}

// residentInputs returns the input of the resident policy for each service with an engine.
func (c *Controller) residentInputs(snapshot Snapshot) []placement.Service {
	all := []placement.Service{}
	calls := sumCallLoad(c.gateways.recentReports(snapshot.NowUs))
	services := snapshot.State.Doc.Services
	for i := range services {
		if services[i].Engine != nil {
			all = append(all, c.residentInput(snapshot, &services[i], calls))
		}
	}
	return all
}

// residentInput returns the input of the resident policy for one service.
func (c *Controller) residentInput(snapshot Snapshot, service *configuration.Service, calls callLoad) placement.Service {
	s := snapshot.State
	in := placement.Service{
		Name: service.Name, Engine: service.Engine, Models: map[string]placement.Demand{}, Adapters: map[string]placement.Demand{},
		StoreLoadsLeft: c.routed.store.loadsLeft(snapshot.NowUs, s, service), MinSpares: defaultSpares, Disable: c.opts.Disable,
	}
	for _, id := range s.ReplicaIDs() {
		if r := s.Replicas[id]; r.Service == service.Name {
			in.Candidates = append(in.Candidates, c.candidate(snapshot, r, calls.runningAt[id], calls.unstartedAt[id]))
		}
	}
	for _, unit := range c.calledUnits(calls) {
		model, adapter := configuration.SplitUnit(unit)
		switch {
		case s.Doc.EngineModel(service.Name, model) == nil:
		case adapter != "":
			in.Adapters[unit] = c.unitDemand(snapshot.NowUs, unit, calls)
		default:
			in.Models[unit] = c.unitDemand(snapshot.NowUs, unit, calls)
		}
	}
	return in
}

// calledUnits returns the units that were called recently or that calls wait for.
func (c *Controller) calledUnits(calls callLoad) []string {
	units := sortedKeys(c.routed.demand.estimates)
	for unit := range calls.queued {
		if c.routed.demand.estimates[unit] == nil {
			units = append(units, unit)
		}
	}
	return units
}

// unitDemand returns the demand for a unit as input of the resident policy.
func (c *Controller) unitDemand(nowUs int64, unit string, calls callLoad) placement.Demand {
	n := c.routed.demand.estimates[unit]
	if n == nil {
		n = &demandEstimate{}
	}
	return placement.Demand{
		Rate: n.rate, Utilization: (n.tokens/tokensPerMs + n.rate*decodeMsPerCall) / 1000,
		Waiting: calls.queued[unit], WaitingMs: c.routed.demand.waitingMs(nowUs, unit), Unstarted: calls.unstarted[unit], IdleMs: (nowUs - n.lastUs) / clock.Ms,
	}
}

// candidate returns a replica as input of the resident policy.
func (c *Controller) candidate(snapshot Snapshot, r *statemachine.Replica, running, unstarted map[string]int) placement.Candidate {
	candidate := placement.Candidate{
		ID: r.ID, Usable: !r.Draining && !r.Unreachable && !c.outliers.detector.Ejected(r.ID), FreeMb: r.CapacityMB - snapshot.State.ReservedMB(r.ID), SizeMbOf: r.Resident, WarmUnits: r.EverLoaded,
		Running: running, Unstarted: unstarted, ResidentMs: map[string]int64{},
	}
	for unit := range r.Resident {
		if atUs, ok := c.routed.residency.arrivedUs[replicaUnit{r.ID, unit}]; ok {
			candidate.ResidentMs[unit] = (snapshot.NowUs - atUs) / clock.Ms
		}
	}
	candidate.ReservedFor = c.routed.residency.reservedFor(snapshot.NowUs, r.ID)
	candidate.Busy = !c.routed.predecessor.canOrder(snapshot.NowUs, r.ID) || c.routed.orders.unreported[r.ID] != nil
	if command, pending := snapshot.State.Pending[r.ID]; pending {
		candidate.Busy = true
		if command.Action == statemachine.Load {
			candidate.Loading = command.Unit
		} else {
			candidate.Unloading = command.Unit
		}
	}
	return candidate
}
