package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/statistics"
)

const gaugesMost = 8

// Gauge counts what became of the calls that one revision took, by kind.
type Gauge struct {
	Revision uint64                `json:"revision"`
	Kinds    map[string]*KindGauge `json:"kinds"`
	untilUs  int64
}

// KindGauge counts the calls of one kind. A call that ended under another revision than the one that took it has
// spanned a change; it is unanswered where its first piece did not come before that change.
type KindGauge struct {
	Taken      uint64            `json:"taken"`
	Ended      uint64            `json:"ended"`
	Expired    uint64            `json:"expired"`
	Refused    uint64            `json:"refused"`
	Broken     uint64            `json:"broken"`
	Gone       uint64            `json:"gone"`
	Spanned    uint64            `json:"spanned"`
	Unanswered uint64            `json:"unanswered"`
	First      statistics.Spread `json:"first"`
}

// Open is how many of the calls taken are not over.
func (k *KindGauge) Open() uint64 {
	return k.Taken - k.Ended - k.Expired - k.Refused - k.Broken - k.Gone - k.Spanned
}

// Join adds the counts of another gauge.
func (k *KindGauge) Join(o *KindGauge) {
	k.Taken += o.Taken
	k.Ended += o.Ended
	k.Expired += o.Expired
	k.Refused += o.Refused
	k.Broken += o.Broken
	k.Gone += o.Gone
	k.Spanned += o.Spanned
	k.Unanswered += o.Unanswered
	if k.First == nil {
		k.First = statistics.Spread{}
	}
	k.First.Join(o.First)
}

func (d *Decider) revision() uint64 {
	if d.snap == nil {
		return 0
	}
	return d.snap.Revision
}

func (d *Decider) gaugeOf(revision uint64, kind string) *KindGauge {
	var g *Gauge
	for _, kept := range d.gauges {
		if kept.Revision == revision {
			g = kept
		}
	}
	if g == nil {
		g = &Gauge{Revision: revision, Kinds: map[string]*KindGauge{}}
		d.gauges = append(d.gauges, g)
		if len(d.gauges) > gaugesMost {
			d.gauges = d.gauges[1:]
		}
	}
	k := g.Kinds[kind]
	if k == nil {
		k = &KindGauge{First: statistics.Spread{}}
		g.Kinds[kind] = k
	}
	return k
}

// gaugeUntil ends the time of every gauge of an older revision.
func (d *Decider) gaugeUntil(revision uint64) {
	for _, g := range d.gauges {
		if g.Revision < revision && g.untilUs == 0 {
			g.untilUs = d.nowUs
		}
	}
}

func (d *Decider) gaugeTaken(c *Call) {
	c.takenAt = d.revision()
	d.gaugeOf(c.takenAt, c.Kind).Taken++
}

// gaugeOver counts a call once, when it is over.
func (d *Decider) gaugeOver(c *Call, ending Ending, code fault.Code) {
	for _, kept := range d.gauges {
		if kept.Revision != c.takenAt || kept.Kinds[c.Kind] == nil {
			continue
		}
		k := kept.Kinds[c.Kind]
		firstUs := c.FirstUs.Load()
		if firstUs > 0 && (kept.untilUs == 0 || firstUs < kept.untilUs) {
			k.First.Add(firstUs - c.TakenUs)
		} else if c.takenAt != d.revision() {
			k.Unanswered++
		}
		switch {
		case c.takenAt != d.revision():
			k.Spanned++
		case c.gone:
			k.Gone++
		case ending == Done:
			k.Ended++
		case ending == Final || code == fault.Expired:
			k.Expired++
		case ending != "" || c.ran:
			k.Broken++
		default:
			k.Refused++
		}
	}
}

// Gauges copies the gauges of the last revisions.
func (d *Decider) Gauges() []Gauge {
	out := []Gauge{}
	for _, g := range d.gauges {
		copied := Gauge{Revision: g.Revision, Kinds: map[string]*KindGauge{}}
		for name, k := range g.Kinds {
			fresh := &KindGauge{}
			fresh.Join(k)
			copied.Kinds[name] = fresh
		}
		out = append(out, copied)
	}
	return out
}
