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
	GatewayLeaseUs = 1200 * clock.Ms
	behindUs       = 600 * clock.Ms
	checkUs        = 1000 * clock.Ms
	forgetUs       = 30 * clock.Sec
	queueMost      = 256
)

type row struct {
	incarnation string
	zone        string
	addr        string
	following   bool
	acked       uint64
	revision    uint64
	pushed      uint64
	behindUs    int64
	lapseUs     int64
	seenUs      int64
}

type waiting struct {
	origin string
	result wire.Result
	number uint64
}

// Room is the tail's: it pushes numbered news to gateways, gives their leases, and holds an
// operator's answer until every gateway has acknowledged or its lease has run out.
type Room struct {
	open     bool
	openUs   int64
	gateways map[string]*row
	queue    []waiting
}

// Push is news for one gateway.
type Push struct {
	Gateway string
	News    wire.News
}

// Answer is an operator's answer that may go out now; Origin is who waits for it.
type Answer struct {
	Origin string
	Result wire.Result
}

// New is a room that is closed, until Gate opens it.
func New() *Room { return &Room{gateways: map[string]*row{}} }

// Gate opens the room on the chain's tail and closes it elsewhere; a closed one forgets its gateways and answers.
func (r *Room) Gate(nowUs int64, open bool) {
	if open == r.open {
		return
	}
	r.open = open
	if open {
		r.openUs = nowUs
		return
	}
	r.queue = nil
	r.gateways = map[string]*row{}
}

// Follow begins a gateway's stream. False means that this control node is not the tail.
func (r *Room) Follow(nowUs int64, f wire.Follow) bool {
	if !r.open {
		return false
	}
	d := r.gateways[f.Gateway]
	if d == nil || d.incarnation != f.Incarnation {
		lapseUs := nowUs + GatewayLeaseUs
		if d != nil {
			lapseUs = max(lapseUs, d.lapseUs)
		}
		d = &row{incarnation: f.Incarnation, lapseUs: lapseUs}
		r.gateways[f.Gateway] = d
	}
	d.following, d.revision, d.pushed, d.acked = true, f.Revision, 0, 0
	d.zone, d.addr, d.seenUs = f.Zone, f.Addr, nowUs
	return true
}

// Report gives a lease. checked says that the controller has looked at the platform's list in this
// view; a new tail waits a little for it, so that no gateway sends by notices that went unseen meanwhile.
func (r *Room) Report(nowUs int64, view uint64, newest uint64, checked bool, p wire.Report) wire.Lease {
	no := wire.Lease{View: view}
	if !r.open {
		return no
	}
	d := r.gateways[p.Gateway]
	if d == nil || d.incarnation != p.Incarnation {
		return no
	}
	d.seenUs = nowUs
	d.acked = max(d.acked, p.Number)
	d.revision = p.Revision
	if d.acked >= newest {
		d.behindUs = 0
	} else if d.behindUs == 0 {
		d.behindUs = nowUs
	}
	behind := d.behindUs > 0 && (nowUs >= d.lapseUs || nowUs-d.behindUs > behindUs)
	unseen := !checked && nowUs-r.openUs < checkUs
	if !d.following || d.acked == 0 || behind || unseen {
		return no
	}
	d.lapseUs = nowUs + GatewayLeaseUs
	return wire.Lease{OK: true, View: view, SentUs: p.SentUs, LeaseUs: GatewayLeaseUs, Number: newest}
}

// Ring is every node that is watched or watches: the control nodes seated and the gateways that report.
func (r *Room) Ring(nowUs int64, view chain.View) []failuredetector.Node {
	ring := []failuredetector.Node{}
	for _, s := range view.Order {
		ring = append(ring, failuredetector.Node{ID: s.ID, Addr: s.Addr})
	}
	for _, id := range r.gatewayIDs() {
		if d := r.gateways[id]; nowUs-d.seenUs < forgetUs/10 {
			ring = append(ring, failuredetector.Node{ID: id, Addr: d.addr})
		}
	}
	return ring
}

