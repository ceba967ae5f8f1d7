package distribution

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	frameIdleUs     = 400 * clock.Ms
	gapEachUs       = 5 * clock.Ms
	gapMostUs       = 100 * clock.Ms
	gapSpareUs      = 400 * clock.Ms
	subsMost        = 4096
	gatewayForgetUs = 3 * clock.Sec
)

// Seen is what a control node knows when it writes frames.
type Seen struct {
	NowUs        int64
	Me           string
	State        *statemachine.State
	View         chain.View
	ControlNodes []chain.Member
	Settled      bool
	// Behind: newer state than this may have been committed, as this control node has no word of the chain.
	Behind bool
	Roster *registry.Roster
	// Outliers are the newest verdicts that this control node knows.
	Outliers outlier.Table
}

// FramePush is a frame for one gateway; gateways that know the same share one.
type FramePush struct {
	Gateway string
	Frame   *wire.Frame
}

type sub struct {
	incarnation string
	spare       bool
	whole       bool
	revision    uint64
}

// Hub is any control node's: it pushes differences to the gateways that follow this control node. All main streams that
// have had a whole frame are brought on together, by one frame that is written once, and so are all spare
// ones, which need it less often.
type Hub struct {
	subs     map[string]*sub
	gateways map[string]int64
	main     told
	spare    told

	live   int
	liveUs int64

	bare   *configuration.Declaration
	bareOf *configuration.Declaration
}

// told is how far the streams of one kind have been brought on.
type told struct {
	outliers outlier.Table
	settled  bool
	behind   bool
	revision uint64
	rosterAt uint64
	holdsAt  uint64
	// staleAt is the change of the ledger's replicas up to which rows went out of those that nobody has heard.
	staleAt  uint64
	ordersAt uint64
	orders   map[string]wire.OrderAhead
	view     uint64
	known    []chain.Member
	live     int
	rows     map[string]wire.ReplicaRow
	stale    map[string]bool
	sentUs   int64
}

func newTold() told {
	return told{rows: map[string]wire.ReplicaRow{}, stale: map[string]bool{}}
}

// NewHub is a hub that nobody follows.
func NewHub() *Hub {
	return &Hub{subs: map[string]*sub{}, gateways: map[string]int64{}, main: newTold(), spare: newTold()}
}

// Follow begins a stream; a declaration that the gateway already has is not sent again.
func (h *Hub) Follow(nowUs int64, f wire.Follow) bool {
	if len(h.subs) >= subsMost && h.subs[f.Gateway] == nil {
		return false
	}
	h.subs[f.Gateway] = &sub{incarnation: f.Incarnation, revision: f.Revision, spare: f.Spare}
	h.Heard(nowUs, f.Gateway)
	return true
}

// Unfollow ends the stream of a gateway's process; a newer process's stays.
func (h *Hub) Unfollow(gateway, incarnation string) {
	if s := h.subs[gateway]; s != nil && s.incarnation == incarnation {
		delete(h.subs, gateway)
	}
}

// Heard notes a living gateway.
func (h *Hub) Heard(nowUs int64, gateway string) { h.gateways[gateway] = nowUs }

// Main are the gateways whose main stream comes from this control node, as other control nodes are told.
func (h *Hub) Main() []string {
	gateways := []string{}
	for id, s := range h.subs {
		if !s.spare {
			gateways = append(gateways, id)
		}
	}
	sort.Strings(gateways)
	return gateways
}

