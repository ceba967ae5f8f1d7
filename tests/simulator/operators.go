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
	sim         *DeclaredDay
	changeCount int
	grown       bool
	revision    uint64
	doc         *configuration.Declaration
	first       *configuration.Declaration
	refused     map[string]bool
	acked       map[uint64]string
	byRevision  map[uint64]string
	outcomes    map[string]string
	ordered     map[string]bool
	revisions   int
	done        map[string]bool
}

func newOperators(s *DeclaredDay) *operators {
	return &operators{sim: s, refused: map[string]bool{}, acked: map[uint64]string{}, byRevision: map[uint64]string{},
		outcomes: map[string]string{}, ordered: map[string]bool{}, done: map[string]bool{}}
}

// mayResume is false only while a kind may surely not be resumed.
func (ops *operators) mayResume(kind string) bool {
	if ops.first == nil {
		return false
	}
	k := ops.first.Kind(kind)
	return k != nil && k.Resumable
}

func (ops *operators) controlNode() *controlNode {
	s := ops.sim
	for try := 0; try < 20; try++ {
		if o := s.controlNodes[s.random.Intn(len(s.controlNodes))]; o.up && o.thawUs <= s.nowUs {
			return o
		}
	}
	return nil
}

const ghost = "ghost-"

// send carries a change until its answer is known: one in doubt is sent again under its own id.
func (ops *operators) send(base uint64, d *configuration.Declaration, done func(r wire.Result, ok bool)) {
	ops.changeCount++
	doc := clone(*d)
	doc.Name = fmt.Sprintf("cfg-%d", ops.changeCount)
	ops.sendAs(fmt.Sprintf("op-%d", ops.changeCount), base, &doc, 0, done)
}

func (ops *operators) sendAs(id string, base uint64, doc *configuration.Declaration, try int, done func(r wire.Result, ok bool)) {
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
		ops.sim.schedule(ops.sim.nowUs+700*millisecond, func() { ops.sendAs(id, base, doc, try+1, done) })
	}
	o := ops.controlNode()
	if o == nil {
		again()
		return
	}
	held := clone(*doc)
	if bad := configuration.Check(&held, nil); bad != nil {
		r := wire.Result{Outcome: statemachine.Outcome{ID: id, Fault: bad}}
		ops.answered(id, doc, r)
		done(r, true)
		return
	}
	boot := o.boot
	ops.sim.schedule(ops.sim.nowUs+4*second, func() {
		if !o.up || o.boot != boot {
			again()
		}
	})
	o.submit(statemachine.Change{ID: id, Config: &statemachine.ConfigChange{Base: base, Doc: &held}}, 3*second, func(r wire.Result, ok bool) {
		if !ok {
			ops.sim.watch.Stake(rules.ConfigMissing)
			again()
			return
		}
		if over {
			return
		}
		over = true
		ops.answered(id, doc, r)
		done(r, true)
		ops.sim.springTraps("config", o)
	})
}

func (ops *operators) answered(id string, doc *configuration.Declaration, r wire.Result) {
	s := ops.sim
	answer := fmt.Sprintf("revision %d", r.Outcome.Revision)
	if r.Outcome.Fault != nil {
		answer = string(r.Outcome.Fault.Code)
	}
	if before := ops.outcomes[id]; before != "" && before != answer {
		s.watch.Break(rules.ConfigMissing, "change %s was answered %q and %q", id, before, answer)
	}
	ops.outcomes[id] = answer
	if r.Outcome.Fault != nil {
		s.watch.Stake(rules.ConfigMissing)
		ops.refused[doc.Name] = true
		for _, m := range doc.Models {
			if strings.HasPrefix(m.Name, ghost) {
				ops.refused[m.Name] = true
				ops.judgeOrder(m.Name)
			}
		}
		return
	}
	if other := ops.acked[r.Outcome.Revision]; other != "" && other != doc.Name {
		s.watch.Break(rules.ConfigMissing, "revision %d was acknowledged as %s and as %s", r.Outcome.Revision, other, doc.Name)
	}
	ops.acked[r.Outcome.Revision] = doc.Name
	if r.Outcome.Revision > ops.revision {
		ops.revision, ops.doc = r.Outcome.Revision, doc
	}
	s.logf("acknowledged %s as revision %d, everywhere %v", doc.Name, r.Outcome.Revision, r.OnAllGateways)
}

