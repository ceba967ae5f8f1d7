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
	listIntervalUs        = 400 * clock.Ms
	reportIntervalUs      = 250 * clock.Ms
	busyReportIntervalUs  = 50 * clock.Ms
	orderRetryUs          = 600 * clock.Ms
	policyIntervalUs      = 500 * clock.Ms
	minPolicyIntervalUs   = 60 * clock.Ms
	policyTimeoutUs       = 5 * clock.Sec
	shareIntervalUs       = 400 * clock.Ms
	unreachableAfterUs    = 1500 * clock.Ms
	gatewayLiveUs         = 2500 * clock.Ms
	reportOverdueUs       = 600 * clock.Ms
	gatewayRemovedAfterUs = 15 * clock.Sec
	maxTickGapUs          = 500 * clock.Ms
	writeTimeoutUs        = 2 * clock.Sec
	maxBadListings        = 8
	keyMarkIntervalUs     = 3600 * clock.Sec
	maxKeyMarks           = 24
	minGrantedAttempts    = 24
	maxGrantedAttempts    = 4096
	attemptSeconds        = 5
)

type replicaState struct {
	addr            string
	report          wire.ReplicaState
	reportedUs      int64
	requestedUs     int64
	newestRequestUs int64
	settledUs       int64
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
	replicas   map[string]*replicaState
	gateways   map[string]*gatewayState
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
	routed     routedMemory
	turns      predecessorOrders
	outliers   *outlier.Detector
	judges     uint64
	Faults     map[fault.Code]uint64
	Policy     PolicyStatus
	Shadows    []PolicyStatus
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

// New makes a controller of this identity that remembers nothing yet.
func New(me string, opts Options) *Controller {
	return &Controller{
		me: me, opts: opts, replicas: map[string]*replicaState{}, gateways: map[string]*gatewayState{},
		jury: failuredetector.NewSuspicionQuorum(), orderUs: map[uint64]int64{}, Faults: map[fault.Code]uint64{}, routed: newRouted(), outliers: outlier.NewDetector(opts.Outlier),
	}
}

// Counts are how many replicas of each model the scaler wants.
func (c *Controller) Counts() []scaler.Count { return c.counted }

// IsLeader says whether this controller leads, by its own claim in the ledger.
func (c *Controller) IsLeader(s *statemachine.State) bool {
	return c.claimed > 0 && s.Epoch == c.claimed && s.Leader == c.me
}

// sortedKeys gives a map's keys in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Step takes one event and returns what is to be done.
func (c *Controller) Step(snapshot Snapshot, event Event) []Effect {
	c.effects = nil
	switch event := event.(type) {
	case Tick:
		c.tick(snapshot)
	case GatewayReport:
		c.onGatewayReport(snapshot, event.Report)
	case WatcherReport:
		c.jury.Report(snapshot.NowUs, event.Report)
	case PlatformListing:
		c.onPlatformListing(snapshot.NowUs, event)
	case ReplicaReport:
		c.onReplicaReport(snapshot, event)
	case OrderResult:
		c.onOrderResult(snapshot, event)
	case PolicyResult:
		c.onPolicyResult(snapshot, event)
		c.act(snapshot)
	case WriteResult:
		c.onWriteResult(snapshot, event.Outcome)
	}
	return c.effects
}

// onReplicaReport takes a replica's report, and acts at once where that may end an order.
func (c *Controller) onReplicaReport(snapshot Snapshot, report ReplicaReport) {
	if snapshot.isRouted() {
		c.onRoutedReplicaReport(snapshot, report)
		c.act(snapshot)
		return
	}
	c.onDeclaredReplicaReport(snapshot.NowUs, report)
	if c.hasOutcome(snapshot.State, report.Replica) {
		c.act(snapshot)
	}
}

// onOrderResult takes a replica's answer to an order.
func (c *Controller) onOrderResult(snapshot Snapshot, result OrderResult) {
	if snapshot.isRouted() {
		c.onRoutedOrderResult(snapshot, result)
		c.act(snapshot)
		return
	}
	c.onDeclaredOrderResult(result)
}

// onGatewayReport takes a gateway's report, and acts at once where calls wait for a unit that has no place.
func (c *Controller) onGatewayReport(snapshot Snapshot, report *wire.Report) {
	c.gateways[report.Gateway] = &gatewayState{report: *report, reportedUs: snapshot.NowUs}
	c.jury.Report(snapshot.NowUs, failuredetector.SuspicionReport{Reporter: report.Gateway, Suspects: report.Suspects})
	c.onCallOutcomes(snapshot, report)
	if snapshot.isRouted() && c.hasUnplacedCalls(snapshot, report) {
		c.moved = true
		c.act(snapshot)
	}
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) count(code fault.Code) { c.Faults[code]++ }

// tick claims leadership where this control node leads and nobody holds it for it, and does what is due by time.
func (c *Controller) tick(snapshot Snapshot) {
	if c.routed.bornUs == 0 {
		c.routed.bornUs = snapshot.NowUs
		c.turns.reset(snapshot.State)
	}
	if !snapshot.IsHead {
		c.resign()
		return
	}
	if !c.IsLeader(snapshot.State) {
		c.claim(snapshot)
		return
	}
	gapUs := snapshot.NowUs - c.tickUs
	c.tickUs = snapshot.NowUs
	if !snapshot.IsFresh || gapUs > maxTickGapUs {
		c.bucket.Reset()
	}
	switch {
	case !snapshot.IsFresh:
	case snapshot.isRouted():
		c.routedTick(snapshot)
	default:
		c.declaredTick(snapshot)
	}
}

// claim asks the ledger for leadership, again where the last claim may be lost.
func (c *Controller) claim(snapshot Snapshot) {
	if c.claimUs != 0 && snapshot.NowUs-c.claimUs <= writeTimeoutUs {
		return
	}
	c.resign()
	c.claimUs = snapshot.NowUs
	c.claimed = snapshot.State.Epoch + 1
	c.emit(WriteChange{Change: &statemachine.Change{
		ID: fmt.Sprintf("claim-%s-%d", c.me, c.claimed), Epoch: c.claimed, Claim: &statemachine.Claim{Leader: c.me},
	}})
}

// declaredTick is a tick of whoever leads over replicas that the platform lists.
func (c *Controller) declaredTick(snapshot Snapshot) {
	c.refillBudget(snapshot)
	if snapshot.ViewNumber != c.view {
		c.view, c.viewUs, c.checked, c.listUs = snapshot.ViewNumber, snapshot.NowUs, false, 0
	}
	if snapshot.NowUs-c.listUs >= listIntervalUs {
		c.listUs = snapshot.NowUs
		c.emit(PollPlatform{})
	}
	c.requestReports(snapshot.NowUs, snapshot.State)
	c.sendOrders(snapshot)
	c.startPolicy(snapshot)
	c.writeDue(snapshot)
}

// act writes and asks the policy at once where an event has made it worthwhile, not at the next tick.
func (c *Controller) act(snapshot Snapshot) {
	if !snapshot.IsHead || !snapshot.IsFresh || !c.IsLeader(snapshot.State) {
		return
	}
	if snapshot.isRouted() {
		c.pursueOrders(snapshot)
		c.runResident(snapshot)
	} else {
		c.refillBudget(snapshot)
		c.startPolicy(snapshot)
	}
	c.writeDue(snapshot)
}

// resign forgets all that only a leader needs.
func (c *Controller) resign() {
	fresh := New(c.me, c.opts)
	fresh.Faults, fresh.writes, fresh.gateways, fresh.Policy = c.Faults, c.writes, c.gateways, c.Policy
	fresh.turns = c.turns
	fresh.run, fresh.jury = c.run, c.jury
	fresh.routed.foreignUs, fresh.routed.bornUs, fresh.routed.loadsUs = c.routed.foreignUs, c.routed.bornUs, c.routed.loadsUs
	fresh.routed.changedUs, fresh.routed.known, fresh.routed.missedUs = c.routed.changedUs, c.routed.known, c.routed.missedUs
	effects := c.effects
	*c = *fresh
	c.effects = effects
}
