package controlclient

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// testControlNode is a control node as gateways see it: its replicated state, which may lag, its registry and its frame publisher.
type testControlNode struct {
	addr      string
	state     *statemachine.State
	applied   int
	registry  *registry.Registry
	publisher *distribution.FramePublisher
	committed bool
	stale     bool
	view      uint64

	outliers outlier.Table
}

func newTestControlNode(addr string) *testControlNode {
	return &testControlNode{addr: addr, state: statemachine.NewState(), registry: registry.New(3 * clock.Sec), publisher: distribution.NewFramePublisher(), committed: true, view: 1}
}

func (c *testControlNode) frameInput(nowUs int64) distribution.FrameInput {
	return distribution.FrameInput{NowUs: nowUs, State: c.state, View: membership.View{Number: c.view}, Committed: c.committed, PossiblyStale: c.stale, Registry: c.registry, Outliers: c.outliers,
		ControlNodes: []membership.Member{{ID: "one", Addr: "one"}, {ID: "two", Addr: "two"}}}
}

func (c *testControlNode) apply(log []statemachine.Change, upto int) {
	for ; c.applied < upto; c.applied++ {
		c.state.Apply(uint64(c.applied+1), log[c.applied])
	}
}

// restart discards all state that is not on disk. The state on disk is not yet known to be committed.
func (c *testControlNode) restart() {
	back, err := statemachine.Decode(c.state.Encode())
	if err != nil {
		panic(err)
	}
	*c = testControlNode{addr: c.addr, state: back, applied: c.applied, registry: registry.New(3 * clock.Sec), publisher: distribution.NewFramePublisher(), view: c.view}
}

// testGateway is an informer with its streams to the control nodes. Frames are transferred as JSON.
type testGateway struct {
	t                 *testing.T
	informer          *Informer
	controlNodes      map[string]*testControlNode
	streams           map[uint64]*testControlNode
	down              map[string]bool
	snapshot          *scheduling.Snapshot
	openedCount       int
	requestedRevision uint64
	regression        string
}

func newTestGateway(t *testing.T, gateway string, controlNodes ...*testControlNode) *testGateway {
	s := &testGateway{t: t, controlNodes: map[string]*testControlNode{}, streams: map[uint64]*testControlNode{}, down: map[string]bool{}}
	addrs := []string{}
	for _, c := range controlNodes {
		s.controlNodes[c.addr] = c
		addrs = append(addrs, c.addr)
	}
	s.informer = NewInformer(Options{Gateway: gateway, Incarnation: "i", Seeds: addrs})
	return s
}

func (s *testGateway) step(nowUs int64, ev InformerEvent) {
	ev.NowUs = nowUs
	for _, e := range s.informer.Step(ev) {
		switch {
		case e.Open != nil:
			s.openedCount++
			s.requestedRevision = e.Open.Request.Revision
			if c := s.controlNodes[e.Open.Addr]; c != nil && !s.down[e.Open.Addr] {
				c.publisher.Subscribe(nowUs, e.Open.Request)
				s.streams[e.Open.Number] = c
			} else {
				s.step(nowUs, InformerEvent{Closed: e.Open.Number})
			}
		case e.Close != 0:
			s.unsubscribe(e.Close)
		case e.Snapshot != nil:
			if p := s.snapshot; p != nil && (e.Snapshot.Revision < p.Revision || e.Snapshot.View < p.View || e.Snapshot.Number <= p.Number || (p.Declaration != nil && e.Snapshot.Declaration.Version < p.Declaration.Version)) {
				s.regression = fmt.Sprintf("snapshot went from revision %d, view %d, number %d to revision %d, view %d, number %d", p.Revision, p.View, p.Number, e.Snapshot.Revision, e.Snapshot.View, e.Snapshot.Number)
			}
			s.snapshot = e.Snapshot
		}
	}
}

func (s *testGateway) unsubscribe(stream uint64) {
	if c := s.streams[stream]; c != nil {
		c.publisher.Unsubscribe(s.informer.opts.Gateway, "i")
		delete(s.streams, stream)
	}
}

