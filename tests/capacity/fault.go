package capacity

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
)

const (
	recoverMost  = 40 * time.Second
	settleSpan   = 5 * time.Second
	awayChanges  = 4
	awayGap      = 700 * time.Millisecond
	killOne      = "controller-killed"
	loseZone     = "zone-lost"
	killAll      = "all-offices-killed"
	regionAway   = "region-away"
	notRecovered = "not recovered"
	tooLate      = "not within 40 s: "
)

// FaultNames are the faults that a run can cause.
func FaultNames() []string { return []string{regionAway, killOne, loseZone, killAll} }

// CheckFaults refuses names that are none.
func CheckFaults(names []string) *fault.Fault {
	for _, n := range names {
		if !slices.Contains(FaultNames(), n) {
			return fault.New(fault.BadField, "faults", "%q is none of %v", n, FaultNames())
		}
	}
	return nil
}

// cause brings one fault about and measures what comes of it.
func (f *fleet) cause(ctx context.Context, run *Run, name string) error {
	pause(ctx, settleSpan)
	switch name {
	case killOne:
		return f.killControlNodes(ctx, run, name, func(_ *process, role string) bool { return role == "controller" }, nil)
	case loseZone:
		zone := f.zones[1]
		return f.killControlNodes(ctx, run, name, func(p *process, _ string) bool { return p.zone == zone }, func(z string) bool { return z == zone })
	case killAll:
		return f.killControlNodes(ctx, run, name, func(*process, string) bool { return true }, nil)
	case regionAway:
		return f.region(ctx, run, name)
	}
	return errors.Errorf("no such fault %q", name)
}

// disconnect takes hollow gateways and replicas of some zones out of touch, or brings them back.
func (f *fleet) disconnect(of func(zone string) bool, dead bool) {
	for _, d := range f.world.gateways {
		if of(d.zone) {
			d.dead.Store(dead)
		}
	}
	for _, r := range f.world.replicas {
		if of(r.zone) {
			r.mu.Lock()
			r.dead = dead
			r.mu.Unlock()
		}
	}
}

// region stops every process of one region and looks how long changes take for the others, and then how long
// until the region has them too.
func (f *fleet) region(ctx context.Context, run *Run, name string) error {
	region := f.regions[f.zones[1]]
	back := f.stopRegion(region)
	changes, err := f.changesWhileAway(ctx, run, name, time.Now())
	if err != nil {
		back()
		run.add(name, notRecovered, "0 or 1", 1)
		return err
	}
	pause(ctx, 2*time.Second)
	f.addInForce(run, name, changes)
	began := time.Now()
	back()
	if s, ok := f.until(ctx, began, f.gatewaysWhole); ok {
		run.add(name, "region back until its desks have the newest", "s", s)
	} else {
		run.add(name, notRecovered, "0 or 1", 1)
	}
	return nil
}

// stopRegion stops all that lies in a region; back lets it go on.
func (f *fleet) stopRegion(region string) (back func()) {
	of := func(zone string) bool { return f.regions[zone] == region }
	f.disconnect(of, true)
	stopped := []*process{}
	for _, p := range f.real() {
		if of(p.zone) {
			p.signal(syscall.SIGSTOP)
			stopped = append(stopped, p)
		}
	}
	return func() {
		for _, p := range stopped {
			p.signal(syscall.SIGCONT)
		}
		f.disconnect(of, false)
	}
}

// changesWhileAway sends changes one after the other, and notes when the first was acknowledged.
func (f *fleet) changesWhileAway(ctx context.Context, run *Run, name string, began time.Time) ([]change, error) {
	var changes []change
	for range awayChanges {
		c, err := f.editLimited(ctx)
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			run.add(name, "first change acknowledged", "s", c.acked.Sub(began).Seconds())
		}
		changes = append(changes, c)
		pause(ctx, awayGap)
	}
	return changes, nil
}

// editLimited sends one change, and gives it up where it is not acknowledged in the time of a recovery.
func (f *fleet) editLimited(ctx context.Context) (change, error) {
	limited, done := context.WithTimeout(ctx, recoverMost)
	defer done()
	return f.op.edit(limited)
}

// addInForce adds how long after their acknowledgement changes were in force at gateways.
func (f *fleet) addInForce(run *Run, name string, changes []change) {
	last, each := 0.0, []float64{}
	for _, c := range changes {
		for _, at := range f.world.track.times(c.revision) {
			ms := max(0, milliseconds(at.Sub(c.acked)))
			each = append(each, ms)
			last = max(last, ms)
		}
	}
	slices.Sort(each)
	run.add(name, "in force at a desk after acknowledgement, half", "ms", quantile(each, 0.5))
	run.add(name, "in force at a desk after acknowledgement, 99 in 100", "ms", quantile(each, 0.99))
	run.add(name, "in force at the last desk, longest", "ms", last)
}

