package subscriber

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"petreltide/internal/chain"
	"petreltide/internal/clock"
	"petreltide/internal/dispatch"
	"petreltide/internal/outlier"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

const (
	mirrorSilentUs = 1300 * clock.Ms
	mirrorTryUs    = 300 * clock.Ms
	mirrorShyUs    = 1000 * clock.Ms
	mirrorReportUs = 250 * clock.Ms
	mirrorEachUs   = 3 * clock.Ms
	mirrorIdleUs   = 1000 * clock.Ms
	mirrorStreams  = 2
	mirrorFailUs   = 250 * clock.Ms
	verdictLostUs  = 30 * clock.Sec
)

// MirrorEvent brings a frame of a stream, or its end, or seeds that changed.
type MirrorEvent struct {
	NowUs  int64
	Frame  *wire.Frame
	Stream uint64
	Closed uint64
	Seeds  []string
	Urgent bool
	// Failing: legs have failed that no report has told yet.
	Failing bool
	// Unreached is where a report did not arrive.
	Unreached string
}

type MirrorEffect struct {
	Open     *Stream
	Close    uint64
	Report   string
	Snapshot *dispatch.Snapshot
}

// Stream is one held connection to one office.
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
	// behindUs is since when the office says that it may be behind; 0 where it does not.
	behindUs int64
	office   string
	rows     map[string]wire.ReplicaRow
	// orders by replica; the map is replaced, never changed.
	orders   map[string]wire.OrderAhead
	ordersAt uint64
	desks    int
}

// Mirror keeps what a desk knows by the frames of two offices at once, so that the loss of one costs no
// time. Without any it goes on with what it last knew. Revisions only rise.
type Mirror struct {
	opts    Options
	sources map[uint64]*source
	shyUs   map[string]int64
	deafUs  map[string]int64
	// behindUs is when an office last was behind for too long.
	behindUs map[string]int64
	offices  map[string]chain.Member
	view     chain.View
	doc      *standing.Declaration
	revision uint64
	number   uint64
	streams  uint64
	triedUs  int64
	reportUs int64
	urgentUs int64
	judgedUs int64
	failing  bool
	last     *source
	best     map[string]wire.ReplicaRow
	orders   map[string]wire.OrderAhead
	ordersAt uint64
	desks    int
	outliers outlier.Table
	ids      []string
	snap     *dispatch.Snapshot
	// touched are the replicas that the next snapshot shows otherwise than the last.
	touched map[string]bool
	effects []MirrorEffect
}

func NewMirror(opts Options) *Mirror {
	return &Mirror{opts: opts, sources: map[uint64]*source{}, shyUs: map[string]int64{}, deafUs: map[string]int64{}, behindUs: map[string]int64{}, best: map[string]wire.ReplicaRow{}, touched: map[string]bool{}, offices: map[string]chain.Member{}}
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
		m.frame(ev.NowUs, ev.Stream, ev.Frame)
	case ev.Closed != 0:
		m.closed(ev.NowUs, ev.Closed)
	case ev.Seeds != nil:
		m.opts.Seeds = ev.Seeds
	case ev.Unreached != "":
		m.deafUs[ev.Unreached] = ev.NowUs + mirrorShyUs
		m.urgentUs = ev.NowUs
	}
	m.failing = ev.Failing
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
	if m.snap != nil && m.foldAll() {
		m.publish(nowUs)
	}
}

func (m *Mirror) drop(nowUs int64, s *source) {
	m.do(MirrorEffect{Close: s.stream})
	m.closed(nowUs, s.stream)
}

func (m *Mirror) frame(nowUs int64, stream uint64, f *wire.Frame) {
	s := m.sources[stream]
	if s == nil {
		return
	}
	s.heardUs, s.live, s.office = nowUs, true, f.Office
	m.noteBehind(nowUs, s, f.Behind)
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
		s.rows[r.ID] = r
	}
	if f.Orders != nil {
		s.order(f.Orders, f.Whole)
	}
	s.desks = f.Desks
	revision := m.revision
	if !m.configured(f) {
		m.drop(nowUs, s)
		return
	}
	news := revision != m.revision || m.snap == nil || f.View != nil
	if f.Whole {
		news = m.foldAll() || news
	} else if len(f.Replicas) > 0 {
		for _, r := range f.Replicas {
			news = m.foldRow(r.ID) || news
		}
	}
	news = m.foldRest() || news
	if f.Outliers != nil && f.Outliers.After(m.outliers) {
		m.outliers, news = *f.Outliers, true
		m.judgedUs = nowUs
	}
	if news {
		m.publish(nowUs)
	}
}

