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

// nativeExchange implements Exchange for the native interface: calls arrive as JSON, answers leave as server-sent events, and
// attempts are sent to replicas as JSON.
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
	// maxRefusalBytes bounds how much is read of a replica's response that rejects an attempt.
	maxRefusalBytes = 1 << 16
	// maxCancelResponseBytes bounds how much is read of a replica's response to the cancellation of an attempt.
	maxCancelResponseBytes = 1 << 12
	// snapshotChanged is the reason of an attempt that the newest snapshot or the lease no longer permits.
	snapshotChanged = "the control state changed before the attempt was sent"
)

// attemptNumber returns the last segment of an attempt ID, its number.
func attemptNumber(attempt string) string { return attempt[strings.LastIndexByte(attempt, '/')+1:] }

// runAttempt sends one attempt and relays its response to s. The outcome lets the call run on another replica only if no byte
// of the body can have left this process, or if the replica itself reported that it did not start the attempt.
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
		return outcomeAfterError(attemptCtx, st), "the attempt was canceled or reached its deadline"
	}
	return outcome, reason
}

// attemptRequest is the HTTP request of an attempt, with the progress of its transmission.
type attemptRequest struct {
	req       *http.Request
	body      *gatedBody
	connected atomic.Bool
}

// newAttemptRequest builds the HTTP request of an attempt. Its body is sent only after the replica answers 100 Continue.
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

// mayHaveBeenSent reports whether part of the body may have reached the replica.
func (r *attemptRequest) mayHaveBeenSent() bool { return r.connected.Load() && r.body.sent.Load() }

// parseRefusal reads a response with a status other than 200. The outcome is OutcomeRejected if the replica says that it started
// nothing, and OutcomeUnknown otherwise.
func parseRefusal(res *http.Response) (scheduling.Outcome, string) {
	refusal := wire.AttemptRefusal{Started: true}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err == nil && json.Unmarshal(body, &refusal) == nil && refusal.Code != "" && !refusal.Started {
		return scheduling.OutcomeRejected, refusal.Code
	}
	return scheduling.OutcomeUnknown, "the replica answered " + res.Status
}

// outcomeAfterError returns the outcome of a failed attempt that may have run: OutcomeTimedOut once its deadline has passed,
// OutcomeMigrated if its context was canceled, and OutcomeUnknown otherwise.
func outcomeAfterError(attemptCtx context.Context, st scheduling.AttemptStart) scheduling.Outcome {
	switch {
	case clock.NowUs() >= st.DeadlineUs:
		return scheduling.OutcomeTimedOut
	case attemptCtx.Err() != nil:
		return scheduling.OutcomeMigrated
	}
	return scheduling.OutcomeUnknown
}

// maySend reports whether the newest snapshot and the lease still permit sending an attempt to its replica.
func (h *Host) maySend(st scheduling.AttemptStart) bool {
	return st.MaySend(h.snapshot.Load(), clock.NowUs(), h.leaseUs.Load())
}

// gatedBody is the body of an attempt. It is sent only after the replica has answered 100 Continue, so that no body waits in the
// socket of a frozen replica, and after the lease and the newest snapshot have been checked once more.
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
			return 0, fault.New(fault.ReplicaFailed, "", "the replica did not answer 100 Continue")
		}
		if !b.h.maySend(b.st) {
			return 0, fault.New(fault.NoLease, "", snapshotChanged)
		}
		b.sent.Store(true)
	}
	return b.r.Read(p)
}

// readChunks relays a replica's chunks to the caller as they arrive, until the end of the stream or the first chunk that is not
// the next one of this attempt.
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
			return scheduling.OutcomeBroken, "the replica's stream exceeds the size limit"
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
			return scheduling.OutcomeBroken, "the caller disconnected"
		}
	}
}

// cancelAttempt cancels an attempt at its replica and returns when the replica confirms that the attempt has ended, so that the
// slot is free before the decider counts it as free. It gives up after cancelTimeout.
func (h *Host) cancelAttempt(st scheduling.AttemptStart) {
	ctx, cancel := context.WithTimeout(h.act.Ctx, cancelTimeout)
	defer cancel()
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
