package sim

import (
	"math/rand"
	"slices"
	"strings"

	"petreltide/proofs/platform/replica"
	"petreltide/proofs/rules"
)

var routedKinds = []string{
	"kill-office", "kill-holder", "power-office", "freeze-office", "freeze-holder", "stall-disk", "slow-disk", "full-disk", "replace-office", "wipe-after-ack", "power-after-ack",
	"cut-office", "one-way", "split-core", "cut-desk", "kill-desk", "herd-kill", "kill-offices", "roll-desks", "freeze-desk", "clock-step", "swap-seeds", "loss",
	"crash-replica", "lose-replica", "dark-replica", "reuse-address", "notice", "notice-race", "release", "scale-in", "failing-replica", "turning-replica", "breaking-replica",
	"config-change", "config-storm", "config-race", "config-rivals", "config-again", "bad-config", "big-config", "burst", "burst-rare", "model-shift",
	"grey-errors", "grey-shed", "grey-busy", "grey-hang", "grey-reset", "grey-mute", "grey-slow", "grey-one-zone", "lying-errors", "lying-hang", "lying-reset",
	"answer-lost", "flap", "drop-idle", "unheard-leave", "kill-zone", "roll-offices", "replace-planned", "power-after-taking",
	"withdraw", "cut-lured",
}

// pairKinds strike two offices at once, where the fleet is made to bear that.
var pairKinds = []string{"kill-pair", "power-pair", "freeze-pair", "cut-pair", "replace-pair", "wipe-pair-after-ack"}

// ailments are the ways in which replicas fail some requests, or all, while they call themselves well.
var ailments = map[string]replica.Ailment{
	"grey-errors": replica.Errs, "grey-shed": replica.Sheds, "grey-busy": replica.Busies, "grey-hang": replica.Hangs, "grey-reset": replica.Resets, "grey-mute": replica.Mutes,
	"grey-one-zone": replica.Errs, "lying-errors": replica.Errs, "lying-hang": replica.Hangs, "lying-reset": replica.Resets, "answer-lost": replica.Loses,
}

// countsItself: such a fault is counted where it first had an effect.
func countsItself(kind string) bool {
	return strings.HasSuffix(kind, "-after-ack") || ailments[kind] != replica.Sound || slices.Contains([]string{"drop-idle", "unheard-leave", "power-after-taking", "replace-planned"}, kind)
}

// RoutedFaultNames lists every fault that routed days are dealt.
func RoutedFaultNames() []string {
	names := append(slices.Clone(routedKinds), pairKinds...)
	slices.Sort(names)
	return names
}

// pairsEvery: every such seed is a day with five offices, two of which may be lost at once.
const pairsEvery = 5

// Closings are the faults that end a day.
var Closings = []string{"", "kill-all", "power-off-all", "wipe-after-ack-all"}

// DrawRouted picks faults from a seed, from shuffled decks of all the kinds.
func DrawRouted(seed int64, count int, spanUs int64) []Fault {
	r := rand.New(rand.NewSource(seed * 13))
	faults := []Fault{}
	for i := range count {
		place := seed*int64(count) + int64(i)
		deck := rand.New(rand.NewSource(place / int64(len(routedKinds)))).Perm(len(routedKinds))
		f := Fault{Kind: routedKinds[deck[place%int64(len(routedKinds))]], A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12)}
		f.AtUs = spanUs*int64(i)/int64(count) + r.Int63n(spanUs/int64(count))
		f.ForUs = 500*ms + r.Int63n(5*sec)
		if i > 0 && r.Intn(3) == 0 {
			f.AtUs = faults[i-1].AtUs + r.Int63n(800*ms)
		}
		if f.Kind == "turning-replica" {
			f.ForUs += 3 * sec
		}
		faults = append(faults, f)
	}
	return faults
}

