package distribution

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

const (
	// GatewayLeaseUs is how long a gateway may act on an update after it asked for the lease.
	GatewayLeaseUs = 1200 * clock.Ms
	// maxUpdateLagUs is how long a gateway may lack the newest update before it gets no lease: half a lease.
	maxUpdateLagUs = 600 * clock.Ms
	// listCheckGraceUs is how long a new tail waits for the controller to read the platform's list before it gives leases
	// without: the platform may be down.
	listCheckGraceUs = 1000 * clock.Ms
	// gatewayRetentionUs is when a gateway that reports nothing is forgotten, once its lease has ended.
	gatewayRetentionUs = 30 * clock.Sec
	// ringMemberUs is how long after its last report a gateway stays on the failure detector's ring.
	ringMemberUs = gatewayRetentionUs / 10
)

// subscriber is a gateway's process as the tail knows it.
type subscriber struct {
	incarnation string
	zone        string
	addr        string
	// following says that it has asked for the stream, and not only for leases.
	subscribed bool
	// acked is the number of the newest update it acknowledged, and pushed of the newest sent; 0 for none.
	acked  uint64
	pushed uint64
	// revision is the declaration that it has; it is not sent again.
	revision uint64
	// behindSinceUs is since when it lacks the newest update; 0 where it has it.
	behindSinceUs int64
	// leaseEndUs is when the last lease that it may have ends.
	leaseEndUs   int64
	lastReportUs int64
}

// UpdatePublisher pushes numbered updates to gateways, gives their leases, and keeps operators' results until every
// gateway has acknowledged or its lease has ended. It is active at the chain's tail alone.
type UpdatePublisher struct {
	active bool
	// activeSinceUs is when it became active last.
	activeSinceUs int64
	gateways      map[string]*subscriber
	pending       []pendingResult
}

// UpdatePush is an update for one gateway.
type UpdatePush struct {
	Gateway string
	Update  wire.GatewayUpdate
}

// NewUpdatePublisher returns a publisher that is inactive until SetActive.
func NewUpdatePublisher() *UpdatePublisher {
	return &UpdatePublisher{gateways: map[string]*subscriber{}}
}

// SetActive starts the publisher at the chain's tail and stops it elsewhere. A stopped one forgets its gateways and
// pending results: their callers time out, and the next tail waits for the leases.
func (p *UpdatePublisher) SetActive(nowUs int64, active bool) {
	if active == p.active {
		return
	}
	p.active = active
	if active {
		p.activeSinceUs = nowUs
		return
	}
	p.pending = nil
	p.gateways = map[string]*subscriber{}
}

// Follow begins a gateway's stream; false where this control node is not the tail. A process that it does not know may
// hold a lease of the former tail, which runs for another GatewayLeaseUs at most.
func (p *UpdatePublisher) Subscribe(nowUs int64, request wire.SubscribeRequest) bool {
	if !p.active {
		return false
	}
	gateway := p.gateways[request.Gateway]
	if gateway == nil || gateway.incarnation != request.Incarnation {
		leaseEndUs := nowUs + GatewayLeaseUs
		if gateway != nil {
			leaseEndUs = max(leaseEndUs, gateway.leaseEndUs)
		}
		gateway = &subscriber{incarnation: request.Incarnation, leaseEndUs: leaseEndUs}
		p.gateways[request.Gateway] = gateway
	}
	gateway.subscribed, gateway.revision, gateway.pushed, gateway.acked = true, request.Revision, 0, 0
	gateway.zone, gateway.addr, gateway.lastReportUs = request.Zone, request.Addr, nowUs
	return true
}

// Report takes a gateway's report, acknowledges what it has, and returns a lease, or none where the gateway is not
// up to date. checked says that the controller has read the platform's list in this view; a new tail waits listCheckGraceUs
// for it, so that no gateway acts on a list whose notices went unread meanwhile.
func (p *UpdatePublisher) Report(nowUs int64, view uint64, newest uint64, checked bool, report wire.Report) wire.Lease {
	refusal := wire.Lease{View: view}
	if !p.active {
		return refusal
	}
	gateway := p.gateways[report.Gateway]
	if gateway == nil || gateway.incarnation != report.Incarnation {
		return refusal
	}
	gateway.lastReportUs = nowUs
	gateway.acked = max(gateway.acked, report.Number)
	gateway.revision = report.Revision
	if gateway.acked >= newest {
		gateway.behindSinceUs = 0
	} else if gateway.behindSinceUs == 0 {
		gateway.behindSinceUs = nowUs
	}
	behind := gateway.behindSinceUs > 0 && (nowUs >= gateway.leaseEndUs || nowUs-gateway.behindSinceUs > maxUpdateLagUs)
	listUnchecked := !checked && nowUs-p.activeSinceUs < listCheckGraceUs
	if !gateway.subscribed || gateway.acked == 0 || behind || listUnchecked {
		return refusal
	}
	gateway.leaseEndUs = nowUs + GatewayLeaseUs
	return wire.Lease{OK: true, View: view, SentUs: report.SentUs, LeaseUs: GatewayLeaseUs, Number: newest}
}

// Ring returns every node that watches and is watched: the view's control nodes and the gateways that report.
func (p *UpdatePublisher) Ring(nowUs int64, view chain.View) []failuredetector.Node {
	ring := []failuredetector.Node{}
	for _, s := range view.Replicas {
		ring = append(ring, failuredetector.Node{ID: s.ID, Addr: s.Addr})
	}
	for _, id := range p.gatewayIDs() {
		if gateway := p.gateways[id]; nowUs-gateway.lastReportUs < ringMemberUs {
			ring = append(ring, failuredetector.Node{ID: id, Addr: gateway.addr})
		}
	}
	return ring
}

// Updates returns the updates that have not been pushed yet, each once.
func (p *UpdatePublisher) Updates(s *statemachine.State, view chain.View) []UpdatePush {
	if !p.active {
		return nil
	}
	pushes := []UpdatePush{}
	for _, id := range p.gatewayIDs() {
		gateway := p.gateways[id]
		if !gateway.subscribed || (gateway.pushed >= s.UpdateIndex && gateway.pushed > 0) {
			continue
		}
		update := BuildUpdate(s, view.Number, id, gateway.incarnation, gateway.revision)
		gateway.pushed = max(update.Number, 1)
		pushes = append(pushes, UpdatePush{Gateway: id, Update: update})
	}
	return pushes
}

// GatewayStatus is one gateway as the status page shows it.
type GatewayStatus struct {
	Gateway    string `json:"desk"`
	Zone       string `json:"zone"`
	Addr       string `json:"addr"`
	Subscribed bool   `json:"following"`
	// Acked is the number of the newest update that it acknowledged.
	Acked uint64 `json:"acked"`
	// LeaseMs is how long its lease still runs, in ms; 0 where it has none.
	LeaseMs int64 `json:"leaseMs"`
}

// Gateways returns all gateways that are not forgotten, in order.
func (p *UpdatePublisher) Gateways(nowUs int64) []GatewayStatus {
	statuses := []GatewayStatus{}
	for _, id := range p.gatewayIDs() {
		gateway := p.gateways[id]
		statuses = append(statuses, GatewayStatus{id, gateway.zone, gateway.addr, gateway.subscribed, gateway.acked, max(0, gateway.leaseEndUs-nowUs) / 1000})
	}
	return statuses
}

func (p *UpdatePublisher) gatewayIDs() []string {
	return slices.Sorted(maps.Keys(p.gateways))
}
