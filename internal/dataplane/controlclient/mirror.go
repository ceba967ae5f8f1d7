package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	mirrorSilentUs = 1300 * clock.Ms
	mirrorTryUs    = 300 * clock.Ms
	mirrorAvoidUs  = 1000 * clock.Ms
	// mirrorFirstUs is how long a control node is left alone that did not answer a gateway without a declaration, and how
	// often such a gateway tries: it holds its callers meanwhile.
	mirrorFirstUs  = 100 * clock.Ms
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
	// Failing: attempts have failed that no report has told yet.
	Failing bool
	// Unreached is where a report did not arrive.
	Unreached string
}

// MirrorEffect is one thing that the mirror wants done: a stream opened or closed, a report sent to an address, or a
// snapshot published.
type MirrorEffect struct {
	Open     *Stream
	Close    uint64
	Report   string
	Snapshot *scheduling.Snapshot
}

// Stream is one held connection to one control node.
type Stream struct {
	Number uint64
	Addr   string
	Ask    wire.SubscribeRequest
}

type source struct {
	stream  uint64
	spare   bool
	addr    string
	heardUs int64
	live    bool
	whole   bool
	// behindUs is since when the control node says that it may be behind; 0 where it does not.
	behindUs    int64
	controlNode string
	rows        map[string]wire.ReplicaRow
	// orders by replica; the map is replaced, never changed.
	orders   map[string]wire.PendingOrder
	ordersAt uint64
	gateways int
}

// Mirror keeps what a gateway knows by the frames of two control nodes at once, so that the loss of one costs no
// time. Without any it goes on with what it last knew. Revisions only rise.
type Mirror struct {
	opts         Options
	sources      map[uint64]*source
	avoidUntilUs map[string]int64
	// failedUs is when a stream to an address last ended before it had brought a frame, until one does bring one.
	failedUs map[string]int64
	deafUs   map[string]int64
	// behindUs is when a control node last was behind for too long.
	behindUs     map[string]int64
	controlNodes map[string]chain.Member
	view         chain.View
	doc          *configuration.Declaration
	revision     uint64
	number       uint64
	streams      uint64
	triedUs      int64
	reportUs     int64
	urgentUs     int64
	judgedUs     int64
	failing      bool
	last         *source
	best         map[string]wire.ReplicaRow
	orders       map[string]wire.PendingOrder
	ordersAt     uint64
	gateways     int
	outliers     outlier.Table
	ids          []string
	snap         *scheduling.Snapshot
	// touched are the replicas that the next snapshot shows otherwise than the last.
	touched map[string]bool
	effects []MirrorEffect
}

// NewMirror is a mirror that knows nothing but its seeds.
func NewMirror(opts Options) *Mirror {
	return &Mirror{opts: opts, sources: map[uint64]*source{}, avoidUntilUs: map[string]int64{}, failedUs: map[string]int64{}, deafUs: map[string]int64{}, behindUs: map[string]int64{}, best: map[string]wire.ReplicaRow{}, touched: map[string]bool{}, controlNodes: map[string]chain.Member{}}
}

func (m *Mirror) do(e MirrorEffect) { m.effects = append(m.effects, e) }

// ControlNodes are all addresses that may be a control node's, those that were met first.
func (m *Mirror) ControlNodes() []string {
	addrs := []string{}
	for _, id := range slices.Sorted(maps.Keys(m.controlNodes)) {
		addrs = append(addrs, m.controlNodes[id].Addr)
	}
	for _, s := range m.opts.Seeds {
		if !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// View is the newest view of the chain that a control node told.
func (m *Mirror) View() chain.View { return m.view }

// Live counts the control nodes that push to this gateway now.
func (m *Mirror) Live() int {
	n := 0
	for _, s := range m.sources {
		if s.live && s.whole {
			n++
		}
	}
	return n
}

// Step takes one event, or the passing of time alone, and returns what is to be done.
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
		m.deafUs[ev.Unreached] = ev.NowUs + mirrorAvoidUs
		m.urgentUs = ev.NowUs
	}
	m.failing = ev.Failing
	m.tick(ev.NowUs, ev.Urgent)
	return m.effects
}

// unlessFirst is a span, or mirrorFirstUs as long as this gateway has no declaration.
func (m *Mirror) unlessFirst(us int64) int64 {
	if m.doc == nil {
		return mirrorFirstUs
	}
	return us
}

func (m *Mirror) closed(nowUs int64, stream uint64) {
	s := m.sources[stream]
	if s == nil {
		return
	}
	delete(m.sources, stream)
	m.avoidUntilUs[s.addr] = nowUs + m.unlessFirst(mirrorAvoidUs)
	if !s.live {
		m.failedUs[s.addr] = nowUs
	}
	if s.whole && m.Live() == 0 {
		m.last = s
	}
	if m.snap != nil && m.foldAll() {
		m.publish(nowUs)
	}
}

// answered notes that a stream has brought a frame.
func (m *Mirror) answered(s *source) {
	s.live = true
	delete(m.failedUs, s.addr)
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
	s.heardUs, s.controlNode = nowUs, f.ControlNode
	m.answered(s)
	m.noteBehind(nowUs, s, f.PossiblyStale)
	if f.Complete {
		s.whole, s.rows = true, map[string]wire.ReplicaRow{}
	}
	if f.View != nil && f.View.Number >= m.view.Number {
		m.view = *f.View
	}
	for _, o := range f.ControlNodes {
		m.controlNodes[o.ID] = o
	}
	if len(m.controlNodes) > 64 {
		m.controlNodes = map[string]chain.Member{}
	}
	for _, r := range f.Replicas {
		s.rows[r.ID] = r
	}
	if f.Orders != nil {
		s.order(f.Orders, f.Complete)
	}
	s.gateways = f.GatewayCount
	revision := m.revision
	if !m.configured(f) {
		m.drop(nowUs, s)
		return
	}
	news := revision != m.revision || m.snap == nil || f.View != nil
	if f.Complete {
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
func (s *source) order(o *wire.PendingOrders, whole bool) {
	next := make(map[string]wire.PendingOrder, len(o.Rows)+len(s.orders))
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

// configured lays a frame's declaration or edits on what this gateway has; false where some are missing.
func (m *Mirror) configured(f *wire.Frame) bool {
	if f.Revision <= m.revision {
		return true
	}
	if f.Declaration != nil {
		m.doc, m.revision = f.Declaration.Indexed(), f.Revision
		return true
	}
	if m.doc == nil || f.EditsFrom > m.revision || f.Revision-f.EditsFrom != uint64(len(f.Edits)) {
		return false
	}
	doc := m.doc
	for _, e := range f.Edits[m.revision-f.EditsFrom:] {
		next, bad := doc.Apply(e)
		if bad != nil {
			return false
		}
		doc = next
	}
	m.doc, m.revision = doc.Indexed(), f.Revision
	return true
}
