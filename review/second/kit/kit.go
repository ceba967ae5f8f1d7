// Package kit starts the project's programs on loopback addresses and speaks to them in the words of the users' pages,
// which stand in wire.json.
package kit

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed wire.json
var wireJSON []byte

// Wire holds the names of the users' pages.
type Wire struct {
	Variable string            `json:"variable"`
	Headers  map[string]string `json:"headers"`
	Paths    map[string]string `json:"paths"`
	Node     map[string]any    `json:"node"`
	Listens  string            `json:"listens"`
	Seeds    string            `json:"seeds"`
	First    string            `json:"first"`
	Counted  string            `json:"counted"`
	Data     string            `json:"data"`
	Front    string            `json:"front"`
	Probe    string            `json:"probe"`
	Control  string            `json:"control"`
	Limits   map[string]any    `json:"limits"`
	Route    map[string]any    `json:"route"`
	// OnceOnly holds the fields of a route whose requests may run at most once.
	OnceOnly map[string]any `json:"onceOnly"`
	Service  map[string]any `json:"service"`
	Beat     map[string]any `json:"beat"`
	Tenants  string         `json:"tenants"`
	Keys     string         `json:"keys"`
	Sequence string         `json:"sequence"`
	State    string         `json:"state"`
}

// W is the content of wire.json.
var W = func() (w Wire) {
	if err := json.Unmarshal(wireJSON, &w); err != nil {
		panic(err)
	}
	return w
}()

// H returns the header of that short name.
func H(name string) string { return W.Headers[name] }

const (
	controlPort = 8146
	frontPort   = 8144
	probePort   = 8140
)

// Case is one run of a case: its record, its folder and its processes.
type Case struct {
	// Trouble is false in the run without the disruption.
	Trouble bool
	Dir     string
	Program string

	mu     sync.Mutex
	record *os.File
	start  time.Time
	prefix string
	nextIP int
	procs  []*Proc
	core   []*Proc
}

// Proc is one process of the product at the address that it keeps.
type Proc struct {
	Name, Role, Zone, IP, Data string
	First                      bool
	settings                   string
	cmd                        *exec.Cmd
	ended                      chan struct{}
}

// New opens the record in the working folder. The program is that of the deploy file's build.
func New() *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Program: os.Getenv("PROGRAM"), start: time.Now()}
	if _, err := os.Stat(c.Program); err != nil {
		fmt.Println("cannot run: the program is not built:", err)
		os.Exit(2)
	}
	var err error
	if c.record, err = os.Create("record.txt"); err == nil {
		c.Dir, err = os.MkdirTemp("", "petreltide-case")
	}
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	for try := 0; c.prefix == "" && try < 200; try++ {
		prefix := fmt.Sprintf("127.%d.%d.", 64+rand.Intn(180), 1+rand.Intn(250))
		if free(prefix + "1:8146") {
			c.prefix = prefix
		}
	}
	c.Note("trouble=%t", c.Trouble)
	return c
}

