package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/quota"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/httpserver"
	"petreltide/internal/process/rpc"
)

// Status is the response of GET /v1/status, meant for operators.
type Status struct {
	Gateway     string                        `json:"desk"`
	Incarnation string                        `json:"inc"`
	Zone        string                        `json:"zone"`
	Tail        string                        `json:"tail"`
	Work        scheduling.Status             `json:"work"`
	Gauges      []scheduling.RevisionCounters `json:"gauges"`
	// Connections are the connections by replica; nil if this gateway does not pool connections.
	Connections map[string]Connections `json:"connections,omitempty"`
	// Quota counts the quota requests and decisions by tenant; nil if no tenant with a limit has sent a request.
	Quota *quota.Status `json:"quota,omitempty"`
}

// Connections is the number of connections that a gateway has open to one replica, and the maximum, which is its share of the
// connections that the replica accepts.
type Connections struct {
	Open int `json:"open"`
	Max  int `json:"most"`
}

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls", h.serveCall)
	answers := httpserver.NewAnswerLimit(httpserver.MaxAnswers)
	mux.HandleFunc("GET /v1/status", answers.Wrap(h.status))
	mux.HandleFunc("GET /v1/connections", h.connections)
	mux.HandleFunc("GET /v1/ready", h.ready)
	mux.HandleFunc("GET /v1/log", answers.Wrap(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(h.ring.Bytes()) }))
	rpc.Serve(mux, rpc.WherePath, func(context.Context, *wire.MembershipRequest) (*wire.MembershipResponse, error) {
		if w := h.membership.Load(); w != nil {
			return w, nil
		}
		return &wire.MembershipResponse{}, nil
	})
	rpc.Serve(mux, rpc.BeatPath, func(_ context.Context, b *membership.Heartbeat) (*wire.Ack, error) {
		h.postSubscriber(controlclient.Event{Heartbeat: b})
		return &wire.Ack{}, nil
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, http.StatusNotFound, fault.New(fault.NotFound, "path", "%s %s", r.Method, r.URL.Path))
	})
	return mux
}

func (h *Host) status(w http.ResponseWriter, _ *http.Request) {
	st := Status{Gateway: h.settings.Name, Incarnation: h.incarnation, Zone: h.settings.Zone, Tail: h.tail().ID}
	if now, executed := actor.Ask(h.act.Ctx, h.act, func() Status {
		return Status{Work: h.decider.Status(), Gauges: h.decider.Counters(), Quota: h.quota.Status()}
	}); executed {
		st.Work, st.Gauges, st.Quota = now.Work, now.Gauges, now.Quota
	}
	if h.openConnections != nil {
		st.Connections = map[string]Connections{}
		for replica, n := range h.openConnections() {
			st.Connections[replica] = Connections{Open: n, Max: h.MaxConnections(replica)}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}

// connections handles GET /v1/connections: what the callers of each listener hold.
func (h *Host) connections(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(append(httpserver.Reports(h.listeners), h.server.Status()))
}

// ready handles GET /v1/ready, the readiness check of load balancers.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	f, executed := actor.Ask(h.act.Ctx, h.act, func() *fault.Fault { return h.decider.Ready(clock.NowUs()) })
	if !executed {
		f = fault.New(fault.Draining, "", "stopping")
	}
	if f != nil {
		writeFault(w, http.StatusServiceUnavailable, f)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]bool{"ready": true})
}

// writeFault writes a fault as the response. The status code tells whether a retry makes sense, and Retry-After when.
func writeFault(w http.ResponseWriter, status int, f *fault.Fault) {
	if f.Run == "" {
		f.Run = fault.RunNone
	}
	if f.RetryMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((f.RetryMs+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(faultBody{f})
}

// faultBody is the JSON body of an error response.
type faultBody struct {
	Error *fault.Fault `json:"error"`
}

// httpStatus returns the HTTP status code of a fault.
func httpStatus(f *fault.Fault) int {
	switch f.Code {
	case fault.BadJSON, fault.BadField, fault.BadLastEventID, fault.PastDeadline:
		return http.StatusBadRequest
	case fault.UnknownKind, fault.UnknownModel, fault.UnknownAdapter:
		return http.StatusNotFound
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.KeyRunning, fault.KeyUnknown, fault.KeyEnded:
		return http.StatusConflict
	case fault.Expired:
		return http.StatusGatewayTimeout
	case fault.ReplicaFailed, fault.OutcomeUnknown, fault.StreamBroken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
