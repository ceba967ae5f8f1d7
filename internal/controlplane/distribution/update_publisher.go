package distribution

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/failuredetector"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// GatewayLeaseUs is how long a gateway may send by news after it asked for the lease.
	GatewayLeaseUs    = 1200 * clock.Ms
	maxBehindUs       = 600 * clock.Ms
	checkGraceUs      = 1000 * clock.Ms
	forgetUs          = 30 * clock.Sec
	maxPendingResults = 256
)

type subscriber struct {
	incarnation   string
	zone          string
	addr          string
	following     bool
	acked         uint64
	revision      uint64
	pushed        uint64
	behindSinceUs int64
	leaseEndUs    int64
	lastReportUs  int64
}

type pendingResult struct {
	origin string
	result wire.Result
	number uint64
}

// UpdatePublisher is the tail's: it pushes numbered news to gateways, gives their leases, and holds an
// operator's answer until every gateway has acknowledged or its lease has run out.
type UpdatePublisher struct {
	active        bool
	activeSinceUs int64
	gateways      map[string]*subscriber
	pending       []pendingResult
}

// UpdatePush is news for one gateway.
type UpdatePush struct {
	Gateway string
	Update  wire.GatewayUpdate
}

// ReleasedResult is an operator's answer that may go out now; Origin is who waits for it.
type ReleasedResult struct {
	Origin string
	Result wire.Result
}

// NewUpdatePublisher is a room that is closed, until Gate opens it.
func NewUpdatePublisher() *UpdatePublisher {
	return &UpdatePublisher{gateways: map[string]*subscriber{}}
}

// SetActive opens the room on the chain's tail and closes it elsewhere; a closed one forgets its gateways and answers.
func (p *UpdatePublisher) SetActive(nowUs int64, open bool) {
	if open == p.active {
		return
	}
	p.active = open
	if open {
		p.activeSinceUs = nowUs
		return
	}
	p.pending = nil
	p.gateways = map[string]*subscriber{}
}

// Follow begins a gateway's stream. False means that this control node is not the tail.
func (p *UpdatePublisher) Follow(nowUs int64, follow wire.SubscribeRequest) bool {
	if !p.active {
		return false
	}
	gateway := p.gateways[follow.Gateway]
	if gateway == nil || gateway.incarnation != follow.Incarnation {
		lapseUs := nowUs + GatewayLeaseUs
		if gateway != nil {
			lapseUs = max(lapseUs, gateway.leaseEndUs)
		}
		gateway = &subscriber{incarnation: follow.Incarnation, leaseEndUs: lapseUs}
		p.gateways[follow.Gateway] = gateway
	}
	gateway.following, gateway.revision, gateway.pushed, gateway.acked = true, follow.Revision, 0, 0
	gateway.zone, gateway.addr, gateway.lastReportUs = follow.Zone, follow.Addr, nowUs
	return true
}

// Report gives a lease. checked says that the controller has looked at the platform's list in this
// view; a new tail waits a little for it, so that no gateway sends by notices that went unseen meanwhile.
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
	behind := gateway.behindSinceUs > 0 && (nowUs >= gateway.leaseEndUs || nowUs-gateway.behindSinceUs > maxBehindUs)
	unseen := !checked && nowUs-p.activeSinceUs < checkGraceUs
	if !gateway.following || gateway.acked == 0 || behind || unseen {
		return refusal
	}
	gateway.leaseEndUs = nowUs + GatewayLeaseUs
	return wire.Lease{OK: true, View: view, SentUs: report.SentUs, LeaseUs: GatewayLeaseUs, Number: newest}
}

// Ring is every node that is watched or watches: the control nodes seated and the gateways that report.
func (p *UpdatePublisher) Ring(nowUs int64, view chain.View) []failuredetector.Node {
	ring := []failuredetector.Node{}
	for _, s := range view.Replicas {
		ring = append(ring, failuredetector.Node{ID: s.ID, Addr: s.Addr})
	}
	for _, id := range p.gatewayIDs() {
		if gateway := p.gateways[id]; nowUs-gateway.lastReportUs < forgetUs/10 {
			ring = append(ring, failuredetector.Node{ID: id, Addr: gateway.addr})
		}
	}
	return ring
}

