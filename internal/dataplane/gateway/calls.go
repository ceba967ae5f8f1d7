package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/randomid"
)

// CallRequest is the body of POST /v1/calls.
type CallRequest struct {
	Kind       string   `json:"kind"`
	Model      string   `json:"model"`
	Adapter    string   `json:"adapter,omitempty"`
	Prefix     []string `json:"prefix,omitempty"`
	Prompt     string   `json:"prompt"`
	DeadlineMs int64    `json:"expiryMs,omitempty"`
	Resumable  *bool    `json:"resumable,omitempty"`
	Received   []string `json:"had,omitempty"`
	MaxOutput  int      `json:"mostOut,omitempty"`
}

const (
	maxPrefixSegments = 64
	maxKeyBytes       = 200
	maxChunkBytes     = 1 << 20
	maxStreamBytes    = 64 << 20
)

// parseCall parses a request and validates everything that does not need the decider.
func (h *Host) parseCall(w http.ResponseWriter, r *http.Request) (request *CallRequest, c *scheduling.Call, resumable bool, failure *fault.Fault) {
	request, failure = h.decode(w, r)
	if failure != nil {
		return nil, nil, false, failure
	}
	s := h.snapshot.Load()
	if s == nil || s.Declaration == nil {
		f := fault.New(fault.NoLease, "", "this gateway has no declaration yet")
		f.RetryMs = scheduling.NoDeclarationRetryMs
		return nil, nil, false, f
	}
	lastEventID := r.Header.Get("Last-Event-Id")
	nonResumable := request.Resumable != nil && !*request.Resumable
	kind, failure := s.LookupKind(scheduling.KindLookup{Kind: request.Kind, Model: request.Model, Adapter: request.Adapter, NonRetryable: nonResumable, Resuming: lastEventID != ""}, clock.NowUs(), h.leaseUs.Load())
	if failure == nil {
		failure = request.check(r.Header.Get("Idempotency-Key"))
	}
	if failure != nil {
		return nil, nil, false, failure
	}
	c = &scheduling.Call{
		ID: h.settings.Name + "-" + randomid.New(8), Kind: kind.Name, Model: request.Model, Adapter: request.Adapter,
		Prefix: request.Prefix, NonRetryable: nonResumable, TimeoutMs: request.DeadlineMs, ArrivedUs: clock.NowUs(),
	}
	if f := applyLastEventID(lastEventID, request, c); f != nil {
		return nil, nil, false, f
	}
	return request, c, kind.Resumable && !nonResumable, nil
}

// decode reads the body, limited to MaxBodyKB, as one JSON value without unknown fields.
func (h *Host) decode(w http.ResponseWriter, r *http.Request) (*CallRequest, *fault.Fault) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.settings.MaxBodyKB)<<10))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, fault.New(fault.TooLarge, "", "the body exceeds %d KiB", h.settings.MaxBodyKB)
		}
		return nil, fault.New(fault.BadJSON, "", "%v", err)
	}
	request := &CallRequest{}
	if failure := fault.DecodeJSON(raw, request); failure != nil {
		return nil, failure
	}
	return request, nil
}

// check validates the fields whose constraints do not depend on the declaration.
func (q *CallRequest) check(key string) *fault.Fault {
	switch {
	case q.Prompt == "":
		return fault.New(fault.BadField, "prompt", "must not be empty")
	case len(q.Prefix) > maxPrefixSegments:
		return fault.New(fault.BadField, "prefix", "%d segments, at most %d allowed", len(q.Prefix), maxPrefixSegments)
	case q.DeadlineMs < 0:
		return fault.New(fault.PastDeadline, "expiryMs", "the deadline is %d ms in the past", -q.DeadlineMs)
	case q.MaxOutput < 0:
		return fault.New(fault.BadField, "mostOut", "must not be negative")
	case len(key) > maxKeyBytes:
		return fault.New(fault.BadField, "Idempotency-Key", "longer than %d bytes", maxKeyBytes)
	}
	return nil
}

// applyLastEventID lets a caller resume its stream at any gateway: the header holds the number of the last chunk received, and the
// request contains all chunks received so far.
func applyLastEventID(lastEventID string, request *CallRequest, c *scheduling.Call) *fault.Fault {
	if lastEventID == "" {
		if len(request.Received) > 0 {
			return fault.New(fault.BadLastEventID, "Last-Event-Id", "the request contains received chunks, but no Last-Event-Id header")
		}
		return nil
	}
	n, err := strconv.Atoi(lastEventID)
	switch {
	case err != nil || n < 0 || strconv.Itoa(n) != lastEventID:
		return fault.New(fault.BadLastEventID, "Last-Event-Id", "%q is not a chunk number", lastEventID)
	case n != len(request.Received):
		return fault.New(fault.BadLastEventID, "had", "the request contains %d chunks, but Last-Event-Id is %d", len(request.Received), n)
	}
	c.Delivered = n
	c.Progress.Store(int64(n))
	return nil
}

// serveCall handles POST /v1/calls, a call of the native interface.
func (h *Host) serveCall(w http.ResponseWriter, r *http.Request) {
	h.activeCalls.Add(1)
	defer h.activeCalls.Add(-1)
	request, c, resumable, failure := h.parseCall(w, r)
	if failure != nil {
		writeFault(w, httpStatus(failure), failure)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	claimsKey := key != "" && !resumable
	if claimsKey {
		if f := h.claimKey(r.Context(), key, c); f != nil {
			writeFault(w, httpStatus(f), f)
			return
		}
	}
	end := fault.RunUnknown
	if claimsKey {
		defer func() { h.completeKey(key, c, end) }()
	}
	s := &stream{w: w, flush: http.NewResponseController(w).Flush, chunks: append([]string(nil), request.Received...)}
	end = h.runCall(r.Context(), c, &nativeExchange{host: h, request: request, call: c, stream: s})
}
