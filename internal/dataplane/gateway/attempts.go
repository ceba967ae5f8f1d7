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

// nativeExchange is this product's own interface: JSON calls, server-sent events, JSON attempts.
type nativeExchange struct {
	host    *Host
	request *CallRequest
	call    *scheduling.Call
	stream  *stream
}

func (e *nativeExchange) Fail(f *fault.Fault) { e.stream.fail(f) }

func (e *nativeExchange) ResponseStarted() bool { return e.stream.headersSent }

func (e *nativeExchange) Attempt(ctx context.Context, st scheduling.AttemptStart) (scheduling.Outcome, string) {
	outcome, reason := e.host.runAttempt(ctx, e.request, e.call, st, e.stream)
	if e.stream.failed {
		e.host.post(scheduling.CallCanceled{Call: e.call.ID})
	}
	if outcome == scheduling.OutcomeDone {
		e.stream.event(0, "end", endEvent{Chunks: len(e.stream.chunks)})
	}
	return outcome, reason
}

const (
	// maxRefusalBytes and maxCancelResponseBytes bound what is read of a replica's answer to an attempt that it refuses, and to its end.
	maxRefusalBytes        = 1 << 16
	maxCancelResponseBytes = 1 << 12
	snapshotChanged        = "the news changed before it was sent"
)

// attemptNumber is the number at the end of an attempt's name.
func attemptNumber(attempt string) string { return attempt[strings.LastIndexByte(attempt, '/')+1:] }

// runAttempt obeys one decision. Only when no byte can have left, or the replica itself said that
// it did not start, is the outcome one that lets the call run elsewhere.
func (h *Host) runAttempt(attemptCtx context.Context, request *CallRequest, c *scheduling.Call, st scheduling.AttemptStart, s *stream) (scheduling.Outcome, string) {
	attempt, err := h.newAttemptRequest(attemptCtx, request, c, st, s.chunks)
	if err != nil {
		return scheduling.OutcomeUnsent, err.Error()
	}
	if !h.maySend(st) {
		return scheduling.OutcomeUnsent, snapshotChanged
	}
	res, err := h.attemptClient.Do(attempt.req)
	if err != nil {
		if !attempt.mayHaveBeenSent() {
			return scheduling.OutcomeUnsent, err.Error()
		}
		h.cancelAttempt(st)
		return outcomeAfterError(attemptCtx, st), err.Error()
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return parseRefusal(res)
	}
	outcome, reason := h.readChunks(c, st, s, res.Body)
	if outcome == scheduling.OutcomeDone {
		return outcome, ""
	}
	stopped := attemptCtx.Err() != nil
	_ = res.Body.Close()
	h.cancelAttempt(st)
	if stopped {
		return outcomeAfterError(attemptCtx, st), "the leg was stopped"
	}
	return outcome, reason
}

// attemptRequest is an attempt as it is sent, and what is known of how far it came.
type attemptRequest struct {
	req       *http.Request
	body      *gatedBody
	connected atomic.Bool
}

// newAttemptRequest makes the request of an attempt, whose body waits until the replica asks for it.
func (h *Host) newAttemptRequest(attemptCtx context.Context, request *CallRequest, c *scheduling.Call, st scheduling.AttemptStart, received []string) (*attemptRequest, error) {
	raw, err := json.Marshal(wire.Attempt{
		ID: st.Attempt, Ticket: st.GrantNumber, Incarnation: st.Incarnation, Call: c.ID, Model: c.Model, Adapter: c.Adapter,
		Prefix: request.Prefix, Prompt: request.Prompt, Received: received, NextChunk: len(received) + 1, MaxOutput: request.MaxOutput,
	})
	if err != nil {
		panic(err)
	}
	attempt := &attemptRequest{body: &gatedBody{h: h, st: st, r: bytes.NewReader(raw)}}
	trace := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { attempt.connected.Store(true) },
		Got100Continue: func() { attempt.body.continued.Store(true) },
	}
	attempt.req, err = http.NewRequestWithContext(httptrace.WithClientTrace(attemptCtx, trace), http.MethodPost, "http://"+st.Addr+"/v1/legs", io.NopCloser(attempt.body))
	if err != nil {
		return nil, err
	}
	attempt.req.ContentLength = int64(len(raw))
	attempt.req.Header.Set("Content-Type", "application/json")
	attempt.req.Header.Set("Expect", "100-continue")
	return attempt, nil
}

