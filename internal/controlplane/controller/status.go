package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// GatewayStatus is the status of a gateway: when it last reported, and its arriving and waiting calls.
type GatewayStatus struct {
	Silent          bool   `json:"silent,omitempty"`
	Gateway         string `json:"desk"`
	Zone            string `json:"zone"`
	Addr            string `json:"addr"`
	LastReportAgoMs int64  `json:"agoMs"`
	// Revision is the revision of the declaration that the gateway used at its latest report.
	Revision uint64             `json:"revision,omitempty"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
}

// Gateways returns the status of every gateway that has reported.
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

// PolicyStatus is the status of a placement policy: how often it ran, how often it failed, and how it differed from the live
// policy.
type PolicyStatus struct {
	Name       string              `json:"name"`
	Runs       uint64              `json:"runs"`
	Steps      uint64              `json:"steps"`
	Fault      *fault.Fault        `json:"fault,omitempty"`
	FaultCount uint64              `json:"faulted"`
	Verdicts   []placement.Verdict `json:"verdicts,omitempty"`
	Difference *ShadowDifference   `json:"parted,omitempty"`
}

// withRun adds a run to the status of a policy.
func withRun(status PolicyStatus, result placement.RunResult) PolicyStatus {
	if status.Name != result.Policy {
		status = PolicyStatus{Name: result.Policy}
	}
	status.Runs++
	status.Steps = result.Steps
	status.Fault = result.Fault
	if result.Fault != nil {
		status.FaultCount++
	}
	return status
}

// PolicyStatus returns the status of the live placement policy.
func (c *Controller) PolicyStatus() PolicyStatus { return c.policies.live }

// ShadowStatuses returns the statuses of the shadow policies, in the order of the declaration.
func (c *Controller) ShadowStatuses() []PolicyStatus { return c.policies.shadows }

// OrderStatus is the order of a pending command. SentAgoMs is negative if this leader has not sent the order. Answer is the
// replica's answer: running, done, busy or in_doubt, or empty if there is none yet.
type OrderStatus struct {
	statemachine.ReplicaCommand
	SentAgoMs int64  `json:"sentAgoMs"`
	Answer    string `json:"said,omitempty"`
}

// UnreportedStatus is a replica whose last order was settled as unknown. It gets no orders before it has reported.
type UnreportedStatus struct {
	Replica string `json:"replica"`
	// MissingMs is the time since the order was settled, in milliseconds.
	MissingMs int64 `json:"forMs"`
}

// StoreStatus is the status of the weight store for a service: the loads that may begin now, the running loads from the
// store, the maximum number of concurrent loads at full speed, and the loads that began within the window.
type StoreStatus struct {
	Service            string `json:"service"`
	LoadsLeft          int    `json:"left"`
	RunningLoads       int    `json:"running"`
	MaxConcurrentLoads int    `json:"atOnce"`
	RecentLoads        int    `json:"began"`
	WindowMs           int64  `json:"windowMs"`
}

// DemandStatus is the smoothed demand for a model or an adapter in calls and prompt tokens per second.
type DemandStatus struct {
	Rate            float64 `json:"rate"`
	Tokens          float64 `json:"tokens"`
	LastCalledAgoMs int64   `json:"agoMs"`
}

// LeaderStatus is the leader's state in routed mode (see the package documentation) that is not part of the replicated state.
// OrderDelayMs is the time left until the lease of the previous leader has certainly expired at every replica, so that this
// leader may order all of them.
type LeaderStatus struct {
	Leader       string                  `json:"holder"`
	Epoch        uint64                  `json:"fence"`
	OrderDelayMs int64                   `json:"ordersInMs"`
	Orders       []OrderStatus           `json:"orders"`
	Store        []StoreStatus           `json:"store"`
	Demand       map[string]DemandStatus `json:"needs,omitempty"`
	// Unreported are the replicas that get no orders before they have reported.
	Unreported []UnreportedStatus `json:"unreported,omitempty"`
}

// Status returns the leader's status; nil if this control node does not lead or the declaration has no routes.
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

// orderStatuses returns the outstanding orders and when they were sent.
func (c *Controller) orderStatuses(nowUs int64, s *statemachine.State) []OrderStatus {
	statuses := []OrderStatus{}
	for _, id := range sortedKeys(s.Pending) {
		status := OrderStatus{ReplicaCommand: s.Pending[id], SentAgoMs: -1}
		if o := c.routed.orders.byNumber[status.Number]; o != nil && o.sentUs > 0 {
			status.SentAgoMs, status.Answer = (nowUs-o.sentUs)/clock.Ms, o.answer
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// storeStatuses returns the status of the weight store for each service with an engine.
func (c *Controller) storeStatuses(nowUs int64, s *statemachine.State) []StoreStatus {
	statuses := []StoreStatus{}
	windowUs := c.routed.store.effectiveLengthUs()
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
