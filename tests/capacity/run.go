package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/tests/loopback"
)

// silentControlNode is the role of a control node that is in no seat, or does not say where.
const silentControlNode = "office that does not say its seat"

// answerMost is when a change counts as not acknowledged.
const answerMost = 20 * time.Second

// Plan is one run.
type Plan struct {
	Size
	Axis       string
	Petreltide string
	Folder     string
	Window     time.Duration
	Warm       time.Duration
	Ready      time.Duration
	Regions    int
	// Code is the commit that is measured.
	Code   string
	Faults []string
}

// Row is one measured figure.
type Row struct {
	Role     string
	Quantity string
	Unit     string
	Value    float64
}

// Run is what a run came to. Size holds the rates that were reached, not those that were wanted.
type Run struct {
	Axis  string
	Size  Size
	BeatS float64
	Rows  []Row
}

func (r *Run) add(role, quantity, unit string, value float64) {
	r.Rows = append(r.Rows, Row{role, quantity, unit, value})
}

// fleet is the real part of a run.
type fleet struct {
	plan         Plan
	zones        []string
	regions      map[string]string
	controlNodes []*process
	gateways     []*process
	world        *world
	op           *operator
}

// Play measures one fleet and ends it.
func Play(ctx context.Context, plan Plan, log io.Writer) (*Run, error) {
	if err := plan.ready(); err != nil {
		return nil, err
	}
	ctx, done := context.WithCancel(ctx)
	f := &fleet{plan: plan, regions: map[string]string{}}
	defer func() {
		done()
		f.kill()
	}()
	run := &Run{Axis: plan.Axis, Size: plan.Size}
	defer f.tellEnded(log)
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	if err := f.settle(ctx, run, log); err != nil {
		return run, err
	}
	if err := f.window(ctx, run); err != nil {
		return run, err
	}
	for _, name := range plan.Faults {
		if err := f.cause(ctx, run, name); err != nil {
			fmt.Fprintf(log, "  %s: %v\n", name, err)
		}
	}
	return run, ctx.Err()
}

// ready: the plan fits this machine, its folder can be written and the program is there.
func (p *Plan) ready() error {
	machine, err := ThisMachine()
	if err != nil {
		return err
	}
	if bad := p.Check(machine); bad != nil {
		return bad
	}
	if bad := Writable(p.Folder); bad != nil {
		return bad
	}
	if _, err := os.Stat(p.Petreltide); err != nil {
		return fault.New(fault.BadSettings, "petreltide", "%v", err)
	}
	return nil
}

// settle sends the first configuration, begins the world and waits until all know all.
func (f *fleet) settle(ctx context.Context, run *Run, log io.Writer) error {
	limited, over := context.WithTimeout(ctx, f.plan.Ready)
	first, err := f.op.replace(limited)
	over()
	if err != nil {
		return err
	}
	run.add("operator", "first configuration", "bytes", float64(first.bytes))
	began := time.Now()
	f.world.begin(ctx, f.gatewaysSeeds())
	ready := f.steady(ctx)
	run.add("fleet", "start until all know all", "s", time.Since(began).Seconds())
	if !ready {
		fmt.Fprintf(log, "  not every desk knew every replica after %v\n", f.plan.Ready)
	}
	run.add("fleet", "all knew all", "0 or 1", oneIf(ready))
	run.add("desk's side", "bytes in of a start", "bytes", f.world.gateway.now().gotB/float64(f.plan.Gateways))
	pause(ctx, f.plan.Warm)
	run.add("run", "load average of the machine", "processes", loadAverage())
	return nil
}

