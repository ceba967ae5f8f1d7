package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/failuredetector"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

func (h *Host) subscribe(ev controlclient.Event) {
	ev.NowUs = clock.NowUs()
	for _, e := range h.subscriber.Step(ev) {
		switch {
		case e.AskWhere != nil:
			for _, addr := range e.AskWhere {
				h.act.Spawn(func() { h.askWhere(addr) })
			}
		case e.Follow != nil:
			if h.unfollow != nil {
				h.unfollow()
			}
			ctx, done := context.WithCancel(h.act.Ctx)
			h.unfollow = done
			follow := *e.Follow
			h.act.Spawn(func() { h.follow(ctx, follow) })
		case e.Report != nil:
			report := h.decider.Report(ev.NowUs)
			report.Addr, report.Zone, report.Suspects = h.set.Advertise, h.set.Zone, h.subscriber.Silent(ev.NowUs)
			tail := *e.Report
			h.act.Spawn(func() { h.report(tail, report) })
		case e.Beats != nil:
			for _, n := range e.Beats {
				h.act.Spawn(func() { h.beat(n.Addr, failuredetector.Heartbeat{ID: h.set.Name}) })
			}
			for _, n := range e.Farewells {
				h.act.Spawn(func() { h.beat(n.Addr, failuredetector.Heartbeat{ID: h.set.Name, Final: true}) })
			}
		case e.Snapshot != nil:
			h.snap.Store(e.Snapshot)
			h.step(scheduling.Event{Snapshot: e.Snapshot})
		case e.LeaseUs != 0:
			h.leaseUs.Store(e.LeaseUs)
			h.step(scheduling.Event{LeaseUs: e.LeaseUs})
		}
	}
	if ev.Where != nil {
		where := h.subscriber.Where()
		h.where.Store(&where)
	}
}

func (h *Host) tellSubscriber(ev controlclient.Event) { h.act.Tell(func() { h.subscribe(ev) }) }

func (h *Host) beat(addr string, b failuredetector.Heartbeat) {
	ctx, done := context.WithTimeout(h.act.Ctx, time.Duration(failuredetector.HeartbeatIntervalUs)*time.Microsecond)
	defer done()
	_, _ = rpc.NewCaller[failuredetector.Heartbeat, wire.Ack](h.inner, addr, rpc.BeatPath).Call(ctx, &b)
}

func (h *Host) askWhere(addr string) {
	ctx, done := context.WithTimeout(h.act.Ctx, 400*time.Millisecond)
	defer done()
	w, err := rpc.NewCaller[wire.MembershipRequest, wire.MembershipResponse](h.inner, addr, rpc.WherePath).Call(ctx, &wire.MembershipRequest{})
	if err == nil {
		h.tellSubscriber(controlclient.Event{Where: w})
	}
}

// follow holds the connection down which the tail pushes news.
func (h *Host) follow(ctx context.Context, f controlclient.Follow) {
	defer h.tellSubscriber(controlclient.Event{Closed: f.Number})
	stream, err := rpc.NewCaller[wire.SubscribeRequest, wire.GatewayUpdate](h.inner, f.Tail.Addr, rpc.FollowPath).Stream(ctx, &f.Ask)
	if err != nil {
		return
	}
	for stream.Receive() {
		news := *stream.Msg()
		h.tellSubscriber(controlclient.Event{News: &news})
	}
	_ = stream.Close()
}

// report tells the tail what this gateway has taken and what it holds, and brings back the lease.
func (h *Host) report(tail chain.Replica, report wire.Report) {
	ctx, done := context.WithTimeout(h.act.Ctx, 600*time.Millisecond)
	defer done()
	lease, err := rpc.NewCaller[wire.Report, wire.Lease](h.inner, tail.Addr, rpc.AckPath).Call(ctx, &report)
	if err == nil && lease.SentUs == report.SentUs {
		h.tellSubscriber(controlclient.Event{Lease: lease})
	}
}

func (h *Host) tail() chain.Replica {
	if w := h.where.Load(); w != nil {
		return w.View.Tail()
	}
	return chain.Replica{}
}

// Submit carries a change through any control node that answers.
func (h *Host) Submit(ctx context.Context, c statemachine.Change) (*wire.Result, error) {
	ctx, done := context.WithTimeout(ctx, keyWait)
	defer done()
	var last error
	controlNodes, ran := actor.Ask(h.act.Ctx, h.act, h.subscriber.ControlNodes)
	if !ran {
		return nil, fault.New(fault.Draining, "", "stopping")
	}
	for _, addr := range controlNodes {
		result, err := rpc.NewCaller[statemachine.Change, wire.Result](h.inner, addr, rpc.SubmitPath).Call(ctx, &c)
		if err == nil {
			return result, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Trace(last)
}
