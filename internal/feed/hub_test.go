package feed

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/clock"
	"petreltide/internal/ledger"
	"petreltide/internal/roster"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

// routedLedger has replicas that hold m1 and have an order for m2 each.
func routedLedger(t *testing.T, ids ...string) *ledger.State {
	t.Helper()
	s := ledger.NewState()
	engine := &standing.Engine{Slots: 4, CacheTokens: 1, RoomMb: 100, LoadsPerS: 1, Models: []standing.EngineModel{{Name: "m1", SizeMb: 10, LoadMs: 100}, {Name: "m2", SizeMb: 10, LoadMs: 100}}}
	doc := &standing.Declaration{Version: 1, Services: []standing.Service{{Name: "s", Engine: engine}},
		Routes: []standing.Route{{Name: "r", Host: "h", Prefix: "/", Repeat: standing.Streaming, TimeoutMs: 1000, AttemptsMost: 1, Split: []standing.Weighted{{Service: "s", Weight: 1}}}}}
	s.Apply(1, ledger.Change{ID: "c", Config: &ledger.ConfigChange{Version: 1, Doc: doc}})
	duty := &ledger.Duty{}
	for _, id := range ids {
		duty.Fleet = append(duty.Fleet, ledger.ReplicaNote{ID: id, Inc: id, Addr: id, RoomMb: 100, Slots: 4, Service: "s", Told: true, Holds: []ledger.Holding{{Unit: "m1", SizeMb: 10}}})
		duty.Tickets = append(duty.Tickets, ledger.Ticket{Revision: 1, Replica: id, Inc: id, Step: ledger.Load, Unit: "m2"})
	}
	if out := s.Apply(2, ledger.Change{ID: "d", Duty: duty}); out.Fault != nil || len(out.Faults) > 0 {
		t.Fatal(out.Fault, out.Faults)
	}
	return s
}

// With 140 replicas and forty loads a second, every frame named every order that stood, and every load went
// out twice more as the replica's own word of what the ledger had said already.
func TestFramesTellOnlyWhatIsNewsAndSpareStreamsLessOften(t *testing.T) {
	s := routedLedger(t, "r1", "r2", "r3")
	soft := roster.New(3 * clock.Sec)
	h := NewHub()
	nowUs := clock.Sec
	hear := func(id string, seq uint64, units ...string) {
		soft.Hear(nowUs, roster.Row{ID: id, Service: "s", Addr: id, Slots: 4, Seq: seq, Units: units})
	}
	frames := func(passUs int64) map[string]*wire.Frame {
		nowUs += passUs
		out := map[string]*wire.Frame{}
		for _, p := range h.Frames(Seen{NowUs: nowUs, State: s, Settled: true, Roster: soft}) {
			out[p.Desk] = p.Frame
		}
		return out
	}
	for i := range 3 {
		hear(fmt.Sprint("r", i+1), 1, "m1")
	}
	h.Follow(nowUs, wire.Follow{Desk: "main", Inc: "i"})
	h.Follow(nowUs, wire.Follow{Desk: "spare", Inc: "i", Spare: true})
	first := frames(0)
	if len(first) != 2 || !first["main"].Whole || len(first["spare"].Replicas) != 3 || len(first["spare"].Orders.Rows) != 3 {
		t.Fatal("the first frames are not whole")
	}
	number := s.Pending["r2"].Number
	s.Apply(3, ledger.Change{ID: "e", Duty: &ledger.Duty{Settled: []ledger.Settled{{Number: number, Done: true}}}})
	after := frames(50 * clock.Ms)
	if after["spare"] != nil {
		t.Error("a spare stream was brought on at once")
	}
	f := after["main"]
	if f == nil || len(f.Replicas) != 1 || f.Replicas[0].ID != "r2" {
		t.Fatal("the load's end did not go to the main stream alone by itself")
	}
	if diff := cmp.Diff(&wire.Orders{Number: 3, Rows: []wire.OrderAhead{{Replica: "r2"}}}, f.Orders); diff != "" {
		t.Errorf("orders: %s", diff)
	}
	hear("r2", 2, "m1", "m2")
	if again := frames(50 * clock.Ms); len(again) != 0 {
		t.Errorf("the replica's own word of it was told again: %v", again["main"].Replicas)
	}
	if late := frames(400 * clock.Ms); late["spare"] == nil || len(late["spare"].Replicas) != 1 || len(late["spare"].Orders.Rows) != 1 {
		t.Error("the spare stream was not brought on in its time")
	}
	h.Follow(nowUs, wire.Follow{Desk: "late", Inc: "i"})
	s.Apply(4, ledger.Change{ID: "f", Duty: &ledger.Duty{Settled: []ledger.Settled{{Number: s.Pending["r1"].Number, Done: true}}}})
	joined := frames(clock.Ms)
	if joined["main"] == nil || joined["main"].Orders == nil || joined["main"].Orders.Number != joined["late"].Orders.Number {
		t.Error("a stream joined at another point than the others stand at: what came and went between would stay")
	}
}
