package simulator

import (
	"fmt"
	"math/rand"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/tests/rules"
)

// Fault is one fault of a day. What A, B and N mean depends on its kind.
type Fault struct {
	Kind  string
	AtUs  int64
	ForUs int64
	A, B  int
	N     int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1fs for %.1fs (%d, %d, %d)", f.Kind, float64(f.AtUs)/1e6, float64(f.ForUs)/1e6, f.A, f.B, f.N)
}

var kinds = []string{
	"crash-office", "crash-office", "lossy-office", "torn-office", "wipe-office", "freeze-office", "stall-disk", "slow-disk",
	"cut-office", "one-way", "split-core", "cut-core", "crash-desk", "freeze-desk", "cut-desk", "crash-replica", "dark-replica", "freeze-replica",
	"notice", "notice-race", "same-address", "list-down", "list-empty", "list-stale", "loss", "clock-jump", "kill-offices", "kill-everything", "crowd", "crowd-rare", "swap-seeds",
	"lose-zone", "roll-replicas", "roll-offices", "old-office-returns", "full-disk",
	"power-config", "power-key", "power-ticket", "power-lease",
}

// trap waits for an acknowledgement of its kind, and takes the power of whoever gave it.
type trap struct {
	fault   Fault
	kind    string
	untilUs int64
}

// spring is told of every acknowledgement as it leaves.
func (s *Sim) spring(kind string, o *controlNode) {
	for i, t := range s.traps {
		if t.kind != kind || s.nowUs > t.untilUs {
			continue
		}
		s.traps = append(s.traps[:i:i], s.traps[i+1:]...)
		at := o
		if t.fault.B%2 == 1 {
			for _, other := range s.controlNodes {
				if other.up && other.core.Node.IsTail() {
					at = other
				}
			}
		}
		lossy := 0
		if !s.damaged() {
			lossy = 1 + t.fault.N%3
		}
		s.note("power of %s lost after a %s was acknowledged, %d records lost", at.name, kind, lossy)
		s.count(t.fault)
		s.at(s.nowUs, func() { s.crashControlNode(at, lossy, 0, t.fault.ForUs) })
		return
	}
}

func (s *Sim) count(f Fault) { s.caused[f.Kind]++ }

// deal goes through shuffled decks of all kinds, so that neighbouring seeds leave none out.
func deal(place int64) string {
	deck := rand.New(rand.NewSource(place / int64(len(kinds)))).Perm(len(kinds))
	return kinds[deck[place%int64(len(kinds))]]
}

// Draw picks faults from a seed. Damage that one surviving copy must make good is kept apart, as
// losing two copies at once is more than any of the deployments is meant to survive.
func Draw(seed int64, count int, spanUs int64) []Fault {
	r := rand.New(rand.NewSource(seed))
	faults := []Fault{}
	for i := 0; i < count; i++ {
		f := Fault{Kind: deal(seed*int64(count) + int64(i)), A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12)}
		f.AtUs = spanUs * int64(i) / int64(count)
		f.AtUs += r.Int63n(spanUs / int64(count))
		f.ForUs = 300*ms + r.Int63n(5*sec)
		switch {
		case i > 0 && r.Intn(3) == 0:
			f.AtUs = faults[i-1].AtUs + r.Int63n(500*ms)
		case i == count-1 && r.Intn(3) == 0:
			f.AtUs = spanUs - 200*ms
		}
		switch f.Kind {
		case "roll-offices":
			f.ForUs = 14 * sec
		case "roll-replicas":
			f.ForUs = 6 * sec
		}
		faults = append(faults, f)
	}
	return faults
}

func (s *Sim) cutBoth(a, b string, forUs int64) {
	s.cutOne(a, b, forUs)
	s.cutOne(b, a, forUs)
}

func (s *Sim) cutOne(a, b string, forUs int64) {
	s.cuts[[2]string{a, b}]++
	s.at(s.nowUs+forUs, func() { s.cuts[[2]string{a, b}] = max(0, s.cuts[[2]string{a, b}]-1) })
}

func (s *Sim) names() []string {
	names := []string{}
	for _, o := range s.controlNodes {
		names = append(names, o.name)
	}
	for _, d := range s.gateways {
		names = append(names, d.name)
	}
	return append(names, s.serverIDs()...)
}

