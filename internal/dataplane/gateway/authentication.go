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
	// frames come every 400 ms where there is no news; some may be missing, and a process may stand still for a second where the
	// machine is busy.
	currentWithinUs = 2000 * clock.Ms
	// maxLookupHoldUs bounds how long a request is held whose route or key this gateway does not know, for a declaration that may be
	// on its way, and lookupHoldDivisor by its share of the time that the request has left.
	maxLookupHoldUs   = 300 * clock.Ms
	lookupHoldDivisor = 4
	// maxHeldLookups is how many such requests are held at once: the others are answered without a wait.
	maxHeldLookups = 64
	// staleRetryMs is when a caller is told to try again whose route or key a gateway that is not current can't judge.
	staleRetryMs = 500
)

// LookupRoute finds the route of a request and the tenant in whose name it runs by the newest news; there must be a
// declaration. It is the one place where requests are authenticated.
//
// A route or a key that is not known here may be in a declaration that is on its way: its request is held for a moment. After
// that a gateway that is current refuses it, and one that is not says that it can't tell.
func (h *Host) LookupRoute(ctx context.Context, a scheduling.RouteLookup) (route *configuration.Route, tenant string, failure *fault.Fault) {
	route, tenant, failure = h.lookupRoute(a)
	if !isUndecided(a, failure) {
		return route, tenant, failure
	}
	defer h.heldLookups.Add(-1)
	if h.heldLookups.Add(1) > maxHeldLookups {
		return route, tenant, failure
	}
	hold := time.NewTimer(h.lookupHold(a.DeadlineUs, clock.NowUs()))
	defer hold.Stop()
	for {
		updated := h.updates.changed()
		if route, tenant, failure = h.lookupRoute(a); !isUndecided(a, failure) {
			return route, tenant, failure
		}
		select {
		case <-updated:
		case <-hold.C:
			return h.lookupRoute(a)
		case <-ctx.Done():
			return route, tenant, failure
		}
	}
}

// lookupRoute is LookupRoute of this moment.
func (h *Host) lookupRoute(a scheduling.RouteLookup) (*configuration.Route, string, *fault.Fault) {
	snap, nowUs := h.Snapshot(), clock.NowUs()
	route, tenant, failure := snap.LookupRoute(a)
	switch {
	case failure == nil && h.keysExpired(nowUs) && !snap.Declaration.Allows(route, ""):
		return nil, "", undecided("no current control node was heard for %d ms: keys may have been revoked", h.settings.Revocation.WithinMs)
	case isUndecided(a, failure) && !h.isCurrent(nowUs):
		return nil, "", undecided("%s when this gateway last heard a current control node", failure.Detail)
	}
	return route, tenant, failure
}

// isUndecided says whether a newer declaration, or word that there is none, may let in a request that is refused: one that brings a
// key, or whose route is not known.
func isUndecided(a scheduling.RouteLookup, failure *fault.Fault) bool {
	if failure == nil {
		return false
	}
	return failure.Code == fault.NotFound || failure.Code == fault.NoLease || (failure.Code == fault.Unauthenticated && a.Key != "")
}

func undecided(format string, args ...any) *fault.Fault {
	failure := fault.New(fault.NoLease, "", format, args...)
	failure.RetryMs = staleRetryMs
	return failure
}

// lookupHold is how long a request may be held that must be answered by an instant; 0 is never.
func (h *Host) lookupHold(deadlineUs, nowUs int64) time.Duration {
	us := h.maxLookupHoldUs
	if deadlineUs > 0 {
		us = max(0, min(us, (deadlineUs-nowUs)/lookupHoldDivisor))
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
		h.updates.notify()
	}
}
