package comparison

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/scheduling"
)

const (
	lookEvery = 500 * time.Millisecond
	// looksMost is how often a tail that cannot answer for the fleet is asked where nothing is being measured.
	looksMost  = 10
	retryPause = 500 * time.Millisecond
	triesMost  = 12
	restoreFor = 30 * time.Second
)

// Fleet is what comparing needs of the operators' interface.
type Fleet interface {
	Config(ctx context.Context) (controlnode.CurrentConfig, error)
	Apply(ctx context.Context, base uint64, change string, doc *configuration.Declaration) (controlnode.ChangeAck, error)
	Look(ctx context.Context) (Look, error)
	Pause(ctx context.Context, span time.Duration) error
}

// Look is the fleet at one moment, as far as a window hangs on it.
type Look struct {
	Revision uint64
	Leader   string
	Replicas map[string]string
	Gateways map[string]string
	Gauges   []scheduling.RevisionCounters
	Loads    uint64
	LoadedMb int64
}

// Options say what is compared: the two policies, an even number of windows, how long each is and how long the fleet
// settles before it, and the seed of their order. With GoOn a spoilt window does not end the comparison.
type Options struct {
	First   configuration.Policy
	Second  configuration.Policy
	Windows int
	Window  time.Duration
	Settle  time.Duration
	Seed    int64
	GoOn    bool
}

// Check returns all that is wrong with the options, nil for nothing.
func (o Options) Check() *fault.Fault {
	sheet := &fault.List{}
	if o.Windows < 2 || o.Windows > 1000 || o.Windows%2 != 0 {
		sheet.Addf(fault.BadField, "windows", "%d: want an even number from 2 to 1000, as windows go in pairs", o.Windows)
	}
	if o.Window < time.Second || o.Window > 24*time.Hour {
		sheet.Addf(fault.BadField, "window", "%v: want 1s to 24h", o.Window)
	}
	if o.Settle < 0 || o.Settle > 24*time.Hour {
		sheet.Addf(fault.BadField, "settle", "%v: want 0s to 24h", o.Settle)
	}
	return sheet.Combined(fault.BadField)
}

// Turns is the order of the windows: pairs of both policies, half of the pairs the other way round.
func Turns(windows int, seed int64) []int {
	pairs := windows / 2
	flips := make([]bool, pairs)
	for i := range flips {
		flips[i] = i%2 == 1
	}
	r := rand.New(rand.NewSource(seed))
	if pairs%2 == 1 && r.Intn(2) == 0 {
		for i := range flips {
			flips[i] = !flips[i]
		}
	}
	r.Shuffle(pairs, func(a, b int) { flips[a], flips[b] = flips[b], flips[a] })
	turns := []int{}
	for _, flip := range flips {
		if flip {
			turns = append(turns, 1, 0)
		} else {
			turns = append(turns, 0, 1)
		}
	}
	return turns
}

// Window is what was measured under one policy; Policy is 0 for the first and 1 for the second. Spoilt says why it does
// not count, and is empty where it does.
type Window struct {
	Number   int
	Policy   int
	Revision uint64
	Kinds    map[string]*scheduling.KindCounters
	Loads    uint64
	LoadedMb int64
	Spoilt   string
	read     bool
}

// Result is what became of a comparison; Stopped is why it ended early, nil where it did not.
type Result struct {
	Options Options
	Windows []Window
	Stopped *fault.Fault
}

// run is one comparison: it holds the revision it expects to be in force, and what it must put back.
type run struct {
	fleet    Fleet
	opts     Options
	out      io.Writer
	id       string
	changes  int
	first    configuration.Policy
	doc      *configuration.Declaration
	revision uint64
	windows  []Window
}

// Hold plays the windows on the live fleet. Whatever ends it, the policy in force before is put back.
func Hold(ctx context.Context, fleet Fleet, opts Options, out io.Writer) (Result, error) {
	if bad := opts.Check(); bad != nil {
		return Result{}, bad
	}
	now, err := fleet.Config(ctx)
	if err != nil {
		return Result{}, err
	}
	if now.Declaration == nil {
		return Result{}, fault.New(fault.NotFound, "", "the fleet has no declaration yet")
	}
	if _, err := readyLook(ctx, fleet); err != nil {
		return Result{}, err
	}
	r := &run{fleet: fleet, opts: opts, out: out, id: fmt.Sprintf("compare-%d-%d", now.Revision, opts.Seed), first: now.Declaration.Policy, doc: now.Declaration, revision: now.Revision}
	stopped := r.play(ctx)
	if err := r.restore(ctx); err != nil {
		return Result{Options: opts, Windows: r.windows, Stopped: stopped}, err
	}
	if stopped == nil {
		stopped = r.readLast(ctx)
	}
	return Result{Options: opts, Windows: r.windows, Stopped: stopped}, nil
}