// Pushes are the news that gateways do not have yet, each once.
func (r *Room) Pushes(s *statemachine.State, view chain.View) []Push {
	if !r.open {
		return nil
	}
	pushes := []Push{}
	for _, id := range r.gatewayIDs() {
		d := r.gateways[id]
		if !d.following || (d.pushed >= s.NewsIndex && d.pushed > 0) {
			continue
		}
		news := Write(s, view.Number, id, d.incarnation, d.revision)
		d.pushed = max(news.Number, 1)
		pushes = append(pushes, Push{Gateway: id, News: news})
	}
	return pushes
}

// Write is the whole news for one gateway; a declaration of at most this revision is left out, as the gateway has it.
func Write(s *statemachine.State, view uint64, gateway, incarnation string, revision uint64) wire.News {
	news := wire.News{Number: max(s.NewsIndex, 1), View: view, Epoch: s.Epoch, Revision: s.Revision}
	if s.Revision > revision {
		news.Doc = s.Doc
	}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		row := wire.ReplicaNews{
			ID: r.ID, Incarnation: r.Incarnation, Addr: r.Addr, Zone: r.Zone, Leaving: r.Leaving, LeftMs: r.LeftMs, Unreachable: r.Unreachable, Share: r.Shares[gateway],
		}
		for unit := range r.Holds {
			row.Holds = append(row.Holds, unit)
		}
		sort.Strings(row.Holds)
		if t, ok := s.Pending[id]; ok && t.Step == statemachine.Unload {
			row.Unloading = t.Unit
		}
		news.Replicas = append(news.Replicas, row)
		for unit := range r.Holds {
			g, ok := s.Grants[statemachine.Grant{Gateway: gateway, Replica: id, Model: unit}.Key()]
			if ok && g.GatewayIncarnation == incarnation && g.Incarnation == r.Incarnation {
				news.Grants = append(news.Grants, g)
			}
		}
	}
	sort.Slice(news.Grants, func(i, j int) bool { return news.Grants[i].Ticket < news.Grants[j].Ticket })
	return news
}

// Hold keeps an operator's answer until every gateway has the news of a number. Beyond a bound it is dropped, and whoever
// waits hears nothing.
func (r *Room) Hold(origin string, out statemachine.Outcome, number uint64) {
	if !r.open || len(r.queue) >= queueMost {
		return
	}
	r.queue = append(r.queue, waiting{origin: origin, result: wire.Result{Outcome: out, Everywhere: true}, number: number})
}

// Answers are those that every gateway has, or whose gateways' leases have run out. They are not kept.
func (r *Room) Answers(nowUs int64) []Answer {
	if !r.open {
		return nil
	}
	answers := []Answer{}
	kept := r.queue[:0]
	for _, w := range r.queue {
		if r.everywhere(nowUs, w.number) {
			answers = append(answers, Answer{Origin: w.origin, Result: w.result})
		} else {
			kept = append(kept, w)
		}
	}
	r.queue = kept
	for id, d := range r.gateways {
		if nowUs-d.seenUs > forgetUs && nowUs > d.lapseUs {
			delete(r.gateways, id)
		}
	}
	return answers
}

func (r *Room) everywhere(nowUs int64, number uint64) bool {
	if nowUs-r.openUs < GatewayLeaseUs {
		return false
	}
	for _, d := range r.gateways {
		if d.acked < number && nowUs < d.lapseUs {
			return false
		}
	}
	return true
}

// GatewayNote is one gateway as the status shows it.
type GatewayNote struct {
	Gateway   string `json:"desk"`
	Zone      string `json:"zone"`
	Addr      string `json:"addr"`
	Following bool   `json:"following"`
	Acked     uint64 `json:"acked"`
	LeaseMs   int64  `json:"leaseMs"`
}

// Gateways are all gateways that reported lately, in order.
func (r *Room) Gateways(nowUs int64) []GatewayNote {
	notes := []GatewayNote{}
	for _, id := range r.gatewayIDs() {
		d := r.gateways[id]
		notes = append(notes, GatewayNote{id, d.zone, d.addr, d.following, d.acked, max(0, d.lapseUs-nowUs) / 1000})
	}
	return notes
}

func (r *Room) gatewayIDs() []string {
	return slices.Sorted(maps.Keys(r.gateways))
}
