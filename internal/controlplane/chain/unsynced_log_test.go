package chain

import (
	"testing"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// restartedMember returns a member of three with one entry in its log. It was restarted from its disk and has installed the next
// view, in which it is the second of three replicas.
func restartedMember(t *testing.T, unsynced bool) *Node {
	t.Helper()
	replicas := []Replica{}
	for _, id := range []string{"a", "b", "c"} {
		replicas = append(replicas, Replica{Member: Member{ID: id, Name: id, Addr: id}, Incarnation: id + "/2"})
	}
	voters := []Member{replicas[0].Member, replicas[1].Member, replicas[2].Member}
	old := View{Number: 1, Voters: voters, Replicas: []Replica{{Member: replicas[0].Member, Incarnation: "a/1"}, {Member: replicas[1].Member, Incarnation: "b/1"}, {Member: replicas[2].Member, Incarnation: "c/1"}}}
	records := []Record{{View: &old}, {CaughtUpView: 1}, {Entry: &Entry{Index: 1, View: 1, Change: statemachine.Change{ID: "first"}}}}
	n, err := NewNode(Options{Self: replicas[1].Member, Incarnation: "b/2", UnsyncedLog: unsynced}, records, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	next := View{Number: 2, Voters: voters, Replicas: replicas}
	head := Hello{Member: replicas[0].Member, Incarnation: "a/2", Phase: PhaseServing, View: next, LastIndex: 1, LastView: 1, CaughtUp: true}
	n.Step(clock.Sec+clock.Ms, MessageReceived{Msg: &Msg{From: head.Member, Incarnation: head.Incarnation, Hello: &head}})
	if !n.isServing() || n.position() != 1 {
		t.Fatalf("got phase %s and position %d, want serving and 1", n.phase, n.position())
	}
	return n
}

// highestAcked returns the highest index that the member acknowledges to its predecessor in one step.
func highestAcked(n *Node, nowUs int64, ev Event) (highest uint64) {
	for _, e := range n.Step(nowUs, ev) {
		if send, ok := e.(Send); ok && send.Msg.Ack != nil {
			highest = max(highest, send.Msg.Ack.SyncedIndex)
		}
	}
	return highest
}

// Entries that were read back from the disk count as synced only after the disk has synced them. Until then the member reports a
// stalled disk, acknowledges nothing and does not vote.
func TestUnsyncedLogIsNotAcknowledged(t *testing.T) {
	heartbeatUs := clock.Sec + 30*clock.Ms
	heartbeat := MessageReceived{Msg: &Msg{From: Member{ID: "a", Addr: "a"}, Incarnation: "a/2", Forward: &Forward{View: 2, LastIndex: 1, HeadTimeUs: 1}}}
	if n := restartedMember(t, false); highestAcked(n, heartbeatUs, heartbeat) != 1 || n.isDiskStalled() {
		t.Fatalf("member with a synced log: got disk stalled %v, want acknowledged index 1 and stalled false", n.isDiskStalled())
	}
	n := restartedMember(t, true)
	if last := highestAcked(n, heartbeatUs, heartbeat); last != 0 || !n.isDiskStalled() || !n.refusesToVote() {
		t.Fatalf("unsynced: got acknowledged index %d, stalled %v and refuses to vote %v, want 0, true and true", last, n.isDiskStalled(), n.refusesToVote())
	}
	if last := highestAcked(n, clock.Sec+40*clock.Ms, Persisted{Seq: OpeningPersistSeq}); last != 1 || n.isDiskStalled() {
		t.Fatalf("synced: got acknowledged index %d and stalled %v, want 1 and false", last, n.isDiskStalled())
	}
}
