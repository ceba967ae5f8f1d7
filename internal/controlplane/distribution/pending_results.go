package distribution

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// maxPendingResults bounds the results that wait for acknowledgements.
const maxPendingResults = 256

// pendingResult is a result that waits for the gateways to acknowledge an update.
type pendingResult struct {
	origin string
	result wire.Result
	// number is the update's.
	number uint64
}

// ReleasedResult is a result that may go out now.
type ReleasedResult struct {
	// Origin is the address of the control node whose caller waits for it.
	Origin string
	Result wire.Result
}

// AwaitAcknowledgements keeps an operator's result until every gateway has the update of a number. Beyond
// maxPendingResults it is dropped, and its caller times out.
func (p *UpdatePublisher) AwaitAcknowledgements(origin string, out statemachine.Outcome, number uint64) {
	if !p.active || len(p.pending) >= maxPendingResults {
		return
	}
	p.pending = append(p.pending, pendingResult{origin: origin, result: wire.Result{Outcome: out, OnAllGateways: true}, number: number})
}

// ReleasedResults returns, once, the results whose update every gateway has acknowledged or can't act without any more,
// as its lease has ended. It also forgets gateways that report nothing.
func (p *UpdatePublisher) ReleasedResults(nowUs int64) []ReleasedResult {
	if !p.active {
		return nil
	}
	released := []ReleasedResult{}
	waiting := p.pending[:0]
	for _, pending := range p.pending {
		if p.acknowledgedByAll(nowUs, pending.number) {
			released = append(released, ReleasedResult{Origin: pending.origin, Result: pending.result})
		} else {
			waiting = append(waiting, pending)
		}
	}
	p.pending = waiting
	for id, gateway := range p.gateways {
		if nowUs-gateway.lastReportUs > gatewayRetentionUs && nowUs > gateway.leaseEndUs {
			delete(p.gateways, id)
		}
	}
	return released
}

// acknowledgedByAll reports whether no gateway may act on an older update. A new tail does not know the gateways and leases
// of the former one: it waits for as long as a lease runs.
func (p *UpdatePublisher) acknowledgedByAll(nowUs int64, number uint64) bool {
	if nowUs-p.activeSinceUs < GatewayLeaseUs {
		return false
	}
	for _, gateway := range p.gateways {
		if gateway.acked < number && nowUs < gateway.leaseEndUs {
			return false
		}
	}
	return true
}
