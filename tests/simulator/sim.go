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
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

// DeclaredPlan is a day: its machines, its demand in calls a second, its faults, and a defect to plant, if any.
type DeclaredPlan struct {
	Seed                int64
	ControlNodes        int
	Gateways            int
	Replicas            int
	DurationUs          int64
	CallsPerSecond      float64
	LossRatio           float64
	Faults              []Fault
	Changes             bool
	ChangeSteps         []int
	Doc                 *configuration.Declaration
	Plant               string
	UseDeclaredReplicas bool
	QuietUs             int64
	Steps               int
	// Trace, where it is set, is shown each event and all that is sent, ordered and applied, with its time.
	Trace func(atUs int64, kind string, what any)
}

type simulatedEvent struct {
	atUs int64
	seq  uint64
	act  func()
}

type eventQueue []*simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].atUs != q[j].atUs {
		return q[i].atUs < q[j].atUs
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// DeclaredDay drives the reducers of every role under one virtual clock.
type DeclaredDay struct {
	plan         DeclaredPlan
	random       *rand.Rand
	nowUs        int64
	queue        eventQueue
	seq          uint64
	blockedLinks map[[2]string]int
	// heldLinks are what stands in the links that are cut; heldBytes and seed say what becomes of it.
	heldLinks      map[[2]string]*heldLink
	heldBytes      HeldBytes
	seed           int64
	loss           float64
	controlNodes   []*controlNode
	gateways       []*gatewayNode
	servers        map[string]*serverNode
	platform       *platform.Platform
	platformFault  string
	watch          *rules.Monitor
	agreedEntries  map[uint64]string
	operators      *operators
	results        []rules.ClientAttempt
	caused         map[string]int
	traps          []armedFault
	healed         bool
	onlyRareModels bool
	calls          int
	seeds          []string
	incarnations   int
	events         int
	Log            []string
	trace          func(atUs int64, kind string, what any)
}

type machine struct {
	sim    *DeclaredDay
	name   string
	addr   string
	up     bool
	boot   int
	thawUs int64
	skewUs int64
}

func (m *machine) clock() int64 { return m.sim.nowUs + m.skewUs }

// after runs act on this machine if the same process is still there; a frozen one runs it on waking.
func (m *machine) after(afterUs int64, act func()) {
	boot := m.boot
	m.sim.schedule(m.sim.nowUs+afterUs, func() { m.deliver(boot, act) })
}

func (m *machine) deliver(boot int, act func()) {
	if !m.up || m.boot != boot {
		return
	}
	if m.thawUs > m.sim.nowUs {
		m.sim.schedule(m.thawUs, func() { m.deliver(boot, act) })
		return
	}
	act()
}

func (s *DeclaredDay) schedule(us int64, act func()) {
	s.seq++
	heap.Push(&s.queue, &simulatedEvent{us, s.seq, act})
}

func (s *DeclaredDay) logf(format string, args ...any) {
	if len(s.Log) < 4000 {
		s.Log = append(s.Log, fmt.Sprintf("%9.3f ", float64(s.nowUs)/1e6)+fmt.Sprintf(format, args...))
	}
}

func (s *DeclaredDay) logValue(kind string, what any) {
	if s.trace != nil {
		s.trace(s.nowUs, kind, what)
	}
}

func (s *DeclaredDay) nextIncarnation() string {
	s.incarnations++
	return fmt.Sprintf("i%d", s.incarnations)
}

func (s *DeclaredDay) isCut(from, to string) bool { return s.blockedLinks[[2]string{from, to}] > 0 }

// send carries act from one machine to another: cut, lost, late or out of order.
func (s *DeclaredDay) send(from, to *machine, act func()) {
	if s.isCut(from.name, to.name) {
		s.hold(from, to, s.nowUs, act)
		return
	}
	if s.random.Float64() < s.loss {
		return
	}
	delayUs := 100 + s.random.Int63n(2000)
	if s.random.Intn(200) == 0 {
		delayUs += s.random.Int63n(80 * millisecond)
	}
	sentUs := s.nowUs
	s.schedule(s.nowUs+delayUs, func() {
		if s.isCut(from.name, to.name) {
			s.hold(from, to, sentUs, act)
			return
		}
		to.deliver(to.boot, act)
	})
}

// ExampleDeclaration is a small deployment with three kinds, eight models and four adapters.
func ExampleDeclaration() *configuration.Declaration {
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
func New(plan DeclaredPlan) *DeclaredDay {
	s := &DeclaredDay{
		plan: plan, seed: plan.Seed, random: rand.New(rand.NewSource(plan.Seed)), blockedLinks: map[[2]string]int{}, loss: plan.LossRatio,
		servers: map[string]*serverNode{}, watch: rules.NewMonitor(), agreedEntries: map[uint64]string{}, nowUs: second, caused: map[string]int{}, trace: plan.Trace,
	}
	if plan.Doc == nil {
		s.plan.Doc = ExampleDeclaration()
	}
	d := s.plan.Doc
	s.platform = platform.New(platform.NewStore(d.Store.Loads, d.Store.MBPerSecond, d.Store.BurstMB))
	if plan.Plant == "strict-store" {
		s.platform.Store.BurstMb /= 2
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
	s.operators = newOperators(s)
	return s
}

func (s *DeclaredDay) step() bool {
	if len(s.queue) == 0 {
		return false
	}
	it := heap.Pop(&s.queue).(*simulatedEvent)
	s.nowUs = max(s.nowUs, it.atUs)
	s.logValue("event", it.seq)
	it.act()
	s.events++
	return len(s.watch.Breaches) == 0
}

func (s *DeclaredDay) runUntil(us int64) bool {
	for len(s.queue) > 0 && s.queue[0].atUs <= us {
		if !s.step() {
			return false
		}
	}
	s.nowUs = max(s.nowUs, us)
	return true
}

// DeclaredOutcome is what became of a day.
type DeclaredOutcome struct {
	Breaches      []rules.Breach
	Calls         int
	Ended         int
	Results       []rules.ClientAttempt
	Loads         int
	LoadMb        int64
	Events        int
	Log           []string
	Codes         map[string]int
	Caused        map[string]int
	Fetches       []platform.Fetch
	ChecksAtStake map[string]int
}

// RunDeclared plays the whole plan: bring-up, demand with faults, healing, and the return to usual service.
func RunDeclared(plan DeclaredPlan) DeclaredOutcome {
	s := New(plan)
	s.operators.begin()
	up := func() bool { return s.operators.grown && s.recovered() }
	ok := true
	for limitUs := s.nowUs + 40*second + int64(plan.Steps)*3*second; ok && !up(); {
		ok = s.runUntil(s.nowUs + 100*millisecond)
		if s.nowUs > limitUs {
			s.watch.Break(rules.PoorService, "the fleet did not come up: %s", s.unsettledReason())
			ok = false
		}
	}
	calmUs := s.nowUs
	startUs := calmUs + plan.QuietUs
	endUs := startUs + plan.DurationUs
	if ok {
		s.logf("up")
		s.generateCalls(endUs)
		ok = s.runUntil(startUs)
	}
	if ok {
		if plan.Changes {
			s.operators.play(endUs)
		}
		lastUs := endUs
		for _, f := range plan.Faults {
			fault := f
			s.schedule(startUs+fault.AtUs, func() { s.applyFault(fault) })
			lastUs = max(lastUs, startUs+fault.AtUs+fault.DurationUs)
		}
		ok = s.runUntil(lastUs)
		if ok {
			s.heal()
			healedUs := s.nowUs
			s.generateCalls(healedUs + rules.RecoverUs + judgeUs)
			s.operators.restore()
			ok = s.runUntil(healedUs + rules.RecoverUs)
			fromUs := s.nowUs
			ok = ok && s.runUntil(fromUs+judgeUs)
			ok = ok && s.runUntil(fromUs+judgeUs+12*second)
			if ok {
				s.judgeService(startUs-min(judgeUs, plan.QuietUs), startUs, fromUs, fromUs+judgeUs)
				s.judgeSlots()
				s.operators.judge()
			}
		}
	}
	return s.outcome()
}

func (s *DeclaredDay) outcome() DeclaredOutcome {
	out := DeclaredOutcome{Breaches: s.watch.Breaches, Calls: len(s.results), Results: s.results, Events: s.events, Log: s.Log, Codes: map[string]int{}, Fetches: s.platform.Store.Fetches, Caused: s.caused, ChecksAtStake: s.watch.Stakes}
	for _, f := range s.platform.Store.Fetches {
		if s.plan.UseDeclaredReplicas && f.AtUs < warmUpUs {
			continue
		}
		out.Loads++
		out.LoadMb += f.SizeMb
	}
	for _, t := range s.results {
		if t.Complete {
			out.Ended++
		} else {
			out.Codes[t.Code]++
		}
	}
	return out
}

const warmUpUs = 25 * second

// RunDeclaredWithBaseline runs demand over faults from a fixed moment on, for comparing: the same seed gives every
// policy the same calls at the same times, whatever the policy does with them.
func RunDeclaredWithBaseline(plan DeclaredPlan) DeclaredOutcome {
	s := New(plan)
	s.operators.begin()
	ok := s.runUntil(warmUpUs)
	s.generateCalls(warmUpUs + plan.DurationUs)
	for _, f := range plan.Faults {
		fault := f
		s.schedule(warmUpUs+fault.AtUs, func() { s.applyFault(fault) })
	}
	if ok {
		s.runUntil(warmUpUs + plan.DurationUs + 20*second)
	}
	return s.outcome()
}

const (
	judgeUs  = 8 * second
	minShare = 12
	minTail  = 20
)

type serviceLevel struct {
	calls, ended int
	firstTokenMs []float64
	codes        map[string]int
}

// serviceLevels sums what callers got, by kind and once more for the rare half of the models.
func (s *DeclaredDay) serviceLevels(fromUs, toUs int64) map[string]*serviceLevel {
	rows := map[string]*serviceLevel{}
	rare := map[string]bool{}
	for _, m := range s.plan.Doc.Models[len(s.plan.Doc.Models)/2:] {
		rare[m.Name] = true
	}
	for _, t := range s.results {
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
				row = &serviceLevel{codes: map[string]int{}}
				rows[name] = row
			}
			row.calls++
			if !t.Complete {
				row.codes[t.Code]++
				continue
			}
			row.ended++
			row.firstTokenMs = append(row.firstTokenMs, float64(t.FirstUs-t.StartUs)/1000)
		}
	}
	for _, row := range rows {
		sort.Float64s(row.firstTokenMs)
	}
	return rows
}

func (r *serviceLevel) share() float64 { return float64(r.ended) / float64(max(1, r.calls)) }

func (r *serviceLevel) p95Ms() float64 {
	if len(r.firstTokenMs) == 0 {
		return 0
	}
	return r.firstTokenMs[min(len(r.firstTokenMs)-1, len(r.firstTokenMs)*95/100)]
}

// judgeService holds each kind, and the rare models, against the same run before its faults.
func (s *DeclaredDay) judgeService(calmUs, faultsUs, fromUs, toUs int64) {
	before, after := s.serviceLevels(calmUs, faultsUs), s.serviceLevels(fromUs, toUs)
	if row := after["all"]; row == nil || row.share() < 0.9 {
		s.watch.Break(rules.PoorService, "12 s after healing %+v: %s", row, s.unsettledReason())
		return
	}
	if s.plan.QuietUs == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		b, a := before[name], after[name]
		if b == nil || b.calls < minShare || a.calls < minShare {
			continue
		}
		s.watch.Stake(rules.PoorService)
		if a.share() < b.share()-0.1 {
			s.watch.Break(rules.PoorService, "%s: %.2f ended well of %d 12 s after healing, %.2f before the faults: %v %s", name, a.share(), a.calls, b.share(), a.codes, s.unsettledReason())
		}
		if len(b.firstTokenMs) >= minTail && len(a.firstTokenMs) >= minTail && a.p95Ms() > 2*b.p95Ms()+300 {
			s.watch.Break(rules.PoorService, "%s: first piece p95 %.0f ms 12 s after healing, %.0f ms before the faults: %s", name, a.p95Ms(), b.p95Ms(), s.unsettledReason())
		}
	}
}

