package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

// The benchmarks of this file measure a call from its arrival to the end of its only attempt, in each of the two modes.

func BenchmarkRoutedCall(b *testing.B) {
	doc := routedDeclaration(routeSpec{name: "model", retryClass: configuration.Idempotent, attemptLimit: 3, split: onlyService("engine")})
	ids := []string{}
	for i := range 24 {
		ids = append(ids, fmt.Sprintf("r%02d", i))
	}
	d := New(Options{Gateway: "g", QueueMax: 1000, RetryBudget: RetryBudgetOptions{Ratio: 0.1, Slack: 10, WindowUs: 10 * clock.Sec}})
	d.Step(clock.Sec, SnapshotReceived{Snapshot: newRoutedSnapshot(doc, 3, replicaUpdates("engine", ids...)...)})
	benchmarkCalls(b, d, func(id string) *Call {
		return &Call{ID: id, Kind: "model", Model: "m", Routed: &RoutedCall{Host: "h", Path: pathOf("model"), PromptTokens: 100, Segments: []PromptSegment{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}}}}
	})
}

func BenchmarkDeclaredCall(b *testing.B) {
	d := newLeasedDecider(4, 1000)
	d.Step(1, LeaseExtended{UntilUs: 1 << 60})
	for _, r := range d.attemptGrants {
		r.to = 1 << 60
	}
	benchmarkCalls(b, d, func(id string) *Call { return &Call{ID: id, Kind: "fixes", Model: "m"} })
}

func benchmarkCalls(b *testing.B, d *Decider, newCall func(id string) *Call) {
	b.Helper()
	b.ReportAllocs()
	nowUs := clock.Sec
	for i := range b.N {
		nowUs += 10 * clock.Ms
		c := newCall(fmt.Sprintf("c%d", i%1000))
		effects := d.Step(nowUs, CallArrived{Call: c})
		if len(effects) != 1 || asAttemptStart(effects[0]) == nil {
			b.Fatalf("arrival of call %d: got effects %+v, want one *AttemptStart", i, effects)
		}
		nowUs += 10 * clock.Ms
		c.FirstByteUs.Store(nowUs)
		effects = d.Step(nowUs, AttemptEnded{Call: c.ID, Attempt: asAttemptStart(effects[0]).Attempt, Outcome: OutcomeDone})
		if len(effects) != 1 || asCallFinished(effects[0]) == nil {
			b.Fatalf("end of call %d: got effects %+v, want one *CallFinished", i, effects)
		}
	}
}