// DrawPairs is DrawRouted with every second fault one that strikes two offices.
func DrawPairs(seed int64, count int, spanUs int64) []Fault {
	faults := DrawRouted(seed, count, spanUs)
	for i := range faults {
		if i%2 == 0 {
			faults[i].Kind = pairKinds[(int(seed)/pairsEvery+i/2)%len(pairKinds)]
		}
	}
	return faults
}

// spring waits for an acknowledged change, and strikes whoever acknowledged it.
type spring struct {
	fault Fault
	wipe  bool
	act   func(o *routedOffice)
}

func (d *routedDay) spring(kind string, o *routedOffice) {
	if len(d.springs) == 0 {
		return
	}
	t := d.springs[0]
	d.springs = d.springs[1:]
	d.at(d.nowUs+d.r.Int63n(4*ms), func() { t.act(o) })
}

// spare says whether these offices may lose their disks now: no more are lost, missing or behind than tolerated.
func (d *routedDay) spare(lost ...*routedOffice) bool {
	there, away := 0, len(lost)
	for _, o := range d.offices {
		if o.removed {
			continue
		}
		there++
		if !slices.Contains(lost, o) && !o.caughtUp() {
			away++
		}
	}
	away += max(0, d.plan.Offices-there)
	up := !slices.ContainsFunc(lost, func(o *routedOffice) bool { return !o.up })
	return up && away <= d.tolerated()
}

// mate is the office that is struck together with another.
func (d *routedDay) mate(o *routedOffice, n int) *routedOffice {
	others := slices.DeleteFunc(d.upOffices(), func(other *routedOffice) bool { return other == o })
	other, _ := pickOf(others, n)
	return other
}

func (d *routedDay) upOffices() []*routedOffice {
	out := []*routedOffice{}
	for _, o := range d.offices {
		if o.up {
			out = append(out, o)
		}
	}
	return out
}

func pickOf[T any](all []T, n int) (v T, ok bool) {
	if len(all) == 0 {
		return v, false
	}
	return all[n%len(all)], true
}

// cause brings a fault about, and counts it only where it was truly brought about.
func (d *routedDay) cause(f Fault) {
	d.note("fault %s", f)
	if !d.bring(f) {
		d.note("left out %s: it cannot be caused now", f.Kind)
		return
	}
	if !countsItself(f.Kind) {
		d.count(f)
	}
}

func (d *routedDay) bring(f Fault) bool {
	offices := d.upOffices()
	o, haveOffice := pickOf(offices, f.A)
	t := d.desks[f.A%len(d.desks)]
	cards := d.running("cards")
	p, haveCard := pickOf(cards, f.A)
	for _, other := range offices {
		if other.onDuty() && (f.Kind == "kill-holder" || f.Kind == "freeze-holder" || f.Kind == "notice-race") {
			o = other
		}
	}
	switch f.Kind {
	case "kill-office", "kill-holder", "power-office", "freeze-office", "freeze-holder", "stall-disk", "slow-disk", "full-disk", "replace-office", "replace-planned", "cut-office", "cut-lured", "one-way", "split-core",
		"kill-offices", "roll-offices":
		return haveOffice && d.officeFault(f, o)
	case "kill-pair", "power-pair", "freeze-pair", "cut-pair", "replace-pair":
		return haveOffice && d.pairFault(f, o, d.mate(o, f.B))
	case "wipe-after-ack", "power-after-ack", "wipe-pair-after-ack":
		return d.afterAck(f)
	case "power-after-taking":
		d.taking = append(d.taking, func(t *routedDesk) {
			if t.up {
				d.count(f)
				t.crash(false)
				d.at(d.nowUs+f.ForUs, t.start)
			}
		})
	case "kill-zone":
		d.killZone([]string{"a", "b", "c"}[f.A%3], f)
	case "cut-desk", "kill-desk", "herd-kill", "roll-desks", "freeze-desk", "clock-step":
		return d.deskFault(f, t)
	case "config-change":
		d.ops.do(d.ops.change)
	case "config-storm":
		for range 3 + f.N%4 {
			d.ops.do(d.ops.change)
		}
	case "config-race":
		d.ops.do(d.ops.race)
	case "config-rivals":
		for range 1 + f.N%3 {
			d.ops.do(d.ops.rivals)
		}
	case "config-again":
		for range 2 + f.N%5 {
			d.ops.do(d.ops.again)
		}
	case "bad-config":
		for range 1 + f.N%3 {
			d.ops.do(d.ops.bad)
		}
	case "big-config":
		d.ops.do(d.ops.grow(20 + 10*f.N))
	case "burst":
		d.clients.perSec = d.plan.PerSec * (1.5 + float64(f.N)/8)
		d.at(d.nowUs+f.ForUs, func() { d.clients.perSec = d.plan.PerSec })
	case "burst-rare":
		d.clients.rareX = 1.5 + float64(f.N)/10
		d.at(d.nowUs+f.ForUs, func() { d.clients.rareX = 1 })
	case "model-shift":
		d.clients.shift += 2 + f.N%6
	case "swap-seeds":
		d.seeds = slices.Clone(d.listedNow())
		slices.Reverse(d.seeds)
		d.seeds = d.seeds[:min(len(d.seeds), seedsMost)]
		for _, t := range d.desks {
			t.now(t.boot, func() { t.seeded() })
		}
	case "loss":
		d.lossy(f)
	default:
		return haveCard && d.replicaFault(f, p, cards)
	}
	return true
}

