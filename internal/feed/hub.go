package feed

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/chain"
	"petreltide/internal/clock"
	"petreltide/internal/ledger"
	"petreltide/internal/roster"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

const (
	frameIdleUs  = 400 * clock.Ms
	gapEachUs    = 2 * clock.Ms
	gapMostUs    = 100 * clock.Ms
	subsMost     = 4096
	deskForgetUs = 3 * clock.Sec
)

// Seen is what an office knows when it writes frames.
type Seen struct {
	NowUs   int64
	Me      string
	State   *ledger.State
	View    chain.View
	Offices []chain.Member
	Settled bool
	Roster  *roster.Roster
}

// FramePush is a frame for one desk; desks that know the same share one.
type FramePush struct {
	Desk  string
	Frame *wire.Frame
}

type sub struct {
	inc      string
	spare    bool
	whole    bool
	revision uint64
}

// Hub is any office's: it pushes differences to the desks that follow this office. All that have had a
// whole frame are brought on together, by one frame that is written once.
type Hub struct {
	subs  map[string]*sub
	desks map[string]int64

	settled  bool
	revision uint64
	rosterAt uint64
	holdsAt  uint64
	orders   wire.Orders
	view     uint64
	known    []chain.Member
	live     int
	stale    map[string]bool
	sentUs   int64
	liveUs   int64

	bare   *standing.Declaration
	bareOf *standing.Declaration
}

func NewHub() *Hub {
	return &Hub{subs: map[string]*sub{}, desks: map[string]int64{}, stale: map[string]bool{}}
}

// Follow begins a stream; a declaration that the desk already has is not sent again.
func (h *Hub) Follow(nowUs int64, f wire.Follow) bool {
	if len(h.subs) >= subsMost && h.subs[f.Desk] == nil {
		return false
	}
	h.subs[f.Desk] = &sub{inc: f.Inc, revision: f.Revision, spare: f.Spare}
	h.Heard(nowUs, f.Desk)
	return true
}

func (h *Hub) Unfollow(desk, inc string) {
	if s := h.subs[desk]; s != nil && s.inc == inc {
		delete(h.subs, desk)
	}
}

// Heard notes a living desk.
func (h *Hub) Heard(nowUs int64, desk string) { h.desks[desk] = nowUs }

// Main are the desks whose main stream comes from this office, as other offices are told.
func (h *Hub) Main() []string {
	desks := []string{}
	for id, s := range h.subs {
		if !s.spare {
			desks = append(desks, id)
		}
	}
	sort.Strings(desks)
	return desks
}

