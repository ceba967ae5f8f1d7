package controller

import (
	"sort"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// shareIntervalUs is the interval at which the replicas' slots are divided among the gateways.
const shareIntervalUs = 400 * clock.Ms

// Weights of a gateway's calls when a replica's slots are divided, relative to a call that runs at the replica.
const (
	idleWeight    = 0.5
	waitingWeight = 0.5
	arrivalWeight = 0.1
)

// slotShares records when slots were last divided.
type slotShares struct {
	dividedUs int64
}

// divideSlots divides the slots of each replica by the gateways' running calls at the replica and the calls waiting and
// arriving for its models.
func (c *Controller) divideSlots(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	if snapshot.NowUs-c.declared.shares.dividedUs < shareIntervalUs {
		return
	}
	c.declared.shares.dividedUs = snapshot.NowUs
	s := snapshot.State
	gateways := c.gateways.live(snapshot.NowUs)
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

// gatewayWeights returns the weights of the gateways at a replica, in the order of gateways: running calls at the replica,
// plus waiting and arriving calls for its models.
func (c *Controller) gatewayWeights(r *statemachine.Replica, gateways []string) []float64 {
	weights := make([]float64, len(gateways))
	for i, gateway := range gateways {
		report := c.gateways.byID[gateway].report
		weights[i] = idleWeight + float64(report.InFlight[r.ID])
		for _, unit := range sortedKeys(r.Resident) {
			weights[i] += float64(report.Queued[unit]) * waitingWeight
			weights[i] += report.Arrivals[unit] * arrivalWeight
		}
	}
	return weights
}

// divide gives each gateway one slot if there are enough, and divides the rest by weight; the remainder from rounding goes
// to the gateways with the highest weights.
func divide(slots int, gateways []string, weights []float64) map[string]int {
	var total float64
	for _, weight := range weights {
		total += weight
	}
	shares := map[string]int{}
	spare := slots
	if spare >= len(gateways) {
		for _, gateway := range gateways {
			shares[gateway] = 1
		}
		spare -= len(gateways)
	}
	divided := 0
	for i, gateway := range gateways {
		n := int(float64(spare) * weights[i] / total)
		shares[gateway] += n
		divided += n
	}
	order := heaviestFirst(weights)
	for i := 0; divided < spare; i = (i + 1) % len(order) {
		shares[gateways[order[i]]]++
		divided++
	}
	return shares
}

// heaviestFirst returns the indexes of weights in descending order of weight; equal weights keep their order.
func heaviestFirst(weights []float64) []int {
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return weights[order[a]] > weights[order[b]] })
	return order
}

// shouldRewriteShares reports whether new shares should replace the current ones: they differ in gateways, they give an
// additional slot to a gateway that has used up its share, or they differ by enough slots.
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
		tracked := c.gateways.byID[gateway]
		if n > had && tracked != nil && tracked.report.InFlight[r.ID] >= had {
			return true
		}
		moved += max(n-had, had-n)
	}
	return moved*3 > r.Slots*2
}