// lossy: links lose packets; those of the core as well, so that it is not settled meanwhile.
func (d *routedDay) lossy(f Fault) {
	d.loss = 0.02 + float64(f.N)/200
	for _, o := range d.offices {
		d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: o.name, Kind: "loss", FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	}
	for _, t := range d.desks {
		d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: t.name, Kind: "loss", FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	}
	d.at(d.nowUs+f.ForUs, func() { d.loss = 0 })
}

func (d *routedDay) officeFault(f Fault, o *routedOffice) bool {
	switch f.Kind {
	case "kill-office", "kill-holder":
		d.killOffice(o, 0, f.ForUs)
	case "power-office":
		d.killOffice(o, f.N, f.ForUs)
	case "kill-offices":
		for _, o := range d.upOffices() {
			d.killOffice(o, 0, min(f.ForUs, sec))
		}
	case "freeze-office", "freeze-holder":
		d.freeze(&o.machine, f.ForUs)
	case "stall-disk":
		o.disk.stallUs = d.nowUs + f.ForUs
		d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	case "slow-disk":
		o.disk.slowUs = int64(f.N) * 5 * ms
		d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
		d.at(d.nowUs+f.ForUs, func() { o.disk.slowUs = 0 })
	case "full-disk":
		o.disk.fill(d.Sim, f.ForUs)
		d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	case "replace-office":
		return d.replace(f, o)
	case "replace-planned":
		return d.replacePlanned(f, o)
	case "roll-offices":
		for i, o := range d.offices {
			d.at(d.nowUs+int64(i)*(d.catchUpUs()+sec), func() {
				if d.spare(o) {
					d.killOffice(o, 0, 400*ms)
				}
			})
		}
	case "cut-office":
		for _, other := range d.offices {
			if other != o && !other.removed {
				d.cut(o.name, other.name, f.ForUs)
				d.cut(other.name, o.name, f.ForUs)
			}
		}
	case "cut-lured":
		d.cutOffNow(CutOff{Role: []Role{HeadRole, MiddleRole, TailRole}[f.B%3], ForUs: f.ForUs + 3*sec, Way: []Way{SilentWay, MuteWay, DeafWay, ResetWay}[f.A%4], Lure: true, Meet: true, Drain: true}, d.nowUs)
	case "one-way", "split-core":
		other := d.offices[(f.B)%len(d.offices)]
		if other == o || other.removed {
			return false
		}
		d.cut(o.name, other.name, f.ForUs)
		if f.Kind == "split-core" {
			d.cut(other.name, o.name, f.ForUs)
		}
	}
	return true
}

