package chain

import (
	"fmt"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// The head is left alone with a write that nobody else has; a voter that holds nothing helps it into a view of one,
// which commits the write. It may be acknowledged only once a second copy of it lies on a disk.
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
					t.Fatalf("seed %d: a write on one disk counts as kept", seed)
				}
			}
		}
		if !committedAlone {
			t.Fatalf("seed %d: the head never was alone with its write: %+v", seed, head.node.view.Replicas)
		}
		clear(tc.cutLinks)
		tc.requireSettled(40*clock.Sec, "healed")
		for _, s := range tc.members {
			if _, seen := s.node.state.Outcomes[id]; !seen || !s.node.IsDurable(index) {
				t.Fatalf("seed %d: %s has it %v, kept %v", seed, s.member.ID, seen, s.node.IsDurable(index))
			}
		}
	}
}

// viewWithZones is a view by the zones of its voters and of its replicas.
func viewWithZones(voters, seated string) View {
	v := View{Number: 1}
	for i, zone := range strings.Fields(voters) {
		v.Voters = append(v.Voters, Member{ID: fmt.Sprint("m", i), Zone: zone})
	}
	for i, zone := range strings.Fields(seated) {
		v.Replicas = append(v.Replicas, Replica{Member: Member{ID: fmt.Sprint("m", i), Zone: zone}})
	}
	return v
}

func TestWritesNeedEnoughReplicasInEnoughZones(t *testing.T) {
	for _, c := range []struct {
		copies, zones  int
		voters, seated string
		taken          bool
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
		n := &Node{opts: Options{MinReplicas: c.copies, MinZones: c.zones}.withDefaults(), view: viewWithZones(c.voters, c.seated)}
		if n.AcceptsWrites() != c.taken {
			t.Errorf("%d copies in %d zones, voters in %s, seats in %s: taken %v", c.copies, c.zones, c.voters, c.seated, !c.taken)
		}
	}
}

// Regions are counted as zones are, by the region that the settings name for a zone.
func TestWritesNeedEnoughRegions(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	for _, c := range []struct {
		regions        int
		voters, seated string
		taken          bool
	}{
		{1, "a1 a2 b1", "a1 a2", true},
		{2, "a1 a2 b1", "a1 a2", false},
		{2, "a1 a2 b1", "a1 b1", true},
		{2, "a1 a2", "a1 a2", true},
		{3, "a1 b1 b2", "a1 b2", true},
		{3, "a1 b1 other", "a1 b1", false},
		{2, "a1 a2 b1 b2 other", "a1 a2 other", true},
	} {
		n := &Node{opts: Options{MinReplicas: 2, MinRegions: c.regions, Regions: regions}.withDefaults(), view: viewWithZones(c.voters, c.seated)}
		if n.AcceptsWrites() != c.taken {
			t.Errorf("%d regions, voters in %s, seats in %s: taken %v", c.regions, c.voters, c.seated, !c.taken)
		}
		n.opts.MinRegions = 0
		if !n.AcceptsWrites() {
			t.Errorf("voters in %s, seats in %s: refused without a bound on regions", c.voters, c.seated)
		}
	}
}

// A fleet whose core is one machine acknowledges on its one disk, also after a restart.
func TestSingleMemberChainCommits(t *testing.T) {
	tc := newTestCluster(t, 1, 1, 1)
	tc.minReplicas = 1
	only := tc.members[0]
	tc.start(only, true)
	tc.requireSettled(20*clock.Sec, "founding")
	before := tc.lastAcked
	tc.stop(only)
	tc.advance(clock.Sec)
	tc.start(only, false)
	tc.requireSettled(20*clock.Sec, "restarted")
	if tc.lastAcked <= before {
		t.Fatal(tc.lastAcked, before)
	}
}

// Three found the chain of seven whose acknowledgements need four copies.
func TestMinReplicasAboveFounderCount(t *testing.T) {
	tc := newTestCluster(t, 3, 7, 3)
	tc.minReplicas = 4
	for _, s := range tc.members {
		tc.start(s, true)
	}
	tc.requireSettled(30*clock.Sec, "founding")
	for index, id := range tc.acked {
		if id == "founded" {
			t.Errorf("what was written on three copies was acknowledged, at %d", index)
		}
	}
}
