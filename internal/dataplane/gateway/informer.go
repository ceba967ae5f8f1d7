package gateway

import (
	"context"
	"strconv"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/quota"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

// Exchange is the caller-facing side of a call, implemented by the interface that the call arrived through.
type Exchange interface {
	// Attempt sends the call to one replica and relays the response as it arrives. It returns the outcome and the reason for it.
	Attempt(ctx context.Context, st scheduling.AttemptStart) (scheduling.Outcome, string)
	// Fail answers the caller with a fault as the final response.
	Fail(f *fault.Fault)
	// ResponseStarted reports whether part of a response has been sent to the caller.
	ResponseStarted() bool
}

// Snapshot returns the newest control state, which is immutable; nil before the first.
func (h *Host) Snapshot() *scheduling.Snapshot { return h.snapshot.Load() }

// AwaitDeclaration blocks until this gateway has a declaration, or ctx is done, or the gateway stops.
func (h *Host) AwaitDeclaration(ctx context.Context) {
	select {
	case <-h.declared:
	case <-ctx.Done():
	case <-h.act.Ctx.Done():
	}
}

// SendPermit says whether an attempt may be sent.
type SendPermit uint8

const (
	// SendAllowed means that the attempt may be sent now, in the name of the tenant that was asked about.
	SendAllowed SendPermit = iota
	// SendOfOtherTenant means that the client's key belongs to another tenant by now.
	SendOfOtherTenant
	// SendWithdrawn means that the attempt must not be sent.
	SendWithdrawn
)

// TenantOf returns the tenant in whose name a call is sent now, "" for none.
func (h *Host) TenantOf(c *scheduling.Call) string { return h.Snapshot().TenantName(c) }

// MaySend returns whether an attempt may still be sent in the name of a tenant. An Exchange calls it right before it sends the first byte. At a
// gateway that has just woken it waits until the tenant is certain.
func (h *Host) MaySend(ctx context.Context, st scheduling.AttemptStart, tenant string) SendPermit {
	switch {
	case tenant != "" && !h.awaitConfirmation(ctx, st.DeadlineUs), !h.maySend(st):
		return SendWithdrawn
	case h.TenantOf(st.Call) != tenant:
		return SendOfOtherTenant
	}
	return SendAllowed
}

// Ready returns nil if this gateway can take calls now, and otherwise a fault with the reason.
func (h *Host) Ready() *fault.Fault {
	f, executed := actor.Ask(h.act.Ctx, h.act, func() *fault.Fault { return h.decider.Ready(clock.NowUs()) })
	if !executed {
		return fault.New(fault.Draining, "", "stopping")
	}
	return f
}

// SetSeeds replaces the control node addresses for the first contact after the settings have changed. It has no effect without
// an informer.
func (h *Host) SetSeeds(addrs []string) {
	h.act.Tell(func() {
		if h.informer != nil {
			h.stepInformer(controlclient.InformerEvent{Seeds: addrs})
		}
	})
}

// Serve runs one call through the decider and its attempts up to the single final response, and returns whether the call was
// executed, as one of the fault.Run values.
func (h *Host) Serve(ctx context.Context, c *scheduling.Call, e Exchange) string {
	h.activeCalls.Add(1)
	defer h.activeCalls.Add(-1)
	if c.ID == "" {
		c.ID = h.incarnation + "-" + strconv.FormatInt(h.callNumber.Add(1), 36)
	}
	if c.ArrivedUs == 0 {
		c.ArrivedUs = clock.NowUs()
	}
	return h.runCall(ctx, c, e)
}

// stepInformer passes an event to the informer and executes the resulting effects. It runs on the actor.
func (h *Host) stepInformer(ev controlclient.InformerEvent) {
	ev.NowUs = clock.NowUs()
	ev.Failing = h.decider.HasUnreportedFailures()
	effects := h.informer.Step(ev)
	if ev.Frame != nil && ev.Frame.View != nil {
		h.stepQuota(quota.ViewReceived{View: h.informer.View()})
	}
	for _, e := range effects {
		switch {
		case e.Open != nil:
			ctx, cancel := context.WithCancel(h.act.Ctx)
			h.streams[e.Open.Number] = cancel
			stream := *e.Open
			h.act.Spawn(func() { h.followFrames(ctx, stream) })
		case e.Close != 0:
			if cancel := h.streams[e.Close]; cancel != nil {
				cancel()
			}
			delete(h.streams, e.Close)
		case e.Report != "":
			report := h.decider.Report(ev.NowUs)
			report.Addr, report.Zone = h.settings.Advertise, h.settings.Zone
			addr := e.Report
			h.act.Spawn(func() { h.sendReport(addr, report) })
		case e.Snapshot != nil:
			prior := h.snapshot.Load()
			first := e.Snapshot.Declaration != nil && (prior == nil || prior.Declaration == nil)
			h.snapshot.Store(e.Snapshot)
			if prior == nil || prior.Revision != e.Snapshot.Revision {
				h.updates.notify()
			}
			h.step(scheduling.SnapshotReceived{Snapshot: e.Snapshot})
			if first {
				close(h.declared)
			}
			if e.Snapshot.Declaration != nil && (prior == nil || prior.Revision != e.Snapshot.Revision) {
				_ = h.info.Log("msg", "declaration received", "revision", e.Snapshot.Revision, "replicas", len(e.Snapshot.Replicas))
			}
		}
	}
	h.wokeUs.Store(h.informer.WokeAtUs())
	h.setCurrent(h.informer.CurrentUs())
	h.steppedUs.Store(ev.NowUs)
}

// followFrames reads one control node's stream of frames until it ends.
func (h *Host) followFrames(ctx context.Context, s controlclient.Stream) {
	defer h.act.Tell(func() {
		delete(h.streams, s.Number)
		h.stepInformer(controlclient.InformerEvent{Closed: s.Number})
	})
	stream, err := rpc.NewCaller[wire.SubscribeRequest, wire.Frame](h.nodeClient, s.Addr, rpc.FramesPath).Stream(ctx, &s.Request)
	if err != nil {
		return
	}
	for stream.Receive() {
		frame := stream.Msg()
		h.act.Tell(func() { h.stepInformer(controlclient.InformerEvent{Frame: frame, Stream: s.Number}) })
	}
	_ = stream.Close()
}

func (h *Host) sendReport(addr string, report wire.Report) {
	ctx, cancel := context.WithTimeout(h.act.Ctx, 600*time.Millisecond)
	defer cancel()
	if _, err := rpc.NewCaller[wire.Report, wire.Ack](h.nodeClient, addr, rpc.TellPath).Call(ctx, &report); err != nil && h.act.Ctx.Err() == nil {
		h.act.Tell(func() { h.stepInformer(controlclient.InformerEvent{Unreachable: addr}) })
	}
}

// MaxConnections returns how many connections this gateway may have to a replica: its share of the connections that the replica
// accepts from all gateways together, limited by the connections that this process may open.
func (h *Host) MaxConnections(replica string) int {
	snap := h.snapshot.Load()
	if snap == nil || snap.Declaration == nil {
		return minConnections
	}
	limit := maxConnections
	if h.settings.MaxConnections > 0 {
		limit = min(limit, h.settings.MaxConnections/max(1, len(snap.Replicas)))
	}
	if r := snap.Replicas[replica]; r != nil {
		if svc := snap.Declaration.Service(r.Service); svc != nil && svc.MaxConnections > 0 {
			limit = min(limit, svc.MaxConnections*9/10/max(snap.Gateways, 1))
		}
	}
	return max(limit, minConnections)
}

// minConnections and maxConnections bound this gateway's share of one replica's connections.
const (
	minConnections = 2
	maxConnections = 256
)
