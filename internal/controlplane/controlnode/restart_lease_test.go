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
	t          *testing.T
	nowUs      int64
	cores      [2]*Core
	disks      [2][]chain.Record
	startCount int
}

const twoNodeLeaseMs = 3000

func (p *twoNodeCluster) start(i int) {
	p.startCount++
	addr := fmt.Sprint("a", i)
	node, err := chain.NewNode(chain.Options{
		Self: chain.Member{ID: "o" + addr, Name: "o" + addr, Addr: addr}, Incarnation: fmt.Sprint(p.startCount),
		BootstrapAddrs: []string{"a0", "a1"}, AutoMembership: true, MinReplicas: 2,
	}, p.disks[i], p.nowUs)
	if err != nil {
		p.t.Fatal(err)
	}
	p.cores[i] = NewCore(node, CoreOptions{Controller: controller.Options{LeaseUs: twoNodeLeaseMs * clock.Ms}})
	p.step(i, LearnPeers{Addrs: []string{"a0", "a1"}})
}

func (p *twoNodeCluster) step(i int, event Event) {
	if p.cores[i] == nil {
		return
	}
	for _, effect := range p.cores[i].Step(p.nowUs, event) {
		switch e := effect.(type) {
		case Persist:
			if e.Request.Snapshot != nil {
				p.disks[i] = append(p.disks[i], chain.Record{Snapshot: e.Request.Snapshot})
			}
			p.disks[i] = append(p.disks[i], e.Request.Records...)
			p.step(i, Persisted{Seq: e.Request.Seq})
		case SendMessage:
			if e.Addr == fmt.Sprint("a", 1-i) {
				message := e.Message
				p.step(1-i, PeerMessage{Message: &message})
			}
		}
	}
}

func (p *twoNodeCluster) advance(us int64) {
	for endUs := p.nowUs + us; p.nowUs < endUs; {
		p.nowUs += 25 * clock.Ms
		for i := range p.cores {
			p.step(i, Tick{})
		}
	}
}

func (p *twoNodeCluster) headCore() *Core {
	for _, c := range p.cores {
		if c != nil && c.Node.IsHead() {
			return c
		}
	}
	p.t.Fatal("no control node is the head")
	return nil
}

func (p *twoNodeCluster) submit(c statemachine.Change) {
	for i := range p.cores {
		if p.cores[i].Node.IsHead() {
			p.step(i, SubmitChange{Change: &c})
			return
		}
	}
}

// After a restart of all control nodes the log is applied again. The orders completed in it were sent before this incarnation
// started, so their lease is counted from its start, and not from when the last control node was back.
func TestLeaseWaitAfterFullRestartIsMeasuredFromStart(t *testing.T) {
	p := &twoNodeCluster{t: t, nowUs: clock.Sec}
	p.start(0)
	p.start(1)
	p.advance(3 * clock.Sec)
	doc := &configuration.Declaration{Version: 1,
		Services: []configuration.Service{{Name: "s", Engine: &configuration.Engine{Slots: 4, CacheTokens: 1, CapacityMB: 100,
			LoadsPerSecond: 1, Models: []configuration.EngineModel{{Name: "m", SizeMB: 30, LoadMs: 1000}}}}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1,
			MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}},
	}
	p.submit(statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}})
	p.advance(clock.Sec)
	s := p.headCore().Node.State()
	p.submit(statemachine.Change{ID: "d1", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{
		Replicas: []statemachine.ReplicaUpdate{{ID: "r", Incarnation: "r", CapacityMB: 100, Slots: 4, Service: "s"}},
		Commands: []statemachine.ReplicaCommand{{Replica: "r", Incarnation: "r", Revision: s.Revision, Action: statemachine.Load,
			Unit: "m"}},
	}})
	p.submit(statemachine.Change{ID: "d2", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.NextNumber - 1, Succeeded: true}}}})
	p.advance(clock.Sec)
	if s := p.headCore().Node.State(); s.NextNumber < 2 || len(s.Pending) > 0 || s.Replicas["r"] == nil {
		t.Fatalf("state before the restart: got next command number %d, pending commands %v, replica %v, want a number above 1, none pending, and the replica", s.NextNumber, s.Pending, s.Replicas["r"])
	}
	p.cores = [2]*Core{}
	p.advance(2 * clock.Sec)
	startedUs := p.nowUs
	p.start(0)
	p.advance(1500 * clock.Ms)
	p.start(1)
	for n := 0; n < 400 && (p.cores[0].Controller.Status(p.nowUs, p.cores[0].Node.State()) == nil); n++ {
		p.advance(25 * clock.Ms)
	}
	leader := p.cores[0].Controller.Status(p.nowUs, p.cores[0].Node.State())
	if leader == nil {
		t.Fatal("the control node that started first does not lead")
	}
	elapsedMs := (p.nowUs - startedUs) / 1000
	if maxMs := twoNodeLeaseMs + controller.MaxOrderInFlightUs/1000 + 150 - elapsedMs; leader.OrderDelayMs > maxMs || elapsedMs < 1500 || elapsedMs > twoNodeLeaseMs {
		t.Errorf("delay of orders %d ms after the start: got %d ms, want at most %d ms", elapsedMs, leader.OrderDelayMs, maxMs)
	}
}
