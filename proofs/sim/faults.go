package sim

import (
	"fmt"
	"math/rand"

	"petreltide/internal/wire"
	"petreltide/proofs/rules"
)

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
	"notice", "notice-race", "same-address", "list-down", "list-empty", "list-stale", "loss", "clock-jump", "kill-offices", "kill-everything", "crowd", "swap-seeds",
}

// Draw picks faults from a seed. Damage that one surviving copy must make good is kept apart, as
// losing two copies at once is more than any of the deployments is meant to survive.
func Draw(seed int64, count int, spanUs int64) []Fault {
	r := rand.New(rand.NewSource(seed))
	faults := []Fault{}
	for i := 0; i < count; i++ {
		f := Fault{Kind: kinds[r.Intn(len(kinds))], A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12)}
		f.AtUs = spanUs * int64(i) / int64(count)
		f.AtUs += r.Int63n(spanUs / int64(count))
		f.ForUs = 300*ms + r.Int63n(5*sec)
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
	for _, o := range s.offices {
		names = append(names, o.name)
	}
	for _, d := range s.desks {
		names = append(names, d.name)
	}
	return append(names, s.pressIDs()...)
}

func (s *Sim) damaged() bool {
	for _, o := range s.offices {
		if !o.up || o.core.Node.Phase() != "serving" {
			return true
		}
	}
	return false
}

func (s *Sim) cause(f Fault) {
	s.note("fault %s", f)
	o := s.offices[f.A%len(s.offices)]
	d := s.desks[f.A%len(s.desks)]
	ids := s.pressIDs()
	p := s.presses[ids[f.A%len(ids)]]
	switch f.Kind {
	case "crash-office", "torn-office", "lossy-office":
		lossy, torn := 0, 0
		if f.Kind == "torn-office" {
			torn = f.N
		}
		if f.Kind == "lossy-office" && !s.damaged() {
			lossy = f.N
		}
		s.crashOffice(o, lossy, torn, f.ForUs)
	case "wipe-office":
		if s.damaged() || !o.up {
			s.note("left out: another copy is being made good")
			return
		}
		o.crash(0, 0)
		s.at(s.nowUs+f.ForUs, func() {
			if !o.up {
				o.disk = disk{identity: o.name + "-" + s.newInc()}
				o.addr = fmt.Sprintf("%s:%d", o.name, o.boot+1)
				o.founding = 0
				o.start()
			}
		})
	case "freeze-office":
		o.thawUs = max(o.thawUs, s.nowUs+f.ForUs)
	case "stall-disk":
		o.disk.stallUs = s.nowUs + f.ForUs
	case "slow-disk":
		o.disk.slowUs = int64(f.N) * 8 * ms
		s.at(s.nowUs+f.ForUs, func() { o.disk.slowUs = 0 })
	case "cut-office":
		for _, name := range s.names() {
			if name != o.name {
				s.cutBoth(o.name, name, f.ForUs)
			}
		}
	case "one-way":
		s.cutOne(o.name, s.offices[(f.A+1+f.B%2)%len(s.offices)].name, f.ForUs)
	case "split-core":
		s.cutBoth(o.name, s.offices[(f.A+1)%len(s.offices)].name, f.ForUs)
	case "cut-core":
		for _, o := range s.offices {
			for _, name := range s.names() {
				s.cutBoth(o.name, name, f.ForUs)
			}
		}
	case "crash-desk":
		if d.up {
			d.crash()
			s.at(s.nowUs+f.ForUs, func() {
				if !d.up {
					d.start()
				}
			})
		}
	case "freeze-desk":
		d.thawUs = max(d.thawUs, s.nowUs+f.ForUs)
	case "cut-desk":
		for _, name := range s.names() {
			if name != d.name {
				s.cutBoth(d.name, name, f.ForUs)
			}
		}
	case "crash-replica":
		s.retire(p, f.ForUs)
	case "same-address":
		addr, zone, id := p.addr, p.zone, p.name
		s.endPress(p)
		fresh := s.addPress(id, zone)
		fresh.addr = addr
		s.plat.Set(wire.Listed{ID: id, Addr: addr, Zone: zone, RoomMb: s.plan.Doc.Replica.RoomMb, Slots: s.slots(), State: wire.ListedReady})
	case "dark-replica":
		for _, name := range s.names() {
			if name != p.name {
				s.cutBoth(p.name, name, f.ForUs)
			}
		}
	case "freeze-replica":
		p.thawUs = max(p.thawUs, s.nowUs+f.ForUs)
	case "notice":
		s.noticeReplica(p, f.ForUs+sec)
	case "notice-race":
		s.noticeReplica(p, f.ForUs+sec)
		s.crashOffice(s.offices[f.B%len(s.offices)], 0, f.N, f.ForUs)
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
		for _, o := range s.offices {
			lossy := 0
			if s.plan.Plant == "amnesia" {
				lossy = 10_000
			}
			s.crashOffice(o, lossy, f.N, f.ForUs/2)
		}
	case "kill-everything":
		for i, o := range s.offices {
			lossy := 0
			if i == f.B%len(s.offices) && !s.damaged() {
				lossy = f.N
			}
			s.crashOffice(o, lossy, f.N, f.ForUs/3)
		}
		for _, d := range s.desks {
			if d.up {
				d.crash()
				s.at(s.nowUs+f.ForUs/3, func() {
					if !d.up {
						d.start()
					}
				})
			}
		}
		for _, id := range ids {
			s.retire(s.presses[id], f.ForUs/3)
		}
	case "crowd":
		before := s.plan.PerSec
		s.plan.PerSec *= 8
		s.at(s.nowUs+f.ForUs, func() { s.plan.PerSec = before })
	case "swap-seeds":
		s.seeds = nil
		for _, d := range s.desks {
			s.seeds = append(s.seeds, d.addr)
		}
		for _, o := range s.offices {
			s.seeds = append(s.seeds, o.addr)
		}
	default:
		panic("no fault " + f.Kind)
	}
}

