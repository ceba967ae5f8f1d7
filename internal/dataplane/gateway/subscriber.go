package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

// stepSubscriber passes an event to the subscriber and executes the resulting effects. It runs on the actor.
func (h *Host) stepSubscriber(ev controlclient.Event) {
	ev.NowUs = clock.NowUs()
	for _, e := range h.subscriber.Step(ev) {
		switch {
		case e.RequestMembership != nil:
			for _, addr := range e.RequestMembership {
				h.act.Spawn(func() { h.requestMembership(addr) })
			}
		case e.Follow != nil:
			if h.cancelFollow != nil {
				h.cancelFollow()
			}
			ctx, cancel := context.WithCancel(h.act.Ctx)
			h.cancelFollow = cancel
			follow := *e.Follow
			h.act.Spawn(func() { h.follow(ctx, follow) })
		case e.Report != nil:
			report := h.decider.Report(ev.NowUs)
			report.Addr, report.Zone, report.Suspects = h.settings.Advertise, h.settings.Zone, h.subscriber.Suspects(ev.NowUs)
			tail := *e.Report
			h.act.Spawn(func() { h.reportToTail(tail, report) })
		case e.Heartbeats != nil:
			for _, n := range e.Heartbeats {
				h.act.Spawn(func() { h.sendHeartbeat(n.Addr, membership.Heartbeat{ID: h.settings.Name}) })
			}
			for _, n := range e.FinalHeartbeats {
				h.act.Spawn(func() { h.sendHeartbeat(n.Addr, membership.Heartbeat{ID: h.settings.Name, Final: true}) })
			}
		case e.Snapshot != nil:
			h.snapshot.Store(e.Snapshot)
			h.step(scheduling.SnapshotReceived{Snapshot: e.Snapshot})
		case e.LeaseUs != 0:
			h.leaseUs.Store(e.LeaseUs)
			h.step(scheduling.LeaseExtended{UntilUs: e.LeaseUs})
		}
	}
	if ev.Membership != nil {
		response := h.subscriber.Membership()
		h.membership.Store(&response)
	}
}

func (h *Host) postSubscriber(ev controlclient.Event) { h.act.Tell(func() { h.stepSubscriber(ev) }) }

func (h *Host) sendHeartbeat(addr string, b membership.Heartbeat) {
	ctx, cancel := context.WithTimeout(h.act.Ctx, time.Duration(failuredetector.HeartbeatIntervalUs)*time.Microsecond)
	defer cancel()
	_, _ = rpc.NewCaller[membership.Heartbeat, wire.Ack](h.nodeClient, addr, rpc.BeatPath).Call(ctx, &b)
}

func (h *Host) requestMembership(addr string) {
	ctx, cancel := context.WithTimeout(h.act.Ctx, 400*time.Millisecond)
	defer cancel()
	w, err := rpc.NewCaller[wire.MembershipRequest, wire.MembershipResponse](h.nodeClient, addr, rpc.WherePath).Call(ctx, &wire.MembershipRequest{})
	if err == nil {
		h.postSubscriber(controlclient.Event{Membership: w})
	}
}

// follow reads the stream of updates that the tail of the chain pushes, until the stream ends.
func (h *Host) follow(ctx context.Context, f controlclient.Follow) {
	defer h.postSubscriber(controlclient.Event{Closed: f.Number})
	stream, err := rpc.NewCaller[wire.SubscribeRequest, wire.GatewayUpdate](h.nodeClient, f.Tail.Addr, rpc.FollowPath).Stream(ctx, &f.Request)
	if err != nil {
		return
	}
	for stream.Receive() {
		update := *stream.Msg()
		h.postSubscriber(controlclient.Event{Update: &update})
	}
	_ = stream.Close()
}

// reportToTail sends this gateway's report to the tail, which acknowledges updates, and passes the lease in the response to the
// subscriber.
func (h *Host) reportToTail(tail membership.ChainReplica, report wire.Report) {
	ctx, cancel := context.WithTimeout(h.act.Ctx, 600*time.Millisecond)
	defer cancel()
	lease, err := rpc.NewCaller[wire.Report, wire.Lease](h.nodeClient, tail.Addr, rpc.AckPath).Call(ctx, &report)
	if err == nil && lease.SentUs == report.SentUs {
		h.postSubscriber(controlclient.Event{Lease: lease})
	}
}

func (h *Host) tail() membership.ChainReplica {
	if w := h.membership.Load(); w != nil {
		return w.View.Tail()
	}
	return membership.ChainReplica{}
}

// Submit submits a change through the first control node that answers, trying them in turn.
func (h *Host) Submit(ctx context.Context, c wire.KeySubmission) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var lastErr error
	controlNodes, executed := actor.Ask(h.act.Ctx, h.act, h.subscriber.ControlNodes)
	if !executed {
		return nil, fault.New(fault.Draining, "", "stopping")
	}
	for _, addr := range controlNodes {
		result, err := rpc.NewCaller[wire.KeySubmission, wire.Result](h.nodeClient, addr, rpc.SubmitPath).Call(ctx, &c)
		if err == nil {
			return result, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Trace(lastErr)
}
