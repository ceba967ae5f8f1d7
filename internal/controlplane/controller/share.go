package controller

import (
	"sort"

	"petreltide/internal/controlplane/statemachine"
)

// grant hands out attempt numbers for every model at every replica, before those of a gateway run out.
func (f *Controller) grant(seen Seen, update *statemachine.LeaderUpdate) {
	s := seen.State
	gateways := f.live(seen.NowUs)
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		if r.Draining || r.Unreachable || r.Incarnation == "" {
			continue
		}
		for _, unit := range sorted(r.Resident) {
			if s.Doc.Model(unit) == nil {
				continue
			}
			for _, gateway := range gateways {
				if ask, needed := f.grantAsk(s, r, unit, gateway); needed {
					update.Grants = append(update.Grants, ask)
				}
			}
		}
	}
}

// grantAsk gives what a gateway should be granted for a model at a replica; it is needed where the gateway has no
// grant of these lives, or less than half of one left.
func (f *Controller) grantAsk(s *statemachine.State, r *statemachine.Replica, model, gateway string) (ask statemachine.GrantRequest, needed bool) {
	report := f.gateways[gateway].report
	want := min(max(uint64(report.Arrivals[model]*2*attemptSeconds), attemptsLeast), attemptsMost)
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

// share divides a replica's slots by what each gateway has there and what waits for its models.
func (f *Controller) share(seen Seen, update *statemachine.LeaderUpdate) {
	if seen.NowUs-f.shareUs < shareEveryUs {
		return
	}
	f.shareUs = seen.NowUs
	s := seen.State
	gateways := f.live(seen.NowUs)
	if len(gateways) == 0 {
		return
	}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		if r.Draining || r.Unreachable {
			continue
		}
		shares := divide(r.Slots, gateways, f.weights(r, gateways))
		if !f.worthwhile(r, shares) {
			continue
		}
		if update.Quotas == nil {
			update.Quotas = map[string]map[string]int{}
		}
		update.Quotas[id] = shares
	}
}

// weights are what gateways have at a replica and what waits and arrives for its models, in the gateways' order.
func (f *Controller) weights(r *statemachine.Replica, gateways []string) []float64 {
	weights := make([]float64, len(gateways))
	for i, gateway := range gateways {
		report := f.gateways[gateway].report
		weights[i] = idleWeight + float64(report.InFlight[r.ID])
		for _, unit := range sorted(r.Resident) {
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

// worthwhile: new shares differ enough from those in force to be written down, or give a slot to a gateway that
// has used up what it had.
func (f *Controller) worthwhile(r *statemachine.Replica, shares map[string]int) bool {
	if len(r.Quotas) != len(shares) {
		return true
	}
	moved := 0
	for gateway, n := range shares {
		had, ok := r.Quotas[gateway]
		if !ok {
			return true
		}
		row := f.gateways[gateway]
		if n > had && row != nil && row.report.InFlight[r.ID] >= had {
			return true
		}
		moved += max(n-had, had-n)
	}
	return moved*3 > r.Slots*2
}

// markKeys notes a place of the log every hour; idempotency keys from before the oldest such place are forgotten.
func (f *Controller) markKeys(seen Seen, update *statemachine.LeaderUpdate) {
	if f.markUs == 0 {
		f.markUs = seen.NowUs
	}
	if seen.NowUs-f.markUs < keyMarkUs {
		return
	}
	f.markUs = seen.NowUs
	f.marks = append(f.marks, seen.State.Index)
	if len(f.marks) > keyMarks {
		update.ForgetKeysBefore = f.marks[0]
		f.marks = f.marks[1:]
	}
}
