package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

// A member whose disk refuses a write continues to run, is removed from the view by the others, makes no promise and accepts no
// proposal that it cannot persist, and rejoins from a snapshot once its disk accepts writes again.
func TestMemberWithRefusingDiskIsRemovedAndRejoins(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("member ", i), func(t *testing.T) {
			sc := newSmallChain()
			sc.write()
			sc.deliverAll()
			if len(sc.acked) != 1 {
				t.Fatalf("got acknowledged entries %v, want one", sc.acked)
			}
			p := sc.members[i]
			id := p.member.ID
			sc.tick()
			sc.write()
			for n := 0; n < 40 && !p.canSync(); n++ {
				sc.advanceOnce()
			}
			sc.refuseWrite(i)
			if !p.node.isDiskStalled() || !p.node.isDiskRefusing() || p.node.WaitReason() == "" {
				t.Fatalf("%s does not report that its disk refuses writes: wait reason %q", id, p.node.WaitReason())
			}
			kept := len(p.disk)
			before, index := p.node.promisedBallot, p.node.commitIndex
			sc.advanceTicks(4)
			for j, other := range sc.members {
				if j != i && (other.node.view.HasReplica(id) || !other.node.AcceptsWrites()) {
					t.Fatalf("%s: got replicas %+v, want a view without %s that accepts writes", other.member.ID, other.node.view.Replicas, id)
				}
			}
			sc.write()
			sc.advanceTicks(2)
			if len(sc.acked) < 2 {
				t.Fatalf("got %d acknowledged entries while one disk of three is full, want at least 2", len(sc.acked))
			}
			if len(p.disk) != kept || p.node.commitIndex != index || (before != p.node.promisedBallot && p.node.promisedBallot != Ballot{}) {
				t.Fatalf("%s made progress with a full disk: got %d records, commit index %d and promised ballot %+v, want %d, %d and %+v", id, len(p.disk), p.node.commitIndex, p.node.promisedBallot, kept, index, before)
			}
			p.diskFull = false
			sc.advanceTicks(12)
			last := uint64(0)
			for index := range sc.acked {
				last = max(last, index)
			}
			if !p.node.isServing() || !p.node.caughtUp || p.node.commitIndex < last || p.node.isDiskStalled() {
				t.Fatalf("%s has not rejoined: phase %s, caught up %v, commit index %d of %d, waits for %q", id, p.node.phase, p.node.caughtUp, p.node.commitIndex, last, p.node.WaitReason())
			}
			sc.checkInvariants()
			if sc.violation != "" {
				t.Fatal(sc.violation)
			}
		})
	}
}

// All members restart, and the disk of the one that would become the head refuses writes: another one with a log of the same
// length becomes the head.
func TestFullDiskDoesNotDelayRestartOfAllMembers(t *testing.T) {
	sc := newSmallChain()
	sc.write()
	sc.deliverAll()
	for i := range sc.members {
		sc.crash(i)
	}
	for i := range sc.members {
		sc.start(i, 0)
	}
	first := sc.members[0]
	first.node.persist([]Record{{PromisedBallot: &first.node.promisedBallot}}, 0, nil)
	first.pendingPersists = append(first.pendingPersists, Persist{Seq: first.node.persistSeq, Records: []Record{{PromisedBallot: &first.node.promisedBallot}}})
	sc.refuseWrite(0)
	sc.advanceTicks(12)
	if sc.violation != "" {
		t.Fatal(sc.violation)
	}
	head := sc.members[1].node.View().Head()
	if sc.members[1].node.Phase() != PhaseServing || head.ID == sc.members[0].member.ID {
		t.Fatalf("got phase %s and head %s, want phase serving and another head than %s; waits for %q", sc.members[1].node.Phase(), head.ID, sc.members[0].member.ID, sc.members[1].node.WaitReason())
	}
	sc.write()
	sc.deliverAll()
	if len(sc.acked) < 2 {
		t.Fatalf("got %d acknowledged entries, want at least 2", len(sc.acked))
	}
}

// The writes that wait for a hanging disk are bounded: a member with many pending writes makes no more promises.
func TestMemberWithManyPendingWritesRefusesVotes(t *testing.T) {
	sc := newSmallChain()
	p := sc.members[1]
	for n := range 10 * maxPendingWrites {
		sc.step(1, MessageReceived{Msg: &Msg{From: sc.members[0].member, Incarnation: sc.members[0].node.opts.Incarnation,
			Prepare: &Prepare{Number: p.node.view.Number + 1, Ballot: Ballot{Round: uint64(n + 10), Proposer: sc.members[0].member.ID}}}})
	}
	if len(p.pendingPersists) == 0 || len(p.pendingPersists) > maxPendingWrites {
		t.Fatalf("got %d pending writes, want 1 to %d", len(p.pendingPersists), maxPendingWrites)
	}
}

// A configuration change is large and is resubmitted until its outcome is known: it is logged only once.
func TestResentChangeIsLoggedOnce(t *testing.T) {
	sc := newSmallChain()
	head := sc.members[0]
	before := head.node.LastIndex()
	for n := range 6 {
		order := statemachine.Change{ID: fmt.Sprint("order-", n/3), Config: &statemachine.ConfigChange{Doc: &configuration.Declaration{Name: "d"}}}
		sc.step(0, ChangeSubmitted{Change: &order})
	}
	if head.node.LastIndex() != before+2 {
		t.Fatalf("got %d entries of two changes, want 2", head.node.LastIndex()-before)
	}
}

// A log that is too large is compacted, and retains for members that are behind only as many entries as fit the size bound.
func TestRetainedEntriesAreBoundedByBytes(t *testing.T) {
	sc := newSmallChain()
	for range 10 {
		sc.write()
		sc.deliverAll()
	}
	n := sc.members[2].node
	n.opts.MaxLogBytes = 12 * entryOverheadBytes
	before, last, commit := len(n.entries), n.LastIndex(), n.CommitIndex()
	n.logBytes = n.opts.MaxLogBytes
	n.compact()
	if before < 10 || len(n.entries) < 1 || len(n.entries) > 3 || n.LastIndex() != last || n.CommitIndex() != commit {
		t.Fatalf("got %d of %d entries, last index %d and commit index %d, want 1 to 3 entries, %d and %d", len(n.entries), before, n.LastIndex(), n.CommitIndex(), last, commit)
	}
	if got, ok := n.viewAt(n.base.Index); !ok || n.firstIndex() != n.base.Index+1 || got != n.base.View {
		t.Fatalf("got first index %d after base %+v, want the next index", n.firstIndex(), n.base)
	}
	seq := n.persistSeq
	n.Step(sc.nowUs, Persisted{Seq: seq, LogBytes: n.opts.MaxLogBytes})
	if n.isPersistingSnapshot() || n.isLogTooLarge() {
		t.Fatal("a log that compaction did not make smaller is compacted again")
	}
}
