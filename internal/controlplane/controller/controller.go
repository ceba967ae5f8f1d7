package controller

import (
	"fmt"
	"maps"
	"slices"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/failuredetector"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	listEveryUs        = 400 * clock.Ms
	askEveryUs         = 250 * clock.Ms
	askBusyUs          = 50 * clock.Ms
	orderEveryUs       = 600 * clock.Ms
	policyEveryUs      = 500 * clock.Ms
	policyLeastUs      = 60 * clock.Ms
	policyLostUs       = 5 * clock.Sec
	shareEveryUs       = 400 * clock.Ms
	unreachableAfterUs = 1500 * clock.Ms
	gatewayLiveUs      = 2500 * clock.Ms
	reportLateUs       = 600 * clock.Ms
	gatewayGoneUs      = 15 * clock.Sec
	gapMostUs          = 500 * clock.Ms
	writeLostUs        = 2 * clock.Sec
	emptyListMost      = 8
	keyMarkUs          = 3600 * clock.Sec
	keyMarks           = 24
	attemptsLeast      = 24
	attemptsMost       = 4096
	attemptSeconds     = 5
)

type told struct {
	addr    string
	state   wire.ReplicaState
	atUs    int64
	askedUs int64
	heardUs int64
	movedUs int64
}

// Controller decides what the one leading controller does: it reads the ledger and what replicas,
// platform and gateways told it, and answers with ledger writes and orders.
type Controller struct {
	opts       Options
	me         string
	claimed    uint64
	claimUs    int64
	writing    string
	writeUs    int64
	writes     uint64
	listUs     int64
	tickUs     int64
	list       *wire.ReplicaList
	listAtUs   int64
	empties    int
	stales     int
	replicas   map[string]*told
	gateways   map[string]*gatewayRow
	view       uint64
	viewUs     int64
	checked    bool
	jury       *failuredetector.SuspicionQuorum
	bucket     placement.Bucket
	issuingMb  int64
	orderUs    map[uint64]int64
	policyUs   int64
	moved      bool
	runUs      int64
	run        uint64
	proposed   []placement.Proposal
	proposedAt uint64
	shareUs    int64
	counted    []scaler.Count
	marks      []uint64
	markUs     int64
	routed     routed
	turns      turns
	outliers   *outlier.Fleet
	judges     uint64
	Faults     map[fault.Code]uint64
	Policy     PolicyNote
	Shadows    []PolicyNote
	effects    []Effect
}

// Options hold for replicas that make themselves known. LeaseUs is how long they hold to one who orders
// them; StoreWindowUs and StoreOvershoot bound how far loads may go beyond the store's rate.
type Options struct {
	LeaseUs        int64
	StoreWindowUs  int64
	StoreOvershoot float64
	Outlier        outlier.Options
	// Disable are mechanisms that are switched off.
	Disable feature.Disabled
}

// New makes a controller with the usual options.
func New(me string) *Controller { return NewWith(me, Options{}) }

// NewWith makes a controller that remembers nothing yet.
func NewWith(me string, opts Options) *Controller {
	return &Controller{
		me: me, opts: opts, replicas: map[string]*told{}, gateways: map[string]*gatewayRow{},
		jury: failuredetector.NewSuspicionQuorum(), orderUs: map[uint64]int64{}, Faults: map[fault.Code]uint64{}, routed: newRouted(), outliers: outlier.NewFleet(opts.Outlier),
	}
}

// Counts are how many replicas of each model the scaler wants.
func (f *Controller) Counts() []scaler.Count { return f.counted }

// IsLeader says whether this controller leads, by its own claim in the ledger.
func (f *Controller) IsLeader(s *statemachine.State) bool {
	return f.claimed > 0 && s.Epoch == f.claimed && s.Leader == f.me
}

// sorted gives a map's keys in order.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Step takes one event and returns what is to be done.
func (f *Controller) Step(seen Seen, ev Event) []Effect {
	f.effects = nil
	switch {
	case ev.Report != nil:
		f.reported(seen, ev.NowUs, ev.Report)
	case ev.Silence != nil:
		f.jury.Report(ev.NowUs, *ev.Silence)
	case ev.Listed != nil:
		f.listed(ev.NowUs, *ev.Listed)
	case ev.Told != nil && seen.isRouted():
		f.routedTold(seen, *ev.Told)
		f.act(seen)
	case ev.Ordered != nil && seen.isRouted():
		f.routedOrdered(seen, *ev.Ordered)
		f.act(seen)
	case ev.Told != nil:
		f.told(ev.NowUs, *ev.Told)
		if f.settles(seen.State, ev.Told.Replica) {
			f.act(seen)
		}
	case ev.Ordered != nil:
		f.ordered(*ev.Ordered)
	case ev.Policy != nil:
		f.ran(seen, *ev.Policy)
		f.act(seen)
	case ev.Wrote != nil:
		f.wrote(seen, *ev.Wrote)
	default:
		f.tick(seen)
	}
	return f.effects
}

