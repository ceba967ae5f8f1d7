package controlnode

import (
	"context"
	"encoding/json"
	"net/http"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/httpserver"
	"petreltide/internal/process/rpc"
)

// handler returns the handler of the RPCs of gateways and control nodes and of the operators' HTTP API.
func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	rpc.Serve(mux, rpc.BatchPath, func(_ context.Context, p *peering.Batch) (*wire.Ack, error) {
		for i := range p.Messages {
			h.post(PeerMessage{Message: &p.Messages[i]})
		}
		return &wire.Ack{}, nil
	})
	rpc.Serve(mux, rpc.WherePath, func(ctx context.Context, request *wire.MembershipRequest) (*wire.MembershipResponse, error) {
		membership, ran := actor.Ask(ctx, h.actor, h.membership)
		if !ran {
			return nil, fault.New(fault.NotServing, "", "stopping")
		}
		return &membership, nil
	})
	rpc.Serve(mux, rpc.SubmitPath, func(ctx context.Context, c *statemachine.Change) (*wire.Result, error) {
		result, ok := h.Submit(ctx, *c, submitTimeout)
		if !ok {
			return nil, fault.New(fault.InDoubt, "", "no result in time")
		}
		return &result, nil
	})
	rpc.Serve(mux, rpc.AckPath, func(ctx context.Context, r *wire.Report) (*wire.Lease, error) {
		reply := make(chan wire.Lease, 1)
		if !h.actor.Do(ctx, func() {
			h.lastReplyID++
			h.leases[h.lastReplyID] = reply
			h.step(GatewayReport{Report: *r, ReplyID: h.lastReplyID})
		}) {
			return nil, fault.New(fault.NotServing, "", "stopping")
		}
		select {
		case lease := <-reply:
			return &lease, nil
		case <-ctx.Done():
		case <-h.actor.Ctx.Done():
		}
		return nil, fault.New(fault.NotServing, "", "stopping")
	})
	rpc.Serve(mux, rpc.QuotaPath, h.serveQuota)
	rpc.Serve(mux, rpc.BeatPath, func(_ context.Context, b *failuredetector.Heartbeat) (*wire.Ack, error) {
		h.post(PeerHeartbeat{Heartbeat: b})
		return &wire.Ack{}, nil
	})
	rpc.ServeStream(mux, rpc.FollowPath, h.serveUpdates)
	rpc.ServeStream(mux, rpc.FramesPath, h.serveFrames, rpc.Encoded)
	rpc.Serve(mux, rpc.ReadPath, h.serveLatestState)
	rpc.Serve(mux, rpc.TellPath, func(_ context.Context, r *wire.Report) (*wire.Ack, error) {
		h.post(RoutedGatewayReport{Report: r})
		return &wire.Ack{}, nil
	})
	answers := httpserver.NewAnswerLimit(httpserver.MaxAnswers)
	mux.HandleFunc("GET /v1/config", answers.Wrap(h.handleGetConfig))
	mux.HandleFunc("PUT /v1/config", h.handlePutConfig)
	mux.HandleFunc("PATCH /v1/config", h.handlePatchConfig)
	mux.HandleFunc("POST /v1/zones/{zone}/{act}", h.handleZoneAction)
	mux.HandleFunc("POST /v1/members/{name}/{act}", h.handleMemberAction)
	mux.HandleFunc("GET /v1/connections", h.handleGetConnections)
	mux.HandleFunc("GET /v1/status", answers.Wrap(h.handleGetStatus))
	mux.HandleFunc("GET /v1/state", answers.Wrap(h.handleGetState))
	mux.HandleFunc("GET /v1/log", answers.Wrap(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(h.ring.Bytes()) }))
	return mux
}

// handleGetConnections answers with what the callers of each listener hold.
func (h *Host) handleGetConnections(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, append(httpserver.Reports(h.listeners), h.server.Status()))
}

// serveQuota answers a gateway's request for permission to run requests of rate-limited tenants.
func (h *Host) serveQuota(ctx context.Context, request *wire.QuotaRequest) (*wire.QuotaResponse, error) {
	reply := make(chan wire.QuotaResponse, 1)
	if !h.actor.Do(ctx, func() {
		h.lastReplyID++
		h.quotas[h.lastReplyID] = reply
		h.step(QuotaRequested{Request: request, ReplyID: h.lastReplyID})
	}) {
		return nil, fault.New(fault.NotServing, "", "stopping")
	}
	select {
	case response := <-reply:
		return &response, nil
	case <-ctx.Done():
	case <-h.actor.Ctx.Done():
	}
	return nil, fault.New(fault.NotServing, "", "stopping")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
}

// writeFault writes a fault as JSON, with the HTTP status of its code.
func writeFault(w http.ResponseWriter, f *fault.Fault) {
	status := http.StatusUnprocessableEntity
	switch f.Code {
	case fault.BadJSON, fault.BadField:
		status = http.StatusBadRequest
	case fault.TooLarge:
		status = http.StatusRequestEntityTooLarge
	case fault.StaleBase:
		status = http.StatusConflict
	case fault.NotServing, fault.InDoubt:
		status = http.StatusServiceUnavailable
	case fault.NoSuchZone, fault.NotFound:
		status = http.StatusNotFound
	}
	writeJSON(w, status, map[string]any{"error": f})
}
