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
	// departureRetryUs is after how long peers that did not confirm are asked again.
	departureRetryUs = 150 * clock.Ms
)

// departure is a replica's word that it leaves, or has left, until a quorum of control nodes knows of it. A replica
// whose leaving was acknowledged soon ends, so a control node that is cut off must not acknowledge it alone.
type departure struct {
	removed     bool
	sinceUs     int64
	requestedUs int64
	replies     []uint64
	knownBy     map[string]bool
}

// replicaReported takes what a replica says of itself. That it is there is acknowledged by a control node in contact with a
// quorum; that it leaves, only once a quorum knows.
func (c *Core) replicaReported(nowUs int64, row registry.ReplicaStatus, reply uint64) {
	c.replicaHeartbeat(nowUs, row)
	if row.Draining || row.RemainingMs > 0 {
		c.startDeparture(nowUs, row.ID, false, reply)
		return
	}
	c.acknowledge(reply, c.Node.HasQuorumContact(nowUs))
}

// replicaRemoved takes the word that a replica's incarnation has ended.
func (c *Core) replicaRemoved(nowUs int64, id string, reply uint64) {
	c.replicaEnded(nowUs, id)
	c.startDeparture(nowUs, id, true, reply)
}

func (c *Core) acknowledge(reply uint64, ok bool) {
	if reply != 0 {
		c.effects = append(c.effects, AcknowledgeReplica{ReplyID: reply, OK: ok})
	}
}

func (c *Core) startDeparture(nowUs int64, id string, gone bool, reply uint64) {
	if reply == 0 {
		return
	}
	d := c.soft.departures[id]
	if d == nil {
		d = &departure{}
		c.soft.departures[id] = d
	}
	if gone && !d.removed || d.knownBy == nil {
		d.removed, d.knownBy = d.removed || gone, map[string]bool{}
	}
	d.sinceUs, d.requestedUs = nowUs, 0
	d.replies = append(d.replies, reply)
	c.resolveDeparture(nowUs, id)
}

// departuresDue: other control nodes must be asked, or asked again, whether they know of a leaving.
func (c *Core) departuresDue(nowUs int64) bool {
	for _, d := range c.soft.departures {
		if nowUs-d.requestedUs >= departureRetryUs {
			return true
		}
	}
	return false
}

// addDepartureRequests adds to a message the leavings that a peer has not confirmed.
func (c *Core) addDepartureRequests(nowUs int64, peer string, message *peering.Gossip) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		d := c.soft.departures[id]
		if d.knownBy[peer] || nowUs-d.requestedUs < departureRetryUs {
			continue
		}
		message.ConfirmDraining = append(message.ConfirmDraining, id)
		if !slices.ContainsFunc(message.Observations, func(n registry.GossipEntry) bool { return n.ID == id }) {
			message.Observations = append(message.Observations, c.soft.Registry.GossipOf(nowUs, id)...)
		}
	}
}

func (c *Core) departuresRequested(nowUs int64) {
	for _, d := range c.soft.departures {
		if nowUs-d.requestedUs >= departureRetryUs {
			d.requestedUs = nowUs
		}
	}
}

// confirmDepartures tells another control node which of the leavings that it asks about are known here.
func (c *Core) confirmDepartures(h peering.Gossip) {
	known := peering.DrainConfirmation{Sender: c.Node.Self().ID, Incarnation: h.Incarnation}
	for _, id := range h.ConfirmDraining {
		if e := c.soft.Registry.Entry(id); e != nil && (e.Removed || e.Draining) {
			known.Draining = append(known.Draining, peering.KnownDraining{ID: id, Removed: e.Removed})
		}
	}
	if len(known.Draining) == 0 {
		return
	}
	for _, p := range c.Node.Peers() {
		if p.Member.ID == h.Sender {
			c.send(p.Member.Addr, peering.Message{DrainConfirmation: &known})
		}
	}
}

// departuresConfirmed takes another control node's word that it knows of leavings.
func (c *Core) departuresConfirmed(nowUs int64, known peering.DrainConfirmation) {
	if known.Incarnation != c.Node.Incarnation() {
		return
	}
	for _, message := range known.Draining {
		if d := c.soft.departures[message.ID]; d != nil && (message.Removed || !d.removed) {
			d.knownBy[known.Sender] = true
			c.resolveDeparture(nowUs, message.ID)
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
	known := c.Node.HasQuorum(func(voter string) bool { return d.knownBy[voter] })
	if !known && nowUs-d.sinceUs < departureTimeoutUs {
		return
	}
	delete(c.soft.departures, id)
	for _, reply := range d.replies {
		c.acknowledge(reply, known)
	}
}
