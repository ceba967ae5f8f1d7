package gateway

import (
	"io"
	"net/http"
	"strconv"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

// CallAsk is what a caller sends.
type CallAsk struct {
	Kind       string   `json:"kind"`
	Model      string   `json:"model"`
	Adapter    string   `json:"adapter,omitempty"`
	Prefix     []string `json:"prefix,omitempty"`
	Prompt     string   `json:"prompt"`
	DeadlineMs int64    `json:"expiryMs,omitempty"`
	Resume     *bool    `json:"resumable,omitempty"`
	Had        []string `json:"had,omitempty"`
	MostOut    int      `json:"mostOut,omitempty"`
}

const (
	prefixPartsMost = 64
	keyMost         = 200
	pieceMost       = 1 << 20
	streamMost      = 64 << 20
	// undeclaredRetryMs is when a caller is told to try again while there is no declaration yet.
	undeclaredRetryMs = 500
)

// read checks everything that can be checked without asking the decider.
func (h *Host) read(w http.ResponseWriter, r *http.Request) (ask *CallAsk, c *scheduling.Call, resumable bool, bad *fault.Fault) {
	ask, bad = h.decode(w, r)
	if bad != nil {
		return nil, nil, false, bad
	}
	s := h.snap.Load()
	if s == nil || s.Doc == nil {
		f := fault.New(fault.NoLease, "", "this desk has no declaration yet")
		f.RetryMs = undeclaredRetryMs
		return nil, nil, false, f
	}
	last := r.Header.Get("Last-Event-Id")
	once := ask.Resume != nil && !*ask.Resume
	kind, bad := s.Lookup(scheduling.Asked{Kind: ask.Kind, Model: ask.Model, Adapter: ask.Adapter, Once: once, Had: last != ""}, clock.NowUs(), h.leaseUs.Load())
	if bad == nil {
		bad = ask.check(r.Header.Get("Idempotency-Key"))
	}
	if bad != nil {
		return nil, nil, false, bad
	}
	c = &scheduling.Call{
		ID: h.set.Name + "-" + controlnode.RandomID(8), Kind: kind.Name, Model: ask.Model, Adapter: ask.Adapter,
		Prefix: ask.Prefix, Once: once, MostMs: ask.DeadlineMs, TakenUs: clock.NowUs(),
	}
	if f := resumeAt(last, ask, c); f != nil {
		return nil, nil, false, f
	}
	return ask, c, kind.Resumable && !once, nil
}

// decode reads a body of at most the size that is set, as one JSON value without unknown fields.
func (h *Host) decode(w http.ResponseWriter, r *http.Request) (*CallAsk, *fault.Fault) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.set.MaxBodyKB)<<10))
	if err != nil {
		if _, ok := err.(*http.MaxBytesError); ok {
			return nil, fault.New(fault.TooLarge, "", "a body may have %d KiB", h.set.MaxBodyKB)
		}
		return nil, fault.New(fault.BadJSON, "", "%v", err)
	}
	ask := &CallAsk{}
	if bad := fault.DecodeJSON(raw, ask); bad != nil {
		return nil, bad
	}
	return ask, nil
}

// check refuses what is wrong with any declaration.
func (ask *CallAsk) check(key string) *fault.Fault {
	switch {
	case ask.Prompt == "":
		return fault.New(fault.BadField, "prompt", "it is empty")
	case len(ask.Prefix) > prefixPartsMost:
		return fault.New(fault.BadField, "prefix", "%d parts, at most %d", len(ask.Prefix), prefixPartsMost)
	case ask.DeadlineMs < 0:
		return fault.New(fault.PastDeadline, "expiryMs", "it is %d ms in the past", -ask.DeadlineMs)
	case ask.MostOut < 0:
		return fault.New(fault.BadField, "mostOut", "it is negative")
	case len(key) > keyMost:
		return fault.New(fault.BadField, "Idempotency-Key", "longer than %d bytes", keyMost)
	}
	return nil
}

// resumeAt lets a caller go on at any gateway: it names the last piece and sends all it holds.
func resumeAt(last string, ask *CallAsk, c *scheduling.Call) *fault.Fault {
	if last == "" {
		if len(ask.Had) > 0 {
			return fault.New(fault.BadLastEventID, "Last-Event-Id", "pieces are sent without it")
		}
		return nil
	}
	n, err := strconv.Atoi(last)
	switch {
	case err != nil || n < 0 || strconv.Itoa(n) != last:
		return fault.New(fault.BadLastEventID, "Last-Event-Id", "%q is not a piece number", last)
	case n != len(ask.Had):
		return fault.New(fault.BadLastEventID, "had", "%d pieces are sent, the last one named is %d", len(ask.Had), n)
	}
	c.Had = n
	c.Progress.Store(int64(n))
	return nil
}

// serveCall carries one call of the product's own interface.
func (h *Host) serveCall(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	defer h.calls.Add(-1)
	ask, c, resumable, bad := h.read(w, r)
	if bad != nil {
		refuse(w, statusOf(bad), bad)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	keyed := key != "" && !resumable
	if keyed {
		if f := h.claim(r.Context(), key, c); f != nil {
			refuse(w, statusOf(f), f)
			return
		}
	}
	s := &stream{w: w, flush: http.NewResponseController(w).Flush, pieces: append([]string(nil), ask.Had...)}
	end := h.carry(r.Context(), c, &attemptsEdge{h: h, ask: ask, call: c, s: s})
	if keyed {
		h.endKey(key, c, end)
	}
}