// readyLook is a look beside which nothing is being measured. Where the tail has just taken over, it waits a little for its
// lease and for the gateways to report to it.
func readyLook(ctx context.Context, fleet Fleet) (Look, error) {
	for try := 1; ; try++ {
		look, err := fleet.Look(ctx)
		ready := err == nil && len(look.Gateways) > 0
		if err == nil && !ready {
			err = fault.New(fault.NotFound, "desks", "no gateway is known to the tail")
		}
		if ready || try == looksMost || !mayPass(err) {
			return look, err
		}
		if err := fleet.Pause(ctx, lookEvery); err != nil {
			return look, fault.New(fault.Interrupted, "", "%v", err)
		}
	}
}

// mayPass says whether what is wrong may be so for a moment only, as after a change of the tail.
func mayPass(err error) bool {
	var bad *fault.Fault
	return errors.As(err, &bad) && (bad.Code == fault.NotServing || bad.Code == fault.NotFound)
}

func (r *run) policy(which int) configuration.Policy {
	if which == 0 {
		return r.opts.First
	}
	return r.opts.Second
}

func (r *run) play(ctx context.Context) *fault.Fault {
	for i, which := range Turns(r.opts.Windows, r.opts.Seed) {
		if bad := r.put(ctx, r.policy(which)); bad != nil {
			return bad
		}
		if bad := r.pause(ctx, r.opts.Settle); bad != nil {
			return bad
		}
		if bad := r.read(ctx); bad != nil {
			return bad
		}
		if bad := r.window(ctx, i+1, which); bad != nil {
			return bad
		}
	}
	return nil
}

// window begins with a change that changes nothing but the revision, by which gateways tell its calls.
func (r *run) window(ctx context.Context, number, which int) *fault.Fault {
	before, err := readyLook(ctx, r.fleet)
	if err != nil {
		return asFault(err)
	}
	if bad := r.put(ctx, r.policy(which)); bad != nil {
		return bad
	}
	w := Window{Number: number, Policy: which, Revision: r.revision}
	after := before
	for spent := time.Duration(0); spent < r.opts.Window; spent += lookEvery {
		if bad := r.pause(ctx, min(lookEvery, r.opts.Window-spent)); bad != nil {
			return bad
		}
		seen, err := r.fleet.Look(ctx)
		if err != nil {
			w.spoil("the fleet's state could not be read: " + err.Error())
			continue
		}
		if seen.Revision != r.revision {
			return foreign(r.revision, seen.Revision)
		}
		w.spoil(before.parted(seen))
		after = seen
	}
	w.Loads, w.LoadedMb = after.Loads-before.Loads, after.LoadedMb-before.LoadedMb
	r.windows = append(r.windows, w)
	if w.Spoilt != "" {
		fmt.Fprintf(r.out, "window %d (%s) is spoilt: %s\n", number, r.policy(which).Name, w.Spoilt)
		if !r.opts.GoOn {
			return fault.New(fault.WindowInvalidated, fmt.Sprintf("window %d", number), "%s", w.Spoilt)
		}
		return nil
	}
	fmt.Fprintf(r.out, "window %d (%s) is over\n", number, r.policy(which).Name)
	return nil
}

func (w *Window) spoil(why string) {
	if w.Spoilt == "" {
		w.Spoilt = why
	}
}

// parted names the first thing that is not what it was when the window began.
func (l Look) parted(now Look) string {
	if l.Leader != now.Leader {
		return fmt.Sprintf("the controller changed from %s to %s", l.Leader, now.Leader)
	}
	if why := apart("replica", l.Replicas, now.Replicas); why != "" {
		return why
	}
	return apart("desk", l.Gateways, now.Gateways)
}

