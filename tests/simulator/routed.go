package simulator

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

// RoutedPlan is a day on the users' platform: replicas make themselves known, and calls come by routes.
type RoutedPlan struct {
	Seed         int64
	ControlNodes int
	Gateways     int
	Cards        int
	Logs         int
	PerSec       float64
	CalmUs       int64
	SpanUs       int64
	Faults       []Fault
	CutOffs      []CutOff
	Repairs      Repairs
	Closing      string
	Plant        string
	// Trace is as in Plan.
	Trace func(atUs int64, kind string, what any)
}

const (
	bootUs      = 10 * sec
	heartbeatUs = 1200 * ms
	seedLagUs   = 3 * sec
	reuseUs     = 2 * sec
	routedJudge = 6 * sec
	seedsMost   = 3
)

// routedDay drives the reducers of every role, by routes, under one virtual clock.
type routedDay struct {
	*Sim
	plan         RoutedPlan
	seen         *rules.Day
	engine       *configuration.Engine
	store        *replica.Store
	disks        map[string]*replica.Disk
	controlNodes []*routedControlNode
	gateways     []*routedGateway
	replicas     map[string]*replicaNode
	lives        int
	conns        uint64
	ports        int
	listed       []listing
	clients      *clients
	ops          *routedOperators
	springs      []*spring
	taking       []func(t *routedGateway)
	ordering     []Fault
	keepers      []Fault
	handed       bool
	cutOff       cutOffState
}

// listing is the operators' list of machines that serve control, from a moment on.
type listing struct {
	atUs  int64
	addrs []string
}

// RoutedOutcome is what came of a day.
type RoutedOutcome struct {
	Breaches []rules.Breach
	Stakes   map[string]int
	Caused   map[string]int
	Tries    int
	Served   int
	Owed     int
	Loads    int
	Events   int
	Statuses map[string]int
	Log      []string
	Seen     *rules.Day
}

func routedEngine() *configuration.Engine {
	e := &configuration.Engine{Slots: 24, CacheTokens: 40_000, Stride: 3, CapacityMB: 8000, MaxAdapters: 3, LoadsPerSecond: 4}
	for i := range 26 {
		m := configuration.EngineModel{Name: fmt.Sprintf("m%d", i), SizeMB: 2000 + int64(i%4)*450, LoadMs: 300 + int64(i%4)*100}
		if i%3 == 0 {
			m.Adapters, m.AdapterMB = 4, 40
		}
		e.Models = append(e.Models, m)
	}
	return e
}

func newRoutedDay(plan RoutedPlan) *routedDay {
	d := &routedDay{
		plan: plan, engine: routedEngine(), disks: map[string]*replica.Disk{}, replicas: map[string]*replicaNode{}, ports: 8000,
		Sim: &Sim{r: rand.New(rand.NewSource(plan.Seed)), cuts: map[[2]string]int{}, nowUs: sec, caused: map[string]int{}, trace: plan.Trace},
	}
	d.store = &replica.Store{AtOnce: d.engine.MaxConcurrentLoads()}
	d.seen = &rules.Day{Bounds: rules.SmallBounds(d.engine.LoadsPerSecond)}
	if plan.Plant == "strict-store" {
		d.seen.Bounds.LoadsPerS /= 4
	}
	zones := []string{"a", "b", "c"}
	for i := range min(plan.ControlNodes, seedsMost) {
		d.seeds = append(d.seeds, fmt.Sprintf("core-%d:1", i))
	}
	for i := range plan.ControlNodes {
		d.addControlNode(fmt.Sprintf("core-%d", i), fmt.Sprintf("core-%d:1", i), zones[i%3], true)
	}
	d.list()
	for i := range plan.Gateways {
		d.gateways = append(d.gateways, newRoutedGateway(d, fmt.Sprintf("front-%d", i), zones[i%3]))
	}
	for i := range plan.Cards {
		d.startReplica(fmt.Sprintf("gpu-%d", i), "cards", zones[i%3], "", d.placed(i))
	}
	for i := range plan.Logs {
		d.startReplica(fmt.Sprintf("cpu-%d", i), "log", zones[i%3], "", nil)
		d.startReplica(fmt.Sprintf("cpb-%d", i), "log-b", zones[i%3], "", nil)
	}
	d.clients = newClients(d)
	d.ops = newRoutedOperators(d)
	return d
}