func (s *Sim) damaged() bool {
	for _, o := range s.controlNodes {
		if !o.up || o.core.Node.Phase() != "serving" {
			return true
		}
	}
	return false
}

// cause brings a fault about, and counts it only where it was truly brought about.
func (s *Sim) cause(f Fault) {
	s.note("fault %s", f)
	o := s.controlNodes[f.A%len(s.controlNodes)]
	d := s.gateways[f.A%len(s.gateways)]
	ids := s.serverIDs()
	p := s.servers[ids[f.A%len(ids)]]
	done := true
	switch f.Kind {
	case "crash-office", "torn-office", "lossy-office":
		done = s.controlNodeFault(f, o)
	case "wipe-office":
		done = s.wipe(o, f.ForUs)
	case "old-office-returns":
		done = s.wipe(o, f.ForUs)
		if done {
			s.oldReturns(o, f)
		}
	case "roll-offices":
		s.rollControlNodes(f, 0)
		return
	case "full-disk":
		done = o.up
		o.disk.fill(s, f.ForUs)
	case "power-config", "power-key", "power-ticket", "power-lease":
		s.traps = append(s.traps, trap{f, f.Kind[len("power-"):], s.nowUs + f.ForUs + 4*sec})
		return
	case "freeze-office":
		done = o.up
		o.thawUs = max(o.thawUs, s.nowUs+f.ForUs)
	case "stall-disk":
		o.disk.stallUs = s.nowUs + f.ForUs
	case "slow-disk":
		o.disk.slowUs = int64(f.N) * 8 * ms
		s.at(s.nowUs+f.ForUs, func() { o.disk.slowUs = 0 })
	case "cut-office", "one-way", "split-core", "cut-core", "cut-desk", "dark-replica":
		s.cutFault(f, o, d, p)
	case "crash-desk":
		done = s.restartGateway(d, f.ForUs)
	case "freeze-desk":
		done = d.up
		d.thawUs = max(d.thawUs, s.nowUs+f.ForUs)
	case "crash-replica":
		done = s.retire(p, f.ForUs)
	case "same-address":
		addr, zone, id := p.addr, p.zone, p.name
		s.endServer(p)
		fresh := s.addServer(id, zone)
		fresh.addr = addr
		s.plat.Set(wire.ListedReplica{ID: id, Addr: addr, Zone: zone, CapacityMB: s.plan.Doc.Replica.CapacityMB, Slots: s.slots(), State: wire.ListedReady})
	case "roll-replicas":
		for i, id := range ids {
			s.at(s.nowUs+f.ForUs*int64(i)/int64(len(ids)), func() { s.retire(s.servers[id], 300*ms) })
		}
	case "freeze-replica":
		done = p.up
		p.thawUs = max(p.thawUs, s.nowUs+f.ForUs)
	case "notice":
		done = s.noticeReplica(p, f.ForUs+sec)
	case "notice-race":
		done = s.noticeReplica(p, f.ForUs+sec)
		s.crashControlNode(s.controlNodes[f.B%len(s.controlNodes)], 0, f.N, f.ForUs)
	case "list-down", "list-empty", "list-stale":
		s.platMood = f.Kind[len("list-"):]
		s.at(s.nowUs+min(f.ForUs, 2*sec), func() { s.platMood = "" })
	case "loss":
		before := s.loss
		s.loss = 0.05 + float64(f.N)/100
		s.at(s.nowUs+f.ForUs, func() { s.loss = before })
	case "clock-jump":
		o.skewUs += int64(f.N) * sec
		d.skewUs += int64(f.B) * 100 * ms
	case "kill-offices":
		for _, o := range s.controlNodes {
			lossy := 0
			if s.plan.Plant == "amnesia" {
				lossy = 10_000
			}
			s.crashControlNode(o, lossy, f.N, f.ForUs/2)
		}
	case "kill-everything":
		s.killEverything(f, ids)
	case "lose-zone":
		s.loseZone(s.plan.Doc.Zones[f.A%len(s.plan.Doc.Zones)], f)
	case "crowd", "crowd-rare":
		s.plan.PerSec *= 8
		s.rareOnly = s.rareOnly || f.Kind == "crowd-rare"
		s.at(s.nowUs+f.ForUs, func() {
			s.plan.PerSec /= 8
			s.rareOnly = false
		})
	case "swap-seeds":
		s.seeds = nil
		for _, d := range s.gateways {
			s.seeds = append(s.seeds, d.addr)
		}
		for _, o := range s.controlNodes {
			s.seeds = append(s.seeds, o.addr)
		}
	default:
		panic("no fault " + f.Kind)
	}
	if !done {
		s.note("left out %s: it cannot be caused now", f.Kind)
		return
	}
	s.count(f)
}

