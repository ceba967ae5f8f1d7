// Package capacity measures what each role needs as the fleet grows: real control nodes and gateways against many
// hollow gateways and hollow replicas in one process, over real connections.
package capacity

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"petreltide/internal/api/fault"
)

// Size is one fleet. Changes and loads are wanted rates; a run notes what they came to.
type Size struct {
	ControlNodes int
	Gateways     int
	Replicas     int
	Models       int
	Adapters     int
	// Running are requests under way at each gateway.
	Running      int
	ChangesPerS  float64
	LoadsPerS    float64
	HeartbeatMs  int
	RealGateways int
}

// Target is what the page is measured against: 1.7 M tokens a second at 31 ms between them are 52,700 requests
// under way, 129 at each of 410 gateways.
var Target = Size{
	ControlNodes: 51, Gateways: 410, Replicas: 10_000, Models: 250, Adapters: 2_800, Running: 129,
	ChangesPerS: 26_000.0 / 86_400, LoadsPerS: 8_000.0 / 3_600, HeartbeatMs: 1_200,
}

const (
	controlNodesMost = 64
	processesMost    = 300
	modelsMost       = 8_192
	adaptersMost     = 65_536
	replicasMost     = 20_000
	gatewaysMost     = 4_096
	runningMost      = 4_096
	heartbeatLeast   = 20
	heartbeatMost    = 60_000
	ratesMost        = 100.0
)

// Check refuses what cannot be run, or what would take more of this machine than a run may.
func (z Size) Check(m Machine) *fault.Fault {
	sheet := &fault.List{}
	in := func(field string, n, least, most int) {
		if n < least || n > most {
			sheet.Addf(fault.BadField, field, "%d is not within %d and %d", n, least, most)
		}
	}
	in("offices", z.ControlNodes, 3, controlNodesMost)
	in("desks", z.Gateways, 1, gatewaysMost)
	in("replicas", z.Replicas, 1, replicasMost)
	in("models", z.Models, 1, modelsMost)
	in("adapters", z.Adapters, 1, adaptersMost)
	in("running", z.Running, 1, runningMost)
	in("heartbeat-ms", z.HeartbeatMs, heartbeatLeast, heartbeatMost)
	in("real-desks", z.RealGateways, 1, 16)
	if !(z.ChangesPerS > 0 && z.ChangesPerS <= ratesMost) {
		sheet.Addf(fault.BadField, "changes", "%v a second is not above 0 and at most %v", z.ChangesPerS, ratesMost)
	}
	if !(z.LoadsPerS >= 0 && z.LoadsPerS <= ratesMost) {
		sheet.Addf(fault.BadField, "loads", "%v a second is not within 0 and %v", z.LoadsPerS, ratesMost)
	}
	if sheet.Any() {
		return sheet.Combined(fault.BadField)
	}
	if n := z.ControlNodes + z.RealGateways; n > processesMost {
		sheet.Addf(fault.TooLarge, "processes", "%d processes; a run may start %d", n, processesMost)
	}
	if need := z.needMb(); need > m.MemoryMb/2 {
		sheet.Addf(fault.TooLarge, "memory", "about %d MB; a run may take %d MB, half of the machine's", need, m.MemoryMb/2)
	}
	if need := z.needDescriptors(); need > m.Descriptors {
		sheet.Addf(fault.TooLarge, "descriptors", "about %d; a process may open %d here", need, m.Descriptors)
	}
	return sheet.Combined(fault.TooLarge)
}

// needMb is a rough upper bound of a run's memory: each control node keeps rows and writes whole frames of them to its
// gateways; the hollow side keeps little of each replica and gateway.
func (z Size) needMb() int {
	rowsKb := z.Replicas*24 + z.Models/2
	controlNodes := z.ControlNodes * (48*1024 + rowsKb)
	frames := z.Gateways * 2 * (128 + z.Replicas*2)
	hollow := 256*1024 + z.Replicas*64 + z.Gateways*(512+z.Running)
	real := z.RealGateways * (48*1024 + rowsKb)
	return (controlNodes + frames + hollow + real) / 1024
}

func (z Size) needDescriptors() int { return 200 + 3*z.Replicas + 8*z.Gateways }

// Machine is what this machine has.
type Machine struct {
	MemoryMb    int
	Descriptors int
}

// ThisMachine reads what may be used here.
func ThisMachine() (Machine, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return Machine{}, fault.New(fault.BadSettings, "/proc/meminfo", "%v", err)
	}
	defer file.Close()
	m := Machine{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "MemTotal:" {
			kb, _ := strconv.Atoi(fields[1])
			m.MemoryMb = kb / 1024
		}
	}
	limit := syscall.Rlimit{}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return Machine{}, fault.New(fault.BadSettings, "descriptors", "%v", err)
	}
	m.Descriptors = int(limit.Cur)
	if m.MemoryMb == 0 {
		return Machine{}, fault.New(fault.BadSettings, "/proc/meminfo", "it names no memory")
	}
	return m, nil
}

// loadAverage is how busy others keep this machine.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	text, _, _ := strings.Cut(string(raw), " ")
	v, _ := strconv.ParseFloat(text, 64)
	return v
}

// Writable refuses a folder that cannot be written to, before anything is started.
func Writable(folder string) *fault.Fault {
	if folder == "" {
		return fault.New(fault.BadField, "out", "name a folder")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fault.New(fault.DataNotWritable, folder, "%v", err)
	}
	probe := filepath.Join(folder, ".writable")
	if err := os.WriteFile(probe, nil, 0o644); err != nil {
		return fault.New(fault.DataNotWritable, folder, "%v", err)
	}
	if err := os.Remove(probe); err != nil {
		return fault.New(fault.DataNotWritable, folder, "%v", err)
	}
	return nil
}

func (z Size) String() string {
	return fmt.Sprintf("offices=%d desks=%d replicas=%d models=%d adapters=%d running=%d changes=%g/s loads=%g/s heartbeat=%dms",
		z.ControlNodes, z.Gateways, z.Replicas, z.Models, z.Adapters, z.Running, z.ChangesPerS, z.LoadsPerS, z.HeartbeatMs)
}

// Small is the size that the others are varied from.
var Small = Size{
	ControlNodes: 3, Gateways: 20, Replicas: 100, Models: 50, Adapters: 200, Running: 30, ChangesPerS: 0.5, LoadsPerS: 0.5, HeartbeatMs: 1_200, RealGateways: 2,
}
