package controller

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// defaultWindowUs is the length of the store window if Options does not set it.
	defaultWindowUs = 5 * clock.Sec
	// windowSlackUs is how much longer a load counts here than in the store's own window.
	windowSlackUs = 400 * clock.Ms
	// storeBurstLoads is the number of loads that the window allows beyond the rate; storeReservedLoads is the number of
	// them that are left unused.
	storeBurstLoads    = 3
	storeReservedLoads = 1
	// maxTrackedLoads bounds the number of remembered loads.
	maxTrackedLoads = 4096
)

// storeWindow is a sliding window over the loads from the weight store that any leader ordered.
type storeWindow struct {
	// lengthUs is the length of the window, in microseconds; 0 means defaultWindowUs.
	lengthUs int64
	// overshoot is the factor by which loads may exceed the store's rate; values below 1 count as 1.
	overshoot float64
	// loadTimesUs are the start times of the loads, oldest first.
	loadTimesUs []int64
	// nextNumber is the lowest command number not counted yet; 0 before the first.
	nextNumber uint64
	// unseenUs is when a gap in the observed commands was last detected; 0 for never.
	unseenUs int64
}

// detectUnseenCommands detects commands that were issued without being observed by this controller. Command numbers are
// consecutive, so that a gap reveals them. They may have caused as many loads as the window allows.
func (w *storeWindow) detectUnseenCommands(nowUs int64, s *statemachine.State, newCommands int) {
	if w.nextNumber == 0 {
		w.nextNumber = 1
	}
	if s.NextNumber > w.nextNumber+uint64(newCommands) {
		w.unseenUs = nowUs
	}
	w.nextNumber = s.NextNumber
}

// recordLoad counts a command in the window if it loads from the store.
func (w *storeWindow) recordLoad(nowUs int64, s *statemachine.State, command statemachine.ReplicaCommand) {
	if !readsFromStore(s.Replicas[command.Replica], command) {
		return
	}
	w.loadTimesUs = append(w.loadTimesUs, nowUs)
	if len(w.loadTimesUs) > maxTrackedLoads {
		w.loadTimesUs = append([]int64(nil), w.loadTimesUs[maxTrackedLoads/2:]...)
	}
}

// loadsWithin returns the number of loads from the store that began within the last spanUs.
func (w *storeWindow) loadsWithin(nowUs, spanUs int64) int {
	n := 0
	for _, atUs := range w.loadTimesUs {
		if nowUs-atUs < spanUs {
			n++
		}
	}
	return n
}

// readsFromStore reports whether a command loads a model that its replica never held, so that the weights are read from the
// store. Adapters and models that the replica held before are read from elsewhere.
func readsFromStore(recorded *statemachine.Replica, command statemachine.ReplicaCommand) bool {
	return command.Action == statemachine.Load && !strings.Contains(command.Unit, "/") && (recorded == nil || !recorded.EverLoaded[command.Unit])
}

// pendingStoreLoads returns the number of pending loads from the store for a service.
func pendingStoreLoads(s *statemachine.State, service *configuration.Service) int {
	n := 0
	for _, command := range s.Pending {
		if recorded := s.Replicas[command.Replica]; recorded != nil && recorded.Service == service.Name && readsFromStore(recorded, command) {
			n++
		}
	}
	return n
}

// effectiveLengthUs returns the length of the window, with the default applied.
func (w *storeWindow) effectiveLengthUs() int64 {
	if w.lengthUs == 0 {
		return defaultWindowUs
	}
	return w.lengthUs
}

// loadsLeft returns the number of loads from the store that may begin now: what the sliding window allows, and at most as
// many as may run concurrently at full speed. If commands were issued unobserved within the window, the window counts as
// used up.
func (w *storeWindow) loadsLeft(nowUs int64, s *statemachine.State, service *configuration.Service) int {
	e := service.Engine
	windowUs := w.effectiveLengthUs()
	overshoot := max(w.overshoot, 1)
	maxLoads := int(e.LoadsPerSecond*float64(windowUs)/float64(clock.Sec)*overshoot+storeBurstLoads) - storeReservedLoads
	spent := w.loadsWithin(nowUs, windowUs+windowSlackUs)
	if w.detectUnseenCommands(nowUs, s, 0); w.unseenUs > 0 && nowUs-w.unseenUs < windowUs+windowSlackUs {
		spent += maxLoads
	}
	return max(0, min(maxLoads-spent, e.MaxConcurrentLoads()-pendingStoreLoads(s, service)))
}

// totalLoadsLeft returns the sum of the loads left over all services; the loads of each service are checked against its own
// limit as well.
func (w *storeWindow) totalLoadsLeft(nowUs int64, s *statemachine.State) int {
	left := 0
	for i := range s.Doc.Services {
		if s.Doc.Services[i].Engine != nil {
			left += w.loadsLeft(nowUs, s, &s.Doc.Services[i])
		}
	}
	return left
}