func (d *routedDay) freeze(m *machine, forUs int64) {
	m.thawUs = max(m.thawUs, d.nowUs+forUs)
	d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: m.name, Kind: "freeze", FromUs: d.nowUs, ToUs: m.thawUs, Down: true})
}

func (d *routedDay) killOffice(o *routedOffice, torn int, forUs int64) {
	o.crash(torn)
	d.at(d.nowUs+forUs, o.start)
}

// remove takes an office away for good.
func (d *routedDay) remove(o *routedOffice) {
	o.crash(0)
	o.removed = true
	for i := range d.seen.Core {
		if d.seen.Core[i].Machine == o.name {
			d.seen.Core[i].ToUs = d.nowUs
		}
	}
}

// empty puts an empty office at a new address beside the others.
func (d *routedDay) empty(zone string) *routedOffice {
	d.ports++
	fresh := d.addOffice("core-"+d.newInc(), "core-new:"+d.newInc(), zone, false)
	d.trouble(rules.Trouble{Machine: fresh.name, Kind: "start", ToUs: d.nowUs + 1})
	d.list()
	return fresh
}

// replace removes offices for good and puts as many empty ones beside the others.
func (d *routedDay) replace(f Fault, gone ...*routedOffice) bool {
	if !d.spare(gone...) || len(d.springs) > 0 {
		return false
	}
	for _, o := range gone {
		d.remove(o)
		d.at(d.nowUs+min(f.ForUs, 2*sec), func() { d.empty(o.zone) })
	}
	return true
}

// replacePlanned starts the empty office first, and stops the old one once the new one has caught up.
func (d *routedDay) replacePlanned(f Fault, o *routedOffice) bool {
	if !d.spare(o) || len(d.springs) > 0 {
		return false
	}
	fresh := d.empty(o.zone)
	var look func()
	look = func() {
		switch {
		case d.handed || !fresh.up || !o.up:
		case !fresh.caughtUp() || !d.spare(o):
			d.at(d.nowUs+200*ms, look)
		default:
			d.count(f)
			d.terminate(o, func() {})
		}
	}
	d.at(d.nowUs+2*sec, look)
	return true
}

func (d *routedDay) pairFault(f Fault, a, b *routedOffice) bool {
	if b == nil || d.tolerated() < 2 {
		return false
	}
	switch f.Kind {
	case "kill-pair", "power-pair":
		for _, o := range []*routedOffice{a, b} {
			torn := 0
			if f.Kind == "power-pair" {
				torn = f.N % 4
			}
			d.killOffice(o, torn, f.ForUs)
		}
	case "freeze-pair":
		d.freeze(&a.machine, f.ForUs)
		d.freeze(&b.machine, f.ForUs)
	case "cut-pair":
		for _, other := range d.offices {
			if other == a || other == b || other.removed {
				continue
			}
			for _, o := range []*routedOffice{a, b} {
				d.cut(o.name, other.name, f.ForUs)
				d.cut(other.name, o.name, f.ForUs)
			}
		}
	case "replace-pair":
		return d.replace(f, a, b)
	}
	return true
}

// killZone takes every machine of a zone at once; their disks last.
func (d *routedDay) killZone(zone string, f Fault) {
	for _, o := range d.upOffices() {
		if o.zone == zone {
			d.killOffice(o, f.N%3, f.ForUs)
		}
	}
	for _, t := range d.desks {
		if t.zone == zone && t.up {
			t.crash(false)
			d.at(d.nowUs+f.ForUs, t.start)
		}
	}
	for _, p := range d.running("") {
		if p.core.Zone() == zone {
			p.end(true)
			d.at(d.nowUs+f.ForUs, func() { d.successor(p, "") })
		}
	}
}

