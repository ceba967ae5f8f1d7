package controlnode

import (
	"context"

	"petreltide/internal/controlplane/registry"
)

// HandleHeartbeat takes what a replica says of itself; true acknowledges it. It is known here all the same where this
// control node is out of contact and cannot acknowledge it.
func (h *Host) HandleHeartbeat(ctx context.Context, status registry.ReplicaStatus) bool {
	return h.awaitAcknowledgement(ctx, func(reply uint64) Event { return ReplicaHeartbeat{Status: &status, ReplyID: reply} })
}

// HandleDeregistration takes the word that a replica's incarnation has ended; true acknowledges it.
func (h *Host) HandleDeregistration(ctx context.Context, id string) bool {
	return h.awaitAcknowledgement(ctx, func(reply uint64) Event { return ReplicaDeregistration{ID: id, ReplyID: reply} })
}

// awaitAcknowledgement gives the reducer the event made for a new reply number and waits for its answer.
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
