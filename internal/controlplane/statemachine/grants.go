package statemachine

import "petreltide/internal/api/fault"

// maxGrantCount bounds the attempt numbers in one grant, so that an invalid request can't exhaust a replica's numbers.
const maxGrantCount = 1 << 20

// GrantRequest asks for the next Count attempt numbers of a replica.
type GrantRequest struct {
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Replica            string `json:"replica"`
	Incarnation        string `json:"inc"`
	Model              string `json:"model"`
	// Count is from 1 to maxGrantCount.
	Count uint64 `json:"count"`
}

// issueGrant grants the replica's next attempt numbers, replacing the gateway's previous grant for the model at the
// replica.
func (s *State) issueGrant(epoch uint64, request GrantRequest) *fault.Fault {
	replica := s.Replicas[request.Replica]
	if replica == nil || replica.Incarnation != request.Incarnation {
		return fault.New(fault.ReplicaUnknown, request.Replica, "no such replica or another incarnation")
	}
	if request.Count == 0 || request.Count > maxGrantCount {
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

// removeGrants drops all grants for a replica.
func (s *State) removeGrants(replica string) {
	for key, g := range s.Grants {
		if g.Replica == replica {
			delete(s.Grants, key)
		}
	}
}

// removeGateway drops the grants and quotas of a gateway that was removed.
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
