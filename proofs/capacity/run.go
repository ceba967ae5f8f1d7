package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/fault"
	"petreltide/proofs/loopback"
)

// silentOffice is the role of an office that is in no seat, or does not say where.
const silentOffice = "office that does not say its seat"

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
	plan    Plan
	zones   []string
	regions map[string]string
	offices []*process
	desks   []*process
	world   *world
	op      *operator
}

type officeStatus struct {
	Office struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
	} `json:"office"`
	Phase string `json:"phase"`
	View  struct {
		Number uint64 `json:"number"`
		Order  []struct {
			Name string `json:"name"`
		} `json:"order"`
	} `json:"view"`
	OnDuty   bool              `json:"onDuty"`
	Revision uint64            `json:"revision"`
	Replicas []json.RawMessage `json:"replicas"`
	Pending  []json.RawMessage `json:"pending"`
	Loads    uint64            `json:"loads"`
	Open     bool              `json:"open"`
}

func get(ctx context.Context, url string, into any) (size int, err error) {
	ctx, done := context.WithTimeout(ctx, 5*time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s: %d %v", url, res.StatusCode, err)
	}
	if into == nil {
		return len(raw), nil
	}
	return len(raw), errors.Trace(json.Unmarshal(raw, into))
}

// Play measures one fleet and ends it.
func Play(ctx context.Context, plan Plan, log io.Writer) (*Run, error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	if bad := plan.Check(machine); bad != nil {
		return nil, bad
	}
	if bad := Writable(plan.Folder); bad != nil {
		return nil, bad
	}
	if _, err := os.Stat(plan.Petreltide); err != nil {
		return nil, fault.New(fault.BadSettings, "petreltide", "%v", err)
	}
	ctx, done := context.WithCancel(ctx)
	f := &fleet{plan: plan, regions: map[string]string{}}
	defer func() {
		done()
		for _, p := range append(slices.Clone(f.offices), f.desks...) {
			p.kill()
		}
		if f.world != nil {
			f.world.group.Wait()
		}
	}()
	run := &Run{Axis: plan.Axis, Size: plan.Size}
	defer func() {
		for _, p := range append(slices.Clone(f.offices), f.desks...) {
			if p.cmd == nil {
				continue
			}
			if words, ended := p.ended(); ended {
				fmt.Fprintf(log, "  %s\n", words)
			}
		}
	}()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	limited, over := context.WithTimeout(ctx, plan.Ready)
	first, err := f.op.replace(limited)
	over()
	if err != nil {
		return run, err
	}
	run.add("operator", "first configuration", "bytes", float64(first.bytes))
	began := time.Now()
	f.world.begin(ctx, f.desksSeeds())
	ready := f.steady(ctx)
	run.add("fleet", "start until all know all", "s", time.Since(began).Seconds())
	if !ready {
		fmt.Fprintf(log, "  not every desk knew every replica after %v\n", plan.Ready)
	}
	run.add("fleet", "all knew all", "0 or 1", map[bool]float64{true: 1}[ready])
	run.add("desk's side", "bytes in of a start", "bytes", f.world.desk.now().gotB/float64(plan.Desks))
	pause(ctx, plan.Warm)
	run.add("run", "load average of the machine", "processes", loadAverage())
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

func (f *fleet) start(ctx context.Context) error {
	z := f.plan.Size
	regions := max(1, f.plan.Regions)
	for i := range max(3, z.Offices) {
		zone := fmt.Sprintf("zone%02d", i)
		f.zones = append(f.zones, zone)
		f.regions[zone] = fmt.Sprintf("region%02d", i%regions)
	}
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
	for i := range z.Offices {
		f.offices = append(f.offices, &process{name: fmt.Sprintf("office-%02d", i), role: "office", ip: own.Host(0, 1+i), zone: f.zones[i], bin: f.plan.Petreltide})
	}
	for i := range z.RealDesks {
		f.desks = append(f.desks, &process{name: fmt.Sprintf("desk-%02d", i), role: "desk", ip: own.Host(1, 1+i), zone: f.zones[i%len(f.zones)], bin: f.plan.Petreltide})
	}
	seeds, controls := []string{}, []string{}
	for i, p := range f.offices {
		if i < 3 {
			seeds = append(seeds, p.ip)
		}
		controls = append(controls, p.control())
	}
	for _, p := range append(slices.Clone(f.offices), f.desks...) {
		if err := p.place(f.plan.Folder, seeds, f.regions, true, z.HeartbeatMs); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	f.world = newWorld(z, own, ofReplicas, controls, f.zones)
	f.op = newOperator(f.world, controls)
	if err := f.world.serve(ctx); err != nil {
		return err
	}
	return nil
}

// desksSeeds are all that a desk is told of other machines.
func (f *fleet) desksSeeds() []string {
	all := []string{}
	for _, p := range f.offices[:3] {
		all = append(all, p.internal())
	}
	return all
}

// steady waits until every hollow desk follows two offices and has been told of every replica.
func (f *fleet) steady(ctx context.Context) bool {
	until := time.Now().Add(f.plan.Ready)
	for time.Now().Before(until) && ctx.Err() == nil {
		all := f.seated(ctx) == len(f.offices)
		for _, d := range f.world.desks {
			if d.streams.Load() < 2 || d.revision.Load() < f.op.revision.Load() || d.rows.Load() < int64(f.plan.Replicas) {
				all = false
				break
			}
		}
		if all {
			return true
		}
		pause(ctx, 200*time.Millisecond)
	}
	return false
}

func (f *fleet) seated(ctx context.Context) int {
	st := officeStatus{}
	if _, err := get(ctx, "http://"+f.offices[0].internal()+"/v1/status", &st); err != nil {
		return 0
	}
	return len(st.View.Order)
}

// roles names the offices by their place in the chain, as they say it themselves.
func (f *fleet) roles(ctx context.Context) (map[string]string, error) {
	var last error
	for _, p := range f.offices {
		st := officeStatus{}
		if _, err := get(ctx, "http://"+p.internal()+"/v1/status", &st); err != nil {
			last = err
			continue
		}
		roles := map[string]string{}
		for i, s := range st.View.Order {
			switch i {
			case 0:
				roles[s.Name] = "controller"
			case len(st.View.Order) - 1:
				roles[s.Name] = "tail"
			default:
				roles[s.Name] = "member"
			}
		}
		return roles, nil
	}
	return nil, last
}

func (f *fleet) usages() (map[string]usage, error) {
	all := map[string]usage{}
	for _, p := range append(slices.Clone(f.offices), f.desks...) {
		u, err := p.usage()
		if err != nil {
			return nil, errors.Annotatef(err, "%s has ended", p.name)
		}
		all[p.name] = u
	}
	return all, nil
}

// window measures a stretch in which nothing but the size's own load happens.
func (f *fleet) window(ctx context.Context, run *Run) error {
	roles, err := f.roles(ctx)
	if err != nil {
		roles = map[string]string{}
	}
	w := f.world
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go f.watchDesk(watching, f.desks[len(f.desks)-1])
	before, err := f.usages()
	if err != nil {
		return err
	}
	began := time.Now()
	desk, beat, order, rows := w.desk.now(), w.beat.now(), w.order.now(), w.rows.Load()
	late, lost := w.lateBeats.Load(), w.lostReports.Load()
	loads, orders := w.moves()
	w.beatMs.take()
	changes, unanswered := f.changes(ctx, f.plan.Window)
	spanS := time.Since(began).Seconds()
	after, err := f.usages()
	if err != nil {
		return err
	}
	spent := w.desk.now().since(desk, spanS)
	beaten := w.beat.now().since(beat, spanS)
	ordered := w.order.now().since(order, spanS)
	loadsNow, ordersNow := w.moves()
	late, lost = w.lateBeats.Load()-late, w.lostReports.Load()-lost
	rowsS := float64(w.rows.Load()-rows) / spanS
	run.add("operator", "changes unanswered in 20 s", "0 or 1", map[bool]float64{true: 1}[unanswered != nil])
	run.Size.ChangesPerS, run.Size.LoadsPerS, run.BeatS = float64(len(changes))/spanS, float64(loadsNow-loads)/spanS, beaten.sent
	f.processes(run, roles, before, after)
	n := float64(f.plan.Desks)
	run.add("desk's side", "frames in", "1/s", spent.got/n)
	run.add("desk's side", "bytes in", "B/s", spent.gotB/n)
	run.add("desk's side", "reports out", "1/s", spent.sent/n)
	run.add("desk's side", "bytes out", "B/s", spent.sentB/n)
	run.add("desk's side", "bytes both ways", "B/s", (spent.gotB+spent.sentB)/n)
	run.add("desk's side", "replica rows in", "1/s", rowsS/n)
	run.add("desk's side", "reports lost", "1/s", float64(lost)/spanS/n)
	r := float64(f.plan.Replicas)
	run.add("replica's side", "heartbeats out", "1/s", beaten.sent/r)
	run.add("replica's side", "heartbeat bytes out", "B/s", beaten.sentB/r)
	run.add("replica's side", "heartbeat bytes in", "B/s", beaten.gotB/r)
	beats := w.beatMs.take()
	run.add("replica's side", "heartbeat answered, half", "ms", quantile(beats, 0.5))
	run.add("replica's side", "heartbeat answered, 99 in 100", "ms", quantile(beats, 0.99))
	run.add("replica's side", "heartbeats unanswered", "share", float64(late)/max(1, float64(late)+float64(len(beats))))
	run.add("replica's side", "orders and questions in", "1/s", ordered.got/r)
	run.add("replica's side", "order bytes in", "B/s", ordered.gotB/r)
	run.add("fleet", "orders taken", "1/s", float64(ordersNow-orders)/spanS)
	f.inForce(ctx, run, changes)
	if size, err := get(ctx, "http://"+f.offices[0].internal()+"/v1/state", nil); err == nil {
		run.add("member", "replicated state", "bytes", float64(size))
	}
	return nil
}

// changes sends edits at the wanted rate, one after the other, for a while.
func (f *fleet) changes(ctx context.Context, span time.Duration) ([]change, error) {
	all := []change{}
	gap := time.Duration(float64(time.Second) / f.plan.ChangesPerS)
	began := time.Now()
	for n := 0; ; n++ {
		next := began.Add(time.Duration(n)*gap + min(gap, span)/2)
		if next.After(began.Add(span)) {
			break
		}
		pause(ctx, time.Until(next))
		if time.Since(began) >= span {
			break
		}
		limited, done := context.WithTimeout(ctx, answerMost)
		c, err := f.op.edit(limited)
		done()
		if err != nil {
			return all, err
		}
		all = append(all, c)
	}
	pause(ctx, time.Until(began.Add(span)))
	return all, nil
}

func (f *fleet) processes(run *Run, roles map[string]string, before, after map[string]usage) {
	type sum struct {
		n, wait                                                            float64
		cpu, rss, peak, fds, readB, writeB, reads, writes, diskB, folderMb float64
	}
	sums := map[string]*sum{}
	for _, p := range append(slices.Clone(f.offices), f.desks[:max(1, len(f.desks)-1)]...) {
		role := roles[p.name]
		if p.role == "desk" {
			role = "desk"
		}
		if role == "" {
			role = silentOffice
		}
		s := sums[role]
		if s == nil {
			s = &sum{}
			sums[role] = s
		}
		a, b := before[p.name], after[p.name]
		spanS := b.at.Sub(a.at).Seconds()
		s.n++
		s.cpu += (b.cpuS - a.cpuS) / spanS
		s.wait += (b.waitS - a.waitS) / spanS
		s.rss += b.rssMb
		s.peak += b.peakMb
		s.fds += float64(b.fds)
		s.readB += (b.readB - a.readB) / spanS
		s.writeB += (b.writeB - a.writeB) / spanS
		s.reads += (b.reads - a.reads) / spanS
		s.writes += (b.writes - a.writes) / spanS
		s.diskB += (b.diskB - a.diskB) / spanS
		s.folderMb += b.folderB / (1 << 20)
	}
	for _, role := range []string{"controller", "member", "tail", "desk", silentOffice} {
		s := sums[role]
		if s == nil {
			continue
		}
		run.add(role, "processor", "cores", s.cpu/s.n)
		run.add(role, "waited for the machine", "cores", s.wait/s.n)
		run.add(role, "memory", "MB", s.rss/s.n)
		run.add(role, "memory at its peak", "MB", s.peak/s.n)
		run.add(role, "descriptors", "open", s.fds/s.n)
		run.add(role, "bytes in", "B/s", s.readB/s.n)
		run.add(role, "bytes out", "B/s", s.writeB/s.n)
		run.add(role, "reads", "1/s", s.reads/s.n)
		run.add(role, "writes", "1/s", s.writes/s.n)
		if role != "desk" {
			run.add(role, "disk writes", "B/s", s.diskB/s.n)
			run.add(role, "data folder", "MB", s.folderMb/s.n)
		}
	}
}

// watchDesk asks a real desk what it has; this costs that desk something, so its own load is not counted.
func (f *fleet) watchDesk(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		st := struct {
			Work struct {
				Revision uint64 `json:"revision"`
			} `json:"work"`
		}{}
		if _, err := get(ctx, "http://"+p.deskPort()+"/v1/status", &st); err == nil && st.Work.Revision > 0 {
			f.world.track.has(p.name, st.Work.Revision)
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// inForce waits for the last follower of each change and notes how long after the acknowledgement it was.
func (f *fleet) inForce(ctx context.Context, run *Run, changes []change) {
	followers := 0
	for _, d := range f.world.desks {
		if !d.dead.Load() {
			followers++
		}
	}
	acks, last, each, real := []float64{}, []float64{}, []float64{}, []float64{}
	missing, bytes := 0, 0.0
	until := time.Now().Add(12 * time.Second)
	for _, c := range changes {
		var times map[string]time.Time
		for {
			times = f.world.track.times(c.revision)
			if len(times) > followers || time.Now().After(until) || ctx.Err() != nil {
				break
			}
			pause(ctx, 50*time.Millisecond)
		}
		if len(times) <= followers {
			missing++
		}
		acks = append(acks, float64(c.acked.Sub(c.sent))/1e6)
		bytes += float64(c.bytes)
		latest := c.acked
		for who, at := range times {
			ms := max(0, float64(at.Sub(c.acked))/1e6)
			if who == f.desks[len(f.desks)-1].name {
				real = append(real, ms)
				continue
			}
			each = append(each, ms)
			if at.After(latest) {
				latest = at
			}
		}
		last = append(last, float64(latest.Sub(c.acked))/1e6)
	}
	for _, all := range [][]float64{acks, last, each, real} {
		slices.Sort(all)
	}
	if len(changes) == 0 {
		return
	}
	run.add("operator", "bytes of a change", "bytes", bytes/float64(len(changes)))
	run.add("operator", "acknowledged, half", "ms", quantile(acks, 0.5))
	run.add("operator", "acknowledged, 99 in 100", "ms", quantile(acks, 0.99))
	run.add("operator", "in force at a desk after acknowledgement, half", "ms", quantile(each, 0.5))
	run.add("operator", "in force at a desk after acknowledgement, 99 in 100", "ms", quantile(each, 0.99))
	run.add("operator", "in force at the last desk, half", "ms", quantile(last, 0.5))
	run.add("operator", "in force at the last desk, longest", "ms", quantile(last, 1))
	run.add("operator", "in force at a real desk, longest", "ms", quantile(real, 1))
	run.add("operator", "changes not in force everywhere in 12 s", "share", float64(missing)/float64(len(changes)))
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
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
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
