package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/fault"
)

// kindCounters counts the calls of one kind.
type kindCounters struct {
	arrived uint64
	faults  map[fault.Code]uint64
	done    uint64
}

func (d *Decider) kind(name string) *kindCounters {
	k := d.kinds[name]
	if k == nil {
		k = &kindCounters{faults: map[fault.Code]uint64{}}
		d.kinds[name] = k
	}
	return k
}

func (d *Decider) kindNames() []string {
	return slices.Sorted(maps.Keys(d.kinds))
}

// queueKey names a queue. The calls of a kind wait together, but for those of tenants with a priority of their own: these
// wait with others of that priority, so that all calls of one queue are of one urgency.
type queueKey struct {
	kind     string
	priority int
}

func (c *Call) queueKey() queueKey {
	if c.tenantPriority == nil {
		return queueKey{c.Kind, routePriority}
	}
	return queueKey{c.Kind, *c.tenantPriority}
}

// routePriority is in the key of calls whose tenant has no priority: that of their kind counts.
const routePriority = -1

// callQueue holds the calls that wait under one key, those that had begun first and then by deadline. pass is the
// virtual time at which the queue's turn comes.
type callQueue struct {
	calls []*Call
	pass  float64
}

// queueOf is the queue in which a call waits, or would.
func (d *Decider) queueOf(c *Call) *callQueue {
	q := d.queues[c.queueKey()]
	if q == nil {
		q = &callQueue{pass: d.virtualTime}
		d.queues[c.queueKey()] = q
	}
	return q
}

// waitingQueues are the keys of the queues in which calls wait, in order.
func (d *Decider) waitingQueues() []queueKey {
	keys := make([]queueKey, 0, len(d.queues))
	for key, q := range d.queues {
		if len(q.calls) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.priority, b.priority))
	})
	return keys
}

// estimatedWaitUs is how long a call may wait: the calls of its queue before it, at the pace that its weight
// gets of all slots while others wait too.
func (d *Decider) estimatedWaitUs(c *Call) int64 {
	ahead := len(d.queueOf(c).calls)
	if ahead == 0 || d.meanServiceUs == 0 || d.snapshot == nil {
		return 0
	}
	slots := 0
	for _, r := range d.snapshot.Replicas {
		slots += r.MaxInFlight
	}
	whole := 0
	for _, q := range d.queues {
		if len(q.calls) > 0 {
			whole += weight(q.calls[0])
		}
	}
	return int64(float64(ahead) * d.meanServiceUs / float64(max(slots, 1)) * float64(whole) / float64(weight(c)))
}

func weight(c *Call) int { return max(1, c.urgency*c.urgency) }

// evictFor gives up the latest-expiring call of the queue that most exceeds its share, if the newcomer's is below its own.
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
	var most *callQueue
	for _, key := range waiting {
		if q := d.queues[key]; q != own && len(q.calls) > share && (most == nil || len(q.calls) > len(most.calls)) {
			most = q
		}
	}
	if most == nil {
		return false
	}
	last := most.calls[len(most.calls)-1]
	d.failCall(last, fault.Overloaded, "gave way to a kind below its share of the backlog", d.RetryAfterMs())
	return true
}

func (d *Decider) enqueue(c *Call) {
	q := d.queueOf(c)
	if len(q.calls) == 0 {
		q.pass = max(q.pass, d.virtualTime)
	}
	at := sort.Search(len(q.calls), func(i int) bool {
		w := q.calls[i]
		if (w.Delivered > 0) != (c.Delivered > 0) {
			return c.Delivered > 0
		}
		return w.deadlineUs > c.deadlineUs
	})
	q.calls = slices.Insert(q.calls, at, c)
	d.queued++
}

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

// RetryAfterMs is how long a refused caller should wait, by what waits here and how fast it is served.
func (d *Decider) RetryAfterMs() int64 {
	share := 0
	if d.snapshot != nil {
		for _, r := range d.snapshot.Replicas {
			share += r.MaxInFlight
		}
	}
	perCallMs := d.meanServiceUs / 1000
	if perCallMs == 0 {
		perCallMs = 500
	}
	return int64(min(max(float64(d.queued)*perCallMs/float64(max(share, 1)), 250), 15_000))
}

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
