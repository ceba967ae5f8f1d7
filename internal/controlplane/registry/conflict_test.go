package registry

import (
	"testing"

	"petreltide/internal/process/clock"
)

// Seed 70 of the routed days: a control node that had stood still read words from its sockets that were seconds
// old, and its word for them made another control node believe that a replica had let go of a model.
func TestHeartbeatReadLateIsConfirmedAtItsEarliestTime(t *testing.T) {
	at := 10 * clock.Sec
	resumed, other := New(unreachableUs), New(unreachableUs)
	other.HandleHeartbeat(at-4*clock.Sec, heartbeat("r", "1", 3, withUnits("m")))
	resumed.ReadDelayUs = 5 * clock.Sec
	resumed.HandleHeartbeat(at, heartbeat("r", "1", 4))
	if e := resumed.Entry("r"); e.ConfirmedUs != at-5*clock.Sec || e.LastHeartbeatUs != at {
		t.Fatalf("heard at %d, said at %d", e.LastHeartbeatUs, e.ConfirmedUs)
	}
	resumed.ReadDelayUs = 0
	other.Merge(at+clock.Ms, resumed.GossipSince(at+clock.Ms, 0, true))
	if e := other.Entry("r"); e.ConfirmedUs != at-4*clock.Sec || e.LastHeartbeatUs != at {
		t.Fatalf("told on: heard at %d, said at %d", e.LastHeartbeatUs, e.ConfirmedUs)
	}
	other.HandleHeartbeat(at+clock.Sec, heartbeat("r", "1", 5))
	if e := other.Entry("r"); e.ConfirmedUs != at+clock.Sec {
		t.Fatalf("a fresh word holds since %d", e.ConfirmedUs)
	}
	resumed.Merge(at+clock.Sec, other.GossipSince(at+clock.Sec, resumed.Revision, true))
	if e := resumed.Entry("r"); e.ConfirmedUs != at+clock.Sec {
		t.Fatalf("a sign of life holds since %d", e.ConfirmedUs)
	}
}

// A word may come seconds late, also one of the incarnation before, and to a control node that never heard of that incarnation.
func TestLateHeartbeatOfPredecessorDoesNotRemoveSuccessor(t *testing.T) {
	at := 20 * clock.Sec
	requireCurrent := func(t *testing.T, r *Registry) {
		t.Helper()
		if e := r.Entry("new"); e == nil || e.Removed {
			t.Fatalf("the incarnation that speaks has ended: %+v", e)
		}
	}
	t.Run("heard by an office that knows the new life alone", func(t *testing.T) {
		r := New(unreachableUs)
		r.HandleHeartbeat(at, heartbeat("new", "1", 3))
		r.HandleHeartbeat(at+200*clock.Ms, heartbeat("old", "1", 90))
		requireCurrent(t, r)
		r.HandleHeartbeat(at+1200*clock.Ms, heartbeat("new", "1", 4))
		requireCurrent(t, r)
	})
	t.Run("heard first by an office that came back empty", func(t *testing.T) {
		restarted, other := New(unreachableUs), New(unreachableUs)
		other.HandleHeartbeat(at, heartbeat("new", "1", 3))
		restarted.HandleHeartbeat(at+200*clock.Ms, heartbeat("old", "1", 90))
		for us := at + 300*clock.Ms; us < at+4*clock.Sec; us += 300 * clock.Ms {
			other.HandleHeartbeat(us, heartbeat("new", "1", uint64(us)))
			restarted.Merge(us, other.GossipSince(us, 0, true))
			other.Merge(us, restarted.GossipSince(us, 0, true))
		}
		for _, r := range []*Registry{restarted, other} {
			requireCurrent(t, r)
			if e := r.Entry("old"); e != nil && !e.Removed {
				t.Fatalf("the incarnation before counts as there: %+v", e)
			}
		}
	})
	t.Run("two lives heard by two offices at the same time", func(t *testing.T) {
		restarted, other := New(unreachableUs), New(unreachableUs)
		restarted.HandleHeartbeat(at, heartbeat("old", "1", 90))
		other.HandleHeartbeat(at-100*clock.Ms, heartbeat("new", "1", 3))
		restarted.Merge(at, other.GossipSince(at, 0, true))
		other.Merge(at, restarted.GossipSince(at, 0, true))
		if e := restarted.Entry("new"); e != nil && e.Removed {
			t.Fatal("the incarnation that speaks has ended at the control node that heard the late word")
		}
		requireCurrent(t, other)
	})
	t.Run("a new life is taken once the one before is silent", func(t *testing.T) {
		r := New(unreachableUs)
		r.HandleHeartbeat(at, heartbeat("old", "1", 90))
		for us := at + 300*clock.Ms; us <= at+2*clock.Sec; us += 300 * clock.Ms {
			r.HandleHeartbeat(us, heartbeat("new", "1", uint64(us)))
		}
		requireCurrent(t, r)
		if !r.Entry("old").Removed {
			t.Fatal("two incarnations at one address")
		}
	})
}