// afterAck waits for the next acknowledged change: power is lost there, or the disk.
func (d *routedDay) afterAck(f Fault) bool {
	wipe := strings.HasPrefix(f.Kind, "wipe-")
	pair := f.Kind == "wipe-pair-after-ack"
	if len(d.springs) > 0 || (pair && d.tolerated() < 2) {
		return false
	}
	d.springs = append(d.springs, &spring{fault: f, wipe: wipe, act: func(o *routedOffice) {
		struck := []*routedOffice{o}
		if other := d.mate(o, f.B); pair && other != nil {
			struck = append(struck, other)
		}
		if !o.up || (wipe && !d.spare(struck...)) {
			return
		}
		d.count(f)
		for _, o := range struck {
			d.note("%s at %s", f.Kind, o.name)
			o.crash(f.N % 4)
			if wipe {
				o.disk = disk{identity: o.name + "-" + d.newInc()}
			}
			d.at(d.nowUs+f.ForUs, o.start)
		}
	}})
	d.ops.do(d.ops.change)
	return true
}

func (d *routedDay) deskFault(f Fault, t *routedDesk) bool {
	if !t.up || t.term {
		return false
	}
	switch f.Kind {
	case "kill-desk":
		t.crash(false)
		d.at(d.nowUs+f.ForUs, t.start)
	case "herd-kill":
		for i, t := range d.desks {
			if (i+f.A)%2 == 0 && t.up {
				t.crash(false)
				d.at(d.nowUs+f.ForUs, t.start)
			}
		}
	case "freeze-desk":
		d.freeze(&t.machine, f.ForUs)
	case "clock-step":
		t.skewUs += int64(f.N) * 500 * ms
		d.seen.Troubles = append(d.seen.Troubles, rules.Trouble{Machine: t.name, Kind: "clock", FromUs: d.nowUs, ToUs: d.nowUs})
	case "cut-desk":
		for _, o := range d.offices {
			d.cut(o.name, t.name, f.ForUs)
			d.cut(t.name, o.name, f.ForUs)
		}
	case "roll-desks":
		for i, t := range d.desks {
			d.at(d.nowUs+int64(i)*9*sec, func() {
				t.stop(func() { d.at(d.nowUs+400*ms, t.start) })
			})
		}
	}
	return true
}

func (d *routedDay) replicaFault(f Fault, p *replicaNode, cards []*replicaNode) bool {
	if p.core.Draining {
		return false
	}
	switch f.Kind {
	case "crash-replica":
		if logs := d.running("log"); f.B%2 == 1 && len(logs) > 1 {
			p = logs[f.A%len(logs)]
		}
		p.end(true)
		d.at(d.nowUs+f.ForUs, func() { d.successor(p, p.addr) })
	case "lose-replica":
		if len(cards) <= d.plan.Cards-1 {
			return false
		}
		p.end(true)
	case "reuse-address":
		logs := d.running("log")
		if len(logs) < 2 {
			return false
		}
		logs[0].end(true)
		addr := logs[0].addr
		d.at(d.nowUs+reuseUs, func() { d.newLife("reused", "log-b", logs[0].core.Zone(), addr, nil) })
		d.at(d.nowUs+4*sec, func() { d.successor(logs[0], "") })
	case "dark-replica":
		for _, m := range d.machines() {
			d.cut(m, p.name, f.ForUs)
			d.cut(p.name, m, f.ForUs)
		}
	case "notice", "notice-race":
		p.taken(sec + f.ForUs)
		d.at(d.nowUs+sec+f.ForUs+500*ms, func() { d.fresh(p) })
		if f.Kind == "notice-race" {
			if o, ok := pickOf(d.upOffices(), f.B); ok {
				d.killOffice(o, 0, f.ForUs)
			}
		}
	case "withdraw":
		d.fresh(p)
		p.withdraw()
	case "scale-in":
		if len(cards) <= d.plan.Cards-1 {
			return false
		}
		p.drain()
	case "release":
		for i, p := range cards {
			d.at(d.nowUs+int64(i)*1500*ms, func() {
				if p.up && !p.core.Draining {
					d.fresh(p)
					p.drain()
				}
			})
		}
	case "failing-replica":
		d.ill(p, f, func(p *replicaNode) { p.failing = func(n int) bool { return n%5 < 2 } })
	case "turning-replica":
		d.ill(p, f, func(p *replicaNode) { p.turning = func(n int) bool { return n%5 < 3 } })
	case "breaking-replica":
		d.ill(p, f, func(p *replicaNode) { p.breaking = func(n int) bool { return n%3 == 0 } })
	case "grey-errors", "grey-shed", "grey-busy", "grey-hang", "grey-reset", "grey-mute", "grey-one-zone", "lying-errors", "lying-hang", "lying-reset", "answer-lost":
		d.ill(p, f, func(p *replicaNode) { p.ail = d.ailing(f) })
	case "grey-slow":
		d.ill(p, f, func(p *replicaNode) { p.slowX = 8 })
	case "drop-idle":
		d.ill(p, f, func(p *replicaNode) { p.dropsIdle = d.once(f) })
	case "flap":
		d.flap(p, f)
	case "unheard-leave":
		d.unheard(p, f)
	default:
		panic("no fault " + f.Kind)
	}
	return true
}

