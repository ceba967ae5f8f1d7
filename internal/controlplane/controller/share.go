package controller

import (
	"sort"

	"petreltide/internal/controlplane/statemachine"
)

// grantAttempts hands out attempt numbers for every model at every replica, before those of a gateway run out.
func (c *Controller) grantAttempts(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	s := snapshot.State
	gateways := c.liveGateways(snapshot.NowUs)
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
				if ask, needed := c.grantRequest(s, r, unit, gateway); needed {
					update.Grants = append(update.Grants, ask)
				}
			}
		}
	}
}

// grantRequest gives what a gateway should be granted for a model at a replica; it is needed where the gateway has no
// grant of these lives, or less than half of one left.
func (c *Controller) grantRequest(s *statemachine.State, r *statemachine.Replica, model, gateway string) (ask statemachine.GrantRequest, needed bool) {
	report := c.gateways[gateway].report
	want := min(max(uint64(report.Arrivals[model]*2*attemptSeconds), minGrantedAttempts), maxGrantedAttempts)
	ask = statemachine.GrantRequest{Gateway: gateway, GatewayIncarnation: report.Incarnation, Replica: r.ID, Incarnation: r.Incarnation, Model: model, Count: want}
	g := statemachine.Grant{Gateway: gateway, Replica: r.ID, Model: model}
	have, ok := s.Grants[g.Key()]
	if !ok || have.GatewayIncarnation != report.Incarnation || have.Incarnation != r.Incarnation {
		return ask, true
	}
	left, told := report.UnusedGrants[r.ID+"|"+model]
	return ask, told && left.Ticket == have.Number && left.Remaining*2 <= want
}

// What a gateway's calls weigh when a replica's slots are divided: one that runs there counts whole.
const (
	idleWeight    = 0.5
	waitingWeight = 0.5
	arrivalWeight = 0.1
)

// divideSlots divides a replica's slots by what each gateway has there and what waits for its models.
func (c *Controller) divideSlots(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	if snapshot.NowUs-c.shareUs < shareIntervalUs {
		return
	}
	c.shareUs = snapshot.NowUs
	s := snapshot.State
	gateways := c.liveGateways(snapshot.NowUs)
	if len(gateways) == 0 {
		return
	}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		if r.Draining || r.Unreachable {
			continue
		}
		shares := divide(r.Slots, gateways, c.gatewayWeights(r, gateways))
		if !c.shouldRewriteShares(r, shares) {
			continue
		}
		if update.Quotas == nil {
			update.Quotas = map[string]map[string]int{}
		}
		update.Quotas[id] = shares
	}
}

// gatewayWeights are what gateways have at a replica and what waits and arrives for its models, in the gateways' order.
func (c *Controller) gatewayWeights(r *statemachine.Replica, gateways []string) []float64 {
	weights := make([]float64, len(gateways))
	for i, gateway := range gateways {
		report := c.gateways[gateway].report
		weights[i] = idleWeight + float64(report.InFlight[r.ID])
		for _, unit := range sortedKeys(r.Resident) {
			weights[i] += float64(report.Queued[unit]) * waitingWeight
			weights[i] += report.Arrivals[unit] * arrivalWeight
		}
	}
	return weights
}

// divide gives each gateway one slot where there are enough, and divides the others by weight; what rounding
// leaves over goes to the heaviest first.
func divide(slots int, gateways []string, weights []float64) map[string]int {
	var whole float64
	for _, weight := range weights {
		whole += weight
	}
	shares := map[string]int{}
	spare := slots
	if spare >= len(gateways) {
		for _, gateway := range gateways {
			shares[gateway] = 1
		}
		spare -= len(gateways)
	}
	given := 0
	for i, gateway := range gateways {
		n := int(float64(spare) * weights[i] / whole)
		shares[gateway] += n
		given += n
	}
	order := heaviestFirst(weights)
	for i := 0; given < spare; i = (i + 1) % len(order) {
		shares[gateways[order[i]]]++
		given++
	}
	return shares
}

// heaviestFirst gives the places of weights, the heaviest first and equal ones in their order.
func heaviestFirst(weights []float64) []int {
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return weights[order[a]] > weights[order[b]] })
	return order
}

// shouldRewriteShares: new shares differ enough from those in force to be written down, or give a slot to a gateway that
// has used up what it had.
func (c *Controller) shouldRewriteShares(r *statemachine.Replica, shares map[string]int) bool {
	if len(r.Quotas) != len(shares) {
		return true
	}
	moved := 0
	for gateway, n := range shares {
		had, ok := r.Quotas[gateway]
		if !ok {
			return true
		}
		row := c.gateways[gateway]
		if n > had && row != nil && row.report.InFlight[r.ID] >= had {
			return true
		}
		moved += max(n-had, had-n)
	}
	return moved*3 > r.Slots*2
}

// expireIdempotencyKeys notes a place of the log every hour; idempotency keys from before the oldest such place are forgotten.
func (c *Controller) expireIdempotencyKeys(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	if c.markUs == 0 {
		c.markUs = snapshot.NowUs
	}
	if snapshot.NowUs-c.markUs < keyMarkIntervalUs {
		return
	}
	c.markUs = snapshot.NowUs
	c.marks = append(c.marks, snapshot.State.Index)
	if len(c.marks) > maxKeyMarks {
		update.ForgetKeysBefore = c.marks[0]
		c.marks = c.marks[1:]
	}
}
