package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	// maxCallAttempts bounds the attempts of one call, sent or not.
	maxCallAttempts = 8
	// maxCachedPrefixes bounds the prefix hashes kept for one replica in declared mode; when it is exceeded, the older
	// half is dropped.
	maxCachedPrefixes = 4096
	// refusedBackoffUs is how long a replica in declared mode gets no attempt after it refused one or was unreachable.
	refusedBackoffUs = 400 * clock.Ms
	// maxLoggedDecisions bounds the decision log; when the log is full, its older half is dropped.
	maxLoggedDecisions = 512
)

// Options configure the Decider of one gateway.
type Options struct {
	// Gateway and Incarnation identify this gateway in its reports.
	Gateway     string
	Incarnation string
	// Zone is the zone of this gateway; replicas in the same zone are preferred.
	Zone string
	// QueueMax bounds the number of queued calls; with 0 no call is queued.
	QueueMax int
	// RetryBudget bounds the retries in routed mode; a zero WindowUs means no bound.
	RetryBudget RetryBudgetOptions
	// MaxWait bounds how long clients of streaming routes wait for a first byte; a zero MinMs means no bound.
	MaxWait MaxWaitOptions
	// Outlier configures this gateway's local outlier detection; zero values select its defaults.
	Outlier outlier.Options
	// Disable lists the mechanisms that are switched off; nil switches off none.
	Disable feature.Disabled
}

// Decider is the scheduling state machine of one gateway. It is not safe for concurrent use.
type Decider struct {
	opts             Options
	nowUs            int64
	snapshot         *Snapshot
	leaseUntilUs     int64
	draining         bool
	closed           bool
	calls            map[string]*Call
	kinds            map[string]*kindTotals
	queues           map[queueKey]*callQueue
	grantedReplicas  map[string]*grantedReplica
	attemptGrants    map[string]*attemptGrant
	queued           int
	virtualTime      float64
	arrivals         *arrivals
	meanServiceUs    float64
	turns            turns
	revisionCounters []*RevisionCounters
	decisionLog      []Decision
	replicaStats     map[string]*replicaStats
	budgets          *retryBudgets
	prefillModels    map[string]*prefillModel
	loadEstimates    *loadEstimates
	outliers         *outlier.LocalDetector
	attemptSeq       uint64
	effects          []Effect
}

// New returns a Decider without a snapshot; until the first SnapshotReceived it refuses every call.
func New(opts Options) *Decider {
	d := &Decider{opts: opts, arrivals: newArrivals(), calls: map[string]*Call{}, kinds: map[string]*kindTotals{}, queues: map[queueKey]*callQueue{},
		grantedReplicas: map[string]*grantedReplica{}, attemptGrants: map[string]*attemptGrant{},
		replicaStats: map[string]*replicaStats{}, budgets: newRetryBudgets(opts.RetryBudget), prefillModels: map[string]*prefillModel{},
		loadEstimates: newLoadEstimates(), outliers: outlier.NewLocalDetector(opts.Outlier)}
	return d
}

// Step applies one event at nowUs, in microseconds of this process's clock, and returns the effects to carry out, in order.
func (d *Decider) Step(nowUs int64, ev Event) []Effect {
	d.effects = nil
	d.nowUs = nowUs
	d.arrivals.advance(nowUs)
	var arrived *Call
	switch ev := ev.(type) {
	case CallArrived:
		arrived = ev.Call
		d.callArrived(ev.Call)
	case AttemptEnded:
		d.attemptEnded(ev)
	case CallCanceled:
		d.cancelCall(ev.Call)
	case SnapshotReceived:
		d.applySnapshot(ev.Snapshot)
	case LeaseExtended:
		d.leaseUntilUs = max(d.leaseUntilUs, ev.UntilUs)
	case DrainStarted:
		d.draining = true
	case DrainEnded:
		d.draining, d.closed = true, true
	case Tick:
	}
	d.expireQueued()
	d.dispatchQueued()
	d.rejectUnloadable()
	d.migrateAttempts()
	if d.closed {
		for _, c := range d.waitingCalls() {
			d.failCall(c, fault.Draining, "this gateway is going down", DrainingRetryMs)
		}
	}
	if c := arrived; c != nil && c.Routed != nil && c.attempt == "" && d.calls[c.ID] != nil {
		if d.draining {
			d.failCall(c, fault.Draining, "this gateway is going down", DrainingRetryMs)
		} else {
			d.emit(CallUnplaced{})
		}
	}
	return d.effects
}

