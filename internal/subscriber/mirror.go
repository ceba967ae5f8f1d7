package subscriber

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"petreltide/internal/chain"
	"petreltide/internal/clock"
	"petreltide/internal/dispatch"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

const (
	mirrorSilentUs = 1300 * clock.Ms
	mirrorTryUs    = 300 * clock.Ms
	mirrorShyUs    = 1000 * clock.Ms
	mirrorReportUs = 250 * clock.Ms
	mirrorIdleUs   = 1000 * clock.Ms
	mirrorStreams  = 2
)

// MirrorEvent brings a frame of a stream, or its end, or seeds that changed.
type MirrorEvent struct {
	NowUs  int64
	Frame  *wire.Frame
	Stream uint64
	Closed uint64
	Seeds  []string
	Urgent bool
}

type MirrorEffect struct {
	Open     *Stream
	Close    uint64
	Report   string
	Snapshot *dispatch.Snapshot
}

// Stream is one pipe to one office.
type Stream struct {
	Number uint64
	Addr   string
	Ask    wire.Follow
}

type source struct {
	stream  uint64
	spare   bool
	addr    string
	heardUs int64
	live    bool
	whole   bool
	office  string
	rows    map[string]wire.ReplicaRow
	orders  wire.Orders
	demand  map[string]wire.Demand
	desks   int
}

// Mirror keeps what a desk knows by the frames of two offices at once, so that the loss of one costs no
// time. Without any it goes on with what it last knew. Revisions only rise.
type Mirror struct {
	opts     Options
	sources  map[uint64]*source
	shyUs    map[string]int64
	offices  map[string]chain.Member
	view     chain.View
	doc      *standing.Declaration
	revision uint64
	number   uint64
	streams  uint64
	triedUs  int64
	reportUs int64
	urgentUs int64
	last     *source
	snap     *dispatch.Snapshot
	effects  []MirrorEffect
}

func NewMirror(opts Options) *Mirror {
	return &Mirror{opts: opts, sources: map[uint64]*source{}, shyUs: map[string]int64{}, offices: map[string]chain.Member{}}
}

func (m *Mirror) do(e MirrorEffect) { m.effects = append(m.effects, e) }