func (s *Sim) controlNodeFault(f Fault, o *controlNode) bool {
	lossy, torn := 0, 0
	switch f.Kind {
	case "torn-office":
		torn = f.N
	case "lossy-office":
		if s.damaged() {
			return false
		}
		lossy = f.N
	}
	return s.crashControlNode(o, lossy, torn, f.ForUs)
}

func (s *Sim) cutFault(f Fault, o *controlNode, d *gatewayNode, p *serverNode) {
	apart := func(name string) {
		for _, other := range s.names() {
			if other != name {
				s.cutBoth(name, other, f.ForUs)
			}
		}
	}
	switch f.Kind {
	case "cut-office":
		apart(o.name)
	case "one-way":
		s.cutOne(o.name, s.controlNodes[(f.A+1+f.B%2)%len(s.controlNodes)].name, f.ForUs)
	case "split-core":
		s.cutBoth(o.name, s.controlNodes[(f.A+1)%len(s.controlNodes)].name, f.ForUs)
	case "cut-core":
		for _, o := range s.controlNodes {
			apart(o.name)
		}
	case "cut-desk":
		apart(d.name)
	case "dark-replica":
		apart(p.name)
	}
}

// wipe puts an empty machine at a new address in a control node's place.
func (s *Sim) wipe(o *controlNode, forUs int64) bool {
	if s.damaged() || !o.up {
		return false
	}
	o.crash(0, 0)
	s.at(s.nowUs+forUs, func() {
		if !o.up {
			o.replaceEmpty()
		}
	})
	return true
}

func (o *controlNode) replaceEmpty() {
	o.disk = disk{identity: o.name + "-" + o.sim.newIncarnation()}
	o.addr = fmt.Sprintf("%s:%d", o.name, o.boot+1)
	o.founding = 0
	o.start()
	o.sim.newSeeds()
}

// newSeeds is what an operator writes into every settings file once a control node has another address.
func (s *Sim) newSeeds() {
	s.seeds = nil
	for _, o := range s.controlNodes {
		if o.name == o.named {
			s.seeds = append(s.seeds, o.addr)
		}
	}
}

// oldReturns starts the machine that was replaced, with its old disk, name and address.
func (s *Sim) oldReturns(o *controlNode, f Fault) {
	old := &controlNode{machine: machine{sim: s, name: o.name + "-old", addr: o.addr, boot: o.boot}, named: o.name, zone: o.zone, founding: o.founding, disk: o.disk}
	s.at(s.nowUs+f.ForUs+3*sec, func() {
		s.note("%s is back beside its replacement", old.name)
		s.controlNodes = append(s.controlNodes, old)
		old.start()
		s.at(s.nowUs+4*sec, func() {
			old.crash(0, 0)
			for i := range s.controlNodes {
				if s.controlNodes[i] == old {
					s.controlNodes = append(s.controlNodes[:i:i], s.controlNodes[i+1:]...)
					return
				}
			}
		})
	})
}

// rollControlNodes replaces one control node after another by an empty one at a new address, each once the
// one before serves; in the end no seed of old is left, and a gateway starts with the new ones.
func (s *Sim) rollControlNodes(f Fault, at int) {
	untilUs := s.nowUs + 8*sec
	if at == len(s.controlNodes) {
		s.restartGateway(s.gateways[f.A%len(s.gateways)], 300*ms)
		s.count(f)
		return
	}
	var next func()
	next = func() {
		if s.nowUs > untilUs || s.healed {
			return
		}
		if !s.wipe(s.controlNodes[at], 200*ms) {
			s.at(s.nowUs+100*ms, next)
			return
		}
		s.rollControlNodes(f, at+1)
	}
	next()
}

