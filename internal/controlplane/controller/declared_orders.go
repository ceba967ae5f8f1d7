package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// orderRetryUs is how long the answer to an order is waited for before it is sent again; the replica knows it by its number.
const orderRetryUs = 600 * clock.Ms

// declaredOrders is when each command was last sent to its replica, by number.
type declaredOrders struct {
	sentUs map[uint64]int64
}

// sendDue says whether a command is to be sent now.
func (o *declaredOrders) sendDue(nowUs int64, number uint64) bool {
	sentUs, sent := o.sentUs[number]
	if sent && nowUs-sentUs < orderRetryUs {
		return false
	}
	o.sentUs[number] = nowUs
	return true
}

// sendOrders sends what the replicated state holds and the replica has not taken yet. The command keeps its number, so that
// a replica which did take it answers with its state instead of doing it again.
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
