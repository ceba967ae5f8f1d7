package controlnode

import (
	"context"
	"errors"
	"syscall"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/process/rpc"
)

// send queues a message for the control node at addr, and drops it if the outbox is full. A message that carries a snapshot is
// sent separately. Messages to this control node itself are ignored.
func (h *Host) send(addr string, message peering.Message) {
	if addr == "" || addr == h.settings.Advertise {
		return
	}
	if message.Chain.CarriesSnapshot() {
		h.sendSnapshot(addr, message)
		return
	}
	outbox := h.outboxes[addr]
	if outbox == nil {
		outbox = make(chan peering.Message, outboxCapacity)
		h.outboxes[addr] = outbox
		h.actor.Spawn(func() { h.sendBatches(addr, outbox) })
	}
	select {
	case outbox <- message:
	default:
	}
}

// sendBatches sends the messages of an outbox in batches, in order, until the host stops. A batch that fails is not repeated.
func (h *Host) sendBatches(addr string, outbox chan peering.Message) {
	caller := rpc.NewCaller[peering.Batch, wire.Ack](h.peerClient, addr, rpc.BatchPath)
	for {
		batch := peering.Batch{}
		select {
		case <-h.actor.Ctx.Done():
			return
		case message := <-outbox:
			batch.Messages = append(batch.Messages, message)
		}
		for more := true; more && len(batch.Messages) < 128; {
			select {
			case message := <-outbox:
				batch.Messages = append(batch.Messages, message)
			default:
				more = false
			}
		}
		ctx, cancel := context.WithTimeout(h.actor.Ctx, time.Second)
		_, err := caller.Call(ctx, &batch)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.post(PeerConnectionRefused{Addr: addr})
		}
	}
}
