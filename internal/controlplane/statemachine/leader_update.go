package statemachine

import "petreltide/internal/api/fault"

// Claim takes the leadership of the controller under the next epoch.
type Claim struct {
	Leader string `json:"holder"`
}

// LeaderUpdate is one write of the controller that leads: what it knows of replicas, and the orders it issues and settles.
type LeaderUpdate struct {
	Replicas         []ReplicaUpdate           `json:"fleet,omitempty"`
	RemovedReplicas  []string                  `json:"gone,omitempty"`
	Commands         []ReplicaCommand          `json:"tickets,omitempty"`
	Results          []CommandResult           `json:"settled,omitempty"`
	Grants           []GrantRequest            `json:"grants,omitempty"`
	Quotas           map[string]map[string]int `json:"shares,omitempty"`
	RemovedGateways  []string                  `json:"goneDesks,omitempty"`
	ForgetKeysBefore uint64                    `json:"forgetKeysBefore,omitempty"`
	CheckedInView    uint64                    `json:"checkedInView,omitempty"`
}

// IsEmpty says whether an update would change nothing.
func (u *LeaderUpdate) IsEmpty() bool {
	return len(u.Replicas)+len(u.RemovedReplicas)+len(u.Commands)+len(u.Results)+len(u.Grants)+len(u.Quotas)+len(u.RemovedGateways) == 0 && u.ForgetKeysBefore+u.CheckedInView == 0
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
	rejected := &fault.List{}
	changed := false
	for _, replica := range c.LeaderUpdate.Replicas {
		s.upsertReplica(replica)
		changed = true
	}
	for _, id := range c.LeaderUpdate.RemovedReplicas {
		s.removeReplica(id)
		changed = true
	}
	for _, result := range c.LeaderUpdate.Results {
		changed = s.resolveCommand(result) || changed
	}
	for _, command := range c.LeaderUpdate.Commands {
		if f := s.issueCommand(c.Epoch, command); f != nil {
			rejected.Add(f)
		}
	}
	s.forgetKeys(c.LeaderUpdate.ForgetKeysBefore)
	for _, gateway := range c.LeaderUpdate.RemovedGateways {
		s.removeGateway(gateway)
	}
	for _, request := range c.LeaderUpdate.Grants {
		if f := s.issueGrant(c.Epoch, request); f != nil {
			rejected.Add(f)
			continue
		}
		changed = true
	}
	for id, quotas := range c.LeaderUpdate.Quotas {
		if r := s.Replicas[id]; r != nil && totalQuota(quotas) <= r.Slots {
			r.Quotas = quotas
			changed = true
		}
	}
	if changed {
		s.UpdateIndex = s.Index
	}
	out.Faults = rejected.Faults
}

func totalQuota(quotas map[string]int) int {
	sum := 0
	for _, n := range quotas {
		sum += n
	}
	return sum
}