// judgeSlots: when every caller has had its answer, no gateway may think that an attempt still runs.
func (s *DeclaredDay) judgeSlots() {
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

func (s *DeclaredDay) recovered() bool {
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

func (s *DeclaredDay) unsettledReason() string {
	text := ""
	for _, o := range s.controlNodes {
		if !o.up {
			text += fmt.Sprintf("[%s down] ", o.name)
			continue
		}
		n := o.core.Node
		text += fmt.Sprintf("[%s %s view %d head %v open %v commit %d/%d waits %q duty %v] ", o.name, n.Phase(), n.View().Number, n.IsHead(),
			n.IsTailReady(o.clock()), n.CommitIndex(), n.LastIndex(), n.WaitReason(), o.core.Controller.IsLeader(n.State()))
	}
	for _, d := range s.gateways {
		text += fmt.Sprintf("[%s lease %dms waiting %d] ", d.name, (d.leaseUs-d.clock())/1000, d.decider.Status().Waiting)
	}
	return text
}

func (s *DeclaredDay) serverIDs() []string {
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
	draining    bool
}

func (s *DeclaredDay) slots() int {
	if s.plan.UseDeclaredReplicas {
		return 16
	}
	return 8
}

func (s *DeclaredDay) addServer(id, zone string) *serverNode {
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
	firstUs, partUs, pieceUs, slots := 15*millisecond, 8*millisecond, 6*millisecond, s.slots()
	loadUs := func(sizeMb int64) int64 { return 50*millisecond + sizeMb*300 }
	if s.plan.UseDeclaredReplicas {
		firstUs, partUs, pieceUs = 60*millisecond, 40*millisecond, 25*millisecond
		loadUs = func(int64) int64 { return 0 }
	}
	p = &serverNode{machine: machine{sim: s, name: id, addr: fmt.Sprintf("%s:%d", id, boot), up: true, boot: boot}, zone: zone, incarnation: s.nextIncarnation()}
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
				s.operators.sawOrder(*l.Order)
				s.checkCapacity(p, *l.Order)
			}
		},
	})
	s.servers[id] = p
	s.platform.Set(wire.ListedReplica{ID: id, Addr: p.addr, Zone: zone, CapacityMB: s.plan.Doc.Replica.CapacityMB, Slots: slots, State: wire.ListedReady})
	p.tick()
	return p
}

