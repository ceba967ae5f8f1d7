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
	// maxCachedPrefixes bounds the prefix hashes remembered for one replica of the declared platform; beyond it the older half is forgotten.
	maxCachedPrefixes = 4096
	// refusedBackoffUs is how long a replica of the declared platform gets nothing after it refused, or could not be reached.
	refusedBackoffUs = 400 * clock.Ms
	// maxLoggedDecisions bounds the decision log; when it is full the older half is dropped.
	maxLoggedDecisions = 512
	// noLeaseRetryMs is when a client is told to come back that met no lease or no declaration, in ms.
	noLeaseRetryMs = 500
	// drainingRetryMs is the same at the end of a drain: another gateway can take the call at once.
	drainingRetryMs = 50
)

// Options are those of one gateway.
type Options struct {
	// Gateway and Incarnation name this gateway in its reports.
	Gateway     string
	Incarnation string
	// Zone is this gateway's own; replicas of it are preferred.
	Zone string
	// QueueMax bounds the calls that wait for a replica; with 0 none may.
	QueueMax int
	// RetryBudget bounds retries of the routed platform; a zero WindowUs is no bound.
	RetryBudget RetryBudgetOptions
	// MaxWait bounds how long clients of streaming routes wait for a first byte; a zero MinMs is no bound.
	MaxWait MaxWaitOptions
	// Outlier are the options of this gateway's own outlier detection; zero values stand for its defaults.
	Outlier outlier.Options
	// Disable are mechanisms that are switched off; the zero value switches off none.
	Disable feature.Disabled
}

// Decider is the reducer that decides for one gateway. It is not safe for concurrent use.
type Decider struct {
	opts            Options
	nowUs           int64
	snapshot        *Snapshot
	leaseUntilUs    int64
	draining        bool
	closed          bool
	calls           map[string]*Call
	kinds           map[string]*kindCounters
	queues          map[queueKey]*callQueue
	grantedReplicas map[string]*grantedReplica
	attemptGrants   map[string]*attemptGrant
	queued          int
	virtualTime     float64
	arrivals        *arrivals
	meanServiceUs   float64
	gauges          []*RevisionCounters
	decisionLog     []Decision
	replicaStats    map[string]*replicaStats
	budgets         *retryBudgets
	prefillModels   map[string]*prefillModel
	loadEstimates   *loadEstimates
	admission       *admission
	outliers        *outlier.LocalDetector
	attemptSeq      uint64
	effects         []Effect
}

// New is a decider that knows no declaration yet.
func New(opts Options) *Decider {
	d := &Decider{opts: opts, arrivals: newArrivals(), calls: map[string]*Call{}, kinds: map[string]*kindCounters{}, queues: map[queueKey]*callQueue{}, grantedReplicas: map[string]*grantedReplica{}, attemptGrants: map[string]*attemptGrant{},
		replicaStats: map[string]*replicaStats{}, budgets: newRetryBudgets(opts.RetryBudget), prefillModels: map[string]*prefillModel{}, loadEstimates: newLoadEstimates(), admission: newAdmission(), outliers: outlier.NewLocalDetector(opts.Outlier)}
	return d
}

// Step takes one event at nowUs, in microseconds of this process's clock, and returns what is to be done, in order.
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
	d.rejectEarly()
	d.migrateAttempts()
	if d.closed {
		for _, c := range d.waitingCalls() {
			d.failCall(c, fault.Draining, "this gateway is going down", drainingRetryMs)
		}
	}
	if c := arrived; c != nil && c.Routed != nil && c.attempt == "" && d.calls[c.ID] != nil {
		if d.draining {
			d.failCall(c, fault.Draining, "this gateway is going down", drainingRetryMs)
		} else {
			d.emit(CallUnplaced{})
		}
	}
	return d.effects
}

func (d *Decider) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Decider) callArrived(c *Call) {
	k := d.kind(c.Kind)
	k.arrived++
	d.arrivals.add(c)
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
		d.failCall(c, fault.Draining, "this gateway is going down", 200)
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

// dispatchQueued shares the free slots between queues by stride: urgency squared is the weight, and a queue
// always comes round, however rare its calls are.
func (d *Decider) dispatchQueued() {
	if d.queued == 0 || d.snapshot == nil || d.snapshot.Declaration == nil || (!d.routed() && d.nowUs >= d.leaseUntilUs) {
		return
	}
	hopeless := map[string]bool{}
	for {
		keys := d.waitingQueues()
		sort.SliceStable(keys, func(i, j int) bool { return d.queues[keys[i]].pass < d.queues[keys[j]].pass })
		started := false
		for _, key := range keys {
			q := d.queues[key]
			if c, replica, why := d.nextPlaceable(q, hopeless); c != nil {
				if c.Routed == nil {
					d.startGranted(c, replica, why)
				}
				d.virtualTime = max(d.virtualTime, q.pass)
				q.pass += 1 / float64(weight(c))
				started = true
				break
			}
		}
		if !started {
			return
		}
	}
}

func (d *Decider) nextPlaceable(q *callQueue, hopeless map[string]bool) (*Call, *wire.ReplicaUpdate, string) {
	for _, c := range q.calls {
		unit := c.Model + "|" + c.Adapter
		if c.Routed != nil {
			unit = c.Routed.Service + "|" + unit
		}
		if hopeless[unit] {
			continue
		}
		if c.Routed != nil {
			if r, ms := d.selectRouted(c); r != nil {
				d.startRouted(c, r, ms)
				return c, r, ""
			}
			hopeless[unit] = len(c.triedReplicas) == 0
			continue
		}
		if r, why := d.selectGranted(c); r != nil {
			return c, r, why
		}
		hopeless[unit] = true
	}
	return nil, nil, ""
}
