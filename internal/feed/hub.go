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
	demandUs     = 250 * clock.Ms
	subsMost     = 4096
	deskForgetUs = 3 * clock.Sec
)

// Seen is what an office knows when it writes frames.
type Seen struct {
	NowUs   int64
	State   *ledger.State
	View    chain.View
	Offices []chain.Member
	Settled bool
	Roster  *roster.Roster
}

type FramePush struct {
	Desk  string
	Frame wire.Frame
}

type sub struct {
	inc      string
	spare    bool
	whole    bool
	settled  bool
	revision uint64
	rosterAt uint64
	holdsAt  uint64
	orders   uint64
	stale    map[string]bool
	view     uint64
	offices  uint64
	desks    int
	sentUs   int64
	demandUs int64
}

type deskRow struct {
	heardUs int64
	demand  map[string]wire.Demand
}

// others is what another office's desks have at replicas, summed up.
type others struct {
	heardUs int64
	demand  map[string]wire.Demand
}

// Hub is any office's: it pushes differences to the desks that follow this office. Each frame brings a
// desk from what it was last sent to what this office knows now.
type Hub struct {
	subs     map[string]*sub
	desks    map[string]*deskRow
	offices  map[string]others
	orders   wire.Orders
	bare     *standing.Declaration
	bareOf   *standing.Declaration
	knownRev uint64
	known    []chain.Member
	live     int
	lastRev  [6]uint64
	pollUs   int64
}

func NewHub() *Hub {
	return &Hub{subs: map[string]*sub{}, desks: map[string]*deskRow{}, offices: map[string]others{}}
}

// Follow begins a stream; what the desk already has is not sent again.
func (h *Hub) Follow(nowUs int64, f wire.Follow) bool {
	if len(h.subs) >= subsMost && h.subs[f.Desk] == nil {
		return false
	}
	h.subs[f.Desk] = &sub{inc: f.Inc, revision: f.Revision, spare: f.Spare}
	h.Heard(nowUs, f.Desk, nil)
	h.lastRev = [6]uint64{}
	return true
}

func (h *Hub) Unfollow(desk, inc string) {
	if s := h.subs[desk]; s != nil && s.inc == inc {
		delete(h.subs, desk)
	}
}

// Heard notes a living desk, and what it has at replicas where it reports to this office.
func (h *Hub) Heard(nowUs int64, desk string, demand map[string]wire.Demand) {
	d := h.desks[desk]
	if d == nil {
		d = &deskRow{}
		h.desks[desk] = d
	}
	d.heardUs = nowUs
	if demand != nil {
		d.demand = demand
	}
}

// HeardOffice notes the desks that another office has heard, and their demand as a sum.
func (h *Hub) HeardOffice(nowUs int64, by string, desks []string, demand map[string]wire.Demand) {
	for _, desk := range desks {
		if d := h.desks[desk]; d == nil {
			h.desks[desk] = &deskRow{heardUs: nowUs}
		} else if d.demand == nil {
			d.heardUs = nowUs
		}
	}
	h.offices[by] = others{nowUs, demand}
}

// Own are the desks that report to this office and what they have at replicas, as other offices are told.
func (h *Hub) Own(nowUs int64) (desks []string, demand map[string]wire.Demand) {
	for id, d := range h.desks {
		if d.demand != nil && nowUs-d.heardUs < deskForgetUs {
			desks = append(desks, id)
		}
	}
	sort.Strings(desks)
	return desks, h.demandBut("", false)
}

