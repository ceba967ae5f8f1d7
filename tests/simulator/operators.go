package simulator

import (
	"fmt"
	"slices"
	"strings"

	"petreltide/examples"
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/tests/modelserver"
	"petreltide/tests/rules"
)

// operators send whole configurations, some racing each other, and remember what they were told.
type operators struct {
	sim        *Sim
	n          int
	grown      bool
	revision   uint64
	doc        *configuration.Declaration
	first      *configuration.Declaration
	refused    map[string]bool
	acked      map[uint64]string
	byRevision map[uint64]string
	answers    map[string]string
	ordered    map[string]bool
	turns      int
	once       map[string]bool
}

func newOperators(s *Sim) *operators {
	return &operators{sim: s, refused: map[string]bool{}, acked: map[uint64]string{}, byRevision: map[uint64]string{},
		answers: map[string]string{}, ordered: map[string]bool{}, once: map[string]bool{}}
}

// mayResume is false only while a kind may surely not be resumed.
func (p *operators) mayResume(kind string) bool {
	if p.first == nil {
		return false
	}
	k := p.first.Kind(kind)
	return k != nil && k.Resumable
}

func (p *operators) controlNode() *controlNode {
	s := p.sim
	for try := 0; try < 20; try++ {
		if o := s.controlNodes[s.r.Intn(len(s.controlNodes))]; o.up && o.thawUs <= s.nowUs {
			return o
		}
	}
	return nil
}

const ghost = "ghost-"

// send carries a change until its answer is known: one in doubt is sent again under its own id.
func (p *operators) send(base uint64, d *configuration.Declaration, done func(r wire.Result, ok bool)) {
	p.n++
	doc := clone(*d)
	doc.Name = fmt.Sprintf("cfg-%d", p.n)
	p.sendAs(fmt.Sprintf("op-%d", p.n), base, &doc, 0, done)
}

func (p *operators) sendAs(id string, base uint64, doc *configuration.Declaration, try int, done func(r wire.Result, ok bool)) {
	over := false
	again := func() {
		if over {
			return
		}
		over = true
		if try >= 8 {
			done(wire.Result{}, false)
			return
		}
		p.sim.at(p.sim.nowUs+700*ms, func() { p.sendAs(id, base, doc, try+1, done) })
	}
	o := p.controlNode()
	if o == nil {
		again()
		return
	}
	held := clone(*doc)
	if bad := configuration.Check(&held, nil); bad != nil {
		r := wire.Result{Outcome: statemachine.Outcome{ID: id, Fault: bad}}
		p.answered(id, doc, r)
		done(r, true)
		return
	}
	boot := o.boot
	p.sim.at(p.sim.nowUs+4*sec, func() {
		if !o.up || o.boot != boot {
			again()
		}
	})
	o.submit(statemachine.Change{ID: id, Config: &statemachine.ConfigChange{Base: base, Doc: &held}}, 3*sec, func(r wire.Result, ok bool) {
		if !ok {
			p.sim.watch.Stake(rules.ConfigMissing)
			again()
			return
		}
		if over {
			return
		}
		over = true
		p.answered(id, doc, r)
		done(r, true)
		p.sim.spring("config", o)
	})
}

func (p *operators) answered(id string, doc *configuration.Declaration, r wire.Result) {
	s := p.sim
	answer := fmt.Sprintf("revision %d", r.Outcome.Revision)
	if r.Outcome.Fault != nil {
		answer = string(r.Outcome.Fault.Code)
	}
	if before := p.answers[id]; before != "" && before != answer {
		s.watch.Break(rules.ConfigMissing, "change %s was answered %q and %q", id, before, answer)
	}
	p.answers[id] = answer
	if r.Outcome.Fault != nil {
		s.watch.Stake(rules.ConfigMissing)
		p.refused[doc.Name] = true
		for _, m := range doc.Models {
			if strings.HasPrefix(m.Name, ghost) {
				p.refused[m.Name] = true
				p.judgeOrder(m.Name)
			}
		}
		return
	}
	if other := p.acked[r.Outcome.Revision]; other != "" && other != doc.Name {
		s.watch.Break(rules.ConfigMissing, "revision %d was acknowledged as %s and as %s", r.Outcome.Revision, other, doc.Name)
	}
	p.acked[r.Outcome.Revision] = doc.Name
	if r.Outcome.Revision > p.revision {
		p.revision, p.doc = r.Outcome.Revision, doc
	}
	s.note("acknowledged %s as revision %d, everywhere %v", doc.Name, r.Outcome.Revision, r.OnAllGateways)
}

