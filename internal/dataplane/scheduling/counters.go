package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/statistics"
)

// maxRevisions bounds the number of revisions whose counters are kept.
const maxRevisions = 8

// RevisionCounters counts the calls that arrived under one revision of the declaration, by kind and result.
type RevisionCounters struct {
	Revision     uint64                   `json:"revision"`
	Kinds        map[string]*KindCounters `json:"kinds"`
	supersededUs int64
}

// KindCounters counts the calls of one kind. A call that ends under another revision than the one it arrived under counts as
// Spanned, and also as Unserved if its first byte had not come before the revision changed. FirstByte is the histogram of
// times to first byte in microseconds.
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

// InFlight returns the number of received calls that have not ended.
func (k *KindCounters) InFlight() uint64 {
	return k.Received - k.Completed - k.Expired - k.Rejected - k.Broken - k.Canceled - k.Spanned
}

// Merge adds the counts of o.
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

// revision returns the revision of the current snapshot, 0 if there is none.
func (d *Decider) revision() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Revision
}

// countersOf returns the counters of a kind under a revision and creates them if necessary, dropping the oldest revision if
// there are more than maxRevisions.
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

// supersedeCounters records the current time as the end of every revision older than the given one.
func (d *Decider) supersedeCounters(revision uint64) {
	for _, counters := range d.revisionCounters {
		if counters.Revision < revision && counters.supersededUs == 0 {
			counters.supersededUs = d.nowUs
		}
	}
}

// countReceived counts an arrived call under the current revision.
func (d *Decider) countReceived(c *Call) {
	c.arrivalRevision = d.revision()
	d.countersOf(c.arrivalRevision, c.Kind).Received++
}

// countFinished counts a call when it ends, once, by the outcome of its last attempt or the code of its fault; either may be "".
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

// Counters returns a copy of the counters of the last revisions.
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