// Desks are all that live, as far as this office knows.
func (h *Hub) Desks(nowUs int64) []string {
	ids := []string{}
	for id := range h.subs {
		h.desks[id] = nowUs
	}
	for id, heardUs := range h.desks {
		if nowUs-heardUs < deskForgetUs {
			ids = append(ids, id)
		} else {
			delete(h.desks, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (h *Hub) Subscribed() []string { return slices.Sorted(maps.Keys(h.subs)) }

// Frames are what has changed since the last; where nothing has, a sign of life now and then. Changes
// are gathered for a moment that grows with the desks, but for a declaration, which goes at once.
func (h *Hub) Frames(seen Seen) []FramePush {
	if len(h.subs) == 0 {
		return nil
	}
	pushes := []FramePush{}
	sinceUs := seen.NowUs - h.sentUs
	urgent := seen.Settled && seen.State.Revision != h.revision
	if urgent || sinceUs >= min(gapEachUs*int64(len(h.subs)), gapMostUs) {
		if f, news := h.difference(seen); news || sinceUs >= frameIdleUs {
			h.sentUs = seen.NowUs
			for _, id := range slices.Sorted(maps.Keys(h.subs)) {
				if s := h.subs[id]; s.whole {
					s.revision = max(s.revision, f.Revision)
					pushes = append(pushes, FramePush{Desk: id, Frame: f})
				}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.subs)) {
		if s := h.subs[id]; !s.whole {
			s.whole = true
			pushes = append(pushes, FramePush{Desk: id, Frame: h.wholeFor(seen, s)})
		}
	}
	return pushes
}

// difference is from what was last sent to what is known now.
func (h *Hub) difference(seen Seen) (*wire.Frame, bool) {
	f := &wire.Frame{Office: seen.Me, Settled: seen.Settled}
	news := h.settled != seen.Settled
	h.settled = seen.Settled
	if seen.Settled && seen.State.Doc != nil && seen.State.Revision > h.revision {
		h.configure(f, seen.State, h.revision)
		h.revision = f.Revision
		news = true
	}
	if h.view != seen.View.Number || !slices.Equal(h.known, seen.Offices) {
		view := seen.View
		h.view, h.known = view.Number, slices.Clone(seen.Offices)
		f.View, f.Offices = &view, h.known
		news = true
	}
	f.Replicas = h.changed(seen)
	news = news || len(f.Replicas) > 0
	if seen.Settled && (seen.State.OrdersIndex != h.orders.Number || h.orders.Rows == nil) {
		h.orders = ordersOf(seen.State)
		held := h.orders
		f.Orders = &held
		news = true
	}
	if seen.NowUs-h.liveUs >= frameIdleUs {
		h.liveUs = seen.NowUs
		live := len(h.Desks(seen.NowUs))
		news = news || live != h.live
		h.live = live
	}
	f.Desks = h.live
	return f, news
}

// changed are the rows that another word of the replica or of the ledger has touched.
func (h *Hub) changed(seen Seen) []wire.ReplicaRow {
	rows := []wire.ReplicaRow(nil)
	ids := []string{}
	if h.rosterAt != seen.Roster.Rev {
		ids = append(ids, seen.Roster.Since(h.rosterAt)...)
	}
	if h.holdsAt != seen.State.HoldsIndex {
		for id, r := range seen.State.Replicas {
			if r.Index > h.holdsAt && seen.Roster.Row(id) != nil {
				ids = append(ids, id)
			}
		}
	}
	h.rosterAt, h.holdsAt = seen.Roster.Rev, seen.State.HoldsIndex
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		rows = append(rows, rowOf(seen, id))
		delete(h.stale, id)
	}
	for _, id := range slices.Sorted(maps.Keys(h.stale)) {
		switch {
		case seen.Roster.Row(id) != nil:
			delete(h.stale, id)
		case seen.State.Replicas[id] == nil:
			delete(h.stale, id)
			rows = append(rows, wire.ReplicaRow{Stale: true, Row: roster.Row{ID: id, Gone: true}})
		}
	}
	return rows
}

func rowOf(seen Seen, id string) wire.ReplicaRow {
	e, kept := seen.Roster.Row(id), seen.State.Replicas[id]
	row := wire.ReplicaRow{Row: e.Row, Dark: e.Dark}
	if kept != nil && kept.Service != "" {
		row.Units, row.Index = sortedUnits(kept.Holds), kept.Index
	}
	return row
}

// wholeFor is all that this office knows, as of the last difference or later; what comes twice does no harm.
func (h *Hub) wholeFor(seen Seen, s *sub) *wire.Frame {
	view := seen.View
	f := &wire.Frame{Office: seen.Me, Whole: true, Settled: seen.Settled, View: &view, Offices: slices.Clone(seen.Offices), Desks: len(h.Desks(seen.NowUs))}
	if seen.Settled && seen.State.Doc != nil && seen.State.Revision > s.revision {
		h.configure(f, seen.State, s.revision)
		s.revision = f.Revision
	}
	for _, id := range seen.Roster.IDs() {
		f.Replicas = append(f.Replicas, rowOf(seen, id))
	}
	for _, row := range staleRows(seen) {
		h.stale[row.ID] = true
		f.Replicas = append(f.Replicas, row)
	}
	if seen.Settled {
		orders := ordersOf(seen.State)
		f.Orders = &orders
	}
	return f
}

func (h *Hub) configure(f *wire.Frame, s *ledger.State, since uint64) {
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

func ordersOf(s *ledger.State) wire.Orders {
	o := wire.Orders{Number: s.OrdersIndex, Rows: []wire.OrderAhead{}}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		t := s.Pending[id]
		o.Rows = append(o.Rows, wire.OrderAhead{Replica: id, Unit: t.Unit, Unload: t.Step == ledger.Unload})
	}
	return o
}

// staleRows are the replicas that the ledger knows and nobody has told of since this office came back.
func staleRows(seen Seen) []wire.ReplicaRow {
	rows := []wire.ReplicaRow{}
	for _, id := range seen.State.ReplicaIDs() {
		r := seen.State.Replicas[id]
		if seen.Roster.Row(id) != nil || r.Service == "" {
			continue
		}
		rows = append(rows, wire.ReplicaRow{Stale: true, Index: r.Index, Row: roster.Row{
			ID: id, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Leaving, LeftMs: r.LeftMs, Units: sortedUnits(r.Holds),
		}})
	}
	return rows
}

func sortedUnits(holds map[string]int64) []string { return slices.Sorted(maps.Keys(holds)) }