// Gateways are all that live, as far as this control node knows.
func (h *Hub) Gateways(nowUs int64) []string {
	ids := []string{}
	for id := range h.subs {
		h.gateways[id] = nowUs
	}
	for id, heardUs := range h.gateways {
		if nowUs-heardUs < gatewayForgetUs {
			ids = append(ids, id)
		} else {
			delete(h.gateways, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Subscribed are the gateways with a stream from here, in order.
func (h *Hub) Subscribed() []string { return slices.Sorted(maps.Keys(h.subs)) }

// Frames are what has changed since the last; where nothing has, a sign of life now and then. Changes
// are gathered for a moment that grows with the gateways, but for a declaration, which goes at once.
func (h *Hub) Frames(seen Seen) []FramePush {
	if len(h.subs) == 0 {
		return nil
	}
	if seen.NowUs-h.liveUs >= frameIdleUs {
		h.liveUs = seen.NowUs
		h.live = len(h.Gateways(seen.NowUs))
	}
	mains, spares := []string{}, []string{}
	for _, id := range slices.Sorted(maps.Keys(h.subs)) {
		if h.subs[id].spare {
			spares = append(spares, id)
		} else {
			mains = append(mains, id)
		}
	}
	pushes := h.bring(nil, seen, &h.main, mains, min(gapEachUs*int64(len(mains)), gapMostUs))
	return h.bring(pushes, seen, &h.spare, spares, gapSpareUs)
}

// bring takes streams of one kind on to what is known now. Before a stream joins them by a whole frame, the
// others are brought on to the same point.
func (h *Hub) bring(pushes []FramePush, seen Seen, t *told, ids []string, gapUs int64) []FramePush {
	if len(ids) == 0 {
		return pushes
	}
	joins := slices.ContainsFunc(ids, func(id string) bool { return !h.subs[id].whole })
	urgent := seen.Settled && seen.State.Revision != t.revision
	sinceUs := seen.NowUs - t.sentUs
	if joins || urgent || sinceUs >= gapUs {
		if f, news := h.difference(seen, t); news || sinceUs >= frameIdleUs {
			t.sentUs = seen.NowUs
			for _, id := range ids {
				if s := h.subs[id]; s.whole {
					s.revision = max(s.revision, f.Revision)
					pushes = append(pushes, FramePush{Gateway: id, Frame: f})
				}
			}
		}
	}
	for _, id := range ids {
		if s := h.subs[id]; !s.whole {
			s.whole = true
			pushes = append(pushes, FramePush{Gateway: id, Frame: h.wholeFor(seen, t, s)})
		}
	}
	return pushes
}

// difference is from what was last sent to what is known now.
func (h *Hub) difference(seen Seen, t *told) (*wire.Frame, bool) {
	f := &wire.Frame{ControlNode: seen.Me, Settled: seen.Settled, Behind: seen.Behind, Gateways: h.live}
	news := t.settled != seen.Settled || t.behind != seen.Behind || t.live != h.live
	t.settled, t.behind, t.live = seen.Settled, seen.Behind, h.live
	if seen.Settled && seen.State.Doc != nil && seen.State.Revision > t.revision {
		h.configure(f, seen.State, t.revision)
		t.revision = f.Revision
		news = true
	}
	if t.view != seen.View.Number || !slices.Equal(t.known, seen.ControlNodes) {
		view := seen.View
		t.view, t.known = view.Number, slices.Clone(seen.ControlNodes)
		f.View, f.ControlNodes = &view, t.known
		news = true
	}
	f.Replicas = t.changed(seen)
	if seen.Settled && (seen.State.OrdersIndex != t.ordersAt || t.orders == nil) {
		f.Orders = t.ordersSince(seen.State)
	}
	if seen.Outliers.After(t.outliers) {
		t.outliers = seen.Outliers
		f.Outliers = &seen.Outliers
		news = true
	}
	return f, news || len(f.Replicas) > 0 || f.Orders != nil
}

// changed are the rows that another word of the replica or of the ledger has touched, where that is news.
func (t *told) changed(seen Seen) []wire.ReplicaRow {
	rows := []wire.ReplicaRow(nil)
	ids := []string{}
	if t.rosterAt != seen.Roster.Rev {
		ids = append(ids, seen.Roster.Since(t.rosterAt)...)
	}
	if t.holdsAt != seen.State.HoldsIndex {
		for id, r := range seen.State.Replicas {
			if r.Index > t.holdsAt && seen.Roster.Row(id) != nil {
				ids = append(ids, id)
			}
		}
	}
	t.rosterAt, t.holdsAt = seen.Roster.Rev, seen.State.HoldsIndex
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		row := rowOf(seen, id)
		delete(t.stale, id)
		if last, told := t.rows[id]; told && sameRow(&last, &row) {
			continue
		}
		t.rows[id] = row
		rows = append(rows, row)
	}
	if len(t.rows) > 2*seen.Roster.Len()+rowsSlack {
		maps.DeleteFunc(t.rows, func(id string, _ wire.ReplicaRow) bool { return seen.Roster.Row(id) == nil })
	}
	rows = append(rows, t.unheard(seen)...)
	for _, id := range slices.Sorted(maps.Keys(t.stale)) {
		switch {
		case seen.Roster.Row(id) != nil:
			delete(t.stale, id)
		case seen.State.Replicas[id] == nil:
			delete(t.stale, id)
			rows = append(rows, wire.ReplicaRow{Stale: true, Row: registry.Row{ID: id, Gone: true}})
		}
	}
	return rows
}

const rowsSlack = 64

// unheard are the rows that the ledger has changed of replicas that nobody has told of since this control node came back.
// A stream may have begun before this control node knew what is committed, with a whole frame that lacked them. Whoever was
// told of once and is forgotten has ended.
func (t *told) unheard(seen Seen) []wire.ReplicaRow {
	if !seen.Settled || t.staleAt == seen.State.HoldsIndex {
		return nil
	}
	rows := []wire.ReplicaRow(nil)
	for _, row := range staleRows(seen) {
		if _, told := t.rows[row.ID]; row.Index > t.staleAt && !told {
			t.stale[row.ID] = true
			rows = append(rows, row)
		}
	}
	t.staleAt = seen.State.HoldsIndex
	return rows
}

// sameRow: a gateway would learn nothing from it but that the replica has spoken again.
func sameRow(a, b *wire.ReplicaRow) bool {
	return a.Index == b.Index && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.LeftMs == b.LeftMs && a.Gone == b.Gone && a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

// ordersSince are the orders that came to stand, or stand no longer.
func (t *told) ordersSince(s *statemachine.State) *wire.Orders {
	now := make(map[string]wire.OrderAhead, len(s.Pending))
	o := &wire.Orders{Number: s.OrdersIndex, Rows: []wire.OrderAhead{}}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		now[id] = orderAhead(id, s.Pending[id])
		if t.orders[id] != now[id] {
			o.Rows = append(o.Rows, now[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.orders)) {
		if _, stands := now[id]; !stands {
			o.Rows = append(o.Rows, wire.OrderAhead{Replica: id})
		}
	}
	t.ordersAt, t.orders = s.OrdersIndex, now
	return o
}

func rowOf(seen Seen, id string) wire.ReplicaRow {
	e, kept := seen.Roster.Row(id), seen.State.Replicas[id]
	row := wire.ReplicaRow{Row: e.Row, Unreachable: e.Unreachable}
	row.Release, row.ColdMs = "", 0
	if kept != nil && kept.Service != "" {
		row.Units, row.Index = sortedUnits(kept.Holds), kept.Index
	}
	return row
}

// wholeFor is all that this control node knows, as of the difference that the others have just had.
func (h *Hub) wholeFor(seen Seen, t *told, s *sub) *wire.Frame {
	view := seen.View
	f := &wire.Frame{ControlNode: seen.Me, Whole: true, Settled: seen.Settled, Behind: seen.Behind, View: &view, ControlNodes: slices.Clone(seen.ControlNodes), Gateways: len(h.Gateways(seen.NowUs))}
	if seen.Settled && seen.State.Doc != nil && seen.State.Revision > s.revision {
		h.configure(f, seen.State, s.revision)
		s.revision = f.Revision
	}
	if seen.Outliers.Epoch > 0 {
		f.Outliers = &seen.Outliers
	}
	for _, id := range seen.Roster.IDs() {
		f.Replicas = append(f.Replicas, rowOf(seen, id))
	}
	for _, row := range staleRows(seen) {
		t.stale[row.ID] = true
		f.Replicas = append(f.Replicas, row)
	}
	if seen.Settled {
		orders := ordersOf(seen.State)
		f.Orders = &orders
	}
	return f
}

func (h *Hub) configure(f *wire.Frame, s *statemachine.State, since uint64) {
	f.Revision = s.Revision
	if edits, ok := s.EditsSince(since); ok && since > 0 && len(edits) > 0 {
		f.From = since
		for _, e := range edits {
			f.Edits = append(f.Edits, e.Bare())
		}
		return
	}
	if h.bareOf != s.Doc {
		h.bareOf, h.bare = s.Doc, s.Doc.Bare()
	}
	f.Doc = h.bare
}

func ordersOf(s *statemachine.State) wire.Orders {
	o := wire.Orders{Number: s.OrdersIndex, Rows: []wire.OrderAhead{}}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		o.Rows = append(o.Rows, orderAhead(id, s.Pending[id]))
	}
	return o
}

func orderAhead(id string, t statemachine.Ticket) wire.OrderAhead {
	return wire.OrderAhead{Replica: id, Unit: t.Unit, Unload: t.Step == statemachine.Unload}
}

// staleRows are the replicas that the ledger knows and nobody has told of since this control node came back.
func staleRows(seen Seen) []wire.ReplicaRow {
	rows := []wire.ReplicaRow{}
	for _, id := range seen.State.ReplicaIDs() {
		r := seen.State.Replicas[id]
		if seen.Roster.Row(id) != nil || r.Service == "" {
			continue
		}
		rows = append(rows, wire.ReplicaRow{Stale: true, Index: r.Index, Row: registry.Row{
			ID: id, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Leaving, LeftMs: r.LeftMs, Units: sortedUnits(r.Holds),
		}})
	}
	return rows
}

func sortedUnits(holds map[string]int64) []string { return slices.Sorted(maps.Keys(holds)) }
