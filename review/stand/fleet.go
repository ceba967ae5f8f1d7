// Package stand starts the project's own programs as the deploy file does, on loopback addresses, and provides small
// stand-ins for the users' platform: replicas, clients and operators. Everything that they see goes into a record.
package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// ErrSetup is returned where a case could not be brought up, so that nothing was tested.
var ErrSetup = errors.New("the case could not run")

// Ports of the roles. They are alike on all machines of a run.
const (
	frontPort   = 8144
	readyPort   = 8140
	controlPort = 8146
	innerFirst  = 7660
	innerLast   = 7675
)

// Machine is one process of the project and the loopback address that stands for its machine.
type Machine struct {
	Name, Role, Zone, IP string
	settings             string
	data                 string
	cmd                  *exec.Cmd
	exited               chan struct{}
	// removed says that the script killed the process for good, ends how often it has ended by itself.
	removed bool
	ends    int
}

// Front returns the address for clients, Control that for replicas and operators.
func (m *Machine) Front() string   { return net.JoinHostPort(m.IP, strconv.Itoa(frontPort)) }
func (m *Machine) Control() string { return net.JoinHostPort(m.IP, strconv.Itoa(controlPort)) }

// Fleet is a small deployment: control nodes, gateways, and what stands around them.
type Fleet struct {
	Cores, Fronts []*Machine
	Record        *Record
	folder        string
	program       string
	subnet        string
	nextHost      int
	mu            sync.Mutex
	replicas      []*Replica
	all           []*Machine
	stopped       bool
	// starting is held while a process is started again.
	starting sync.Mutex
}

// New prepares a fleet in a temporary folder. program is the project's binary.
func New(program string, record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSetup, err)
	}
	f := &Fleet{folder: folder, program: program, Record: record, nextHost: 10}
	for range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		if isFree(subnet + ".10:" + strconv.Itoa(controlPort)) {
			f.subnet = subnet
			return f, nil
		}
	}
	return nil, ErrSetup
}

func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// NextIP returns a loopback address that nothing else of this run uses.
func (f *Fleet) NextIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextHost++
	return fmt.Sprintf("%s.%d", f.subnet, f.nextHost)
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

// AddCore adds a core machine that is not started yet, AddFront a front machine.
func (f *Fleet) AddCore(name string) *Machine {
	m := &Machine{Name: name, Role: "control-node", Zone: zones[len(f.Cores)%3], IP: f.NextIP()}
	f.Cores = append(f.Cores, m)
	f.all = append(f.all, m)
	return m
}

// AddFront adds a front machine that is not started yet.
func (f *Fleet) AddFront(name string) *Machine {
	m := &Machine{Name: name, Role: "gateway", Zone: zones[len(f.Fronts)%3], IP: f.NextIP()}
	f.Fronts = append(f.Fronts, m)
	f.all = append(f.all, m)
	return m
}

// RemoveCore takes a machine off the list of those that replicas and operators call.
func (f *Fleet) RemoveCore(m *Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Cores = slices.DeleteFunc(f.Cores, func(c *Machine) bool { return c == m })
}

// Start starts the control nodes and the gateways at once, for the first time.
func (f *Fleet) Start(cores, fronts int) error {
	for i := range cores {
		f.AddCore(fmt.Sprintf("core-%d", i+1))
	}
	for i := range fronts {
		f.AddFront(fmt.Sprintf("front-%d", i+1))
	}
	seeds := f.Seeds()
	for _, m := range f.all {
		if err := f.StartMachine(m, seeds, true); err != nil {
			return err
		}
	}
	return nil
}

// Seeds returns the addresses of the core machines, as settings files hold them.
func (f *Fleet) Seeds() []string {
	seeds := []string{}
	for _, c := range f.Cores {
		seeds = append(seeds, c.Control())
	}
	return seeds
}

