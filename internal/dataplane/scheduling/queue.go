package scheduling

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/fault"
)

type kindRow struct {
	waiting []*Call
	pass    float64
	arrived uint64
	given   map[fault.Code]uint64
	done    uint64
}

func (d *Decider) kind(name string) *kindRow {
	k := d.kinds[name]
	if k == nil {
		k = &kindRow{given: map[fault.Code]uint64{}, pass: d.passNow}
		d.kinds[name] = k
	}
	return k
}

// waitUs is how long a call of this kind may wait: the calls of its kind before it, at the pace
// its kind's weight gets of all slots while others wait too.
func (d *Decider) waitUs(c *Call) int64 {
	ahead := len(d.kind(c.Kind).waiting)
	if ahead == 0 || d.serviceUs == 0 || d.snap == nil {
		return 0
	}
	slots := 0
	for _, r := range d.snap.Replicas {
		slots += r.MaxInFlight
	}
	whole := 0
	for _, k := range d.kinds {
		if len(k.waiting) > 0 {
			whole += weight(k.waiting[0])
		}
	}
	return int64(float64(ahead) * d.serviceUs / float64(max(slots, 1)) * float64(whole) / float64(weight(c)))
}

func weight(c *Call) int { return max(1, c.urgency*c.urgency) }

// makeRoom gives up the latest-expiring call of the kind that most exceeds its share, if the
// newcomer's kind is below its own.
func (d *Decider) makeRoom(c *Call) bool {
	share := d.opts.QueueMax / max(1, d.waitingKinds(c.Kind))
	if len(d.kind(c.Kind).waiting) >= share {
		return false
	}
	var most *kindRow
	for _, name := range d.kindNames() {
		if k := d.kinds[name]; name != c.Kind && len(k.waiting) > share && (most == nil || len(k.waiting) > len(most.waiting)) {
			most = k
		}
	}
	if most == nil {
		return false
	}
	last := most.waiting[len(most.waiting)-1]
	d.give(last, fault.Overloaded, "gave way to a kind below its share of the backlog", d.RetryMs())
	return true
}

func (d *Decider) waitingKinds(with string) int {
	n := 1
	for name, k := range d.kinds {
		if name != with && len(k.waiting) > 0 {
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
	if len(k.waiting) == 0 {
		k.pass = max(k.pass, d.passNow)
	}
	at := sort.Search(len(k.waiting), func(i int) bool {
		w := k.waiting[i]
		if (w.Had > 0) != (c.Had > 0) {
			return c.Had > 0
		}
		return w.deadlineUs > c.deadlineUs
	})
	k.waiting = append(k.waiting, nil)
	copy(k.waiting[at+1:], k.waiting[at:])
	k.waiting[at] = c
	d.waiting++
}

func (d *Decider) dequeue(c *Call) bool {
	k := d.kind(c.Kind)
	for i, w := range k.waiting {
		if w == c {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			d.waiting--
			return true
		}
	}
	return false
}

// RetryMs is how long a refused caller should wait, by what waits here and how fast it is served.
func (d *Decider) RetryMs() int64 {
	share := 0
	if d.snap != nil {
		for _, r := range d.snap.Replicas {
			share += r.MaxInFlight
		}
	}
	perCallMs := d.serviceUs / 1000
	if perCallMs == 0 {
		perCallMs = 500
	}
	return int64(min(max(float64(d.waiting)*perCallMs/float64(max(share, 1)), 250), 15_000))
}

func (d *Decider) expire() {
	for _, name := range d.kindNames() {
		k := d.kinds[name]
		for i := 0; i < len(k.waiting); {
			c := k.waiting[i]
			if c.deadlineUs <= d.nowUs {
				d.give(c, fault.Expired, "no replica could take it before its expiry", d.RetryMs())
				continue
			}
			i++
		}
	}
}
