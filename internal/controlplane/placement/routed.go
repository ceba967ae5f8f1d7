package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// checkRouted checks a proposal for a self-registered replica of a service with an engine.
func (c *checker) checkRouted(p Proposal) (statemachine.ReplicaCommand, *fault.Fault) {
	r := c.state.Replicas[p.Replica]
	if r == nil || r.Service == "" {
		return statemachine.ReplicaCommand{}, fault.New(fault.ReplicaUnknown, p.Replica, "no such replica of a service with an engine")
	}
	t, f := c.checkStep(r, p)
	if f != nil || p.Step == statemachine.Unload {
		return t, f
	}
	if r.Draining || r.Unreachable {
		return t, fault.New(fault.ReplicaDraining, p.Replica, "it is leaving or dark")
	}
	if _, isResident := r.Resident[p.Unit]; isResident {
		return t, fault.New(fault.UnitAlreadyLoaded, p.Replica, "%s is already held", p.Unit)
	}
	sizeMb, _, known := c.state.Doc.EngineUnitSize(r.Service, p.Unit)
	if !known {
		return t, fault.New(fault.PolicyInvalidResult, p.Unit, "no such model or adapter")
	}
	if f := c.checkCapacity(r, p, sizeMb); f != nil {
		return t, f
	}
	if _, adapter := configuration.SplitUnit(p.Unit); adapter == "" && !r.EverLoaded[p.Unit] {
		if c.storeLeft <= 0 {
			return t, fault.New(fault.StoreRateLimited, p.Replica, "the store gives nothing more now")
		}
		c.storeLeft--
	}
	t.SizeMB = sizeMb
	return t, nil
}