// tolerated is how many control nodes may lose their disks at once; an acknowledgement needs one copy more.
func (d *routedDay) tolerated() int { return max(1, (d.plan.ControlNodes-1)/2) }

// catchUpUs is how long after its return the platform counts a machine as lost.
func (d *routedDay) catchUpUs() int64 {
	if d.tolerated() > 1 {
		return 6 * sec
	}
	return 4 * sec
}

// placed is what a replica holds at the start: busy models on many, the others on one each.
func (d *routedDay) placed(i int) []string {
	held := []string{}
	var mb int64
	for n, m := range d.engine.Models {
		if (n < 2 && i%2 == n) || n%d.plan.Cards == i {
			if mb+m.SizeMB <= d.engine.CapacityMB {
				held = append(held, m.Name)
				mb += m.SizeMB
			}
		}
	}
	return held
}

// list notes which machines serve control now; the others learn it with a lag.
func (d *routedDay) list() {
	addrs := []string{}
	for _, o := range d.controlNodes {
		if !o.removed {
			addrs = append(addrs, o.addr)
		}
	}
	d.listed = append(d.listed, listing{d.nowUs, addrs})
}

func (d *routedDay) listedNow() []string {
	out := d.listed[0].addrs
	for _, l := range d.listed {
		if l.atUs <= d.nowUs-seedLagUs {
			out = l.addrs
		}
	}
	return out
}

func (d *routedDay) controlNodeAt(addr string) *routedControlNode {
	for _, o := range d.controlNodes {
		if o.addr == addr && !o.removed {
			return o
		}
	}
	return nil
}

// trouble notes what was done to a machine; one without an end is ended by over.
func (d *routedDay) trouble(t rules.FaultInterval) {
	t.FromUs = d.nowUs
	if t.ToUs == 0 {
		t.ToUs = rules.Open
	}
	d.seen.Faults = append(d.seen.Faults, t)
}

func (d *routedDay) over(machine, kind string) {
	for i := range d.seen.Faults {
		if t := &d.seen.Faults[i]; t.Machine == machine && t.Kind == kind && t.ToUs == rules.Open {
			t.ToUs = d.nowUs
		}
	}
}

func (d *routedDay) cut(from, to string, forUs int64) {
	d.cutOne(from, to, forUs)
	d.seen.Partitions = append(d.seen.Partitions, rules.Partition{From: from, To: to, FromUs: d.nowUs, ToUs: d.nowUs + forUs})
}

// carry brings act to another machine as a short call on a connection does: late where a link loses bytes,
// held up by a cut until waitUs are over. failed is told where it did not get there.
func (d *routedDay) carry(from, to *machine, waitUs int64, act, failed func()) {
	toBoot, endUs := to.boot, d.nowUs+waitUs
	delayUs := 150 + d.r.Int63n(1200)
	if d.r.Float64() < d.loss {
		delayUs += 200*ms + d.r.Int63n(200*ms)
	}
	var arrive func()
	arrive = func() {
		switch {
		case d.nowUs > endUs:
			failed()
		case d.isCut(from.name, to.name) && d.cutOff.refuses(from.name, to.name):
			failed()
		case d.isCut(from.name, to.name):
			d.at(d.nowUs+10*ms, arrive)
		case !to.up || to.boot != toBoot:
			failed()
		default:
			to.now(toBoot, act)
		}
	}
	d.at(d.nowUs+delayUs, arrive)
}

// pipe is one direction of a connection: what is sent arrives in order, and nothing after its end.
type pipe struct {
	d        *routedDay
	from, to *machine
	toBoot   int
	freeUs   int64
	queue    []func()
	closed   bool
}

func (d *routedDay) pipe(from, to *machine) *pipe {
	return &pipe{d: d, from: from, to: to, toBoot: to.boot}
}

func (p *pipe) send(act func()) {
	d := p.d
	delayUs := 150 + d.r.Int63n(1000)
	if d.r.Float64() < d.loss {
		delayUs += 200*ms + d.r.Int63n(200*ms)
	}
	p.freeUs = max(p.freeUs, d.nowUs+delayUs)
	p.queue = append(p.queue, act)
	d.at(p.freeUs, p.pump)
}