// reported takes a gateway's report, and acts at once where calls wait for a unit that has no place.
func (f *Controller) reported(seen Seen, nowUs int64, report *wire.Report) {
	f.gateways[report.Gateway] = &gatewayRow{report: *report, atUs: nowUs}
	f.jury.Report(nowUs, failuredetector.SuspicionReport{Reporter: report.Gateway, Suspects: report.Suspects})
	f.hearOutcomes(seen, report)
	if seen.isRouted() && f.unplaced(seen, report) {
		f.moved = true
		f.act(seen)
	}
}

func (f *Controller) do(e Effect) { f.effects = append(f.effects, e) }

func (f *Controller) count(code fault.Code) { f.Faults[code]++ }

// tick claims leadership where this control node leads and nobody holds it for it, and does what is due by time.
func (f *Controller) tick(seen Seen) {
	if f.routed.bornUs == 0 {
		f.routed.bornUs = seen.NowUs
		f.turns.follow(seen.State)
	}
	if !seen.Head {
		f.leave()
		return
	}
	if !f.IsLeader(seen.State) {
		f.claim(seen)
		return
	}
	gapUs := seen.NowUs - f.tickUs
	f.tickUs = seen.NowUs
	if !seen.Fresh || gapUs > gapMostUs {
		f.bucket.Empty()
	}
	switch {
	case !seen.Fresh:
	case seen.isRouted():
		f.routedTick(seen)
	default:
		f.declaredTick(seen)
	}
}

// claim asks the ledger for leadership, again where the last claim may be lost.
func (f *Controller) claim(seen Seen) {
	if f.claimUs != 0 && seen.NowUs-f.claimUs <= writeLostUs {
		return
	}
	f.leave()
	f.claimUs = seen.NowUs
	f.claimed = seen.State.Epoch + 1
	f.do(Effect{Write: &statemachine.Change{
		ID: fmt.Sprintf("claim-%s-%d", f.me, f.claimed), Epoch: f.claimed, Claim: &statemachine.Claim{Leader: f.me},
	}})
}

// declaredTick is a tick of whoever leads over replicas that the platform lists.
func (f *Controller) declaredTick(seen Seen) {
	f.fill(seen)
	if seen.View != f.view {
		f.view, f.viewUs, f.checked, f.listUs = seen.View, seen.NowUs, false, 0
	}
	if seen.NowUs-f.listUs >= listEveryUs {
		f.listUs = seen.NowUs
		f.do(Effect{PollList: true})
	}
	f.askReplicas(seen.NowUs, seen.State)
	f.orders(seen)
	f.startPolicy(seen)
	f.write(seen)
}

// act writes and asks the policy at once where an event has made it worthwhile, not at the next tick.
func (f *Controller) act(seen Seen) {
	if !seen.Head || !seen.Fresh || !f.IsLeader(seen.State) {
		return
	}
	if seen.isRouted() {
		f.routedOrders(seen)
		f.startResident(seen)
	} else {
		f.fill(seen)
		f.startPolicy(seen)
	}
	f.write(seen)
}

// leave forgets all that only a leader needs.
func (f *Controller) leave() {
	fresh := NewWith(f.me, f.opts)
	fresh.Faults, fresh.writes, fresh.gateways, fresh.Policy = f.Faults, f.writes, f.gateways, f.Policy
	fresh.turns = f.turns
	fresh.run, fresh.jury = f.run, f.jury
	fresh.routed.foreignUs, fresh.routed.bornUs, fresh.routed.loadsUs = f.routed.foreignUs, f.routed.bornUs, f.routed.loadsUs
	fresh.routed.changedUs, fresh.routed.known, fresh.routed.missedUs = f.routed.changedUs, f.routed.known, f.routed.missedUs
	effects := f.effects
	*f = *fresh
	f.effects = effects
}
