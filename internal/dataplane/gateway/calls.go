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

// CallRequest is what a caller sends.
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
	// undeclaredRetryMs is when a caller is told to try again while there is no declaration yet.
	undeclaredRetryMs = 500
)

// parseCall checks everything that can be checked without asking the decider.
func (h *Host) parseCall(w http.ResponseWriter, r *http.Request) (request *CallRequest, c *scheduling.Call, resumable bool, failure *fault.Fault) {
	request, failure = h.decode(w, r)
	if failure != nil {
		return nil, nil, false, failure
	}
	s := h.snapshot.Load()
	if s == nil || s.Declaration == nil {
		f := fault.New(fault.NoLease, "", "this gateway has no declaration yet")
		f.RetryMs = undeclaredRetryMs
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

// decode reads a body of at most the size that is set, as one JSON value without unknown fields.
func (h *Host) decode(w http.ResponseWriter, r *http.Request) (*CallRequest, *fault.Fault) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.settings.MaxBodyKB)<<10))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, fault.New(fault.TooLarge, "", "a body may have %d KiB", h.settings.MaxBodyKB)
		}
		return nil, fault.New(fault.BadJSON, "", "%v", err)
	}
	request := &CallRequest{}
	if failure := fault.DecodeJSON(raw, request); failure != nil {
		return nil, failure
	}
	return request, nil
}

// check refuses what is wrong with any declaration.
func (q *CallRequest) check(key string) *fault.Fault {
	switch {
	case q.Prompt == "":
		return fault.New(fault.BadField, "prompt", "it is empty")
	case len(q.Prefix) > maxPrefixSegments:
		return fault.New(fault.BadField, "prefix", "%d parts, at most %d", len(q.Prefix), maxPrefixSegments)
	case q.DeadlineMs < 0:
		return fault.New(fault.PastDeadline, "expiryMs", "it is %d ms in the past", -q.DeadlineMs)
	case q.MaxOutput < 0:
		return fault.New(fault.BadField, "mostOut", "it is negative")
	case len(key) > maxKeyBytes:
		return fault.New(fault.BadField, "Idempotency-Key", "longer than %d bytes", maxKeyBytes)
	}
	return nil
}

// applyLastEventID lets a caller go on at any gateway: it names the last piece and sends all it holds.
func applyLastEventID(lastEventID string, request *CallRequest, c *scheduling.Call) *fault.Fault {
	if lastEventID == "" {
		if len(request.Received) > 0 {
			return fault.New(fault.BadLastEventID, "Last-Event-Id", "pieces are sent without it")
		}
		return nil
	}
	n, err := strconv.Atoi(lastEventID)
	switch {
	case err != nil || n < 0 || strconv.Itoa(n) != lastEventID:
		return fault.New(fault.BadLastEventID, "Last-Event-Id", "%q is not a piece number", lastEventID)
	case n != len(request.Received):
		return fault.New(fault.BadLastEventID, "had", "%d pieces are sent, the last one named is %d", len(request.Received), n)
	}
	c.Delivered = n
	c.Progress.Store(int64(n))
	return nil
}

// serveCall carries one call of the product's own interface.
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
	s := &stream{w: w, flush: http.NewResponseController(w).Flush, chunks: append([]string(nil), request.Received...)}
	end := h.runCall(r.Context(), c, &nativeExchange{host: h, request: request, call: c, stream: s})
	if claimsKey {
		h.completeKey(key, c, end)
	}
}
