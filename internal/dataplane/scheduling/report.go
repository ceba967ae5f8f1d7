package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// Decision is an entry of the decision log: what was decided for a call, and why.
type Decision struct {
	AtUs    int64  `json:"atUs"`
	Call    string `json:"call"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Action  string `json:"what"`
	Replica string `json:"replica,omitempty"`
	Reason  string `json:"why"`
}

// logDecision appends to the decision log and drops its older half when the log is full.
func (d *Decider) logDecision(c *Call, action, replica, reason string) {
	if len(d.decisionLog) >= maxLoggedDecisions {
		d.decisionLog = append(d.decisionLog[:0], d.decisionLog[maxLoggedDecisions/2:]...)
	}
	d.decisionLog = append(d.decisionLog, Decision{d.nowUs, c.ID, c.Kind, c.Model, action, replica, reason})
}

// Arrivals returns the calls per second over the last complete seconds, by model and by adapter unit.
func (d *Decider) Arrivals() map[string]float64 { return d.arrivals.rates() }

// Report returns the gateway's report to the control nodes: arrival rates, queued calls, open attempts and attempt outcomes.
func (d *Decider) Report(nowUs int64) wire.Report {
	rep := wire.Report{
		Gateway: d.opts.Gateway, Incarnation: d.opts.Incarnation, SentUs: nowUs, Arrivals: d.arrivals.rates(), Draining: d.draining,
		Queued: map[string]int{}, InFlight: map[string]int{}, UnusedGrants: map[string]wire.UnusedGrant{},
	}
	if d.snapshot != nil {
		rep.Number, rep.View, rep.Revision = d.snapshot.Number, d.snapshot.View, d.snapshot.Revision
	}
	for _, q := range d.queues {
		for _, c := range q.calls {
			if c.Model != "" {
				rep.Queued[c.Model]++
			}
			if c.Adapter != "" {
				rep.Queued[c.demandUnit()]++
			}
		}
	}
	for id, state := range d.grantedReplicas {
		if len(state.inFlight) > 0 {
			rep.InFlight[id] = len(state.inFlight)
		}
	}
	d.reportRouted(&rep)
	if d.routed() {
		rep.PromptTokens, rep.RecentArrivals = d.arrivals.tokenRates(), d.arrivals.recentRates(d.nowUs)
		rep.RouteArrivals = map[string]float64{}
		for _, slot := range d.arrivals.routeCalls {
			for key, n := range slot {
				rep.RouteArrivals[key] += float64(n) / arrivalSlots
			}
		}
	}
	for key, grant := range d.attemptGrants {
		rep.UnusedGrants[key] = wire.UnusedGrant{Ticket: grant.number, Remaining: grant.to - grant.next}
	}
	return rep
}

// KindStatus holds the counts of the calls of one kind since the gateway started; Waiting is the current number of queued calls.
type KindStatus struct {
	Kind    string                `json:"kind"`
	Arrived uint64                `json:"arrived"`
	Waiting int                   `json:"waiting"`
	Done    uint64                `json:"done"`
	Faults  map[fault.Code]uint64 `json:"given,omitempty"`
}

// Status is the state of a Decider for display to operators.
type Status struct {
	Kinds    []KindStatus        `json:"kinds"`
	Waiting  int                 `json:"waiting"`
	Calls    int                 `json:"calls"`
	InFlight map[string]int      `json:"inFlight"`
	LeaseMs  int64               `json:"leaseMs"`
	Number   uint64              `json:"number"`
	View     uint64              `json:"view"`
	Revision uint64              `json:"revision"`
	Draining bool                `json:"draining"`
	Budgets  []RetryBudgetStatus `json:"budgets,omitempty"`
	Recent   []Decision          `json:"recent,omitempty"`
}

// Status returns a copy of the state for display to operators.
func (d *Decider) Status() Status {
	status := Status{Waiting: d.queued, Calls: len(d.calls), InFlight: map[string]int{},
		LeaseMs: max(0, d.leaseUntilUs-d.nowUs) / 1000, Draining: d.draining, Kinds: []KindStatus{}}
	if d.snapshot != nil {
		status.Number, status.View, status.Revision = d.snapshot.Number, d.snapshot.View, d.snapshot.Revision
	}
	waiting := map[string]int{}
	for _, q := range d.queues {
		for _, c := range q.calls {
			waiting[c.Kind]++
		}
	}
	for _, name := range d.kindNames() {
		k := d.kinds[name]
		faultCounts := map[fault.Code]uint64{}
		for code, count := range k.faults {
			faultCounts[code] = count
		}
		status.Kinds = append(status.Kinds, KindStatus{name, k.arrived, waiting[name], k.done, faultCounts})
	}
	for id, state := range d.grantedReplicas {
		status.InFlight[id] = len(state.inFlight)
	}
	for id, stats := range d.replicaStats {
		if len(stats.openAttempts) > 0 {
			status.InFlight[id] = len(stats.openAttempts)
		}
	}
	status.Budgets = d.retryBudgetStatuses()
	status.Recent = append(status.Recent, d.decisionLog...)
	return status
}

// OpenAttempts returns the number of attempts that have started and not ended.
func (d *Decider) OpenAttempts() int {
	open := 0
	for _, state := range d.grantedReplicas {
		open += len(state.inFlight)
	}
	for _, stats := range d.replicaStats {
		open += len(stats.openAttempts)
	}
	return open
}

// Ready returns nil if this gateway can take calls at nowUs, and otherwise a fault with the reason and a retry delay.
func (d *Decider) Ready(nowUs int64) *fault.Fault {
	var f *fault.Fault
	switch {
	case d.draining:
		f = fault.New(fault.Draining, "", "this gateway is going down")
	case d.snapshot == nil || d.snapshot.Declaration == nil:
		f = fault.New(fault.NoLease, "", "this gateway has no declaration yet")
	case d.routed() && len(d.snapshot.Replicas) == 0:
		f = fault.New(fault.NoLease, "", "this gateway knows no replica yet")
	case !d.routed() && nowUs >= d.leaseUntilUs:
		f = fault.New(fault.NoLease, "", "this gateway is cut off from the core")
	case d.queued >= d.opts.QueueMax:
		f = fault.New(fault.Overloaded, "", "the backlog is full")
	default:
		return nil
	}
	f.RetryMs = NoDeclarationRetryMs
	if f.Code == fault.Overloaded {
		f.RetryMs = d.RetryAfterMs()
	}
	return f
}