// writeSettings writes the settings file of a machine, with the bounds of a small deployment.
func (f *Fleet) writeSettings(m *Machine, seeds []string, first bool) error {
	serves, class := "control_plane", "core"
	addresses := map[string]string{Word("ControlPlane"): m.Control()}
	if m.Role == "gateway" {
		serves, class = "frontend", "frontend"
		addresses = map[string]string{Word("FrontHttp"): m.Front(), "readiness": net.JoinHostPort(m.IP, strconv.Itoa(readyPort))}
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "town"
	}
	var data any
	if m.Role == "control-node" {
		m.data = filepath.Join(f.folder, m.Name)
		if err := os.MkdirAll(m.data, 0o755); err != nil {
			return err
		}
		data = m.data
	}
	raw, err := json.MarshalIndent(map[string]any{
		Word("NodeName"): m.Name, "role": m.Role, "machineClass": class, "serves": []string{serves}, Word("IpAddress"): m.IP, "zone": m.Zone, "region": "town",
		"zones": regions, Word("ListenAddresses"): addresses, Word("InternalPortRange"): []int{innerFirst, innerLast}, Word("SeedNodes"): seeds,
		Word("FirstStart"): first, "countedLoss": m.Role == "control-node",
		"limits":              map[string]any{"cpuFraction": 0.4, "cpuCores": 1, "memoryMb": 284, Word("FileDescriptors"): 4100, "linkMbps": 1000.0, "diskMb": 128},
		Word("DataDirectory"): data, "discoverySource": "self_registration", "entryKind": "virtual_ip", Word("HeartbeatIntervalMs"): 1200,
		"contracts":            []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		Word("FaultTolerance"): map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedingLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000,
			Word("GracePeriodS"): 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "outerStretchMs": 5000, Word("RetryBudgetRatio"): 0.2,
			Word("BudgetWindowS"): 10, Word("RetryBudgetSlack"): 58, "recoveryS": 12, "passDurationMs": 120, "retryAfterS": 0, "fencingEnforced": false,
			"leaseMs": 3000, "thawSlackMs": 300, Word("CeilingWindowS"): 5, Word("CeilingOvershoot"): 1.1},
	}, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.folder, m.Name+".json")
	return os.WriteFile(m.settings, raw, 0o644)
}

// StartMachine starts the process of a machine, for the first time or again on the same folder. first says that the whole
// system starts for the first time.
func (f *Fleet) StartMachine(m *Machine, seeds []string, first bool) error {
	if err := f.writeSettings(m, seeds, first); err != nil {
		return fmt.Errorf("%w: %v", ErrSetup, err)
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrSetup, err)
	}
	defer log.Close()
	m.cmd = exec.Command(f.program, "platform", m.Role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), Word("SettingsVariable") + "=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", ErrSetup, err)
	}
	f.Record.Printf("start %s %s pid %d", m.Name, m.IP, m.cmd.Process.Pid)
	exited, cmd := make(chan struct{}), m.cmd
	m.exited = exited
	go func() {
		err := cmd.Wait()
		f.Record.Printf("end of %s: %v", m.Name, err)
		close(exited)
		f.restart(m, seeds)
	}()
	return nil
}

// restart starts a process that has ended by itself again after a short delay, as the platform does.
func (f *Fleet) restart(m *Machine, seeds []string) {
	f.mu.Lock()
	over := f.stopped || m.removed
	if !over {
		m.ends++
	}
	f.mu.Unlock()
	if over {
		return
	}
	time.Sleep(500 * time.Millisecond)
	f.starting.Lock()
	defer f.starting.Unlock()
	f.mu.Lock()
	over = f.stopped
	f.mu.Unlock()
	if !over {
		_ = f.StartMachine(m, seeds, false)
	}
}

// Ends returns how often the process of a machine has ended by itself.
func (f *Fleet) Ends(m *Machine) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.ends
}

// Lose kills the process of a machine that is lost for good.
func (f *Fleet) Lose(m *Machine) {
	f.mu.Lock()
	m.removed = true
	f.mu.Unlock()
	f.Record.Printf("%s is lost for good", m.Name)
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
}