// killControlNodes kills the control nodes that are chosen, with all of their zones where zones are given, looks how long it takes
// until all goes on, and starts them again: at once where none is left, else after that.
func (f *fleet) killControlNodes(ctx context.Context, run *Run, name string, which func(*process, string) bool, zones func(string) bool) error {
	roles, err := f.roles(ctx)
	if err != nil {
		return err
	}
	if zones != nil {
		f.disconnect(zones, true)
	}
	killed := []*process{}
	for _, p := range f.controlNodes {
		if which(p, roles[p.name]) {
			p.kill()
			killed = append(killed, p)
		}
	}
	began, had := time.Now(), f.op.revision.Load()
	f.world.mark()
	if len(killed) == len(f.controlNodes) {
		if err := f.startAgain(killed); err != nil {
			return err
		}
		killed = nil
	}
	run.Rows = append(run.Rows, f.recovery(ctx, name, began, had)...)
	if err := f.startAgain(killed); err != nil {
		return err
	}
	if zones != nil {
		f.disconnect(zones, false)
	}
	back := time.Now()
	f.until(ctx, back, func() bool { return f.seated(ctx) == len(f.controlNodes) && f.gatewaysWhole() })
	return ctx.Err()
}

// startAgain starts processes that were killed, on the folders that they had.
func (f *fleet) startAgain(killed []*process) error {
	for _, p := range killed {
		if err := p.place(f.plan.Folder, f.seeds(), f.regions, false, f.plan.HeartbeatMs); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// recoveryLook is one sign that all goes on after a fault.
type recoveryLook struct {
	what string
	ok   func() bool
}

// recovery looks for all signs at once that all goes on, and gives how long each took: first that changes are taken.
func (f *fleet) recovery(ctx context.Context, name string, began time.Time, had uint64) []Row {
	looks := []recoveryLook{
		{"orders sent again", f.world.orderedSinceMark},
		{"every desk follows two offices and has the newest", func() bool { return f.op.revision.Load() > had && f.gatewaysWhole() }},
		{"every heartbeat acknowledged again", func() bool { return f.world.beaten(began) }},
	}
	rows := make([]Row, len(looks)+1)
	var group sync.WaitGroup
	for i, look := range looks {
		group.Add(1)
		go func() {
			defer group.Done()
			s, ok := f.until(ctx, began, look.ok)
			rows[i+1] = recoveryRow(name, look.what, s, ok)
		}()
	}
	c, err := f.editLimited(ctx)
	rows[0] = recoveryRow(name, "changes taken again", c.acked.Sub(began).Seconds(), err == nil)
	group.Wait()
	return rows
}

// recoveryRow says after how many seconds something was so again, or that it was not in time.
func recoveryRow(name, what string, seconds float64, reached bool) Row {
	if !reached {
		return Row{name, tooLate + what, "0 or 1", 1}
	}
	return Row{name, what, "s", seconds}
}

func (f *fleet) seeds() []string {
	all := []string{}
	for _, p := range f.controlNodes[:seedsMost] {
		all = append(all, p.ip)
	}
	return all
}

// until waits until something is so, for as long as a recovery may take.
func (f *fleet) until(ctx context.Context, began time.Time, ok func() bool) (seconds float64, reached bool) {
	for time.Since(began) < recoverMost && ctx.Err() == nil {
		if ok() {
			return time.Since(began).Seconds(), true
		}
		pause(ctx, 20*time.Millisecond)
	}
	return time.Since(began).Seconds(), false
}

// gatewaysWhole: every hollow gateway that is in touch follows two control nodes and has the newest revision.
func (f *fleet) gatewaysWhole() bool {
	for _, d := range f.world.gateways {
		if !d.dead.Load() && (d.streams.Load() < 2 || d.revision.Load() < f.op.revision.Load()) {
			return false
		}
	}
	return true
}

// mark begins to look for the next order.
func (w *world) mark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ordersAtMark = w.orders
}

func (w *world) orderedSinceMark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders > w.ordersAtMark
}

// beaten: every replica in touch has had a heartbeat acknowledged since a time.
func (w *world) beaten(since time.Time) bool {
	for _, r := range w.replicas {
		r.mu.Lock()
		late := !r.dead && r.acked.Before(since)
		r.mu.Unlock()
		if late {
			return false
		}
	}
	return true
}
