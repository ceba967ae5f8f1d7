package scheduling

import (
	"hash/fnv"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// PromptSegment is one piece of a prompt, in order; equal ids are equal text.
type PromptSegment struct {
	ID     uint64
	Tokens int64
}

// RoutedCall is what a call by route brings beside what every call has. PromptTokens and MaxOutputTokens are counts of tokens.
type RoutedCall struct {
	Route *configuration.Route
	// Tenant is the tenant that held the call's key when it was taken, "" for nobody; it never changes.
	Tenant          string
	Service         string
	Segments        []PromptSegment
	PromptTokens    int64
	MaxOutputTokens int64
	Resumes         bool

	sentAttempts int
	sample       uint64
	clientRetry  bool
}

const (
	// minConnectBackoffUs and maxConnectBackoffUs bound how long a replica gets nothing after a failed connection; it doubles with each.
	minConnectBackoffUs = 250 * clock.Ms
	maxConnectBackoffUs = 2000 * clock.Ms
	// missingBackoffUs is how long a replica gets no call for what it said it has not loaded.
	missingBackoffUs = 1500 * clock.Ms
	// rejectedBackoffUs is how long a replica gets nothing after it rejected a call.
	rejectedBackoffUs = 60 * clock.Ms
	// wrongIncarnationBackoffUs is how long a replica gets nothing after its address answered for another one.
	wrongIncarnationBackoffUs = 30 * clock.Sec
	// initialTokensPerMs is the prefill rate that is assumed at first.
	initialTokensPerMs = 20.0
	// perRunningMs is the expected delay (ms) for each attempt that runs at the replica already.
	perRunningMs = 0.4
	// maxUncontendedWaitMs (ms) and maxUncontendedRunning are the most that may be before an attempt from which the prefill model learns.
	maxUncontendedWaitMs  = 1.0
	maxUncontendedRunning = 3
	// minSpeedFactor and maxSpeedFactor bound how many times slower than the prefill model says a replica is taken to be.
	minSpeedFactor = 0.25
	maxSpeedFactor = 6.0
	// crossZoneMs is the expected delay (ms) of a replica in another zone.
	crossZoneMs = 1.5
	// initialServiceMs is the time to a first byte (ms) that is assumed of a replica without an engine.
	initialServiceMs = 30.0
	affinityMost     = 0.6
	// maxCachedSegments bounds the prompt segments remembered for one replica; beyond it all are forgotten.
	maxCachedSegments = 4096
)

func (d *Decider) routed() bool {
	return d.snapshot != nil && d.snapshot.Declaration != nil && d.snapshot.Declaration.Routed()
}

func (c *Call) unit() string { return configuration.UnitName(c.Model, c.Adapter) }

// priority is how urgent a call by route is, 0 the most: its tenant's own priority goes before its route's.
func (c *Call) priority() int {
	if c.tenantPriority != nil {
		return *c.tenantPriority
	}
	return c.Routed.Route.Priority
}

// applyRoute lays the newest route on a call, and draws its service anew where it may no longer go there.
func (d *Decider) applyRoute(c *Call) fault.Code {
	r := d.snapshot.Declaration.Route(c.Kind)
	if r == nil {
		c.repeatable = false
		return fault.UnknownKind
	}
	if !d.snapshot.Declaration.Allows(r, c.Routed.Tenant) {
		return fault.Unauthenticated
	}
	c.Routed.Route = r
	c.tenantPriority = nil
	if tenant := d.snapshot.Declaration.Tenant(c.Routed.Tenant); tenant != nil {
		c.tenantPriority = tenant.Priority
	}
	c.urgency = max(1, 9-c.priority())
	c.everNonRepeatable = c.everNonRepeatable || !r.Retryable()
	c.repeatable = !c.everNonRepeatable
	mostMs := r.TimeoutMs
	if c.TimeoutMs > 0 {
		mostMs = min(mostMs, c.TimeoutMs)
	}
	c.deadlineUs = c.ArrivedUs + mostMs*1000
	if c.attempt == "" && (c.Routed.Service == "" || !r.SendsTo(c.Routed.Service)) {
		if c.Routed.sample == 0 {
			h := fnv.New64a()
			_, _ = h.Write([]byte(c.ID))
			c.Routed.sample = mixHash(h.Sum64())
		}
		c.Routed.Service = r.PickService(c.Routed.sample)
		if c.Routed.sentAttempts > 0 && !d.spendRetry(c.Routed.Service) {
			return fault.Overloaded
		}
	}
	return ""
}

// requestKind is how often a call may run, by all declarations that it has seen.
func (c *Call) requestKind() RequestKind {
	switch {
	case c.Routed == nil && c.repeatable:
		return ResumableStreaming
	case c.Routed == nil:
		return Streaming
	}
	k := KindOf(c.Routed.Route)
	switch {
	case c.repeatable:
		return k
	case k == ResumableStreaming:
		return Streaming
	case k == Idempotent:
		return NonIdempotent
	}
	return k
}

// mayRetryRouted says whether a call whose attempt ended so may have another: by what it is and what was seen, by the
// attempts that its route allows, and by the retry budget. An attempt that was not sent costs neither.
func (d *Decider) mayRetryRouted(c *Call, e Outcome) bool {
	k := c.requestKind()
	switch {
	case !mayRetry(k, e):
		return false
	case e == OutcomeUnsent:
		return true
	case c.Delivered > 0 && k != ResumableStreaming && MayHaveRun(e):
		return false
	}
	return c.Routed.sentAttempts < c.Routed.Route.MaxAttempts && d.spendRetry(c.Routed.Service)
}

// modelKey names the model that a routed call is for, at its service.
func (c *Call) modelKey() string { return c.Routed.Service + "|" + c.Model }

func (c *Call) demandUnit() string {
	if c.Routed != nil {
		return c.unit()
	}
	return c.Adapter
}

func (d *Decider) admitRouted(c *Call) {
	b := d.budgets.of(c.Routed.Service, d.nowUs)
	b.calls[b.slot]++
	d.loadEstimates.callArrived(c)
	if d.rejectOverload(c) {
		return
	}
	if d.queued >= d.opts.QueueMax && !d.evictFor(c) {
		d.failCall(c, fault.Overloaded, "the backlog is full", d.RetryAfterMs())
		return
	}
	d.enqueue(c)
}

func (d *Decider) routedAttemptEnded(c *Call, e AttemptEnded, on string) {
	d.recordAttempt(c, e.Attempt, on, e.Outcome)
	if e.Outcome != OutcomeUnsent {
		c.Routed.sentAttempts++
	}
	c.mayHaveRun = c.mayHaveRun || MayHaveRun(e.Outcome)
	c.Delivered = int(c.Progress.Load())
	if c.canceled || !d.mayRetryRouted(c, e.Outcome) {
		if !c.canceled && !c.mayHaveRun && c.Delivered == 0 {
			d.failCall(c, fault.Overloaded, "no further replica may be tried", 30)
			return
		}
		d.finishCall(c, e.Outcome, on)
		return
	}
	d.requeue(c, on, e.Outcome)
}

// maySendRouted: the newest declaration still sends this route to that service and knows the call's tenant, and the
// incarnation is known and not leaving. A key that was taken from its tenant since the call was taken ends nothing: only
// calls that their clients send after the change are bound by it.
func (s *Snapshot) maySendRouted(st AttemptStart, nowUs int64) bool {
	if s == nil || s.Declaration == nil || nowUs >= st.DeadlineUs {
		return false
	}
	route, r := s.Declaration.Route(st.Call.Kind), s.Replicas[st.Replica]
	return route != nil && r != nil && r.Incarnation == st.Incarnation && !r.Draining && route.SendsTo(r.Service) && s.Declaration.Allows(route, st.Call.Routed.Tenant)
}

// reportRouted tells what this gateway has at replicas: what runs, and the tokens of prompts that no first
// piece has come for.
func (d *Decider) reportRouted(rep *wire.Report) {
	d.reportReturning(rep)
	d.admission.prune(d.nowUs)
	d.reportOutcomes(rep)
	for id, s := range d.replicaStats {
		if d.snapshot != nil && d.snapshot.Replicas[id] == nil && len(s.openAttempts) == 0 {
			delete(d.replicaStats, id)
			continue
		}
		if len(s.openAttempts) == 0 {
			continue
		}
		for _, f := range s.openAttempts {
			if f.call.Model != "" {
				if rep.ModelInFlight == nil {
					rep.ModelInFlight = map[string]int{}
				}
				rep.ModelInFlight[id+"|"+f.call.Model]++
			}
			if f.call.FirstByteUs.Load() < f.startUs {
				if f.call.Model != "" {
					if rep.PendingPrefill == nil {
						rep.PendingPrefill = map[string]int{}
					}
					rep.PendingPrefill[id+"|"+f.call.Model]++
				}
			}
		}
		rep.InFlight[id] = len(s.openAttempts)
	}
}
