package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
)

// Each try of a call ends at the same moment: at the client's own time or at its route's, whichever comes first.
func TestEveryTryOfACallEndsAtTheSameMoment(t *testing.T) {
	const timeoutMs, pauseUs = 20_000, 700 * clock.Ms
	for _, clientMs := range []int64{0, 1500, timeoutMs - 1, timeoutMs, 90_000} {
		for _, repeat := range []configuration.RetryClass{configuration.Idempotent, configuration.NonIdempotent, configuration.Streaming} {
			name := fmt.Sprintf("%s, the client waits %d ms", repeat, clientMs)
			k := newHarness(Options{}, stands(declaration(declared{"r", repeat, 3, one("s"), false}), 1, at("s", "r1", "r2", "r3")...))
			wantUs := k.nowUs + timeoutMs*clock.Ms
			if clientMs > 0 {
				wantUs = min(wantUs, k.nowUs+clientMs*clock.Ms)
			}
			k.step(CallArrived{Call: &Call{ID: "c", Kind: "r", TimeoutMs: clientMs, Routed: &RoutedCall{PromptTokens: 100}}})
			for range 2 {
				k.nowUs += pauseUs
				k.end("c", OutcomeRejected)
			}
			attempts := k.attempts["c"]
			if len(attempts) < 2 {
				t.Fatalf("%s: sent %d times", name, len(attempts))
			}
			for i, st := range attempts {
				if st.DeadlineUs != wantUs {
					t.Errorf("%s: try %d ends at %d us, want %d", name, i+1, st.DeadlineUs, wantUs)
				}
			}
		}
	}
}

// A call that nobody takes is refused as its time is up, and no later.
func TestACallThatWaitsIsAnsweredAtItsRoutesTime(t *testing.T) {
	const timeoutMs = 20_000
	row := at("s", "r1")
	row[0].Unreachable = true
	k := newHarness(Options{}, stands(declaration(declared{"r", configuration.Streaming, 3, one("s"), true}), 1, row...))
	k.step(CallArrived{Call: &Call{ID: "c", Kind: "r", TimeoutMs: 90_000, Routed: &RoutedCall{PromptTokens: 100}}})
	if k.after(timeoutMs*clock.Ms - 1); k.final["c"] != nil {
		t.Fatalf("answered before its time: %+v", k.final["c"])
	}
	k.after(1)
	if f := k.final["c"]; f == nil || failed(f) == nil || failed(f).Fault.Code != fault.Expired || failed(f).Fault.Run != fault.RunNone {
		t.Errorf("at its time: %+v", f)
	}
}
