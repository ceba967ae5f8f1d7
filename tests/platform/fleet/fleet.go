package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
	"petreltide/tests/fleet"
	"petreltide/tests/history"
	"petreltide/tests/loopback"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

const (
	frontPort   = 8144
	readyPort   = 8140
	controlPort = 8146
	innerFirst  = 7660
	innerLast   = 7675
	replicaPort = 8080
	beatUs      = 1_200_000
)

// Plan is a day of real processes on the users' platform, with stand-ins for all that is not ours.
type Plan struct {
	Petreltide   string
	Folder       string
	ControlNodes int
	Gateways     int
	Cards        int
	Logs         int
	PerSecond    float64
	Span         time.Duration
	Faults       []string
	Closing      bool
	Seed         int64
	// Tenants declares tenants: requests carry keys, and all but one tenant have a limit.
	Tenants bool
	// Aloud lets the processes write every line of their logs as it comes.
	Aloud bool
	// MemoryMB and Descriptors are the limits in the settings of each process; 0 stands for those of a usual machine.
	MemoryMB    int
	Descriptors int
	// Limits are those of every configuration; nil stands for the usual ones.
	Limits map[string]any
	// MoreRoutes is the number of routes that every configuration has beside those of the requests.
	MoreRoutes int
}

const (
	usualMemoryMB    = 284
	usualDescriptors = 4100
)

// machineProc is one of our processes, at the address it keeps.
type machineProc struct {
	name     string
	role     string
	zone     string
	ip       string
	settings string
	folder   string
	lives    int
	cmd      *exec.Cmd
	gone     chan struct{}
	// mu is held by whatever is being done to it: one thing at a time.
	mu sync.Mutex
}

// Fleet runs the processes and gathers what clients, replicas and operators see on their sockets.
type Fleet struct {
	plan   Plan
	r      *rand.Rand
	loop   *loopback.Network
	mu     sync.Mutex
	day    *rules.Day
	names  map[string]string
	procs  map[string]*machineProc
	order  []string
	hosts  map[string]*replica.Host
	lives  int
	store  *replica.Store
	engine *configuration.Engine
	// tenants are those of the day; none on days without.
	tenants []tenant
	served  int
	owed    int
	ops     *routedOps
	// calls is what operators sent, were answered and read.
	calls  history.Recorder
	Caused map[string]int
	Late   time.Duration
	narrow bool
	// limitPart is the part of their limits that the rules hold tenants to: 1 but where a test wants a breach.
	limitPart float64
}

// New begins nothing yet. Machines get loopback IPs of their own, until Stop.
func New(plan Plan) (*Fleet, error) {
	loop, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		plan: plan, r: rand.New(rand.NewSource(plan.Seed)), loop: loop, day: &rules.Day{}, tenants: newTenants(plan), limitPart: 1, names: map[string]string{},
		procs: map[string]*machineProc{}, hosts: map[string]*replica.Host{}, Caused: map[string]int{},
	}
	f.engine = &configuration.Engine{Slots: 16, CacheTokens: 60_000, Stride: 2, CapacityMB: 8000, MaxAdapters: 3, LoadsPerSecond: 3}
	for i := range 12 {
		m := configuration.EngineModel{Name: fmt.Sprintf("m%d", i), SizeMB: 2000 + int64(i%4)*450, LoadMs: 250}
		if i%3 == 0 {
			m.Adapters, m.AdapterMB = 3, 40
		}
		f.engine.Models = append(f.engine.Models, m)
	}
	f.store = &replica.Store{AtOnce: f.engine.MaxConcurrentLoads()}
	f.day.Bounds = rules.SmallBounds(f.engine.LoadsPerSecond)
	if plan.Tenants {
		f.day.Tenants, f.day.Keys = map[string]string{}, map[string]string{}
		f.day.Limits, f.day.Holders = map[*rules.Version]map[string]rules.TenantLimit{}, map[*rules.Version]map[string]string{}
	}
	f.ops = &routedOps{f: f, r: rand.New(rand.NewSource(plan.Seed + 1))}
	return f, os.MkdirAll(plan.Folder, 0o755)
}