func (s *testGateway) loseStream(nowUs int64, stream uint64) {
	s.unsubscribe(stream)
	s.step(nowUs, InformerEvent{Closed: stream})
}

// deliverFrames delivers the frames that each control node has to send. Of these, lossPercent percent are lost together with their
// stream.
func (s *testGateway) deliverFrames(nowUs int64, r *rand.Rand, lossPercent int) {
	for _, stream := range s.openStreams() {
		c := s.streams[stream]
		if c == nil {
			continue
		}
		for _, p := range c.publisher.Frames(c.frameInput(nowUs)) {
			if r.Intn(100) < lossPercent {
				s.loseStream(nowUs, stream)
				break
			}
			raw, err := json.Marshal(p.Frame)
			if err != nil {
				s.t.Fatal(err)
			}
			var f wire.Frame
			if err := json.Unmarshal(raw, &f); err != nil {
				s.t.Fatal(err)
			}
			f.ControlNode = c.addr
			s.step(nowUs, InformerEvent{Frame: &f, Stream: stream})
		}
	}
	s.step(nowUs, InformerEvent{})
}

func (s *testGateway) openStreams() []uint64 {
	all := []uint64{}
	for n := range s.streams {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func service(models ...string) configuration.Service {
	e := &configuration.Engine{Slots: 4, CacheTokens: 1, CapacityMB: 100, MaxAdapters: 2, LoadsPerSecond: 1}
	for _, m := range models {
		e.Models = append(e.Models, configuration.EngineModel{Name: m, SizeMB: 10, LoadMs: 100, Adapters: 2, AdapterMB: 1})
	}
	return configuration.Service{Name: "s", Engine: e, Source: json.RawMessage(`{"own":"text"}`)}
}

func route(name string, timeoutMs int64) configuration.Route {
	return configuration.Route{Name: name, Host: "h", Prefix: "/" + name + "/", RetryClass: configuration.Idempotent, TimeoutMs: timeoutMs, MaxAttempts: 1,
		Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`{"own":"text"}`)}
}

// changeLog generates changes as the head of the chain does, based on a state to which all of them have been applied.
type changeLog struct {
	r       *rand.Rand
	state   *statemachine.State
	changes []statemachine.Change
	version uint64
}

func (c *changeLog) add(change statemachine.Change) {
	change.ID = fmt.Sprint("c", len(c.changes))
	c.changes = append(c.changes, change)
	c.state.Apply(uint64(len(c.changes)), change)
}

// tenantsOfVersion returns the tenants of a version. Each has a key of its own, and one of them, or none, has the key "roaming".
func tenantsOfVersion(version uint64) []configuration.Tenant {
	all := []configuration.Tenant{}
	for n := range uint64(3) {
		keys := []string{configuration.KeyDigest(fmt.Sprint("own", n))}
		if version%4 == n {
			keys = append(keys, configuration.KeyDigest("roaming"))
		}
		all = append(all, configuration.Tenant{Name: fmt.Sprint("t", n), KeyDigests: keys, Source: json.RawMessage(`{"own":"text"}`)})
	}
	return all
}

// tenantsByKey returns the name of the tenant that has each key.
func tenantsByKey(d *configuration.Declaration) map[string]string {
	all := map[string]string{}
	for _, key := range []string{"own0", "own1", "own2", "roaming", "nobody's"} {
		if tenant := d.TenantOfKey(key); tenant != nil {
			all[key] = tenant.Name
		}
	}
	return all
}

func (c *changeLog) appendConfig() {
	base := c.version
	c.version += 1 + uint64(c.r.Intn(3))
	if base == 0 || c.r.Intn(6) == 0 {
		doc := &configuration.Declaration{Version: c.version, Services: []configuration.Service{service("m1", "m2", "m3")}, Routes: []configuration.Route{route("a", 100), route("b", 100)},
			Tenants: tenantsOfVersion(c.version), RequireKeys: true}
		c.add(statemachine.Change{Config: &statemachine.ConfigChange{Base: base, Version: c.version, Doc: doc}})
		return
	}
	e := &configuration.Edit{Version: c.version, Tenants: tenantsOfVersion(c.version)}
	if c.version%5 == 0 {
		e.Tenants, e.RemoveTenants = e.Tenants[:2], []string{"t2"}
	}
	if c.r.Intn(3) == 0 {
		e.RemoveRoutes = []string{[]string{"a", "b", "c", "d"}[c.r.Intn(4)]}
	} else {
		e.Routes = []configuration.Route{route([]string{"a", "b", "c", "d"}[c.r.Intn(4)], 1+c.r.Int63n(5000))}
	}
	c.add(statemachine.Change{Config: &statemachine.ConfigChange{Base: base, Version: c.version, Edit: e}})
}

func (c *changeLog) appendReplicaChange(id string) {
	replica, command := c.state.Replicas[id], wire.ReplicaCommand{}
	if pending, isPending := c.state.Pending[id]; isPending {
		c.add(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: pending.Number, Succeeded: c.r.Intn(5) > 0}}}})
		return
	}
	if replica == nil {
		c.add(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{{ID: id, Incarnation: id, Addr: id, Zone: "a", CapacityMB: 100, Slots: 4, Service: "s", ResidentKnown: true}}}})
		return
	}
	command = wire.ReplicaCommand{Replica: id, Incarnation: id, Revision: c.state.Revision, Action: wire.Load, Unit: []string{"m1", "m2", "m3", "m1/a1"}[c.r.Intn(4)]}
	if _, held := replica.Resident[command.Unit]; held {
		command.Action = wire.Unload
	}
	c.add(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Commands: []wire.ReplicaCommand{command}}})
}

