package capacity

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"petreltide/tests/capacity/platform"
)

// process is one real control node or gateway.
type process struct {
	name string
	role string
	ip   string
	zone string
	data string
	bin  string
	file string
	cmd  *exec.Cmd
	gone chan struct{}
}

func (p *process) control() string     { return platform.Control(p.ip) }
func (p *process) internal() string    { return platform.Internal(p.ip) }
func (p *process) gatewayPort() string { return platform.Gateway(p.ip) }

// place writes the settings that the platform would give.
func (p *process) place(folder string, seeds []string, zones map[string]string, first bool, heartbeatMs int) error {
	if p.role == "office" {
		p.data = filepath.Join(folder, p.name)
	}
	p.file = filepath.Join(folder, p.name+".json")
	node := platform.Node{Name: p.name, Role: p.role, IP: p.ip, Zone: p.zone, Data: p.data, Zones: zones, Seeds: seeds, First: first, BeatMs: heartbeatMs}
	return errors.Trace(os.WriteFile(p.file, node.Settings(), 0o644))
}

// start runs it as on a machine with one core.
func (p *process) start() error {
	out, err := os.OpenFile(p.output(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()
	cmd := exec.Command(p.bin, "platform", p.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.file, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	gone := make(chan struct{})
	p.cmd, p.gone = cmd, gone
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	return nil
}

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.gone
}

// ended says how a process ended that should be running, with its last words.
func (p *process) ended() (string, bool) {
	select {
	case <-p.gone:
	default:
		return "", false
	}
	raw, _ := os.ReadFile(p.output())
	return fmt.Sprintf("%s ended: %v\n%s", p.name, p.cmd.ProcessState, raw[max(0, len(raw)-4_000):]), true
}

func (p *process) output() string { return strings.TrimSuffix(p.file, ".json") + ".out" }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// usage is what /proc says of one process.
type usage struct {
	at      time.Time
	cpuS    float64
	waitS   float64
	rssMb   float64
	peakMb  float64
	fds     int
	readB   float64
	writeB  float64
	reads   float64
	writes  float64
	diskB   float64
	folderB float64
}

func (p *process) usage() (usage, error) {
	u := usage{at: time.Now()}
	root := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	tasks, err := os.ReadDir(root + "/task")
	if err != nil {
		return u, errors.Trace(err)
	}
	for _, t := range tasks {
		raw, err := os.ReadFile(root + "/task/" + t.Name() + "/schedstat")
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(raw)); len(fields) > 1 {
			ran, _ := strconv.ParseFloat(fields[0], 64)
			waited, _ := strconv.ParseFloat(fields[1], 64)
			u.cpuS, u.waitS = u.cpuS+ran/1e9, u.waitS+waited/1e9
		}
	}
	status, err := fieldsOf(root + "/status")
	if err != nil {
		return u, err
	}
	u.rssMb, u.peakMb = status["VmRSS"]/1024, status["VmHWM"]/1024
	io, err := fieldsOf(root + "/io")
	if err != nil {
		return u, err
	}
	u.readB, u.writeB, u.reads, u.writes, u.diskB = io["rchar"], io["wchar"], io["syscr"], io["syscw"], io["write_bytes"]
	fds, err := os.ReadDir(root + "/fd")
	if err != nil {
		return u, errors.Trace(err)
	}
	u.fds = len(fds)
	if p.data != "" {
		_ = filepath.Walk(p.data, func(_ string, info os.FileInfo, err error) error {
			if err == nil && !info.IsDir() {
				u.folderB += float64(info.Size())
			}
			return nil
		})
	}
	return u, nil
}

func fieldsOf(path string) (map[string]float64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	all := map[string]float64{}
	for _, line := range strings.Split(string(raw), "\n") {
		if name, rest, ok := strings.Cut(line, ":"); ok {
			if fields := strings.Fields(rest); len(fields) > 0 {
				n, _ := strconv.ParseFloat(fields[0], 64)
				all[name] = n
			}
		}
	}
	return all, nil
}