// mayHaveBeenSent: some of the body may have reached the replica.
func (r *attemptRequest) mayHaveBeenSent() bool { return r.connected.Load() && r.body.sent.Load() }

// parseRefusal reads an answer other than 200: a refusal that says that nothing was started, or nobody knows.
func parseRefusal(res *http.Response) (scheduling.Outcome, string) {
	refusal := wire.AttemptRefusal{Started: true}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err == nil && json.Unmarshal(body, &refusal) == nil && refusal.Code != "" && !refusal.Started {
		return scheduling.OutcomeRejected, refusal.Code
	}
	return scheduling.OutcomeUnknown, "the replica answered " + res.Status
}

// outcomeAfterError is the outcome of an attempt that may have run: at its deadline, stopped by the decider, or for no known reason.
func outcomeAfterError(attemptCtx context.Context, st scheduling.AttemptStart) scheduling.Outcome {
	switch {
	case clock.NowUs() >= st.DeadlineUs:
		return scheduling.OutcomeTimedOut
	case attemptCtx.Err() != nil:
		return scheduling.OutcomeMigrated
	}
	return scheduling.OutcomeUnknown
}

// maySend: by the newest news and the lease, an attempt may still go to its replica.
func (h *Host) maySend(st scheduling.AttemptStart) bool {
	return st.MaySend(h.snapshot.Load(), clock.NowUs(), h.leaseUs.Load())
}

// gatedBody is an attempt's body. It leaves only after the replica has asked for it, so that none waits
// in the socket of a frozen one, and after one more look at the lease and the newest news.
type gatedBody struct {
	h         *Host
	st        scheduling.AttemptStart
	r         *bytes.Reader
	sent      atomic.Bool
	continued atomic.Bool
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.sent.Load() {
		if !b.continued.Load() {
			return 0, fault.New(fault.ReplicaFailed, "", "the replica did not ask for the leg")
		}
		if !b.h.maySend(b.st) {
			return 0, fault.New(fault.NoLease, "", snapshotChanged)
		}
		b.sent.Store(true)
	}
	return b.r.Read(p)
}

// readChunks passes a replica's pieces on as they come, until its end or the first that does not belong.
func (h *Host) readChunks(c *scheduling.Call, st scheduling.AttemptStart, s *stream, body io.Reader) (scheduling.Outcome, string) {
	bounded := &io.LimitedReader{R: body, N: maxChunkBytes}
	dec := json.NewDecoder(bounded)
	receivedBytes := 0
	for {
		var chunk wire.Chunk
		if err := dec.Decode(&chunk); err != nil {
			return scheduling.OutcomeBroken, "the replica's stream ended early: " + err.Error()
		}
		bounded.N = maxChunkBytes
		if receivedBytes += len(chunk.Text); receivedBytes > maxStreamBytes {
			return scheduling.OutcomeBroken, "the replica's stream is too long"
		}
		outcome, reason := scheduling.CheckChunk(st.Attempt, len(s.chunks), chunk)
		if outcome != "" {
			if outcome == scheduling.OutcomeBroken {
				_ = h.warn.Log("msg", "stream broken", "attempt", st.Attempt, "reason", reason)
			}
			return outcome, reason
		}
		c.FirstByteUs.CompareAndSwap(0, clock.NowUs())
		s.chunks = append(s.chunks, chunk.Text)
		c.Progress.Store(int64(len(s.chunks)))
		s.event(len(s.chunks), "piece", chunkEvent{Text: chunk.Text})
		if s.failed {
			return scheduling.OutcomeBroken, "the caller is gone"
		}
	}
}

// cancelAttempt tells the replica that nobody waits any more and returns when it says the attempt is
// over, so that the slot is free when it is counted free.
func (h *Host) cancelAttempt(st scheduling.AttemptStart) {
	ctx, done := context.WithTimeout(h.act.Ctx, cancelTimeout)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+st.Addr+"/v1/legs/"+attemptNumber(st.Attempt)+"?inc="+st.Incarnation, nil)
	if err != nil {
		return
	}
	res, err := h.nodeClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxCancelResponseBytes))
	_ = res.Body.Close()
}