func (d *Decider) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Decider) callArrived(c *Call) {
	k := d.kindTotalsOf(c.Kind)
	k.arrived++
	d.arrivals.add(c, d.declares(c))
	d.calls[c.ID] = c
	d.countReceived(c)
	if c.ArrivedUs == 0 {
		c.ArrivedUs = d.nowUs
	}
	if !d.applyDeclarationOrFail(c) {
		return
	}
	if c.Routed != nil {
		d.admitRouted(c)
		return
	}
	if d.draining {
		d.failCall(c, fault.Draining, "this gateway is going down", DrainingRetryMs)
		return
	}
	if d.queued >= d.opts.QueueMax && !d.evictFor(c) {
		d.failCall(c, fault.Overloaded, "the backlog is full", d.RetryAfterMs())
		return
	}
	if waitUs := d.estimatedWaitUs(c); d.nowUs+waitUs > c.deadlineUs {
		d.failCall(c, fault.Overloaded, fmt.Sprintf("about %d ms of waiting lie before its expiry", waitUs/1000), d.RetryAfterMs())
		return
	}
	d.enqueue(c)
}

// dispatchQueued assigns free slots to queued calls by stride scheduling over the queues. The weight of a queue is the
// declared urgency of its calls. No queue is starved, however few calls it has.
func (d *Decider) dispatchQueued() {
	if d.queued == 0 || d.snapshot == nil || d.snapshot.Declaration == nil || (!d.routed() && d.nowUs >= d.leaseUntilUs) {
		return
	}
	unplaceable := map[string]bool{}
	for {
		keys := d.waitingQueues()
		sort.SliceStable(keys, func(i, j int) bool { return d.queues[keys[i]].pass < d.queues[keys[j]].pass })
		started := false
		for _, key := range keys {
			q := d.queues[key]
			if c, replica, reason := d.nextPlaceable(q, unplaceable); c != nil {
				if c.Routed == nil {
					d.startGranted(c, replica, reason)
				}
				d.virtualTime = max(d.virtualTime, q.pass)
				q.pass += 1 / float64(weight(c))
				d.turns.started(d.nowUs, d.queued)
				started = true
				break
			}
		}
		if !started {
			return
		}
	}
}

// nextPlaceable returns the first call of a queue that some replica can take now, with that replica and the reason for the
// choice; nil if there is none. A routed call is started here already, a call in declared mode by the caller.
// unplaceable collects the models and adapters for which no replica is free, so that other calls for them are skipped.
func (d *Decider) nextPlaceable(q *callQueue, unplaceable map[string]bool) (*Call, *wire.ReplicaUpdate, string) {
	for _, c := range q.calls {
		unit := c.Model + "|" + c.Adapter
		if c.Routed != nil {
			unit = c.Routed.Service + "|" + unit
		}
		if unplaceable[unit] {
			continue
		}
		if c.Routed != nil {
			if r, ms := d.selectRouted(c); r != nil {
				d.startRouted(c, r, ms)
				return c, r, ""
			}
			unplaceable[unit] = len(c.triedReplicas) == 0
			continue
		}
		if r, reason := d.selectGranted(c); r != nil {
			return c, r, reason
		}
		unplaceable[unit] = true
	}
	return nil, nil, ""
}