// ill makes a replica fail for a while, and with it a replica of short requests, or all of those.
func (d *routedDay) ill(p *replicaNode, f Fault, begin func(*replicaNode)) {
	sick := []*replicaNode{p}
	if f.Kind == "turning-replica" {
		sick = append(sick, append(d.running("log"), d.running("log-b")...)...)
	} else if log, ok := pickOf(d.running("log"), f.A); ok {
		sick = append(sick, log)
	}
	for _, p := range sick {
		begin(p)
	}
	d.at(d.nowUs+f.ForUs, func() {
		for _, p := range sick {
			p.well()
		}
	})
}

// once counts a fault the first time it has an effect.
func (d *routedDay) once(f Fault) func() {
	counted := false
	return func() {
		if !counted {
			counted = true
			d.count(f)
		}
	}
}

// ailing is how a replica fails the requests that it is dealt: two in five, or all where it lies, or those of
// one zone's desks.
func (d *routedDay) ailing(f Fault) func(n int, from string) replica.Ailment {
	struck := d.once(f)
	zone := d.desks[f.B%len(d.desks)].zone
	return func(n int, from string) replica.Ailment {
		switch {
		case f.Kind == "grey-one-zone" && !slices.ContainsFunc(d.desks, func(t *routedDesk) bool { return t.name == from && t.zone == zone }),
			strings.HasPrefix(f.Kind, "grey-") && f.Kind != "grey-one-zone" && n%5 > 1,
			f.Kind == "answer-lost" && n%6 > 0:
			return replica.Sound
		}
		struck()
		return ailments[f.Kind]
	}
}

// flap takes a replica down and up by turns: each time a new life, or the same one that was not to be reached.
func (d *routedDay) flap(p *replicaNode, f Fault) {
	turnUs := 300*ms + int64(f.N)*80*ms
	for i := range 4 {
		d.at(d.nowUs+int64(2*i)*turnUs, func() {
			if f.B%2 == 0 {
				for _, m := range d.machines() {
					d.cut(m, p.name, turnUs)
					d.cut(p.name, m, turnUs)
				}
				return
			}
			if p.up {
				p.end(true)
				d.at(d.nowUs+turnUs, func() { p = d.successor(p, p.addr) })
			}
		})
	}
}

// unheard is a replica that leaves, whose word arrives and that hears no answer to it.
func (d *routedDay) unheard(p *replicaNode, f Fault) {
	for _, o := range d.offices {
		d.cut(o.name, p.name, 10*sec)
	}
	p.drain()
	d.at(d.nowUs+9500*ms, func() {
		if p.leave.AckedUs == 0 && !p.up {
			d.count(f)
		}
	})
}

