package chain

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"petreltide/internal/process/clock"
)

// duplicate starts a second process of a member, at another address, from a copy of its disk.
func (sc *smallChain) duplicate(i int) int {
	p := sc.members[i]
	me := p.member
	me.Addr = p.member.Addr + "-copy"
	sc.members = append(sc.members, &smallMember{member: me, disk: slices.Clone(p.disk)})
	copied := len(sc.members) - 1
	sc.start(copied, 0)
	return copied
}

// stripStarts is a mutation: it removes the start numbers, so that no message says which process of a member is newer.
func stripStarts(m Msg) Msg {
	if m.Hello != nil {
		h := *m.Hello
		h.Start, h.KnownStarts = 0, nil
		m.Hello = &h
	}
	return m
}

// walkWithCopiedMember takes a random walk from the moment at which a second process is started from a copy of a member's disk.
func walkWithCopiedMember(seed uint64, actionCount int, mutate func(Msg) Msg) (sc *smallChain, violation string) {
	sc = newSmallChain()
	sc.mutate = mutate
	sc.write()
	r := seed*2654435761 + 1
	next := func(n int) int {
		r ^= r << 13
		r ^= r >> 7
		r ^= r << 17
		return int(r>>8) % n
	}
	for range next(30) {
		sc.advanceOnce()
	}
	if next(2) == 0 {
		// A view change is in progress when the disk is copied, as a member was partitioned for a while.
		isolated := next(3)
		sc.isolate(isolated, true, true)
		sc.advanceIsolated(2 + next(2))
		for range next(12) {
			sc.advanceOnce()
		}
		sc.cutLinks = nil
	}
	original := next(3)
	copied := sc.duplicate(original)
	for n := range actionCount {
		sc.ticks, sc.writes = 0, min(sc.writes, n/40)
		switch flow := sc.deliveriesAndSyncs(); {
		case n%120 == 119:
			// Either process may be killed and restarted.
			i := []int{original, copied}[next(2)]
			if sc.members[i].node != nil {
				sc.crash(i)
			} else {
				sc.start(i, 0)
			}
		case len(flow) > 0 && next(8) > 0:
			flow[next(len(flow))](sc)
		case next(8) == 0:
			sc.write()
		default:
			sc.tick()
		}
		if sc.checkInvariants(); sc.violation != "" {
			return sc, fmt.Sprintf("action %d: %s", n, sc.violation)
		}
	}
	return sc, ""
}

// deliveriesAndSyncs returns the possible deliveries and syncs.
func (sc *smallChain) deliveriesAndSyncs() []func(*smallChain) {
	actions := []func(*smallChain){}
	for i := range sc.members {
		if sc.members[i].canSync() {
			actions = append(actions, func(c *smallChain) { c.syncNext(i) })
		}
		for j := range sc.members {
			if link := [2]int{i, j}; len(sc.links[link]) > 0 {
				actions = append(actions, func(c *smallChain) { c.deliver(link) })
			}
		}
	}
	return actions
}

// Two processes hold the vote of one member, as its disk was copied and started twice. No view is decided twice, no two tails are
// ready, no acknowledged entry is lost, and one of the two processes is fenced.
func TestInvariantsHoldOnRandomWalksWithTwoProcessesOfOneMember(t *testing.T) {
	walks := 300 * exploreFactor()
	if raceEnabled {
		walks = 30
	}
	fenced, views := 0, 0
	for seed := range uint64(walks) {
		sc, violation := walkWithCopiedMember(seed, 600, nil)
		if violation != "" {
			t.Fatalf("walk %d: %s", seed, violation)
		}
		views += len(sc.views)
		if sc.fenced > 0 {
			fenced++
		}
	}
	t.Logf("%d walks, %d views, a process was fenced in %d", walks, views, fenced)
	if fenced < walks/2 || views < 2*walks {
		t.Errorf("got a fenced process in %d walks and %d views, want at least %d and %d for a meaningful test", fenced, views, walks/2, 2*walks)
	}
}

// Explores every interleaving of deliveries, syncs, ticks and a write, from states after the duplication of each member.
func TestInvariantsHoldInEveryInterleavingWithTwoProcessesOfOneMember(t *testing.T) {
	depth, stride := exploreDepth, 3
	if raceEnabled {
		depth, stride = raceDepth, 6
	}
	for original, role := range []string{"head", "middle", "tail"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			sc := newSmallChain()
			sc.write()
			sc.syncNext(0)
			sc.duplicate(original)
			states := 0
			for n := range 24 {
				if n%stride == 0 {
					s, _, _ := explore(t, sc.clone(), depth, exploreLimits{ticks: 2, writes: sc.writes + 1})
					states += s
				}
				if sc.advanceOnce(); sc.violation != "" {
					t.Fatal(sc.violation)
				}
			}
			t.Logf("%d states within %d actions", states, depth)
			if states < 200 {
				t.Errorf("got %d states, want at least 200 for a meaningful test", states)
			}
		})
	}
}