func free(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// Note writes one line to the record, with the time since the start.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes, removes the folder and exits with the status: 1 broken, 0 held, 2 could not run.
func (c *Case) End(status int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("%s", text)
	for _, p := range c.procs {
		p.Kill()
	}
	_ = os.RemoveAll(c.Dir)
	_ = c.record.Close()
	fmt.Println(map[int]string{0: "held:", 1: "BROKEN:", 2: "cannot run:"}[status], text)
	os.Exit(status)
}

// IP returns an unused loopback address.
func (c *Case) IP() string {
	c.nextIP++
	return c.prefix + strconv.Itoa(c.nextIP)
}

// Add adds a machine that is not started yet. role is that of the deploy file.
func (c *Case) Add(role, name, zone string) *Proc {
	p := &Proc{Name: name, Role: role, Zone: zone, IP: c.IP(), First: true, settings: filepath.Join(c.Dir, name+".json")}
	if role == "control-node" {
		p.Data = filepath.Join(c.Dir, name)
		c.core = append(c.core, p)
	}
	c.procs = append(c.procs, p)
	return p
}

// Start starts a machine's process with the command of the deploy file and the settings of this moment.
func (c *Case) Start(p *Proc) {
	seeds := []string{}
	for _, o := range c.core {
		seeds = append(seeds, net.JoinHostPort(o.IP, strconv.Itoa(controlPort)))
	}
	at := func(port int) string { return net.JoinHostPort(p.IP, strconv.Itoa(port)) }
	class, serves, listens := "frontend", "frontend", map[string]string{W.Front: at(frontPort), W.Probe: at(probePort)}
	if p.Role == "control-node" {
		class, serves, listens = "core", "control_plane", map[string]string{W.Control: at(controlPort)}
	}
	raw, _ := json.Marshal(W.Node)
	text := strings.NewReplacer("%name%", p.Name, "%role%", p.Role, "%class%", class, "%serves%", serves, "%ip%", p.IP, "%zone%", p.Zone).Replace(string(raw))
	node := map[string]any{}
	if err := json.Unmarshal([]byte(text), &node); err != nil {
		c.End(2, "%v", err)
	}
	node[W.Listens], node[W.Seeds], node[W.First], node[W.Counted] = listens, seeds[:min(3, len(seeds))], p.First, p.Data != ""
	if p.Data != "" {
		node[W.Data] = p.Data
		_ = os.MkdirAll(p.Data, 0o755)
	}
	raw, _ = json.Marshal(node)
	if err := os.WriteFile(p.settings, raw, 0o644); err != nil {
		c.End(2, "%v", err)
	}
	out, err := os.OpenFile(filepath.Join(c.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.End(2, "%v", err)
	}
	p.cmd = exec.Command(c.Program, "platform", p.Role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.Dir, W.Variable + "=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		c.End(2, "%v", err)
	}
	_ = out.Close()
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		c.Note("%s ended: %v", p.Name, err)
		close(ended)
	}(p.cmd, p.ended)
	c.Note("%s started, pid %d, first start %t", p.Name, p.cmd.Process.Pid, p.First)
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Running reports whether the process has not ended.
func (p *Proc) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Log returns the output of the process.
func (c *Case) Log(p *Proc) string {
	raw, _ := os.ReadFile(filepath.Join(c.Dir, p.Name+".log"))
	return string(raw)
}

// Front returns the address at which a gateway serves clients.
func (p *Proc) Front() string { return net.JoinHostPort(p.IP, strconv.Itoa(frontPort)) }

// ControlAddr returns the address at which a control node serves operators and replicas.
func (p *Proc) ControlAddr() string { return net.JoinHostPort(p.IP, strconv.Itoa(controlPort)) }

// Copy returns a copy of a document of wire.json with some fields replaced.
func Copy(of map[string]any, fields map[string]any) map[string]any {
	out := map[string]any{}
	for k, v := range of {
		out[k] = v
	}
	for k, v := range fields {
		out[k] = v
	}
	return out
}

// Config returns a whole configuration.
func Config(version int, routes, services []map[string]any) []byte {
	raw, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": W.Limits})
	return raw
}

// Send sends an operator's change to one control node; status 0 means that there was no answer in time.
func (c *Case) Send(p *Proc, base int, raw []byte, within time.Duration) int {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.ControlAddr()+W.Paths["replace"], bytes.NewReader(raw))
	req.Header.Set(H("base"), strconv.Itoa(base))
	req.Header.Set("Content-Type", "application/json")
	status := 0
	res, err := (&http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
	}
	c.Note("operator: change on %d to %s: status %d %v", base, p.Name, status, err)
	return status
}

// SendUntil sends a change to the control nodes in turn, as the operator does, until one acknowledges it.
func (c *Case) SendUntil(base int, raw []byte, span time.Duration) bool {
	for n, end := 0, time.Now().Add(span); time.Now().Before(end); n++ {
		if status := c.Send(c.core[n%len(c.core)], base, raw, 4*time.Second); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// Core returns the control nodes.
func (c *Case) Core() []*Proc { return c.core }

// Tenants returns a whole configuration with tenants and their keys.
func Tenants(version int, routes, services []map[string]any, keys map[string][]string) []byte {
	tenants := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		tenants = append(tenants, map[string]any{"name": name, W.Keys: keys[name]})
	}
	raw, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": W.Limits, W.Tenants: tenants})
	return raw
}
