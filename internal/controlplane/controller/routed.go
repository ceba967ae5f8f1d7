package controller

import (
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// OrderFlightUs bounds how long an order may be on its way to a replica: its sender gives it up then, and resets the
// connection. A successor waits so long beside the lease, as an order may arrive after the last that was heard of it.
const OrderFlightUs = 900 * clock.Ms

const (
	routedPolicyUs  = 500 * clock.Ms
	routedUrgentUs  = 30 * clock.Ms
	holderFreshUs   = 1100 * clock.Ms
	leaseSlackUs    = OrderFlightUs + 100*clock.Ms
	askLateUs       = 300 * clock.Ms
	askAgainUs      = 90 * clock.Ms
	askLostUs       = 1200 * clock.Ms
	orderAgainUs    = 700 * clock.Ms
	orderVoidUs     = 1200 * clock.Ms
	outdatedMostUs  = 10 * clock.Sec
	sendLateUs      = 300 * clock.Ms
	adapterDoneUs   = 25 * clock.Ms
	quietLeastUs    = 40 * clock.Ms
	quietMostUs     = 700 * clock.Ms
	loadSlackUs     = 15 * clock.Ms
	warmFirstUs     = 620 * clock.Ms
	unloadFirstUs   = 215 * clock.Ms
	sparesUsual     = 1
	intentUs        = 2 * clock.Sec
	forgottenUs     = 15 * clock.Sec
	wordLateUs      = 2 * clock.Sec
	noteEveryUs     = 250 * clock.Ms
	trustSpans      = 3
	recentLeast     = 3.0
	recentCut       = 0.85
	tokensUnknown   = 1500.0
	expectCut       = 0.8
	expectLeast     = 0.5
	expectUs        = 5 * clock.Sec
	tokensPerMs     = 20.0
	decodeMsPerCall = 25.0
)

// routed is the controller's memory for replicas that make themselves known.
type routed struct {
	leaderSinceUs int64
	foreignUs     int64
	bornUs        int64
	loadsUs       []int64
	known         uint64
	missedUs      int64
	orders        map[uint64]*standingOrder
	needs         map[string]*need
	cameUs        map[unitAt]int64
	trustedUs     map[unitAt]int64
	changedUs     map[string]int64
	unseenUs      map[string]int64
	demandUs      int64
	begunUs       map[routeModel]int64
	intents       map[string]intent
	unplaced      map[string]bool
	noted         notedAt
}

// unitAt is a model or an adapter at one replica.
type unitAt struct {
	replica, unit string
}

// intent is the model that room is being made for at a replica.
type intent struct {
	unit string
	atUs int64
}

func newRouted() routed {
	return routed{
		orders: map[uint64]*standingOrder{}, needs: map[string]*need{}, intents: map[string]intent{}, unplaced: map[string]bool{},
		cameUs: map[unitAt]int64{}, trustedUs: map[unitAt]int64{}, changedUs: map[string]int64{}, unseenUs: map[string]int64{},
	}
}

// Saw notes the tickets and settled orders of whoever leads, as they are applied: a successor
// waits out their lease, and counts their loads.
func (f *Controller) Saw(nowUs int64, epoch uint64, d statemachine.LeaderUpdate, s *statemachine.State) {
	if s.Doc == nil || !s.Doc.Routed() {
		return
	}
	if foreign := epoch != f.claimed || !f.IsLeader(s); !f.turns.saw(nowUs, foreign, d, s) {
		f.routed.foreignUs = nowUs
	}
	f.routed.missed(nowUs, s, len(d.Commands))
	for _, t := range d.Commands {
		f.routed.noteLoad(nowUs, s, t)
	}
	for _, done := range d.Results {
		delete(f.routed.orders, done.Number)
	}
	if len(d.Results) > 0 {
		for id, r := range s.Replicas {
			if r.ModifiedIndex == s.Index {
				f.routed.changedUs[id] = nowUs
			}
		}
	}
}

// routedTick is a tick of whoever leads over replicas that make themselves known.
func (f *Controller) routedTick(seen Seen) {
	if f.routed.leaderSinceUs == 0 {
		f.beginDuty(seen)
	}
	f.countNeeds(seen.NowUs)
	f.judgeOutliers(seen)
	f.routedOrders(seen)
	f.startResident(seen)
	f.write(seen)
}

// beginDuty notes what an earlier holder may still have on its way.
func (f *Controller) beginDuty(seen Seen) {
	r := &f.routed
	r.leaderSinceUs = seen.NowUs
	if seen.State.NextNumber > 1 {
		r.foreignUs = max(r.foreignUs, r.bornUs)
	}
	f.turns.unseen(seen.NowUs, seen.State)
	if f.turns.next != seen.State.NextNumber {
		f.turns.follow(seen.State)
		r.foreignUs = seen.NowUs
	}
	for id, t := range seen.State.Pending {
		if t.Epoch != f.claimed {
			f.turns.atUs[id] = max(f.turns.atUs[id], seen.NowUs+holderFreshUs)
		}
	}
}
