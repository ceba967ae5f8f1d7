package distribution

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
)

func newActivePublisher(s *statemachine.State) *UpdatePublisher {
	r := NewUpdatePublisher()
	r.SetActive(1, true)
	r.Subscribe(2, wire.SubscribeRequest{Gateway: "front", Incarnation: "i1"})
	return r
}

func stateAt(revision, news uint64) *statemachine.State {
	s := statemachine.NewState()
	s.Revision, s.UpdateIndex, s.Index = revision, news, news
	s.Doc = &configuration.Declaration{Name: "d"}
	return s
}

func report(number, revision uint64) wire.Report {
	return wire.Report{Gateway: "front", Incarnation: "i1", Number: number, Revision: revision, SentUs: 7}
}

// A pushed declaration may be lost with its connection: seed 218 served an emptied zone that way.
func TestDeclarationIsPushedUntilAcknowledged(t *testing.T) {
	s := stateAt(3, 30)
	r := newActivePublisher(s)
	if p := r.Updates(s, chain.View{}); len(p) != 1 || p[0].Update.Declaration == nil {
		t.Fatalf("first push: %+v", p)
	}
	s.UpdateIndex = 31
	if p := r.Updates(s, chain.View{}); len(p) != 1 || p[0].Update.Declaration == nil {
		t.Fatal("the declaration was left out though nobody acknowledged it")
	}
	r.Report(10, 1, s.UpdateIndex, true, report(31, 3))
	s.UpdateIndex = 32
	if p := r.Updates(s, chain.View{}); len(p) != 1 || p[0].Update.Declaration != nil {
		t.Fatal("an acknowledged declaration is sent again")
	}
}

// Seed 138: a gateway whose lease had lapsed got it back while it still worked by old news.
func TestLapsedGatewayNeedsNewestUpdateForLease(t *testing.T) {
	s := stateAt(1, 10)
	r := newActivePublisher(s)
	if !r.Report(100, 1, 10, true, report(10, 1)).OK {
		t.Fatal("an up-to-date gateway gets no lease")
	}
	if !r.Report(200_000, 1, 11, true, report(10, 1)).OK {
		t.Fatal("a gateway a moment behind loses its lease at once")
	}
	if r.Report(200_000+maxUpdateLagUs+1, 1, 11, true, report(10, 1)).OK {
		t.Fatal("a gateway that stays behind keeps its lease")
	}
	lapsedUs := 200_000 + GatewayLeaseUs + 1
	if r.Report(lapsedUs, 1, 12, true, report(11, 1)).OK {
		t.Fatal("a lapsed gateway that is behind got a lease")
	}
	if !r.Report(lapsedUs+1, 1, 12, true, report(12, 1)).OK {
		t.Fatal("a lapsed gateway with the newest news gets no lease")
	}
}

func TestResultWaitsForEveryGatewayOrItsLeaseExpiry(t *testing.T) {
	s := stateAt(1, 10)
	r := newActivePublisher(s)
	startUs := 2 * GatewayLeaseUs
	r.Report(startUs, 1, 10, true, report(10, 1))
	r.AwaitAcknowledgements("op", statemachine.Outcome{ID: "c"}, 11)
	if a := r.ReleasedResults(startUs + 10); len(a) != 0 {
		t.Fatal("answered before the gateway acknowledged")
	}
	if a := r.ReleasedResults(startUs + GatewayLeaseUs - 1); len(a) != 0 {
		t.Fatal("answered while the gateway still had its lease")
	}
	if a := r.ReleasedResults(startUs + GatewayLeaseUs); len(a) != 1 {
		t.Fatal("not answered though the lease ran out")
	}
	r.Report(startUs+GatewayLeaseUs+1, 1, 11, true, report(11, 1))
	r.AwaitAcknowledgements("op", statemachine.Outcome{ID: "d"}, 12)
	r.Report(startUs+GatewayLeaseUs+2, 1, 12, true, report(12, 1))
	if a := r.ReleasedResults(startUs + GatewayLeaseUs + 3); len(a) != 1 {
		t.Fatal("not answered though every gateway acknowledged")
	}
}

func TestNewTailWaitsForLeasesOfItsPredecessor(t *testing.T) {
	r := NewUpdatePublisher()
	r.SetActive(1000, true)
	r.AwaitAcknowledgements("op", statemachine.Outcome{ID: "c"}, 5)
	if a := r.ReleasedResults(1000 + GatewayLeaseUs - 1); len(a) != 0 {
		t.Fatal("a new tail answered while its predecessor's leases may run")
	}
	if a := r.ReleasedResults(1000 + GatewayLeaseUs); len(a) != 1 {
		t.Fatal("never answered")
	}
}

func TestNewTailWaitsForControllerToCheckPlatformList(t *testing.T) {
	s := stateAt(1, 10)
	r := newActivePublisher(s)
	if r.Report(100, 1, 10, false, report(10, 1)).OK {
		t.Fatal("a lease before the list was looked at in this view")
	}
	if !r.Report(200, 1, 10, true, report(10, 1)).OK {
		t.Fatal("no lease after it was")
	}
	if !r.Report(listCheckGraceUs+10, 1, 10, false, report(10, 1)).OK {
		t.Fatal("no lease although the platform may be down")
	}
}
