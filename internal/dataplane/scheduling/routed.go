package scheduling

import (
	"hash/fnv"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// PromptSegment is one of the consecutive segments of a prompt. Segments with equal IDs have equal text.
type PromptSegment struct {
	ID     uint64
	Tokens int64
}

// RoutedCall holds the fields that only calls in routed mode have. PromptTokens and MaxOutputTokens are numbers of tokens.
type RoutedCall struct {
	// Host, Path and KeyDigest are what the client sent, and never change. They identify the route and the tenant of the call in
	// every declaration; names do not, because operators may give a name to another route or tenant. KeyDigest is the
	// configuration.KeyDigest of the key, "" for none.
	Host      string
	Path      string
	KeyDigest string
	// Route is the route of the call in the newest declaration that has one.
	Route *configuration.Route
	// Tenant is the name of the tenant that held the call's key when the call arrived, "" for none. The call runs under this name,
	// whoever holds the key later, because it was counted towards the limit of this tenant. It never changes.
	Tenant          string
	Service         string
	Segments        []PromptSegment
	PromptTokens    int64
	MaxOutputTokens int64
	Resumes         bool

	// sentAttempts is the number of ended attempts of which at least a part was sent.
	sentAttempts int
	// idHash is a hash of the call ID, for choices that are spread over calls; 0 until applyRoute sets it.
	idHash uint64
}

// place returns where the call's route is, zero for a call without a route.
func (r *RoutedCall) place() configuration.RoutePlace {
	if r.Route == nil {
		return configuration.RoutePlace{}
	}
	return r.Route.Place()
}

const (
	// minConnectBackoffUs and maxConnectBackoffUs bound how long a replica gets no attempt after a failed connection. The time
	// doubles with each consecutive failure.
	minConnectBackoffUs = 250 * clock.Ms
	maxConnectBackoffUs = 2000 * clock.Ms
	// missingBackoffUs is how long a replica gets no call for a model or adapter that it reported as not loaded.
	missingBackoffUs = 1500 * clock.Ms
	// rejectedBackoffUs is how long a replica gets no attempt after it rejected a call.
	rejectedBackoffUs = 60 * clock.Ms
	// wrongIncarnationBackoffUs is how long a replica gets no attempt after another incarnation or replica answered at its address.
	wrongIncarnationBackoffUs = 30 * clock.Sec
	// initialTokensPerMs is the prefill rate assumed before any was observed.
	initialTokensPerMs = 20.0
	// perRunningMs is the expected delay (ms) for each attempt already open at the replica.
	perRunningMs = 0.4
	// The prefill model is updated only from uncontended attempts: those that started with less than maxUncontendedWaitMs (ms)
	// of pending work, and at most maxUncontendedRunning open attempts, at their replica.
	maxUncontendedWaitMs  = 1.0
	maxUncontendedRunning = 3
	// minSpeedFactor and maxSpeedFactor bound the ratio of a replica's time to first byte to the estimate of the prefill model.
	minSpeedFactor = 0.25
	maxSpeedFactor = 6.0
	// crossZoneMs is the expected extra delay (ms) of a replica in another zone.
	crossZoneMs = 1.5
	// initialServiceMs is the time to first byte (ms) assumed for a replica without an engine before any was observed.
	initialServiceMs = 30.0
	// maxCachedSegments bounds the segment hashes kept for one replica; when it is exceeded, all are dropped.
	maxCachedSegments = 4096
)

// routed reports whether the current declaration is one for routed mode.
func (d *Decider) routed() bool {
	return d.snapshot != nil && d.snapshot.Declaration != nil && d.snapshot.Declaration.Routed()
}

// unit names the model and adapter of a call.
func (c *Call) unit() string { return configuration.UnitName(c.Model, c.Adapter) }

// priority returns the priority of a routed call, 0 for the most urgent. The tenant's own priority overrides the route's.
func (c *Call) priority() int {
	if c.tenantPriority != nil {
		return *c.tenantPriority
	}
	return c.Routed.Route.Priority
}

// applyRoute updates a routed call from the route and the tenant that the newest declaration gives to what its client sent, and
// picks another service if that route does not lead to the call's current one. It returns the code of the fault that refuses the
// call, or "" if there is none.
func (d *Decider) applyRoute(c *Call) fault.Code {
	r := d.snapshot.routeOf(c)
	if r == nil {
		c.retryable = false
		return fault.UnknownKind
	}
	if !d.snapshot.admits(c, r) {
		return fault.Unauthenticated
	}
	c.Routed.Route = r
	c.tenantPriority = nil
	if tenant := d.snapshot.tenantOf(c); tenant != nil {
		c.tenantPriority = tenant.Priority
	}
	c.urgency = max(1, 9-c.priority())
	c.everNonRetryable = c.everNonRetryable || !r.Retryable()
	c.retryable = !c.everNonRetryable
	maxMs := r.TimeoutMs
	if c.TimeoutMs > 0 {
		maxMs = min(maxMs, c.TimeoutMs)
	}
	c.deadlineUs = c.ArrivedUs + maxMs*1000
	if c.attempt == "" && (c.Routed.Service == "" || !r.SendsTo(c.Routed.Service)) {
		if c.Routed.idHash == 0 {
			h := fnv.New64a()
			_, _ = h.Write([]byte(c.ID))
			c.Routed.idHash = mixHash(h.Sum64())
		}
		c.Routed.Service = r.PickService(c.Routed.idHash)
		if c.Routed.sentAttempts > 0 && !d.spendRetry(c.Routed.Service) {
			return fault.Overloaded
		}
	}
	return ""
}

// requestKind returns how often a call may run according to the declarations that have applied to it.
func (c *Call) requestKind() RequestKind {
	switch {
	case c.Routed == nil && c.retryable:
		return ResumableStreaming
	case c.Routed == nil:
		return Streaming
	}
	k := KindOf(c.Routed.Route)
	switch {
	case c.retryable:
		return k
	case k == ResumableStreaming:
		return Streaming
	case k == Idempotent:
		return NonIdempotent
	}
	return k
}

// mayRetryRouted reports whether a call may have another attempt after one that ended with outcome. This depends on the retry
// decision for the kind of request, the maximum attempts of the route and the retry budget of the service. An attempt that
// was not sent counts towards neither limit.
func (d *Decider) mayRetryRouted(c *Call, outcome Outcome) bool {
	k := c.requestKind()
	switch {
	case !mayRetry(k, outcome):
		return false
	case outcome == OutcomeUnsent:
		return true
	case c.Delivered > 0 && k != ResumableStreaming && MayHaveRun(outcome):
		return false
	}
	return c.Routed.sentAttempts < c.Routed.Route.MaxAttempts && d.spendRetry(c.Routed.Service)
}

// modelKey identifies the model of a routed call within its service.
func (c *Call) modelKey() string { return c.Routed.Service + "|" + c.Model }

// demandUnit names the adapter of a call in reported demand.
func (c *Call) demandUnit() string {
	if c.Routed != nil {
		return c.unit()
	}
	return c.Adapter
}

// admitRouted counts a new routed call and queues it, or refuses it if the backlog is full.
func (d *Decider) admitRouted(c *Call) {
	b := d.budgets.forService(c.Routed.Service, d.nowUs)
	b.calls[b.slot]++
	if d.queued >= d.opts.QueueMax && !d.evictFor(c) {
		d.failCall(c, fault.Overloaded, "the backlog is full", d.RetryAfterMs())
		return
	}
	d.enqueue(c)
}

// routedAttemptEnded applies the outcome of an attempt to its call: the call is queued for a retry, failed, or finished.
func (d *Decider) routedAttemptEnded(c *Call, e AttemptEnded, replica string) {
	d.recordAttempt(c, e.Attempt, replica, e.Outcome)
	if e.Outcome != OutcomeUnsent {
		c.Routed.sentAttempts++
	}
	c.mayHaveRun = c.mayHaveRun || MayHaveRun(e.Outcome)
	c.Delivered = int(c.Progress.Load())
	if c.canceled || !d.mayRetryRouted(c, e.Outcome) {
		if !c.canceled && !c.mayHaveRun && c.Delivered == 0 {
			d.failCall(c, fault.Overloaded, "no further replica may be tried", d.untilReplicaMs(c))
			return
		}
		d.finishCall(c, e.Outcome, replica)
		return
	}
	d.requeue(c, replica, e.Outcome)
}

// maySendRouted reports whether an attempt may still be sent under the snapshot. All of these must hold:
//
//  1. The deadline of the attempt has not passed.
//  2. The declaration routes the call to the service of the replica.
//  3. The declaration admits the call's key to the route.
//  4. The incarnation is the replica's current one, and the replica is not draining.
func (s *Snapshot) maySendRouted(st AttemptStart, nowUs int64) bool {
	if s == nil || s.Declaration == nil || nowUs >= st.DeadlineUs {
		return false
	}
	route, r := s.routeOf(st.Call), s.Replicas[st.Replica]
	return route != nil && r != nil && r.Incarnation == st.Incarnation && !r.Draining && route.SendsTo(r.Service) &&
		s.admits(st.Call, route)
}

// reportRouted adds this gateway's state in routed mode to a report: rejected calls that will be retried, attempt
// outcomes, and for each replica the open attempts and those of them that still wait for a first byte. It also drops
// the statistics of replicas that are no longer in the snapshot.
func (d *Decider) reportRouted(rep *wire.Report) {
	d.reportReturning(rep)
	d.reportOutcomes(rep)
	for id, stats := range d.replicaStats {
		if d.snapshot != nil && d.snapshot.Replicas[id] == nil && len(stats.openAttempts) == 0 {
			delete(d.replicaStats, id)
			continue
		}
		if len(stats.openAttempts) == 0 {
			continue
		}
		for _, a := range stats.openAttempts {
			if a.call.Model != "" {
				if rep.ModelInFlight == nil {
					rep.ModelInFlight = map[string]int{}
				}
				rep.ModelInFlight[id+"|"+a.call.Model]++
			}
			if a.call.FirstByteUs.Load() < a.startUs {
				if a.call.Model != "" {
					if rep.PendingPrefill == nil {
						rep.PendingPrefill = map[string]int{}
					}
					rep.PendingPrefill[id+"|"+a.call.Model]++
				}
			}
		}
		rep.InFlight[id] = len(stats.openAttempts)
	}
}
