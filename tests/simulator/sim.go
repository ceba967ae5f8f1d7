package simulator

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sort"

	"petreltide/examples"
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/tests/modelserver"
	"petreltide/tests/platform"
	"petreltide/tests/rules"
)

const (
	ms  = int64(1_000)
	sec = int64(1_000_000)
)

// Plan is a day: its machines, its demand in calls a second, its faults, and a defect to plant, if any.
type Plan struct {
	Seed         int64
	ControlNodes int
	Gateways     int
	Replicas     int
	SpanUs       int64
	PerSec       float64
	Loss         float64
	Faults       []Fault
	Changes      bool
	Ops          []int
	Doc          *configuration.Declaration
	Plant        string
	Declared     bool
	CalmUs       int64
	Steps        int
	// Trace, where it is set, is shown each event and all that is sent, ordered and applied, with its time.
	Trace func(atUs int64, kind string, what any)
}

type item struct {
	atUs int64
	seq  uint64
	act  func()
}

type queue []*item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].atUs != q[j].atUs {
		return q[i].atUs < q[j].atUs
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*item)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Sim drives the reducers of every role under one virtual clock.
type Sim struct {
	plan         Plan
	r            *rand.Rand
	nowUs        int64
	q            queue
	seq          uint64
	cuts         map[[2]string]int
	loss         float64
	controlNodes []*controlNode
	gateways     []*gatewayNode
	servers      map[string]*serverNode
	plat         *platform.Platform
	platMood     string
	watch        *rules.Monitor
	agreed       map[uint64]string
	ops          *operators
	told         []rules.ClientAttempt
	caused       map[string]int
	traps        []trap
	healed       bool
	rareOnly     bool
	calls        int
	seeds        []string
	incarnations int
	events       int
	Log          []string
	trace        func(atUs int64, kind string, what any)
}

type machine struct {
	sim    *Sim
	name   string
	addr   string
	up     bool
	boot   int
	thawUs int64
	skewUs int64
}

func (m *machine) clock() int64 { return m.sim.nowUs + m.skewUs }

// later runs act on this machine if the same process is still there; a frozen one runs it on waking.
func (m *machine) later(afterUs int64, act func()) {
	boot := m.boot
	m.sim.at(m.sim.nowUs+afterUs, func() { m.now(boot, act) })
}

func (m *machine) now(boot int, act func()) {
	if !m.up || m.boot != boot {
		return
	}
	if m.thawUs > m.sim.nowUs {
		m.sim.at(m.thawUs, func() { m.now(boot, act) })
		return
	}
	act()
}

func (s *Sim) at(us int64, act func()) {
	s.seq++
	heap.Push(&s.q, &item{us, s.seq, act})
}

func (s *Sim) note(format string, args ...any) {
	if len(s.Log) < 4000 {
		s.Log = append(s.Log, fmt.Sprintf("%9.3f ", float64(s.nowUs)/1e6)+fmt.Sprintf(format, args...))
	}
}

func (s *Sim) show(kind string, what any) {
	if s.trace != nil {
		s.trace(s.nowUs, kind, what)
	}
}

func (s *Sim) newIncarnation() string {
	s.incarnations++
	return fmt.Sprintf("i%d", s.incarnations)
}

func (s *Sim) isCut(from, to string) bool { return s.cuts[[2]string{from, to}] > 0 }

// send carries act from one machine to another: cut, lost, late or out of order.
func (s *Sim) send(from, to *machine, act func()) {
	if s.isCut(from.name, to.name) || s.r.Float64() < s.loss {
		return
	}
	delayUs := 100 + s.r.Int63n(2000)
	if s.r.Intn(200) == 0 {
		delayUs += s.r.Int63n(80 * ms)
	}
	s.at(s.nowUs+delayUs, func() {
		if s.isCut(from.name, to.name) {
			return
		}
		to.now(to.boot, act)
	})
}

