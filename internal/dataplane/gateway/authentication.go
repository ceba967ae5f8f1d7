package gateway

import (
	"context"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

const (
	// currentWithinUs is how old the newest frame of a current control node may be at a gateway that counts as current. Such
	// frames come every 400 ms where there is no news.
	currentWithinUs = 1000 * clock.Ms
	// maxKeyHoldUs bounds how long a request with a key that this gateway does not know is held for a declaration that may be on its
	// way, and keyHoldDivisor by its share of the time that the request has left.
	maxKeyHoldUs   = 300 * clock.Ms
	keyHoldDivisor = 4
	// maxHeldKeys is how many such requests are held at once: the others are answered without a wait.
	maxHeldKeys = 64
	// staleRetryMs is when a caller is told to try again whose key a gateway that is not current can't judge.
	staleRetryMs = 500
)

// LookupRoute finds the route of a request and the tenant in whose name it runs by the newest news; there must be a
// declaration. It is the one place where requests are authenticated.
//
// A key that is not known here may be in a declaration that is on its way: its request is held for a moment. After that a
// gateway that is current refuses it, and one that is not says that it can't tell.
func (h *Host) LookupRoute(ctx context.Context, a scheduling.RouteLookup) (route *configuration.Route, tenant string, bad *fault.Fault) {
	route, tenant, bad = h.lookupRoute(a)
	if a.Key == "" || !isUndecided(bad) {
		return route, tenant, bad
	}
	defer h.heldKeys.Add(-1)
	if h.heldKeys.Add(1) > maxHeldKeys {
		return route, tenant, bad
	}
	hold := time.NewTimer(h.keyHold(a.DeadlineUs, clock.NowUs()))
	defer hold.Stop()
	for {
		news := h.news.next()
		if route, tenant, bad = h.lookupRoute(a); !isUndecided(bad) {
			return route, tenant, bad
		}
		select {
		case <-news:
		case <-hold.C:
			return h.lookupRoute(a)
		case <-ctx.Done():
			return route, tenant, bad
		}
	}
}

// lookupRoute is LookupRoute of this moment.
func (h *Host) lookupRoute(a scheduling.RouteLookup) (*configuration.Route, string, *fault.Fault) {
	snap, nowUs := h.Snapshot(), clock.NowUs()
	route, tenant, bad := snap.LookupRoute(a)
	switch {
	case bad == nil && h.keysExpired(nowUs) && !snap.Declaration.Allows(route, ""):
		return nil, "", staleKeys("no current control node was heard for %d ms: keys may have been revoked", h.settings.Revocation.WithinMs)
	case bad != nil && bad.Code == fault.Unauthenticated && a.Key != "" && !h.isCurrent(nowUs):
		return nil, "", staleKeys("no tenant held its key when this gateway last heard a current control node")
	}
	return route, tenant, bad
}

// isUndecided says whether a newer declaration, or word that there is none, may change an answer.
func isUndecided(bad *fault.Fault) bool {
	return bad != nil && (bad.Code == fault.Unauthenticated || bad.Code == fault.NoLease)
}

func staleKeys(format string, args ...any) *fault.Fault {
	bad := fault.New(fault.NoLease, "", format, args...)
	bad.RetryMs = staleRetryMs
	return bad
}

// keyHold is how long a request may be held that must be answered by an instant; 0 is never.
func (h *Host) keyHold(deadlineUs, nowUs int64) time.Duration {
	us := h.maxKeyHoldUs
	if deadlineUs > 0 {
		us = max(0, min(us, (deadlineUs-nowUs)/keyHoldDivisor))
	}
	return time.Duration(us) * time.Microsecond
}

// isCurrent says whether this gateway knows every declaration that was acknowledged, but for those on their way.
func (h *Host) isCurrent(nowUs int64) bool {
	currentUs := h.currentUs.Load()
	return currentUs > 0 && nowUs-currentUs <= currentWithinUs
}

// keysExpired says whether keys that are known here may have been revoked for longer than the settings let pass.
func (h *Host) keysExpired(nowUs int64) bool {
	r, currentUs := h.settings.Revocation, h.currentUs.Load()
	return r.Closed && (currentUs == 0 || nowUs-currentUs > r.WithinMs*clock.Ms)
}

// setCurrent takes the instant of the newest frame of a current control node. It runs on the actor.
func (h *Host) setCurrent(us int64) {
	lastUs := h.currentUs.Swap(us)
	if us > 0 && (lastUs == 0 || us-lastUs > currentWithinUs) {
		h.news.fire()
	}
}
