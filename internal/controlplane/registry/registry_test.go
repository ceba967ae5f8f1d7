package registry

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/process/clock"
)

const unreachableUs = 3 * clock.Sec

func heartbeat(id, addr string, seq uint64, edit ...func(*ReplicaStatus)) ReplicaStatus {
	status := ReplicaStatus{ID: id, Service: "s", Addr: addr, Zone: "a", Slots: 4, Seq: seq}
	for _, e := range edit {
		e(&status)
	}
	return status
}

func withDraining(remainingMs int64) func(*ReplicaStatus) {
	return func(r *ReplicaStatus) { r.Draining, r.RemainingMs = true, remainingMs }
}

func withUnits(units ...string) func(*ReplicaStatus) {
	return func(r *ReplicaStatus) { r.Units = units }
}

type receivedHeartbeat struct {
	status  ReplicaStatus
	changed bool
}

func TestRegistryTakesOnlyNewerHeartbeats(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeats []receivedHeartbeat
		want       ReplicaStatus
	}{
		"late heartbeat":                    {[]receivedHeartbeat{{heartbeat("r", "1", 5, withDraining(0)), true}, {heartbeat("r", "1", 4), false}, {heartbeat("r", "1", 5), false}}, heartbeat("r", "1", 5, withDraining(0))},
		"unchanged status":                  {[]receivedHeartbeat{{heartbeat("r", "1", 1), true}, {heartbeat("r", "1", 2), false}}, heartbeat("r", "1", 2)},
		"changed units":                     {[]receivedHeartbeat{{heartbeat("r", "1", 1), true}, {heartbeat("r", "1", 2, withUnits("m", "m/a1")), true}}, heartbeat("r", "1", 2, withUnits("m", "m/a1"))},
		"start of draining":                 {[]receivedHeartbeat{{heartbeat("r", "1", 1), true}, {heartbeat("r", "1", 2, withDraining(900)), true}, {heartbeat("r", "1", 3, withDraining(500)), false}}, heartbeat("r", "1", 3, withDraining(500))},
		"draining without a remaining time": {[]receivedHeartbeat{{heartbeat("r", "1", 1, withDraining(900)), true}, {heartbeat("r", "1", 2, withDraining(0)), true}}, heartbeat("r", "1", 2, withDraining(900))},
		"end of warm-up":                    {[]receivedHeartbeat{{heartbeat("r", "1", 1, func(r *ReplicaStatus) { r.WarmUpMs = 80 }), true}, {heartbeat("r", "1", 2, func(r *ReplicaStatus) { r.WarmUpMs = 40 }), false}, {heartbeat("r", "1", 3), true}}, heartbeat("r", "1", 3)},
	} {
		r := New(unreachableUs)
		for i, received := range c.heartbeats {
			before := r.Revision
			if got := r.HandleHeartbeat(int64(i), received.status); got != received.changed || (r.Revision > before) != received.changed {
				t.Errorf("%s: heartbeat %d: got changed %v, revision %d after %d; want changed %v",
					name, i, got, r.Revision, before, received.changed)
			}
		}
		if diff := cmp.Diff(c.want, r.Entry("r").ReplicaStatus); diff != "" {
			t.Errorf("%s: status (-want +got):\n%s", name, diff)
		}
	}
}

func TestRemovedIncarnationStaysRemoved(t *testing.T) {
	r, other := New(unreachableUs), New(unreachableUs)
	r.HandleHeartbeat(1, heartbeat("r", "1", 3))
	other.Merge(1, r.GossipSince(1, 0, true))
	if !r.Remove(2, "r") || r.Remove(3, "r") {
		t.Fatal("Remove must report a new removal the first time and none the second")
	}
	if r.HandleHeartbeat(3, heartbeat("r", "1", 900)) || !r.Entry("r").Removed {
		t.Error("late heartbeat restored a removed incarnation, want it ignored")
	}
	other.HandleHeartbeat(3, heartbeat("r", "1", 4))
	if !other.Merge(4, r.GossipSince(4, 0, true)) || !other.Entry("r").Removed {
		t.Error("gossip did not remove the incarnation at the other control node, want it removed")
	}
	if other.Merge(5, []GossipEntry{{ID: "r", Seq: 9, Status: &ReplicaStatus{ID: "r", Addr: "1", Seq: 9}}}) || !other.Entry("r").Removed {
		t.Error("gossip restored a removed incarnation, want it ignored")
	}
	if !r.Remove(6, "never-heard") || r.HandleHeartbeat(7, heartbeat("never-heard", "9", 1)) {
		t.Error("incarnation removed before its first heartbeat was registered by that heartbeat, want it to stay removed")
	}
	r.Sweep(7)
	for us := int64(7); us < forgetUs+2*clock.Sec; us += clock.Sec {
		r.Sweep(us)
	}
	if r.Entry("r") != nil {
		t.Errorf("removed incarnation after %d us: got an entry, want none", forgetUs)
	}
}

