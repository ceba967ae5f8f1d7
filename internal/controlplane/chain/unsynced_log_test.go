package chain

import (
	"testing"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// restartedMember is a member of three with one entry in its log, restarted from its disk and told of the next view, where
// it is the second of three.
func restartedMember(t *testing.T, unsynced bool) *Node {
	t.Helper()
	seats := []Replica{}
	for _, id := range []string{"a", "b", "c"} {
		seats = append(seats, Replica{Member: Member{ID: id, Name: id, Addr: id}, Incarnation: id + "/2"})
	}
	voters := []Member{seats[0].Member, seats[1].Member, seats[2].Member}
	old := View{Number: 1, Voters: voters, Replicas: []Replica{{Member: seats[0].Member, Incarnation: "a/1"}, {Member: seats[1].Member, Incarnation: "b/1"}, {Member: seats[2].Member, Incarnation: "c/1"}}}
	records := []Record{{View: &old}, {CaughtUpView: 1}, {Entry: &Entry{Index: 1, View: 1, Change: statemachine.Change{ID: "first"}}}}
	n, err := NewNode(Options{Self: seats[1].Member, Incarnation: "b/2", UnsyncedLog: unsynced}, records, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	next := View{Number: 2, Voters: voters, Replicas: seats}
	head := Hello{Member: seats[0].Member, Incarnation: "a/2", Phase: PhaseServing, View: next, LastIndex: 1, LastView: 1, CaughtUp: true}
	n.Step(clock.Sec+clock.Ms, MessageReceived{Msg: &Msg{From: head.Member, Incarnation: head.Incarnation, Hello: &head}})
	if !n.isServing() || n.position() != 1 {
		t.Fatalf("%s at place %d", n.phase, n.position())
	}
	return n
}

// highestAcked is the highest index that the member tells its predecessor it has synced.
func highestAcked(n *Node, nowUs int64, ev Event) (highest uint64) {
	for _, e := range n.Step(nowUs, ev) {
		if send, ok := e.(Send); ok && send.Msg.Ack != nil {
			highest = max(highest, send.Msg.Ack.SyncedIndex)
		}
	}
	return highest
}

// What the disk gave back without having synced it is not counted before the disk has: the member says that its disk
// stands still, reports nothing as synced and takes part in no vote.
func TestUnsyncedLogIsNotAcknowledged(t *testing.T) {
	heartbeatUs := clock.Sec + 30*clock.Ms
	heartbeat := MessageReceived{Msg: &Msg{From: Member{ID: "a", Addr: "a"}, Incarnation: "a/2", Forward: &Forward{View: 2, LastIndex: 1, HeadTimeUs: 1}}}
	if n := restartedMember(t, false); highestAcked(n, heartbeatUs, heartbeat) != 1 || n.isDiskStalled() {
		t.Fatal("a synced log does not count")
	}
	n := restartedMember(t, true)
	if last := highestAcked(n, heartbeatUs, heartbeat); last != 0 || !n.isDiskStalled() || !n.refusesToVote() {
		t.Fatalf("acknowledges %d, stalled %v, mute %v", last, n.isDiskStalled(), n.refusesToVote())
	}
	if last := highestAcked(n, clock.Sec+40*clock.Ms, Persisted{Seq: OpeningPersistSeq}); last != 1 || n.isDiskStalled() {
		t.Fatalf("synced it acknowledges %d, stalled %v", last, n.isDiskStalled())
	}
}
