package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/fault"
)

// applySnapshot makes s the current snapshot, unless s is older than the current one. It takes over new grants, drops
// grants and replicas that s no longer lists, and applies a changed declaration to all calls.
func (d *Decider) applySnapshot(s *Snapshot) {
	if d.snapshot != nil && (s.View < d.snapshot.View || s.Number < d.snapshot.Number) {
		return
	}
	unchanged := d.snapshot != nil && d.snapshot.Declaration == s.Declaration
	d.snapshot = s
	if d.routed() {
		d.loadEstimates.observe(s, d.nowUs)
	}
	d.supersedeCounters(s.Revision)
	for key, granted := range s.Grants {
		current := d.attemptGrants[key]
		if current == nil || current.number < granted.Number {
			d.attemptGrants[key] = &attemptGrant{number: granted.Number, next: granted.From, to: granted.To}
		}
	}
	for key := range d.attemptGrants {
		if _, ok := s.Grants[key]; !ok {
			delete(d.attemptGrants, key)
		}
	}
	for id, state := range d.grantedReplicas {
		if _, ok := s.Replicas[id]; !ok && len(state.inFlight) == 0 {
			delete(d.grantedReplicas, id)
		}
	}
	if !unchanged {
		d.applyDeclarationToAll()
	}
}

// applyDeclarationToAll applies a changed declaration to every call. Most snapshots change only grants and replicas, so that
// applySnapshot rarely needs it.
func (d *Decider) applyDeclarationToAll() {
	waiting := d.waitingCalls()
	for _, c := range waiting {
		d.dequeue(c)
	}
	for _, c := range waiting {
		if d.applyDeclarationOrFail(c) {
			d.enqueue(c)
		}
	}
	for _, c := range d.calls {
		if c.attempt != "" {
			d.applyDeclaration(c)
		}
	}
}

// applyDeclarationOrFail applies the newest declaration to a call that has no open attempt. If the call can no longer be
// served under that declaration, applyDeclarationOrFail fails the call and returns false.
func (d *Decider) applyDeclarationOrFail(c *Call) bool {
	if d.snapshot == nil || d.snapshot.Declaration == nil {
		d.failCall(c, fault.NoLease, "this gateway has no declaration yet", NoDeclarationRetryMs)
		return false
	}
	code := d.applyDeclaration(c)
	switch {
	case code == "" && !c.retryable && (c.mayHaveRun || c.Delivered > 0):
		d.failCall(c, fault.StreamBroken, "its kind may no longer be resumed", 0)
	case code != "":
		d.failCall(c, code, "it was taken out of the declaration", 0)
	case c.deadlineUs <= d.nowUs:
		d.failCall(c, fault.Expired, "no replica could take it before its expiry", d.RetryAfterMs())
	default:
		return true
	}
	return false
}

// applyDeclaration updates the urgency, deadline and retryability of a call from the newest declaration. It returns the code
// of the fault that refuses the call under that declaration, or "" if there is none.
func (d *Decider) applyDeclaration(c *Call) fault.Code {
	declaration := d.snapshot.Declaration
	if declaration == nil {
		return ""
	}
	if c.Routed != nil {
		return d.applyRoute(c)
	}
	kind := declaration.Kind(c.Kind)
	if kind == nil {
		c.retryable = false
		return fault.UnknownKind
	}
	c.urgency, c.retryable = kind.Urgency, kind.Resumable && !c.NonRetryable
	maxMs := kind.DeadlineMs
	if c.TimeoutMs > 0 {
		maxMs = min(maxMs, c.TimeoutMs)
	}
	c.deadlineUs = c.ArrivedUs + maxMs*1000
	return d.snapshot.unknownCode(c.Model, c.Adapter)
}

// waitingCalls returns all queued calls, by queue key and within a queue in order.
func (d *Decider) waitingCalls() []*Call {
	calls := []*Call{}
	for _, key := range d.waitingQueues() {
		calls = append(calls, d.queues[key].calls...)
	}
	return calls
}

// migrateAttempts cancels resumable attempts at draining replicas and in drained zones, so that their calls continue
// elsewhere. Calls with the most progress go first, and each only while another replica has a free slot for it.
func (d *Decider) migrateAttempts() {
	if d.snapshot == nil || d.snapshot.Declaration == nil || d.nowUs >= d.leaseUntilUs {
		return
	}
	candidates := []*Call{}
	for _, c := range d.calls {
		if c.attempt == "" || !c.retryable || c.migrating || c.canceled || c.Routed != nil {
			continue
		}
		r := d.snapshot.Replicas[c.replica]
		if r != nil && (r.Draining || d.snapshot.Declaration.IsDrained(r.Zone)) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i].Progress.Load(), candidates[j].Progress.Load()
		if a != b {
			return a > b
		}
		return candidates[i].ID < candidates[j].ID
	})
	reserved := map[string]int{}
	for _, c := range d.calls {
		if c.migrating {
			reserved[c.Model]++
		}
	}
	for _, c := range candidates {
		free := 0
		for _, id := range d.snapshot.IDs {
			r := d.snapshot.Replicas[id]
			if d.snapshot.Accepts(id, r.Incarnation, c.Model, c.Adapter) {
				free += max(0, r.MaxInFlight-len(d.grantedReplicaOf(id).inFlight))
			}
		}
		if free > reserved[c.Model] {
			reserved[c.Model]++
			c.migrating = true
			d.logDecision(c, "moves", c.replica, fmt.Sprintf("leaving, %d pieces so far", c.Progress.Load()))
			d.emit(CancelAttempt{Call: c})
		}
	}
}
