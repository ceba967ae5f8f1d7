package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// usages are what all processes have used up to now.
func (f *fleet) usages() (map[string]usage, error) {
	all := map[string]usage{}
	for _, p := range f.real() {
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
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go f.watchGateway(watching, f.gateways[len(f.gateways)-1])
	before, err := f.usages()
	if err != nil {
		return err
	}
	began := time.Now()
	start := f.world.look()
	f.world.beatMs.take()
	changes, unanswered := f.changes(ctx, f.plan.Window)
	spanS := time.Since(began).Seconds()
	after, err := f.usages()
	if err != nil {
		return err
	}
	w := f.world.look().since(start, spanS)
	run.add("operator", "changes unanswered in 20 s", "0 or 1", oneIf(unanswered != nil))
	run.Size.ChangesPerS, run.Size.LoadsPerS, run.BeatS = float64(len(changes))/spanS, w.loads, w.beat.sent
	f.processes(run, roles, before, after)
	run.addGateways(w, float64(f.plan.Gateways))
	run.addReplicas(w, f.world.beatMs.take(), float64(f.plan.Replicas))
	run.add("fleet", "orders taken", "1/s", w.orders)
	f.inForce(ctx, run, changes)
	if size, err := get(ctx, "http://"+f.controlNodes[0].internal()+"/v1/state", nil); err == nil {
		run.add("member", "replicated state", "bytes", float64(size))
	}
	return nil
}

// traffic is what the hollow part has sent and got: in all up to a look, or a second between two.
type traffic struct {
	gateway, beat, order counts
	// rows are replicas' rows in frames; late heartbeats and lost reports had no answer; loads and orders were taken.
	rows, lateBeats, lostReports, loads, orders float64
}

func (w *world) look() traffic {
	t := traffic{
		gateway: w.gateway.now(), beat: w.beat.now(), order: w.order.now(), rows: float64(w.rows.Load()),
		lateBeats: float64(w.lateBeats.Load()), lostReports: float64(w.lostReports.Load()),
	}
	loads, orders := w.moves()
	t.loads, t.orders = float64(loads), float64(orders)
	return t
}

// since is the traffic a second from an earlier look on; late heartbeats stay a count.
func (t traffic) since(o traffic, spanS float64) traffic {
	return traffic{
		gateway: t.gateway.since(o.gateway, spanS), beat: t.beat.since(o.beat, spanS), order: t.order.since(o.order, spanS),
		rows: (t.rows - o.rows) / spanS, lateBeats: t.lateBeats - o.lateBeats, lostReports: (t.lostReports - o.lostReports) / spanS,
		loads: (t.loads - o.loads) / spanS, orders: (t.orders - o.orders) / spanS,
	}
}

// addGateways adds what each of n gateways sends and gets.
func (r *Run) addGateways(t traffic, n float64) {
	r.add("desk's side", "frames in", "1/s", t.gateway.got/n)
	r.add("desk's side", "bytes in", "B/s", t.gateway.gotB/n)
	r.add("desk's side", "reports out", "1/s", t.gateway.sent/n)
	r.add("desk's side", "bytes out", "B/s", t.gateway.sentB/n)
	r.add("desk's side", "bytes both ways", "B/s", (t.gateway.gotB+t.gateway.sentB)/n)
	r.add("desk's side", "replica rows in", "1/s", t.rows/n)
	r.add("desk's side", "reports lost", "1/s", t.lostReports/n)
}

// addReplicas adds what each of n replicas sends and gets, and how fast its heartbeats are answered.
func (r *Run) addReplicas(t traffic, beatMs []float64, n float64) {
	r.add("replica's side", "heartbeats out", "1/s", t.beat.sent/n)
	r.add("replica's side", "heartbeat bytes out", "B/s", t.beat.sentB/n)
	r.add("replica's side", "heartbeat bytes in", "B/s", t.beat.gotB/n)
	r.add("replica's side", "heartbeat answered, half", "ms", quantile(beatMs, 0.5))
	r.add("replica's side", "heartbeat answered, 99 in 100", "ms", quantile(beatMs, 0.99))
	r.add("replica's side", "heartbeats unanswered", "share", t.lateBeats/max(1, t.lateBeats+float64(len(beatMs))))
	r.add("replica's side", "orders and questions in", "1/s", t.order.got/n)
	r.add("replica's side", "order bytes in", "B/s", t.order.gotB/n)
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

// processes adds what processes of each role used, on average.
func (f *fleet) processes(run *Run, roles map[string]string, before, after map[string]usage) {
	sums := map[string]*roleUse{}
	for _, p := range append(slices.Clone(f.controlNodes), f.gateways[:max(1, len(f.gateways)-1)]...) {
		role := roles[p.name]
		if p.role == "desk" {
			role = "desk"
		}
		if role == "" {
			role = silentControlNode
		}
		if sums[role] == nil {
			sums[role] = &roleUse{}
		}
		sums[role].take(before[p.name], after[p.name])
	}
	for _, role := range []string{"controller", "member", "tail", "desk", silentControlNode} {
		if s := sums[role]; s != nil {
			s.addTo(run, role)
		}
	}
}

// roleUse sums what the processes of one role used, of which there are n; what rises with time is summed a second.
type roleUse struct {
	n, wait                                                            float64
	cpu, rss, peak, fds, readB, writeB, reads, writes, diskB, folderMb float64
}

func (s *roleUse) take(a, b usage) {
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

func (s *roleUse) addTo(run *Run, role string) {
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

// watchGateway asks a real gateway what it has; this costs that gateway something, so its own load is not counted.
func (f *fleet) watchGateway(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		st := struct {
			Work struct {
				Revision uint64 `json:"revision"`
			} `json:"work"`
		}{}
		if _, err := get(ctx, "http://"+p.gatewayPort()+"/v1/status", &st); err == nil && st.Work.Revision > 0 {
			f.world.track.has(p.name, st.Work.Revision)
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// inForceMost is how long the last follower of a change is waited for.
const inForceMost = 12 * time.Second

// changeTimes are, in ms, how long changes took to be acknowledged, and from then on to be in force: at the last
// hollow gateway, at each of them, and at the real one.
type changeTimes struct {
	acks, last, each, real []float64
	missing                int
	bytes                  float64
}

// inForce waits for the last follower of each change and notes how long after the acknowledgement it was.
func (f *fleet) inForce(ctx context.Context, run *Run, changes []change) {
	followers := 0
	for _, d := range f.world.gateways {
		if !d.dead.Load() {
			followers++
		}
	}
	t := &changeTimes{}
	until := time.Now().Add(inForceMost)
	for _, c := range changes {
		times := f.awaitFollowers(ctx, c, followers, until)
		if len(times) <= followers {
			t.missing++
		}
		t.take(c, times, f.gateways[len(f.gateways)-1].name)
	}
	if len(changes) > 0 {
		t.addTo(run, float64(len(changes)))
	}
}

// awaitFollowers gives when each follower had a change, once the hollow gateways and the real one have it or it is late.
func (f *fleet) awaitFollowers(ctx context.Context, c change, followers int, until time.Time) map[string]time.Time {
	for {
		times := f.world.track.times(c.revision)
		if len(times) > followers || time.Now().After(until) || ctx.Err() != nil {
			return times
		}
		pause(ctx, 50*time.Millisecond)
	}
}

func (t *changeTimes) take(c change, times map[string]time.Time, realGateway string) {
	t.acks = append(t.acks, milliseconds(c.acked.Sub(c.sent)))
	t.bytes += float64(c.bytes)
	latest := c.acked
	for who, at := range times {
		ms := max(0, milliseconds(at.Sub(c.acked)))
		if who == realGateway {
			t.real = append(t.real, ms)
			continue
		}
		t.each = append(t.each, ms)
		if at.After(latest) {
			latest = at
		}
	}
	t.last = append(t.last, milliseconds(latest.Sub(c.acked)))
}

func (t *changeTimes) addTo(run *Run, changes float64) {
	for _, all := range [][]float64{t.acks, t.last, t.each, t.real} {
		slices.Sort(all)
	}
	run.add("operator", "bytes of a change", "bytes", t.bytes/changes)
	run.add("operator", "acknowledged, half", "ms", quantile(t.acks, 0.5))
	run.add("operator", "acknowledged, 99 in 100", "ms", quantile(t.acks, 0.99))
	run.add("operator", "in force at a desk after acknowledgement, half", "ms", quantile(t.each, 0.5))
	run.add("operator", "in force at a desk after acknowledgement, 99 in 100", "ms", quantile(t.each, 0.99))
	run.add("operator", "in force at the last desk, half", "ms", quantile(t.last, 0.5))
	run.add("operator", "in force at the last desk, longest", "ms", quantile(t.last, 1))
	run.add("operator", "in force at a real desk, longest", "ms", quantile(t.real, 1))
	run.add("operator", "changes not in force everywhere in 12 s", "share", float64(t.missing)/changes)
}

// milliseconds is a span in ms, with its fraction.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