func (p *pipe) pump() {
	if p.closed || !p.to.up || p.to.boot != p.toBoot {
		return
	}
	if p.d.isCut(p.from.name, p.to.name) {
		p.freeUs = max(p.freeUs, p.d.nowUs+10*ms)
		p.d.at(p.d.nowUs+10*ms, p.pump)
		return
	}
	act := p.queue[0]
	p.queue = p.queue[1:]
	p.to.now(p.toBoot, func() {
		if !p.closed {
			act()
		}
	})
}

// RunRouted plays a whole day: bring-up, calm, faults, healing, a closing fault, and the reading back.
func RunRouted(plan RoutedPlan) RoutedOutcome {
	d := newRoutedDay(plan)
	d.ops.first()
	d.runUntil(bootUs)
	d.clients.start()
	startUs := bootUs + plan.CalmUs
	d.runUntil(startUs)
	lastUs := startUs + plan.SpanUs
	d.ops.play(startUs, lastUs)
	for _, f := range plan.Faults {
		d.at(startUs+f.AtUs, func() { d.cause(f) })
		lastUs = max(lastUs, startUs+f.AtUs+f.ForUs+coreCutsUs[f.Kind])
	}
	for _, c := range plan.CutOffs {
		d.at(startUs+c.AtUs, func() { d.cutOffNow(c, startUs+c.AtUs+8*sec) })
		lastUs = max(lastUs, startUs+c.AtUs+c.ForUs)
	}
	if plan.Repairs.Rounds > 0 {
		d.at(startUs, func() { d.repairs(plan.Repairs) })
		lastUs = max(lastUs, startUs+plan.Repairs.spanUs(d.catchUpUs()))
	}
	d.runUntil(lastUs)
	d.heal()
	d.runUntil(d.nowUs + 5*sec)
	if plan.Closing != "" {
		d.close(plan.Closing)
		d.runUntil(d.seen.Closing.BackUs + d.seen.Bounds.RecoveryUs + routedJudge)
	} else {
		d.runUntil(d.nowUs + routedJudge)
	}
	d.clients.stop()
	d.runUntil(d.nowUs + d.clients.mostUs() + sec)
	d.ops.read()
	d.runUntil(d.nowUs + 3*d.seen.Bounds.ContactUs)
	d.known()
	return d.outcome()
}

func (d *routedDay) runUntil(us int64) {
	for len(d.q) > 0 && d.q[0].atUs <= us {
		d.step()
	}
	d.nowUs = max(d.nowUs, us)
}

func (d *routedDay) step() {
	it := heap.Pop(&d.q).(*item)
	d.nowUs = max(d.nowUs, it.atUs)
	d.show("event", it.seq)
	it.act()
	d.events++
}

func (d *routedDay) outcome() RoutedOutcome {
	d.seen.EndUs = d.nowUs
	for i := range d.seen.Core {
		if d.seen.Core[i].ToUs == 0 {
			d.seen.Core[i].ToUs = rules.Open
		}
	}
	d.seen.Calls = d.ops.calls.Calls()
	breaches, stakes := rules.Judge(d.seen)
	out := RoutedOutcome{Breaches: breaches, Stakes: stakes, Caused: d.caused, Events: d.events, Log: d.Log, Statuses: map[string]int{}, Seen: d.seen, Loads: len(d.seen.Loads)}
	for _, t := range d.seen.Attempts {
		if t.Probe {
			continue
		}
		out.Tries++
		name := fmt.Sprintf("%s %d", t.Class, t.Status)
		switch {
		case t.HungUp:
			name = t.Class + " hung up"
		case t.GaveUp:
			name = t.Class + " gave up"
		case t.Status/100 == 2 && !t.Complete:
			name = t.Class + " cut"
		}
		out.Statuses[name]++
		if !t.HungUp {
			out.Owed++
			if t.Served() {
				out.Served++
			}
		}
	}
	return out
}

// lives are the replicas whose processes run, in order.
func (d *routedDay) running(service string) []*replicaNode {
	out := []*replicaNode{}
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		if p := d.replicas[id]; p.up && (service == "" || p.core.Service() == service) {
			out = append(out, p)
		}
	}
	return out
}