// snapshotCompareOptions ignore what may differ between snapshots of the same state.
var snapshotCompareOptions = cmp.Options{cmpopts.IgnoreFields(scheduling.Snapshot{}, "Number", "ReceivedUs"), cmpopts.IgnoreFields(configuration.Declaration{}, "Index"), cmpopts.EquateEmpty()}

// Merging incremental frames yields the same snapshot as one complete frame, regardless of lost streams, lagging control nodes
// and restarts, and the snapshots of a gateway never go back to an older state.
func TestInformerMergesIncrementalFramesToCompleteState(t *testing.T) {
	frames, opened, edits := 0, 0, 0
	for seed := int64(0); seed < 150; seed++ {
		r := rand.New(rand.NewSource(seed))
		one, two := newTestControlNode("one"), newTestControlNode("two")
		controlNodes := []*testControlNode{one, two}
		s := newTestGateway(t, "desk", one, two)
		c := &changeLog{r: r, state: statemachine.NewState()}
		seqs := map[string]uint64{}
		since := map[[2]int]uint64{}
		gossip := func(nowUs int64) {
			for i, from := range controlNodes {
				for j, to := range controlNodes {
					if i != j {
						to.registry.Merge(nowUs, from.registry.GossipSince(nowUs, since[[2]int{i, j}], true))
						since[[2]int{i, j}] = from.registry.Revision
						if to.registry.ConsumeResyncRequest() {
							since[[2]int{i, j}] = 0
						}
					}
				}
			}
		}
		// Replica r0 stops sending heartbeats midway, and its entry in the replicated state is removed. It may be marked stale by then.
		nowUs := clock.Sec
		for n := 0; n < 200; n++ {
			nowUs += 20*clock.Ms + r.Int63n(60*clock.Ms)
			id := fmt.Sprint("r", r.Intn(4))
			if n > 100 && id == "r0" {
				id = "r1"
			}
			switch r.Intn(9) {
			case 0:
				c.appendConfig()
			case 1, 2:
				if c.version > 0 {
					c.appendReplicaChange(id)
				}
			case 3, 4:
				seqs[id]++
				controlNodes[r.Intn(2)].registry.HandleHeartbeat(nowUs, wire.ReplicaStatus{ID: id, Service: "s", Addr: id, Zone: "a", Slots: 4, Seq: seqs[id], Draining: r.Intn(5) == 0, Units: []string{"m1", "m2"}[:r.Intn(3)]})
			case 5:
				if n%5 == 0 {
					controlNodes[r.Intn(2)].registry.Remove(nowUs, id)
				}
			case 6:
				if n%10 == 0 {
					i := r.Intn(2)
					for _, stream := range s.openStreams() {
						if s.streams[stream] == controlNodes[i] {
							s.loseStream(nowUs, stream)
						}
					}
					controlNodes[i].restart()
					since = map[[2]int]uint64{}
				}
			case 7:
				controlNodes[r.Intn(2)].view += uint64(r.Intn(2))
			case 8:
				if id := "r0"; c.state.Replicas[id] != nil && n > 100 {
					c.add(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{RemovedReplicas: []string{id}}})
				}
			}
			for _, o := range controlNodes {
				if r.Intn(4) > 0 {
					o.apply(c.changes, o.applied+r.Intn(len(c.changes)-o.applied+1))
					o.committed = o.committed || o.applied == len(c.changes)
				}
				o.registry.Sweep(nowUs)
			}
			gossip(nowUs)
			s.deliverFrames(nowUs, r, 8)
			if frames++; s.regression != "" {
				t.Fatalf("seed %d: %s", seed, s.regression)
			}
		}
		for range 120 {
			nowUs += 30 * clock.Ms
			for _, o := range controlNodes {
				o.apply(c.changes, len(c.changes))
				o.committed, o.view = true, 1000
				for id, seq := range seqs {
					if e := o.registry.Entry(id); e != nil && !e.Removed {
						row := e.ReplicaStatus
						row.Seq = seq + uint64(nowUs)
						o.registry.HandleHeartbeat(nowUs, row)
					}
				}
			}
			gossip(nowUs)
			s.deliverFrames(nowUs, r, 0)
		}
		fresh := newTestGateway(t, "fresh", one)
		for range 3 {
			nowUs += 100 * clock.Ms
			fresh.deliverFrames(nowUs, r, 0)
		}
		if s.informer.LiveStreamCount() != 2 || fresh.snapshot == nil {
			t.Fatalf("seed %d: got %d live streams and snapshot %v of a new gateway, want 2 and a snapshot", seed, s.informer.LiveStreamCount(), fresh.snapshot)
		}
		fresh.snapshot.Gateways = s.snapshot.Gateways
		if diff := cmp.Diff(fresh.snapshot, s.snapshot, snapshotCompareOptions...); diff != "" {
			t.Fatalf("seed %d: snapshots from complete (-) and incremental (+) frames differ:\n%s", seed, diff)
		}
		if s.snapshot.Revision != c.state.Revision || s.snapshot.Declaration.Version != c.version {
			t.Fatalf("seed %d: got revision %d and version %d, want %d and %d", seed, s.snapshot.Revision, s.snapshot.Declaration.Version, c.state.Revision, c.version)
		}
		opened += s.openedCount
		edits += len(c.state.Edits)
	}
	t.Logf("%d rounds, %d streams, %d edits kept at the end", frames, opened, edits)
	if opened < 1000 || edits < 150 {
		t.Errorf("coverage: got %d streams and %d edits, want at least 1000 and 150", opened, edits)
	}
}

