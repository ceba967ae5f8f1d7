package controlnode

import (
	"maps"
	"slices"

	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/process/clock"
)

const (
	// departureTimeoutUs is how long a replica's word that it leaves may wait for a quorum; the replica itself goes on
	// to another control node after a second.
	departureTimeoutUs = 700 * clock.Ms
	// departureRetryIntervalUs is after how long peers that did not confirm are asked again.
	departureRetryIntervalUs = 150 * clock.Ms
)

// departure is a replica's word that it leaves, or has left, until a quorum of control nodes knows of it. A replica
// whose leaving was acknowledged soon ends, so a control node that is cut off must not acknowledge it alone.
type departure struct {
	removed       bool
	startedUs     int64
	lastRequestUs int64
	replyIDs      []uint64
	confirmedBy   map[string]bool
}

// handleReplicaHeartbeat takes what a replica says of itself. That it is there is acknowledged by a control node in contact with a
// quorum; that it leaves, only once a quorum knows.
func (c *Core) handleReplicaHeartbeat(nowUs int64, status registry.ReplicaStatus, reply uint64) {
	c.recordHeartbeat(nowUs, status)
	if status.Draining || status.RemainingMs > 0 {
		c.startDeparture(nowUs, status.ID, false, reply)
		return
	}
	c.acknowledge(reply, c.Node.HasQuorumContact(nowUs))
}

// handleReplicaDeregistration takes the word that a replica's incarnation has ended.
func (c *Core) handleReplicaDeregistration(nowUs int64, id string, reply uint64) {
	c.recordDeregistration(nowUs, id)
	c.startDeparture(nowUs, id, true, reply)
}

func (c *Core) acknowledge(reply uint64, ok bool) {
	if reply != 0 {
		c.effects = append(c.effects, AcknowledgeReplica{ReplyID: reply, OK: ok})
	}
}

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

// hasDueDepartures: other control nodes must be asked, or asked again, whether they know of a leaving.
func (c *Core) hasDueDepartures(nowUs int64) bool {
	for _, d := range c.soft.departures {
		if nowUs-d.lastRequestUs >= departureRetryIntervalUs {
			return true
		}
	}
	return false
}

// addDepartureRequests adds to a message the leavings that a peer has not confirmed.
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

func (c *Core) recordDepartureRequests(nowUs int64) {
	for _, d := range c.soft.departures {
		if nowUs-d.lastRequestUs >= departureRetryIntervalUs {
			d.lastRequestUs = nowUs
		}
	}
}

// confirmDepartures tells another control node which of the leavings that it asks about are known here.
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

// handleDrainConfirmation takes another control node's word that it knows of leavings.
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

// resolveDepartures ends the waits that have lasted too long.
func (c *Core) resolveDepartures(nowUs int64) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		c.resolveDeparture(nowUs, id)
	}
}

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