func (f *Fleet) ip(name string) string {
	ip := f.loop.IP()
	f.names[ip] = name
	return ip
}

// who names a machine by its IP.
func (f *Fleet) who(ip string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names[ip]
}

func zoneOf(i int) string { return []string{"a", "b", "c"}[i%3] }

// Start brings up everything at once, as the platform does.
func (f *Fleet) Start() error {
	for i := range f.plan.ControlNodes {
		f.addMachine("control-node", fmt.Sprintf("core-%s-%d", zoneOf(i), i), zoneOf(i))
	}
	for i := range f.plan.Gateways {
		f.addMachine("gateway", fmt.Sprintf("front-%s-%d", zoneOf(i), i), zoneOf(i))
	}
	for _, name := range f.order {
		if err := f.begin(f.procs[name], true); err != nil {
			return err
		}
	}
	for i := range f.plan.Cards {
		held := []string{}
		for n, m := range f.engine.Models {
			if n%f.plan.Cards == i {
				held = append(held, m.Name)
			}
		}
		if err := f.startReplica("cards", zoneOf(i), held); err != nil {
			return err
		}
	}
	for i := range f.plan.Logs {
		for _, service := range []string{"log", "log-b"} {
			if err := f.startReplica(service, zoneOf(i), nil); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) addMachine(role, name, zone string) *machineProc {
	p := &machineProc{name: name, role: role, zone: zone, ip: f.ip(name)}
	p.settings = filepath.Join(f.plan.Folder, name+".json")
	if role == "control-node" {
		p.folder = filepath.Join(f.plan.Folder, name)
		f.day.Core = append(f.day.Core, rules.Member{Machine: name, ToUs: rules.Open})
	}
	f.procs[name] = p
	f.order = append(f.order, name)
	return p
}

func (f *Fleet) of(role string) []*machineProc {
	out := []*machineProc{}
	for _, name := range f.order {
		if p := f.procs[name]; p.role == role {
			out = append(out, p)
		}
	}
	return out
}

// control are the addresses that the platform lists for replicas and operators.
func (f *Fleet) control() []string {
	addrs := []string{}
	for _, p := range f.of("control-node") {
		addrs = append(addrs, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return addrs
}

// settingsOf is the file that the platform writes for a process.
func (f *Fleet) settingsOf(p *machineProc, first bool) map[string]any {
	b := f.day.Bounds
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	listen := map[string]any{"frontHttp": fmt.Sprintf("%s:%d", p.ip, frontPort), "readiness": fmt.Sprintf("%s:%d", p.ip, readyPort)}
	serves, class, folder := "frontend", "frontend", any(nil)
	if p.role == "control-node" {
		listen = map[string]any{"controlPlane": fmt.Sprintf("%s:%d", p.ip, controlPort)}
		serves, class, folder = "control_plane", "core", p.folder
	}
	return map[string]any{
		"nodeName": p.name, "role": p.role, "machineClass": class, "serves": []string{serves}, "ipAddress": p.ip, "zone": p.zone, "region": "r", "zones": map[string]string{"a": "r", "b": "r", "c": "r"},
		"listenAddresses": listen, "internalPortRange": []int{innerFirst, innerLast}, "seedNodes": f.control(), "firstStart": first, "countedLoss": p.role == "control-node",
		"limits": map[string]any{"cpuFraction": 0.5, "cpuCores": 1, "memoryMb": cmp.Or(f.plan.MemoryMB, usualMemoryMB), "fileDescriptors": cmp.Or(f.plan.Descriptors, usualDescriptors), "linkMbps": 1000, "diskMb": 128}, "dataDirectory": folder,
		"discoverySource": "self_registration", "entryKind": "virtual_ip", "heartbeatIntervalMs": beatUs / 1000, "faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedingLagS": 3, "reuseAfterS": 2, "contactWindowMs": b.ContactUs / 1000, "acknowledgeMs": b.AcknowledgeUs / 1000, "catchUpS": 4, "drainMs": b.DrainUs / 1000, "gracePeriodS": seconds(b.GraceUs),
			"lossSlackMs": b.LossSlackUs / 1000, "configApplyMs": b.ConfigApplyUs / 1000, "downgradeSlackMs": b.DowngradeUs / 1000, "outerStretchMs": b.OuterUs / 1000, "retryBudgetRatio": b.BudgetRatio,
			"budgetWindowS": seconds(b.BudgetUs), "retryBudgetSlack": b.BudgetSlack, "recoveryS": seconds(b.RecoveryUs), "passDurationMs": 120, "retryAfterS": 0, "fencingEnforced": false,
			"leaseMs": b.LeaseUs / 1000, "thawSlackMs": b.ThawUs / 1000, "ceilingWindowS": seconds(b.LoadWindowUs), "ceilingOvershoot": b.LoadOvershoot,
			"quotaWindowS": seconds(b.QuotaWindowUs), "quotaOvershoot": b.QuotaOvershoot, "quotaSlack": b.QuotaSlack, "revocationClosed": false, "revokeMs": 5000,
		},
	}
}

func (f *Fleet) begin(p *machineProc, first bool) error {
	raw, err := json.Marshal(f.settingsOf(p, first))
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(p.settings, raw, 0o644); err != nil {
		return errors.Trace(err)
	}
	out, err := os.OpenFile(filepath.Join(f.plan.Folder, p.name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()
	args := []string{"platform", p.role}
	if f.plan.Aloud {
		args = append(args, "--aloud")
	}
	p.cmd = exec.Command(f.plan.Petreltide, args...)
	p.cmd.Env = append(os.Environ(), "PETRELTIDE_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	p.lives++
	p.gone = make(chan struct{})
	cmd, gone := p.cmd, p.gone
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	return nil
}

// incarnationOf tells which of its processes a machine runs now.
func (f *Fleet) incarnationOf(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name].lives
}

// trouble notes what is done to a machine, and returns what ends it.
func (f *Fleet) trouble(t rules.FaultInterval) (over func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.FromUs, t.ToUs = clock.NowUs(), rules.Open
	at := len(f.day.Faults)
	f.day.Faults = append(f.day.Faults, t)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.day.Faults[at].ToUs = clock.NowUs()
	}
}

// kill ends a process at once and starts it again after a time.
func (f *Fleet) kill(p *machineProc, down time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	over := f.trouble(rules.FaultInterval{Machine: p.name, Kind: "down", Down: true})
	_ = p.cmd.Process.Kill()
	<-p.gone
	time.Sleep(down)
	defer over()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begin(p, false)
}

// freeze stops a process and lets it go on.
func (f *Fleet) freeze(p *machineProc, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	over := f.trouble(rules.FaultInterval{Machine: p.name, Kind: "freeze", Down: true})
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	over()
}

// term is planned work: SIGTERM, SIGKILL after the grace period, and a start.
func (f *Fleet) term(p *machineProc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.mu.Lock()
	f.day.Terms = append(f.day.Terms, rules.Term{Machine: p.name, AtUs: clock.NowUs()})
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.gone:
	case <-time.After(time.Duration(f.day.Bounds.GraceUs) * time.Microsecond):
		_ = p.cmd.Process.Kill()
		<-p.gone
	}
	over := f.trouble(rules.FaultInterval{Machine: p.name, Kind: "down", Down: true, Planned: true})
	time.Sleep(300 * time.Millisecond)
	defer over()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begin(p, false)
}

// startReplica starts a replica; each has a machine of its own.
func (f *Fleet) startReplica(service, zone string, held []string) error {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("i-%d", f.lives)
	ip := f.ip(id)
	f.mu.Unlock()
	addr := fmt.Sprintf("%s:%d", ip, replicaPort)
	o := replica.Options{ID: id, Service: service, Addr: addr, Zone: zone, Release: "v1", Slots: 6, Queue: 24, WorkUs: 30_000, Store: f.store, Holds: held, Journal: replica.Journal{
		Arrived: func(a *replica.Arrival) { f.note(func(d *rules.Day) { d.Arrivals = append(d.Arrivals, a) }) },
		Ordered: func(o replica.OrderSeen) { f.note(func(d *rules.Day) { d.Orders = append(d.Orders, o) }) },
		Loading: func(l replica.LoadSeen) { f.note(func(d *rules.Day) { d.Loads = append(d.Loads, l) }) },
	}}
	if service == "cards" {
		o.Slots, o.Queue, o.Engine = f.engine.Slots, 3*f.engine.Slots, replica.EngineOf(f.engine)
		if f.narrow {
			o.Engine.RoomMb /= 2
		}
	}
	h, err := replica.Serve(replica.HostOptions{Listen: addr, Core: o, BeatUs: beatUs, Control: f.control, Who: f.who, Said: func(by string, draining bool) {
		if draining {
			f.acknowledged(id, by)
		}
	}})
	if err != nil {
		return errors.Trace(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id] = h
	return nil
}

func (f *Fleet) note(act func(*rules.Day)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	act(f.day)
}

func (f *Fleet) acknowledged(id, by string) {
	f.note(func(d *rules.Day) {
		for _, l := range d.Deregistrations {
			if l.Replica == id && l.AckedUs == 0 {
				l.AckedUs, l.Machine = clock.NowUs(), by
			}
		}
	})
}

// cards are the incarnations that hold models, in order.
func (f *Fleet) cards() []*replica.Host {
	return slices.DeleteFunc(f.replicas(), func(h *replica.Host) bool { return h.Service() != "cards" })
}

// logs are the replicas that are not cards.
func (f *Fleet) logs() []*replica.Host {
	return slices.DeleteFunc(f.replicas(), func(h *replica.Host) bool { return h.Service() == "cards" })
}

// replicas are all incarnations that run, in order.
func (f *Fleet) replicas() []*replica.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.Collect(maps.Values(f.hosts))
	slices.SortFunc(out, func(a, b *replica.Host) int { return strings.Compare(a.ID(), b.ID()) })
	return out
}

func (f *Fleet) drop(h *replica.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, h.ID())
}

// leave takes a replica away: in order, or at short notice; another takes its place.
func (f *Fleet) leave(h *replica.Host, left time.Duration) error {
	l := &rules.Deregistration{Replica: h.ID(), AnnouncedUs: clock.NowUs()}
	f.note(func(d *rules.Day) { d.Deregistrations = append(d.Deregistrations, l) })
	if err := f.startReplica("cards", h.Zone(), nil); err != nil {
		return err
	}
	h.Drain(left.Milliseconds())
	span := left
	if span == 0 {
		span = time.Duration(f.day.Bounds.DrainUs)*time.Microsecond + 600*time.Millisecond
	}
	time.Sleep(span)
	f.note(func(d *rules.Day) {
		l.RemovedUs = clock.NowUs()
		if left > 0 {
			d.Faults = append(d.Faults, rules.FaultInterval{Machine: h.ID(), Kind: "crash", FromUs: clock.NowUs(), ToUs: rules.Open, Down: true})
		}
	})
	f.drop(h)
	h.Kill(left == 0)
	return nil
}

// leaveFirst takes a replica away that deregisters before it has said that it leaves, and serves on meanwhile.
func (f *Fleet) leaveFirst(h *replica.Host) error {
	l := &rules.Deregistration{Replica: h.ID(), AnnouncedUs: clock.NowUs()}
	f.note(func(d *rules.Day) { d.Deregistrations = append(d.Deregistrations, l) })
	if err := f.startReplica("cards", h.Zone(), nil); err != nil {
		return err
	}
	by := h.Deregister()
	f.note(func(*rules.Day) {
		if by != "" {
			l.AckedUs, l.Machine = clock.NowUs(), by
		}
	})
	time.Sleep(time.Duration(f.day.Bounds.DrainUs)*time.Microsecond + 600*time.Millisecond)
	f.note(func(*rules.Day) { l.RemovedUs = clock.NowUs() })
	f.drop(h)
	h.Kill(false)
	return nil
}

// crash ends a replica without a word; another incarnation comes back empty.
func (f *Fleet) crash(h *replica.Host) error {
	f.note(func(d *rules.Day) {
		d.Faults = append(d.Faults, rules.FaultInterval{Machine: h.ID(), Kind: "crash", FromUs: clock.NowUs(), ToUs: rules.Open, Down: true})
	})
	f.drop(h)
	h.Kill(false)
	time.Sleep(500 * time.Millisecond)
	return f.startReplica("cards", h.Zone(), nil)
}

// Stop ends all that was started.
func (f *Fleet) Stop() {
	for _, name := range f.order {
		p := f.procs[name]
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Kill()
		<-p.gone
	}
	f.mu.Lock()
	hosts := f.hosts
	f.hosts = map[string]*replica.Host{}
	f.mu.Unlock()
	for _, h := range hosts {
		h.Kill(false)
	}
	f.loop.Close()
}

// Ready asks each gateway as the platform does.
func (f *Fleet) ready(p *machineProc) bool {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// busy notes when this box itself was too busy to judge by: then nobody counts as in touch.
func (f *Fleet) busy(ctx context.Context) {
	const look, most = 20 * time.Millisecond, 150 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(look)
		now := time.Now()
		if late := now.Sub(last) - look; late > most {
			f.note(func(d *rules.Day) {
				f.Late = max(f.Late, late)
				nowUs := clock.NowUs()
				for _, name := range f.order {
					d.Faults = append(d.Faults, rules.FaultInterval{Machine: name, Kind: "the box was busy", FromUs: nowUs - late.Microseconds(), ToUs: nowUs, Slow: true})
				}
			})
		}
		last = now
	}
}

// spare says whether the other control nodes have been well for as long as a machine counts as lost after its return.
func (f *Fleet) spare(p *machineProc) bool {
	const catchUpUs = 4_000_000
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.day.Faults {
		if t.Machine != p.name && f.day.Core[0].FromUs <= t.FromUs && t.ToUs > clock.NowUs()-catchUpUs && f.procs[t.Machine] != nil && f.procs[t.Machine].role == "control-node" {
			return false
		}
	}
	return true
}

// wipe takes a control node's disk away; it comes back at its address, with an empty one. It is left out where
// that would be more than the platform says is to be borne at once.
func (f *Fleet) wipe(p *machineProc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !f.spare(p) {
		return fleet.LeftOut{Why: "another office is not back for long enough"}
	}
	over := f.trouble(rules.FaultInterval{Machine: p.name, Kind: "down", Down: true})
	_ = p.cmd.Process.Kill()
	<-p.gone
	if err := os.RemoveAll(p.folder); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(500 * time.Millisecond)
	defer over()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begin(p, false)
}

// killRole kills all of some roles at one moment, and starts them again within a second.
func (f *Fleet) killRole(roles ...string) error {
	overs := []func(){}
	for _, role := range roles {
		for _, p := range f.of(role) {
			p.mu.Lock()
			defer p.mu.Unlock()
			overs = append(overs, f.trouble(rules.FaultInterval{Machine: p.name, Kind: "down", Down: true}))
			_ = p.cmd.Process.Kill()
		}
	}
	time.Sleep(700 * time.Millisecond)
	for _, role := range roles {
		for _, p := range f.of(role) {
			<-p.gone
			f.mu.Lock()
			err := f.begin(p, false)
			f.mu.Unlock()
			if err != nil {
				return err
			}
		}
	}
	for _, over := range overs {
		over()
	}
	return nil
}
