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

// maxTickGapUs is the longest pause between two ticks that keeps the load budget. After a longer pause the budget is reset,
// because a process that was suspended does not know what was loaded in the meantime.
const maxTickGapUs = 500 * clock.Ms

// Controller is a reducer over events. It is not safe for concurrent use: its control node calls it from a single goroutine.
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
	// Faults counts rejected and failed operations by fault code.
	Faults  map[fault.Code]uint64
	effects []Effect
}

// Options configures a Controller. The zero value is suitable for declared mode. LeaseUs, StoreWindowUs and StoreOvershoot
// apply to routed mode only.
type Options struct {
	// LeaseUs is how long a replica stays bound to the leader that sent it the most recent order, in microseconds; 0 means
	// no lease.
	LeaseUs int64
	// StoreWindowUs is the length of the sliding window over loads from the weight store, in microseconds; 0 means five
	// seconds.
	StoreWindowUs int64
	// StoreOvershoot is the factor by which loads may exceed the store's rate within the window; values below 1 count as 1.
	StoreOvershoot float64
	// Outlier configures the outlier detector.
	Outlier outlier.Options
	// Disable names the features that are switched off; empty for none.
	Disable feature.Disabled
}

// New returns a controller without any state for the control node with the given identity.
func New(id string, opts Options) *Controller {
	return &Controller{
		opts:       opts,
		leadership: leadership{id: id},
		replicas:   replicaTracker{byID: map[string]*replicaState{}},
		gateways:   gatewayMembership{byID: map[string]*gatewayState{}, suspicions: failuredetector.NewSuspicionQuorum()},
		outliers:   outlierVerdicts{detector: outlier.NewDetector(opts.Outlier)},
		declared:   declaredState{orders: declaredOrders{sentUs: map[uint64]int64{}}, keys: newKeyExpiry()},
		routed:     newRoutedState(opts),
		Faults:     map[fault.Code]uint64{},
	}
}

// DesiredReplicas returns the number of replicas that the scaler wanted for each model at the most recent policy run.
func (c *Controller) DesiredReplicas() []scaler.Count { return c.policies.counts }

// IsLeader reports whether this controller leads, that is, whether its own claim is the current one in the replicated state.
func (c *Controller) IsLeader(s *statemachine.State) bool { return c.leadership.isLeader(s) }

// Step processes one event and returns the resulting effects, to be carried out in order.
func (c *Controller) Step(snapshot Snapshot, event Event) []Effect {
	c.effects = nil
	if c.canAct(snapshot) {
		c.mode(snapshot).beginLeadership(snapshot)
	}
	switch event := event.(type) {
	case Tick:
		c.tick(snapshot)
	case GatewayReport:
		c.gateways.onReport(snapshot.NowUs, event.Report)
		c.mode(snapshot).onGatewayReport(snapshot, event.Report)
		if c.canAct(snapshot) {
			c.trackRollout(snapshot)
		}
	case WatcherReport:
		c.gateways.suspicions.Report(snapshot.NowUs, event.Report)
	case PlatformListing:
		if !c.declared.listing.accept(snapshot.NowUs, event.List) {
			c.countFault(fault.PlatformInvalidAnswer)
		}
	case ReplicaReport:
		c.mode(snapshot).onReplicaReport(snapshot, event)
	case OrderResult:
		c.mode(snapshot).onOrderResult(snapshot, event)
	case PolicyResult:
		c.onPolicyResult(snapshot, event)
		c.planAndWrite(snapshot)
	case WriteResult:
		c.onWriteResult(snapshot, event.Outcome)
	}
	return c.effects
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) countFault(code fault.Code) { c.Faults[code]++ }

// tick claims leadership if this control node is the head and does not lead yet; otherwise it does the work that is due by
// time.
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
		c.trackRollout(snapshot)
		c.mode(snapshot).tick(snapshot)
	}
}

// canAct reports whether this controller leads and the head's lease in the chain is valid.
func (c *Controller) canAct(snapshot Snapshot) bool {
	return snapshot.IsHead && snapshot.IsFresh && c.IsLeader(snapshot.State)
}

// planAndWrite plans and writes immediately after an event that calls for it, rather than at the next tick.
func (c *Controller) planAndWrite(snapshot Snapshot) {
	if !c.canAct(snapshot) {
		return
	}
	c.mode(snapshot).plan(snapshot)
	c.writeUpdate(snapshot)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