// A stale replica, known only from the replicated state, disappears when its entry is removed; a replica whose heartbeats one
// control node has received stays.
func TestStaleReplicaDisappearsWhenRemovedFromReplicatedState(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	c := &changeLog{r: r, state: statemachine.NewState()}
	c.appendConfig()
	c.appendReplicaChange("silent")
	c.appendReplicaChange("heard")
	one, two := newTestControlNode("one"), newTestControlNode("two")
	for _, o := range []*testControlNode{one, two} {
		o.apply(c.changes, len(c.changes))
		o.restart()
		o.committed = true
	}
	two.registry.HandleHeartbeat(clock.Sec, wire.ReplicaStatus{ID: "heard", Service: "s", Addr: "heard", Zone: "a", Slots: 4, Seq: 1})
	s := newTestGateway(t, "desk", one, two)
	pass := func(fromUs int64) []string {
		for us := fromUs; us < fromUs+clock.Sec; us += 100 * clock.Ms {
			s.deliverFrames(us, r, 0)
		}
		return s.snapshot.IDs
	}
	if ids := pass(clock.Sec); !slices.Equal(ids, []string{"heard", "silent"}) || !s.snapshot.Replicas["silent"].Stale || s.snapshot.Replicas["heard"].Stale {
		t.Fatalf("before the removal: got replicas %v, want heard, and silent as stale", ids)
	}
	c.add(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{RemovedReplicas: []string{"silent", "heard"}}})
	for _, o := range []*testControlNode{one, two} {
		o.apply(c.changes, len(c.changes))
	}
	if ids := pass(3 * clock.Sec); !slices.Equal(ids, []string{"heard"}) {
		t.Errorf("after the removal: got replicas %v, want only heard", ids)
	}
}

