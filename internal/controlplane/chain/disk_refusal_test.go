package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

// A member whose disk refuses a write lives on, is put out of the view by the others, promises and accepts
// nothing it cannot keep, and comes back by a copy once its disk takes bytes again.
func TestMemberWithRefusingDiskIsRemovedAndRejoins(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("member ", i), func(t *testing.T) {
			sc := newSmallChain()
			sc.write()
			sc.deliverAll()
			if len(sc.acked) != 1 {
				t.Fatal(sc.acked)
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
				t.Fatal("it does not say that its disk refuses")
			}
			kept := len(p.disk)
			before, index := p.node.promisedBallot, p.node.commitIndex
			sc.advanceTicks(4)
			for j, other := range sc.members {
				if j != i && (other.node.view.HasReplica(id) || !other.node.AcceptsWrites()) {
					t.Fatalf("%s has %+v", other.member.ID, other.node.view.Replicas)
				}
			}
			sc.write()
			sc.advanceTicks(2)
			if len(sc.acked) < 2 {
				t.Fatalf("%d acknowledged while one disk of three is full", len(sc.acked))
			}
			if len(p.disk) != kept || p.node.commitIndex != index || (before != p.node.promisedBallot && p.node.promisedBallot != Ballot{}) {
				t.Fatalf("it has gone on: %d records, commit %d, promised %+v", len(p.disk), p.node.commitIndex, p.node.promisedBallot)
			}
			p.diskFull = false
			sc.advanceTicks(12)
			last := uint64(0)
			for index := range sc.acked {
				last = max(last, index)
			}
			if !p.node.isServing() || !p.node.caughtUp || p.node.commitIndex < last || p.node.isDiskStalled() {
				t.Fatalf("it is %s, whole %v, at %d of %d, waits for %q", p.node.phase, p.node.caughtUp, p.node.commitIndex, last, p.node.WaitReason())
			}
			sc.checkInvariants()
			if sc.violation != "" {
				t.Fatal(sc.violation)
			}
		})
	}
}

// All restart, and the disk of the one that would go first refuses: another of the same length goes first.
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
		t.Fatalf("phase %s, head %s, waits for %q", sc.members[1].node.Phase(), head.ID, sc.members[1].node.WaitReason())
	}
	sc.write()
	sc.deliverAll()
	if len(sc.acked) < 2 {
		t.Fatal("nothing is acknowledged")
	}
}

// What waits for a disk that hangs is bounded: a member that owes much promises no more.
func TestMemberWithManyPendingWritesRefusesVotes(t *testing.T) {
	sc := newSmallChain()
	p := sc.members[1]
	for n := range 10 * maxPendingWrites {
		sc.step(1, MessageReceived{Msg: &Msg{From: sc.members[0].member, Incarnation: sc.members[0].node.opts.Incarnation,
			Prepare: &Prepare{Number: p.node.view.Number + 1, Ballot: Ballot{Round: uint64(n + 10), Proposer: sc.members[0].member.ID}}}})
	}
	if len(p.pendingPersists) == 0 || len(p.pendingPersists) > maxPendingWrites {
		t.Fatalf("%d saves wait", len(p.pendingPersists))
	}
}

// An order is large and is sent again until its outcome comes: it stands in the log once.
func TestResentChangeIsLoggedOnce(t *testing.T) {
	sc := newSmallChain()
	head := sc.members[0]
	before := head.node.LastIndex()
	for n := range 6 {
		order := statemachine.Change{ID: fmt.Sprint("order-", n/3), Config: &statemachine.ConfigChange{Doc: &configuration.Declaration{Name: "d"}}}
		sc.step(0, ChangeSubmitted{Change: &order})
	}
	if head.node.LastIndex() != before+2 {
		t.Fatalf("%d entries of two orders", head.node.LastIndex()-before)
	}
}

// A log that is isLogTooLarge is begun anew, and only as many entries stay as are small enough for those behind.
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
		t.Fatalf("%d entries of %d stay, last %d of %d", len(n.entries), before, n.LastIndex(), last)
	}
	if got, ok := n.viewAt(n.base.Index); !ok || n.firstIndex() != n.base.Index+1 || got != n.base.View {
		t.Fatalf("it begins at %d on %+v", n.firstIndex(), n.base)
	}
	seq := n.persistSeq
	n.Step(sc.nowUs, Persisted{Seq: seq, LogBytes: n.opts.MaxLogBytes})
	if n.isPersistingSnapshot() || n.isLogTooLarge() {
		t.Fatal("a log that is no smaller when begun anew is begun anew again and again")
	}
}
