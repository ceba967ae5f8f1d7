package controlnode

import (
	"context"
	"strconv"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/process/rpc"
)

// bulkWait is how long a whole state may take to be sent and read.
const bulkWait = 30 * time.Second

// bulkSend is a whole state on its way to a peer.
type bulkSend struct {
	// reader is the incarnation or the view that it is meant for.
	reader string
	cancel context.CancelFunc
}

// readerOf names the one that a whole state is meant for: another incarnation of the same peer, or the same in another
// view, needs another.
func readerOf(m *chain.Msg) string {
	if m.InstallSnapshot != nil {
		return m.ToID + "/" + m.InstallSnapshot.Incarnation
	}
	return m.ToID + "/" + strconv.FormatUint(m.Forward.View, 10)
}

// sendBulk sends a whole state beside the other messages, one at a time to each peer. One that is on its way to an
// incarnation that has ended hangs for as long as nothing answers: the next incarnation does not wait for it.
func (h *Host) sendBulk(addr string, l wire.Message) {
	reader := readerOf(l.Chain)
	if running := h.bulk[addr]; running != nil {
		if running.reader == reader {
			return
		}
		running.cancel()
	}
	ctx, cancel := context.WithTimeout(h.act.Ctx, bulkWait)
	send := &bulkSend{reader, cancel}
	h.bulk[addr] = send
	h.act.Spawn(func() {
		defer cancel()
		_, _ = rpc.NewCaller[wire.Batch, wire.Ack](h.inner, addr, rpc.BatchPath).Call(ctx, &wire.Batch{Messages: []wire.Message{l}})
		h.act.Tell(func() {
			if h.bulk[addr] == send {
				delete(h.bulk, addr)
			}
		})
	})
}
