package fleet

import (
	"fmt"
	"os"
	"path/filepath"
)

// Process is one process of the product as its callers see it.
type Process struct {
	Name string
	IP   string
	PID  int
	// Clients and Readiness are addresses of a gateway, ControlPlane is one of a control node, Internal of either.
	Clients, Readiness, ControlPlane, Internal string
	// Output is the file that holds what the process has written.
	Output string
	gone   chan struct{}
}

// Alive reports whether the process still runs.
func (p Process) Alive() bool {
	select {
	case <-p.gone:
		return false
	default:
		return true
	}
}

// Said returns what the process has written.
func (p Process) Said() string {
	raw, _ := os.ReadFile(p.Output)
	return string(raw)
}

// Gateways returns the gateways that were started last at each of their machines.
func (f *Fleet) Gateways() []Process { return f.processes("gateway") }

// ControlNodes returns the control nodes that were started last at each of their machines.
func (f *Fleet) ControlNodes() []Process { return f.processes("control-node") }

func (f *Fleet) processes(role string) []Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []Process{}
	for _, p := range f.of(role) {
		address := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
		one := Process{Name: p.name, IP: p.ip, PID: p.cmd.Process.Pid, Output: filepath.Join(f.plan.Folder, p.name+".out"), gone: p.gone}
		if role == "gateway" {
			one.Clients, one.Readiness, one.Internal = address(frontPort), address(readyPort), address(statusPort)
		} else {
			one.ControlPlane, one.Internal = address(controlPort), address(innerFirst)
		}
		out = append(out, one)
	}
	return out
}
