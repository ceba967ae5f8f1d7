package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// orderRetryUs is the time without an answer after which an order is sent again. The replica recognizes the repeat by its
// command number.
const orderRetryUs = 600 * clock.Ms

// declaredOrders records by command number when each command was last sent to its replica.
type declaredOrders struct {
	sentUs map[uint64]int64
}

// sendDue reports whether a command should be sent now, and if so records the time.
func (o *declaredOrders) sendDue(nowUs int64, number uint64) bool {
	sentUs, sent := o.sentUs[number]
	if sent && nowUs-sentUs < orderRetryUs {
		return false
	}
	o.sentUs[number] = nowUs
	return true
}

// sendOrders sends the pending commands that their replicas have not acknowledged yet. A repeated command keeps its number,
// so that a replica that already has it answers with its state instead of carrying it out again.
func (c *Controller) sendOrders(snapshot Snapshot) {
	s := snapshot.State
	for _, id := range sortedKeys(s.Pending) {
		command := s.Pending[id]
		tracked := c.replicas.stateFor(command)
		if tracked == nil || c.replicas.hasAcknowledged(command) || !c.declared.orders.sendDue(snapshot.NowUs, command.Number) {
			continue
		}
		c.emit(SendOrder{Addr: tracked.addr, Order: wire.Order{Command: command, Epoch: s.Epoch}})
	}
}