// Offices are all addresses that may be an office's, those that were met first.
func (m *Mirror) Offices() []string {
	addrs := []string{}
	for _, id := range slices.Sorted(maps.Keys(m.offices)) {
		addrs = append(addrs, m.offices[id].Addr)
	}
	for _, s := range m.opts.Seeds {
		if !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

func (m *Mirror) View() chain.View { return m.view }

// Live counts the offices that push to this desk now.
func (m *Mirror) Live() int {
	n := 0
	for _, s := range m.sources {
		if s.live && s.whole {
			n++
		}
	}
	return n
}

func (m *Mirror) Step(ev MirrorEvent) []MirrorEffect {
	m.effects = nil
	switch {
	case ev.Frame != nil:
		m.frame(ev.NowUs, ev.Stream, *ev.Frame)
	case ev.Closed != 0:
		m.closed(ev.NowUs, ev.Closed)
	case ev.Seeds != nil:
		m.opts.Seeds = ev.Seeds
	}
	m.tick(ev.NowUs, ev.Urgent)
	return m.effects
}

func (m *Mirror) closed(nowUs int64, stream uint64) {
	s := m.sources[stream]
	if s == nil {
		return
	}
	delete(m.sources, stream)
	m.shyUs[s.addr] = nowUs + mirrorShyUs
	if s.whole && m.Live() == 0 {
		m.last = s
	}
}

func (m *Mirror) drop(nowUs int64, s *source) {
	m.do(MirrorEffect{Close: s.stream})
	m.closed(nowUs, s.stream)
}

func (m *Mirror) frame(nowUs int64, stream uint64, f wire.Frame) {
	s := m.sources[stream]
	if s == nil {
		return
	}
	s.heardUs, s.live, s.office = nowUs, true, f.Office
	if f.Whole {
		s.whole, s.rows = true, map[string]wire.ReplicaRow{}
	}
	if f.View != nil && f.View.Number >= m.view.Number {
		m.view = *f.View
	}
	for _, o := range f.Offices {
		m.offices[o.ID] = o
	}
	if len(m.offices) > 64 {
		m.offices = map[string]chain.Member{}
	}
	for _, r := range f.Replicas {
		if r.Stale && r.Gone {
			delete(s.rows, r.ID)
			continue
		}
		s.rows[r.ID] = r
	}
	if f.Orders != nil {
		s.orders = *f.Orders
	}
	if f.Demand != nil {
		s.demand = f.Demand
	}
	s.desks = f.Desks
	if !m.configured(f) {
		m.drop(nowUs, s)
		return
	}
	if f.Whole || f.Revision > 0 || len(f.Replicas) > 0 || f.Orders != nil || f.Demand != nil || f.View != nil {
		m.fold(nowUs)
	}
}

// configured lays a frame's declaration or edits on what this desk has; false where some are missing.
func (m *Mirror) configured(f wire.Frame) bool {
	if f.Revision <= m.revision {
		return true
	}
	if f.Doc != nil {
		m.doc, m.revision = f.Doc.Indexed(), f.Revision
		return true
	}
	if m.doc == nil || f.From > m.revision || f.Revision-f.From != uint64(len(f.Edits)) {
		return false
	}
	doc := m.doc
	for _, e := range f.Edits[m.revision-f.From:] {
		next, bad := doc.Edited(e)
		if bad != nil {
			return false
		}
		doc = next
	}
	m.doc, m.revision = doc.Indexed(), f.Revision
	return true
}

// fold joins what the offices say: a replica's latest word counts, and it is dark only where every
// office that knows it says so.
func (m *Mirror) fold(nowUs int64) {
	sources := []*source{}
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		if s := m.sources[n]; s.whole {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 && m.last != nil {
		sources = append(sources, m.last)
	}
	m.number++
	snap := &dispatch.Snapshot{
		Number: m.number, View: m.view.Number, Revision: m.revision, Doc: m.doc, AtUs: nowUs,
		Replicas: map[string]*wire.ReplicaNews{}, ByService: map[string][]*wire.ReplicaNews{},
	}
	best := map[string]wire.ReplicaRow{}
	var orders wire.Orders
	for _, s := range sources {
		for id, r := range s.rows {
			have, ok := best[id]
			switch {
			case !ok, have.Stale && !r.Stale, r.Gone && !have.Gone:
				best[id] = r
			case have.Gone || (r.Stale && !have.Stale):
			default:
				best[id] = newer(have, r)
			}
		}
		if s.orders.Number >= orders.Number {
			orders = s.orders
		}
		snap.Desks = max(snap.Desks, s.desks)
		if len(s.demand) > 0 && snap.Demand == nil {
			snap.Demand = s.demand
		}
	}
	for id, r := range best {
		if r.Gone {
			continue
		}
		snap.Replicas[id] = &wire.ReplicaNews{
			ID: id, Inc: id, Addr: r.Addr, Zone: r.Zone, Service: r.Service, Slots: r.Slots, Leaving: r.Draining, LeftMs: r.LeftMs,
			Dark: r.Dark, Stale: r.Stale, Holds: r.Units, Share: r.Slots,
		}
	}
	for _, o := range orders.Rows {
		if r := snap.Replicas[o.Replica]; r != nil {
			if o.Unload {
				r.Unloading = o.Unit
			} else {
				r.Loading = o.Unit
			}
		}
	}
	snap.IDs = slices.Sorted(maps.Keys(snap.Replicas))
	for _, id := range snap.IDs {
		r := snap.Replicas[id]
		snap.ByService[r.Service] = append(snap.ByService[r.Service], r)
	}
	m.snap = snap
	m.do(MirrorEffect{Snapshot: snap})
}

// newer joins two offices' words of one life: its own by Seq, what it holds by the ledger's entry.
func newer(a, b wire.ReplicaRow) wire.ReplicaRow {
	dark := a.Dark && b.Dark
	if b.Seq > a.Seq {
		a, b = b, a
	}
	if b.Index > a.Index {
		a.Units, a.Index = b.Units, b.Index
	}
	a.Dark = dark
	return a
}

func (m *Mirror) tick(nowUs int64, urgent bool) {
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		if s := m.sources[n]; nowUs-s.heardUs > mirrorSilentUs {
			m.drop(nowUs, s)
		}
	}
	m.nearer(nowUs)
	if len(m.sources) < mirrorStreams && nowUs-m.triedUs >= mirrorTryUs {
		m.open(nowUs)
	}
	m.report(nowUs, urgent)
}

// open takes the next office in this desk's own order, so that desks spread over offices.
func (m *Mirror) open(nowUs int64) {
	m.triedUs = nowUs
	taken := map[string]bool{}
	for _, s := range m.sources {
		taken[s.addr] = true
	}
	free := []string{}
	for _, addr := range m.Offices() {
		if !taken[addr] && nowUs >= m.shyUs[addr] {
			free = append(free, addr)
		}
	}
	slices.SortStableFunc(free, func(a, b string) int { return cmp.Compare(m.rank(a), m.rank(b)) })
	main, own := false, m.own(nowUs)
	for _, s := range m.sources {
		main = main || (!s.spare && (own == "" || s.addr == own))
	}
	for _, addr := range free[:min(len(free), mirrorStreams-len(m.sources))] {
		m.streams++
		spare := main
		main = true
		m.sources[m.streams] = &source{stream: m.streams, addr: addr, spare: spare, heardUs: nowUs, rows: map[string]wire.ReplicaRow{}}
		m.do(MirrorEffect{Open: &Stream{Number: m.streams, Addr: addr, Ask: wire.Follow{
			Desk: m.opts.Desk, Inc: m.opts.Inc, Addr: m.opts.Addr, Zone: m.opts.Zone, Revision: m.revision, Spare: spare,
		}}})
	}
}

// own is the office of this desk's own zone, if one is known that may be asked.
func (m *Mirror) own(nowUs int64) string {
	for _, id := range slices.Sorted(maps.Keys(m.offices)) {
		if o := m.offices[id]; o.Zone != "" && o.Zone == m.opts.Zone && nowUs >= m.shyUs[o.Addr] {
			return o.Addr
		}
	}
	return ""
}

// nearer lets the office of this desk's own zone be the main one, a stream at a time: what goes over a
// spare stream is little, and the rest then need not cross zones.
func (m *Mirror) nearer(nowUs int64) {
	own := m.own(nowUs)
	if own == "" || len(m.sources) < mirrorStreams || m.Live() < mirrorStreams {
		return
	}
	var main, spare *source
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		switch s := m.sources[n]; {
		case s.addr == own && !s.spare:
			main = s
		case s.addr == own:
			spare = s
		}
	}
	var drop *source
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		s := m.sources[n]
		switch {
		case main != nil && s != main && !s.spare, main == nil && spare != nil && s == spare, main == nil && spare == nil && s.spare:
			drop = s
		}
	}
	if drop != nil {
		m.do(MirrorEffect{Close: drop.stream})
		delete(m.sources, drop.stream)
		m.open(nowUs)
	}
}

// rank is this desk's own order of the offices: those of its zone, then by lot.
func (m *Mirror) rank(addr string) uint64 {
	for _, o := range m.offices {
		if o.Addr == addr && o.Zone == m.opts.Zone {
			return 0
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.opts.Desk + "|" + addr))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

func (m *Mirror) report(nowUs int64, urgent bool) {
	if urgent {
		m.urgentUs = nowUs
	}
	spanUs := mirrorReportUs
	if m.urgentUs > m.reportUs {
		spanUs = 20 * clock.Ms
	}
	if nowUs-m.reportUs < spanUs {
		return
	}
	var to *source
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		s := m.sources[n]
		if s.whole && (to == nil || (to.spare && !s.spare) || s.heardUs > to.heardUs+500*clock.Ms) {
			to = s
		}
	}
	if to == nil {
		return
	}
	m.reportUs = nowUs
	m.do(MirrorEffect{Report: to.addr})
}