// A lagging control node never reverts what another one sent, and edits that do not follow from the known revision end the stream.
func TestInformerDropsStreamOnlyOnMissingOrInvalidEdits(t *testing.T) {
	doc := &configuration.Declaration{Version: 7, Routes: []configuration.Route{route("a", 1)}, Services: []configuration.Service{service("m1")}}
	edit := func(ms int64) *configuration.Edit {
		return &configuration.Edit{Version: 9, Routes: []configuration.Route{route("a", ms)}}
	}
	for name, c := range map[string]struct {
		frame    *wire.Frame
		revision uint64
		ms       int64
		dropped  bool
	}{
		"the next edit":                         {&wire.Frame{Revision: 6, EditsFrom: 5, Edits: []*configuration.Edit{edit(2)}}, 6, 2, false},
		"two edits, one known":                  {&wire.Frame{Revision: 6, EditsFrom: 4, Edits: []*configuration.Edit{edit(1), edit(2)}}, 6, 2, false},
		"edits of a lagging control node":       {&wire.Frame{Revision: 4, EditsFrom: 3, Edits: []*configuration.Edit{edit(3)}}, 5, 1, false},
		"declaration of a lagging control node": {&wire.Frame{Revision: 4, Declaration: doc}, 5, 1, false},
		"one edit missing":                      {&wire.Frame{Revision: 7, EditsFrom: 6, Edits: []*configuration.Edit{edit(3)}}, 5, 1, true},
		"too few edits":                         {&wire.Frame{Revision: 7, EditsFrom: 5, Edits: []*configuration.Edit{edit(3)}}, 5, 1, true},
		"no edits":                              {&wire.Frame{Revision: 7, EditsFrom: 5}, 5, 1, true},
		"an edit that does not apply":           {&wire.Frame{Revision: 6, EditsFrom: 5, Edits: []*configuration.Edit{{Version: 9, Routes: []configuration.Route{route("a", 2), route("a", 3)}}}}, 5, 1, true},
		"a complete declaration instead":        {&wire.Frame{Revision: 9, Declaration: &configuration.Declaration{Version: 9, Routes: []configuration.Route{route("a", 4)}}}, 9, 4, false},
	} {
		m := NewInformer(Options{Gateway: "d", Seeds: []string{"one"}})
		stream := uint64(0)
		closed := false
		step := func(ev InformerEvent) {
			for _, e := range m.Step(ev) {
				if e.Open != nil {
					stream = e.Open.Number
				}
				closed = closed || e.Close != 0
			}
		}
		step(InformerEvent{NowUs: clock.Sec})
		step(InformerEvent{NowUs: clock.Sec, Stream: stream, Frame: &wire.Frame{Complete: true, Revision: 5, Declaration: doc}})
		c.frame.Replicas = []wire.ReplicaRow{{ReplicaStatus: wire.ReplicaStatus{ID: "r", Seq: 1}}}
		step(InformerEvent{NowUs: clock.Sec + 1, Stream: stream, Frame: c.frame})
		if m.revision != c.revision || m.declaration.Route("a").TimeoutMs != c.ms || closed != c.dropped {
			t.Errorf("%s: got revision %d, timeout %d ms, stream dropped %v, want %d, %d ms, %v",
				name, m.revision, m.declaration.Route("a").TimeoutMs, closed, c.revision, c.ms, c.dropped)
		}
	}
}