// The mutation removes the start numbers: a process and its copy then both act as the same member. One of the random walks must
// find a violation of the invariants.
func TestRandomWalksDetectMissingStartNumbers(t *testing.T) {
	for seed := range uint64(300) {
		sc, violation := walkWithCopiedMember(seed, 600, stripStarts)
		if violation != "" && (strings.Contains(violation, "decided twice") || strings.Contains(violation, "two ready tails") || strings.Contains(violation, "was acknowledged")) {
			t.Logf("walk %d of %d views: %s", seed, len(sc.views), violation)
			return
		}
	}
	t.Fatal("no walk of 300 found a violation without start numbers")
}

// The older process is fenced when a message names the newer one, at any position in the chain.
func TestOlderProcessIsFenced(t *testing.T) {
	for original, role := range []string{"head", "middle", "tail"} {
		sc := newSmallChain()
		sc.write()
		sc.deliverAll()
		copied := sc.duplicate(original)
		for range 12 {
			sc.tick()
			sc.deliverAll()
		}
		older, newer := sc.members[original].node, sc.members[copied].node
		switch {
		case older.phase != PhaseFenced || older.IsTailReady(sc.nowUs) || older.IsHead():
			t.Errorf("%s: older process: got phase %s, tail ready %v, head %v, want fenced, false, false", role, older.phase,
				older.IsTailReady(sc.nowUs), older.IsHead())
		case newer.phase != PhaseServing:
			t.Errorf("%s: got newer process in phase %s, want serving; waits for %q", role, newer.phase, newer.WaitReason())
		}
		before := len(sc.acked)
		sc.write()
		sc.deliverAll()
		if len(sc.acked) <= before {
			t.Errorf("%s: got %d acknowledged entries after the fencing, want more than %d", role, len(sc.acked), before)
		}
	}
}

// This is the limit of fencing: while the voters on both sides of a partition cannot hear each other, a copy on one side and the
// original on the other cannot be distinguished from a restart and a loss. The copy still waits for VoteRecoveryTimeoutUs before
// it votes.
func TestPartitionedProcessCopyVotesOnlyAfterVoteRecoveryTimeout(t *testing.T) {
	sc := newSmallChain()
	sc.write()
	sc.deliverAll()
	sc.isolate(1, true, true)
	copied := sc.duplicate(2)
	sc.cutLinks[[2]int{0, copied}], sc.cutLinks[[2]int{copied, 0}] = true, true
	sc.cutLinks[[2]int{2, copied}], sc.cutLinks[[2]int{copied, 2}] = true, true
	sinceUs := sc.nowUs
	for !sc.members[copied].node.votesRecovered {
		sc.tick()
		if sc.nowUs-sinceUs > 20*tickUs {
			t.Fatal("the copy has not recovered its votes after 20 ticks, though it may be a restart")
		}
	}
	if tookUs := sc.nowUs - sinceUs; tookUs < sc.members[copied].node.opts.VoteRecoveryTimeoutUs {
		t.Errorf("the copy votes after %d ms, want at least %d ms", tookUs/1000, sc.members[copied].node.opts.VoteRecoveryTimeoutUs/1000)
	}
}

// Two of three control nodes are killed and restarted while the third is paused or partitioned for longer than
// VoteRecoveryTimeoutUs. Delayed messages from the third, which name the start numbers that the two had before, must not fence any
// process.
func TestRestartUnseenByOneMemberFencesNoProcess(t *testing.T) {
	for seed := range int64(40) {
		tc := newFleetTimedCluster(t, seed, 3)
		order := tc.remainingMembers()[0].node.View().Replicas
		unaware := tc.memberAt(order[seed%3].Addr)
		for turn := range 3 {
			// First each member restarts alone. Afterwards the third member knows start numbers that the other two lose when they
			// restart together.
			for _, s := range tc.members {
				tc.stop(s)
				tc.start(s, false)
				tc.requireSettled(20*clock.Sec, "after a restart of one member")
			}
			if (seed+int64(turn))%2 == 0 {
				unaware.paused = true
			}
			others := slices.DeleteFunc(slices.Clone(tc.members), func(s *testMember) bool { return s == unaware })
			for _, s := range others {
				tc.cutLinks[[2]string{s.member.Addr, unaware.member.Addr}] = !unaware.paused
				tc.stop(s)
			}
			tc.advance(100 * clock.Ms)
			for _, s := range others {
				tc.start(s, false)
			}
			tc.advance(3 * clock.Sec)
			unaware.paused = false
			clear(tc.cutLinks)
			tc.advance(2 * clock.Sec)
			for _, s := range tc.members {
				if s.node.phase == PhaseFenced {
					t.Fatalf("seed %d, turn %d: %s is fenced", seed, turn, s.member.ID)
				}
			}
			tc.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d, turn %d", seed, turn))
		}
	}
}
