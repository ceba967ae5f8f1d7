package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// listIntervalUs is the interval at which the platform is asked for its list.
	listIntervalUs = 400 * clock.Ms
	// maxBadListings is the number of older lists, or of empty ones, that are rejected in a row. After that the platform's
	// answer is accepted, because the platform may have been reinstalled.
	maxBadListings = 8
)

// platformListing is the latest accepted list of replicas from the platform.
type platformListing struct {
	// list is nil until a list was accepted.
	list *wire.ReplicaList
	// polledUs is the time of the latest request to the platform, acceptedUs the time at which the list was received.
	polledUs, acceptedUs int64
	// emptyCount and staleCount count the empty and the older lists rejected since the last accepted one.
	emptyCount, staleCount int
	// view is the chain's view and viewChangedUs the time of its start. viewChecked is true once a list received in this
	// view was recorded.
	view          uint64
	viewChangedUs int64
	viewChecked   bool
}

// pollDue tracks the chain's view and reports whether the platform should be asked now; in a new view it is asked
// immediately.
func (p *platformListing) pollDue(nowUs int64, view uint64) bool {
	if view != p.view {
		p.view, p.viewChangedUs, p.viewChecked, p.polledUs = view, nowUs, false, 0
	}
	if nowUs-p.polledUs < listIntervalUs {
		return false
	}
	p.polledUs = nowUs
	return true
}

// accept stores a list. It returns false and keeps the previous list if the new one is missing, invalid, older than the
// previous one, or empty after a list with replicas.
func (p *platformListing) accept(nowUs int64, list *wire.ReplicaList) bool {
	switch {
	case list == nil:
		return false
	case p.list != nil && list.Version < p.list.Version && p.staleCount < maxBadListings:
		p.staleCount++
		return false
	case p.list != nil && len(list.Replicas) == 0 && len(p.list.Replicas) > 0 && p.emptyCount < maxBadListings:
		p.emptyCount++
		return false
	case !isValidListing(list):
		return false
	}
	p.emptyCount, p.staleCount = 0, 0
	p.list, p.acceptedUs = list, nowUs
	return true
}

// confirmView reports whether a list received in the current view is being recorded; it returns true once per view.
func (p *platformListing) confirmView() bool {
	if p.viewChecked || p.list == nil || p.acceptedUs <= p.viewChangedUs {
		return false
	}
	p.viewChecked = true
	return true
}

// isValidListing reports whether all entries of a list are complete and unique; a list with any invalid entry is rejected as
// a whole.
func isValidListing(list *wire.ReplicaList) bool {
	known := map[string]bool{}
	for _, r := range list.Replicas {
		if r.ID == "" || r.Addr == "" || r.CapacityMB <= 0 || r.Slots <= 0 || known[r.ID] {
			return false
		}
		known[r.ID] = true
	}
	return true
}

// recordListing adds to the update the differences between the replicated state and what the platform lists and replicas
// report.
func (c *Controller) recordListing(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	if c.declared.listing.list == nil {
		return
	}
	listed := map[string]bool{}
	for _, l := range c.declared.listing.list.Replicas {
		listed[l.ID] = true
		c.recordListedReplica(snapshot, l, update)
	}
	for _, id := range snapshot.State.ReplicaIDs() {
		if !listed[id] {
			update.RemovedReplicas = append(update.RemovedReplicas, id)
			delete(c.replicas.byID, id)
		}
	}
}

// recordListedReplica compares one listed replica with the replicated state and adds the difference to the update. A new
// replica is not recorded before its incarnation is known.
func (c *Controller) recordListedReplica(snapshot Snapshot, listed wire.ListedReplica, update *statemachine.LeaderUpdate) {
	tracked, recorded := c.replicas.byID[listed.ID], snapshot.State.Replicas[listed.ID]
	draining := listed.State != wire.ListedReady
	observed := statemachine.ReplicaUpdate{
		ID: listed.ID, Addr: listed.Addr, Zone: listed.Zone, CapacityMB: listed.CapacityMB, Slots: listed.Slots, Draining: draining, RemainingMs: remainingMs(recorded, draining, listed.RemainingMs),
	}
	hasReported := tracked != nil && tracked.reportedUs > 0
	observed.Unreachable = hasReported && snapshot.NowUs-tracked.reportedUs > unreachableAfterUs
	switch {
	case hasReported && !observed.Unreachable:
		observed.Incarnation = tracked.report.Incarnation
	case recorded != nil && recorded.Addr == listed.Addr:
		observed.Incarnation = recorded.Incarnation
	}
	if recorded == nil && observed.Incarnation == "" {
		return
	}
	if recorded != nil && observed.Incarnation == "" {
		observed.Incarnation = recorded.Incarnation
		observed.Unreachable = true
	}
	if recorded != nil && !hasReported {
		observed.Unreachable = recorded.Unreachable
	}
	if hasReported && !observed.Unreachable {
		observed.ResidentKnown, observed.Resident = c.reportedHoldings(snapshot.State, recorded, tracked)
	}
	if differsFrom(recorded, observed) || recorded.Incarnation != observed.Incarnation {
		update.Replicas = append(update.Replicas, observed)
	}
}

// reportedHoldings returns the resident units that a replica reports. They are used only while no command is pending and no
// order is running at the replica, and only from a report requested after its last command was settled, so that an old
// report cannot revert the replicated state.
func (c *Controller) reportedHoldings(s *statemachine.State, recorded *statemachine.Replica, tracked *replicaState) (bool, []statemachine.ResidentUnit) {
	if recorded == nil || recorded.Incarnation != tracked.report.Incarnation {
		return true, tracked.report.Loaded
	}
	if _, pending := s.Pending[recorded.ID]; pending || tracked.newestRequestUs <= tracked.settledUs {
		return false, nil
	}
	same := len(tracked.report.Loaded) == len(recorded.Resident)
	for _, h := range tracked.report.Loaded {
		if recorded.Resident[h.Unit] != h.SizeMB {
			same = false
		}
	}
	if same || (tracked.report.LastOrder != nil && tracked.report.LastOrder.State == wire.OrderRunning) {
		return false, nil
	}
	return true, tracked.report.Loaded
}
