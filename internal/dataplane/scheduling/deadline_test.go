package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
)

// All attempts of a call have the same deadline: the client's timeout or the route's, whichever is earlier.
func TestAttemptsOfCallShareOneDeadline(t *testing.T) {
	const timeoutMs, pauseUs = 20_000, 700 * clock.Ms
	for _, clientMs := range []int64{0, 1500, timeoutMs - 1, timeoutMs, 90_000} {
		for _, retryClass := range []configuration.RetryClass{configuration.Idempotent, configuration.NonIdempotent, configuration.Streaming} {
			name := fmt.Sprintf("%s route, client timeout %d ms", retryClass, clientMs)
			h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", retryClass, 3, onlyService("s"), false}), 1, replicaUpdates("s", "r1", "r2", "r3")...))
			wantUs := h.nowUs + timeoutMs*clock.Ms
			if clientMs > 0 {
				wantUs = min(wantUs, h.nowUs+clientMs*clock.Ms)
			}
			h.step(CallArrived{Call: &Call{ID: "c", Kind: "r", TimeoutMs: clientMs, Routed: &RoutedCall{Host: "h", Path: pathOf("r"), PromptTokens: 100}}})
			for range 2 {
				h.nowUs += pauseUs
				h.endAttempt("c", OutcomeRejected)
			}
			attempts := h.attempts["c"]
			if len(attempts) < 2 {
				t.Fatalf("%s: got %d attempts, want at least 2", name, len(attempts))
			}
			for i, st := range attempts {
				if st.DeadlineUs != wantUs {
					t.Errorf("%s: deadline of attempt %d: got %d us, want %d us", name, i+1, st.DeadlineUs, wantUs)
				}
			}
		}
	}
}

// A call that no replica can take is refused exactly at its deadline.
func TestQueuedCallExpiresAtRouteTimeout(t *testing.T) {
	const timeoutMs = 20_000
	update := replicaUpdates("s", "r1")
	update[0].Unreachable = true
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Streaming, 3, onlyService("s"), true}), 1, update...))
	h.step(CallArrived{Call: &Call{ID: "c", Kind: "r", TimeoutMs: 90_000, Routed: &RoutedCall{Host: "h", Path: pathOf("r"), PromptTokens: 100}}})
	if h.advance(timeoutMs*clock.Ms - 1); h.final["c"] != nil {
		t.Fatalf("call was answered before its deadline: %+v", h.final["c"])
	}
	h.advance(1)
	if f := h.final["c"]; f == nil || asCallFailed(f) == nil || asCallFailed(f).Fault.Code != fault.Expired || asCallFailed(f).Fault.Run != fault.RunNone {
		t.Errorf("answer at the deadline: got %+v, want an expired fault that states that the call has not run", f)
	}
}