func apart(what string, before, now map[string]string) string {
	for _, id := range sortedKeys(before) {
		state, there := now[id]
		switch {
		case !there:
			return fmt.Sprintf("%s %s went away", what, id)
		case state != before[id]:
			return fmt.Sprintf("%s %s changed from %s to %s", what, id, before[id], state)
		}
	}
	for _, id := range sortedKeys(now) {
		if _, there := before[id]; !there {
			return fmt.Sprintf("%s %s came", what, id)
		}
	}
	return ""
}

func foreign(mine, found uint64) *fault.Fault {
	f := fault.New(fault.ForeignChange, "revision", "somebody else changed the configuration: revision %d stands, this comparison had made %d", found, mine)
	f.Revision = found
	return f
}

// read takes the counts of the window before, once the calls it took have had the settling gap to end.
func (r *run) read(ctx context.Context) *fault.Fault {
	if len(r.windows) == 0 {
		return nil
	}
	w := &r.windows[len(r.windows)-1]
	if w.read {
		return nil
	}
	look, err := readyLook(ctx, r.fleet)
	if err != nil {
		return asFault(err)
	}
	w.read, w.Kinds = true, map[string]*scheduling.KindCounters{}
	for _, g := range look.Gauges {
		if g.Revision != w.Revision {
			continue
		}
		for kind, k := range g.Kinds {
			if w.Kinds[kind] == nil {
				w.Kinds[kind] = &scheduling.KindCounters{}
			}
			w.Kinds[kind].Merge(k)
		}
	}
	return nil
}

func (r *run) readLast(ctx context.Context) *fault.Fault {
	if bad := r.pause(ctx, r.opts.Settle); bad != nil {
		return bad
	}
	return r.read(ctx)
}

func (r *run) pause(ctx context.Context, span time.Duration) *fault.Fault {
	if err := r.fleet.Pause(ctx, span); err != nil {
		return fault.New(fault.Interrupted, "", "%v", err)
	}
	return nil
}

// put changes the policy on the revision this comparison made last; a change in doubt is sent again
// under its own id, so that it is never made twice.
func (r *run) put(ctx context.Context, p configuration.Policy) *fault.Fault {
	doc := *r.doc
	doc.Policy = p
	r.changes++
	id := fmt.Sprintf("%s-%d", r.id, r.changes)
	var last *fault.Fault
	for try := 0; try < triesMost; try++ {
		applied, err := r.fleet.Apply(ctx, r.revision, id, &doc)
		if err == nil {
			r.doc, r.revision = &doc, max(r.revision, applied.Revision)
			if applied.State == "everywhere" {
				return nil
			}
			last = fault.New(fault.CommittedNotEverywhere, "", "revision %d is not yet everywhere", applied.Revision)
		} else if last = asFault(err); last.Code == fault.StaleBase {
			return foreign(r.revision, last.Revision)
		} else if last.Code != fault.InDoubt && last.Code != fault.NotServing {
			return last
		}
		if bad := r.pause(ctx, retryPause); bad != nil {
			return bad
		}
	}
	return last
}

// restore puts the first policy back, also after an interrupt, unless somebody else has set another.
func (r *run) restore(ctx context.Context) error {
	if r.changes == 0 {
		return nil
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), restoreFor)
	defer done()
	var last *fault.Fault
	for try := 0; try < triesMost && ctx.Err() == nil; try++ {
		now, err := r.fleet.Config(ctx)
		if err == nil && now.Declaration != nil {
			if stands := now.Declaration.Policy; stands != r.opts.First && stands != r.opts.Second {
				fmt.Fprintf(r.out, "policy %s was set by somebody else and stays\n", stands.Name)
				return nil
			}
			r.doc, r.revision = now.Declaration, now.Revision
			if last = r.put(ctx, r.first); last == nil {
				fmt.Fprintf(r.out, "policy %s is back, revision %d\n", r.first.Name, r.revision)
				return nil
			}
		} else if err != nil {
			last = asFault(err)
		}
		if bad := r.pause(ctx, retryPause); bad != nil {
			last = bad
		}
	}
	return &Unrestored{Policy: r.first, Last: last}
}

// Unrestored is the error where the policy that was in force before could not be put back.
type Unrestored struct {
	Policy configuration.Policy
	Last   *fault.Fault
}

func (u *Unrestored) Error() string {
	text := string(fault.NotRestored) + ": policy " + u.Policy.Name + " could not be put back"
	if u.Last != nil {
		text += ": " + u.Last.Error()
	}
	return text
}

func asFault(err error) *fault.Fault {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	return fault.New(fault.NotServing, "", "%v", err)
}
