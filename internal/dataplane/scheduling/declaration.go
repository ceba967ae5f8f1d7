package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/fault"
)

func (d *Decider) applySnapshot(s *Snapshot) {
	if d.snapshot != nil && (s.View < d.snapshot.View || s.Number < d.snapshot.Number) {
		return
	}
	same := d.snapshot != nil && d.snapshot.Declaration == s.Declaration
	d.snapshot = s
	if d.routed() {
		d.loadEstimates.observe(s, d.nowUs)
	}
	d.supersedeCounters(s.Revision)
	for key, g := range s.Grants {
		r := d.attemptGrants[key]
		if r == nil || r.number < g.Number {
			d.attemptGrants[key] = &attemptGrant{number: g.Number, next: g.From, to: g.To}
		}
	}
	for key := range d.attemptGrants {
		if _, ok := s.Grants[key]; !ok {
			delete(d.attemptGrants, key)
		}
	}
	for id, p := range d.grantedReplicas {
		if _, ok := s.Replicas[id]; !ok && len(p.inFlight) == 0 {
			delete(d.grantedReplicas, id)
		}
	}
	if !same {
		d.applyDeclarationToAll()
	}
}

// applyDeclarationToAll lays a changed declaration on every call; most news changes only grants and replicas.
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

// applyDeclarationOrFail lays the newest declaration's terms on a call that has no attempt, and gives it up where
// they leave it no way to be served.
func (d *Decider) applyDeclarationOrFail(c *Call) bool {
	if d.snapshot == nil || d.snapshot.Declaration == nil {
		d.failCall(c, fault.NoLease, "this gateway has no declaration yet", noLeaseRetryMs)
		return false
	}
	code := d.applyDeclaration(c)
	switch {
	case code == "" && !c.repeatable && (c.mayHaveRun || c.Delivered > 0):
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

func (d *Decider) applyDeclaration(c *Call) fault.Code {
	doc := d.snapshot.Declaration
	if doc == nil {
		return ""
	}
	if c.Routed != nil {
		return d.applyRoute(c)
	}
	kind := doc.Kind(c.Kind)
	if kind == nil {
		c.repeatable = false
		return fault.UnknownKind
	}
	c.urgency, c.repeatable = kind.Urgency, kind.Resumable && !c.NonRetryable
	mostMs := kind.DeadlineMs
	if c.TimeoutMs > 0 {
		mostMs = min(mostMs, c.TimeoutMs)
	}
	c.deadlineUs = c.ArrivedUs + mostMs*1000
	return d.snapshot.unknownCode(c.Model, c.Adapter)
}

func (d *Decider) waitingCalls() []*Call {
	calls := []*Call{}
	for _, key := range d.waitingQueues() {
		calls = append(calls, d.queues[key].calls...)
	}
	return calls
}

// migrateAttempts takes resumable attempts off leaving replicas and emptied zones, most progress first,
// only while a survivor has a free slot for them.
func (d *Decider) migrateAttempts() {
	if d.snapshot == nil || d.snapshot.Declaration == nil || d.nowUs >= d.leaseUntilUs {
		return
	}
	attempts := []*Call{}
	for _, c := range d.calls {
		if c.attempt == "" || !c.repeatable || c.migrating || c.canceled || c.Routed != nil {
			continue
		}
		r := d.snapshot.Replicas[c.replica]
		if r != nil && (r.Draining || d.snapshot.Declaration.IsDrained(r.Zone)) {
			attempts = append(attempts, c)
		}
	}
	if len(attempts) == 0 {
		return
	}
	sort.Slice(attempts, func(i, j int) bool {
		a, b := attempts[i].Progress.Load(), attempts[j].Progress.Load()
		if a != b {
			return a > b
		}
		return attempts[i].ID < attempts[j].ID
	})
	reserved := map[string]int{}
	for _, c := range d.calls {
		if c.migrating {
			reserved[c.Model]++
		}
	}
	for _, c := range attempts {
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
