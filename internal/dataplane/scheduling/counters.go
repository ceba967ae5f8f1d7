package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/statistics"
)

// maxRevisions bounds the revisions whose counters are kept.
const maxRevisions = 8

// RevisionCounters counts what became of the calls that one revision took, by kind.
type RevisionCounters struct {
	Revision     uint64                   `json:"revision"`
	Kinds        map[string]*KindCounters `json:"kinds"`
	supersededUs int64
}

// KindCounters counts the calls of one kind. A call that ended under another revision than the one that took it has
// spanned a change; it is unanswered where its first piece did not come before that change.
type KindCounters struct {
	Received  uint64               `json:"taken"`
	Completed uint64               `json:"ended"`
	Expired   uint64               `json:"expired"`
	Rejected  uint64               `json:"refused"`
	Broken    uint64               `json:"broken"`
	Canceled  uint64               `json:"gone"`
	Spanned   uint64               `json:"spanned"`
	Unserved  uint64               `json:"unanswered"`
	FirstByte statistics.Histogram `json:"first"`
}

// InFlight is how many of the calls taken are not over.
func (k *KindCounters) InFlight() uint64 {
	return k.Received - k.Completed - k.Expired - k.Rejected - k.Broken - k.Canceled - k.Spanned
}

// Merge adds the counts of another gauge.
func (k *KindCounters) Merge(o *KindCounters) {
	k.Received += o.Received
	k.Completed += o.Completed
	k.Expired += o.Expired
	k.Rejected += o.Rejected
	k.Broken += o.Broken
	k.Canceled += o.Canceled
	k.Spanned += o.Spanned
	k.Unserved += o.Unserved
	if k.FirstByte == nil {
		k.FirstByte = statistics.Histogram{}
	}
	k.FirstByte.Merge(o.FirstByte)
}

func (d *Decider) revision() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Revision
}

func (d *Decider) countersOf(revision uint64, kind string) *KindCounters {
	var g *RevisionCounters
	for _, kept := range d.gauges {
		if kept.Revision == revision {
			g = kept
		}
	}
	if g == nil {
		g = &RevisionCounters{Revision: revision, Kinds: map[string]*KindCounters{}}
		d.gauges = append(d.gauges, g)
		if len(d.gauges) > maxRevisions {
			d.gauges = d.gauges[1:]
		}
	}
	k := g.Kinds[kind]
	if k == nil {
		k = &KindCounters{FirstByte: statistics.Histogram{}}
		g.Kinds[kind] = k
	}
	return k
}

// supersedeCounters ends the time of every gauge of an older revision.
func (d *Decider) supersedeCounters(revision uint64) {
	for _, g := range d.gauges {
		if g.Revision < revision && g.supersededUs == 0 {
			g.supersededUs = d.nowUs
		}
	}
}

func (d *Decider) countReceived(c *Call) {
	c.arrivalRevision = d.revision()
	d.countersOf(c.arrivalRevision, c.Kind).Received++
}

// countFinished counts a call once, when it is over.
func (d *Decider) countFinished(c *Call, ending Outcome, code fault.Code) {
	for _, kept := range d.gauges {
		if kept.Revision != c.arrivalRevision || kept.Kinds[c.Kind] == nil {
			continue
		}
		k := kept.Kinds[c.Kind]
		firstUs := c.FirstByteUs.Load()
		if firstUs > 0 && (kept.supersededUs == 0 || firstUs < kept.supersededUs) {
			k.FirstByte.Add(firstUs - c.ArrivedUs)
		} else if c.arrivalRevision != d.revision() {
			k.Unserved++
		}
		switch {
		case c.arrivalRevision != d.revision():
			k.Spanned++
		case c.canceled:
			k.Canceled++
		case ending == OutcomeDone:
			k.Completed++
		case ending == OutcomeTimedOut || code == fault.Expired:
			k.Expired++
		case ending != "" || c.mayHaveRun:
			k.Broken++
		default:
			k.Rejected++
		}
	}
}

// Counters copies the gauges of the last revisions.
func (d *Decider) Counters() []RevisionCounters {
	out := []RevisionCounters{}
	for _, g := range d.gauges {
		copied := RevisionCounters{Revision: g.Revision, Kinds: map[string]*KindCounters{}}
		for name, k := range g.Kinds {
			fresh := &KindCounters{}
			fresh.Merge(k)
			copied.Kinds[name] = fresh
		}
		out = append(out, copied)
	}
	return out
}
