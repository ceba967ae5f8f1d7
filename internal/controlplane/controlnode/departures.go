package controlnode

import (
	"maps"
	"slices"

	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/process/clock"
)

const (
	// departureTimeoutUs is how long a departure may wait for confirmation by a quorum; the replica itself turns to another
	// control node after one second.
	departureTimeoutUs = 700 * clock.Ms
	// departureRetryIntervalUs is the interval at which peers that have not confirmed a departure are asked again.
	departureRetryIntervalUs = 150 * clock.Ms
)

// departure is the report that a replica is draining or has ended, until a quorum of control nodes has confirmed that it knows
// of it. A replica exits soon after its departure is acknowledged, so a partitioned control node must not acknowledge it alone.
type departure struct {
	// removed reports that the replica has ended, rather than started to drain.
	removed bool
	// startedUs is when the departure was last reported, and lastRequestUs when peers were last asked to confirm it; 0 means
	// that they have not been asked yet.
	startedUs     int64
	lastRequestUs int64
	// replyIDs are the callers that wait for the acknowledgement.
	replyIDs []uint64
	// confirmedBy are the IDs of the other control nodes that have confirmed the departure.
	confirmedBy map[string]bool
}

// handleReplicaHeartbeat records a replica's heartbeat. The heartbeat of a replica that stays is acknowledged if this control
// node is in contact with a quorum; that of a draining replica only once a quorum knows that it drains.
func (c *Core) handleReplicaHeartbeat(nowUs int64, status registry.ReplicaStatus, reply uint64) {
	c.recordHeartbeat(nowUs, status)
	if status.Draining || status.RemainingMs > 0 {
		c.startDeparture(nowUs, status.ID, false, reply)
		return
	}
	c.acknowledge(reply, c.Node.HasQuorumContact(nowUs))
}

// handleReplicaDeregistration records that a replica's incarnation has ended. It is acknowledged once a quorum knows.
func (c *Core) handleReplicaDeregistration(nowUs int64, id string, reply uint64) {
	c.recordDeregistration(nowUs, id)
	c.startDeparture(nowUs, id, true, reply)
}

// acknowledge answers the caller with this reply ID, if any.
func (c *Core) acknowledge(reply uint64, ok bool) {
	if reply != 0 {
		c.effects = append(c.effects, AcknowledgeReplica{ReplyID: reply, OK: ok})
	}
}

// startDeparture adds a caller to the departure of a replica, which it starts if necessary. Confirmations that the replica drains
// are discarded once it has ended, as they do not cover that. Without a caller to answer there is nothing to confirm.
func (c *Core) startDeparture(nowUs int64, id string, removed bool, reply uint64) {
	if reply == 0 {
		return
	}
	d := c.soft.departures[id]
	if d == nil {
		d = &departure{}
		c.soft.departures[id] = d
	}
	if removed && !d.removed || d.confirmedBy == nil {
		d.removed, d.confirmedBy = d.removed || removed, map[string]bool{}
	}
	d.startedUs, d.lastRequestUs = nowUs, 0
	d.replyIDs = append(d.replyIDs, reply)
	c.resolveDeparture(nowUs, id)
}

// hasDueDepartures reports whether other control nodes have to be asked, or asked again, to confirm a departure.
func (c *Core) hasDueDepartures(nowUs int64) bool {
	for _, d := range c.soft.departures {
		if nowUs-d.lastRequestUs >= departureRetryIntervalUs {
			return true
		}
	}
	return false
}

// addDepartureRequests adds to a message for a peer the departures that the peer has not confirmed, with the registry's entries
// of their replicas.
func (c *Core) addDepartureRequests(nowUs int64, peer string, message *peering.Gossip) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		d := c.soft.departures[id]
		if d.confirmedBy[peer] || nowUs-d.lastRequestUs < departureRetryIntervalUs {
			continue
		}
		message.ConfirmDraining = append(message.ConfirmDraining, id)
		if !slices.ContainsFunc(message.Observations, func(n registry.GossipEntry) bool { return n.ID == id }) {
			message.Observations = append(message.Observations, c.soft.Registry.GossipOf(nowUs, id)...)
		}
	}
}

// recordDepartureRequests records that the requests for all due departures have been sent.
func (c *Core) recordDepartureRequests(nowUs int64) {
	for _, d := range c.soft.departures {
		if nowUs-d.lastRequestUs >= departureRetryIntervalUs {
			d.lastRequestUs = nowUs
		}
	}
}

// confirmDepartures tells another control node which of the departures that it asks about are known here.
func (c *Core) confirmDepartures(request peering.Gossip) {
	confirmation := peering.DrainConfirmation{Sender: c.Node.Self().ID, Incarnation: request.Incarnation}
	for _, id := range request.ConfirmDraining {
		if e := c.soft.Registry.Entry(id); e != nil && (e.Removed || e.Draining) {
			confirmation.Draining = append(confirmation.Draining, peering.KnownDraining{ID: id, Removed: e.Removed})
		}
	}
	if len(confirmation.Draining) == 0 {
		return
	}
	for _, p := range c.Node.Peers() {
		if p.Member.ID == request.Sender {
			c.send(p.Member.Addr, peering.Message{DrainConfirmation: &confirmation})
		}
	}
}

// handleDrainConfirmation records that another control node knows of departures. A confirmation for an earlier incarnation of
// this control node is ignored, and one of a drain does not confirm a removal.
func (c *Core) handleDrainConfirmation(nowUs int64, confirmation peering.DrainConfirmation) {
	if confirmation.Incarnation != c.Node.Incarnation() {
		return
	}
	for _, replica := range confirmation.Draining {
		if d := c.soft.departures[replica.ID]; d != nil && (replica.Removed || !d.removed) {
			d.confirmedBy[confirmation.Sender] = true
			c.resolveDeparture(nowUs, replica.ID)
		}
	}
}

// resolveDepartures resolves the departures that are confirmed by a quorum or have waited for longer than departureTimeoutUs.
func (c *Core) resolveDepartures(nowUs int64) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		c.resolveDeparture(nowUs, id)
	}
}

// resolveDeparture answers the callers of a departure that a quorum has confirmed, or that has timed out, and forgets it.
func (c *Core) resolveDeparture(nowUs int64, id string) {
	d := c.soft.departures[id]
	known := c.Node.HasQuorum(func(voter string) bool { return d.confirmedBy[voter] })
	if !known && nowUs-d.startedUs < departureTimeoutUs {
		return
	}
	delete(c.soft.departures, id)
	for _, reply := range d.replyIDs {
		c.acknowledge(reply, known)
	}
}
