package placement

import (
	"fmt"
	"sort"
	"strings"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// Verdict is the result of checking a proposal; Fault is nil if the proposal was accepted.
type Verdict struct {
	Proposal Proposal     `json:"proposal"`
	Fault    *fault.Fault `json:"fault,omitempty"`
}

// Check accepts or rejects each proposal for replicas listed by the platform. Capacity, store rate and pending commands
// are accounted for across the proposals, so that two proposals of one result cannot both use the same capacity.
func Check(s *statemachine.State, freeTokensMb float64, proposals []Proposal) (tickets []statemachine.ReplicaCommand, verdicts []Verdict) {
	a := &checker{state: s, ordered: map[string]bool{}, pendingLoads: s.PendingLoads(), tokensMb: freeTokensMb}
	return a.checkAll(proposals, a.checkDeclared)
}

// CheckRouted accepts or rejects each proposal for services with engines. Capacity, pending commands and the
// remaining store loads are accounted for across the proposals, with at most one command per replica.
func CheckRouted(s *statemachine.State, storeLeft int, proposals []Proposal) (tickets []statemachine.ReplicaCommand, verdicts []Verdict) {
	a := &checker{state: s, ordered: map[string]bool{}, storeLeft: storeLeft}
	return a.checkAll(proposals, a.checkRouted)
}

// checker accounts for what the accepted proposals of one result have used so far.
type checker struct {
	state *statemachine.State
	// ordered is the set of replicas that already have a command from this result; each gets at most one.
	ordered map[string]bool
	// pendingLoads counts the loads that are pending or accepted, and tokensMb is how much may be loaded now.
	// Both apply to replicas listed by the platform.
	pendingLoads int
	tokensMb     float64
	// storeLeft is how many more loads the store allows for self-registered replicas.
	storeLeft int
}

// checkAll returns a verdict for each proposal, in order, and the commands for the accepted proposals.
func (c *checker) checkAll(proposals []Proposal, check func(Proposal) (statemachine.ReplicaCommand, *fault.Fault)) (tickets []statemachine.ReplicaCommand, verdicts []Verdict) {
	for _, p := range proposals {
		t, f := check(p)
		verdicts = append(verdicts, Verdict{Proposal: p, Fault: f})
		if f != nil {
			continue
		}
		c.ordered[p.Replica] = true
		tickets = append(tickets, t)
	}
	return tickets, verdicts
}

// checkDeclared checks a proposal for a replica listed by the platform.
func (c *checker) checkDeclared(p Proposal) (statemachine.ReplicaCommand, *fault.Fault) {
	r := c.state.Replicas[p.Replica]
	if r == nil {
		return statemachine.ReplicaCommand{}, fault.New(fault.ReplicaUnknown, p.Replica, "no such replica")
	}
	t, f := c.checkStep(r, p)
	switch {
	case f != nil:
		return t, f
	case p.Step == statemachine.Unload:
		return t, c.checkNoAdaptersLeft(r, p)
	}
	sizeMb, _, known := c.state.Doc.UnitSize(p.Unit)
	if !known {
		return t, fault.New(fault.PolicyInvalidResult, p.Unit, "no such model or adapter")
	}
	if f := c.checkMayLoad(r, p, sizeMb); f != nil {
		return t, f
	}
	if f := c.spendStoreRate(p, sizeMb); f != nil {
		return t, f
	}
	t.SizeMB = sizeMb
	return t, nil
}

// checkStep checks that the replica has no pending command and that the step is either a load or the unload of a
// resident unit. The command returned for an unload is complete; that for a load still lacks its size.
func (c *checker) checkStep(r *statemachine.Replica, p Proposal) (statemachine.ReplicaCommand, *fault.Fault) {
	t := statemachine.ReplicaCommand{Revision: c.state.Revision, Replica: r.ID, Incarnation: r.Incarnation, Action: p.Step, Unit: p.Unit, Reason: p.Why}
	if _, pending := c.state.Pending[p.Replica]; pending || c.ordered[p.Replica] {
		return t, fault.New(fault.ReplicaBusy, p.Replica, "an order is pending")
	}
	switch p.Step {
	case statemachine.Unload:
		sizeMb, isResident := r.Resident[p.Unit]
		if !isResident {
			return t, fault.New(fault.UnitNotLoaded, p.Replica, "%s is not held", p.Unit)
		}
		t.SizeMB = sizeMb
		return t, nil
	case statemachine.Load:
		return t, nil
	}
	return t, fault.New(fault.PolicyInvalidResult, p.Replica, "no such step %q", p.Step)
}

// checkNoAdaptersLeft rejects the unload of a model while adapters of that model are resident on the replica.
func (c *checker) checkNoAdaptersLeft(r *statemachine.Replica, p Proposal) *fault.Fault {
	for unit := range r.Resident {
		if adapter := c.state.Doc.Adapter(unit); adapter != nil && adapter.Model == p.Unit {
			return fault.New(fault.CommandRejected, p.Replica, "adapter %s of %s is still held", unit, p.Unit)
		}
	}
	return nil
}

// checkMayLoad checks that a listed replica accepts loads, that the unit is not resident there yet, that the model of
// an adapter is resident, and that the unit fits.
func (c *checker) checkMayLoad(r *statemachine.Replica, p Proposal, sizeMb int64) *fault.Fault {
	if !r.AcceptsLoads(c.state.Doc) {
		return fault.New(fault.ReplicaDraining, p.Replica, "it is leaving, dark or in an emptied zone")
	}
	if _, isResident := r.Resident[p.Unit]; isResident {
		return fault.New(fault.UnitAlreadyLoaded, p.Replica, "%s is already held", p.Unit)
	}
	if adapter := c.state.Doc.Adapter(p.Unit); adapter != nil {
		if _, hasModel := r.Resident[adapter.Model]; !hasModel {
			return fault.New(fault.UnitNotLoaded, p.Replica, "adapter %s needs model %s there", adapter.Name, adapter.Model)
		}
	}
	return c.checkCapacity(r, p, sizeMb)
}

// checkCapacity checks that a unit fits beside all resident units and pending loads.
func (c *checker) checkCapacity(r *statemachine.Replica, p Proposal, sizeMb int64) *fault.Fault {
	if reservedMb := c.state.ReservedMB(r.ID); reservedMb+sizeMb > r.CapacityMB {
		return fault.New(fault.InsufficientCapacity, p.Replica, "%s takes %d MB, %d of %d MB are taken", p.Unit, sizeMb, reservedMb, r.CapacityMB)
	}
	return nil
}

// spendStoreRate charges a load against the weight store's concurrency and rate limits, or rejects the load.
func (c *checker) spendStoreRate(p Proposal, sizeMb int64) *fault.Fault {
	if c.pendingLoads >= c.state.Doc.Store.Loads {
		return fault.New(fault.StoreRateLimited, p.Replica, "%d loads are running", c.pendingLoads)
	}
	if c.tokensMb < float64(sizeMb) {
		return fault.New(fault.StoreRateLimited, p.Replica, "%.0f MB may be loaded now, %s takes %d", c.tokensMb, p.Unit, sizeMb)
	}
	c.tokensMb -= float64(sizeMb)
	c.pendingLoads++
	return nil
}

// Summary returns the number of verdicts by fault code as one line for logs.
func Summary(verdicts []Verdict) string {
	byCode := map[string]int{}
	for _, v := range verdicts {
		code := "taken"
		if v.Fault != nil {
			code = string(v.Fault.Code)
		}
		byCode[code]++
	}
	codes := make([]string, 0, len(byCode))
	for c := range byCode {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	parts := []string{}
	for _, c := range codes {
		parts = append(parts, fmt.Sprintf("%s %d", c, byCode[c]))
	}
	return strings.Join(parts, ", ")
}