// Doc is a small deployment with three kinds, eight models and four adapters.
func Doc() *configuration.Declaration {
	d := &configuration.Declaration{
		Name: "sim", Zones: []string{"a", "b", "c"}, Replica: configuration.Replica{CapacityMB: 4000},
		Store: configuration.Store{Loads: 3, MBPerSecond: 4000, BurstMB: 2000}, Scaler: configuration.Scaler{StandbyReplicas: 1, LatencyTolerancePct: 10, WindowMs: 5000},
		Kinds: []configuration.Kind{
			{Name: "pages", Urgency: 3, Resumable: true, DeadlineMs: 20_000},
			{Name: "letters", Urgency: 5, DeadlineMs: 15_000},
			{Name: "fixes", Urgency: 8, DeadlineMs: 8_000},
		},
		Policy: configuration.Policy{Name: "steady", Source: examples.Steady},
	}
	for i := 0; i < 8; i++ {
		m := configuration.Model{Name: fmt.Sprintf("m%d", i), SizeMB: 300 + int64(i)*100, LoadMs: 300, Weight: 8 - i}
		for n := 1; n <= 4; n++ {
			m.Capacity = append(m.Capacity, configuration.CapacityPoint{Replicas: n, CallsPerSecond: float64(20 * n), LatencyMs: int64(200 - 10*n)})
		}
		d.Models = append(d.Models, m)
		if i < 4 {
			d.Adapters = append(d.Adapters, configuration.Adapter{Name: "a-" + m.Name, Model: m.Name, SizeMB: 60, LoadMs: 60})
		}
	}
	return d
}

// New sets up a day; Run plays it.
func New(plan Plan) *Sim {
	s := &Sim{
		plan: plan, r: rand.New(rand.NewSource(plan.Seed)), cuts: map[[2]string]int{}, loss: plan.Loss,
		servers: map[string]*serverNode{}, watch: rules.NewMonitor(), agreed: map[uint64]string{}, nowUs: sec, caused: map[string]int{}, trace: plan.Trace,
	}
	if plan.Doc == nil {
		s.plan.Doc = Doc()
	}
	d := s.plan.Doc
	s.plat = platform.New(platform.NewStore(d.Store.Loads, d.Store.MBPerSecond, d.Store.BurstMB))
	if plan.Plant == "strict-store" {
		s.plat.Store.BurstMb /= 2
	}
	for i := 0; i < plan.ControlNodes; i++ {
		s.seeds = append(s.seeds, fmt.Sprintf("core-%d:1", i))
	}
	for i := 0; i < plan.ControlNodes; i++ {
		s.controlNodes = append(s.controlNodes, newControlNode(s, fmt.Sprintf("core-%d", i), s.seeds[i], d.Zones[i%len(d.Zones)], plan.ControlNodes))
	}
	for i := 0; i < plan.Replicas; i++ {
		s.addServer(fmt.Sprintf("gpu-%d", i), d.Zones[i%len(d.Zones)])
	}
	for i := 0; i < plan.Gateways; i++ {
		s.gateways = append(s.gateways, newGateway(s, fmt.Sprintf("front-%d", i), d.Zones[i%len(d.Zones)]))
	}
	s.ops = newOperators(s)
	return s
}

func (s *Sim) step() bool {
	if len(s.q) == 0 {
		return false
	}
	it := heap.Pop(&s.q).(*item)
	s.nowUs = max(s.nowUs, it.atUs)
	s.show("event", it.seq)
	it.act()
	s.events++
	return len(s.watch.Breaches) == 0
}

func (s *Sim) runUntil(us int64) bool {
	for len(s.q) > 0 && s.q[0].atUs <= us {
		if !s.step() {
			return false
		}
	}
	s.nowUs = max(s.nowUs, us)
	return true
}

// Outcome is what became of a day.
type Outcome struct {
	Breaches []rules.Breach
	Calls    int
	Ended    int
	Told     []rules.ClientAttempt
	Loads    int
	LoadMb   int64
	Events   int
	Log      []string
	Codes    map[string]int
	Caused   map[string]int
	Fetches  []platform.Fetch
	Stakes   map[string]int
}

