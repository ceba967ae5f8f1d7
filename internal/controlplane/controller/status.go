package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// GatewayStatus is what is shown of a gateway: when it last reported, and what is called for and waits there.
type GatewayStatus struct {
	Silent          bool   `json:"silent,omitempty"`
	Gateway         string `json:"desk"`
	Zone            string `json:"zone"`
	Addr            string `json:"addr"`
	LastReportAgoMs int64  `json:"agoMs"`
	// Revision is that of the declaration that it worked by at its last report.
	Revision uint64             `json:"revision,omitempty"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
}

// Gateways shows every gateway that has reported.
func (c *Controller) Gateways(nowUs int64) []GatewayStatus {
	statuses := []GatewayStatus{}
	for _, id := range sortedKeys(c.gateways.byID) {
		gateway := c.gateways.byID[id]
		statuses = append(statuses, GatewayStatus{
			Silent: c.gateways.isSilent(nowUs, id), Gateway: id, Zone: gateway.report.Zone, Addr: gateway.report.Addr, LastReportAgoMs: (nowUs - gateway.reportedUs) / 1000,
			Revision: gateway.report.Revision, Arrivals: gateway.report.Arrivals, Waiting: gateway.report.Queued,
		})
	}
	return statuses
}

// PolicyStatus is what is shown of a placement policy: how often it ran, failed, and differed from the live one.
type PolicyStatus struct {
	Name       string              `json:"name"`
	Runs       uint64              `json:"runs"`
	Steps      uint64              `json:"steps"`
	Fault      *fault.Fault        `json:"fault,omitempty"`
	FaultCount uint64              `json:"faulted"`
	Verdicts   []placement.Verdict `json:"verdicts,omitempty"`
	Difference *ShadowDifference   `json:"parted,omitempty"`
}

// withRun adds a run to what is shown of a policy.
func withRun(status PolicyStatus, a placement.RunResult) PolicyStatus {
	if status.Name != a.Policy {
		status = PolicyStatus{Name: a.Policy}
	}
	status.Runs++
	status.Steps = a.Steps
	status.Fault = a.Fault
	if a.Fault != nil {
		status.FaultCount++
	}
	return status
}

// PolicyStatus is what is shown of the live placement policy.
func (c *Controller) PolicyStatus() PolicyStatus { return c.policies.live }

// ShadowStatuses are what is shown of the shadow policies, in the declaration's order.
func (c *Controller) ShadowStatuses() []PolicyStatus { return c.policies.shadows }

// OrderStatus is an order that stands at a replica. SentAgoMs is below 0 while it has not been sent by this
// holder; Answer is what the replica answered: running, done, busy, in_doubt, or nothing yet.
type OrderStatus struct {
	statemachine.ReplicaCommand
	SentAgoMs int64  `json:"sentAgoMs"`
	Answer    string `json:"said,omitempty"`
}

// UnreportedStatus is a replica whose last order was settled as unknown. No order goes there before its report has come.
type UnreportedStatus struct {
	Replica string `json:"replica"`
	// MissingMs is how long ago its order was settled.
	MissingMs int64 `json:"forMs"`
}

// StoreStatus is what the weight store still gives a service: loads that may begin now, loads from it that
// run, how many it bears at full speed, and loads that began within the window.
type StoreStatus struct {
	Service            string `json:"service"`
	LoadsLeft          int    `json:"left"`
	RunningLoads       int    `json:"running"`
	MaxConcurrentLoads int    `json:"atOnce"`
	RecentLoads        int    `json:"began"`
	WindowMs           int64  `json:"windowMs"`
}

// DemandStatus is how often a model or adapter is called for: calls and prompt tokens a second, smoothed.
type DemandStatus struct {
	Rate            float64 `json:"rate"`
	Tokens          float64 `json:"tokens"`
	LastCalledAgoMs int64   `json:"agoMs"`
}

// LeaderStatus is what the control node that leads knows of replicas that make themselves known, beyond the
// ledger. OrderDelayMs is how long it still waits out its predecessor before it orders every replica.
type LeaderStatus struct {
	Leader       string                  `json:"holder"`
	Epoch        uint64                  `json:"fence"`
	OrderDelayMs int64                   `json:"ordersInMs"`
	Orders       []OrderStatus           `json:"orders"`
	Store        []StoreStatus           `json:"store"`
	Demand       map[string]DemandStatus `json:"needs,omitempty"`
	// Unreported are the replicas that get no orders until their report has come.
	Unreported []UnreportedStatus `json:"unreported,omitempty"`
}

// Status is nil where this control node does not lead, or nothing is sent by routes.
func (c *Controller) Status(nowUs int64, s *statemachine.State) *LeaderStatus {
	if s.Doc == nil || !s.Doc.Routed() || !c.IsLeader(s) {
		return nil
	}
	status := &LeaderStatus{Leader: s.Leader, Epoch: s.Epoch, Orders: c.orderStatuses(nowUs, s), Store: c.storeStatuses(nowUs, s), Demand: map[string]DemandStatus{}}
	if lastUs := c.routed.predecessor.longestWaitUs(nowUs, s); lastUs > 0 {
		status.OrderDelayMs = (lastUs + clock.Ms - 1) / clock.Ms
	}
	for _, id := range sortedKeys(c.routed.orders.unreported) {
		status.Unreported = append(status.Unreported, UnreportedStatus{Replica: id, MissingMs: (nowUs - c.routed.orders.unreported[id].sinceUs) / clock.Ms})
	}
	for unit, estimate := range c.routed.demand.estimates {
		status.Demand[unit] = DemandStatus{Rate: estimate.rate, Tokens: estimate.tokens, LastCalledAgoMs: (nowUs - estimate.lastUs) / clock.Ms}
	}
	return status
}

// orderStatuses shows the standing orders, and when each was sent.
func (c *Controller) orderStatuses(nowUs int64, s *statemachine.State) []OrderStatus {
	statuses := []OrderStatus{}
	for _, id := range sortedKeys(s.Pending) {
		row := OrderStatus{ReplicaCommand: s.Pending[id], SentAgoMs: -1}
		if o := c.routed.orders.byNumber[row.Number]; o != nil && o.sentUs > 0 {
			row.SentAgoMs, row.Answer = (nowUs-o.sentUs)/clock.Ms, o.answer
		}
		statuses = append(statuses, row)
	}
	return statuses
}

// storeStatuses shows how many loads each service's store bears, and how many run and began lately.
func (c *Controller) storeStatuses(nowUs int64, s *statemachine.State) []StoreStatus {
	statuses := []StoreStatus{}
	windowUs := c.routed.store.spanUs()
	began := c.routed.store.loadsWithin(nowUs, windowUs)
	for i := range s.Doc.Services {
		service := &s.Doc.Services[i]
		if service.Engine == nil {
			continue
		}
		statuses = append(statuses, StoreStatus{
			Service: service.Name, LoadsLeft: c.routed.store.loadsLeft(nowUs, s, service), MaxConcurrentLoads: service.Engine.MaxConcurrentLoads(), WindowMs: windowUs / clock.Ms,
			RunningLoads: pendingStoreLoads(s, service), RecentLoads: began,
		})
	}
	return statuses
}
