package simulator

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/quota"
	"petreltide/internal/dataplane/scheduling"
)

func (g *routedGateway) closeStream(number uint64) {
	s := g.streams[number]
	delete(g.streams, number)
	if s == nil {
		return
	}
	s.fromControlNode.closed = true
	if o, ok := g.day.controlNodeOf(s); ok {
		g.day.transmit(&g.machine, &o.machine, 5*second, func() { o.unfollow(s) }, func() {})
	}
}

func (d *routedDay) controlNodeOf(s *frameStream) (*routedControlNode, bool) {
	for _, o := range d.controlNodes {
		if &o.machine == s.fromControlNode.from {
			return o, true
		}
	}
	return nil, false
}

func (g *routedGateway) stepInformer(ev controlclient.InformerEvent) {
	d := g.day
	ev.NowUs = g.clock()
	effects := g.informer.Step(ev)
	if ev.Frame != nil && ev.Frame.View != nil {
		g.stepQuota(quota.ViewReceived{View: g.informer.View()})
	}
	for _, e := range effects {
		switch {
		case e.Open != nil:
			g.openStream(*e.Open)
		case e.Close != 0:
			g.closeStream(e.Close)
		case e.Report != "":
			report := clone(g.decider.Report(g.clock()))
			report.Addr, report.Zone = g.addr, g.zone
			d.logValue("report", report)
			if o := d.controlNodeAt(e.Report); o != nil {
				d.transmit(&g.machine, &o.machine, 600*millisecond, func() { o.step(controlnode.RoutedGatewayReport{Report: &report}) }, func() {})
			}
		case e.Snapshot != nil:
			g.publishSnapshot(e.Snapshot)
		}
	}
}

// publishSnapshot takes the newest news; the plants break that.
func (g *routedGateway) publishSnapshot(snap *scheduling.Snapshot) {
	held := *snap
	if g.snapshot != nil {
		switch g.day.plan.Plant {
		case "deaf":
			fresh := map[string]*wire.ReplicaUpdate{}
			for id, r := range held.Replicas {
				row := *r
				row.Draining = false
				fresh[id] = &row
			}
			held.Replicas, held.ByService = fresh, map[string][]*wire.ReplicaUpdate{}
			for _, id := range held.IDs {
				held.ByService[fresh[id].Service] = append(held.ByService[fresh[id].Service], fresh[id])
			}
		case "forgetful":
			if len(held.IDs) > 1 {
				forget(&held, held.IDs[0])
			}
		case "old-doc":
			if g.snapshot.Declaration != nil && g.day.nowUs > bootUs+g.day.plan.QuietUs {
				held.Declaration, held.Revision = g.snapshot.Declaration, g.snapshot.Revision
			}
		case "back":
			if g.previousSnapshot == nil && g.snapshot.Declaration != nil && g.snapshot.Declaration != held.Declaration {
				g.previousSnapshot = g.snapshot
			}
			if g.previousSnapshot != nil && g.day.nowUs/second%4 >= 2 {
				held.Declaration = g.previousSnapshot.Declaration
			}
		}
	}
	g.countRenamed(held.Declaration)
	g.snapshot = &held
	g.step(scheduling.SnapshotReceived{Snapshot: &held})
}

// forget leaves a replica out of what a gateway knows.
func forget(s *scheduling.Snapshot, id string) {
	row := s.Replicas[id]
	s.Replicas, s.ByService, s.IDs = maps.Clone(s.Replicas), maps.Clone(s.ByService), slices.Clone(s.IDs)
	delete(s.Replicas, id)
	s.IDs = slices.DeleteFunc(s.IDs, func(other string) bool { return other == id })
	s.ByService[row.Service] = slices.DeleteFunc(slices.Clone(s.ByService[row.Service]), func(r *wire.ReplicaUpdate) bool { return r.ID == id })
}

func (g *routedGateway) openStream(s controlclient.Stream) {
	d := g.day
	o := d.controlNodeAt(s.Addr)
	if d.plan.Plant == "seed-bound" && !slices.Contains(d.seeds, s.Addr) {
		o = nil
	}
	if o == nil || !o.up || d.isCut(g.name, o.name) || d.isCut(o.name, g.name) {
		g.after(dialUs, func() { g.closed(s.Number) })
		return
	}
	f := &frameStream{gateway: g, number: s.Number, fromControlNode: d.newLink(&o.machine, &g.machine)}
	g.streams[s.Number] = f
	ask := s.Request
	d.transmit(&g.machine, &o.machine, 5*second, func() { o.subscribe(f, ask) }, func() {
		g.deliver(g.boot, func() { g.closed(s.Number) })
	})
}

func (g *routedGateway) closed(number uint64) {
	delete(g.streams, number)
	g.stepInformer(controlclient.InformerEvent{Closed: number})
}

func (g *routedGateway) frame(number uint64, f *wire.Frame) {
	g.stepInformer(controlclient.InformerEvent{Frame: f, Stream: number})
}

// reseed gives the mirror other first contacts.
func (g *routedGateway) reseed(seeds []string) {
	g.stepInformer(controlclient.InformerEvent{Seeds: seeds})
}