// Remove takes a machine away for good. From then on it gives no answer at all, as one that has lost its power: its process stands
// still until the end of the run and never goes on.
func (f *Fleet) Remove(m *Machine) {
	f.mu.Lock()
	m.removed = true
	f.mu.Unlock()
	f.Record.Printf("%s is removed for good", m.Name)
	_ = m.cmd.Process.Signal(syscall.SIGSTOP)
}

// LoseDisk kills the process of a machine, which does not come back by itself, and empties its data folder.
func (f *Fleet) LoseDisk(m *Machine) {
	f.mu.Lock()
	m.removed = true
	f.mu.Unlock()
	f.Record.Printf("%s loses its disk", m.Name)
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	m.AwaitExit(5 * time.Second)
	_ = os.RemoveAll(m.data)
	m.removed = false
}

// KillAll kills the processes of all core machines at the same moment and starts them again after a delay.
func (f *Fleet) KillAll(after time.Duration) error {
	f.mu.Lock()
	for _, m := range f.Cores {
		m.removed = true
	}
	f.mu.Unlock()
	for _, m := range f.Cores {
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
	}
	f.Record.Printf("all core processes are killed")
	for _, m := range f.Cores {
		m.AwaitExit(5 * time.Second)
	}
	time.Sleep(after)
	seeds := f.Seeds()
	for _, m := range f.Cores {
		m.removed = false
		if err := f.StartMachine(m, seeds, false); err != nil {
			return err
		}
	}
	return nil
}

// Running reports whether the process of a machine has not ended.
func (m *Machine) Running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// AwaitExit waits until the process of a machine has ended, and reports whether it did.
func (m *Machine) AwaitExit(within time.Duration) bool {
	select {
	case <-m.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// Stop ends everything that the run started and removes its folder.
func (f *Fleet) Stop() {
	f.mu.Lock()
	f.stopped = true
	replicas := append([]*Replica{}, f.replicas...)
	f.mu.Unlock()
	f.starting.Lock()
	defer f.starting.Unlock()
	for _, r := range replicas {
		r.Kill()
	}
	for _, m := range f.all {
		if m.cmd != nil && m.cmd.Process != nil && m.Running() {
			_ = m.cmd.Process.Kill()
			m.AwaitExit(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept:", f.folder)
	}
}

// AwaitReady waits until all gateways answer their readiness probe with 200.
func (f *Fleet) AwaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, m := range f.Fronts {
		for {
			if Ready(m) {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s does not become ready", ErrSetup, m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Ready reports whether a gateway answers its readiness probe with 200.
func Ready(m *Machine) bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + net.JoinHostPort(m.IP, strconv.Itoa(readyPort)) + Word("PathReadiness"))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Operate sends a change of the configuration as the operator does: to any control node, again and unchanged as long as there is
// no clear answer. It returns the status of the clear answer.
func (f *Fleet) Operate(path string, base uint64, body any, within time.Duration) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	until := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for n := 0; time.Now().Before(until); n++ {
		m := f.Cores[n%len(f.Cores)]
		status := f.call(m, path, base, raw)
		f.Record.Printf("operator %s base %d at %s: %d", path, base, m.Name, status)
		switch {
		case status == 200:
			return status, nil
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return status, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0, fmt.Errorf("%w: no acknowledgement of %s", ErrSetup, path)
}

func (f *Fleet) call(m *Machine, path string, base uint64, raw []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Control()+path, bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(Word("BasedOnVersion"), strconv.FormatUint(base, 10))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// Read reads the configuration back at one control node and returns its version, or the status where it is not 200.
func (f *Fleet) Read(m *Machine) (version uint64, status int) {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + m.Control() + "/configuration/read")
	if err != nil {
		return 0, 0
	}
	defer res.Body.Close()
	var doc struct {
		Version uint64 `json:"version"`
	}
	_ = json.NewDecoder(res.Body).Decode(&doc)
	return doc.Version, res.StatusCode
}
