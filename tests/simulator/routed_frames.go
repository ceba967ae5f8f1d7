package simulator

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/scheduling"
)

func (t *routedGateway) unfollow(number uint64) {
	s := t.streams[number]
	delete(t.streams, number)
	if s == nil {
		return
	}
	s.down.closed = true
	if o, ok := t.day.controlNodeOf(s); ok {
		t.day.carry(&t.machine, &o.machine, 5*sec, func() { o.unfollow(s) }, func() {})
	}
}

func (d *routedDay) controlNodeOf(s *frameStream) (*routedControlNode, bool) {
	for _, o := range d.controlNodes {
		if &o.machine == s.down.from {
			return o, true
		}
	}
	return nil, false
}

func (t *routedGateway) reflect(ev controlclient.InformerEvent) {
	d := t.day
	ev.NowUs = t.clock()
	for _, e := range t.mirror.Step(ev) {
		switch {
		case e.Open != nil:
			t.follow(*e.Open)
		case e.Close != 0:
			t.unfollow(e.Close)
		case e.Report != "":
			report := clone(t.decider.Report(t.clock()))
			report.Addr, report.Zone = t.addr, t.zone
			d.show("report", report)
			if o := d.controlNodeAt(e.Report); o != nil {
				d.carry(&t.machine, &o.machine, 600*ms, func() { o.step(controlnode.RoutedGatewayReport{Report: &report}) }, func() {})
			}
		case e.Snapshot != nil:
			t.swap(e.Snapshot)
		}
	}
}

// swap takes the newest news; the plants break that.
func (t *routedGateway) swap(snap *scheduling.Snapshot) {
	held := *snap
	if t.snap != nil {
		switch t.day.plan.Plant {
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
			if t.snap.Declaration != nil && t.day.nowUs > bootUs+t.day.plan.CalmUs {
				held.Declaration, held.Revision = t.snap.Declaration, t.snap.Revision
			}
		case "back":
			if t.older == nil && t.snap.Declaration != nil && t.snap.Declaration != held.Declaration {
				t.older = t.snap
			}
			if t.older != nil && t.day.nowUs/sec%4 >= 2 {
				held.Declaration = t.older.Declaration
			}
		}
	}
	t.snap = &held
	t.step(scheduling.SnapshotReceived{Snapshot: &held})
}

// forget leaves a replica out of what a gateway knows.
func forget(s *scheduling.Snapshot, id string) {
	row := s.Replicas[id]
	s.Replicas, s.ByService, s.IDs = maps.Clone(s.Replicas), maps.Clone(s.ByService), slices.Clone(s.IDs)
	delete(s.Replicas, id)
	s.IDs = slices.DeleteFunc(s.IDs, func(other string) bool { return other == id })
	s.ByService[row.Service] = slices.DeleteFunc(slices.Clone(s.ByService[row.Service]), func(r *wire.ReplicaUpdate) bool { return r.ID == id })
}

func (t *routedGateway) follow(s controlclient.Stream) {
	d := t.day
	o := d.controlNodeAt(s.Addr)
	if d.plan.Plant == "seed-bound" && !slices.Contains(d.seeds, s.Addr) {
		o = nil
	}
	if o == nil || !o.up || d.isCut(t.name, o.name) || d.isCut(o.name, t.name) {
		t.later(dialUs, func() { t.closed(s.Number) })
		return
	}
	f := &frameStream{gateway: t, number: s.Number, down: d.pipe(&o.machine, &t.machine)}
	t.streams[s.Number] = f
	ask := s.Request
	d.carry(&t.machine, &o.machine, 5*sec, func() { o.subscribe(f, ask) }, func() {
		t.now(t.boot, func() { t.closed(s.Number) })
	})
}

func (t *routedGateway) closed(number uint64) {
	delete(t.streams, number)
	t.reflect(controlclient.InformerEvent{Closed: number})
}

func (t *routedGateway) frame(number uint64, f *wire.Frame) {
	t.reflect(controlclient.InformerEvent{Frame: f, Stream: number})
}

// reseed gives the mirror other first contacts.
func (t *routedGateway) reseed(seeds []string) {
	t.reflect(controlclient.InformerEvent{Seeds: seeds})
}
