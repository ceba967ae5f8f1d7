package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/fault"
)

func (d *Decider) taken(s *Snapshot) {
	if d.snap != nil && (s.View < d.snap.View || s.Number < d.snap.Number) {
		return
	}
	same := d.snap != nil && d.snap.Doc == s.Doc
	d.snap = s
	if d.routed() {
		d.prospects.noted(s, d.nowUs)
	}
	d.gaugeUntil(s.Revision)
	for key, g := range s.Grants {
		r := d.runs[key]
		if r == nil || r.ticket < g.Number {
			d.runs[key] = &run{ticket: g.Number, next: g.From, to: g.To}
		}
	}
	for key := range d.runs {
		if _, ok := s.Grants[key]; !ok {
			delete(d.runs, key)
		}
	}
	for id, p := range d.places {
		if _, ok := s.Replicas[id]; !ok && len(p.inFlight) == 0 {
			delete(d.places, id)
		}
	}
	if !same {
		d.layTerms()
	}
}

// layTerms lays a changed declaration on every call; most news changes only grants and replicas.
func (d *Decider) layTerms() {
	waiting := d.waitingCalls()
	for _, c := range waiting {
		d.dequeue(c)
	}
	for _, c := range waiting {
		if d.applyTerms(c) {
			d.enqueue(c)
		}
	}
	for _, c := range d.calls {
		if c.attempt != "" {
			d.terms(c)
		}
	}
}

// applyTerms lays the newest declaration's terms on a call that has no attempt, and gives it up where
// they leave it no way to be served.
func (d *Decider) applyTerms(c *Call) bool {
	if d.snap == nil || d.snap.Doc == nil {
		d.give(c, fault.NoLease, "this desk has no declaration yet", noLeaseMs)
		return false
	}
	code := d.terms(c)
	switch {
	case code == "" && !c.resume && (c.ran || c.Had > 0):
		d.give(c, fault.StreamBroken, "its kind may no longer be resumed", 0)
	case code != "":
		d.give(c, code, "it was taken out of the declaration", 0)
	case c.deadlineUs <= d.nowUs:
		d.give(c, fault.Expired, "no replica could take it before its expiry", d.RetryMs())
	default:
		return true
	}
	return false
}

func (d *Decider) terms(c *Call) fault.Code {
	doc := d.snap.Doc
	if doc == nil {
		return ""
	}
	if c.Routed != nil {
		return d.routedTerms(c)
	}
	kind := doc.Kind(c.Kind)
	if kind == nil {
		c.resume = false
		return fault.UnknownKind
	}
	c.urgency, c.resume = kind.Urgency, kind.Resumable && !c.Once
	mostMs := kind.DeadlineMs
	if c.MostMs > 0 {
		mostMs = min(mostMs, c.MostMs)
	}
	c.deadlineUs = c.TakenUs + mostMs*1000
	return d.snap.unknown(c.Model, c.Adapter)
}

func (d *Decider) waitingCalls() []*Call {
	calls := []*Call{}
	for _, name := range d.kindNames() {
		calls = append(calls, d.kinds[name].waiting...)
	}
	return calls
}

// moveOff takes resumable attempts off leaving replicas and emptied zones, most progress first,
// only while a survivor has a free slot for them.
func (d *Decider) moveOff() {
	if d.snap == nil || d.snap.Doc == nil || d.nowUs >= d.leaseUs {
		return
	}
	attempts := []*Call{}
	for _, c := range d.calls {
		if c.attempt == "" || !c.resume || c.moving || c.gone || c.Routed != nil {
			continue
		}
		r := d.snap.Replicas[c.on]
		if r != nil && (r.Draining || d.snap.Doc.IsDrained(r.Zone)) {
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
		if c.moving {
			reserved[c.Model]++
		}
	}
	for _, c := range attempts {
		free := 0
		for _, id := range d.snap.IDs {
			r := d.snap.Replicas[id]
			if d.snap.Takes(id, r.Incarnation, c.Model, c.Adapter) {
				free += max(0, r.MaxInFlight-len(d.placeOf(id).inFlight))
			}
		}
		if free > reserved[c.Model] {
			reserved[c.Model]++
			c.moving = true
			d.note(c, "moves", c.on, fmt.Sprintf("leaving, %d pieces so far", c.Progress.Load()))
			d.do(Effect{Cancel: c.ID})
		}
	}
}