// Updates are the news that gateways do not have yet, each once.
func (p *UpdatePublisher) Updates(s *statemachine.State, view chain.View) []UpdatePush {
	if !p.active {
		return nil
	}
	pushes := []UpdatePush{}
	for _, id := range p.gatewayIDs() {
		gateway := p.gateways[id]
		if !gateway.following || (gateway.pushed >= s.UpdateIndex && gateway.pushed > 0) {
			continue
		}
		update := BuildUpdate(s, view.Number, id, gateway.incarnation, gateway.revision)
		gateway.pushed = max(update.Number, 1)
		pushes = append(pushes, UpdatePush{Gateway: id, Update: update})
	}
	return pushes
}

// BuildUpdate is the whole news for one gateway; a declaration of at most this revision is left out, as the gateway has it.
func BuildUpdate(s *statemachine.State, view uint64, gateway, incarnation string, revision uint64) wire.GatewayUpdate {
	update := wire.GatewayUpdate{Number: max(s.UpdateIndex, 1), View: view, Epoch: s.Epoch, Revision: s.Revision}
	if s.Revision > revision {
		update.Declaration = s.Doc
	}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		row := wire.ReplicaUpdate{
			ID: r.ID, Incarnation: r.Incarnation, Addr: r.Addr, Zone: r.Zone, Draining: r.Draining, RemainingMs: r.RemainingMs, Unreachable: r.Unreachable, MaxInFlight: r.Quotas[gateway],
		}
		for unit := range r.Resident {
			row.Loaded = append(row.Loaded, unit)
		}
		sort.Strings(row.Loaded)
		if command, ok := s.Pending[id]; ok && command.Action == statemachine.Unload {
			row.Unloading = command.Unit
		}
		update.Replicas = append(update.Replicas, row)
		for unit := range r.Resident {
			g, ok := s.Grants[statemachine.Grant{Gateway: gateway, Replica: id, Model: unit}.Key()]
			if ok && g.GatewayIncarnation == incarnation && g.Incarnation == r.Incarnation {
				update.Grants = append(update.Grants, g)
			}
		}
	}
	sort.Slice(update.Grants, func(i, j int) bool { return update.Grants[i].Number < update.Grants[j].Number })
	return update
}

// AwaitAcknowledgements keeps an operator's answer until every gateway has the news of a number. Beyond a bound it is dropped, and whoever
// waits hears nothing.
func (p *UpdatePublisher) AwaitAcknowledgements(origin string, out statemachine.Outcome, number uint64) {
	if !p.active || len(p.pending) >= maxPendingResults {
		return
	}
	p.pending = append(p.pending, pendingResult{origin: origin, result: wire.Result{Outcome: out, OnAllGateways: true}, number: number})
}

// ReleasedResults are those that every gateway has, or whose gateways' leases have run out. They are not kept.
func (p *UpdatePublisher) ReleasedResults(nowUs int64) []ReleasedResult {
	if !p.active {
		return nil
	}
	released := []ReleasedResult{}
	waiting := p.pending[:0]
	for _, w := range p.pending {
		if p.acknowledgedByAll(nowUs, w.number) {
			released = append(released, ReleasedResult{Origin: w.origin, Result: w.result})
		} else {
			waiting = append(waiting, w)
		}
	}
	p.pending = waiting
	for id, gateway := range p.gateways {
		if nowUs-gateway.lastReportUs > forgetUs && nowUs > gateway.leaseEndUs {
			delete(p.gateways, id)
		}
	}
	return released
}

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

// GatewayStatus is one gateway as the status shows it.
type GatewayStatus struct {
	Gateway   string `json:"desk"`
	Zone      string `json:"zone"`
	Addr      string `json:"addr"`
	Following bool   `json:"following"`
	Acked     uint64 `json:"acked"`
	LeaseMs   int64  `json:"leaseMs"`
}

// Gateways are all gateways that reported lately, in order.
func (p *UpdatePublisher) Gateways(nowUs int64) []GatewayStatus {
	statuses := []GatewayStatus{}
	for _, id := range p.gatewayIDs() {
		gateway := p.gateways[id]
		statuses = append(statuses, GatewayStatus{id, gateway.zone, gateway.addr, gateway.following, gateway.acked, max(0, gateway.leaseEndUs-nowUs) / 1000})
	}
	return statuses
}

func (p *UpdatePublisher) gatewayIDs() []string {
	return slices.Sorted(maps.Keys(p.gateways))
}