func (d *routedDay) machines() []string {
	names := []string{}
	for _, o := range d.offices {
		names = append(names, o.name)
	}
	for _, t := range d.desks {
		names = append(names, t.name)
	}
	return names
}

// seeded is a change of a desk's settings that it was told of.
func (t *routedDesk) seeded() {
	t.day.seen.Terms = append(t.day.seen.Terms, rules.Term{Machine: t.name, AtUs: t.day.nowUs, Hup: true})
	t.reseed(t.day.seeds)
}

// heal ends every fault: all machines are back and every link is whole.
func (d *routedDay) heal() {
	d.note("healed")
	d.springs, d.taking, d.handed = nil, nil, true
	for i := range d.seen.Cuts {
		d.seen.Cuts[i].ToUs = min(d.seen.Cuts[i].ToUs, d.nowUs)
	}
	for i := range d.seen.Troubles {
		if t := &d.seen.Troubles[i]; t.ToUs != rules.Open && t.ToUs > d.nowUs {
			t.ToUs = d.nowUs
		}
	}
	d.cuts = map[[2]string]int{}
	d.loss, d.clients.perSec, d.clients.rareX = 0, d.plan.PerSec, 1
	for _, o := range d.offices {
		o.thawUs = min(o.thawUs, d.nowUs)
		o.disk.stallUs, o.disk.slowUs, o.disk.full = min(o.disk.stallUs, d.nowUs), 0, false
		o.start()
	}
	for _, t := range d.desks {
		t.thawUs = min(t.thawUs, d.nowUs)
		if !t.term {
			t.start()
		}
	}
	for len(d.running("cards")) < d.plan.Cards {
		d.newLife("gpu-more-"+d.newInc(), "cards", "a", "", nil)
	}
	for _, p := range d.running("") {
		p.well()
	}
}

// close is the fault that ends the day, right after one more change was acknowledged.
func (d *routedDay) close(kind string) {
	struck := false
	strike := func(o *routedOffice) {
		if struck {
			return
		}
		struck = true
		downUs := 500*ms + d.r.Int63n(sec)
		d.seen.Closing = &rules.Closing{AtUs: d.nowUs, BackUs: d.nowUs + downUs, Most: true}
		d.note("closing fault %s after an acknowledgement by %s", kind, o.name)
		d.count(Fault{Kind: "closing-" + kind})
		wiped := []*routedOffice{o}
		if other := d.mate(o, d.r.Intn(100)); d.tolerated() > 1 && other != nil {
			wiped = append(wiped, other)
		}
		if kind == "wipe-after-ack-all" && d.spare(wiped...) {
			for _, o := range wiped {
				o.crash(0)
				o.disk = disk{identity: o.name + "-" + d.newInc()}
			}
		}
		for _, o := range d.offices {
			torn := 0
			if kind != "kill-all" {
				torn = d.r.Intn(4)
			}
			o.crash(torn)
			d.at(d.nowUs+downUs, o.start)
		}
		for _, t := range d.desks {
			t.crash(false)
			d.at(d.nowUs+downUs, t.start)
		}
		if d.plan.Plant == "ruin" {
			for _, p := range d.running("") {
				p.end(true)
			}
		}
	}
	d.springs = []*spring{{act: strike}}
	d.ops.do(d.ops.change)
	for limitUs := d.nowUs + 20*sec; !struck && d.nowUs < limitUs; {
		d.runUntil(d.nowUs + 50*ms)
	}
	if !struck {
		if o, ok := pickOf(d.upOffices(), 0); ok {
			strike(o)
		}
	}
	if d.seen.Closing == nil {
		d.seen.Closing = &rules.Closing{AtUs: d.nowUs, BackUs: d.nowUs}
	}
}
