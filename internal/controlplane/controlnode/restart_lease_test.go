package controlnode

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// twoNodeCluster is a cluster of two control nodes whose disks sync at once and whose messages arrive at once.
type twoNodeCluster struct {
	t     *testing.T
	nowUs int64
	// cores are the running control nodes; nil for one that is stopped.
	cores [2]*Core
	// disks are the records that each control node has stored; they outlast its restarts.
	disks [2][]chain.Record
	// startCount numbers the incarnations.
	startCount int
}

// twoNodeLeaseMs is the lease of the leader of a twoNodeCluster, in milliseconds.
const twoNodeLeaseMs = 3000

// start starts control node i with what is on its disk, as a new incarnation.
func (tc *twoNodeCluster) start(i int) {
	tc.startCount++
	addr := fmt.Sprint("a", i)
	node, err := chain.NewNode(chain.Options{
		Self: chain.Member{ID: "o" + addr, Name: "o" + addr, Addr: addr}, Incarnation: fmt.Sprint(tc.startCount),
		BootstrapAddrs: []string{"a0", "a1"}, AutoMembership: true, MinReplicas: 2,
	}, tc.disks[i], tc.nowUs)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.cores[i] = NewCore(node, CoreOptions{Controller: controller.Options{LeaseUs: twoNodeLeaseMs * clock.Ms}})
	tc.step(i, LearnPeers{Addrs: []string{"a0", "a1"}})
}

func (tc *twoNodeCluster) step(i int, event Event) {
	if tc.cores[i] == nil {
		return
	}
	for _, effect := range tc.cores[i].Step(tc.nowUs, event) {
		switch e := effect.(type) {
		case Persist:
			if e.Request.Snapshot != nil {
				tc.disks[i] = append(tc.disks[i], chain.Record{Snapshot: e.Request.Snapshot})
			}
			tc.disks[i] = append(tc.disks[i], e.Request.Records...)
			tc.step(i, Persisted{Seq: e.Request.Seq})
		case SendMessage:
			if e.Addr == fmt.Sprint("a", 1-i) {
				message := e.Message
				tc.step(1-i, PeerMessage{Message: &message})
			}
		}
	}
}

func (tc *twoNodeCluster) advance(us int64) {
	for endUs := tc.nowUs + us; tc.nowUs < endUs; {
		tc.nowUs += 25 * clock.Ms
		for i := range tc.cores {
			tc.step(i, Tick{})
		}
	}
}

func (tc *twoNodeCluster) headCore() *Core {
	for _, c := range tc.cores {
		if c != nil && c.Node.IsHead() {
			return c
		}
	}
	tc.t.Fatal("no control node is the head")
	return nil
}

// submit submits a change at the head.
func (tc *twoNodeCluster) submit(c statemachine.Change) {
	for i := range tc.cores {
		if tc.cores[i].Node.IsHead() {
			tc.step(i, SubmitChange{Change: &c})
			return
		}
	}
}

// When all control nodes restart, the log is replayed. The completed orders in it were sent before this process started, so the
// wait for the previous leader's lease is counted from the start of the process, not from the return of the last control node.
func TestLeaseWaitAfterFullRestartCountsFromProcessStart(t *testing.T) {
	tc := &twoNodeCluster{t: t, nowUs: clock.Sec}
	tc.start(0)
	tc.start(1)
	tc.advance(3 * clock.Sec)
	doc := &configuration.Declaration{Version: 1,
		Services: []configuration.Service{{Name: "s", Engine: &configuration.Engine{Slots: 4, CacheTokens: 1, CapacityMB: 100,
			LoadsPerSecond: 1, Models: []configuration.EngineModel{{Name: "m", SizeMB: 30, LoadMs: 1000}}}}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1,
			MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}},
	}
	tc.submit(statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}})
	tc.advance(clock.Sec)
	s := tc.headCore().Node.State()
	tc.submit(statemachine.Change{ID: "d1", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{
		Replicas: []statemachine.ReplicaUpdate{{ID: "r", Incarnation: "r", CapacityMB: 100, Slots: 4, Service: "s"}},
		Commands: []statemachine.ReplicaCommand{{Replica: "r", Incarnation: "r", Revision: s.Revision, Action: statemachine.Load,
			Unit: "m"}},
	}})
	tc.submit(statemachine.Change{ID: "d2", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.NextNumber - 1, Succeeded: true}}}})
	tc.advance(clock.Sec)
	if s := tc.headCore().Node.State(); s.NextNumber < 2 || len(s.Pending) > 0 || s.Replicas["r"] == nil {
		t.Fatalf("state before the restart: got next command number %d, pending commands %v, replica %v, want a number above 1, none pending, and the replica", s.NextNumber, s.Pending, s.Replicas["r"])
	}
	tc.cores = [2]*Core{}
	tc.advance(2 * clock.Sec)
	startedUs := tc.nowUs
	tc.start(0)
	tc.advance(1500 * clock.Ms)
	tc.start(1)
	for n := 0; n < 400 && (tc.cores[0].Controller.Status(tc.nowUs, tc.cores[0].Node.State()) == nil); n++ {
		tc.advance(25 * clock.Ms)
	}
	leader := tc.cores[0].Controller.Status(tc.nowUs, tc.cores[0].Node.State())
	if leader == nil {
		t.Fatal("the control node that started first does not lead")
	}
	elapsedMs := (tc.nowUs - startedUs) / 1000
	if maxMs := twoNodeLeaseMs + controller.MaxOrderInFlightUs/1000 + 150 - elapsedMs; leader.OrderDelayMs > maxMs || elapsedMs < 1500 || elapsedMs > twoNodeLeaseMs {
		t.Errorf("delay of orders %d ms after the start: got %d ms, want at most %d ms", elapsedMs, leader.OrderDelayMs, maxMs)
	}
}
