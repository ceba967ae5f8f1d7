package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

// attemptsEdge is this product's own interface: JSON calls, server-sent events, JSON attempts.
type attemptsEdge struct {
	h    *Host
	ask  *CallAsk
	call *scheduling.Call
	s    *stream
}

func (e *attemptsEdge) Fail(f *fault.Fault) { e.s.fail(f) }

func (e *attemptsEdge) Opened() bool { return e.s.opened }

func (e *attemptsEdge) Attempt(ctx context.Context, st scheduling.Start) (scheduling.Ending, string) {
	ending, why := e.h.runAttempt(ctx, e.ask, e.call, st, e.s)
	if e.s.failed {
		e.h.tell(scheduling.Event{Gone: e.call.ID})
	}
	if ending == scheduling.Done {
		e.s.event(0, "end", endEvent{Pieces: len(e.s.pieces)})
	}
	return ending, why
}

const (
	// refusalMost and settleMost bound what is read of a replica's answer to an attempt that it refuses, and to its end.
	refusalMost = 1 << 16
	settleMost  = 1 << 12
	newsChanged = "the news changed before it was sent"
)

// attemptNumber is the number at the end of an attempt's name.
func attemptNumber(attempt string) string { return attempt[strings.LastIndexByte(attempt, '/')+1:] }

// runAttempt obeys one decision. Only when no byte can have left, or the replica itself said that
// it did not start, is the ending one that lets the call run elsewhere.
func (h *Host) runAttempt(attemptCtx context.Context, ask *CallAsk, c *scheduling.Call, st scheduling.Start, s *stream) (scheduling.Ending, string) {
	sent, err := h.newAttemptRequest(attemptCtx, ask, c, st, s.pieces)
	if err != nil {
		return scheduling.Unsent, err.Error()
	}
	if !h.maySend(st) {
		return scheduling.Unsent, newsChanged
	}
	res, err := h.attempts.Do(sent.req)
	if err != nil {
		if !sent.mayHaveLeft() {
			return scheduling.Unsent, err.Error()
		}
		h.settleAttempt(st)
		return endingOf(attemptCtx, st), err.Error()
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refusalOf(res)
	}
	ending, why := h.readPieces(c, st, s, res.Body)
	if ending == scheduling.Done {
		return ending, ""
	}
	stopped := attemptCtx.Err() != nil
	_ = res.Body.Close()
	h.settleAttempt(st)
	if stopped {
		return endingOf(attemptCtx, st), "the leg was stopped"
	}
	return ending, why
}

// attemptRequest is an attempt as it is sent, and what is known of how far it came.
type attemptRequest struct {
	req       *http.Request
	body      *checked
	connected atomic.Bool
}

// newAttemptRequest makes the request of an attempt, whose body waits until the replica asks for it.
func (h *Host) newAttemptRequest(attemptCtx context.Context, ask *CallAsk, c *scheduling.Call, st scheduling.Start, had []string) (*attemptRequest, error) {
	raw, err := json.Marshal(wire.Attempt{
		ID: st.Attempt, Ticket: st.Ticket, Incarnation: st.Incarnation, Call: c.ID, Model: c.Model, Adapter: c.Adapter,
		Prefix: ask.Prefix, Prompt: ask.Prompt, Received: had, NextChunk: len(had) + 1, MaxOutput: ask.MostOut,
	})
	if err != nil {
		panic(err)
	}
	sent := &attemptRequest{body: &checked{h: h, st: st, r: bytes.NewReader(raw)}}
	trace := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { sent.connected.Store(true) },
		Got100Continue: func() { sent.body.asked.Store(true) },
	}
	sent.req, err = http.NewRequestWithContext(httptrace.WithClientTrace(attemptCtx, trace), http.MethodPost, "http://"+st.Addr+"/v1/legs", io.NopCloser(sent.body))
	if err != nil {
		return nil, err
	}
	sent.req.ContentLength = int64(len(raw))
	sent.req.Header.Set("Content-Type", "application/json")
	sent.req.Header.Set("Expect", "100-continue")
	return sent, nil
}

