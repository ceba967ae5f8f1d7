package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// Decision is a line of the log of what was decided and why.
type Decision struct {
	AtUs    int64  `json:"atUs"`
	Call    string `json:"call"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Action  string `json:"what"`
	Replica string `json:"replica,omitempty"`
	Reason  string `json:"why"`
}

func (d *Decider) logDecision(c *Call, what, replica, why string) {
	if len(d.decisionLog) >= maxLoggedDecisions {
		d.decisionLog = append(d.decisionLog[:0], d.decisionLog[maxLoggedDecisions/2:]...)
	}
	d.decisionLog = append(d.decisionLog, Decision{d.nowUs, c.ID, c.Kind, c.Model, what, replica, why})
}

// Arrivals are the calls per second over the last complete seconds, by model and by adapter.
func (d *Decider) Arrivals() map[string]float64 { return d.arrivals.rates() }

// Report is what a gateway tells the control nodes: arrivals, what waits, what runs, how attempts ended.
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
	for id, p := range d.grantedReplicas {
		if len(p.inFlight) > 0 {
			rep.InFlight[id] = len(p.inFlight)
		}
	}
	d.reportRouted(&rep)
	if d.routed() {
		rep.PromptTokens, rep.RecentArrivals = d.arrivals.tokenRates(), d.arrivals.recentRates(d.nowUs)
		rep.RouteArrivals = map[string]float64{}
		for _, slot := range d.arrivals.paths {
			for key, n := range slot {
				rep.RouteArrivals[key] += float64(n) / arrivalSlots
			}
		}
	}
	for key, r := range d.attemptGrants {
		rep.UnusedGrants[key] = wire.UnusedGrant{Ticket: r.number, Remaining: r.to - r.next}
	}
	return rep
}

// KindStatus counts the calls of one kind since the start.
type KindStatus struct {
	Kind    string                `json:"kind"`
	Arrived uint64                `json:"arrived"`
	Waiting int                   `json:"waiting"`
	Done    uint64                `json:"done"`
	Faults  map[fault.Code]uint64 `json:"given,omitempty"`
}

// Status is the state of a decider for a person.
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

// Status copies the state for a person.
func (d *Decider) Status() Status {
	n := Status{Waiting: d.queued, Calls: len(d.calls), InFlight: map[string]int{}, LeaseMs: max(0, d.leaseUntilUs-d.nowUs) / 1000, Draining: d.draining, Kinds: []KindStatus{}}
	if d.snapshot != nil {
		n.Number, n.View, n.Revision = d.snapshot.Number, d.snapshot.View, d.snapshot.Revision
	}
	waiting := map[string]int{}
	for key, q := range d.queues {
		waiting[key.kind] += len(q.calls)
	}
	for _, name := range d.kindNames() {
		k := d.kinds[name]
		given := map[fault.Code]uint64{}
		for code, count := range k.faults {
			given[code] = count
		}
		n.Kinds = append(n.Kinds, KindStatus{name, k.arrived, waiting[name], k.done, given})
	}
	for id, p := range d.grantedReplicas {
		n.InFlight[id] = len(p.inFlight)
	}
	for id, s := range d.replicaStats {
		if len(s.openAttempts) > 0 {
			n.InFlight[id] = len(s.openAttempts)
		}
	}
	n.Budgets = d.retryBudgetStatuses()
	n.Recent = append(n.Recent, d.decisionLog...)
	return n
}

// Ready is nil when this gateway can take calls now, or says why it cannot.
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
	f.RetryMs = noLeaseRetryMs
	if f.Code == fault.Overloaded {
		f.RetryMs = d.RetryAfterMs()
	}
	return f
}
