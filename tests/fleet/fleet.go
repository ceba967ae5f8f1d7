package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/process/clock"
	"petreltide/tests/loopback"
	"petreltide/tests/modelserver"
	"petreltide/tests/platform"
	"petreltide/tests/relay"
	"petreltide/tests/rules"
)

// Plan says which processes there are, and how the stand-in replicas among them work. Petreltide and Self are paths of the
// product and of the fleet command.
type Plan struct {
	Petreltide   string
	Self         string
	Folder       string
	ControlNodes int
	Gateways     int
	Replicas     int
	Zones        []string
	RoomMb       int64
	Slots        int
	PieceUs      int64
	FirstUs      int64
	PartUs       int64
	Store        configuration.Store
	Relays       bool
	Seed         int64
}

// Proc is one process: Addr is where it listens and Reach where others reach it.
type Proc struct {
	Name  string
	Role  string
	Addr  string
	Reach string
	Zone  string
	Args  []string
	bin   string
	cmd   *exec.Cmd
	gone  chan struct{}
	out   string
}

// Fleet starts real processes and is the only one that does.
type Fleet struct {
	Plan     Plan
	Platform *platform.Platform
	platAddr string
	net      *relay.Switch
	loop     *loopback.Network
	Caused   map[string]int
	Doc      *configuration.Declaration
	r        *rand.Rand
	server   *http.Server
	mu       sync.Mutex
	procs    map[string]*Proc
	Told     []rules.ClientAttempt
	Notices  []rules.Interval
	Emptied  []rules.Interval
	Changes  []rules.Change
	journals []string
	lives    int
}

// FreeAddr is an address of this fleet's that nobody listens on.
func (f *Fleet) FreeAddr() string { return f.loop.Addr() }

// New serves the platform's side; Start starts the processes.
func New(plan Plan) (*Fleet, error) {
	f := &Fleet{Plan: plan, procs: map[string]*Proc{}, net: relay.New(), Caused: map[string]int{}, r: rand.New(rand.NewSource(plan.Seed))}
	f.Platform = platform.New(platform.NewStore(plan.Store.Loads, plan.Store.MBPerSecond, plan.Store.BurstMB))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	if f.loop, err = loopback.Claim(); err != nil {
		return nil, err
	}
	f.platAddr = l.Addr().String()
	f.server = &http.Server{Handler: f.Platform.Handler()}
	go func() { _ = f.server.Serve(l) }()
	if plan.Relays {
		if f.platAddr, err = f.net.Before("platform", "127.0.0.1", f.platAddr); err != nil {
			return nil, err
		}
	}
	return f, os.MkdirAll(plan.Folder, 0o755)
}

// place gives a process a loopback IP of its own, and with relays one to stand before it.
func (f *Fleet) place(name string) (addr, reach string, err error) {
	addr = f.loop.Addr()
	if !f.Plan.Relays {
		return addr, addr, nil
	}
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	reach, err = f.net.Before(name, ip, addr)
	return addr, reach, err
}

func (f *Fleet) zone(i int) string { return f.Plan.Zones[i%len(f.Plan.Zones)] }

// Start brings up control nodes, replicas and gateways.
func (f *Fleet) Start() error {
	seeds, addrs := []string{}, []string{}
	for i := 0; i < f.Plan.ControlNodes; i++ {
		addr, reach, err := f.place(fmt.Sprintf("core-%d", i+1))
		if err != nil {
			return err
		}
		addrs, seeds = append(addrs, addr), append(seeds, reach)
	}
	for i, addr := range addrs {
		if err := f.addControlNode(fmt.Sprintf("core-%d", i+1), addr, seeds[i], f.zone(i), seeds, f.Plan.ControlNodes); err != nil {
			return err
		}
	}
	for i := 0; i < f.Plan.Replicas; i++ {
		if err := f.AddReplica(fmt.Sprintf("gpu-%d", i+1), f.zone(i)); err != nil {
			return err
		}
	}
	for i := 0; i < f.Plan.Gateways; i++ {
		if err := f.AddGateway(fmt.Sprintf("front-%d", i+1), f.zone(i), seeds); err != nil {
			return err
		}
	}
	return nil
}

// AddControlNode starts one more control node.
func (f *Fleet) AddControlNode(name, zone string, seeds []string, founding int) error {
	addr, reach, err := f.place(name)
	if err != nil {
		return err
	}
	return f.addControlNode(name, addr, reach, zone, seeds, founding)
}