func (s *Sim) restartGateway(d *gatewayNode, forUs int64) bool {
	if !d.up {
		return false
	}
	d.crash()
	s.at(s.nowUs+forUs, func() {
		if !d.up {
			d.start()
		}
	})
	return true
}

func (s *Sim) killEverything(f Fault, ids []string) {
	for i, o := range s.controlNodes {
		lossy := 0
		if i == f.B%len(s.controlNodes) && !s.damaged() {
			lossy = f.N
		}
		s.crashControlNode(o, lossy, f.N, f.ForUs/3)
	}
	for _, d := range s.gateways {
		s.restartGateway(d, f.ForUs/3)
	}
	for _, id := range ids {
		s.retire(s.servers[id], f.ForUs/3)
	}
}

func (s *Sim) loseZone(zone string, f Fault) {
	for _, o := range s.controlNodes {
		if o.zone == zone {
			s.crashControlNode(o, 0, f.N, f.ForUs)
		}
	}
	for _, d := range s.gateways {
		if d.zone == zone {
			s.restartGateway(d, f.ForUs)
		}
	}
	for _, id := range s.serverIDs() {
		if p := s.servers[id]; p.zone == zone {
			s.retire(p, f.ForUs)
		}
	}
}

func (s *Sim) crashControlNode(o *controlNode, lossy, torn int, forUs int64) bool {
	if !o.up {
		return false
	}
	o.crash(lossy, torn)
	s.at(s.nowUs+forUs, func() {
		if !o.up {
			o.start()
		}
	})
	return true
}

func (s *Sim) endServer(p *serverNode) {
	p.kill()
	s.plat.Drop(p.name)
	s.watch.NoticeOver(p.name, s.nowUs)
}

func (s *Sim) retire(p *serverNode, forUs int64) bool {
	if !p.up {
		return false
	}
	s.endServer(p)
	s.at(s.nowUs+forUs, func() {
		if s.servers[p.name] == p {
			s.addServer(p.name, p.zone)
		}
	})
	return true
}

// noticeReplica shows it as leaving, and takes it away when its time is over.
func (s *Sim) noticeReplica(p *serverNode, leftUs int64) bool {
	if !p.up || p.leaving {
		return false
	}
	p.leaving = true
	s.plat.Set(wire.ListedReplica{ID: p.name, Addr: p.addr, Zone: p.zone, CapacityMB: s.plan.Doc.Replica.CapacityMB, Slots: s.slots(), State: wire.ListedDraining, RemainingMs: leftUs / 1000})
	var learned func()
	learned = func() {
		if toldUs := s.plat.ToldUs()[p.name]; toldUs != 0 {
			s.watch.Notice(rules.Interval{ID: p.name, FromUs: toldUs, ToUs: rules.Open})
			return
		}
		if p.up {
			s.at(s.nowUs+20*ms, learned)
		}
	}
	learned()
	s.at(s.nowUs+leftUs, func() {
		if s.servers[p.name] == p {
			s.retire(p, 400*ms)
		}
	})
	return true
}

// heal ends every fault: all machines are back and every pipe is whole.
func (s *Sim) heal() {
	s.note("healed")
	s.healed, s.traps = true, nil
	s.cuts = map[[2]string]int{}
	s.loss, s.platMood = 0, ""
	for _, o := range s.controlNodes {
		o.thawUs, o.disk.full = min(o.thawUs, s.nowUs), false
		o.disk.stallUs, o.disk.slowUs = min(o.disk.stallUs, s.nowUs), 0
		if !o.up {
			o.start()
		}
	}
	for _, d := range s.gateways {
		d.thawUs = min(d.thawUs, s.nowUs)
		if !d.up {
			d.start()
		}
	}
	for _, id := range s.serverIDs() {
		p := s.servers[id]
		p.thawUs = min(p.thawUs, s.nowUs)
		if !p.up {
			s.addServer(id, p.zone)
		}
	}
}

// FaultNames lists every fault that seeded days are dealt.
func FaultNames() []string {
	names := slices.Clone(kinds)
	slices.Sort(names)
	return slices.Compact(names)
}
