package controlnode

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"runtime/debug"
	"slices"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

// corruptValue changes one value somewhere in a decoded JSON message: it removes it, duplicates an element of a list, or replaces
// it by null, a negative or huge number, an empty value or a value of another type.
func corruptValue(r *rand.Rand, value any) any {
	switch v := value.(type) {
	case map[string]any:
		keys := []string{}
		for key := range v {
			keys = append(keys, key)
		}
		if len(keys) == 0 || r.Intn(12) == 0 {
			break
		}
		slices.Sort(keys)
		key := keys[r.Intn(len(keys))]
		if r.Intn(8) == 0 {
			delete(v, key)
			return v
		}
		v[key] = corruptValue(r, v[key])
		return v
	case []any:
		if len(v) == 0 || r.Intn(6) == 0 {
			break
		}
		at := r.Intn(len(v))
		if r.Intn(4) == 0 {
			return append(v, v[at])
		}
		v[at] = corruptValue(r, v[at])
		return v
	}
	replacements := []any{nil, -1, json.Number("9223372036854775807"), json.Number("18446744073709551615"), "", map[string]any{},
		[]any{}, []any{nil}, true, 0, "oa1"}
	return replacements[r.Intn(len(replacements))]
}

// recordPeerMessages returns, by kind, the messages that three control nodes send each other while they accept configurations,
// receive heartbeats of replicas, lose a member and take it back.
func recordPeerMessages(t *testing.T) map[string][][]byte {
	tc := newThreeNodeCluster(t)
	rawByKind := map[string][][]byte{}
	tc.onSend = func(message peering.Message) {
		raw, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		rawByKind[messageKind(message)] = append(rawByKind[messageKind(message)], raw)
	}
	for n := range 3 {
		tc.step(0, SubmitChange{Change: configChangeOf(n)})
		tc.step(1, heartbeatEvent(fmt.Sprint("r", n), 1, n == 2))
		tc.advance(400 * clock.Ms)
	}
	tc.cutLinksOf(2, true, true)
	tc.advance(3 * clock.Sec)
	tc.cutLinks = map[[2]int]bool{}
	tc.advance(4 * clock.Sec)
	return rawByKind
}

func messageKind(message peering.Message) string {
	m := message.Chain
	switch {
	case m == nil:
		return fmt.Sprint(message.Result != nil, message.Report != nil, message.Suspicion != nil, message.Gossip != nil,
			message.DrainConfirmation != nil, message.Outliers != nil)
	case m.Forward != nil:
		return fmt.Sprint("forward", len(m.Forward.Entries) > 0, m.Forward.Snapshot != nil)
	}
	return fmt.Sprint(m.Hello != nil, m.Prepare != nil, m.Promise != nil, m.Accept != nil, m.Accepted != nil, m.Ack != nil,
		m.Lease != nil, m.InstallSnapshot != nil, m.Submit != nil)
}

// configChangeOf returns an operator's change to version n+1.
func configChangeOf(n int) *statemachine.Change {
	doc := &configuration.Declaration{Version: uint64(n + 1), Services: []configuration.Service{{Name: "s", MaxConnections: 9}},
		Routes: []configuration.Route{{
			Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1000, MaxAttempts: 1,
			Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`{}`),
		}}}
	return &statemachine.Change{ID: fmt.Sprint("order-", n), Config: &statemachine.ConfigChange{Base: uint64(n),
		Version: uint64(n + 1), Doc: doc}}
}

// malformedChanges returns changes that no control node of this version writes to the log.
func malformedChanges() []statemachine.Change {
	return []statemachine.Change{
		{},
		{ID: "nothing", Config: &statemachine.ConfigChange{}},
		{ID: "edit without a number", Config: &statemachine.ConfigChange{Base: 1, Edit: &configuration.Edit{}}},
		{ID: "no declaration", Config: &statemachine.ConfigChange{Base: 3, Version: 9}},
		{ID: "an empty edit", Config: &statemachine.ConfigChange{Base: 3, Version: 9, Edit: &configuration.Edit{}}},
		{ID: "claim", Epoch: 1, Claim: &statemachine.Claim{}},
		{ID: "duty", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{
			Replicas: []statemachine.ReplicaUpdate{{}, {ID: "r", Incarnation: "r", CapacityMB: -1, Slots: -1,
				ResidentKnown: true, Resident: []statemachine.ResidentUnit{{}, {Unit: "m", SizeMB: -1}}}},
			RemovedReplicas: []string{"", "none"}, Commands: []statemachine.ReplicaCommand{{},
				{Replica: "r", Incarnation: "r", Action: statemachine.Load}}, Results: []statemachine.CommandResult{{}, {Number: 1 << 63}},
			Grants: []statemachine.GrantRequest{{Replica: "r", Incarnation: "r", Count: 1}},
			Quotas: map[string]map[string]int{"r": nil, "none": {"d": -1}}, RemovedGateways: []string{""}, ForgetKeysBefore: 1 << 63,
		}},
		{ID: "key", Key: &statemachine.KeyChange{}},
		{ID: "end", Key: &statemachine.KeyChange{End: "x", Release: true}},
		{ID: "member", Membership: &statemachine.MembershipChange{}},
	}
}

