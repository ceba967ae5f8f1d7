package controller

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	defaultWindowUs = 5 * clock.Sec
	// windowSlackUs is how much longer loads count here than in the store's own window.
	windowSlackUs = 400 * clock.Ms
	// storeBurst is how many loads the window allows beyond the rate, storeCut how many of them are not used.
	storeBurst = 3
	storeCut   = 1
	// maxTrackedLoads bounds how many loads are remembered.
	maxTrackedLoads = 4096
)

// detectUnseenTickets notes that tickets were issued which this controller did not see one by one: as many loads may lie
// behind them as the store's window bears. Numbers rise by one, so that a gap shows.
func (r *routedMemory) detectUnseenTickets(nowUs int64, s *statemachine.State, news int) {
	if r.known == 0 {
		r.known = 1
	}
	if s.NextNumber > r.known+uint64(news) {
		r.missedUs = nowUs
	}
	r.known = s.NextNumber
}

// recordLoad counts a ticket against the store's window, if its load reads from the store.
func (r *routedMemory) recordLoad(nowUs int64, s *statemachine.State, t statemachine.ReplicaCommand) {
	if !readsFromStore(s.Replicas[t.Replica], t) {
		return
	}
	r.loadsUs = append(r.loadsUs, nowUs)
	if len(r.loadsUs) > maxTrackedLoads {
		r.loadsUs = append([]int64(nil), r.loadsUs[maxTrackedLoads/2:]...)
	}
}

// loadsWithin counts the loads from the store that began within a span up to now.
func (r *routedMemory) loadsWithin(nowUs, spanUs int64) int {
	n := 0
	for _, atUs := range r.loadsUs {
		if nowUs-atUs < spanUs {
			n++
		}
	}
	return n
}

// readsFromStore: a ticket loads a model that its replica never had, so that the weights come from the store. Adapters,
// and models that the replica had before, come from elsewhere.
func readsFromStore(have *statemachine.Replica, t statemachine.ReplicaCommand) bool {
	return t.Action == statemachine.Load && !strings.Contains(t.Unit, "/") && (have == nil || !have.EverLoaded[t.Unit])
}

// pendingStoreLoads counts a service's pending loads from the store.
func pendingStoreLoads(s *statemachine.State, service *configuration.Service) int {
	n := 0
	for _, t := range s.Pending {
		if have := s.Replicas[t.Replica]; have != nil && have.Service == service.Name && readsFromStore(have, t) {
			n++
		}
	}
	return n
}

// storeWindowUs is the span over which the store's loads are counted.
func (c *Controller) storeWindowUs() int64 {
	if c.opts.StoreWindowUs == 0 {
		return defaultWindowUs
	}
	return c.opts.StoreWindowUs
}

// storeLoadsLeft is how many loads from the store may begin now: what the sliding window still allows, and no
// more at once than the store bears at full speed.
func (c *Controller) storeLoadsLeft(nowUs int64, s *statemachine.State, service *configuration.Service) int {
	e := service.Engine
	windowUs := c.storeWindowUs()
	overshoot := max(c.opts.StoreOvershoot, 1)
	most := int(e.LoadsPerSecond*float64(windowUs)/float64(clock.Sec)*overshoot+storeBurst) - storeCut
	spent := c.routed.loadsWithin(nowUs, windowUs+windowSlackUs)
	if c.routed.detectUnseenTickets(nowUs, s, 0); c.routed.missedUs > 0 && nowUs-c.routed.missedUs < windowUs+windowSlackUs {
		spent += most
	}
	return max(0, min(most-spent, e.MaxConcurrentLoads()-pendingStoreLoads(s, service)))
}

// totalStoreLoadsLeft sums what the store still gives over all services; each is checked by its own account as well.
func (c *Controller) totalStoreLoadsLeft(nowUs int64, s *statemachine.State) int {
	left := 0
	for i := range s.Doc.Services {
		if s.Doc.Services[i].Engine != nil {
			left += c.storeLoadsLeft(nowUs, s, &s.Doc.Services[i])
		}
	}
	return left
}
