package controlclient

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

func (m *Mirror) tick(nowUs int64, urgent bool) {
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		if s := m.sources[n]; nowUs-s.heardUs > mirrorSilentUs {
			m.drop(nowUs, s)
		}
	}
	if len(m.outliers.Rows) > 0 && nowUs-m.judgedUs > verdictLostUs {
		// Nobody upholds these verdicts any more: this gateway goes by its own sight.
		m.outliers.Rows = nil
		if m.snap != nil {
			m.publish(nowUs)
		}
	}
	m.nearer(nowUs)
	m.leaveBehind(nowUs)
	if len(m.sources) < mirrorStreams && nowUs-m.triedUs >= m.unlessFirst(mirrorTryUs) {
		m.open(nowUs, "")
	}
	m.report(nowUs, urgent)
}

// open takes the next control node in this gateway's own order, so that gateways spread over control nodes. Those that
// did not answer come after the others, the one that was tried longest ago first: however many of them are gone for
// good, all are tried in turn. The address named first, if any, comes before all.
func (m *Mirror) open(nowUs int64, first string) {
	m.triedUs = nowUs
	taken := map[string]bool{}
	for _, s := range m.sources {
		taken[s.addr] = true
	}
	free := []string{}
	for _, addr := range m.ControlNodes() {
		if !taken[addr] && nowUs >= m.avoidUntilUs[addr] {
			free = append(free, addr)
		}
	}
	slices.SortStableFunc(free, func(a, b string) int {
		return cmp.Or(
			compareFirst(first, a, b),
			m.compareBehind(nowUs, a, b),
			cmp.Compare(m.failedUs[a], m.failedUs[b]),
			cmp.Compare(m.rank(a), m.rank(b)),
		)
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
		m.do(MirrorEffect{Open: &Stream{Number: m.streams, Addr: addr, Ask: wire.SubscribeRequest{
			Gateway: m.opts.Gateway, Incarnation: m.opts.Incarnation, Addr: m.opts.Addr, Zone: m.opts.Zone, Revision: m.revision, Standby: spare,
		}}})
	}
}

// compareFirst puts one address before all others.
func compareFirst(first, a, b string) int {
	switch first {
	case a:
		return -1
	case b:
		return 1
	}
	return 0
}

// own is the control node of this gateway's own zone, if one is known that may be asked.
func (m *Mirror) own(nowUs int64) string {
	for _, id := range slices.Sorted(maps.Keys(m.controlNodes)) {
		if o := m.controlNodes[id]; o.Zone != "" && o.Zone == m.opts.Zone && nowUs >= m.avoidUntilUs[o.Addr] && !m.wasBehind(nowUs, o.Addr, mirrorBehindNearUs) {
			return o.Addr
		}
	}
	return ""
}

// nearer lets the control node of this gateway's own zone be the main one, a stream at a time: what goes over a
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
		m.open(nowUs, own)
	}
}

// rank is this gateway's own order of the control nodes: those of its zone, then by lot.
func (m *Mirror) rank(addr string) uint64 {
	for _, o := range m.controlNodes {
		if o.Addr == addr && o.Zone == m.opts.Zone {
			return 0
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.opts.Gateway + "|" + addr))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

func (m *Mirror) report(nowUs int64, urgent bool) {
	if urgent {
		m.urgentUs = nowUs
	}
	spanUs := mirrorReportUs + mirrorEachUs*int64(m.gateways)
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
