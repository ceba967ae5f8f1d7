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

// stateTransferTimeout is how long a whole state may take to be sent and read.
const stateTransferTimeout = 30 * time.Second

// stateTransfer is a whole state on its way to a peer.
type stateTransfer struct {
	// recipient is the incarnation or the view that it is meant for.
	recipient string
	cancel    context.CancelFunc
}

// recipientOf names the one that a whole state is meant for: another incarnation of the same peer, or the same in another
// view, needs another.
func recipientOf(m *chain.Msg) string {
	if m.InstallSnapshot != nil {
		return m.ToID + "/" + m.InstallSnapshot.Incarnation
	}
	return m.ToID + "/" + strconv.FormatUint(m.Forward.View, 10)
}

// sendState sends a whole state beside the other messages, one at a time to each peer. One that is on its way to an
// incarnation that has ended hangs for as long as nothing answers: the next incarnation does not wait for it.
func (h *Host) sendState(addr string, message peering.Message) {
	reader := recipientOf(message.Chain)
	if running := h.transfers[addr]; running != nil {
		if running.recipient == reader {
			return
		}
		running.cancel()
	}
	ctx, cancel := context.WithTimeout(h.act.Ctx, stateTransferTimeout)
	send := &stateTransfer{reader, cancel}
	h.transfers[addr] = send
	h.act.Spawn(func() {
		defer cancel()
		_, _ = rpc.NewCaller[peering.Batch, wire.Ack](h.peerClient, addr, rpc.BatchPath).Call(ctx, &peering.Batch{Messages: []peering.Message{message}})
		h.act.Tell(func() {
			if h.transfers[addr] == send {
				delete(h.transfers, addr)
			}
		})
	})
}
