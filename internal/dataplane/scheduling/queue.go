package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// kindTotals counts the calls of one kind since the gateway started.
type kindTotals struct {
	arrived uint64
	faults  map[fault.Code]uint64
	done    uint64
}

func (d *Decider) kindTotalsOf(name string) *kindTotals {
	k := d.kinds[name]
	if k == nil {
		k = &kindTotals{faults: map[fault.Code]uint64{}}
		d.kinds[name] = k
	}
	return k
}

func (d *Decider) kindNames() []string {
	return slices.Sorted(maps.Keys(d.kinds))
}

// queueKey identifies a queue. Calls of one kind, or of the route at one place, share a queue, except those of tenants with a
// priority of their own, which share one with calls of the same kind or place and priority. All calls of one queue therefore have
// the same urgency. kind is "" in routed mode, place is zero in declared mode.
type queueKey struct {
	kind     string
	place    configuration.RoutePlace
	priority int
}

func (c *Call) queueKey() queueKey {
	key := queueKey{kind: c.Kind, priority: noTenantPriority}
	if c.Routed != nil {
		key.kind, key.place = "", c.Routed.place()
	}
	if c.tenantPriority != nil {
		key.priority = *c.tenantPriority
	}
	return key
}

// noTenantPriority is the priority in the key of calls whose tenant has none of its own; the priority of their kind applies.
const noTenantPriority = -1

// callQueue holds the queued calls of one key. Calls that have already delivered a part of their response come first, then
// calls are ordered by deadline. pass is the stride scheduling pass: the virtual time of the queue's next turn.
type callQueue struct {
	calls []*Call
	pass  float64
}

// queueOf returns the queue for a call and creates it if necessary.
func (d *Decider) queueOf(c *Call) *callQueue {
	q := d.queues[c.queueKey()]
	if q == nil {
		q = &callQueue{pass: d.virtualTime}
		d.queues[c.queueKey()] = q
	}
	return q
}

// waitingQueues returns the sorted keys of the non-empty queues.
func (d *Decider) waitingQueues() []queueKey {
	keys := make([]queueKey, 0, len(d.queues))
	for key, q := range d.queues {
		if len(q.calls) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), a.place.Compare(b.place), cmp.Compare(a.priority, b.priority))
	})
	return keys
}

// estimatedWaitUs estimates how long a call would wait in its queue: the number of calls ahead of it times the mean service
// time, divided by the share of all slots that the weight of its queue gets beside the other non-empty queues.
func (d *Decider) estimatedWaitUs(c *Call) int64 {
	ahead := len(d.queueOf(c).calls)
	if ahead == 0 || d.meanServiceUs == 0 || d.snapshot == nil {
		return 0
	}
	slots := 0
	for _, r := range d.snapshot.Replicas {
		slots += r.MaxInFlight
	}
	totalWeight := 0
	for _, q := range d.queues {
		if len(q.calls) > 0 {
			totalWeight += weight(q.calls[0])
		}
	}
	return int64(float64(ahead) * d.meanServiceUs / float64(max(slots, 1)) * float64(totalWeight) / float64(weight(c)))
}

// weight is the stride scheduling weight of a call's queue: the declared urgency, so that a queue of twice the urgency gets twice the
// turns.
func weight(c *Call) int { return max(1, c.urgency) }

// evictFor makes room for c in a full backlog. If the queue of c is below its fair share, evictFor fails the call with the
// latest deadline in the longest queue above its share and returns true; otherwise it returns false.
func (d *Decider) evictFor(c *Call) bool {
	own := d.queueOf(c)
	waiting := d.waitingQueues()
	queues := len(waiting)
	if len(own.calls) == 0 {
		queues++
	}
	share := d.opts.QueueMax / queues
	if len(own.calls) >= share {
		return false
	}
	var longest *callQueue
	for _, key := range waiting {
		if q := d.queues[key]; q != own && len(q.calls) > share && (longest == nil || len(q.calls) > len(longest.calls)) {
			longest = q
		}
	}
	if longest == nil {
		return false
	}
	last := longest.calls[len(longest.calls)-1]
	d.failCall(last, fault.Overloaded, "gave way to a kind below its share of the backlog", d.RetryAfterMs())
	return true
}

// enqueue inserts a call into its queue, by the order described at callQueue.
func (d *Decider) enqueue(c *Call) {
	q := d.queueOf(c)
	if len(q.calls) == 0 {
		q.pass = max(q.pass, d.virtualTime)
	}
	at := sort.Search(len(q.calls), func(i int) bool {
		other := q.calls[i]
		if (other.Delivered > 0) != (c.Delivered > 0) {
			return c.Delivered > 0
		}
		return other.deadlineUs > c.deadlineUs
	})
	q.calls = slices.Insert(q.calls, at, c)
	d.queued++
}

// dequeue removes a call from its queue and reports whether the call was queued.
func (d *Decider) dequeue(c *Call) bool {
	q := d.queues[c.queueKey()]
	if q == nil {
		return false
	}
	at := slices.Index(q.calls, c)
	if at < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, at, at+1)
	d.queued--
	return true
}

// expireQueued fails the queued calls whose deadline has passed.
func (d *Decider) expireQueued() {
	if d.queued == 0 {
		return
	}
	for _, c := range d.waitingCalls() {
		if c.deadlineUs <= d.nowUs {
			d.failCall(c, fault.Expired, "no replica could take it before its expiry", d.RetryAfterMs())
		}
	}
}
