package scheduling

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/fault"
)

type kindQueue struct {
	calls   []*Call
	pass    float64
	arrived uint64
	faults  map[fault.Code]uint64
	done    uint64
}

func (d *Decider) kind(name string) *kindQueue {
	k := d.kinds[name]
	if k == nil {
		k = &kindQueue{faults: map[fault.Code]uint64{}, pass: d.virtualTime}
		d.kinds[name] = k
	}
	return k
}

// estimatedWaitUs is how long a call of this kind may wait: the calls of its kind before it, at the pace
// its kind's weight gets of all slots while others wait too.
func (d *Decider) estimatedWaitUs(c *Call) int64 {
	ahead := len(d.kind(c.Kind).calls)
	if ahead == 0 || d.meanServiceUs == 0 || d.snapshot == nil {
		return 0
	}
	slots := 0
	for _, r := range d.snapshot.Replicas {
		slots += r.MaxInFlight
	}
	whole := 0
	for _, k := range d.kinds {
		if len(k.calls) > 0 {
			whole += weight(k.calls[0])
		}
	}
	return int64(float64(ahead) * d.meanServiceUs / float64(max(slots, 1)) * float64(whole) / float64(weight(c)))
}

func weight(c *Call) int { return max(1, c.urgency*c.urgency) }

// evictFor gives up the latest-expiring call of the kind that most exceeds its share, if the
// newcomer's kind is below its own.
func (d *Decider) evictFor(c *Call) bool {
	share := d.opts.QueueMax / max(1, d.waitingKinds(c.Kind))
	if len(d.kind(c.Kind).calls) >= share {
		return false
	}
	var most *kindQueue
	for _, name := range d.kindNames() {
		if k := d.kinds[name]; name != c.Kind && len(k.calls) > share && (most == nil || len(k.calls) > len(most.calls)) {
			most = k
		}
	}
	if most == nil {
		return false
	}
	last := most.calls[len(most.calls)-1]
	d.failCall(last, fault.Overloaded, "gave way to a kind below its share of the backlog", d.RetryMs())
	return true
}

func (d *Decider) waitingKinds(with string) int {
	n := 1
	for name, k := range d.kinds {
		if name != with && len(k.calls) > 0 {
			n++
		}
	}
	return n
}

func (d *Decider) kindNames() []string {
	return slices.Sorted(maps.Keys(d.kinds))
}

func (d *Decider) enqueue(c *Call) {
	k := d.kind(c.Kind)
	if len(k.calls) == 0 {
		k.pass = max(k.pass, d.virtualTime)
	}
	at := sort.Search(len(k.calls), func(i int) bool {
		w := k.calls[i]
		if (w.Delivered > 0) != (c.Delivered > 0) {
			return c.Delivered > 0
		}
		return w.deadlineUs > c.deadlineUs
	})
	k.calls = append(k.calls, nil)
	copy(k.calls[at+1:], k.calls[at:])
	k.calls[at] = c
	d.queued++
}

func (d *Decider) dequeue(c *Call) bool {
	k := d.kind(c.Kind)
	for i, w := range k.calls {
		if w == c {
			k.calls = append(k.calls[:i], k.calls[i+1:]...)
			d.queued--
			return true
		}
	}
	return false
}

// RetryMs is how long a refused caller should wait, by what waits here and how fast it is served.
func (d *Decider) RetryMs() int64 {
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
	for _, name := range d.kindNames() {
		k := d.kinds[name]
		for i := 0; i < len(k.calls); {
			c := k.calls[i]
			if c.deadlineUs <= d.nowUs {
				d.failCall(c, fault.Expired, "no replica could take it before its expiry", d.RetryMs())
				continue
			}
			i++
		}
	}
}
