package controller

import (
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// OrderStatus is an order that stands at a replica. SentAgoMs is below 0 while it has not been sent by this
// holder; Said is what the replica answered: running, done, busy, in_doubt, or nothing yet.
type OrderStatus struct {
	statemachine.ReplicaCommand
	SentAgoMs int64  `json:"sentAgoMs"`
	Answer    string `json:"said,omitempty"`
}

// StoreStatus is what the weight store still gives a service: loads that may begin now, loads from it that
// run, how many it bears at full speed, and loads that began within the window.
type StoreStatus struct {
	Service  string `json:"service"`
	Left     int    `json:"left"`
	Running  int    `json:"running"`
	AtOnce   int    `json:"atOnce"`
	Began    int    `json:"began"`
	WindowMs int64  `json:"windowMs"`
}

// DemandStatus is how often a model or adapter is called for: calls and prompt tokens a second, smoothed.
type DemandStatus struct {
	Rate   float64 `json:"rate"`
	Tokens float64 `json:"tokens"`
	AgoMs  int64   `json:"agoMs"`
}

// LeaderStatus is what the control node that leads knows of replicas that make themselves known, beyond the
// ledger. OrdersInMs is how long it still waits out its predecessor before it orders every replica.
type LeaderStatus struct {
	Holder     string                  `json:"holder"`
	Fence      uint64                  `json:"fence"`
	OrdersInMs int64                   `json:"ordersInMs"`
	Orders     []OrderStatus           `json:"orders"`
	Store      []StoreStatus           `json:"store"`
	Demand     map[string]DemandStatus `json:"needs,omitempty"`
}

// Status is nil where this control node does not lead, or nothing is sent by routes.
func (c *Controller) Status(nowUs int64, s *statemachine.State) *LeaderStatus {
	if s.Doc == nil || !s.Doc.Routed() || !c.IsLeader(s) {
		return nil
	}
	n := &LeaderStatus{Holder: s.Leader, Fence: s.Epoch, Orders: c.orderStatuses(nowUs, s), Store: c.storeStatuses(nowUs, s), Demand: map[string]DemandStatus{}}
	if lastUs := c.longestWaitUs(nowUs, s); lastUs > 0 {
		n.OrdersInMs = (lastUs + clock.Ms - 1) / clock.Ms
	}
	for unit, need := range c.routed.needs {
		n.Demand[unit] = DemandStatus{Rate: need.rate, Tokens: need.tokens, AgoMs: (nowUs - need.lastUs) / clock.Ms}
	}
	return n
}

// orderStatuses shows the standing orders, and when each was sent.
func (c *Controller) orderStatuses(nowUs int64, s *statemachine.State) []OrderStatus {
	notes := []OrderStatus{}
	for _, id := range sortedKeys(s.Pending) {
		row := OrderStatus{ReplicaCommand: s.Pending[id], SentAgoMs: -1}
		if o := c.routed.orders[row.Number]; o != nil && o.sentUs > 0 {
			row.SentAgoMs, row.Answer = (nowUs-o.sentUs)/clock.Ms, o.answer
		}
		notes = append(notes, row)
	}
	return notes
}

// storeStatuses shows how many loads each service's store bears, and how many run and began lately.
func (c *Controller) storeStatuses(nowUs int64, s *statemachine.State) []StoreStatus {
	notes := []StoreStatus{}
	windowUs := c.storeWindowUs()
	began := c.routed.loadsWithin(nowUs, windowUs)
	for i := range s.Doc.Services {
		svc := &s.Doc.Services[i]
		if svc.Engine == nil {
			continue
		}
		notes = append(notes, StoreStatus{
			Service: svc.Name, Left: c.storeLoadsLeft(nowUs, s, svc), AtOnce: svc.Engine.MaxConcurrentLoads(), WindowMs: windowUs / clock.Ms,
			Running: pendingStoreLoads(s, svc), Began: began,
		})
	}
	return notes
}