func TestInformerMergesDifferingRowsOfTwoControlNodes(t *testing.T) {
	row := func(seq uint64, edit func(*wire.ReplicaRow)) wire.ReplicaRow {
		r := wire.ReplicaRow{ReplicaStatus: wire.ReplicaStatus{ID: "r", Service: "s", Addr: "r", Slots: 4, Seq: seq, Units: []string{fmt.Sprint("held at ", seq)}}}
		if edit != nil {
			edit(&r)
		}
		return r
	}
	unreachable := func(r *wire.ReplicaRow) { r.Unreachable = true }
	stale := func(r *wire.ReplicaRow) { r.Stale = true }
	gone := func(r *wire.ReplicaRow) { r.Removed = true }
	leaving := func(r *wire.ReplicaRow) { r.Draining = true }
	at := func(seq uint64, edit func(*wire.ReplicaUpdate)) *wire.ReplicaUpdate {
		n := &wire.ReplicaUpdate{ID: "r", Incarnation: "r", Addr: "r", Service: "s", Slots: 4, MaxInFlight: 4, Loaded: []string{fmt.Sprint("held at ", seq)}}
		if edit != nil {
			edit(n)
		}
		return n
	}
	for name, c := range map[string]struct {
		a, b wire.ReplicaRow
		want *wire.ReplicaUpdate
	}{
		"the later status counts":                {row(2, leaving), row(1, nil), at(2, func(n *wire.ReplicaUpdate) { n.Draining = true })},
		"unreachable at one":                     {row(2, unreachable), row(1, nil), at(2, nil)},
		"unreachable at both":                    {row(2, unreachable), row(1, unreachable), at(2, func(n *wire.ReplicaUpdate) { n.Unreachable = true })},
		"removed at one":                         {row(2, nil), row(1, gone), nil},
		"stale at one":                           {row(0, stale), row(1, nil), at(1, nil)},
		"stale at one, unreachable at the other": {row(9, stale), row(1, unreachable), at(1, func(n *wire.ReplicaUpdate) { n.Unreachable = true })},
		"stale at both":                          {row(0, stale), row(0, stale), at(0, func(n *wire.ReplicaUpdate) { n.Stale = true })},
	} {
		for turn := range 2 {
			m := NewInformer(Options{Gateway: "d", Seeds: []string{"one", "two"}})
			streams := []uint64{}
			var snap *scheduling.Snapshot
			step := func(ev InformerEvent) {
				ev.NowUs = clock.Sec
				for _, e := range m.Step(ev) {
					if e.Open != nil {
						streams = append(streams, e.Open.Number)
					}
					if e.Snapshot != nil {
						snap = e.Snapshot
					}
				}
			}
			step(InformerEvent{})
			rows, orders := []wire.ReplicaRow{c.a, c.b}, []wire.PendingOrders{{Number: 4, Rows: []wire.PendingOrder{{Replica: "r", Unit: "new"}}}, {Number: 3, Rows: []wire.PendingOrder{{Replica: "r", Unit: "old", Unload: true}}}}
			if turn == 1 {
				slices.Reverse(rows)
				slices.Reverse(orders)
			}
			for i, stream := range streams {
				step(InformerEvent{Stream: stream, Frame: &wire.Frame{Complete: true, Replicas: []wire.ReplicaRow{rows[i]}, Orders: &orders[i]}})
			}
			want := c.want
			if want != nil {
				held := *want
				held.Loading = "new"
				want = &held
			}
			if diff := cmp.Diff(want, snap.Replicas["r"]); diff != "" {
				t.Errorf("%s, turn %d: merged replica differs (-want +got):\n%s", name, turn, diff)
			}
		}
	}
}

