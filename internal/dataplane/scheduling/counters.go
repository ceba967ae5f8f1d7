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
	var counters *RevisionCounters
	for _, existing := range d.revisionCounters {
		if existing.Revision == revision {
			counters = existing
		}
	}
	if counters == nil {
		counters = &RevisionCounters{Revision: revision, Kinds: map[string]*KindCounters{}}
		d.revisionCounters = append(d.revisionCounters, counters)
		if len(d.revisionCounters) > maxRevisions {
			d.revisionCounters = d.revisionCounters[1:]
		}
	}
	k := counters.Kinds[kind]
	if k == nil {
		k = &KindCounters{FirstByte: statistics.Histogram{}}
		counters.Kinds[kind] = k
	}
	return k
}

// supersedeCounters ends the time of every gauge of an older revision.
func (d *Decider) supersedeCounters(revision uint64) {
	for _, counters := range d.revisionCounters {
		if counters.Revision < revision && counters.supersededUs == 0 {
			counters.supersededUs = d.nowUs
		}
	}
}

func (d *Decider) countReceived(c *Call) {
	c.arrivalRevision = d.revision()
	d.countersOf(c.arrivalRevision, c.Kind).Received++
}

// countFinished counts a call once, when it is over.
func (d *Decider) countFinished(c *Call, outcome Outcome, code fault.Code) {
	for _, counters := range d.revisionCounters {
		if counters.Revision != c.arrivalRevision || counters.Kinds[c.Kind] == nil {
			continue
		}
		k := counters.Kinds[c.Kind]
		firstUs := c.FirstByteUs.Load()
		if firstUs > 0 && (counters.supersededUs == 0 || firstUs < counters.supersededUs) {
			k.FirstByte.Add(firstUs - c.ArrivedUs)
		} else if c.arrivalRevision != d.revision() {
			k.Unserved++
		}
		switch {
		case c.arrivalRevision != d.revision():
			k.Spanned++
		case c.canceled:
			k.Canceled++
		case outcome == OutcomeDone:
			k.Completed++
		case outcome == OutcomeTimedOut || code == fault.Expired:
			k.Expired++
		case outcome != "" || c.mayHaveRun:
			k.Broken++
		default:
			k.Rejected++
		}
	}
}

// Counters copies the gauges of the last revisions.
func (d *Decider) Counters() []RevisionCounters {
	out := []RevisionCounters{}
	for _, counters := range d.revisionCounters {
		copied := RevisionCounters{Revision: counters.Revision, Kinds: map[string]*KindCounters{}}
		for name, k := range counters.Kinds {
			copiedKind := &KindCounters{}
			copiedKind.Merge(k)
			copied.Kinds[name] = copiedKind
		}
		out = append(out, copied)
	}
	return out
}
