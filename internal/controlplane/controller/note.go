package controller

import (
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// OrderNote is an order that stands at a replica. SentAgoMs is below 0 while it has not been sent by this
// holder; Said is what the replica answered: running, done, busy, in_doubt, or nothing yet.
type OrderNote struct {
	statemachine.ReplicaCommand
	SentAgoMs int64  `json:"sentAgoMs"`
	Said      string `json:"said,omitempty"`
}

// StoreNote is what the weight store still gives a service: loads that may begin now, loads from it that
// run, how many it bears at full speed, and loads that began within the window.
type StoreNote struct {
	Service  string `json:"service"`
	Left     int    `json:"left"`
	Running  int    `json:"running"`
	AtOnce   int    `json:"atOnce"`
	Began    int    `json:"began"`
	WindowMs int64  `json:"windowMs"`
}

// NeedNote is how often a model or adapter is called for: calls and prompt tokens a second, smoothed.
type NeedNote struct {
	Rate   float64 `json:"rate"`
	Tokens float64 `json:"tokens"`
	AgoMs  int64   `json:"agoMs"`
}

// Note is what the control node that leads knows of replicas that make themselves known, beyond the
// ledger. OrdersInMs is how long it still waits out its predecessor before it orders every replica.
type Note struct {
	Holder     string              `json:"holder"`
	Fence      uint64              `json:"fence"`
	OrdersInMs int64               `json:"ordersInMs"`
	Orders     []OrderNote         `json:"orders"`
	Store      []StoreNote         `json:"store"`
	Needs      map[string]NeedNote `json:"needs,omitempty"`
}

// Note is nil where this control node does not lead, or nothing is sent by routes.
func (f *Controller) Note(nowUs int64, s *statemachine.State) *Note {
	if s.Doc == nil || !s.Doc.Routed() || !f.IsLeader(s) {
		return nil
	}
	n := &Note{Holder: s.Leader, Fence: s.Epoch, Orders: f.orderNotes(nowUs, s), Store: f.storeNotes(nowUs, s), Needs: map[string]NeedNote{}}
	if lastUs := f.lastTurnUs(nowUs, s); lastUs > 0 {
		n.OrdersInMs = (lastUs + clock.Ms - 1) / clock.Ms
	}
	for unit, need := range f.routed.needs {
		n.Needs[unit] = NeedNote{Rate: need.rate, Tokens: need.tokens, AgoMs: (nowUs - need.lastUs) / clock.Ms}
	}
	return n
}

// orderNotes shows the standing orders, and when each was sent.
func (f *Controller) orderNotes(nowUs int64, s *statemachine.State) []OrderNote {
	notes := []OrderNote{}
	for _, id := range sorted(s.Pending) {
		row := OrderNote{ReplicaCommand: s.Pending[id], SentAgoMs: -1}
		if o := f.routed.orders[row.Number]; o != nil && o.sentUs > 0 {
			row.SentAgoMs, row.Said = (nowUs-o.sentUs)/clock.Ms, o.said
		}
		notes = append(notes, row)
	}
	return notes
}

// storeNotes shows how many loads each service's store bears, and how many run and began lately.
func (f *Controller) storeNotes(nowUs int64, s *statemachine.State) []StoreNote {
	notes := []StoreNote{}
	windowUs := f.windowUs()
	began := f.routed.loadsWithin(nowUs, windowUs)
	for i := range s.Doc.Services {
		svc := &s.Doc.Services[i]
		if svc.Engine == nil {
			continue
		}
		notes = append(notes, StoreNote{
			Service: svc.Name, Left: f.storeLeft(nowUs, s, svc), AtOnce: svc.Engine.MaxConcurrentLoads(), WindowMs: windowUs / clock.Ms,
			Running: storeLoads(s, svc), Began: began,
		})
	}
	return notes
}
