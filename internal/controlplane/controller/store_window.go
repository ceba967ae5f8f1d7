package controller

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// defaultWindowUs is the length of the store's window where Options name none.
	defaultWindowUs = 5 * clock.Sec
	// windowSlackUs is how much longer loads count here than in the store's own window.
	windowSlackUs = 400 * clock.Ms
	// storeBurstLoads is how many loads the window allows beyond the rate, storeReservedLoads how many of them are not used.
	storeBurstLoads    = 3
	storeReservedLoads = 1
	// maxTrackedLoads bounds how many loads are remembered.
	maxTrackedLoads = 4096
)

// storeWindow is a sliding window over the loads that read from the weight store, whichever leader ordered them.
type storeWindow struct {
	// lengthUs is its length, in microseconds; 0 is defaultWindowUs.
	lengthUs int64
	// overshoot is how far loads may go beyond the store's rate; below 1 counts as 1.
	overshoot float64
	// loadTimesUs are the times at which loads began, oldest first.
	loadTimesUs []int64
	// nextNumber is the number up to which every command was counted; 0 before the first.
	nextNumber uint64
	// unseenUs is when it last showed that commands were issued unseen; 0 for never.
	unseenUs int64
}

// detectUnseenCommands notes that tickets were issued which this controller did not see one by one: as many loads may lie
// behind them as the store's window bears. Numbers rise by one, so that a gap shows.
func (w *storeWindow) detectUnseenCommands(nowUs int64, s *statemachine.State, newCommands int) {
	if w.nextNumber == 0 {
		w.nextNumber = 1
	}
	if s.NextNumber > w.nextNumber+uint64(newCommands) {
		w.unseenUs = nowUs
	}
	w.nextNumber = s.NextNumber
}

// recordLoad counts a ticket against the store's window, if its load reads from the store.
func (w *storeWindow) recordLoad(nowUs int64, s *statemachine.State, command statemachine.ReplicaCommand) {
	if !readsFromStore(s.Replicas[command.Replica], command) {
		return
	}
	w.loadTimesUs = append(w.loadTimesUs, nowUs)
	if len(w.loadTimesUs) > maxTrackedLoads {
		w.loadTimesUs = append([]int64(nil), w.loadTimesUs[maxTrackedLoads/2:]...)
	}
}

// loadsWithin counts the loads from the store that began within a span up to now.
func (w *storeWindow) loadsWithin(nowUs, spanUs int64) int {
	n := 0
	for _, atUs := range w.loadTimesUs {
		if nowUs-atUs < spanUs {
			n++
		}
	}
	return n
}

// readsFromStore says whether a command loads a model that its replica never had, so that the weights come from the store. Adapters,
// and models that the replica had before, come from elsewhere.
func readsFromStore(recorded *statemachine.Replica, command statemachine.ReplicaCommand) bool {
	return command.Action == statemachine.Load && !strings.Contains(command.Unit, "/") && (recorded == nil || !recorded.EverLoaded[command.Unit])
}

// pendingStoreLoads counts a service's pending loads from the store.
func pendingStoreLoads(s *statemachine.State, service *configuration.Service) int {
	n := 0
	for _, command := range s.Pending {
		if recorded := s.Replicas[command.Replica]; recorded != nil && recorded.Service == service.Name && readsFromStore(recorded, command) {
			n++
		}
	}
	return n
}

// effectiveLengthUs is the length of the window.
func (w *storeWindow) effectiveLengthUs() int64 {
	if w.lengthUs == 0 {
		return defaultWindowUs
	}
	return w.lengthUs
}

// loadsLeft is how many loads from the store may begin now: what the sliding window still allows, and no
// more at once than the store bears at full speed.
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

// totalLoadsLeft sums what the store still gives over all services; each is checked by its own account as well.
func (w *storeWindow) totalLoadsLeft(nowUs int64, s *statemachine.State) int {
	left := 0
	for i := range s.Doc.Services {
		if s.Doc.Services[i].Engine != nil {
			left += w.loadsLeft(nowUs, s, &s.Doc.Services[i])
		}
	}
	return left
}