// Run plays the whole plan: bring-up, demand with faults, healing, and the return to usual service.
func Run(plan Plan) Outcome {
	s := New(plan)
	s.ops.begin()
	up := func() bool { return s.ops.grown && s.settled() }
	ok := true
	for limitUs := s.nowUs + 40*sec + int64(plan.Steps)*3*sec; ok && !up(); {
		ok = s.runUntil(s.nowUs + 100*ms)
		if s.nowUs > limitUs {
			s.watch.Break(rules.PoorService, "the fleet did not come up: %s", s.why())
			ok = false
		}
	}
	calmUs := s.nowUs
	startUs := calmUs + plan.CalmUs
	endUs := startUs + plan.SpanUs
	if ok {
		s.note("up")
		s.demand(endUs)
		ok = s.runUntil(startUs)
	}
	if ok {
		if plan.Changes {
			s.ops.play(endUs)
		}
		lastUs := endUs
		for _, f := range plan.Faults {
			fault := f
			s.at(startUs+fault.AtUs, func() { s.cause(fault) })
			lastUs = max(lastUs, startUs+fault.AtUs+fault.ForUs)
		}
		ok = s.runUntil(lastUs)
		if ok {
			s.heal()
			healedUs := s.nowUs
			s.demand(healedUs + rules.RecoverUs + judgeUs)
			s.ops.restore()
			ok = s.runUntil(healedUs + rules.RecoverUs)
			fromUs := s.nowUs
			ok = ok && s.runUntil(fromUs+judgeUs)
			ok = ok && s.runUntil(fromUs+judgeUs+12*sec)
			if ok {
				s.judgeService(startUs-min(judgeUs, plan.CalmUs), startUs, fromUs, fromUs+judgeUs)
				s.judgeSlots()
				s.ops.judge()
			}
		}
	}
	return s.outcome()
}

func (s *Sim) outcome() Outcome {
	out := Outcome{Breaches: s.watch.Breaches, Calls: len(s.told), Told: s.told, Events: s.events, Log: s.Log, Codes: map[string]int{}, Fetches: s.plat.Store.Fetches, Caused: s.caused, Stakes: s.watch.Stakes}
	for _, f := range s.plat.Store.Fetches {
		if s.plan.Declared && f.AtUs < warmUs {
			continue
		}
		out.Loads++
		out.LoadMb += f.SizeMb
	}
	for _, t := range s.told {
		if t.Complete {
			out.Ended++
		} else {
			out.Codes[t.Code]++
		}
	}
	return out
}

const warmUs = 25 * sec

// Play runs demand over faults from a fixed moment on, for comparing: the same seed gives every
// policy the same calls at the same times, whatever the policy does with them.
func Play(plan Plan) Outcome {
	s := New(plan)
	s.ops.begin()
	ok := s.runUntil(warmUs)
	s.demand(warmUs + plan.SpanUs)
	for _, f := range plan.Faults {
		fault := f
		s.at(warmUs+fault.AtUs, func() { s.cause(fault) })
	}
	if ok {
		s.runUntil(warmUs + plan.SpanUs + 20*sec)
	}
	return s.outcome()
}

const (
	judgeUs    = 8 * sec
	shareLeast = 12
	tailLeast  = 20
)

type served struct {
	calls, ended int
	firsts       []float64
	codes        map[string]int
}

// service sums what callers got, by kind and once more for the rare half of the models.
func (s *Sim) service(fromUs, toUs int64) map[string]*served {
	rows := map[string]*served{}
	rare := map[string]bool{}
	for _, m := range s.plan.Doc.Models[len(s.plan.Doc.Models)/2:] {
		rare[m.Name] = true
	}
	for _, t := range s.told {
		if t.StartUs < fromUs || t.StartUs >= toUs || t.Code == "hung up" {
			continue
		}
		names := []string{"all", t.Kind}
		if rare[t.Model] {
			names = append(names, "rare models")
		}
		for _, name := range names {
			row := rows[name]
			if row == nil {
				row = &served{codes: map[string]int{}}
				rows[name] = row
			}
			row.calls++
			if !t.Complete {
				row.codes[t.Code]++
				continue
			}
			row.ended++
			row.firsts = append(row.firsts, float64(t.FirstUs-t.StartUs)/1000)
		}
	}
	for _, row := range rows {
		sort.Float64s(row.firsts)
	}
	return rows
}