func (ops *operators) sawOrder(o modelserver.OrderSeen) {
	if strings.HasPrefix(o.Unit, ghost) {
		ops.ordered[o.Unit] = true
		ops.judgeOrder(o.Unit)
	}
}

func (ops *operators) judgeOrder(unit string) {
	if ops.ordered[unit] && ops.refused[unit] {
		ops.sim.watch.Break(rules.ConfigMissing, "%s of a refused configuration was ordered", unit)
	}
}

func (ops *operators) begin() {
	ops.sim.schedule(ops.sim.nowUs+500*millisecond, func() {
		ops.send(0, ops.declarationAfter(0), func(_ wire.Result, ok bool) {
			if !ok || ops.revision == 0 {
				ops.begin()
				return
			}
			ops.grow(1)
		})
	})
}

// declarationAfter is the declaration after some of the steps in which it grows.
func (ops *operators) declarationAfter(step int) *configuration.Declaration {
	full := ops.sim.plan.Doc
	if step >= ops.sim.plan.Steps {
		return full
	}
	d := clone(*full)
	d.Models = d.Models[:len(full.Models)*(step+1)/(ops.sim.plan.Steps+1)]
	d.Adapters = without(d.Adapters, func(a configuration.Adapter) bool { return d.Model(a.Model) == nil })
	return &d
}

func (ops *operators) grow(step int) {
	if step > ops.sim.plan.Steps {
		ops.first, ops.grown = ops.doc, true
		return
	}
	ops.send(ops.revision, ops.declarationAfter(step), func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault != nil {
			ops.sim.watch.Break(rules.ConfigMissing, "step %d of growing: %v", step, r.Outcome.Fault)
			return
		}
		ops.grow(step + 1)
	})
}

func (ops *operators) sawDoc(gateway string, snap *scheduling.Snapshot) {
	if snap.Declaration != nil && ops.refused[snap.Declaration.Name] {
		ops.sim.watch.Break(rules.ConfigMissing, "%s works by refused %s", gateway, snap.Declaration.Name)
	}
}

// play makes one change after another, each by an operator who builds on the last revision known.
func (ops *operators) play(untilUs int64) {
	s := ops.sim
	var next func()
	next = func() {
		if s.nowUs >= untilUs {
			return
		}
		ops.oneChange()
		s.schedule(s.nowUs+2500*millisecond+s.random.Int63n(2500*millisecond), next)
	}
	s.schedule(s.nowUs+second, next)
}

// restore puts the first configuration back, so that service can be held against what it was.
func (ops *operators) restore() {
	if ops.first == nil {
		return
	}
	for _, c := range ops.revisionIDs() {
		ops.sim.watch.OldOver(c, ops.sim.nowUs)
	}
	ops.sim.watch.EmptiedOver(ops.first.Zones[len(ops.first.Zones)-1], ops.sim.nowUs)
	ops.sim.setStore(ops.sim.plan.Doc.Store)
	ops.send(ops.revision, ops.first, func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault == nil {
			ops.done = map[string]bool{}
			return
		}
		if ok && r.Outcome.Fault.Revision > ops.revision {
			ops.revision = r.Outcome.Fault.Revision
		}
		ops.sim.schedule(ops.sim.nowUs+300*millisecond, ops.restore)
	})
}

// reversibleChange is one change of one thing, and the change that takes it back.
type reversibleChange struct {
	id       string
	away     func(d *configuration.Declaration)
	removed  rules.Change
	restored rules.Change
	old      func(d *configuration.Declaration)
}

