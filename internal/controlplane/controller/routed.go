package controller

import (
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// OrderFlightUs bounds how long an order may be on its way to a replica: its sender gives it up then, and resets the
// connection. A successor waits so long beside the lease, as an order may arrive after the last that was heard of it.
const OrderFlightUs = 900 * clock.Ms

const (
	residentIntervalUs    = 500 * clock.Ms
	minResidentIntervalUs = 30 * clock.Ms
	leaderFreshUs         = 1100 * clock.Ms
	leaseSlackUs          = OrderFlightUs + 100*clock.Ms
	busyCheckUs           = 300 * clock.Ms
	recheckUs             = 90 * clock.Ms
	requestTimeoutUs      = 1200 * clock.Ms
	orderTimeoutUs        = 700 * clock.Ms
	orderVanishedUs       = 1200 * clock.Ms
	maxOutdatedUs         = 10 * clock.Sec
	recountAfterUs        = 300 * clock.Ms
	adapterLoadUs         = 25 * clock.Ms
	minQuietUs            = 40 * clock.Ms
	maxQuietUs            = 700 * clock.Ms
	loadSlackUs           = 15 * clock.Ms
	warmLoadUs            = 620 * clock.Ms
	unloadUs              = 215 * clock.Ms
	defaultSpares         = 1
	reservationUs         = 2 * clock.Sec
	unseenRemovedAfterUs  = 15 * clock.Sec
	reportDelayUs         = 2 * clock.Sec
	registryIntervalUs    = 250 * clock.Ms
	trustFactor           = 3
	minRecentRate         = 3.0
	recentDiscount        = 0.85
	defaultTokensPerCall  = 1500.0
	forecastDiscount      = 0.8
	minForecastRate       = 0.5
	forecastSpanUs        = 5 * clock.Sec
	tokensPerMs           = 20.0
	decodeMsPerCall       = 25.0
)

// routedMemory is the controller's memory for replicas that make themselves known.
type routedMemory struct {
	leaderSinceUs int64
	foreignUs     int64
	bornUs        int64
	loadsUs       []int64
	known         uint64
	missedUs      int64
	orders        map[uint64]*standingOrder
	needs         map[string]*demandEstimate
	cameUs        map[replicaUnit]int64
	trustedUs     map[replicaUnit]int64
	changedUs     map[string]int64
	unseenUs      map[string]int64
	demandUs      int64
	begunUs       map[routeModel]int64
	intents       map[string]reservation
	unplaced      map[string]bool
	noted         comparedVersion
}

// replicaUnit is a model or an adapter at one replica.
type replicaUnit struct {
	replica, unit string
}

// reservation is the model that room is being made for at a replica.
type reservation struct {
	unit string
	atUs int64
}

func newRouted() routedMemory {
	return routedMemory{
		orders: map[uint64]*standingOrder{}, needs: map[string]*demandEstimate{}, intents: map[string]reservation{}, unplaced: map[string]bool{},
		cameUs: map[replicaUnit]int64{}, trustedUs: map[replicaUnit]int64{}, changedUs: map[string]int64{}, unseenUs: map[string]int64{},
	}
}

// OnApplied notes the tickets and settled orders of whoever leads, as they are applied: a successor
// waits out their lease, and counts their loads.
func (c *Controller) OnApplied(nowUs int64, epoch uint64, d statemachine.LeaderUpdate, s *statemachine.State) {
	if s.Doc == nil || !s.Doc.Routed() {
		return
	}
	if foreign := epoch != c.claimed || !c.IsLeader(s); !c.turns.onApplied(nowUs, foreign, d, s) {
		c.routed.foreignUs = nowUs
	}
	c.routed.detectUnseenTickets(nowUs, s, len(d.Commands))
	for _, t := range d.Commands {
		c.routed.recordLoad(nowUs, s, t)
	}
	for _, done := range d.Results {
		delete(c.routed.orders, done.Number)
	}
	if len(d.Results) > 0 {
		for id, r := range s.Replicas {
			if r.ModifiedIndex == s.Index {
				c.routed.changedUs[id] = nowUs
			}
		}
	}
}

// routedTick is a tick of whoever leads over replicas that make themselves known.
func (c *Controller) routedTick(snapshot Snapshot) {
	if c.routed.leaderSinceUs == 0 {
		c.beginLeadership(snapshot)
	}
	c.updateDemand(snapshot.NowUs)
	c.judgeOutliers(snapshot)
	c.pursueOrders(snapshot)
	c.runResident(snapshot)
	c.writeDue(snapshot)
}

// beginLeadership notes what an earlier holder may still have on its way.
func (c *Controller) beginLeadership(snapshot Snapshot) {
	r := &c.routed
	r.leaderSinceUs = snapshot.NowUs
	if snapshot.State.NextNumber > 1 {
		r.foreignUs = max(r.foreignUs, r.bornUs)
	}
	c.turns.recordUnseen(snapshot.NowUs, snapshot.State)
	if c.turns.nextTicket != snapshot.State.NextNumber {
		c.turns.reset(snapshot.State)
		r.foreignUs = snapshot.NowUs
	}
	for id, t := range snapshot.State.Pending {
		if t.Epoch != c.claimed {
			c.turns.lastOrderUs[id] = max(c.turns.lastOrderUs[id], snapshot.NowUs+leaderFreshUs)
		}
	}
}
