package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
)

// longHoldUs outlasts every test.
const longHoldUs = 60 * clock.Sec

// keyed is a gateway that has heard a control node just now, with a declaration whose one tenant holds some keys.
func newHostWithKeys(t *testing.T, revocation settings.Revocation, keys ...string) *Host {
	t.Helper()
	h := Open(settings.Gateway{
		Name: "g", Listen: "127.0.0.1:0", Zone: "a", Seeds: []string{"127.0.0.1:1"}, MaxQueue: 1, MaxBodyKB: 1, Attempts: settings.LeaselessAttempts, Revocation: revocation,
	}, logring.NewRing("", io.Discard))
	h.storeDeclaration(1, keys...)
	h.setCurrent(clock.NowUs())
	return h
}

// learns brings a declaration; those above 100 have one more route.
func (h *Host) storeDeclaration(revision uint64, keys ...string) {
	tenant := configuration.Tenant{Name: "acme"}
	for _, key := range keys {
		tenant.KeyDigests = append(tenant.KeyDigests, configuration.KeyDigest(key))
	}
	split := []configuration.WeightedService{{Service: "s", Weight: 1}}
	d := &configuration.Declaration{
		Version: revision, RequireKeys: true, Tenants: []configuration.Tenant{tenant}, Services: []configuration.Service{{Name: "s"}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/x/", Split: split}, {Name: "open", Host: "h", Prefix: "/open/", Split: split, Public: true}},
	}
	if revision > 100 {
		d.Routes = append(d.Routes, configuration.Route{Name: "late", Host: "h", Prefix: "/late/", Split: split})
	}
	h.snapshot.Store(&scheduling.Snapshot{Revision: revision, Declaration: d.Indexed()})
	h.updates.notify()
}

func lookupCode(ctx context.Context, h *Host, path, key string, deadlineUs int64) fault.Code {
	if _, _, failure := h.LookupRoute(ctx, scheduling.RouteLookup{Host: "h", Path: path, Key: key, DeadlineUs: deadlineUs}); failure != nil {
		return failure.Code
	}
	return ""
}

// asks looks a key up beside the test, and returns once it is held.
func startHeldLookup(t *testing.T, h *Host, key string) <-chan fault.Code {
	t.Helper()
	return startHeldLookupOnPath(t, h, "/x/1", key)
}

func startHeldLookupOnPath(t *testing.T, h *Host, path, key string) <-chan fault.Code {
	t.Helper()
	heldBefore, answer := h.heldLookups.Load(), make(chan fault.Code, 1)
	go func() { answer <- lookupCode(t.Context(), h, path, key, 0) }()
	for h.heldLookups.Load() <= heldBefore {
		select {
		case code := <-answer:
			t.Fatalf("%s was answered at once: %q", key, code)
		case <-time.After(time.Millisecond):
		}
	}
	return answer
}

func TestARequestWhoseKeyIsOnItsWayIsServed(t *testing.T) {
	h := newHostWithKeys(t, settings.Revocation{}, "k1")
	h.maxLookupHoldUs = longHoldUs
	late := startHeldLookup(t, h, "k2")
	h.storeDeclaration(2, "k1", "k3")
	select {
	case code := <-late:
		t.Fatalf("a declaration without the key ended the wait: %q", code)
	default:
	}
	h.storeDeclaration(3, "k1", "k2")
	if code := <-late; code != "" {
		t.Errorf("%q", code)
	}
	if n := h.heldLookups.Load(); n != 0 {
		t.Errorf("%d are held still", n)
	}
}

func TestARequestOnARouteThatIsOnItsWayIsServed(t *testing.T) {
	h := newHostWithKeys(t, settings.Revocation{}, "k1")
	h.maxLookupHoldUs = longHoldUs
	late, keyless := startHeldLookupOnPath(t, h, "/late/1", "k1"), startHeldLookupOnPath(t, h, "/late/1", "")
	h.storeDeclaration(101, "k1")
	if code := <-late; code != "" {
		t.Errorf("%q", code)
	}
	if code := <-keyless; code != fault.Unauthenticated {
		t.Errorf("without a key: %q", code)
	}
}

func TestAnUnknownKeyIsRefusedForGoodOnlyByACurrentGateway(t *testing.T) {
	staleUs := currentWithinUs + clock.Sec
	for name, c := range map[string]struct {
		ageUs      int64
		revocation settings.Revocation
		path, key  string
		code       fault.Code
	}{
		"current, unknown":                    {0, settings.Revocation{}, "/x/1", "k9", fault.Unauthenticated},
		"current, none":                       {0, settings.Revocation{}, "/x/1", "", fault.Unauthenticated},
		"current, known":                      {0, settings.Revocation{}, "/x/1", "k1", ""},
		"behind, unknown":                     {staleUs, settings.Revocation{}, "/x/1", "k9", fault.NoLease},
		"behind, none":                        {staleUs, settings.Revocation{}, "/x/1", "", fault.Unauthenticated},
		"behind, known":                       {staleUs, settings.Revocation{}, "/x/1", "k1", ""},
		"current, unknown on a public route":  {0, settings.Revocation{}, "/open/1", "k9", fault.Unauthenticated},
		"behind, unknown on a public route":   {staleUs, settings.Revocation{}, "/open/1", "k9", fault.NoLease},
		"behind, none on a public route":      {staleUs, settings.Revocation{}, "/open/1", "", ""},
		"never current, unknown":              {-1, settings.Revocation{}, "/x/1", "k9", fault.NoLease},
		"never current, known":                {-1, settings.Revocation{}, "/x/1", "k1", ""},
		"open revocation, long behind, known": {time.Hour.Microseconds(), settings.Revocation{WithinMs: 5000}, "/x/1", "k1", ""},
		"closed, within the bound, known":     {4 * clock.Sec, settings.Revocation{Closed: true, WithinMs: 5000}, "/x/1", "k1", ""},
		"closed, past the bound, known":       {6 * clock.Sec, settings.Revocation{Closed: true, WithinMs: 5000}, "/x/1", "k1", fault.NoLease},
		"closed, past the bound, none":        {6 * clock.Sec, settings.Revocation{Closed: true, WithinMs: 5000}, "/x/1", "", fault.Unauthenticated},
		"closed, past the bound, public":      {6 * clock.Sec, settings.Revocation{Closed: true, WithinMs: 5000}, "/open/1", "k1", ""},
		"current, no such route":              {0, settings.Revocation{}, "/late/1", "k1", fault.NotFound},
		"behind, no such route":               {staleUs, settings.Revocation{}, "/late/1", "k1", fault.NoLease},
		"behind, no such route, no key":       {staleUs, settings.Revocation{}, "/late/1", "", fault.NoLease},
		"closed, never current, known":        {-1, settings.Revocation{Closed: true, WithinMs: 5000}, "/x/1", "k1", fault.NoLease},
	} {
		h := newHostWithKeys(t, c.revocation, "k1")
		h.maxLookupHoldUs = 0
		if h.setCurrent(clock.NowUs() - c.ageUs); c.ageUs < 0 {
			h.setCurrent(0)
		}
		if code := lookupCode(t.Context(), h, c.path, c.key, 0); code != c.code {
			t.Errorf("%s: %q, want %q", name, code, c.code)
		}
	}
}

// A gateway that was stopped or cut off serves what it held as soon as it hears again.
func TestRequestsHeldByAGatewayThatWasCutOffGoOnOnceItHearsAgain(t *testing.T) {
	h := newHostWithKeys(t, settings.Revocation{Closed: true, WithinMs: 5000}, "k1")
	h.maxLookupHoldUs = longHoldUs
	h.setCurrent(clock.NowUs() - 20*clock.Sec)
	held := startHeldLookup(t, h, "k1")
	h.setCurrent(clock.NowUs())
	if code := <-held; code != "" {
		t.Errorf("%q", code)
	}
}

// An attacker's unknown keys hold few requests, and the others are answered without a wait.
func TestAFloodOfUnknownKeysHoldsFewRequests(t *testing.T) {
	h := newHostWithKeys(t, settings.Revocation{}, "k1")
	h.maxLookupHoldUs = longHoldUs
	held := []<-chan fault.Code{}
	for i := range maxHeldLookups {
		held = append(held, startHeldLookup(t, h, fmt.Sprint("flood-", i)))
	}
	for range 1000 {
		if code := lookupCode(t.Context(), h, "/x/1", "flood", 0); code != fault.Unauthenticated {
			t.Fatalf("%q", code)
		}
	}
	if code := lookupCode(t.Context(), h, "/x/1", "k1", 0); code != "" {
		t.Errorf("a known key: %q", code)
	}
	h.storeDeclaration(2, "flood-0")
	if code := <-held[0]; code != "" {
		t.Errorf("a key that came: %q", code)
	}
	if n := h.heldLookups.Load(); n != maxHeldLookups-1 {
		t.Errorf("%d are held", n)
	}
}

func TestARequestWithAnUnknownKeyIsHeldForAPartOfItsTimeAtMost(t *testing.T) {
	h := newHostWithKeys(t, settings.Revocation{})
	for leftUs, want := range map[int64]time.Duration{100 * clock.Ms: 25 * time.Millisecond, 4 * clock.Sec: 300 * time.Millisecond, -clock.Sec: 0} {
		if got := h.lookupHold(5*clock.Sec+leftUs, 5*clock.Sec); got != want {
			t.Errorf("%d ms are left: held for %v, want %v", leftUs/clock.Ms, got, want)
		}
	}
	if got := h.lookupHold(0, 5*clock.Sec); got != 300*time.Millisecond {
		t.Errorf("no end: held for %v", got)
	}
	h.maxLookupHoldUs = longHoldUs
	ctx, leave := context.WithCancel(t.Context())
	answer := make(chan fault.Code, 1)
	go func() { answer <- lookupCode(ctx, h, "/x/1", "k9", 0) }()
	leave()
	if code := <-answer; code != fault.Unauthenticated {
		t.Errorf("its client has left: %q", code)
	}
}
