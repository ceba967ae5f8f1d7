package controlnode

import (
	"context"
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/process/clock"
)

const (
	// leaveWaitUs is how long a replica's word that it leaves may wait for a quorum; the replica itself goes on
	// to another control node after a second.
	leaveWaitUs  = 700 * clock.Ms
	leaveAgainUs = 150 * clock.Ms
)

// WordReply answers what a replica said of itself. OK acknowledges it; without, the replica goes on to another
// control node, though what it said is known here.
type WordReply struct {
	Reply uint64
	OK    bool
}

// departure is a replica's word that it leaves, or has left, until a quorum of control nodes knows of it. A replica
// whose leaving was acknowledged soon ends, so a control node that is cut off must not acknowledge it alone.
type departure struct {
	gone    bool
	sinceUs int64
	askedUs int64
	replies []uint64
	knownBy map[string]bool
}

// word takes what a replica says of itself. That it is there is acknowledged by a control node in contact with a
// quorum; that it leaves, only once a quorum knows.
func (c *Core) word(nowUs int64, row registry.ReplicaStatus, reply uint64) {
	c.heard(nowUs, row)
	if row.Draining || row.RemainingMs > 0 {
		c.departs(nowUs, row.ID, false, reply)
		return
	}
	c.reply(reply, c.Node.HasQuorumContact(nowUs))
}

// left takes the word that a replica's incarnation has ended.
func (c *Core) left(nowUs int64, id string, reply uint64) {
	c.gone(nowUs, id)
	c.departs(nowUs, id, true, reply)
}

func (c *Core) reply(reply uint64, ok bool) {
	if reply != 0 {
		c.effects = append(c.effects, Effect{Word: &WordReply{Reply: reply, OK: ok}})
	}
}

func (c *Core) departs(nowUs int64, id string, gone bool, reply uint64) {
	if reply == 0 {
		return
	}
	d := c.soft.departures[id]
	if d == nil {
		d = &departure{}
		c.soft.departures[id] = d
	}
	if gone && !d.gone || d.knownBy == nil {
		d.gone, d.knownBy = d.gone || gone, map[string]bool{}
	}
	d.sinceUs, d.askedUs = nowUs, 0
	d.replies = append(d.replies, reply)
	c.settleDeparture(nowUs, id)
}

// departuresDue: other control nodes must be asked, or asked again, whether they know of a leaving.
func (c *Core) departuresDue(nowUs int64) bool {
	for _, d := range c.soft.departures {
		if nowUs-d.askedUs >= leaveAgainUs {
			return true
		}
	}
	return false
}

// askAbout adds to a message the leavings that a peer has not confirmed.
func (c *Core) askAbout(nowUs int64, peer string, message *wire.Gossip) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		d := c.soft.departures[id]
		if d.knownBy[peer] || nowUs-d.askedUs < leaveAgainUs {
			continue
		}
		message.ConfirmDraining = append(message.ConfirmDraining, id)
		if !slices.ContainsFunc(message.Observations, func(n registry.GossipEntry) bool { return n.ID == id }) {
			message.Observations = append(message.Observations, c.soft.Roster.GossipOf(nowUs, id)...)
		}
	}
}

func (c *Core) askedAbout(nowUs int64) {
	for _, d := range c.soft.departures {
		if nowUs-d.askedUs >= leaveAgainUs {
			d.askedUs = nowUs
		}
	}
}

// confirm tells another control node which of the leavings that it asks about are known here.
func (c *Core) confirm(h wire.Gossip) {
	known := wire.DrainConfirmation{By: c.Node.Self().ID, Incarnation: h.Incarnation}
	for _, id := range h.ConfirmDraining {
		if e := c.soft.Roster.Entry(id); e != nil && (e.Removed || e.Draining) {
			known.Draining = append(known.Draining, wire.KnownDraining{ID: id, Removed: e.Removed})
		}
	}
	if len(known.Draining) == 0 {
		return
	}
	for _, p := range c.Node.Peers() {
		if p.Member.ID == h.By {
			c.send(p.Member.Addr, wire.Message{DrainConfirmation: &known})
		}
	}
}

// confirmed takes another control node's word that it knows of leavings.
func (c *Core) confirmed(nowUs int64, known wire.DrainConfirmation) {
	if known.Incarnation != c.Node.Incarnation() {
		return
	}
	for _, l := range known.Draining {
		if d := c.soft.departures[l.ID]; d != nil && (l.Removed || !d.gone) {
			d.knownBy[known.By] = true
			c.settleDeparture(nowUs, l.ID)
		}
	}
}

// settleDepartures ends the waits that have lasted too long.
func (c *Core) settleDepartures(nowUs int64) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		c.settleDeparture(nowUs, id)
	}
}

func (c *Core) settleDeparture(nowUs int64, id string) {
	d := c.soft.departures[id]
	known := c.Node.HasQuorum(func(voter string) bool { return d.knownBy[voter] })
	if !known && nowUs-d.sinceUs < leaveWaitUs {
		return
	}
	delete(c.soft.departures, id)
	for _, reply := range d.replies {
		c.reply(reply, known)
	}
}

// Heard takes what a replica says of itself; true acknowledges it. It is known here all the same where this
// control node is out of contact and cannot acknowledge it.
func (h *Host) Heard(ctx context.Context, row registry.ReplicaStatus) bool {
	return h.word(ctx, Event{Heard: &row})
}

// Left takes the word that a replica's incarnation has ended; true acknowledges it.
func (h *Host) Left(ctx context.Context, id string) bool { return h.word(ctx, Event{Left: id}) }

func (h *Host) word(ctx context.Context, ev Event) bool {
	reply := make(chan bool, 1)
	var number uint64
	if !h.act.Do(ctx, func() {
		h.replySeq++
		number, ev.Reply = h.replySeq, h.replySeq
		h.words[number] = reply
		h.step(ev)
	}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
	case <-h.act.Ctx.Done():
	}
	return false
}