func (f *Fleet) addControlNode(name, addr, reach, zone string, seeds []string, founding int) error {
	return f.run(&Proc{Name: name, Role: "control-node", Addr: addr, Reach: reach, Zone: zone, bin: f.Plan.Petreltide, Args: []string{
		"control-node", "--name", name, "--listen", addr, "--advertise", reach, "--zone", zone, "--seeds", strings.Join(seeds, ","),
		"--data", filepath.Join(f.Plan.Folder, name), "--platform", f.platAddr, "--founding", fmt.Sprint(founding),
	}})
}

// AddGateway starts one more gateway.
func (f *Fleet) AddGateway(name, zone string, seeds []string) error {
	addr, reach, err := f.place(name)
	if err != nil {
		return err
	}
	return f.run(&Proc{Name: name, Role: "gateway", Addr: addr, Reach: reach, Zone: zone, bin: f.Plan.Petreltide, Args: []string{
		"gateway", "--name", name, "--listen", addr, "--advertise", reach, "--zone", zone, "--seeds", strings.Join(seeds, ","), "--drain-ms", "5000",
	}})
}

// AddReplica starts a replica and puts it on the platform's list.
func (f *Fleet) AddReplica(name, zone string) error {
	addr, reach, err := f.place(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.lives++
	n := f.lives
	journal := filepath.Join(f.Plan.Folder, fmt.Sprintf("%s.%d.journal", name, n))
	f.journals = append(f.journals, journal)
	f.mu.Unlock()
	if err := f.run(&Proc{Name: name, Role: "replica", Addr: addr, Reach: reach, Zone: zone, bin: f.Plan.Self, Args: []string{
		"model-server", "--id", name, "--inc", fmt.Sprintf("%s-%d", name, n), "--listen", addr, "--zone", zone, "--room", fmt.Sprint(f.Plan.RoomMb),
		"--slots", fmt.Sprint(f.Plan.Slots), "--piece-us", fmt.Sprint(f.Plan.PieceUs), "--first-us", fmt.Sprint(f.Plan.FirstUs),
		"--part-us", fmt.Sprint(f.Plan.PartUs), "--store", f.platAddr, "--journal", journal,
	}}); err != nil {
		return err
	}
	f.Platform.Set(wire.ListedReplica{ID: name, Addr: reach, Zone: zone, CapacityMB: f.Plan.RoomMb, Slots: f.Plan.Slots, State: wire.ListedReady})
	return nil
}

func (f *Fleet) run(p *Proc) error {
	p.out = filepath.Join(f.Plan.Folder, p.Name+".out")
	out, err := os.OpenFile(p.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()
	p.cmd = exec.Command(p.bin, p.Args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	gone := make(chan struct{})
	p.gone = gone
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	f.mu.Lock()
	f.procs[p.Name] = p
	f.mu.Unlock()
	return nil
}

// Proc is the newest process of a name, nil for none.
func (f *Fleet) Proc(name string) *Proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

// Names are the processes of a role, in order.
func (f *Fleet) Names(role string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{}
	for n, p := range f.procs {
		if p.Role == role {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// Addrs are where the processes of a role listen, in order of their names.
func (f *Fleet) Addrs(role string) []string {
	addrs := []string{}
	for _, n := range f.Names(role) {
		addrs = append(addrs, f.Proc(n).Addr)
	}
	return addrs
}

// Signal sends a signal to a process of this fleet.
func (f *Fleet) Signal(name string, sig syscall.Signal) {
	if p := f.Proc(name); p != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends a process of this fleet at once and waits for its end.
func (f *Fleet) Kill(name string) {
	p := f.Proc(name)
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.gone
}

// Again starts an ended process with the arguments that it had.
func (f *Fleet) Again(name string) error {
	p := f.Proc(name)
	return f.run(&Proc{Name: p.Name, Role: p.Role, Addr: p.Addr, Reach: p.Reach, Zone: p.Zone, bin: p.bin, Args: p.Args})
}

// Stop ends all processes of this fleet and what it serves itself.
func (f *Fleet) Stop() {
	f.mu.Lock()
	procs := []*Proc{}
	for _, p := range f.procs {
		procs = append(procs, p)
	}
	f.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.gone
	}
	_ = f.server.Close()
	f.net.Close()
	f.loop.Close()
}

// Notice shows a replica as leaving on the platform's list.
func (f *Fleet) Notice(name string, leftMs int64) {
	p := f.Proc(name)
	f.Platform.Set(wire.ListedReplica{ID: name, Addr: p.Reach, Zone: p.Zone, CapacityMB: f.Plan.RoomMb, Slots: f.Plan.Slots, State: wire.ListedDraining, RemainingMs: leftMs})
	f.mu.Lock()
	f.Notices = append(f.Notices, rules.Interval{ID: name, FromUs: clock.NowUs() + 1_000_000, ToUs: rules.Open})
	f.mu.Unlock()
}

// Take ends a replica and drops it from the list.
func (f *Fleet) Take(name string) {
	f.Kill(name)
	f.Platform.Drop(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	rules.Over(f.Notices, name, clock.NowUs())
}

// Reply is the whole answer to one request.
type Reply struct {
	Status int
	Body   []byte
}

// Ask sends one request to one address.
func (f *Fleet) Ask(ctx context.Context, controlNode, method, path, body string) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+controlNode+path, strings.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer res.Body.Close()
	raw := new(strings.Builder)
	_, err = bufio.NewReader(res.Body).WriteTo(raw)
	return Reply{res.StatusCode, []byte(raw.String())}, err
}

// AskAny tries the control nodes until one answers below 500, and gives up at ctx's end.
func (f *Fleet) AskAny(ctx context.Context, method, path, body string) (Reply, error) {
	for {
		for _, addr := range f.Addrs("control-node") {
			short, done := context.WithTimeout(ctx, 10*time.Second)
			r, err := f.Ask(short, addr, method, path, body)
			done()
			if err == nil && r.Status < 500 {
				return r, nil
			}
		}
		select {
		case <-ctx.Done():
			return Reply{}, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Tail asks every control node and returns the status of the open tail.
func (f *Fleet) Tail(ctx context.Context) (controlnode.Status, bool) {
	for _, addr := range f.Addrs("control-node") {
		short, done := context.WithTimeout(ctx, time.Second)
		r, err := f.Ask(short, addr, http.MethodGet, "/v1/status", "")
		done()
		var st controlnode.Status
		if err == nil && json.Unmarshal(r.Body, &st) == nil && st.TailReady {
			return st, true
		}
	}
	return controlnode.Status{}, false
}

// Status asks one control node for its status.
func (f *Fleet) Status(ctx context.Context, name string) (controlnode.Status, bool) {
	short, done := context.WithTimeout(ctx, time.Second)
	defer done()
	r, err := f.Ask(short, f.Proc(name).Addr, http.MethodGet, "/v1/status", "")
	var st controlnode.Status
	if err != nil || json.Unmarshal(r.Body, &st) != nil {
		return st, false
	}
	return st, true
}

// Until polls a condition on the running fleet.
func (f *Fleet) Until(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Errorf("gave up waiting until %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// Seen gathers what everybody saw, for the rules.
func (f *Fleet) Seen() (rules.Observations, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := rules.Observations{Told: append([]rules.ClientAttempt(nil), f.Told...), Notices: f.Notices, Emptied: f.Emptied, Changes: f.Changes}
	seen.StoreBroke, _ = f.Platform.StoreBroken()
	for _, path := range f.journals {
		raw, err := os.ReadFile(path)
		if err != nil {
			if os.IsNotExist(err) {
				continue
			}
			return seen, errors.Trace(err)
		}
		runs, orders := ReadJournal(string(raw))
		seen.Runs = append(seen.Runs, runs...)
		seen.Orders = append(seen.Orders, orders...)
	}
	return seen, nil
}

// ReadJournal reads what a replica noted; a last line that was cut off is passed over.
func ReadJournal(text string) ([]modelserver.Run, []modelserver.OrderSeen) {
	byAttempt := map[string]int{}
	runs := []modelserver.Run{}
	orders := []modelserver.OrderSeen{}
	for _, line := range strings.Split(text, "\n") {
		var l modelserver.Line
		if json.Unmarshal([]byte(line), &l) != nil {
			continue
		}
		switch {
		case l.Run != nil:
			byAttempt[l.Run.Attempt] = len(runs)
			runs = append(runs, *l.Run)
		case l.End != nil:
			if i, ok := byAttempt[l.End.Attempt]; ok {
				runs[i].Ended = runs[i].Ended || l.End.Ended
				runs[i].Sent = l.End.Sent
			}
		case l.Order != nil:
			orders = append(orders, *l.Order)
		}
	}
	return runs, orders
}

// Note keeps what one caller saw.
func (f *Fleet) Note(t rules.ClientAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Told = append(f.Told, t)
}

type controlNodeStatus = controlnode.Status
