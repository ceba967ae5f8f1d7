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
	// GatewayLeaseUs is the length of a gateway's lease, in microseconds from when the gateway requested it. A gateway may act on
	// an update only while it holds a lease.
	GatewayLeaseUs = 1200 * clock.Ms
	// maxUpdateLagUs is how long a gateway may lack the newest update before it is refused a lease: half the length of a lease.
	maxUpdateLagUs = 600 * clock.Ms
	// listCheckGraceUs is how long a new tail refuses leases until the controller has read the platform's list. After that it
	// grants leases regardless, as the platform may be down.
	listCheckGraceUs = 1000 * clock.Ms
	// gatewayRetentionUs is how long a gateway is kept after its last report; it is kept longer while its lease runs.
	gatewayRetentionUs = 30 * clock.Sec
	// ringMemberUs is how long a gateway stays on the failure detector's ring after its last report.
	ringMemberUs = gatewayRetentionUs / 10
)

// subscriber is the process of a gateway as the tail knows it.
type subscriber struct {
	incarnation string
	zone        string
	addr        string
	// subscribed reports that the gateway has requested the stream of updates, and not only leases.
	subscribed bool
	// acked is the number of the newest update that the gateway has acknowledged, and pushed that of the newest update sent to
	// it; 0 means none.
	acked  uint64
	pushed uint64
	// revision is the revision of the declaration that the gateway has; that declaration is not sent again.
	revision uint64
	// behindSinceUs is the time since which the gateway lacks the newest update; 0 if it has that update.
	behindSinceUs int64
	// leaseEndUs is the latest time at which a lease of the gateway may end.
	leaseEndUs   int64
	lastReportUs int64
}

// UpdatePublisher pushes numbered updates to gateways, grants their leases, and holds operators' results back until every gateway
// has acknowledged the update or its lease has ended. It is active at the chain's tail only.
type UpdatePublisher struct {
	active bool
	// activeSinceUs is the time at which the publisher last became active.
	activeSinceUs int64
	gateways      map[string]*subscriber
	pending       []pendingResult
}

// UpdatePush is an update for one gateway.
type UpdatePush struct {
	Gateway string
	Update  wire.GatewayUpdate
}

// NewUpdatePublisher returns a publisher that is inactive until SetActive is called.
func NewUpdatePublisher() *UpdatePublisher {
	return &UpdatePublisher{gateways: map[string]*subscriber{}}
}

// SetActive activates the publisher at the chain's tail and deactivates it elsewhere. Deactivation deletes its gateways and
// pending results: the callers time out, and the next tail waits until the leases have ended.
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

// Subscribe starts the stream of a gateway. It returns false if this control node is not the tail. A gateway process that is not
// known yet may hold a lease of the previous tail, which ends after GatewayLeaseUs at most.
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

// Report handles the report of a gateway: it records what the gateway has acknowledged, and returns a lease, or a refusal if the
// gateway is not up to date. checked reports that the controller has read the platform's list in this view. A new tail waits for
// that for up to listCheckGraceUs, so that no gateway acts on a list while the list's notices are unread.
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

// Ring returns the nodes of the failure detector's ring: the control nodes of the view and the gateways that report.
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

// Updates returns the updates that are due, each once.
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

// GatewayStatus is the status of one gateway on the status page.
type GatewayStatus struct {
	Gateway    string `json:"desk"`
	Zone       string `json:"zone"`
	Addr       string `json:"addr"`
	Subscribed bool   `json:"following"`
	// Acked is the number of the newest update that the gateway has acknowledged; 0 means none.
	Acked uint64 `json:"acked"`
	// LeaseMs is the remaining time of the gateway's lease in milliseconds; 0 if it has none.
	LeaseMs int64 `json:"leaseMs"`
}

// Gateways returns the status of all known gateways, sorted by ID.
func (p *UpdatePublisher) Gateways(nowUs int64) []GatewayStatus {
	statuses := []GatewayStatus{}
	for _, id := range p.gatewayIDs() {
		gateway := p.gateways[id]
		statuses = append(statuses, GatewayStatus{id, gateway.zone, gateway.addr, gateway.subscribed, gateway.acked, max(0, gateway.leaseEndUs-nowUs) / 1000})
	}
	return statuses
}

// gatewayIDs returns the IDs of all known gateways, sorted.
func (p *UpdatePublisher) gatewayIDs() []string {
	return slices.Sorted(maps.Keys(p.gateways))
}