func (p *operators) sawOrder(o modelserver.OrderSeen) {
	if strings.HasPrefix(o.Unit, ghost) {
		p.ordered[o.Unit] = true
		p.judgeOrder(o.Unit)
	}
}

func (p *operators) judgeOrder(unit string) {
	if p.ordered[unit] && p.refused[unit] {
		p.sim.watch.Break(rules.ConfigMissing, "%s of a refused configuration was ordered", unit)
	}
}

func (p *operators) begin() {
	p.sim.at(p.sim.nowUs+500*ms, func() {
		p.send(0, p.part(0), func(_ wire.Result, ok bool) {
			if !ok || p.revision == 0 {
				p.begin()
				return
			}
			p.grow(1)
		})
	})
}

// part is the declaration after some of the steps in which it grows.
func (p *operators) part(step int) *configuration.Declaration {
	full := p.sim.plan.Doc
	if step >= p.sim.plan.Steps {
		return full
	}
	d := clone(*full)
	d.Models = d.Models[:len(full.Models)*(step+1)/(p.sim.plan.Steps+1)]
	d.Adapters = without(d.Adapters, func(a configuration.Adapter) bool { return d.Model(a.Model) == nil })
	return &d
}

func (p *operators) grow(step int) {
	if step > p.sim.plan.Steps {
		p.first, p.grown = p.doc, true
		return
	}
	p.send(p.revision, p.part(step), func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault != nil {
			p.sim.watch.Break(rules.ConfigMissing, "step %d of growing: %v", step, r.Outcome.Fault)
			return
		}
		p.grow(step + 1)
	})
}

func (p *operators) sawDoc(gateway string, snap *scheduling.Snapshot) {
	if snap.Declaration != nil && p.refused[snap.Declaration.Name] {
		p.sim.watch.Break(rules.ConfigMissing, "%s works by refused %s", gateway, snap.Declaration.Name)
	}
}

// play makes one change after another, each by an operator who builds on the last revision known.
func (p *operators) play(untilUs int64) {
	s := p.sim
	var next func()
	next = func() {
		if s.nowUs >= untilUs {
			return
		}
		p.one()
		s.at(s.nowUs+2500*ms+s.r.Int63n(2500*ms), next)
	}
	s.at(s.nowUs+sec, next)
}

// restore puts the first configuration back, so that service can be held against what it was.
func (p *operators) restore() {
	if p.first == nil {
		return
	}
	for _, c := range p.turnsOf() {
		p.sim.watch.OldOver(c, p.sim.nowUs)
	}
	p.sim.watch.EmptiedOver(p.first.Zones[len(p.first.Zones)-1], p.sim.nowUs)
	p.sim.setStore(p.sim.plan.Doc.Store)
	p.send(p.revision, p.first, func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault == nil {
			p.once = map[string]bool{}
			return
		}
		if ok && r.Outcome.Fault.Revision > p.revision {
			p.revision = r.Outcome.Fault.Revision
		}
		p.sim.at(p.sim.nowUs+300*ms, p.restore)
	})
}

// turn is one change of one thing, and the change that takes it back.
type turn struct {
	id   string
	away func(d *configuration.Declaration)
	gone rules.Change
	back rules.Change
	old  func(d *configuration.Declaration)
}

func (p *operators) turnsOf() []string {
	ids := []string{}
	for _, t := range p.all() {
		ids = append(ids, t.id)
	}
	return ids
}

