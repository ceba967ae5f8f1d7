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
	// currentWithinUs is the maximum age, in microseconds, of the newest frame from a current control node at a gateway that
	// counts as current. Without changes such frames arrive every 400 ms; the bound leaves room for some lost frames and for a
	// process that stalls for a second on a busy machine.
	currentWithinUs = 2000 * clock.Ms
	// maxLookupHoldUs bounds how long, in microseconds, a request with an unknown route or key is held, because the declaration
	// that contains them may still be in transit.
	maxLookupHoldUs = 300 * clock.Ms
	// maxHeldLookups is the maximum number of requests held at the same time; further ones are answered at once.
	maxHeldLookups = 64
)

// LookupRoute returns the route of a request and the tenant that it is authenticated as, according to the newest snapshot, which
// must have a declaration. It is the only place where requests are authenticated.
//
// An unknown route or key may be part of a declaration that is still in transit, so the request is held for up to
// maxLookupHoldUs. After that, a current gateway rejects the request, and one that is not current answers with a retryable
// NoLease fault. A request in a tenant's name is held, too, while this gateway has just woken (awaitConfirmation).
func (h *Host) LookupRoute(ctx context.Context, a scheduling.RouteLookup) (route *configuration.Route, tenant string, failure *fault.Fault) {
	route, tenant, failure = h.lookupRoute(a)
	if failure == nil && tenant != "" && h.hasJustWoken(clock.NowUs()) {
		if !h.awaitConfirmation(ctx, a.DeadlineUs) {
			return nil, "", undecided("this gateway has just woken and has heard no current control node since")
		}
		route, tenant, failure = h.lookupRoute(a)
	}
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

// lookupRoute is LookupRoute without the hold.
func (h *Host) lookupRoute(a scheduling.RouteLookup) (*configuration.Route, string, *fault.Fault) {
	snap, nowUs := h.Snapshot(), clock.NowUs()
	route, tenant, failure := snap.LookupRoute(a)
	switch {
	case failure == nil && h.keysExpired(nowUs) && !snap.Declaration.Allows(route, ""):
		return nil, "", undecided("no frame from a current control node for %d ms: keys may have been revoked", h.settings.Revocation.WithinMs)
	case isUndecided(a, failure) && !h.isCurrent(nowUs):
		return nil, "", undecided("%s at the last frame from a current control node", failure.Detail)
	}
	return route, tenant, failure
}

// isUndecided reports whether a newer declaration, or a frame confirming that there is none, could still turn this rejection into
// an acceptance. That is so for an unknown key or route, and at a gateway that has not received a recent frame (NoLease).
func isUndecided(a scheduling.RouteLookup, failure *fault.Fault) bool {
	if failure == nil {
		return false
	}
	return failure.Code == fault.NotFound || failure.Code == fault.NoLease || (failure.Code == fault.Unauthenticated && a.Key != "")
}

// undecided returns the retryable fault of a gateway that cannot tell whether a newer declaration admits the request.
func undecided(format string, args ...any) *fault.Fault {
	failure := fault.New(fault.NoLease, "", format, args...)
	failure.RetryMs = scheduling.NoDeclarationRetryMs
	return failure
}

// lookupHold returns how long a request with the given deadline may be held, at most until then: no other gateway knows the route or
// key sooner. A deadline of 0 means that there is none.
func (h *Host) lookupHold(deadlineUs, nowUs int64) time.Duration {
	us := h.maxLookupHoldUs
	if deadlineUs > 0 {
		us = max(0, min(us, deadlineUs-nowUs))
	}
	return time.Duration(us) * time.Microsecond
}

// isCurrent reports whether this gateway knows every acknowledged declaration, apart from those in transit.
func (h *Host) isCurrent(nowUs int64) bool {
	currentUs := h.currentUs.Load()
	return currentUs > 0 && nowUs-currentUs <= currentWithinUs
}

// keysExpired reports whether a key known to this gateway may have been revoked for longer than the settings allow.
func (h *Host) keysExpired(nowUs int64) bool {
	r, currentUs := h.settings.Revocation, h.currentUs.Load()
	return r.Closed && (currentUs == 0 || nowUs-currentUs > r.WithinMs*clock.Ms)
}

// setCurrent records when the newest frame arrived from a control node that was up to date, in microseconds, and wakes held lookups
// when the gateway becomes current again, or for the first time after a wake. It runs on the actor.
func (h *Host) setCurrent(us int64) {
	lastUs, wokeUs := h.currentUs.Swap(us), h.wokeUs.Load()
	if us > 0 && (lastUs == 0 || us-lastUs > currentWithinUs || (lastUs < wokeUs && us >= wokeUs)) {
		h.updates.notify()
	}
}