// checkCapacity: a load was at stake when the smallest model would not have fitted beside it.
func (s *DeclaredDay) checkCapacity(p *serverNode, o modelserver.OrderSeen) {
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

func (s *DeclaredDay) setStore(store configuration.Store) {
	s.platform.Store.Limit(s.nowUs, store.Loads, store.MBPerSecond)
}

func (n *serverNode) tick() {
	n.after(10*millisecond, func() {
		n.core.Tick(n.sim.nowUs)
		n.tick()
	})
}

func (n *serverNode) takeOrder(o wire.Order) wire.OrderState {
	s := n.sim
	state, fetch := n.core.Take(s.nowUs, o)
	if !fetch {
		return state
	}
	before := len(s.platform.Store.Broken)
	if store := s.platform.Store; store.Running()+1 >= store.Loads || store.LevelMb(s.nowUs)+float64(o.Command.SizeMB) > 0.8*float64(store.BurstMb) {
		s.watch.Stake(rules.OverStore)
	}
	s.platform.Store.Fetch(s.nowUs, platform.Fetch{Replica: n.addr, Unit: o.Command.Unit, SizeMb: o.Command.SizeMB})
	for _, b := range s.platform.Store.Broken[before:] {
		s.watch.Break(rules.OverStore, "%s", b)
	}
	holdUs := n.core.LoadUs(o.Command.SizeMB)
	if _, loadMs, known := s.plan.Doc.UnitSize(o.Command.Unit); known && s.plan.UseDeclaredReplicas {
		holdUs = loadMs * millisecond
	}
	if s.plan.Plant == "sluggish" && s.nowUs > 20*second {
		holdUs = 60 * second
	}
	boot := n.boot
	s.schedule(s.nowUs+holdUs, func() {
		s.platform.Store.Done(n.addr)
		n.deliver(boot, func() { n.core.Fetched(s.nowUs, o.Command.Number) })
	})
	return state
}

func (n *serverNode) kill() {
	n.up = false
	for _, r := range n.core.Attempts() {
		n.sim.watch.Interrupted(r)
	}
	n.sim.platform.Store.Done(n.addr)
}