func TestNewIncarnationRemovesPredecessorAtItsAddress(t *testing.T) {
	r := New(unreachableUs)
	r.HandleHeartbeat(0, heartbeat("old", "1", 7))
	r.HandleHeartbeat(2*clock.Sec, heartbeat("new", "1", 1))
	if !r.Entry("old").Removed || r.Entry("new").Removed {
		t.Fatalf("two incarnations at an address: got removed %v and %v, want true and false",
			r.Entry("old").Removed, r.Entry("new").Removed)
	}
	r.HandleHeartbeat(2*clock.Sec, heartbeat("beside", "2", 1))
	if r.Entry("new").Removed {
		t.Fatal("incarnation at another address removed this one, want it not removed")
	}

	// A control node that restarted without state receives a heartbeat of the new incarnation, and then gossip about the old one.
	lagging, restarted := New(unreachableUs), New(unreachableUs)
	lagging.HandleHeartbeat(0, heartbeat("old", "1", 7))
	restarted.HandleHeartbeat(3*clock.Sec, heartbeat("new", "1", 1))
	restarted.Merge(3*clock.Sec, lagging.GossipSince(3*clock.Sec, 0, true))
	if restarted.Entry("new").Removed {
		t.Fatal("late gossip about the old incarnation removed the new one, want it not removed")
	}
	if e := restarted.Entry("old"); e == nil || !e.Removed {
		t.Fatalf("old incarnation: got entry %+v, want a removed one", e)
	}
	lagging.Merge(3*clock.Sec, restarted.GossipSince(3*clock.Sec, 0, true))
	if lagging.Entry("new") == nil || lagging.Entry("new").Removed || !lagging.Entry("old").Removed {
		t.Fatal("gossip to the lagging control node: want the new incarnation registered and the old one removed")
	}
}

func TestPausedControlNodeMarksNoReplicaUnreachableOrReachable(t *testing.T) {
	paused, running := New(unreachableUs), New(unreachableUs)
	for us := int64(0); us <= 2*clock.Sec; us += 250 * clock.Ms {
		paused.Sweep(us)
		running.Sweep(us)
	}
	for _, r := range []*Registry{paused, running} {
		r.HandleHeartbeat(2*clock.Sec, heartbeat("lives", "1", 1))
		r.HandleHeartbeat(2*clock.Sec, heartbeat("died", "2", 1))
	}
	since := running.Revision
	for us := 2 * clock.Sec; us <= 12*clock.Sec; us += 250 * clock.Ms {
		running.HandleHeartbeat(us, heartbeat("lives", "1", uint64(us)))
		running.Sweep(us)
	}
	if !running.Entry("died").Unreachable || running.Entry("lives").Unreachable {
		t.Fatalf("unreachable at the running control node: got died %v, lives %v; want true, false",
			running.Entry("died").Unreachable, running.Entry("lives").Unreachable)
	}
	if gossip := running.GossipSince(12*clock.Sec, since, true); len(gossip) != 2 || gossip[0].ID != "died" || gossip[0].Status == nil || gossip[1].Status != nil {
		t.Errorf("gossip: got %+v, want the status of died and a confirmation of lives", gossip)
	}
	paused.Sweep(12 * clock.Sec)
	if paused.Entry("lives").Unreachable || paused.Entry("died").Unreachable {
		t.Error("control node marked a replica as unreachable for its own pause, want none unreachable")
	}
	running.Merge(12*clock.Sec, paused.GossipSince(12*clock.Sec, paused.Revision, true))
	if !running.Entry("died").Unreachable {
		t.Error("gossip of a paused control node made replica died reachable, want it unreachable")
	}
	for us := 12 * clock.Sec; us <= 16*clock.Sec; us += 250 * clock.Ms {
		paused.Sweep(us)
	}
	if !paused.Entry("died").Unreachable {
		t.Error("control node that was paused did not mark replica died as unreachable later, want it unreachable")
	}
	if !running.HandleHeartbeat(17*clock.Sec, heartbeat("died", "2", 2)) || running.Entry("died").Unreachable {
		t.Error("heartbeat of an unreachable replica: want it reachable, reported as a change")
	}
}

