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

func (h *Host) send(addr string, message peering.Message) {
	if addr == "" || addr == h.settings.Advertise {
		return
	}
	if message.Chain.CarriesSnapshot() {
		h.sendState(addr, message)
		return
	}
	box := h.outboxes[addr]
	if box == nil {
		box = make(chan peering.Message, outboxCapacity)
		h.outboxes[addr] = box
		h.act.Spawn(func() { h.deliverBatches(addr, box) })
	}
	select {
	case box <- message:
	default:
	}
}

func (h *Host) deliverBatches(addr string, box chan peering.Message) {
	caller := rpc.NewCaller[peering.Batch, wire.Ack](h.peerClient, addr, rpc.BatchPath)
	for {
		batch := peering.Batch{}
		select {
		case <-h.act.Ctx.Done():
			return
		case message := <-box:
			batch.Messages = append(batch.Messages, message)
		}
		for more := true; more && len(batch.Messages) < 128; {
			select {
			case message := <-box:
				batch.Messages = append(batch.Messages, message)
			default:
				more = false
			}
		}
		ctx, done := context.WithTimeout(h.act.Ctx, time.Second)
		_, err := caller.Call(ctx, &batch)
		done()
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.post(PeerConnectionRefused{Addr: addr})
		}
	}
}
