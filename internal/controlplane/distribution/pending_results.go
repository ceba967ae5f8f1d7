package distribution

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// maxPendingResults is the maximum number of results that wait for acknowledgements.
const maxPendingResults = 256

// pendingResult is the result of an operator's request that waits until the gateways have acknowledged an update.
type pendingResult struct {
	origin string
	result wire.Result
	// number is the number of the update.
	number uint64
}

// ReleasedResult is a result that may be returned to its caller.
type ReleasedResult struct {
	// Origin is the address of the control node at which the caller waits for the result.
	Origin string
	Result wire.Result
}

// AwaitAcknowledgements holds an operator's result back until every gateway has the update with the given number. If
// maxPendingResults are already waiting, the result is dropped and its caller times out.
func (p *UpdatePublisher) AwaitAcknowledgements(origin string, out statemachine.Outcome, number uint64) {
	if !p.active || len(p.pending) >= maxPendingResults {
		return
	}
	p.pending = append(p.pending, pendingResult{origin: origin, result: wire.Result{Outcome: out, OnAllGateways: true}, number: number})
}

// ReleasedResults returns, once, the results whose update every gateway has acknowledged, or has no lease to act without. It also
// deletes gateways that have stopped reporting and whose lease has ended.
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

// acknowledgedByAll reports whether no gateway may act on an update older than number. A new tail does not know the gateways and
// leases of its predecessor, so it waits for the length of a lease first.
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