// oneIf writes yes as 1 and no as 0.
func oneIf(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// real are all processes of a run.
func (f *fleet) real() []*process { return append(slices.Clone(f.controlNodes), f.gateways...) }

// kill ends all processes and waits for the hollow part.
func (f *fleet) kill() {
	for _, p := range f.real() {
		p.kill()
	}
	if f.world != nil {
		f.world.group.Wait()
	}
}

// tellEnded says which processes have ended by themselves, and how.
func (f *fleet) tellEnded(log io.Writer) {
	for _, p := range f.real() {
		if p.cmd == nil {
			continue
		}
		if words, ended := p.ended(); ended {
			fmt.Fprintf(log, "  %s\n", words)
		}
	}
}

// seedsMost is how many control nodes every process is told of.
const seedsMost = 3

// start places and starts all processes, and serves the hollow part.
func (f *fleet) start(ctx context.Context) error {
	f.nameZones()
	own, err := loopback.Claim()
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, own.Close)
	ofReplicas, err := loopback.Claim()
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, ofReplicas.Close)
	f.name(own)
	seeds, controls := []string{}, []string{}
	for i, p := range f.controlNodes {
		if i < seedsMost {
			seeds = append(seeds, p.ip)
		}
		controls = append(controls, p.control())
	}
	for _, p := range f.real() {
		if err := p.place(f.plan.Folder, seeds, f.regions, true, f.plan.HeartbeatMs); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	f.world = newWorld(f.plan.Size, own, ofReplicas, controls, f.zones)
	f.op = newOperator(f.world, controls)
	return f.world.serve(ctx)
}

// nameZones names a zone for each control node, and the region that it lies in.
func (f *fleet) nameZones() {
	regions := max(1, f.plan.Regions)
	for i := range max(3, f.plan.ControlNodes) {
		zone := fmt.Sprintf("zone%02d", i)
		f.zones = append(f.zones, zone)
		f.regions[zone] = fmt.Sprintf("region%02d", i%regions)
	}
}

// name gives each process its name, address and zone.
func (f *fleet) name(own *loopback.Network) {
	for i := range f.plan.ControlNodes {
		f.controlNodes = append(f.controlNodes, &process{name: fmt.Sprintf("office-%02d", i), role: "office", ip: own.Host(0, 1+i), zone: f.zones[i], bin: f.plan.Petreltide})
	}
	for i := range f.plan.RealGateways {
		f.gateways = append(f.gateways, &process{name: fmt.Sprintf("desk-%02d", i), role: "desk", ip: own.Host(1, 1+i), zone: f.zones[i%len(f.zones)], bin: f.plan.Petreltide})
	}
}

// gatewaysSeeds are all that a gateway is told of other machines.
func (f *fleet) gatewaysSeeds() []string {
	all := []string{}
	for _, p := range f.controlNodes[:seedsMost] {
		all = append(all, p.internal())
	}
	return all
}

// Series plays plans one after the other and hands each run on as it ends.
func Series(ctx context.Context, plans []Plan, log io.Writer, each func(*Run) error) error {
	machine, err := ThisMachine()
	if err != nil {
		return err
	}
	for _, p := range plans {
		if bad := p.Check(machine); bad != nil {
			return fault.New(bad.Code, p.Axis, "%s: %s", p.Size, bad.Error())
		}
	}
	for i, p := range plans {
		began := time.Now()
		folder := filepath.Join(p.Folder, fmt.Sprintf("%02d-%s", i, p.Axis))
		p.Folder = folder
		fmt.Fprintf(log, "%d/%d %s: %s\n", i+1, len(plans), p.Axis, p.Size)
		run, err := Play(ctx, p, log)
		if err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			fmt.Fprintf(log, "  FAILED after %.0f s: %v\n", time.Since(began).Seconds(), err)
			if run == nil {
				run = &Run{Axis: p.Axis, Size: p.Size}
			}
			run.add("run", "failed", "0 or 1", 1)
		}
		run.add("run", "code", p.Code, float64(began.Unix()))
		if err := each(run); err != nil {
			return err
		}
		fmt.Fprintf(log, "  %.0f s\n", time.Since(began).Seconds())
		if err := os.RemoveAll(folder); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
