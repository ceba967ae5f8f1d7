package statemachine

import "petreltide/internal/api/fault"

// Grant lets a gateway number its calls to a replica from From up to, not including, To.
type Grant struct {
	Number             uint64 `json:"ticket"`
	Epoch              uint64 `json:"epoch"`
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Replica            string `json:"replica"`
	Incarnation        string `json:"inc"`
	Model              string `json:"model"`
	From               uint64 `json:"from"`
	To                 uint64 `json:"to"`
}

// Key names the one grant that a gateway has for a model at a replica.
func (g Grant) Key() string { return g.Gateway + "|" + g.Replica + "|" + g.Model }

// GrantRequest asks for the next Count numbers.
type GrantRequest struct {
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Replica            string `json:"replica"`
	Incarnation        string `json:"inc"`
	Model              string `json:"model"`
	Count              uint64 `json:"count"`
}

func (s *State) removeGateway(id string) {
	for key, g := range s.Grants {
		if g.Gateway == id {
			delete(s.Grants, key)
		}
	}
	for _, r := range s.Replicas {
		delete(r.Quotas, id)
	}
}

func (s *State) issueGrant(epoch uint64, a GrantRequest) *fault.Fault {
	r := s.Replicas[a.Replica]
	if r == nil || r.Incarnation != a.Incarnation {
		return fault.New(fault.ReplicaUnknown, a.Replica, "no such replica or another incarnation")
	}
	if a.Count == 0 || a.Count > 1<<20 {
		return fault.New(fault.CommandRejected, a.Replica, "count %d", a.Count)
	}
	g := Grant{
		Number: s.NextNumber, Epoch: epoch, Gateway: a.Gateway, GatewayIncarnation: a.GatewayIncarnation,
		Replica: a.Replica, Incarnation: a.Incarnation, Model: a.Model, From: r.NextAttempt, To: r.NextAttempt + a.Count,
	}
	s.NextNumber++
	r.NextAttempt = g.To
	s.Grants[g.Key()] = g
	return nil
}
