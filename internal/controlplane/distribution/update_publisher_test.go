package distribution

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
)

func newActivePublisher(s *statemachine.State) *UpdatePublisher {
	publisher := NewUpdatePublisher()
	publisher.SetActive(1, true)
	publisher.Subscribe(2, wire.SubscribeRequest{Gateway: "front", Incarnation: "i1"})
	return publisher
}

func stateAt(revision, updateIndex uint64) *statemachine.State {
	s := statemachine.NewState()
	s.Revision, s.UpdateIndex, s.Index = revision, updateIndex, updateIndex
	s.Doc = &configuration.Declaration{Name: "d"}
	return s
}

func report(number, revision uint64) wire.Report {
	return wire.Report{Gateway: "front", Incarnation: "i1", Number: number, Revision: revision, SentUs: 7}
}

// Guards against a lost declaration: a push may be lost with its connection. In seed 218 an emptied
// zone was served as a result.
func TestDeclarationIsPushedUntilAcknowledged(t *testing.T) {
	s := stateAt(3, 30)
	publisher := newActivePublisher(s)
	if p := publisher.Updates(s, chain.View{}); len(p) != 1 || p[0].Update.Declaration == nil {
		t.Fatalf("first push: got %+v, want one update with the declaration", p)
	}
	s.UpdateIndex = 31
	if p := publisher.Updates(s, chain.View{}); len(p) != 1 || p[0].Update.Declaration == nil {
		t.Fatal("push before the acknowledgement: got an update without the declaration, want it included")
	}
	publisher.Report(10, 1, s.UpdateIndex, true, report(31, 3))
	s.UpdateIndex = 32
	if p := publisher.Updates(s, chain.View{}); len(p) != 1 || p[0].Update.Declaration != nil {
		t.Fatal("push after the acknowledgement: got the declaration again, want an update without it")
	}
}

// Guards against a lease for an outdated gateway: in seed 138 a gateway whose lease had expired got a new one while it still acted on
// an old update.
func TestGatewayWithExpiredLeaseNeedsNewestUpdateForLease(t *testing.T) {
	s := stateAt(1, 10)
	publisher := newActivePublisher(s)
	if !publisher.Report(100, 1, 10, true, report(10, 1)).OK {
		t.Fatal("gateway that is up to date: got no lease, want one")
	}
	if !publisher.Report(200_000, 1, 11, true, report(10, 1)).OK {
		t.Fatal("gateway that has just fallen behind: got no lease, want one")
	}
	if publisher.Report(200_000+maxUpdateLagUs+1, 1, 11, true, report(10, 1)).OK {
		t.Fatal("gateway that stays behind for longer than maxUpdateLagUs: got a lease, want none")
	}
	expiredUs := 200_000 + GatewayLeaseUs + 1
	if publisher.Report(expiredUs, 1, 12, true, report(11, 1)).OK {
		t.Fatal("gateway with an expired lease that is behind: got a lease, want none")
	}
	if !publisher.Report(expiredUs+1, 1, 12, true, report(12, 1)).OK {
		t.Fatal("gateway with an expired lease and the newest update: got no lease, want one")
	}
}

func TestResultWaitsForEveryGatewayOrItsLeaseExpiry(t *testing.T) {
	s := stateAt(1, 10)
	publisher := newActivePublisher(s)
	startUs := 2 * GatewayLeaseUs
	publisher.Report(startUs, 1, 10, true, report(10, 1))
	publisher.AwaitAcknowledgements("op", statemachine.Outcome{ID: "c"}, 11)
	if a := publisher.ReleasedResults(startUs + 10); len(a) != 0 {
		t.Fatal("result released before the gateway acknowledged the update, want it held back")
	}
	if a := publisher.ReleasedResults(startUs + GatewayLeaseUs - 1); len(a) != 0 {
		t.Fatal("result released before the gateway's lease ended, want it held back")
	}
	if a := publisher.ReleasedResults(startUs + GatewayLeaseUs); len(a) != 1 {
		t.Fatal("result held back after the gateway's lease ended, want it released")
	}
	publisher.Report(startUs+GatewayLeaseUs+1, 1, 11, true, report(11, 1))
	publisher.AwaitAcknowledgements("op", statemachine.Outcome{ID: "d"}, 12)
	publisher.Report(startUs+GatewayLeaseUs+2, 1, 12, true, report(12, 1))
	if a := publisher.ReleasedResults(startUs + GatewayLeaseUs + 3); len(a) != 1 {
		t.Fatal("result held back after all gateways acknowledged the update, want it released")
	}
}

func TestNewTailWaitsForLeasesOfItsPredecessor(t *testing.T) {
	publisher := NewUpdatePublisher()
	publisher.SetActive(1000, true)
	publisher.AwaitAcknowledgements("op", statemachine.Outcome{ID: "c"}, 5)
	if a := publisher.ReleasedResults(1000 + GatewayLeaseUs - 1); len(a) != 0 {
		t.Fatal("result released by a new tail while leases of its predecessor may still run, want it held back")
	}
	if a := publisher.ReleasedResults(1000 + GatewayLeaseUs); len(a) != 1 {
		t.Fatal("result held back after all leases of the predecessor ended, want it released")
	}
}

func TestNewTailWaitsForControllerToCheckPlatformList(t *testing.T) {
	s := stateAt(1, 10)
	publisher := newActivePublisher(s)
	if publisher.Report(100, 1, 10, false, report(10, 1)).OK {
		t.Fatal("lease before the controller read the list in this view: got one, want none")
	}
	if !publisher.Report(200, 1, 10, true, report(10, 1)).OK {
		t.Fatal("lease after the controller read the list: got none, want one")
	}
	if !publisher.Report(listCheckGraceUs+10, 1, 10, false, report(10, 1)).OK {
		t.Fatal("lease after listCheckGraceUs without a list, as the platform may be down: got none, want one")
	}
}
