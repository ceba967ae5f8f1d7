package controlnode

import (
	"context"
	"strconv"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/process/rpc"
)

// snapshotTransferTimeout bounds sending a snapshot to a peer and its processing there.
const snapshotTransferTimeout = 30 * time.Second

// snapshotTransfer is a snapshot that is being sent to a peer.
type snapshotTransfer struct {
	// recipient is what snapshotRecipient returned for its message.
	recipient string
	cancel    context.CancelFunc
}

// snapshotRecipient identifies the recipient of the snapshot that a message carries: a peer in one incarnation, or in one view.
// Another incarnation of the peer, or the same one in another view, needs another snapshot.
func snapshotRecipient(m *chain.Msg) string {
	if m.InstallSnapshot != nil {
		return m.ToID + "/" + m.InstallSnapshot.Incarnation
	}
	return m.ToID + "/" + strconv.FormatUint(m.Forward.View, 10)
}

// sendSnapshot sends a message that carries a snapshot, concurrently with other messages and one at a time to each peer. A
// message for the recipient of the transfer in progress is dropped. One for another recipient cancels that transfer, which may
// hang until its timeout if its recipient has ended.
func (h *Host) sendSnapshot(addr string, message peering.Message) {
	recipient := snapshotRecipient(message.Chain)
	if running := h.snapshotTransfers[addr]; running != nil {
		if running.recipient == recipient {
			return
		}
		running.cancel()
	}
	ctx, cancel := context.WithTimeout(h.actor.Ctx, snapshotTransferTimeout)
	transfer := &snapshotTransfer{recipient, cancel}
	h.snapshotTransfers[addr] = transfer
	h.actor.Spawn(func() {
		defer cancel()
		_, _ = rpc.NewCaller[peering.Batch, wire.Ack](h.peerClient, addr, rpc.BatchPath).Call(ctx,
			&peering.Batch{Messages: []peering.Message{message}})
		h.actor.Tell(func() {
			if h.snapshotTransfers[addr] == transfer {
				delete(h.snapshotTransfers, addr)
			}
		})
	})
}
