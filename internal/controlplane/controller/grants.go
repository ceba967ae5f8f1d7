package controller

import (
	"petreltide/internal/controlplane/statemachine"
)

const (
	// minGrantedAttempts and maxGrantedAttempts bound the number of attempts in one grant.
	minGrantedAttempts = 24
	maxGrantedAttempts = 4096
	// attemptSeconds is the time that half of a grant should last.
	attemptSeconds = 5
)

// grantAttempts grants ranges of attempt numbers for each model at each replica before a gateway runs out of them.
func (c *Controller) grantAttempts(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	s := snapshot.State
	gateways := c.gateways.live(snapshot.NowUs)
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		if r.Draining || r.Unreachable || r.Incarnation == "" {
			continue
		}
		for _, unit := range sortedKeys(r.Resident) {
			if s.Doc.Model(unit) == nil {
				continue
			}
			for _, gateway := range gateways {
				if request, needed := c.grantRequest(s, r, unit, gateway); needed {
					update.Grants = append(update.Grants, request)
				}
			}
		}
	}
}

// grantRequest returns the grant that a gateway should get for a model at a replica. It is needed if the gateway has no
// grant for the current incarnations of gateway and replica, or at most half of its grant left.
func (c *Controller) grantRequest(s *statemachine.State, r *statemachine.Replica, model, gateway string) (request statemachine.GrantRequest, needed bool) {
	report := c.gateways.byID[gateway].report
	want := min(max(uint64(report.Arrivals[model]*2*attemptSeconds), minGrantedAttempts), maxGrantedAttempts)
	request = statemachine.GrantRequest{Gateway: gateway, GatewayIncarnation: report.Incarnation, Replica: r.ID, Incarnation: r.Incarnation, Model: model, Count: want}
	g := statemachine.Grant{Gateway: gateway, Replica: r.ID, Model: model}
	recorded, ok := s.Grants[g.Key()]
	if !ok || recorded.GatewayIncarnation != report.Incarnation || recorded.Incarnation != r.Incarnation {
		return request, true
	}
	left, reported := report.UnusedGrants[r.ID+"|"+model]
	return request, reported && left.Ticket == recorded.Number && left.Remaining*2 <= want
}
