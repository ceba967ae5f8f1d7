package registry

import (
	"testing"

	"petreltide/internal/process/clock"
)

// Regression test for seed 70 of TestSeededRoutedDays: a control node that had been paused read heartbeats from its sockets that
// were seconds old, and its gossip made another control node conclude that a replica had unloaded a model.
func TestHeartbeatReadLateIsConfirmedAtEarliestSendTime(t *testing.T) {
	at := 10 * clock.Sec
	resumed, other := New(unreachableUs), New(unreachableUs)
	other.HandleHeartbeat(at-4*clock.Sec, heartbeat("r", "1", 3, withUnits("m")))
	resumed.ReadDelayUs = 5 * clock.Sec
	resumed.HandleHeartbeat(at, heartbeat("r", "1", 4))
	if e := resumed.Entry("r"); e.ConfirmedUs != at-5*clock.Sec || e.LastHeartbeatUs != at {
		t.Fatalf("heartbeat read late: got last heartbeat %d, confirmed %d; want %d, %d",
			e.LastHeartbeatUs, e.ConfirmedUs, at, at-5*clock.Sec)
	}
	resumed.ReadDelayUs = 0
	other.Merge(at+clock.Ms, resumed.GossipSince(at+clock.Ms, 0, true))
	if e := other.Entry("r"); e.ConfirmedUs != at-4*clock.Sec || e.LastHeartbeatUs != at {
		t.Fatalf("gossip of a heartbeat read late: got last heartbeat %d, confirmed %d; want %d, %d",
			e.LastHeartbeatUs, e.ConfirmedUs, at, at-4*clock.Sec)
	}
	other.HandleHeartbeat(at+clock.Sec, heartbeat("r", "1", 5))
	if e := other.Entry("r"); e.ConfirmedUs != at+clock.Sec {
		t.Fatalf("heartbeat read without delay: got confirmed %d, want %d", e.ConfirmedUs, at+clock.Sec)
	}
	resumed.Merge(at+clock.Sec, other.GossipSince(at+clock.Sec, resumed.Revision, true))
	if e := resumed.Entry("r"); e.ConfirmedUs != at+clock.Sec {
		t.Fatalf("gossip of that heartbeat: got confirmed %d, want %d", e.ConfirmedUs, at+clock.Sec)
	}
}

// A heartbeat may arrive seconds late, including one of the previous incarnation at an address, and at a control node that does
// not know that incarnation. It must not remove the current incarnation.
func TestLateHeartbeatOfPredecessorDoesNotRemoveSuccessor(t *testing.T) {
	at := 20 * clock.Sec
	requireCurrent := func(t *testing.T, r *Registry) {
		t.Helper()
		if e := r.Entry("new"); e == nil || e.Removed {
			t.Fatalf("current incarnation: got entry %+v, want one that is not removed", e)
		}
	}
	t.Run("received by a control node that knows only the successor", func(t *testing.T) {
		r := New(unreachableUs)
		r.HandleHeartbeat(at, heartbeat("new", "1", 3))
		r.HandleHeartbeat(at+200*clock.Ms, heartbeat("old", "1", 90))
		requireCurrent(t, r)
		r.HandleHeartbeat(at+1200*clock.Ms, heartbeat("new", "1", 4))
		requireCurrent(t, r)
	})
	t.Run("received first by a control node that restarted without state", func(t *testing.T) {
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
				t.Fatalf("previous incarnation: got entry %+v, want none or a removed one", e)
			}
		}
	})
	t.Run("two incarnations received by two control nodes at the same time", func(t *testing.T) {
		restarted, other := New(unreachableUs), New(unreachableUs)
		restarted.HandleHeartbeat(at, heartbeat("old", "1", 90))
		other.HandleHeartbeat(at-100*clock.Ms, heartbeat("new", "1", 3))
		restarted.Merge(at, other.GossipSince(at, 0, true))
		other.Merge(at, restarted.GossipSince(at, 0, true))
		if e := restarted.Entry("new"); e != nil && e.Removed {
			t.Fatal("current incarnation is removed at the control node that received the late heartbeat, want it not removed")
		}
		requireCurrent(t, other)
	})
	t.Run("successor is accepted once the predecessor stops sending", func(t *testing.T) {
		r := New(unreachableUs)
		r.HandleHeartbeat(at, heartbeat("old", "1", 90))
		for us := at + 300*clock.Ms; us <= at+2*clock.Sec; us += 300 * clock.Ms {
			r.HandleHeartbeat(us, heartbeat("new", "1", uint64(us)))
		}
		requireCurrent(t, r)
		if !r.Entry("old").Removed {
			t.Fatal("previous incarnation at the address is not removed, want it removed")
		}
	})
}
