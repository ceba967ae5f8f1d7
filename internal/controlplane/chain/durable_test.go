package chain

import (
	"fmt"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// The head alone holds a write, and a voter without a log helps to decide a view with the head as the only replica, which commits
// the write. The write must not be acknowledged before a second replica has synced it.
func TestCommitsOfTooFewReplicasAreNotAcknowledged(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		tc := newSettledCluster(t, seed, 3, 3)
		order := tc.members[0].node.view.Replicas
		head, middle, tail := tc.memberAt(order[0].Addr), tc.memberAt(order[1].Addr), tc.memberAt(order[2].Addr)
		tc.stop(tail)
		tc.advance(3 * clock.Sec)
		tc.cutLinks[[2]string{middle.member.Addr, tail.member.Addr}] = true
		tc.start(tail, false)
		tc.advance(3 * clock.Sec)
		tc.cutLinks[[2]string{head.member.Addr, middle.member.Addr}] = true
		const id = "lone"
		tc.step(head, ChangeSubmitted{Change: &statemachine.Change{ID: id, Config: &statemachine.ConfigChange{
			Base: head.node.state.Revision, Doc: &configuration.Declaration{Name: id},
		}}})
		index := head.node.LastIndex()
		committedAlone := false
		for endUs := tc.nowUs + 6*clock.Sec; tc.nowUs < endUs && len(head.node.view.Replicas) < 2 || !committedAlone && tc.nowUs < endUs; tc.advance(25 * clock.Ms) {
			if len(head.node.view.Replicas) == 1 && head.node.commitIndex >= index {
				committedAlone = true
				if head.node.IsDurable(index) {
					t.Fatalf("seed %d: IsDurable(%d) = true for a write on one disk, want false", seed, index)
				}
			}
		}
		if !committedAlone {
			t.Fatalf("seed %d: the head never committed its write as the only replica: %+v", seed, head.node.view.Replicas)
		}
		clear(tc.cutLinks)
		tc.requireSettled(40*clock.Sec, "healed")
		for _, s := range tc.members {
			if _, seen := s.node.state.Outcomes[id]; !seen || !s.node.IsDurable(index) {
				t.Fatalf("seed %d: %s: got outcome known %v and durable %v, want both true", seed, s.member.ID, seen, s.node.IsDurable(index))
			}
		}
	}
}

// viewWithZones returns a view with voters and replicas in the given zones.
func viewWithZones(voters, replicas string) View {
	v := View{Number: 1}
	for i, zone := range strings.Fields(voters) {
		v.Voters = append(v.Voters, Member{ID: fmt.Sprint("m", i), Zone: zone})
	}
	for i, zone := range strings.Fields(replicas) {
		v.Replicas = append(v.Replicas, Replica{Member: Member{ID: fmt.Sprint("m", i), Zone: zone}})
	}
	return v
}

func TestWritesNeedEnoughReplicasInEnoughZones(t *testing.T) {
	for _, c := range []struct {
		minReplicas, minZones int
		voters, replicas      string
		accepts               bool
	}{
		{2, 1, "a b c", "a b", true},
		{2, 1, "a b c", "a", false},
		{3, 1, "a b c d e", "a b", false},
		{3, 1, "a b c d e", "a b c", true},
		{2, 2, "a a b b c", "a a", false},
		{2, 2, "a a b b c", "a b", true},
		{2, 3, "a a b b", "a b", true},
		{1, 1, "a", "a", true},
		{2, 2, "a", "a", false},
		{4, 1, "a b c", "a b c", false},
		{1, 1, "a b c", "a", false},
	} {
		n := &Node{opts: Options{MinReplicas: c.minReplicas, MinZones: c.minZones}.withDefaults(), view: viewWithZones(c.voters, c.replicas)}
		if n.AcceptsWrites() != c.accepts {
			t.Errorf("%d replicas in %d zones needed, voters in %s, replicas in %s: got AcceptsWrites %v", c.minReplicas, c.minZones, c.voters, c.replicas, !c.accepts)
		}
	}
}

// Regions are counted like zones, by the region that the settings give for a zone.
func TestWritesNeedEnoughRegions(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	for _, c := range []struct {
		minRegions       int
		voters, replicas string
		accepts          bool
	}{
		{1, "a1 a2 b1", "a1 a2", true},
		{2, "a1 a2 b1", "a1 a2", false},
		{2, "a1 a2 b1", "a1 b1", true},
		{2, "a1 a2", "a1 a2", true},
		{3, "a1 b1 b2", "a1 b2", true},
		{3, "a1 b1 other", "a1 b1", false},
		{2, "a1 a2 b1 b2 other", "a1 a2 other", true},
	} {
		n := &Node{opts: Options{MinReplicas: 2, MinRegions: c.minRegions, Regions: regions}.withDefaults(), view: viewWithZones(c.voters, c.replicas)}
		if n.AcceptsWrites() != c.accepts {
			t.Errorf("%d regions needed, voters in %s, replicas in %s: got AcceptsWrites %v", c.minRegions, c.voters, c.replicas, !c.accepts)
		}
		n.opts.MinRegions = 0
		if !n.AcceptsWrites() {
			t.Errorf("voters in %s, replicas in %s: got AcceptsWrites false without a bound on regions", c.voters, c.replicas)
		}
	}
}

// A chain of one member acknowledges with its single replica, also after a restart.
func TestSingleMemberChainCommits(t *testing.T) {
	tc := newTestCluster(t, 1, 1, 1)
	tc.minReplicas = 1
	only := tc.members[0]
	tc.start(only, true)
	tc.requireSettled(20*clock.Sec, "bootstrap")
	before := tc.lastAcked
	tc.stop(only)
	tc.advance(clock.Sec)
	tc.start(only, false)
	tc.requireSettled(20*clock.Sec, "restarted")
	if tc.lastAcked <= before {
		t.Fatalf("got last acknowledged index %d after the restart, want more than %d", tc.lastAcked, before)
	}
}

// Three founders bootstrap a chain of seven in which an acknowledgement needs four replicas.
func TestMinReplicasAboveFounderCount(t *testing.T) {
	tc := newTestCluster(t, 3, 7, 3)
	tc.minReplicas = 4
	for _, s := range tc.members {
		tc.start(s, true)
	}
	tc.requireSettled(30*clock.Sec, "bootstrap")
	for index, id := range tc.acked {
		if id == "founded" {
			t.Errorf("the entry at index %d was acknowledged with three replicas, want four", index)
		}
	}
}
