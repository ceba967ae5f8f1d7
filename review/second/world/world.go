// Package world runs the project's programs as processes on loopback addresses, with stand-ins for the platform, the
// operator, the clients and the replicas. The names on the wire are in the folder data.
package world

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed data
var data embed.FS

// W are the names on the wire.
var W = words()

func words() map[string]string {
	raw, err := data.ReadFile("data/words.json")
	if err != nil {
		panic(err)
	}
	w := map[string]string{}
	if err := json.Unmarshal(raw, &w); err != nil {
		panic(err)
	}
	return w
}

// Fill returns a file of the folder data with its fields filled in.
func Fill(name string, fields any) []byte {
	t, err := template.ParseFS(data, "data/"+name)
	if err != nil {
		panic(err)
	}
	var b bytes.Buffer
	if err := t.Execute(&b, fields); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// The ports of all machines.
const (
	ClientPort  = 8144
	ReadyPort   = 8140
	ControlPort = 8146
)

// World holds the processes, the record and a network 127.N.0.0/16 of its own.
type World struct {
	Program string
	Folder  string
	began   time.Time
	number  int
	given   int
	claim   net.Listener
	record  *os.File
	mu      sync.Mutex
	all     []*Machine
}

// New claims a network and a temporary folder, and begins the record. The caller must call End.
func New(program, recordFile string) (*World, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "second-")
	if err != nil {
		return nil, err
	}
	w := &World{Program: program, Folder: folder, began: time.Now()}
	if w.record, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	for try := range 150 {
		w.number = 60 + (os.Getpid()+try)%150
		if w.claim, err = net.Listen("tcp4", fmt.Sprintf("127.%d.250.250:7641", w.number)); err == nil {
			return w, nil
		}
	}
	return nil, err
}

// IP returns an address that was not given before.
func (w *World) IP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.given++
	return fmt.Sprintf("127.%d.1.%d", w.number, w.given)
}

// Since is the time since the world began.
func (w *World) Since() time.Duration { return time.Since(w.began) }

// Note writes one line into the record.
func (w *World) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", w.Since().Seconds(), fmt.Sprintf(format, args...))
}

// At waits until a time since the world began.
func (w *World) At(at time.Duration) { time.Sleep(at - w.Since()) }

// End ends all processes that were started, and removes the folder.
func (w *World) End() {
	w.mu.Lock()
	all := w.all
	w.mu.Unlock()
	for _, m := range all {
		m.Lose()
	}
	_ = w.claim.Close()
	_ = os.RemoveAll(w.Folder)
	_ = w.record.Close()
}

// Machine runs one of the project's programs. The platform starts a process that ends by itself again after half a
// second, with the settings of that moment.
type Machine struct {
	Name, Role, IP, Zone, Disk string
	Core, First                bool
	Seeds                      []string

	w    *World
	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
	lost bool
	// Ends counts how often its process has ended by itself.
	Ends int
}

// Machine returns a machine that is not started yet.
func (w *World) Machine(name, role, zone string) *Machine {
	m := &Machine{Name: name, Role: role, IP: w.IP(), Zone: zone, Core: role == "control-node", w: w}
	if m.Core {
		m.Disk = filepath.Join(w.Folder, "disk-"+name)
	}
	w.mu.Lock()
	w.all = append(w.all, m)
	w.mu.Unlock()
	return m
}

// Start starts the process of the machine. first is what its settings say of the first start.
func (m *Machine) Start(first bool, seeds []string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.First, m.Seeds = first, seeds
	return m.start()
}

func (m *Machine) start() error {
	if m.Core {
		if err := os.MkdirAll(m.Disk, 0o755); err != nil {
			return err
		}
	}
	file := filepath.Join(m.w.Folder, m.Name+".json")
	if err := os.WriteFile(file, Fill("machine.json", m), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.w.Folder, m.Name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(m.w.Program, "platform", m.Role)
	m.cmd.Env = append(os.Environ(), W["settings"]+"="+file)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.w.Note("%s at %s starts; first start: %t", m.Name, m.IP, m.First)
	m.gone = make(chan struct{})
	go m.watch(m.cmd, m.gone)
	return nil
}

// watch starts a process again that has ended by itself.
func (m *Machine) watch(cmd *exec.Cmd, gone chan struct{}) {
	_ = cmd.Wait()
	close(gone)
	m.mu.Lock()
	by := m.cmd == cmd && !m.lost
	if by {
		m.Ends++
		m.w.Note("the process of %s ends by itself, %s (time %d)", m.Name, cmd.ProcessState, m.Ends)
	}
	m.mu.Unlock()
	if !by {
		return
	}
	time.Sleep(500 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == cmd && !m.lost {
		m.First = false
		_ = m.start()
	}
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Kill kills the process; Start starts it again.
func (m *Machine) Kill() {
	m.mu.Lock()
	cmd, gone := m.cmd, m.gone
	m.cmd = nil
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-gone
	}
}

// Lose kills the process for good.
func (m *Machine) Lose() {
	m.mu.Lock()
	m.lost = true
	m.mu.Unlock()
	m.Kill()
}

// EndedByItself returns how often the process has ended by itself.
func (m *Machine) EndedByItself() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Ends
}

// LoseDisk kills the process and removes the disk of the machine; Start starts it again with an empty one.
func (m *Machine) LoseDisk() error {
	m.Kill()
	m.w.Note("%s loses its disk", m.Name)
	return os.RemoveAll(m.Disk)
}

// Listens waits until the machine accepts connections at its control address.
func (m *Machine) Listens() {
	for range 200 {
		c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", m.IP, ControlPort), time.Second)
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Zones are the zones of the deployment.
var Zones = []string{"tartu-a", "tartu-b", "tartu-c"}

// StartFleet starts a control node in each zone, and gateways, for the first time.
func (w *World) StartFleet(gatewayCount int) (core, gateways []*Machine, ips []string, err error) {
	for _, z := range Zones {
		m := w.Machine("core-"+z+"-1", "control-node", z)
		core, ips = append(core, m), append(ips, m.IP)
	}
	for i := range gatewayCount {
		z := Zones[i%len(Zones)]
		gateways = append(gateways, w.Machine(fmt.Sprintf("frontend-%s-%d", z, 1+i/len(Zones)), "gateway", z))
	}
	for _, m := range append(append([]*Machine{}, core...), gateways...) {
		if err := m.Start(true, ips); err != nil {
			return nil, nil, nil, err
		}
	}
	return core, gateways, ips, nil
}