func (r *served) share() float64 { return float64(r.ended) / float64(max(1, r.calls)) }

func (r *served) p95Ms() float64 {
	if len(r.firsts) == 0 {
		return 0
	}
	return r.firsts[min(len(r.firsts)-1, len(r.firsts)*95/100)]
}

// judgeService holds each kind, and the rare models, against the same run before its faults.
func (s *Sim) judgeService(calmUs, faultsUs, fromUs, toUs int64) {
	before, after := s.service(calmUs, faultsUs), s.service(fromUs, toUs)
	if row := after["all"]; row == nil || row.share() < 0.9 {
		s.watch.Break(rules.PoorService, "12 s after healing %+v: %s", row, s.why())
		return
	}
	if s.plan.CalmUs == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		b, a := before[name], after[name]
		if b == nil || b.calls < shareLeast || a.calls < shareLeast {
			continue
		}
		s.watch.Stake(rules.PoorService)
		if a.share() < b.share()-0.1 {
			s.watch.Break(rules.PoorService, "%s: %.2f ended well of %d 12 s after healing, %.2f before the faults: %v %s", name, a.share(), a.calls, b.share(), a.codes, s.why())
		}
		if len(b.firsts) >= tailLeast && len(a.firsts) >= tailLeast && a.p95Ms() > 2*b.p95Ms()+300 {
			s.watch.Break(rules.PoorService, "%s: first piece p95 %.0f ms 12 s after healing, %.0f ms before the faults: %s", name, a.p95Ms(), b.p95Ms(), s.why())
		}
	}
}

// judgeSlots: when every caller has had its answer, no gateway may think that an attempt still runs.
func (s *Sim) judgeSlots() {
	for _, d := range s.gateways {
		busy := 0
		for _, n := range d.decider.Status().InFlight {
			busy += n
		}
		if busy > 0 && len(d.calls) == 0 {
			s.watch.Break(rules.PoorService, "%s keeps %d slots for nobody", d.name, busy)
		}
	}
}

func (s *Sim) settled() bool {
	held := map[string]bool{}
	for _, p := range s.servers {
		for _, h := range p.core.State().Loaded {
			held[h.Unit] = true
		}
	}
	for _, m := range s.plan.Doc.Models {
		if !held[m.Name] {
			return false
		}
	}
	for _, d := range s.gateways {
		if d.up && d.clock() >= d.leaseUs {
			return false
		}
	}
	return true
}

func (s *Sim) why() string {
	text := ""
	for _, o := range s.controlNodes {
		if !o.up {
			text += fmt.Sprintf("[%s down] ", o.name)
			continue
		}
		n := o.core.Node
		text += fmt.Sprintf("[%s %s view %d head %v open %v commit %d/%d waits %q duty %v] ", o.name, n.Phase(), n.View().Number, n.IsHead(),
			n.TailReady(o.clock()), n.CommitIndex(), n.LastIndex(), n.WaitReason(), o.core.Controller.IsLeader(n.State()))
	}
	for _, d := range s.gateways {
		text += fmt.Sprintf("[%s lease %dms waiting %d] ", d.name, (d.leaseUs-d.clock())/1000, d.decider.Status().Waiting)
	}
	return text
}

func (s *Sim) serverIDs() []string {
	return slices.Sorted(maps.Keys(s.servers))
}

func clone[T any](v T) T {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	var out T
	if err := json.Unmarshal(raw, &out); err != nil {
		panic(err)
	}
	return out
}

type serverNode struct {
	machine
	core        *modelserver.Core
	zone        string
	incarnation string
	leaving     bool
}

func (s *Sim) slots() int {
	if s.plan.Declared {
		return 16
	}
	return 8
}