// Three control nodes receive heartbeats at random and exchange gossip while messages are lost. Once no more messages are lost,
// all have the same statuses, removed incarnations are removed everywhere, and no address has two incarnations.
func TestSeededRegistriesConvergeAfterMessageLoss(t *testing.T) {
	lost, resyncs := 0, 0
	for seed := int64(0); seed < 300; seed++ {
		r := rand.New(rand.NewSource(seed))
		controlNodes := []*Registry{New(unreachableUs), New(unreachableUs), New(unreachableUs)}
		since := map[[2]int]uint64{}
		needsResync := [3]bool{}
		seqs, removed := map[string]uint64{}, map[string]bool{}
		exchangeGossip := func(nowUs int64, lossPercent int) {
			for i, from := range controlNodes {
				for j, to := range controlNodes {
					if i == j {
						continue
					}
					gossip, resync := from.GossipSince(nowUs, since[[2]int{i, j}], true), needsResync[i]
					since[[2]int{i, j}] = from.Revision
					if r.Intn(100) < lossPercent {
						lost++
						continue
					}
					to.Merge(nowUs, gossip)
					if resync {
						since[[2]int{j, i}] = 0
					}
				}
			}
			for i, o := range controlNodes {
				if needsResync[i] = o.ConsumeResyncRequest(); needsResync[i] {
					resyncs++
				}
			}
		}
		nowUs := int64(0)
		for n := 0; n < 80; n++ {
			nowUs += 100 * clock.Ms
			incarnation := r.Intn(9)
			id, addr := fmt.Sprint("i", incarnation), fmt.Sprint("a", incarnation%6)
			seqs[id]++
			switch o := controlNodes[r.Intn(3)]; {
			case r.Intn(25) == 0:
				o.Remove(nowUs, id)
				removed[id] = true
			case incarnation >= 6 && n < 40, incarnation < 3 && n >= 30:
			default:
				o.HandleHeartbeat(nowUs, heartbeat(id, addr, seqs[id], func(status *ReplicaStatus) {
					status.Draining = r.Intn(4) == 0
					status.Units = []string{"m", "n"}[:r.Intn(3)]
				}))
			}
			if n%3 == 0 {
				exchangeGossip(nowUs, 50)
			}
			for _, o := range controlNodes {
				o.Sweep(nowUs)
			}
		}
		for range 6 {
			nowUs += 10 * clock.Ms
			exchangeGossip(nowUs, 0)
		}
		statuses := func(o *Registry) map[string]ReplicaStatus {
			all := map[string]ReplicaStatus{}
			for _, id := range o.IDs() {
				status := o.Entry(id).ReplicaStatus
				status.Seq = 0
				if status.Removed {
					status = ReplicaStatus{ID: id, Removed: true}
				}
				all[id] = status
			}
			return all
		}
		for i := 1; i < 3; i++ {
			if diff := cmp.Diff(statuses(controlNodes[0]), statuses(controlNodes[i])); diff != "" {
				t.Fatalf("seed %d: statuses of control nodes 0 and %d differ (-0 +%d):\n%s", seed, i, i, diff)
			}
		}
		addrs := map[string]string{}
		for id, status := range statuses(controlNodes[0]) {
			if removed[id] && !status.Removed {
				t.Fatalf("seed %d: incarnation %s: got not removed, want removed", seed, id)
			}
			if other := addrs[status.Addr]; !status.Removed && other != "" {
				t.Fatalf("seed %d: address %s: got incarnations %s and %s, want one", seed, status.Addr, id, other)
			}
			if !status.Removed {
				addrs[status.Addr] = id
			}
		}
	}
	t.Logf("%d messages lost, %d resyncs requested", lost, resyncs)
	if lost < 1000 || resyncs < 100 {
		t.Errorf("got %d messages lost and %d resyncs requested, want at least 1000 and 100", lost, resyncs)
	}
}

// The end of a draining replica stays fixed between heartbeats that announce a remaining time, and removals of unknown
// incarnations are bounded by maxEntries.
func TestEndOfDrainingReplicaIsFixedAndRemovalsAreBounded(t *testing.T) {
	r, other := New(unreachableUs), New(unreachableUs)
	r.HandleHeartbeat(clock.Sec, heartbeat("r", "1", 1, withDraining(900), func(r *ReplicaStatus) { r.Stage = "decode" }))
	r.HandleHeartbeat(2*clock.Sec, heartbeat("r", "1", 2, withDraining(0)))
	other.Merge(2*clock.Sec, r.GossipSince(2*clock.Sec, 0, true))
	if e := r.Entry("r"); e.EndUs != clock.Sec+900*clock.Ms || e.Stage != "decode" {
		t.Errorf("got end %d us, stage %q; want %d us, decode", e.EndUs, e.Stage, clock.Sec+900*clock.Ms)
	}
	if e := other.Entry("r"); e.EndUs > 2*clock.Sec+clock.Ms {
		t.Errorf("end at the other control node: got %d us, want at most %d us", e.EndUs, 2*clock.Sec+clock.Ms)
	}
	r.HandleHeartbeat(3*clock.Sec, heartbeat("r", "1", 3, withDraining(500)))
	if e := r.Entry("r"); e.EndUs != 3*clock.Sec+500*clock.Ms {
		t.Errorf("end after a later announcement: got %d us, want %d us", e.EndUs, 3*clock.Sec+500*clock.Ms)
	}
	for i := range maxEntries + 10 {
		r.Remove(4*clock.Sec, fmt.Sprint("x", i))
	}
	if r.Len() > maxEntries || r.Remove(4*clock.Sec, "") {
		t.Errorf("entries: got %d, want at most %d, and no entry with an empty ID", r.Len(), maxEntries)
	}
}
