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

func (s *State) issueGrant(epoch uint64, request GrantRequest) *fault.Fault {
	replica := s.Replicas[request.Replica]
	if replica == nil || replica.Incarnation != request.Incarnation {
		return fault.New(fault.ReplicaUnknown, request.Replica, "no such replica or another incarnation")
	}
	if request.Count == 0 || request.Count > 1<<20 {
		return fault.New(fault.CommandRejected, request.Replica, "count %d", request.Count)
	}
	grant := Grant{
		Number: s.NextNumber, Epoch: epoch, Gateway: request.Gateway, GatewayIncarnation: request.GatewayIncarnation,
		Replica: request.Replica, Incarnation: request.Incarnation, Model: request.Model, From: replica.NextAttempt, To: replica.NextAttempt + request.Count,
	}
	s.NextNumber++
	replica.NextAttempt = grant.To
	s.Grants[grant.Key()] = grant
	return nil
}
