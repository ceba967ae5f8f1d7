package gateway

import (
	"testing"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

// stepAhead makes a gateway whose actor does not run count as stepped for as long as a test runs, also if the test itself is held up.
func (h *Host) stepAhead() { h.steppedUs.Store(clock.NowUs() + longHoldUs) }

// wake makes a gateway one that has woken at a time and has heard nobody since.
func (h *Host) wake(us int64) {
	h.setCurrent(us - 4*clock.Sec)
	h.wokeUs.Store(us)
	h.stepAhead()
}

// startLookup looks a key up in another goroutine.
func startLookup(t *testing.T, h *Host, path, key string, deadlineUs int64) <-chan fault.Code {
	t.Helper()
	answer := make(chan fault.Code, 1)
	go func() { answer <- lookupCode(t.Context(), h, path, key, deadlineUs) }()
	return answer
}

func awaitHeldAfterWake(t *testing.T, h *Host) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); h.heldAfterWake.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request is held after a wake, want one")
		}
	}
}

// Guards against UNASKED of review case 7: a gateway that has just woken names no tenant by what it knew before.
func TestWokenGatewayHoldsRequestsUntilItHearsACurrentControlNode(t *testing.T) {
	h := newHostWithKeys(t, settings.Revocation{}, "k1")
	h.wake(clock.NowUs())
	held := startLookup(t, h, "/x/1", "k1", 0)
	awaitHeldAfterWake(t, h)
	h.storeDeclaration(2, "k2")
	select {
	case code := <-held:
		t.Fatalf("lookup after a newer declaration of unknown age: got %q, want it still held", code)
	default:
	}
	h.maxLookupHoldUs = 0
	h.setCurrent(clock.NowUs())
	if code := <-held; code != fault.Unauthenticated {
		t.Errorf("lookup of a key that was taken away while the gateway stood still: got %q, want %q", code, fault.Unauthenticated)
	}
}

func TestLookupAtWokenGateway(t *testing.T) {
	for name, c := range map[string]struct {
		prepare   func(h *Host)
		path, key string
		leftUs    int64
		want      fault.Code
	}{
		"no time to wait":                    {func(h *Host) { h.wake(clock.NowUs()) }, "/x/1", "k1", 20 * clock.Ms, fault.NoLease},
		"nobody's request":                   {func(h *Host) { h.wake(clock.NowUs()) }, "/open/1", "", 20 * clock.Ms, ""},
		"cut off since the wake":             {func(h *Host) { h.wake(clock.NowUs() - maxWakeHoldUs) }, "/x/1", "k1", 20 * clock.Ms, ""},
		"heard a current control node since": {func(h *Host) { h.wake(clock.NowUs()); h.setCurrent(clock.NowUs()) }, "/x/1", "k1", 20 * clock.Ms, ""},
		"the actor has not noticed the wake": {func(h *Host) { h.steppedUs.Store(clock.NowUs() - controlclient.WakeGapUs - clock.Sec) }, "/x/1", "k1", 20 * clock.Ms, fault.NoLease},
		"too many requests are held already": {func(h *Host) { h.wake(clock.NowUs()); h.heldAfterWake.Store(maxHeldAfterWake) }, "/x/1", "k1", 0, fault.NoLease},
		"the gateway has never stood still":  {func(h *Host) { h.stepAhead() }, "/x/1", "k1", 20 * clock.Ms, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHostWithKeys(t, settings.Revocation{}, "k1")
			c.prepare(h)
			deadlineUs := int64(0)
			if c.leftUs > 0 {
				deadlineUs = clock.NowUs() + c.leftUs
			}
			if code := lookupCode(t.Context(), h, c.path, c.key, deadlineUs); code != c.want {
				t.Errorf("got %q, want %q", code, c.want)
			}
		})
	}
}

// A call that waited while its key moved is sent in the name of the new holder, and an attempt that was prepared for the former one is not
// sent.
func TestAttemptIsSentInTheNameOfTheKeyHolder(t *testing.T) {
	h := newRoutedHost(t)
	c := newTestCall(h)
	st := scheduling.AttemptStart{Call: c, Replica: "one", Incarnation: "one", Service: "s", DeadlineUs: clock.NowUs() + 5*clock.Sec}
	if got := h.MaySend(t.Context(), st, ""); got != SendAllowed {
		t.Errorf("attempt of nobody's call: got %v, want %v", got, SendAllowed)
	}
	if got := h.MaySend(t.Context(), st, "former"); got != SendOfOtherTenant {
		t.Errorf("attempt in a former tenant's name: got %v, want %v", got, SendOfOtherTenant)
	}
	h.wokeUs.Store(clock.NowUs())
	st.DeadlineUs = clock.NowUs() + 20*clock.Ms
	if got := h.MaySend(t.Context(), st, "former"); got != SendWithdrawn {
		t.Errorf("attempt at a gateway that has just woken: got %v, want %v", got, SendWithdrawn)
	}
}
