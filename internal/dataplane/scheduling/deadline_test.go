package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
)

// Each try of a call ends at the same moment: at the client's own time or at its route's, whichever comes first.
func TestAttemptsOfCallShareOneDeadline(t *testing.T) {
	const timeoutMs, pauseUs = 20_000, 700 * clock.Ms
	for _, clientMs := range []int64{0, 1500, timeoutMs - 1, timeoutMs, 90_000} {
		for _, repeat := range []configuration.RetryClass{configuration.Idempotent, configuration.NonIdempotent, configuration.Streaming} {
			name := fmt.Sprintf("%s, the client waits %d ms", repeat, clientMs)
			h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", repeat, 3, onlyService("s"), false}), 1, replicaUpdates("s", "r1", "r2", "r3")...))
			wantUs := h.nowUs + timeoutMs*clock.Ms
			if clientMs > 0 {
				wantUs = min(wantUs, h.nowUs+clientMs*clock.Ms)
			}
			h.step(CallArrived{Call: &Call{ID: "c", Kind: "r", TimeoutMs: clientMs, Routed: &RoutedCall{PromptTokens: 100}}})
			for range 2 {
				h.nowUs += pauseUs
				h.endAttempt("c", OutcomeRejected)
			}
			attempts := h.attempts["c"]
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
func TestQueuedCallExpiresAtRouteTimeout(t *testing.T) {
	const timeoutMs = 20_000
	row := replicaUpdates("s", "r1")
	row[0].Unreachable = true
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Streaming, 3, onlyService("s"), true}), 1, row...))
	h.step(CallArrived{Call: &Call{ID: "c", Kind: "r", TimeoutMs: 90_000, Routed: &RoutedCall{PromptTokens: 100}}})
	if h.advance(timeoutMs*clock.Ms - 1); h.final["c"] != nil {
		t.Fatalf("answered before its time: %+v", h.final["c"])
	}
	h.advance(1)
	if f := h.final["c"]; f == nil || asCallFailed(f) == nil || asCallFailed(f).Fault.Code != fault.Expired || asCallFailed(f).Fault.Run != fault.RunNone {
		t.Errorf("at its time: %+v", f)
	}
}