func (s *Sim) addServer(id, zone string) *serverNode {
	p := s.servers[id]
	boot := 1
	if p != nil {
		p.up = false
		boot = p.boot + 1
	}
	roomMb := s.plan.Doc.Replica.CapacityMB
	if s.plan.Plant == "narrow" {
		roomMb /= 3
	}
	firstUs, partUs, pieceUs, slots := 15*ms, 8*ms, 6*ms, s.slots()
	loadUs := func(sizeMb int64) int64 { return 50*ms + sizeMb*300 }
	if s.plan.Declared {
		firstUs, partUs, pieceUs = 60*ms, 40*ms, 25*ms
		loadUs = func(int64) int64 { return 0 }
	}
	p = &serverNode{machine: machine{sim: s, name: id, addr: fmt.Sprintf("%s:%d", id, boot), up: true, boot: boot}, zone: zone, incarnation: s.newIncarnation()}
	p.core = modelserver.NewCore(modelserver.Options{
		ID: id, Incarnation: p.incarnation, Zone: zone, RoomMb: roomMb, Slots: slots, FirstUs: firstUs, PartUs: partUs, PieceUs: pieceUs, Fetch: true, LoadUs: loadUs,
		Journal: func(l modelserver.Line) {
			switch {
			case l.Run != nil:
				s.watch.Run(*l.Run)
			case l.End != nil && l.End.Ended:
				s.watch.Completed(l.End.Attempt)
			case l.End != nil:
				s.watch.Interrupted(*l.End)
			case l.Order != nil:
				s.watch.Order(*l.Order)
				s.ops.sawOrder(*l.Order)
				s.stakeRoom(p, *l.Order)
			}
		},
	})
	s.servers[id] = p
	s.plat.Set(wire.ListedReplica{ID: id, Addr: p.addr, Zone: zone, CapacityMB: s.plan.Doc.Replica.CapacityMB, Slots: slots, State: wire.ListedReady})
	p.beat()
	return p
}

// stakeRoom: a load was at stake when the smallest model would not have fitted beside it.
func (s *Sim) stakeRoom(p *serverNode, o modelserver.OrderSeen) {
	if !o.Taken || o.Step != "load" {
		return
	}
	leastMb := s.plan.Doc.Replica.CapacityMB
	for _, m := range s.plan.Doc.Models {
		leastMb = min(leastMb, m.SizeMB)
	}
	sizeMb, _, _ := s.plan.Doc.UnitSize(o.Unit)
	if p.core.TakenMb()+sizeMb+leastMb > s.plan.Doc.Replica.CapacityMB {
		s.watch.Stake(rules.OverCapacity)
	}
}

func (s *Sim) setStore(store configuration.Store) {
	s.plat.Store.Limit(s.nowUs, store.Loads, store.MBPerSecond)
}

func (p *serverNode) beat() {
	p.later(10*ms, func() {
		p.core.Tick(p.sim.nowUs)
		p.beat()
	})
}

func (p *serverNode) take(o wire.Order) wire.OrderState {
	s := p.sim
	state, fetch := p.core.Take(s.nowUs, o)
	if !fetch {
		return state
	}
	before := len(s.plat.Store.Broken)
	if store := s.plat.Store; store.Running()+1 >= store.Loads || store.LevelMb(s.nowUs)+float64(o.Command.SizeMB) > 0.8*float64(store.BurstMb) {
		s.watch.Stake(rules.OverStore)
	}
	s.plat.Store.Fetch(s.nowUs, platform.Fetch{Replica: p.addr, Unit: o.Command.Unit, SizeMb: o.Command.SizeMB})
	for _, b := range s.plat.Store.Broken[before:] {
		s.watch.Break(rules.OverStore, "%s", b)
	}
	holdUs := p.core.LoadUs(o.Command.SizeMB)
	if _, loadMs, known := s.plan.Doc.UnitSize(o.Command.Unit); known && s.plan.Declared {
		holdUs = loadMs * ms
	}
	if s.plan.Plant == "sluggish" && s.nowUs > 20*sec {
		holdUs = 60 * sec
	}
	boot := p.boot
	s.at(s.nowUs+holdUs, func() {
		s.plat.Store.Done(p.addr)
		p.now(boot, func() { p.core.Fetched(s.nowUs, o.Command.Number) })
	})
	return state
}

func (p *serverNode) kill() {
	p.up = false
	for _, r := range p.core.Attempts() {
		p.sim.watch.Interrupted(r)
	}
	p.sim.plat.Store.Done(p.addr)
}
