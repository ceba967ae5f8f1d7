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
func (r *UpdatePublisher) SetActive(nowUs int64, open bool) {
	if open == r.active {
		return
	}
	r.active = open
	if open {
		r.activeSinceUs = nowUs
		return
	}
	r.pending = nil
	r.gateways = map[string]*subscriber{}
}

// Follow begins a gateway's stream. False means that this control node is not the tail.
func (r *UpdatePublisher) Follow(nowUs int64, f wire.SubscribeRequest) bool {
	if !r.active {
		return false
	}
	d := r.gateways[f.Gateway]
	if d == nil || d.incarnation != f.Incarnation {
		lapseUs := nowUs + GatewayLeaseUs
		if d != nil {
			lapseUs = max(lapseUs, d.leaseEndUs)
		}
		d = &subscriber{incarnation: f.Incarnation, leaseEndUs: lapseUs}
		r.gateways[f.Gateway] = d
	}
	d.following, d.revision, d.pushed, d.acked = true, f.Revision, 0, 0
	d.zone, d.addr, d.lastReportUs = f.Zone, f.Addr, nowUs
	return true
}

// Report gives a lease. checked says that the controller has looked at the platform's list in this
// view; a new tail waits a little for it, so that no gateway sends by notices that went unseen meanwhile.
func (r *UpdatePublisher) Report(nowUs int64, view uint64, newest uint64, checked bool, p wire.Report) wire.Lease {
	no := wire.Lease{View: view}
	if !r.active {
		return no
	}
	d := r.gateways[p.Gateway]
	if d == nil || d.incarnation != p.Incarnation {
		return no
	}
	d.lastReportUs = nowUs
	d.acked = max(d.acked, p.Number)
	d.revision = p.Revision
	if d.acked >= newest {
		d.behindSinceUs = 0
	} else if d.behindSinceUs == 0 {
		d.behindSinceUs = nowUs
	}
	behind := d.behindSinceUs > 0 && (nowUs >= d.leaseEndUs || nowUs-d.behindSinceUs > maxBehindUs)
	unseen := !checked && nowUs-r.activeSinceUs < checkGraceUs
	if !d.following || d.acked == 0 || behind || unseen {
		return no
	}
	d.leaseEndUs = nowUs + GatewayLeaseUs
	return wire.Lease{OK: true, View: view, SentUs: p.SentUs, LeaseUs: GatewayLeaseUs, Number: newest}
}

// Ring is every node that is watched or watches: the control nodes seated and the gateways that report.
func (r *UpdatePublisher) Ring(nowUs int64, view chain.View) []failuredetector.Node {
	ring := []failuredetector.Node{}
	for _, s := range view.Order {
		ring = append(ring, failuredetector.Node{ID: s.ID, Addr: s.Addr})
	}
	for _, id := range r.gatewayIDs() {
		if d := r.gateways[id]; nowUs-d.lastReportUs < forgetUs/10 {
			ring = append(ring, failuredetector.Node{ID: id, Addr: d.addr})
		}
	}
	return ring
}

// Updates are the news that gateways do not have yet, each once.
func (r *UpdatePublisher) Updates(s *statemachine.State, view chain.View) []UpdatePush {
	if !r.active {
		return nil
	}
	pushes := []UpdatePush{}
	for _, id := range r.gatewayIDs() {
		d := r.gateways[id]
		if !d.following || (d.pushed >= s.UpdateIndex && d.pushed > 0) {
			continue
		}
		news := BuildUpdate(s, view.Number, id, d.incarnation, d.revision)
		d.pushed = max(news.Number, 1)
		pushes = append(pushes, UpdatePush{Gateway: id, Update: news})
	}
	return pushes
}

// BuildUpdate is the whole news for one gateway; a declaration of at most this revision is left out, as the gateway has it.
func BuildUpdate(s *statemachine.State, view uint64, gateway, incarnation string, revision uint64) wire.GatewayUpdate {
	news := wire.GatewayUpdate{Number: max(s.UpdateIndex, 1), View: view, Epoch: s.Epoch, Revision: s.Revision}
	if s.Revision > revision {
		news.Declaration = s.Doc
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
		if t, ok := s.Pending[id]; ok && t.Action == statemachine.Unload {
			row.Unloading = t.Unit
		}
		news.Replicas = append(news.Replicas, row)
		for unit := range r.Resident {
			g, ok := s.Grants[statemachine.Grant{Gateway: gateway, Replica: id, Model: unit}.Key()]
			if ok && g.GatewayIncarnation == incarnation && g.Incarnation == r.Incarnation {
				news.Grants = append(news.Grants, g)
			}
		}
	}
	sort.Slice(news.Grants, func(i, j int) bool { return news.Grants[i].Number < news.Grants[j].Number })
	return news
}

// AwaitAcknowledgements keeps an operator's answer until every gateway has the news of a number. Beyond a bound it is dropped, and whoever
// waits hears nothing.
func (r *UpdatePublisher) AwaitAcknowledgements(origin string, out statemachine.Outcome, number uint64) {
	if !r.active || len(r.pending) >= maxPendingResults {
		return
	}
	r.pending = append(r.pending, pendingResult{origin: origin, result: wire.Result{Outcome: out, OnAllGateways: true}, number: number})
}

// ReleasedResults are those that every gateway has, or whose gateways' leases have run out. They are not kept.
func (r *UpdatePublisher) ReleasedResults(nowUs int64) []ReleasedResult {
	if !r.active {
		return nil
	}
	answers := []ReleasedResult{}
	kept := r.pending[:0]
	for _, w := range r.pending {
		if r.acknowledgedByAll(nowUs, w.number) {
			answers = append(answers, ReleasedResult{Origin: w.origin, Result: w.result})
		} else {
			kept = append(kept, w)
		}
	}
	r.pending = kept
	for id, d := range r.gateways {
		if nowUs-d.lastReportUs > forgetUs && nowUs > d.leaseEndUs {
			delete(r.gateways, id)
		}
	}
	return answers
}

func (r *UpdatePublisher) acknowledgedByAll(nowUs int64, number uint64) bool {
	if nowUs-r.activeSinceUs < GatewayLeaseUs {
		return false
	}
	for _, d := range r.gateways {
		if d.acked < number && nowUs < d.leaseEndUs {
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
func (r *UpdatePublisher) Gateways(nowUs int64) []GatewayStatus {
	notes := []GatewayStatus{}
	for _, id := range r.gatewayIDs() {
		d := r.gateways[id]
		notes = append(notes, GatewayStatus{id, d.zone, d.addr, d.following, d.acked, max(0, d.leaseEndUs-nowUs) / 1000})
	}
	return notes
}

func (r *UpdatePublisher) gatewayIDs() []string {
	return slices.Sorted(maps.Keys(r.gateways))
}