func (ops *operators) revisionIDs() []string {
	ids := []string{}
	for _, t := range ops.possibleRevisions() {
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

func ruledOutBy(code fault.Code, concerns func(rules.ClientAttempt) bool) func(rules.ClientAttempt) bool {
	return func(t rules.ClientAttempt) bool { return t.Code == string(code) && concerns(t) }
}

func (ops *operators) possibleRevisions() []reversibleChange {
	full := ops.sim.plan.Doc
	model := full.Models[len(full.Models)-1]
	adapter, moved := full.Adapters[0], full.Adapters[1]
	kinds := kindsByPriority(full)
	resumed, rare, often := kinds[0], kinds[1], kinds[2]
	ofModel := func(t rules.ClientAttempt) bool { return t.Model == model.Name }
	ofAdapter := func(t rules.ClientAttempt) bool { return t.Adapter == adapter.Name }
	ofKind := func(name string) func(rules.ClientAttempt) bool {
		return func(t rules.ClientAttempt) bool { return t.Kind == name }
	}
	ofMoved := func(to string) func(rules.ClientAttempt) bool {
		return func(t rules.ClientAttempt) bool { return t.Adapter == moved.Name && t.Model == to }
	}
	elsewhere := ops.elsewhere()
	shortMs := often.DeadlineMs / 4
	const slackUs = 100 * millisecond
	return []reversibleChange{
		{id: model.Name,
			away: func(d *configuration.Declaration) {
				d.Models = without(d.Models, func(m configuration.Model) bool { return m.Name == model.Name })
				d.Adapters = without(d.Adapters, func(a configuration.Adapter) bool { return a.Model == model.Name })
			},
			old: func(d *configuration.Declaration) {
				d.Models = append(d.Models, model)
				for _, a := range full.Adapters {
					if a.Model == model.Name && d.Adapter(a.Name) == nil && (a.Name != adapter.Name || !ops.done[a.Name]) {
						d.Adapters = append(d.Adapters, a)
					}
				}
			},
			removed:  rules.RemovedUnit(rules.Interval{ID: model.Name}),
			restored: rules.Change{Told: ruledOutBy(fault.UnknownModel, ofModel), Concerns: ofModel}},
		{id: adapter.Name,
			away: func(d *configuration.Declaration) {
				d.Adapters = without(d.Adapters, func(a configuration.Adapter) bool { return a.Name == adapter.Name })
			},
			old:      func(d *configuration.Declaration) { d.Adapters = append(d.Adapters, adapter) },
			removed:  rules.RemovedUnit(rules.Interval{ID: adapter.Name}),
			restored: rules.Change{Told: ruledOutBy(fault.UnknownAdapter, ofAdapter), Concerns: ofAdapter}},
		{id: "model of " + moved.Name,
			away: func(d *configuration.Declaration) { moveTo(d, moved.Name, elsewhere) },
			old:  func(d *configuration.Declaration) { moveTo(d, moved.Name, moved.Model) },
			removed: rules.Change{Concerns: ofMoved(elsewhere), Told: ruledOutBy(fault.UnknownAdapter, ofMoved(elsewhere)),
				Runs: func(r modelserver.Run, _ rules.ClientAttempt, _ int) bool {
					return r.Adapter == moved.Name && r.Model == moved.Model
				}},
			restored: rules.Change{Concerns: ofMoved(moved.Model), Told: ruledOutBy(fault.UnknownAdapter, ofMoved(moved.Model)),
				Runs: func(r modelserver.Run, _ rules.ClientAttempt, _ int) bool {
					return r.Adapter == moved.Name && r.Model == elsewhere
				}}},
		{id: "kind " + rare.Name,
			away: func(d *configuration.Declaration) {
				d.Kinds = without(d.Kinds, func(k configuration.Kind) bool { return k.Name == rare.Name })
			},
			old: func(d *configuration.Declaration) { d.Kinds = append(d.Kinds, rare) },
			removed: rules.Change{Concerns: ofKind(rare.Name),
				Runs: func(_ modelserver.Run, ask rules.ClientAttempt, _ int) bool { return ask.Kind == rare.Name }},
			restored: rules.Change{Concerns: ofKind(rare.Name), Told: ruledOutBy(fault.UnknownKind, ofKind(rare.Name))}},
		{id: "resumable " + resumed.Name,
			away: func(d *configuration.Declaration) { resumeAs(d, resumed.Name, false) },
			old:  func(d *configuration.Declaration) { resumeAs(d, resumed.Name, true) },
			removed: rules.Change{Concerns: ofKind(resumed.Name),
				Runs: func(r modelserver.Run, ask rules.ClientAttempt, nth int) bool {
					return ask.Kind == resumed.Name && (nth > 1 || r.First > 1)
				}},
			restored: rules.Change{Concerns: ofKind(resumed.Name),
				Told: func(t rules.ClientAttempt) bool {
					return t.Kind == resumed.Name && (t.Code == string(fault.OutcomeUnknown) || t.Code == string(fault.BadLastEventID))
				}}},
		{id: "expiry " + often.Name,
			away: func(d *configuration.Declaration) { expireAs(d, often.Name, shortMs) },
			old:  func(d *configuration.Declaration) { expireAs(d, often.Name, often.DeadlineMs) },
			removed: rules.Change{Concerns: ofKind(often.Name),
				Runs: func(r modelserver.Run, ask rules.ClientAttempt, _ int) bool {
					return ask.Kind == often.Name && ask.ReceivedChunks == 0 && r.StartUs > ask.AdmittedUs+shortMs*millisecond+slackUs
				}},
			restored: rules.Change{Concerns: ofKind(often.Name),
				Told: func(t rules.ClientAttempt) bool {
					return t.Kind == often.Name && t.Code == string(fault.Expired) && t.EndUs-t.AdmittedUs < often.DeadlineMs*millisecond-slackUs
				}}},
	}
}

// kindsByPriority names the kinds from the rarest, which may be resumed, to the quickest.
func kindsByPriority(d *configuration.Declaration) []configuration.Kind {
	kinds := slices.Clone(d.Kinds)
	slices.SortFunc(kinds, func(a, b configuration.Kind) int { return a.Urgency - b.Urgency })
	return kinds
}

// elsewhere is the model that the second adapter is moved to and back from.
func (ops *operators) elsewhere() string {
	full := ops.sim.plan.Doc
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

func (ops *operators) oneChange() {
	if ops.doc == nil {
		return
	}
	s := ops.sim
	ops.revisions++
	d := clone(*ops.doc)
	d.Models = without(d.Models, func(m configuration.Model) bool { return strings.HasPrefix(m.Name, ghost) })
	base := ops.revision
	turns := ops.possibleRevisions()
	op := s.random.Intn(len(turns) + 6)
	if len(s.plan.ChangeSteps) > 0 {
		op = s.plan.ChangeSteps[ops.revisions%len(s.plan.ChangeSteps)]
	}
	switch op - len(turns) {
	default:
		ops.applyRevision(turns[op], base, &d)
	case 0:
		d.Policy = configuration.Policy{Name: "chaser", Source: examples.Chaser}
		if ops.doc.Policy.Name == "chaser" {
			d.Policy = configuration.Policy{Name: "steady", Source: examples.Steady}
		}
		ops.send(base, &d, func(wire.Result, bool) {})
	case 1:
		ops.zone(base, &d)
	case 2:
		ops.race(base, &d)
	case 3:
		for i := range d.Kinds {
			d.Kinds[i].Urgency = 10 - d.Kinds[i].Urgency
		}
		ops.send(base, &d, func(wire.Result, bool) {})
	case 4:
		ops.store(base, &d)
	case 5:
		ops.haunted(&d, 50)
		if s.random.Intn(2) == 0 {
			ops.haunted(&d, d.Replica.CapacityMB+1)
		} else {
			base += 1000
		}
		ops.send(base, &d, func(r wire.Result, ok bool) {
			if ok && r.Outcome.Fault == nil {
				s.watch.Break(rules.ConfigMissing, "a change that had to be refused was taken as revision %d", r.Outcome.Revision)
			}
		})
	}
}

// haunted adds a model that a refused configuration must never load.
func (ops *operators) haunted(d *configuration.Declaration, sizeMb int64) {
	m := ops.sim.plan.Doc.Models[0]
	m.Name, m.SizeMB, m.Weight = fmt.Sprintf("%s%d-%d", ghost, ops.changeCount, sizeMb), sizeMb, 50
	d.Models = append(d.Models, m)
}

func (ops *operators) applyRevision(t reversibleChange, base uint64, d *configuration.Declaration) {
	s := ops.sim
	away := ops.done[t.id]
	change, edit := t.removed, t.away
	if away {
		change, edit = t.restored, t.old
	}
	edit(d)
	s.watch.OldOver(t.id, s.nowUs)
	ops.send(base, d, func(r wire.Result, ok bool) {
		if !ok || r.Outcome.Fault != nil || s.healed {
			return
		}
		ops.done[t.id] = !away
		if ops.revision == r.Outcome.Revision && r.OnAllGateways {
			change.Interval = rules.Interval{ID: t.id, FromUs: s.nowUs, ToUs: rules.Open}
			s.watch.Old(change)
		}
	})
}

func (ops *operators) zone(base uint64, d *configuration.Declaration) {
	s := ops.sim
	zone := d.Zones[len(d.Zones)-1]
	if ops.doc.IsDrained(zone) {
		s.watch.EmptiedOver(zone, s.nowUs)
		d.DrainedZones = nil
		ops.send(base, d, func(wire.Result, bool) {})
		return
	}
	d.DrainedZones = []string{zone}
	ops.send(base, d, func(r wire.Result, ok bool) {
		if ok && r.Outcome.Fault == nil && ops.revision == r.Outcome.Revision && !s.healed {
			s.watch.Emptied(rules.Interval{ID: zone, FromUs: s.nowUs, ToUs: rules.Open})
		}
	})
}

func (ops *operators) race(base uint64, d *configuration.Declaration) {
	s := ops.sim
	other := clone(*d)
	other.Scaler.LatencyTolerancePct = 20
	ops.haunted(d, 51)
	ops.haunted(&other, 52)
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
	ops.send(base, d, count)
	ops.send(base, &other, count)
}

// store narrows what the weight store allows, or widens it again. The store keeps to the narrower
// limit once the change was acknowledged for as long as the old way may last.
func (ops *operators) store(base uint64, d *configuration.Declaration) {
	s := ops.sim
	usual := s.plan.Doc.Store
	if d.Store != usual {
		d.Store = usual
		s.setStore(usual)
		ops.send(base, d, func(wire.Result, bool) {})
		return
	}
	d.Store.Loads, d.Store.MBPerSecond = max(1, usual.Loads/2), usual.MBPerSecond*3/4
	ops.send(base, d, func(r wire.Result, ok bool) {
		if !ok || r.Outcome.Fault != nil {
			return
		}
		narrow := d.Store
		s.schedule(s.nowUs+rules.ChangeUs, func() {
			if ops.doc != nil && ops.doc.Store == narrow && ops.revision == r.Outcome.Revision && !s.healed {
				s.setStore(narrow)
			}
		})
	})
}

// judge holds what operators were told against what stands at the end.
func (ops *operators) judge() {
	s := ops.sim
	for rev, name := range ops.acked {
		if got := ops.byRevision[rev]; got != name {
			s.watch.Break(rules.ConfigMissing, "revision %d was acknowledged as %s, it is %q", rev, name, got)
		}
	}
	for _, o := range s.controlNodes {
		if !o.up || !o.core.Node.IsTailReady(o.clock()) {
			continue
		}
		st := o.core.Node.State()
		if st.Revision < ops.revision {
			s.watch.Break(rules.ConfigMissing, "revision %d was acknowledged, the tail is at %d", ops.revision, st.Revision)
		}
		if st.Doc != nil && ops.refused[st.Doc.Name] {
			s.watch.Break(rules.ConfigMissing, "refused %s stands", st.Doc.Name)
		}
	}
}