// Guards against reports that are too rare to see a rise of demand: with 63 gateways they once were three quarters of a second apart,
// and the calls of a model had doubled by the time its next copies were requested. With 400 gateways the reports must still not
// overload their receiver.
func TestReportIntervalIsBoundedForAnyGatewayCount(t *testing.T) {
	for _, c := range []struct{ gateways, least, most int }{{9, 30, 40}, {63, 20, 30}, {400, 5, 10}} {
		m := NewInformer(Options{Gateway: "d", Seeds: []string{"one"}})
		stream, reports := uint64(0), 0
		for us := clock.Sec; us < 11*clock.Sec; us += 10 * clock.Ms {
			ev := InformerEvent{NowUs: us}
			if stream > 0 && us%(200*clock.Ms) == 0 {
				ev.Stream, ev.Frame = stream, &wire.Frame{Complete: true, GatewayCount: c.gateways}
			}
			for _, e := range m.Step(ev) {
				if e.Open != nil {
					stream = e.Open.Number
				}
				if e.Report != "" {
					reports++
				}
			}
		}
		if reports < c.least || reports > c.most {
			t.Errorf("%d gateways: got %d reports in 10 s, want %d to %d", c.gateways, reports, c.least, c.most)
		}
	}
}

// A gateway that started before the control nodes was refused by each of them, and then backed off from each for a second.
func TestGatewayStartedBeforeControlNodesReachesThemQuickly(t *testing.T) {
	controlNodes := []*testControlNode{newTestControlNode("a"), newTestControlNode("b"), newTestControlNode("c")}
	c := &changeLog{r: rand.New(rand.NewSource(1)), state: statemachine.NewState()}
	c.appendConfig()
	for _, o := range controlNodes {
		o.apply(c.changes, len(c.changes))
	}
	s := newTestGateway(t, "d", controlNodes...)
	for _, o := range controlNodes {
		s.down[o.addr] = true
	}
	nowUs, r := clock.Sec, rand.New(rand.NewSource(1))
	for ; nowUs < clock.Sec+350*clock.Ms; nowUs += 50 * clock.Ms {
		s.deliverFrames(nowUs, r, 0)
	}
	if most := 2 * 350 / 100; s.openedCount > most+streamCount {
		t.Errorf("attempts to open streams in 350 ms: got %d, want at most %d", s.openedCount, most+streamCount)
	}
	clear(s.down)
	upUs := nowUs
	for s.snapshot == nil || s.snapshot.Declaration == nil {
		s.deliverFrames(nowUs, r, 0)
		if nowUs += 50 * clock.Ms; nowUs-upUs > 2*clock.Sec {
			t.Fatal("the gateway has no declaration 2 s after the control nodes started")
		}
	}
	if tookUs := nowUs - upUs; tookUs > 200*clock.Ms {
		t.Errorf("declaration after the start of the control nodes: got it after %d ms, want at most 200 ms", tookUs/1000)
	}
}

// A gateway with a declaration can serve calls, so it uses the longer backoff for control nodes that do not answer.
func TestGatewayWithDeclarationBacksOffFromStoppedControlNodes(t *testing.T) {
	controlNodes := []*testControlNode{newTestControlNode("a"), newTestControlNode("b"), newTestControlNode("c")}
	c := &changeLog{r: rand.New(rand.NewSource(1)), state: statemachine.NewState()}
	c.appendConfig()
	for _, o := range controlNodes {
		o.apply(c.changes, len(c.changes))
	}
	s := newTestGateway(t, "d", controlNodes...)
	nowUs, r := clock.Sec, rand.New(rand.NewSource(1))
	for ; s.snapshot == nil || s.snapshot.Declaration == nil; nowUs += 50 * clock.Ms {
		s.deliverFrames(nowUs, r, 0)
	}
	for _, o := range controlNodes {
		s.down[o.addr] = true
	}
	for _, stream := range s.openStreams() {
		s.loseStream(nowUs, stream)
	}
	before := s.openedCount
	for endUs := nowUs + 3*clock.Sec; nowUs < endUs; nowUs += 50 * clock.Ms {
		s.deliverFrames(nowUs, r, 0)
	}
	if tries, most := s.openedCount-before, 3*len(s.informer.ControlNodes()); tries > most {
		t.Errorf("attempts to open streams to stopped control nodes in 3 s: got %d, want at most %d", tries, most)
	}
}
