package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// listIntervalUs is how often the platform is asked for its list.
	listIntervalUs = 400 * clock.Ms
	// maxBadListings is how many older or empty lists in a row are refused; after so many the platform is believed, as it
	// may have been set up anew.
	maxBadListings = 8
)

// platformListing is the platform's newest list of replicas that was believed.
type platformListing struct {
	// list is nil until one was believed.
	list *wire.ReplicaList
	// polledUs is when the platform was last asked, acceptedUs when the list came.
	polledUs, acceptedUs int64
	// emptyCount and staleCount are the empty and the older lists that were refused since.
	emptyCount, staleCount int
	// view is the chain's view, viewChangedUs since when, and viewChecked that a list of this view was recorded.
	view          uint64
	viewChangedUs int64
	viewChecked   bool
}

// pollDue follows the chain's view, and says whether the platform is to be asked now: at once in a new view.
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

// accept takes a list, unless it looks older or emptier than can be true, or is not valid; then it says false.
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

// confirmView says, once in each view, that a list which came in it has been recorded.
func (p *platformListing) confirmView() bool {
	if p.viewChecked || p.list == nil || p.acceptedUs <= p.viewChangedUs {
		return false
	}
	p.viewChecked = true
	return true
}

// isValidListing says whether a list is without contradiction; one that is not is refused as a whole.
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

// recordListing writes down what differs between the ledger and what the platform lists and replicas report.
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

// recordListedReplica compares one listed replica with the ledger, and writes down what differs. A replica whose incarnation was
// never heard is not written down yet.
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

// reportedHoldings takes a replica's own word for its holdings, but only while no order is pending and
// its last order is the one the ledger settled, so that an old report undoes nothing.
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
