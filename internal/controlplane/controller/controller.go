package controller

import (
	"maps"
	"slices"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// maxTickGapUs is the pause between two ticks after which the budget for loads begins anew: a process that stood still
// does not know what was loaded meanwhile.
const maxTickGapUs = 500 * clock.Ms

// Controller is the reducer. It is not safe for concurrent use: its control node calls it from one goroutine.
type Controller struct {
	opts       Options
	leadership leadership
	writes     changeWriter
	replicas   replicaTracker
	gateways   gatewayMembership
	policies   policyRuns
	rollout    rollout
	outliers   outlierVerdicts
	declared   declaredState
	routed     routedState
	// Faults counts what was refused or failed, by code.
	Faults  map[fault.Code]uint64
	effects []Effect
}

// Options are the settings of a controller. The zero value serves replicas that the platform lists; LeaseUs, StoreWindowUs
// and StoreOvershoot hold for replicas that make themselves known.
type Options struct {
	// LeaseUs is how long a replica holds to the leader that ordered it last, in microseconds; 0 for no lease.
	LeaseUs int64
	// StoreWindowUs is the span over which loads from the weight store are counted, in microseconds; 0 is five seconds.
	StoreWindowUs int64
	// StoreOvershoot is how far loads may go beyond the store's rate within the window; below 1 counts as 1.
	StoreOvershoot float64
	// Outlier are the settings of the outlier detector.
	Outlier outlier.Options
	// Disable names mechanisms that are switched off; empty for none.
	Disable feature.Disabled
}

// New makes the controller of the control node with this identity; it remembers nothing yet.
func New(id string, opts Options) *Controller {
	return &Controller{
		opts:       opts,
		leadership: leadership{id: id},
		replicas:   replicaTracker{byID: map[string]*replicaState{}},
		gateways:   gatewayMembership{byID: map[string]*gatewayState{}, suspicions: failuredetector.NewSuspicionQuorum()},
		outliers:   outlierVerdicts{detector: outlier.NewDetector(opts.Outlier)},
		declared:   declaredState{orders: declaredOrders{sentUs: map[uint64]int64{}}},
		routed:     newRoutedState(opts),
		Faults:     map[fault.Code]uint64{},
	}
}

// DesiredReplicas are how many replicas of each model the scaler wanted at the last run of the policies.
func (c *Controller) DesiredReplicas() []scaler.Count { return c.policies.counts }

// IsLeader says whether this controller leads, by its own claim in the replicated state.
func (c *Controller) IsLeader(s *statemachine.State) bool { return c.leadership.holds(s) }

// Step takes one event and returns what is to be done, in this order.
func (c *Controller) Step(snapshot Snapshot, event Event) []Effect {
	c.effects = nil
	if c.mayAct(snapshot) {
		c.mode(snapshot).beginLeadership(snapshot)
	}
	switch event := event.(type) {
	case Tick:
		c.tick(snapshot)
	case GatewayReport:
		c.gateways.onReport(snapshot.NowUs, event.Report)
		c.mode(snapshot).onGatewayReport(snapshot, event.Report)
		if c.mayAct(snapshot) {
			c.followRollout(snapshot)
		}
	case WatcherReport:
		c.gateways.suspicions.Report(snapshot.NowUs, event.Report)
	case PlatformListing:
		if !c.declared.listing.accept(snapshot.NowUs, event.List) {
			c.count(fault.PlatformInvalidAnswer)
		}
	case ReplicaReport:
		c.mode(snapshot).onReplicaReport(snapshot, event)
	case OrderResult:
		c.mode(snapshot).onOrderResult(snapshot, event)
	case PolicyResult:
		c.onPolicyResult(snapshot, event)
		c.act(snapshot)
	case WriteResult:
		c.onWriteResult(snapshot, event.Outcome)
	}
	return c.effects
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) count(code fault.Code) { c.Faults[code]++ }

// tick claims leadership where this control node is the head and does not lead yet, and does what is due by time.
func (c *Controller) tick(snapshot Snapshot) {
	c.routed.predecessor.start(snapshot.NowUs, snapshot.State)
	if !snapshot.IsHead {
		c.resign()
		return
	}
	if !c.IsLeader(snapshot.State) {
		c.claim(snapshot)
		return
	}
	if gapUs := c.leadership.tick(snapshot.NowUs); !snapshot.IsFresh || gapUs > maxTickGapUs {
		c.declared.budget.bucket.Reset()
	}
	if snapshot.IsFresh {
		c.followRollout(snapshot)
		c.mode(snapshot).tick(snapshot)
	}
}

// mayAct says whether this controller leads and is in touch with its chain.
func (c *Controller) mayAct(snapshot Snapshot) bool {
	return snapshot.IsHead && snapshot.IsFresh && c.IsLeader(snapshot.State)
}

// act plans and writes at once where an event has made it worthwhile, not at the next tick.
func (c *Controller) act(snapshot Snapshot) {
	if !c.mayAct(snapshot) {
		return
	}
	c.mode(snapshot).plan(snapshot)
	c.writeDue(snapshot)
}

// sortedKeys gives a map's keys in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