func without[T any](list []T, drop func(T) bool) []T {
	kept := []T{}
	for _, v := range list {
		if !drop(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func told(code fault.Code, concerns func(rules.ClientAttempt) bool) func(rules.ClientAttempt) bool {
	return func(t rules.ClientAttempt) bool { return t.Code == string(code) && concerns(t) }
}

func (p *operators) all() []turn {
	full := p.sim.plan.Doc
	model := full.Models[len(full.Models)-1]
	adapter, moved := full.Adapters[0], full.Adapters[1]
	kinds := byUrgency(full)
	resumed, rare, often := kinds[0], kinds[1], kinds[2]
	ofModel := func(t rules.ClientAttempt) bool { return t.Model == model.Name }
	ofAdapter := func(t rules.ClientAttempt) bool { return t.Adapter == adapter.Name }
	ofKind := func(name string) func(rules.ClientAttempt) bool {
		return func(t rules.ClientAttempt) bool { return t.Kind == name }
	}
	ofMoved := func(to string) func(rules.ClientAttempt) bool {
		return func(t rules.ClientAttempt) bool { return t.Adapter == moved.Name && t.Model == to }
	}
	elsewhere := p.elsewhere()
	shortMs := often.DeadlineMs / 4
	const slackUs = 100 * ms
	return []turn{
		{id: model.Name,
			away: func(d *configuration.Declaration) {
				d.Models = without(d.Models, func(m configuration.Model) bool { return m.Name == model.Name })
				d.Adapters = without(d.Adapters, func(a configuration.Adapter) bool { return a.Model == model.Name })
			},
			old: func(d *configuration.Declaration) {
				d.Models = append(d.Models, model)
				for _, a := range full.Adapters {
					if a.Model == model.Name && d.Adapter(a.Name) == nil && (a.Name != adapter.Name || !p.once[a.Name]) {
						d.Adapters = append(d.Adapters, a)
					}
				}
			},
			gone: rules.RemovedUnit(rules.Interval{ID: model.Name}),
			back: rules.Change{Told: told(fault.UnknownModel, ofModel), Concerns: ofModel}},
		{id: adapter.Name,
			away: func(d *configuration.Declaration) {
				d.Adapters = without(d.Adapters, func(a configuration.Adapter) bool { return a.Name == adapter.Name })
			},
			old:  func(d *configuration.Declaration) { d.Adapters = append(d.Adapters, adapter) },
			gone: rules.RemovedUnit(rules.Interval{ID: adapter.Name}),
			back: rules.Change{Told: told(fault.UnknownAdapter, ofAdapter), Concerns: ofAdapter}},
		{id: "model of " + moved.Name,
			away: func(d *configuration.Declaration) { moveTo(d, moved.Name, elsewhere) },
			old:  func(d *configuration.Declaration) { moveTo(d, moved.Name, moved.Model) },
			gone: rules.Change{Concerns: ofMoved(elsewhere), Told: told(fault.UnknownAdapter, ofMoved(elsewhere)),
				Runs: func(r modelserver.Run, _ rules.ClientAttempt, _ int) bool {
					return r.Adapter == moved.Name && r.Model == moved.Model
				}},
			back: rules.Change{Concerns: ofMoved(moved.Model), Told: told(fault.UnknownAdapter, ofMoved(moved.Model)),
				Runs: func(r modelserver.Run, _ rules.ClientAttempt, _ int) bool {
					return r.Adapter == moved.Name && r.Model == elsewhere
				}}},
		{id: "kind " + rare.Name,
			away: func(d *configuration.Declaration) {
				d.Kinds = without(d.Kinds, func(k configuration.Kind) bool { return k.Name == rare.Name })
			},
			old: func(d *configuration.Declaration) { d.Kinds = append(d.Kinds, rare) },
			gone: rules.Change{Concerns: ofKind(rare.Name),
				Runs: func(_ modelserver.Run, ask rules.ClientAttempt, _ int) bool { return ask.Kind == rare.Name }},
			back: rules.Change{Concerns: ofKind(rare.Name), Told: told(fault.UnknownKind, ofKind(rare.Name))}},
		{id: "resumable " + resumed.Name,
			away: func(d *configuration.Declaration) { resumeAs(d, resumed.Name, false) },
			old:  func(d *configuration.Declaration) { resumeAs(d, resumed.Name, true) },
			gone: rules.Change{Concerns: ofKind(resumed.Name),
				Runs: func(r modelserver.Run, ask rules.ClientAttempt, nth int) bool {
					return ask.Kind == resumed.Name && (nth > 1 || r.First > 1)
				}},
			back: rules.Change{Concerns: ofKind(resumed.Name),
				Told: func(t rules.ClientAttempt) bool {
					return t.Kind == resumed.Name && (t.Code == string(fault.OutcomeUnknown) || t.Code == string(fault.BadLastEventID))
				}}},
		{id: "expiry " + often.Name,
			away: func(d *configuration.Declaration) { expireAs(d, often.Name, shortMs) },
			old:  func(d *configuration.Declaration) { expireAs(d, often.Name, often.DeadlineMs) },
			gone: rules.Change{Concerns: ofKind(often.Name),
				Runs: func(r modelserver.Run, ask rules.ClientAttempt, _ int) bool {
					return ask.Kind == often.Name && ask.ReceivedChunks == 0 && r.StartUs > ask.AdmittedUs+shortMs*ms+slackUs
				}},
			back: rules.Change{Concerns: ofKind(often.Name),
				Told: func(t rules.ClientAttempt) bool {
					return t.Kind == often.Name && t.Code == string(fault.Expired) && t.EndUs-t.AdmittedUs < often.DeadlineMs*ms-slackUs
				}}},
	}
}

// byUrgency names the kinds from the rarest, which may be resumed, to the quickest.
func byUrgency(d *configuration.Declaration) []configuration.Kind {
	kinds := slices.Clone(d.Kinds)
	slices.SortFunc(kinds, func(a, b configuration.Kind) int { return a.Urgency - b.Urgency })
	return kinds
}

// elsewhere is the model that the second adapter is moved to and back from.
func (p *operators) elsewhere() string {
	full := p.sim.plan.Doc
	for _, m := range full.Models {
		if m.Name != full.Adapters[1].Model {
			return m.Name
		}
	}
	return ""
}

func moveTo(d *configuration.Declaration, adapter, model string) {
	if a := d.Adapter(adapter); a != nil {
		a.Model = model
	}
}

func resumeAs(d *configuration.Declaration, kind string, may bool) {
	if k := d.Kind(kind); k != nil {
		k.Resumable = may
	}
}

func expireAs(d *configuration.Declaration, kind string, deadlineMs int64) {
	if k := d.Kind(kind); k != nil {
		k.DeadlineMs = deadlineMs
	}
}

func (p *operators) one() {
	if p.doc == nil {
		return
	}
	s := p.sim
	p.turns++
	d := clone(*p.doc)
	d.Models = without(d.Models, func(m configuration.Model) bool { return strings.HasPrefix(m.Name, ghost) })
	base := p.revision
	turns := p.all()
	op := s.r.Intn(len(turns) + 6)
	if len(s.plan.Ops) > 0 {
		op = s.plan.Ops[p.turns%len(s.plan.Ops)]
	}
	switch op - len(turns) {
	default:
		p.turn(turns[op], base, &d)
	case 0:
		d.Policy = configuration.Policy{Name: "chaser", Source: examples.Chaser}
		if p.doc.Policy.Name == "chaser" {
			d.Policy = configuration.Policy{Name: "steady", Source: examples.Steady}
		}
		p.send(base, &d, func(wire.Result, bool) {})
	case 1:
		p.zone(base, &d)
	case 2:
		p.race(base, &d)
	case 3:
		for i := range d.Kinds {
			d.Kinds[i].Urgency = 10 - d.Kinds[i].Urgency
		}
		p.send(base, &d, func(wire.Result, bool) {})
	case 4:
		p.store(base, &d)
	case 5:
		p.haunted(&d, 50)
		if s.r.Intn(2) == 0 {
			p.haunted(&d, d.Replica.CapacityMB+1)
		} else {
			base += 1000
		}
		p.send(base, &d, func(r wire.Result, ok bool) {
			if ok && r.Outcome.Fault == nil {
				s.watch.Break(rules.ConfigMissing, "a change that had to be refused was taken as revision %d", r.Outcome.Revision)
			}
		})
	}
}

// haunted adds a model that a refused configuration must never load.
func (p *operators) haunted(d *configuration.Declaration, sizeMb int64) {
	m := p.sim.plan.Doc.Models[0]
	m.Name, m.SizeMB, m.Weight = fmt.Sprintf("%s%d-%d", ghost, p.n, sizeMb), sizeMb, 50
	d.Models = append(d.Models, m)
}

func (p *operators) turn(t turn, base uint64, d *configuration.Declaration) {
	s := p.sim
	away := p.once[t.id]
	change, edit := t.gone, t.away
	if away {
		change, edit = t.back, t.old
	}
	edit(d)
	s.watch.OldOver(t.id, s.nowUs)
	p.send(base, d, func(r wire.Result, ok bool) {
		if !ok || r.Outcome.Fault != nil || s.healed {
			return
		}
		p.once[t.id] = !away
		if p.revision == r.Outcome.Revision && r.OnAllGateways {
			change.Interval = rules.Interval{ID: t.id, FromUs: s.nowUs, ToUs: rules.Open}
			s.watch.Old(change)
		}
	})
}

func (p *operators) zone(base uint64, d *configuration.Declaration) {
	s := p.sim
	zone := d.Zones[len(d.Zones)-1]
	if p.doc.IsDrained(zone) {
		s.watch.EmptiedOver(zone, s.nowUs)
		d.DrainedZones = nil
		p.send(base, d, func(wire.Result, bool) {})
		return
	}
	d.DrainedZones = []string{zone}
	p.send(base, d, func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault == nil && p.revision == r.Outcome.Revision && !s.healed {
			s.watch.Emptied(rules.Interval{ID: zone, FromUs: s.nowUs, ToUs: rules.Open})
		}
	})
}

func (p *operators) race(base uint64, d *configuration.Declaration) {
	s := p.sim
	other := clone(*d)
	other.Scaler.LatencyTolerancePct = 20
	p.haunted(d, 51)
	p.haunted(&other, 52)
	won := 0
	count := func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault == nil {
			won++
		}
		if won > 1 {
			s.watch.Break(rules.ConfigMissing, "two operators both won on base %d", base)
		}
		if ok && r.Outcome.Fault != nil && r.Outcome.Fault.Code != fault.StaleBase {
			s.watch.Break(rules.ConfigMissing, "a race ended with %v", r.Outcome.Fault)
		}
	}
	p.send(base, d, count)
	p.send(base, &other, count)
}

// store narrows what the weight store allows, or widens it again. The store keeps to the narrower
// limit once the change was acknowledged for as long as the old way may last.
func (p *operators) store(base uint64, d *configuration.Declaration) {
	s := p.sim
	usual := s.plan.Doc.Store
	if d.Store != usual {
		d.Store = usual
		s.setStore(usual)
		p.send(base, d, func(wire.Result, bool) {})
		return
	}
	d.Store.Loads, d.Store.MBPerSecond = max(1, usual.Loads/2), usual.MBPerSecond*3/4
	p.send(base, d, func(r wire.Result, ok bool) {
		if !ok || r.Outcome.Fault != nil {
			return
		}
		narrow := d.Store
		s.at(s.nowUs+rules.ChangeUs, func() {
			if p.doc != nil && p.doc.Store == narrow && p.revision == r.Outcome.Revision && !s.healed {
				s.setStore(narrow)
			}
		})
	})
}

// judge holds what operators were told against what stands at the end.
func (p *operators) judge() {
	s := p.sim
	for rev, name := range p.acked {
		if got := p.byRevision[rev]; got != name {
			s.watch.Break(rules.ConfigMissing, "revision %d was acknowledged as %s, it is %q", rev, name, got)
		}
	}
	for _, o := range s.controlNodes {
		if !o.up || !o.core.Node.TailReady(o.clock()) {
			continue
		}
		st := o.core.Node.State()
		if st.Revision < p.revision {
			s.watch.Break(rules.ConfigMissing, "revision %d was acknowledged, the tail is at %d", p.revision, st.Revision)
		}
		if st.Doc != nil && p.refused[st.Doc.Name] {
			s.watch.Break(rules.ConfigMissing, "refused %s stands", st.Doc.Name)
		}
	}
}
