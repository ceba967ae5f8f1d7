package controlnode

import (
	"context"

	"petreltide/internal/controlplane/registry"
)

// HandleHeartbeat records a replica's heartbeat and reports whether it is acknowledged. A control node without contact to a
// quorum records the heartbeat but does not acknowledge it.
func (h *Host) HandleHeartbeat(ctx context.Context, status registry.ReplicaStatus) bool {
	return h.awaitAcknowledgement(ctx, func(reply uint64) Event { return ReplicaHeartbeat{Status: &status, ReplyID: reply} })
}

// HandleDeregistration records that a replica's incarnation has ended, and reports whether that is acknowledged.
func (h *Host) HandleDeregistration(ctx context.Context, id string) bool {
	return h.awaitAcknowledgement(ctx, func(reply uint64) Event { return ReplicaDeregistration{ID: id, ReplyID: reply} })
}

// awaitAcknowledgement passes the core the event made for a new reply ID and waits for the reply.
func (h *Host) awaitAcknowledgement(ctx context.Context, event func(reply uint64) Event) bool {
	reply := make(chan bool, 1)
	var replyID uint64
	if !h.actor.Do(ctx, func() {
		h.lastReplyID++
		replyID = h.lastReplyID
		h.acknowledgements[replyID] = reply
		h.step(event(replyID))
	}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
	case <-h.actor.Ctx.Done():
	}
	return false
}
