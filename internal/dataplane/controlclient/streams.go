package controlclient

import (
	"cmp"
	"maps"
	"slices"

	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// tick closes streams that timed out, opens new ones, expires outlier verdicts, and sends a report if one is due.
func (i *Informer) tick(nowUs int64, urgent bool) {
	for _, n := range slices.Sorted(maps.Keys(i.sources)) {
		if s := i.sources[n]; nowUs-s.receivedAtUs > frameTimeoutUs {
			i.drop(nowUs, s)
		}
	}
	if len(i.outliers.Rows) > 0 && nowUs-i.outliersAtUs > outlierTimeoutUs {
		// The verdicts are no longer renewed, so this gateway relies on its own outlier detection.
		i.outliers.Rows = nil
		if i.snapshot != nil {
			i.publish(nowUs)
		}
	}
	i.preferZone(nowUs)
	i.replaceStale(nowUs)
	if len(i.sources) < streamCount && nowUs-i.openedAtUs >= i.backoff(openIntervalUs) {
		i.open(nowUs, "")
	}
	i.report(nowUs, urgent)
}

// open opens streams to the next control nodes in this gateway's own order, which spreads gateways over the control nodes. Control
// nodes that did not answer come after the others, starting with the one whose failure is oldest, so that all are tried in turn
// however many of them are permanently gone. The address in first, if not empty, precedes all others.
func (i *Informer) open(nowUs int64, first string) {
	i.openedAtUs = nowUs
	followed := map[string]bool{}
	for _, s := range i.sources {
		followed[s.addr] = true
	}
	candidates := []string{}
	for _, addr := range i.ControlNodes() {
		if !followed[addr] && nowUs >= i.backoffUntilUs[addr] {
			candidates = append(candidates, addr)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int {
		return cmp.Or(
			compareFirst(first, a, b),
			i.compareStaleness(nowUs, a, b),
			cmp.Compare(i.failedAtUs[a], i.failedAtUs[b]),
			cmp.Compare(i.rank(a), i.rank(b)),
		)
	})
	primary, preferred := false, i.zoneControlNode(nowUs)
	for _, s := range i.sources {
		primary = primary || (!s.standby && s.staleSinceUs == 0 && (preferred == "" || s.addr == preferred))
	}
	for _, addr := range candidates[:min(len(candidates), max(1, streamCount-len(i.sources)))] {
		i.lastStream++
		standby := primary
		primary = true
		i.sources[i.lastStream] = &source{stream: i.lastStream, addr: addr, standby: standby, receivedAtUs: nowUs, replicas: map[string]wire.ReplicaRow{}}
		i.emit(InformerEffect{Open: &Stream{Number: i.lastStream, Addr: addr, Request: wire.SubscribeRequest{
			Gateway: i.opts.Gateway, Incarnation: i.opts.Incarnation, Addr: i.opts.Addr, Zone: i.opts.Zone, Revision: i.revision, Standby: standby,
		}}})
	}
}

// compareFirst orders the address first before all others.
func compareFirst(first, a, b string) int {
	switch first {
	case a:
		return -1
	case b:
		return 1
	}
	return 0
}

// zoneControlNode returns the address of a control node in this gateway's zone that is neither in backoff nor recently stale, or an
// empty string.
func (i *Informer) zoneControlNode(nowUs int64) string {
	for _, id := range slices.Sorted(maps.Keys(i.controlNodes)) {
		if o := i.controlNodes[id]; o.Zone != "" && o.Zone == i.opts.Zone && nowUs >= i.backoffUntilUs[o.Addr] && !i.wasStale(nowUs, o.Addr, staleZoneBackoffUs) {
			return o.Addr
		}
	}
	return ""
}

// preferZone makes the control node of this gateway's zone the primary, replacing one stream at a time. A standby stream carries
// little, so most of the traffic then stays within the zone.
func (i *Informer) preferZone(nowUs int64) {
	preferred := i.zoneControlNode(nowUs)
	if preferred == "" || len(i.sources) != streamCount || i.LiveStreamCount() < streamCount {
		return
	}
	var primary, standby *source
	for _, n := range slices.Sorted(maps.Keys(i.sources)) {
		switch s := i.sources[n]; {
		case s.addr == preferred && !s.standby:
			primary = s
		case s.addr == preferred:
			standby = s
		}
	}
	var drop *source
	for _, n := range slices.Sorted(maps.Keys(i.sources)) {
		s := i.sources[n]
		switch {
		case primary != nil && s != primary && !s.standby, primary == nil && standby != nil && s == standby, primary == nil && standby == nil && s.standby:
			drop = s
		}
	}
	if drop != nil {
		i.emit(InformerEffect{Close: drop.stream})
		delete(i.sources, drop.stream)
		i.open(nowUs, preferred)
	}
}

// rank returns the position of a control node in this gateway's own order: those of its zone first, then by hash.
func (i *Informer) rank(addr string) uint64 {
	for _, o := range i.controlNodes {
		if o.Addr == addr && o.Zone == i.opts.Zone {
			return 0
		}
	}
	return membership.SpreadHash(i.opts.Gateway + "|" + addr)
}

// report emits a report if the interval has passed and a source is complete. The report goes to the head of the chain, or to a
// complete source if the head is unknown or was recently unreachable.
func (i *Informer) report(nowUs int64, urgent bool) {
	if urgent {
		i.urgentAtUs = nowUs
	}
	intervalUs := reportIntervalUs + reportIntervalPerGatewayUs*int64(i.gatewayCount)
	if i.failing {
		intervalUs = min(intervalUs, failureReportIntervalUs)
	}
	if i.urgentAtUs > i.reportedAtUs {
		intervalUs = 20 * clock.Ms
	}
	if nowUs-i.reportedAtUs < intervalUs {
		return
	}
	var to *source
	for _, n := range slices.Sorted(maps.Keys(i.sources)) {
		s := i.sources[n]
		if s.complete && (to == nil || (to.standby && !s.standby) || s.receivedAtUs > to.receivedAtUs+500*clock.Ms) {
			to = s
		}
	}
	if to == nil {
		return
	}
	addr := to.addr
	if head := i.view.Head(); head.Addr != "" && nowUs >= i.unreachableUntilUs[head.Addr] {
		addr = head.Addr
	}
	i.reportedAtUs = nowUs
	i.emit(InformerEffect{Report: addr})
}
