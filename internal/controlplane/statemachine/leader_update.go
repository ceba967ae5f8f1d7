package statemachine

import "petreltide/internal/api/fault"

// Claim claims controller leadership for the epoch that follows the state's. Where several control nodes claim the same
// epoch, the first claim in the log wins.
type Claim struct {
	// Leader is the control node that claims leadership.
	Leader string `json:"holder"`
}

// LeaderUpdate is one write by the leading controller: the replicas it has observed, the commands it issues and the
// command results it has received. Its parts are applied in the order given by applyLeaderUpdate, not in the order of
// the fields. A part that is refused does not affect the others.
type LeaderUpdate struct {
	// Replicas lists the replicas that are new or have changed.
	Replicas []ReplicaUpdate `json:"fleet,omitempty"`
	// RemovedReplicas are the IDs of the replicas that have ended.
	RemovedReplicas []string `json:"gone,omitempty"`
	// Commands are the commands to issue; the state assigns their Number and Epoch.
	Commands []ReplicaCommand `json:"tickets,omitempty"`
	// Results resolve pending commands.
	Results []CommandResult `json:"settled,omitempty"`
	// Grants are requests for attempt numbers by gateways.
	Grants []GrantRequest `json:"grants,omitempty"`
	// Quotas are the numbers of concurrent requests allowed, by replica and gateway. They replace the replica's quotas
	// unless their sum exceeds its slots.
	Quotas map[string]map[string]int `json:"shares,omitempty"`
	// RemovedGateways lose their grants and quotas.
	RemovedGateways []string `json:"goneDesks,omitempty"`
	// ForgetKeysBefore is the log index before which idempotency keys are forgotten; 0 forgets none.
	ForgetKeysBefore uint64 `json:"forgetKeysBefore,omitempty"`
	// ForgetDeparturesBefore is the log index before which departures of replicas are forgotten; 0 forgets none.
	ForgetDeparturesBefore uint64 `json:"forgetDeparturesBefore,omitempty"`
	// CheckedInView is the view in which the controller read the platform's list of replicas; 0 where it has not read it.
	// The state does not store it: the chain's tail reads it when it applies the entry.
	CheckedInView uint64 `json:"checkedInView,omitempty"`
}

// IsEmpty reports whether there is nothing to write.
func (u *LeaderUpdate) IsEmpty() bool {
	return len(u.Replicas)+len(u.RemovedReplicas)+len(u.Commands)+len(u.Results)+len(u.Grants)+len(u.Quotas)+len(u.RemovedGateways) == 0 && u.ForgetKeysBefore+u.ForgetDeparturesBefore+u.CheckedInView == 0
}

func (s *State) applyClaim(out *Outcome, c Change) {
	if c.Epoch != s.Epoch+1 {
		out.Fault = fault.New(fault.StaleEpoch, "epoch", "claims %d, current is %d", c.Epoch, s.Epoch)
		return
	}
	s.Epoch = c.Epoch
	s.Leader = c.Claim.Leader
}

func (s *State) applyLeaderUpdate(out *Outcome, c Change) {
	if c.Epoch != s.Epoch {
		out.Fault = fault.New(fault.StaleEpoch, "epoch", "written under %d, current is %d", c.Epoch, s.Epoch)
		return
	}
	u := c.LeaderUpdate
	changed := len(u.Replicas)+len(u.RemovedReplicas) > 0
	for _, replica := range u.Replicas {
		s.upsertReplica(replica)
	}
	for _, id := range u.RemovedReplicas {
		s.removeReplica(id)
	}
	// Results come before commands: a replica takes its next command in the update that resolves its last.
	for _, result := range u.Results {
		changed = s.resolveCommand(result) || changed
	}
	rejected := &fault.List{}
	for _, command := range u.Commands {
		if f := s.issueCommand(c.Epoch, command); f != nil {
			rejected.Add(f)
		}
	}
	s.forgetKeys(u.ForgetKeysBefore)
	s.forgetDepartures(u.ForgetDeparturesBefore)
	for _, gateway := range u.RemovedGateways {
		s.removeGateway(gateway)
	}
	for _, request := range u.Grants {
		if f := s.issueGrant(c.Epoch, request); f != nil {
			rejected.Add(f)
			continue
		}
		changed = true
	}
	changed = s.setQuotas(u.Quotas) || changed
	if changed {
		s.UpdateIndex = s.Index
	}
	out.Faults = rejected.Faults
}

// setQuotas replaces the quotas of each known replica if the new quotas add up to no more than its slots, and reports whether
// any were replaced.
func (s *State) setQuotas(byReplica map[string]map[string]int) (changed bool) {
	for id, quotas := range byReplica {
		total := 0
		for _, quota := range quotas {
			total += quota
		}
		if r := s.Replicas[id]; r != nil && total <= r.Slots {
			r.Quotas = quotas
			changed = true
		}
	}
	return changed
}