func (s *Sim) crashOffice(o *officeNode, lossy, torn int, forUs int64) {
	if !o.up {
		return
	}
	o.crash(lossy, torn)
	s.at(s.nowUs+forUs, func() {
		if !o.up {
			o.start()
		}
	})
}

func (s *Sim) endPress(p *pressNode) {
	p.kill()
	s.plat.Drop(p.name)
	s.watch.NoticeOver(p.name, s.nowUs)
}

func (s *Sim) retire(p *pressNode, forUs int64) {
	if !p.up {
		return
	}
	s.endPress(p)
	s.at(s.nowUs+forUs, func() {
		if s.presses[p.name] == p {
			s.addPress(p.name, p.zone)
		}
	})
}

// noticeReplica shows it as leaving, and takes it away when its time is over.
func (s *Sim) noticeReplica(p *pressNode, leftUs int64) {
	if !p.up {
		return
	}
	s.plat.Set(wire.Listed{ID: p.name, Addr: p.addr, Zone: p.zone, RoomMb: s.plan.Doc.Replica.RoomMb, Slots: s.slots(), State: wire.ListedDraining, LeftMs: leftUs / 1000})
	var learned func()
	learned = func() {
		if toldUs := s.plat.ToldUs()[p.name]; toldUs != 0 {
			s.watch.Notice(rules.Span{ID: p.name, FromUs: toldUs, ToUs: rules.Open})
			return
		}
		if p.up {
			s.at(s.nowUs+20*ms, learned)
		}
	}
	learned()
	s.at(s.nowUs+leftUs, func() {
		if s.presses[p.name] == p {
			s.retire(p, 400*ms)
		}
	})
}

// heal ends every fault: all machines are back and every pipe is whole.
func (s *Sim) heal() {
	s.note("healed")
	s.cuts = map[[2]string]int{}
	s.loss, s.platMood = 0, ""
	for _, o := range s.offices {
		o.thawUs = min(o.thawUs, s.nowUs)
		o.disk.stallUs, o.disk.slowUs = min(o.disk.stallUs, s.nowUs), 0
		if !o.up {
			o.start()
		}
	}
	for _, d := range s.desks {
		d.thawUs = min(d.thawUs, s.nowUs)
		if !d.up {
			d.start()
		}
	}
	for _, id := range s.pressIDs() {
		p := s.presses[id]
		p.thawUs = min(p.thawUs, s.nowUs)
		if !p.up {
			s.addPress(id, p.zone)
		}
	}
}