func (h *Hub) Desks(nowUs int64) []string {
	ids := []string{}
	for id, d := range h.desks {
		if nowUs-d.heardUs < deskForgetUs {
			ids = append(ids, id)
		} else {
			delete(h.desks, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (h *Hub) Subscribed() []string { return slices.Sorted(maps.Keys(h.subs)) }

func (h *Hub) noteOrders(s *ledger.State) {
	if s.OrdersIndex == h.orders.Number && h.orders.Rows != nil {
		return
	}
	h.orders = wire.Orders{Number: s.OrdersIndex, Rows: []wire.OrderAhead{}}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		t := s.Pending[id]
		h.orders.Rows = append(h.orders.Rows, wire.OrderAhead{Replica: id, Unit: t.Unit, Unload: t.Step == ledger.Unload})
	}
}

// Frames are what has changed for each desk since its last; a desk with nothing new gets a sign of life
// now and then.
func (h *Hub) Frames(seen Seen) []FramePush {
	if len(h.subs) == 0 {
		return nil
	}
	settled := uint64(0)
	if seen.Settled {
		settled = 1
	}
	rev := [6]uint64{seen.State.Revision, seen.Roster.Rev, seen.State.OrdersIndex, seen.View.Number, settled, seen.State.HoldsIndex}
	if rev == h.lastRev && seen.NowUs-h.pollUs < 50*clock.Ms {
		return nil
	}
	h.lastRev, h.pollUs = rev, seen.NowUs
	if seen.Settled {
		h.noteOrders(seen.State)
	}
	if !slices.Equal(h.known, seen.Offices) {
		h.known = slices.Clone(seen.Offices)
		h.knownRev++
	}
	h.live = len(h.Desks(seen.NowUs))
	for by, o := range h.offices {
		if seen.NowUs-o.heardUs > deskForgetUs {
			delete(h.offices, by)
		}
	}
	pushes := []FramePush{}
	for _, id := range slices.Sorted(maps.Keys(h.subs)) {
		if f, ok := h.frame(seen, id, h.subs[id]); ok {
			pushes = append(pushes, FramePush{Desk: id, Frame: f})
		}
	}
	return pushes
}

func (h *Hub) frame(seen Seen, desk string, s *sub) (wire.Frame, bool) {
	f := wire.Frame{Settled: seen.Settled, Whole: !s.whole}
	news := !s.whole || s.settled != seen.Settled
	if seen.Settled && seen.State.Doc != nil && seen.State.Revision > s.revision {
		f.Revision = seen.State.Revision
		if edits, ok := seen.State.EditsSince(s.revision); ok && s.revision > 0 && len(edits) > 0 {
			f.From = s.revision
			for _, e := range edits {
				f.Edits = append(f.Edits, e.Bare())
			}
		} else {
			f.Doc = h.bareDoc(seen.State.Doc)
		}
		s.revision = f.Revision
		news = true
	}
	if s.view != seen.View.Number || s.offices != h.knownRev {
		view := seen.View
		f.View, f.Offices = &view, h.known
		s.view, s.offices = seen.View.Number, h.knownRev
		news = true
	}
	if s.rosterAt != seen.Roster.Rev || s.holdsAt != seen.State.HoldsIndex {
		for _, id := range seen.Roster.IDs() {
			e, kept := seen.Roster.Row(id), seen.State.Replicas[id]
			if e.Rev <= s.rosterAt && (kept == nil || kept.Index <= s.holdsAt) {
				continue
			}
			row := wire.ReplicaRow{Row: e.Row, Dark: e.Dark}
			if kept != nil && kept.Service != "" {
				row.Units, row.Index = sortedUnits(kept.Holds), kept.Index
			}
			f.Replicas = append(f.Replicas, row)
		}
		s.rosterAt, s.holdsAt = seen.Roster.Rev, seen.State.HoldsIndex
		news = news || len(f.Replicas) > 0
	}
	if !s.whole {
		s.stale = map[string]bool{}
		for _, row := range stale(seen) {
			s.stale[row.ID] = true
			f.Replicas = append(f.Replicas, row)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.stale)) {
		switch {
		case seen.Roster.Row(id) != nil:
			delete(s.stale, id)
		case seen.State.Replicas[id] == nil:
			delete(s.stale, id)
			f.Replicas = append(f.Replicas, wire.ReplicaRow{Stale: true, Row: roster.Row{ID: id, Gone: true}})
			news = true
		}
	}
	if seen.Settled && (s.orders != h.orders.Number || !s.whole) {
		held := h.orders
		f.Orders = &held
		s.orders = h.orders.Number
		news = true
	}
	if s.desks != h.live {
		s.desks = h.live
		news = true
	}
	f.Desks = h.live
	if !s.spare && seen.NowUs-s.demandUs >= demandUs {
		if f.Demand = h.demandBut(desk, true); len(f.Demand) > 0 {
			s.demandUs = seen.NowUs
			news = true
		}
	}
	if !news && seen.NowUs-s.sentUs < frameIdleUs {
		return f, false
	}
	s.whole, s.settled, s.sentUs = true, seen.Settled, seen.NowUs
	return f, true
}

func (h *Hub) bareDoc(d *standing.Declaration) *standing.Declaration {
	if h.bareOf != d {
		h.bareOf, h.bare = d, d.Bare()
	}
	return h.bare
}

// stale are the replicas that the ledger knows and nobody has told of since this office came back.
func stale(seen Seen) []wire.ReplicaRow {
	rows := []wire.ReplicaRow{}
	for _, id := range seen.State.ReplicaIDs() {
		r := seen.State.Replicas[id]
		if seen.Roster.Row(id) != nil || r.Service == "" {
			continue
		}
		rows = append(rows, wire.ReplicaRow{Stale: true, Row: roster.Row{
			ID: id, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Leaving, LeftMs: r.LeftMs, Units: sortedUnits(r.Holds),
		}})
	}
	return rows
}

func sortedUnits(holds map[string]int64) []string { return slices.Sorted(maps.Keys(holds)) }

// demandBut is what the other desks have at replicas, those of other offices too where asked.
func (h *Hub) demandBut(desk string, everywhere bool) map[string]wire.Demand {
	sum := map[string]wire.Demand{}
	add := func(demand map[string]wire.Demand) {
		for replica, n := range demand {
			have := sum[replica]
			have.Running += n.Running
			have.Tokens += n.Tokens
			sum[replica] = have
		}
	}
	for id, d := range h.desks {
		if id != desk {
			add(d.demand)
		}
	}
	if everywhere {
		for _, o := range h.offices {
			add(o.demand)
		}
	}
	return sum
}