// mayHaveLeft: some of the body may have reached the replica.
func (l *attemptRequest) mayHaveLeft() bool { return l.connected.Load() && l.body.left.Load() }

// refusalOf reads an answer other than 200: a refusal that says that nothing was started, or nobody knows.
func refusalOf(res *http.Response) (scheduling.Ending, string) {
	refusal := wire.AttemptRefusal{Started: true}
	answer, err := io.ReadAll(io.LimitReader(res.Body, refusalMost))
	if err == nil && json.Unmarshal(answer, &refusal) == nil && refusal.Code != "" && !refusal.Started {
		return scheduling.Refused, refusal.Code
	}
	return scheduling.Unknown, "the replica answered " + res.Status
}

// endingOf is the ending of an attempt that may have run: at its deadline, stopped by the decider, or for no known reason.
func endingOf(attemptCtx context.Context, st scheduling.Start) scheduling.Ending {
	switch {
	case clock.NowUs() >= st.DeadlineUs:
		return scheduling.Final
	case attemptCtx.Err() != nil:
		return scheduling.Moved
	}
	return scheduling.Unknown
}

// maySend: by the newest news and the lease, an attempt may still go to its replica.
func (h *Host) maySend(st scheduling.Start) bool {
	return st.MaySend(h.snap.Load(), clock.NowUs(), h.leaseUs.Load())
}

// checked is an attempt's body. It leaves only after the replica has asked for it, so that none waits
// in the socket of a frozen one, and after one more look at the lease and the newest news.
type checked struct {
	h     *Host
	st    scheduling.Start
	r     *bytes.Reader
	left  atomic.Bool
	asked atomic.Bool
}

func (b *checked) Read(p []byte) (int, error) {
	if !b.left.Load() {
		if !b.asked.Load() {
			return 0, fault.New(fault.ReplicaFailed, "", "the replica did not ask for the leg")
		}
		if !b.h.maySend(b.st) {
			return 0, fault.New(fault.NoLease, "", newsChanged)
		}
		b.left.Store(true)
	}
	return b.r.Read(p)
}

// readPieces passes a replica's pieces on as they come, until its end or the first that does not belong.
func (h *Host) readPieces(c *scheduling.Call, st scheduling.Start, s *stream, body io.Reader) (scheduling.Ending, string) {
	bounded := &io.LimitedReader{R: body, N: pieceMost}
	dec := json.NewDecoder(bounded)
	held := 0
	for {
		var p wire.Chunk
		if err := dec.Decode(&p); err != nil {
			return scheduling.Broken, "the replica's stream ended early: " + err.Error()
		}
		bounded.N = pieceMost
		if held += len(p.Text); held > streamMost {
			return scheduling.Broken, "the replica's stream is too long"
		}
		ending, why := scheduling.Judge(st.Attempt, len(s.pieces), p)
		if ending != "" {
			if ending == scheduling.Broken {
				_ = h.log.Log("event", "stream broken", "leg", st.Attempt, "why", why)
			}
			return ending, why
		}
		c.FirstUs.CompareAndSwap(0, clock.NowUs())
		s.pieces = append(s.pieces, p.Text)
		c.Progress.Store(int64(len(s.pieces)))
		s.event(len(s.pieces), "piece", pieceEvent{Text: p.Text})
		if s.failed {
			return scheduling.Broken, "the caller is gone"
		}
	}
}

// settleAttempt tells the replica that nobody waits any more and returns when it says the attempt is
// over, so that the slot is free when it is counted free.
func (h *Host) settleAttempt(st scheduling.Start) {
	ctx, done := context.WithTimeout(h.act.Ctx, cancelWait)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+st.Addr+"/v1/legs/"+attemptNumber(st.Attempt)+"?inc="+st.Incarnation, nil)
	if err != nil {
		return
	}
	res, err := h.inner.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, settleMost))
	_ = res.Body.Close()
}
