// Package rig starts the project's programs as the deploy file does, on loopback addresses, and holds what the
// stand-ins of this review share. The words of the users' pages stand in words.txt.
package rig

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed words.txt
var wordsText string

//go:embed control-node.json
var controlSettings string

//go:embed gateway.json
var gatewaySettings string

//go:embed heartbeat.json
var heartbeat string

// Configuration is the first configuration that the operator sends.
//
//go:embed configuration.json
var Configuration []byte

// W holds the words of the users' pages by a short name.
var W = func() map[string]string {
	all := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(wordsText), "\n") {
		name, word, _ := strings.Cut(line, " ")
		all[name] = word
	}
	return all
}()

// Record writes lines with their time to the record of a case.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// NewRecord opens the record of a case.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, start: time.Now()}, nil
}

// Now returns the milliseconds since the record was opened.
func (r *Record) Now() float64 { return float64(time.Since(r.start).Microseconds()) / 1000 }

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.1f ms  %s\n", r.Now(), fmt.Sprintf(format, args...))
}

// Node is one process of the project.
type Node struct {
	Name, IP, Role string
	fleet          *Fleet
	cmd            *exec.Cmd
	done           chan struct{}
}

// Fleet is a small deployment: control nodes and gateways, each at a loopback address of its own.
type Fleet struct {
	Program string
	Folder  string
	Rec     *Record
	Ports   [6]int
	Control []*Node
	Gateway []*Node
	first   bool
	mu      sync.Mutex
	stopped bool
}

// freePorts returns ports that nothing listens on at the moment, outside of the range for outgoing connections.
func freePorts() (ports [6]int) {
	from := 12000 + (os.Getpid()*37)%18000
	n := 0
	for p := from; n < len(ports) && p < 32000; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports[n] = p
		n++
	}
	return ports
}

// NewFleet prepares control nodes and gateways; Start starts them.
func NewFleet(program string, rec *Record, controls, gateways int) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Program: program, Folder: folder, Rec: rec, Ports: freePorts(), first: true}
	net3 := 16 + os.Getpid()%200
	for i := range controls {
		f.Control = append(f.Control, &Node{Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("127.%d.0.%d", net3, i+1), Role: "control-node", fleet: f})
	}
	for i := range gateways {
		f.Gateway = append(f.Gateway, &Node{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("127.%d.1.%d", net3, i+1), Role: "gateway", fleet: f})
	}
	return f, nil
}

// Front is the address of a gateway for clients, Ready the one for its readiness, API the one of a control node.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.IP, n.fleet.Ports[0]) }

// Ready returns the address of the readiness of a gateway.
func (n *Node) Ready() string { return fmt.Sprintf("%s:%d", n.IP, n.fleet.Ports[1]) }

// API returns the address of a control node for replicas and operators.
func (n *Node) API() string { return fmt.Sprintf("%s:%d", n.IP, n.fleet.Ports[2]) }

// PID returns the process id, 0 if none runs.
func (n *Node) PID() int {
	if n.cmd == nil || n.cmd.Process == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// fill puts values as JSON in the places of a template that name them.
func fill(template string, values map[string]any) string {
	for name, value := range values {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		template = strings.ReplaceAll(template, "\"@"+name+"\"", string(raw))
	}
	return template
}

// writeSettings fills in the template of the node's role.
func (n *Node) writeSettings() (string, error) {
	f := n.fleet
	seeds := []string{}
	for _, c := range f.Control {
		seeds = append(seeds, c.API())
	}
	folder := filepath.Join(f.Folder, n.Name)
	template := gatewaySettings
	if n.Role == "control-node" {
		template = controlSettings
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return "", err
		}
	}
	text := fill(template, map[string]any{
		"name": n.Name, "ip": n.IP, "role": n.Role, "seeds": seeds, "first": f.first, "ports": []int{f.Ports[3], f.Ports[3] + 8},
		"front": n.Front(), "ready": n.Ready(), "api": n.API(), "folder": folder,
	})
	path := filepath.Join(f.Folder, n.Name+".json")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// Start starts the process of a node as the deploy file does.
func (n *Node) Start() error {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.fleet.stopped {
		return fmt.Errorf("the fleet is stopped")
	}
	path, err := n.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.fleet.Folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := []string{"platform", n.Role}
	if os.Getenv("ALOUD") != "" {
		args = append(args, "--aloud")
	}
	n.cmd = exec.Command(n.fleet.Program, args...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", W["env"] + "=" + path}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	cmd, done := n.cmd, n.done
	go func() {
		err := cmd.Wait()
		n.fleet.Rec.Add("%s: process %d ended: %v", n.Name, cmd.Process.Pid, err)
		close(done)
		_ = out.Close()
	}()
	n.fleet.Rec.Add("%s: started as process %d", n.Name, n.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.fleet.Rec.Add("%s: signal %v", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed once the process has ended.
func (n *Node) Ended() <-chan struct{} { return n.done }

// Start starts all processes within 0.3 s.
func (f *Fleet) Start() error {
	for _, n := range append(append([]*Node{}, f.Control...), f.Gateway...) {
		if err := n.Start(); err != nil {
			return err
		}
	}
	f.first = false
	return nil
}

// Stop ends all processes and removes the folder.
func (f *Fleet) Stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, n := range append(append([]*Node{}, f.Control...), f.Gateway...) {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	}
}

// Put sends a whole configuration until it is taken.
func (f *Fleet) Put(raw []byte, base int, within time.Duration) error {
	end := time.Now().Add(within)
	last := ""
	for i := 0; time.Now().Before(end); i++ {
		n := f.Control[i%len(f.Control)]
		status, _, err := call(http.MethodPost, "http://"+n.API()+W["replace"], raw, map[string]string{W["base"]: fmt.Sprint(base)}, time.Second)
		if err == nil && status == 200 {
			f.Rec.Add("operator: configuration on top of %d acknowledged by %s", base, n.Name)
			return nil
		}
		last = fmt.Sprint(status, err)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement: %s", last)
}

// AwaitReady waits until all gateways call themselves ready.
func (f *Fleet) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range f.Gateway {
		for {
			status, _, err := call(http.MethodGet, "http://"+n.Ready()+W["readiness"], nil, nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %d %v", n.Name, status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func call(method, url string, body []byte, header map[string]string, within time.Duration) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, raw, err
}
