package sim

import (
	"fmt"

	"petreltide/examples"
	"petreltide/internal/deskwork"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
	"petreltide/proofs/rules"
)

// operators send whole configurations, some racing each other, and remember what they were told.
type operators struct {
	sim        *Sim
	n          int
	revision   uint64
	doc        *standing.Declaration
	refused    map[string]bool
	acked      map[uint64]string
	byRevision map[uint64]string
	changes    int
	emptied    bool
	old        bool
}

func (p *operators) office() *officeNode {
	s := p.sim
	for try := 0; try < 20; try++ {
		if o := s.offices[s.r.Intn(len(s.offices))]; o.up && o.thawUs <= s.nowUs {
			return o
		}
	}
	return nil
}

func (p *operators) send(base uint64, d *standing.Declaration, done func(r wire.Result, ok bool)) {
	o := p.office()
	if o == nil {
		done(wire.Result{}, false)
		return
	}
	p.n++
	doc := clone(*d)
	doc.Name = fmt.Sprintf("cfg-%d", p.n)
	change := ledger.Change{ID: fmt.Sprintf("op-%d", p.n), Config: &ledger.ConfigChange{Base: base, Doc: &doc}}
	o.submit(change, 8*sec, func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault != nil {
			p.refused[doc.Name] = true
		}
		if ok && r.Outcome.Fault == nil {
			if other := p.acked[r.Outcome.Revision]; other != "" && other != doc.Name {
				p.sim.watch.Break(rules.ConfigLost, "revision %d was acknowledged as %s and as %s", r.Outcome.Revision, other, doc.Name)
			}
			p.acked[r.Outcome.Revision] = doc.Name
			if r.Outcome.Revision > p.revision {
				p.revision, p.doc = r.Outcome.Revision, &doc
			}
			p.sim.note("acknowledged %s as revision %d, everywhere %v", doc.Name, r.Outcome.Revision, r.Everywhere)
		}
		done(r, ok)
	})
}

func (p *operators) first() {
	p.sim.at(p.sim.nowUs+500*ms, func() {
		p.send(0, p.sim.plan.Doc, func(_ wire.Result, ok bool) {
			if !ok || p.revision == 0 {
				p.first()
			}
		})
	})
}

func (p *operators) sawDoc(desk string, snap *deskwork.Snapshot) {
	if snap.Doc != nil && p.refused[snap.Doc.Name] {
		p.sim.watch.Break(rules.ConfigLost, "%s works by refused %s", desk, snap.Doc.Name)
	}
}

// play races changes: a model taken out and put back, a zone emptied and restored, the policy
// swapped, and two operators who both build on the same revision.
func (p *operators) play(untilUs int64) {
	s := p.sim
	var next func()
	next = func() {
		if s.nowUs >= untilUs {
			return
		}
		p.one()
		s.at(s.nowUs+3*sec+s.r.Int63n(3*sec), next)
	}
	s.at(s.nowUs+sec, next)
}

func (p *operators) one() {
	if p.doc == nil {
		return
	}
	s := p.sim
	p.changes++
	d := clone(*p.doc)
	base := p.revision
	op := p.changes % 4
	if len(s.plan.Ops) > 0 {
		op = s.plan.Ops[p.changes%len(s.plan.Ops)]
	}
	switch op {
	case 0:
		d.Policy = standing.Policy{Name: "chaser", Source: examples.Chaser}
		if p.doc.Policy.Name == "chaser" {
			d.Policy = standing.Policy{Name: "steady", Source: examples.Steady}
		}
		p.send(base, &d, func(wire.Result, bool) {})
	case 1:
		zone := d.Zones[len(d.Zones)-1]
		if p.doc.IsEmptied(zone) {
			s.watch.EmptiedOver(zone, s.nowUs)
			d.Emptied = nil
			p.send(base, &d, func(wire.Result, bool) {})
			return
		}
		d.Emptied = []string{zone}
		p.send(base, &d, func(r wire.Result, ok bool) {
			if ok && r.Outcome.Fault == nil && p.revision == r.Outcome.Revision {
				s.watch.Emptied(rules.Span{ID: zone, FromUs: s.nowUs, ToUs: rules.Open})
			}
		})
	case 2:
		last := len(s.plan.Doc.Models) - 1
		name := s.plan.Doc.Models[last].Name
		if p.doc.Model(name) == nil {
			s.watch.OldOver(name, s.nowUs)
			d.Models = append(d.Models, s.plan.Doc.Models[last])
			p.send(base, &d, func(wire.Result, bool) {})
			return
		}
		models := []standing.Model{}
		for _, m := range d.Models {
			if m.Name != name {
				models = append(models, m)
			}
		}
		d.Models = models
		p.send(base, &d, func(r wire.Result, ok bool) {
			if ok && r.Outcome.Fault == nil && r.Everywhere && p.revision == r.Outcome.Revision {
				s.watch.Old(rules.Span{ID: name, FromUs: s.nowUs, ToUs: rules.Open})
			}
		})
	case 3:
		other := clone(d)
		other.Scaler.SimilarPct = 20
		won := 0
		count := func(r wire.Result, ok bool) {
			if ok && r.Outcome.Fault == nil {
				won++
			}
			if won > 1 {
				s.watch.Break(rules.ConfigLost, "two operators both won on base %d", base)
			}
			if ok && r.Outcome.Fault != nil && r.Outcome.Fault.Code != fault.StaleBase {
				s.watch.Break(rules.ConfigLost, "a race ended with %v", r.Outcome.Fault)
			}
		}
		p.send(base, &d, count)
		p.send(base, &other, count)
	}
}

// judge holds what operators were told against what stands at the end.
func (p *operators) judge() {
	s := p.sim
	for rev, name := range p.acked {
		if got := p.byRevision[rev]; got != name {
			s.watch.Break(rules.ConfigLost, "revision %d was acknowledged as %s, it is %q", rev, name, got)
		}
	}
	for _, o := range s.offices {
		if !o.up || !o.core.Node.Open(o.clock()) {
			continue
		}
		st := o.core.Node.State()
		if st.Revision < p.revision {
			s.watch.Break(rules.ConfigLost, "revision %d was acknowledged, the tail is at %d", p.revision, st.Revision)
		}
		if st.Doc != nil && p.refused[st.Doc.Name] {
			s.watch.Break(rules.ConfigLost, "refused %s stands", st.Doc.Name)
		}
	}
}
