package controlnode

import (
	"fmt"
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// departureTimeoutUs is how long a departure may wait to be recorded; the replica itself turns to another control node after
	// one second.
	departureTimeoutUs = 700 * clock.Ms
	// departureResubmitIntervalUs is the interval at which a departure that has no result is submitted again.
	departureResubmitIntervalUs = 150 * clock.Ms
)

// departure is the report that a replica is draining or has ended, until its record in the replicated state is durable. It is
// acknowledged only then: a replica goes on serving after the acknowledgement, and no one else will say that it is leaving if the
// control nodes lose their memory.
type departure struct {
	report statemachine.Departure
	// startedUs is when the departure was last reported, and submittedUs when it was last submitted to the chain; 0 means that it
	// was not submitted yet.
	startedUs   int64
	submittedUs int64
	// replyIDs are the callers that wait for the acknowledgement.
	replyIDs []uint64
	// committed is set by the result of the change that records the departure.
	committed bool
}

// handleReplicaHeartbeat records a replica's heartbeat. The heartbeat of a replica that stays is acknowledged if this control
// node is in contact with a quorum; that of a draining replica only once it is durable that it drains.
func (c *Core) handleReplicaHeartbeat(nowUs int64, status registry.ReplicaStatus, reply uint64) {
	c.recordHeartbeat(nowUs, status)
	if status.Draining || status.RemainingMs > 0 {
		c.startDeparture(nowUs, statemachine.Departure{
			ID: status.ID, Service: status.Service, Addr: status.Addr, Zone: status.Zone, Slots: status.Slots, Units: status.Units,
			RemainingMs: status.RemainingMs, Seq: status.Seq,
		}, reply)
		return
	}
	c.acknowledge(reply, c.Node.HasQuorumContact(nowUs))
}

// handleReplicaDeregistration records that a replica's incarnation has ended. It is acknowledged once that is durable.
func (c *Core) handleReplicaDeregistration(nowUs int64, id string, reply uint64) {
	c.recordDeregistration(nowUs, id)
	c.startDeparture(nowUs, statemachine.Departure{ID: id, Ended: true}, reply)
}

// acknowledge answers the caller with this reply ID, if any.
func (c *Core) acknowledge(reply uint64, ok bool) {
	if reply != 0 {
		c.effects = append(c.effects, AcknowledgeReplica{ReplyID: reply, OK: ok})
	}
}

// startDeparture adds a caller to the departure of a replica, which it starts if necessary. The end of a replica replaces the report
// that it drains. Without a caller to answer nothing has to be recorded.
func (c *Core) startDeparture(nowUs int64, report statemachine.Departure, reply uint64) {
	if reply == 0 {
		return
	}
	d := c.soft.departures[report.ID]
	if d == nil {
		d = &departure{report: report}
		c.soft.departures[report.ID] = d
	}
	if !d.report.Covers(report.Ended) {
		d.report, d.submittedUs, d.committed = report, 0, false
	}
	d.startedUs = nowUs
	d.replyIDs = append(d.replyIDs, reply)
	c.resolveDeparture(nowUs, report.ID)
}

// resolveDepartures resolves the departures that are durable or have waited for longer than departureTimeoutUs, and submits the
// others again that are due.
func (c *Core) resolveDepartures(nowUs int64) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		c.resolveDeparture(nowUs, id)
	}
}

// resolveDeparture answers the callers of a departure that is durable, or that has timed out, and forgets it. Otherwise it submits
// the departure if that is due.
func (c *Core) resolveDeparture(nowUs int64, id string) {
	d := c.soft.departures[id]
	if d == nil {
		return
	}
	durable := d.committed || c.isDepartureDurable(d.report)
	if !durable && nowUs-d.startedUs < departureTimeoutUs {
		if d.submittedUs == 0 || nowUs-d.submittedUs >= departureResubmitIntervalUs {
			d.submittedUs = nowUs
			report := d.report
			c.stepChain(nowUs, chain.ChangeSubmitted{Change: &statemachine.Change{ID: departureChangeID(report), Origin: c.Node.Self().Addr, Departure: &report}})
		}
		return
	}
	delete(c.soft.departures, id)
	c.effects = append(c.effects, LogMessage{Message: "departure", Detail: fmt.Sprintf("%s ended=%t acknowledged=%t", id, d.report.Ended, durable)})
	for _, reply := range d.replyIDs {
		c.acknowledge(reply, durable)
	}
}

// isDepartureDurable reports whether a departure that covers the report is recorded in the replicated state, on the disks of all
// members of the view.
func (c *Core) isDepartureDurable(report statemachine.Departure) bool {
	known, recorded := c.Node.State().Departures[report.ID]
	return recorded && known.Covers(report.Ended) && c.Node.IsDurable(known.Index)
}

// departureChangeID returns the ID of the change that records a departure.
func departureChangeID(report statemachine.Departure) string {
	if report.Ended {
		return "ended-" + report.ID
	}
	return "draining-" + report.ID
}

// handleResult passes the result of a change to those that wait for it on this control node.
func (c *Core) handleResult(nowUs int64, result *wire.Result) {
	for _, id := range slices.Sorted(maps.Keys(c.soft.departures)) {
		d := c.soft.departures[id]
		if result.Outcome.Fault == nil && result.Outcome.ID == departureChangeID(d.report) {
			d.committed = true
			c.resolveDeparture(nowUs, id)
			return
		}
	}
	c.effects = append(c.effects, DeliverResult{Result: result})
}

// restoreDepartures brings into the registry what the replicated state knows of replicas that drain or have ended: after a start,
// after a snapshot, and from other control nodes.
func (c *Core) restoreDepartures(nowUs int64) {
	state := c.Node.State()
	if state.DeparturesIndex <= c.soft.restoredDepartures {
		return
	}
	for _, id := range state.DepartureIDs {
		d := state.Departures[id]
		if d.Index <= c.soft.restoredDepartures {
			continue
		}
		status := registry.ReplicaStatus{ID: d.ID, Service: d.Service, Addr: d.Addr, Zone: d.Zone, Slots: d.Slots, Units: d.Units,
			Draining: !d.Ended, Removed: d.Ended, RemainingMs: d.RemainingMs, Seq: d.Seq}
		if c.soft.Registry.RestoreDeparture(nowUs, status) {
			c.soft.gossipPending = true
		}
	}
	c.soft.restoredDepartures = state.DeparturesIndex
}

// confirmDepartures tells another control node which of the departures that it asks about are known here. Only control nodes of a
// build that does not record departures ask.
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