// order lays what has changed on the orders that stood.
func (s *source) order(o *wire.Orders, whole bool) {
	next := make(map[string]wire.OrderAhead, len(o.Rows)+len(s.orders))
	if !whole {
		maps.Copy(next, s.orders)
	}
	for _, row := range o.Rows {
		if row.Unit == "" {
			delete(next, row.Replica)
		} else {
			next[row.Replica] = row
		}
	}
	s.orders, s.ordersAt = next, o.Number
}

// configured lays a frame's declaration or edits on what this desk has; false where some are missing.
func (m *Mirror) configured(f *wire.Frame) bool {
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

// whole are the sources that have told all they know; without any, the last one that had.
func (m *Mirror) wholeSources() []*source {
	sources := []*source{}
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		if s := m.sources[n]; s.whole {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 && m.last != nil {
		sources = append(sources, m.last)
	}
	return sources
}

// foldRow joins what the offices say of one life: its latest word counts, and it is dark only where every
// office that knows it says so.
func (m *Mirror) foldRow(id string) (changed bool) {
	var best wire.ReplicaRow
	known := false
	for _, s := range m.wholeSources() {
		r, ok := s.rows[id]
		switch {
		case !ok:
		case !known, best.Stale && !r.Stale, r.Gone && !r.Stale && !best.Gone:
			best, known = r, true
		case best.Gone || (r.Stale && !best.Stale):
		default:
			best = newer(best, r)
		}
	}
	have, had := m.best[id]
	if !known || best.Gone {
		delete(m.best, id)
		changed = had
	} else {
		m.best[id] = best
		changed = !had || !sameRow(have, best)
	}
	if changed {
		m.touched[id] = true
	}
	return changed
}

func sameRow(a, b wire.ReplicaRow) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining && a.LeftMs == b.LeftMs &&
		a.Dark == b.Dark && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

func (m *Mirror) foldAll() (changed bool) {
	ids := map[string]bool{}
	for id := range m.best {
		ids[id] = true
	}
	for _, s := range m.wholeSources() {
		for id := range s.rows {
			ids[id] = true
		}
	}
	for id := range ids {
		changed = m.foldRow(id) || changed
	}
	return changed
}

func (m *Mirror) foldRest() (changed bool) {
	desks := 0
	for _, s := range m.wholeSources() {
		if s.ordersAt > m.ordersAt || (m.orders == nil && s.orders != nil) {
			m.reorder(s)
			changed = true
		}
		desks = max(desks, s.desks)
	}
	changed = changed || desks != m.desks
	m.desks = desks
	return changed
}

// reorder takes a source's orders for the newest.
func (m *Mirror) reorder(s *source) {
	for id, o := range s.orders {
		if m.orders[id] != o {
			m.touched[id] = true
		}
	}
	for id := range m.orders {
		if _, stands := s.orders[id]; !stands {
			m.touched[id] = true
		}
	}
	m.orders, m.ordersAt = s.orders, s.ordersAt
}

// publish writes what was folded as a snapshot that never changes; it shares with the last one what has not.
func (m *Mirror) publish(nowUs int64) {
	m.number++
	snap := &dispatch.Snapshot{
		Number: m.number, View: m.view.Number, Revision: m.revision, Doc: m.doc, AtUs: nowUs, Desks: m.desks,
		Trials: m.outliers.In(m.opts.Zone),
	}
	last := m.snap
	if last == nil {
		last = &dispatch.Snapshot{Replicas: map[string]*wire.ReplicaNews{}, ByService: map[string][]*wire.ReplicaNews{}}
	}
	snap.Replicas, snap.ByService = last.Replicas, last.ByService
	if len(m.touched) > 0 {
		snap.Replicas, snap.ByService = maps.Clone(last.Replicas), maps.Clone(last.ByService)
	}
	own, joined := map[string]bool{}, map[string]bool{}
	for id := range m.touched {
		was := snap.Replicas[id]
		r, known := m.best[id]
		if !known {
			if was != nil {
				delete(snap.Replicas, id)
				joined[was.Service], m.ids = true, nil
			}
			continue
		}
		news := m.newsOf(r)
		snap.Replicas[id] = news
		switch {
		case was == nil:
			joined[r.Service], m.ids = true, nil
		case was.Service != r.Service:
			joined[r.Service], joined[was.Service] = true, true
		default:
			if !own[r.Service] {
				own[r.Service] = true
				snap.ByService[r.Service] = slices.Clone(snap.ByService[r.Service])
			}
			row := snap.ByService[r.Service]
			at, _ := slices.BinarySearchFunc(row, id, func(n *wire.ReplicaNews, id string) int { return cmp.Compare(n.ID, id) })
			row[at] = news
		}
	}
	clear(m.touched)
	if m.ids == nil {
		m.ids = slices.Sorted(maps.Keys(m.best))
	}
	snap.IDs = m.ids
	for service := range joined {
		delete(snap.ByService, service)
	}
	if len(joined) > 0 {
		for _, id := range m.ids {
			if news := snap.Replicas[id]; joined[news.Service] {
				snap.ByService[news.Service] = append(snap.ByService[news.Service], news)
			}
		}
	}
	m.snap = snap
	m.do(MirrorEffect{Snapshot: snap})
}

func (m *Mirror) newsOf(r wire.ReplicaRow) *wire.ReplicaNews {
	news := &wire.ReplicaNews{
		ID: r.ID, Inc: r.ID, Addr: r.Addr, Zone: r.Zone, Service: r.Service, Slots: r.Slots, Leaving: r.Draining, LeftMs: r.LeftMs,
		Dark: r.Dark, Stale: r.Stale, Holds: r.Units, Share: r.Slots,
	}
	if o, stands := m.orders[r.ID]; stands && o.Unload {
		news.Unloading = o.Unit
	} else if stands {
		news.Loading = o.Unit
	}
	return news
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
	if len(m.outliers.Rows) > 0 && nowUs-m.judgedUs > verdictLostUs {
		// Nobody upholds these verdicts any more: this desk goes by its own sight.
		m.outliers.Rows = nil
		if m.snap != nil {
			m.publish(nowUs)
		}
	}
	m.nearer(nowUs)
	m.leaveBehind(nowUs)
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
	slices.SortStableFunc(free, func(a, b string) int {
		return cmp.Or(m.compareBehind(nowUs, a, b), cmp.Compare(m.rank(a), m.rank(b)))
	})
	main, own := false, m.own(nowUs)
	for _, s := range m.sources {
		main = main || (!s.spare && (own == "" || s.addr == own))
	}
	for _, addr := range free[:min(len(free), max(1, mirrorStreams-len(m.sources)))] {
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
		if o := m.offices[id]; o.Zone != "" && o.Zone == m.opts.Zone && nowUs >= m.shyUs[o.Addr] && !m.wasBehind(nowUs, o.Addr, mirrorBehindNearUs) {
			return o.Addr
		}
	}
	return ""
}

// nearer lets the office of this desk's own zone be the main one, a stream at a time: what goes over a
// spare stream is little, and the rest then need not cross zones.
func (m *Mirror) nearer(nowUs int64) {
	own := m.own(nowUs)
	if own == "" || len(m.sources) != mirrorStreams || m.Live() < mirrorStreams {
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
	spanUs := mirrorReportUs + mirrorEachUs*int64(m.desks)
	if m.failing {
		spanUs = min(spanUs, mirrorFailUs)
	}
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
	addr := to.addr
	if head := m.view.Head(); head.Addr != "" && nowUs >= m.deafUs[head.Addr] {
		addr = head.Addr
	}
	m.reportUs = nowUs
	m.do(MirrorEffect{Report: addr})
}