// stepRecoveringPanic passes an event to a control node and lets some time pass. It returns the panic that this caused, with its
// stack; empty if there was none.
func stepRecoveringPanic(tc *threeNodeCluster, i int, ev Event) (failure string) {
	defer func() {
		if reason := recover(); reason != nil {
			failure = fmt.Sprintf("%v\n%s", reason, debug.Stack())
		}
	}()
	tc.step(i, ev)
	tc.advance(25 * clock.Ms)
	return ""
}

// A malformed change must not make a control node panic: once it is in the log, it would stop every control node that applies
// it, again after every restart.
func TestMalformedChangesDoNotPanic(t *testing.T) {
	for _, withReplica := range []bool{false, true} {
		for _, c := range malformedChanges() {
			tc := newThreeNodeCluster(t)
			if withReplica {
				tc.step(0, SubmitChange{Change: &statemachine.Change{ID: "claimed", Epoch: 1, Claim: &statemachine.Claim{Leader: "oa0"}}})
				tc.step(0, SubmitChange{Change: &statemachine.Change{ID: "fleet", Epoch: 1,
					LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{{ID: "q", Incarnation: "q",
						CapacityMB: 10, Slots: 1}}}}})
			}
			if failure := stepRecoveringPanic(tc, 0, SubmitChange{Change: &c}); failure != "" {
				t.Errorf("change %q, with a leader and a replica %v: panic: %.900s", c.ID, withReplica, failure)
			}
		}
	}
}

const malformedMessageCount = 20_000

// No malformed message from another control node makes a control node panic.
func TestMalformedPeerMessagesDoNotPanic(t *testing.T) {
	rawByKind := recordPeerMessages(t)
	kinds := slices.Sorted(maps.Keys(rawByKind))
	r := rand.New(rand.NewSource(1))
	decoded, reported := 0, map[string]bool{}
	tc := newThreeNodeCluster(t)
	for n := range malformedMessageCount {
		samples := rawByKind[kinds[n%len(kinds)]]
		var tree any
		if err := json.Unmarshal(samples[r.Intn(len(samples))], &tree); err != nil {
			t.Fatal(err)
		}
		for range 1 + r.Intn(3) {
			tree = corruptValue(r, tree)
		}
		raw, err := json.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		var message peering.Message
		if json.Unmarshal(raw, &message) != nil {
			continue
		}
		decoded++
		if n%25 == 0 {
			tc = newThreeNodeCluster(t)
		}
		if failure := stepRecoveringPanic(tc, r.Intn(3), PeerMessage{Message: &message}); failure != "" {
			if !reported[failure[:40]] {
				t.Errorf("message %d, %s: panic: %.1500s", n, raw, failure)
			}
			reported[failure[:40]] = true
			tc = newThreeNodeCluster(t)
		}
	}
	t.Logf("%d corrupted messages of %d kinds could be decoded", decoded, len(kinds))
	if decoded < malformedMessageCount/10 || len(kinds) < 10 {
		t.Errorf("corrupted messages that could be decoded: got %d of %d kinds, want at least %d of 10 kinds for a meaningful test",
			decoded, len(kinds), malformedMessageCount/10)
	}
}

// No malformed or empty event from a gateway, a replica or a peer makes a control node panic.
func TestMalformedReportsDoNotPanic(t *testing.T) {
	tc := newThreeNodeCluster(t)
	for _, ev := range []Event{
		GatewayReport{}, RoutedGatewayReport{Report: &wire.Report{}}, SubscribeUpdates{Request: &wire.SubscribeRequest{}},
		SubscribeFrames{Request: &wire.SubscribeRequest{}}, SubscribeFrames{Request: &wire.SubscribeRequest{Revision: 1 << 63}},
		PeerHeartbeat{Heartbeat: &failuredetector.Heartbeat{}}, PeerMessage{Message: &peering.Message{}},
		PeerMessage{Message: &peering.Message{Chain: &chain.Msg{}}}, UnsubscribeFrames{}, ReplicaDeregistration{ID: "none"},
		RoutedGatewayReport{Report: &wire.Report{Gateway: "d", Arrivals: map[string]float64{"": -1e300},
			InFlight: map[string]int{"": -1 << 62}, Attempts: map[string]int{"": -1}}},
	} {
		if failure := stepRecoveringPanic(tc, 0, ev); failure != "" {
			t.Errorf("event %T %+v: panic: %.900s", ev, ev, failure)
		}
	}
}
