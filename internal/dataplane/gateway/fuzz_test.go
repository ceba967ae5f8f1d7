package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/logring"
)

// newTestHost returns a gateway with two kinds, one model and a lease that does not expire.
func newTestHost() *Host {
	h := Open(settings.Gateway{Name: "front", Listen: "127.0.0.1:1", Advertise: "127.0.0.1:1", MaxQueue: 4, MaxBodyKB: 64}, logring.NewRing("", io.Discard))
	doc := &configuration.Declaration{Kinds: []configuration.Kind{{Name: "pages", Urgency: 3, Resumable: true, DeadlineMs: 1000}, {Name: "fixes", Urgency: 8, DeadlineMs: 1000}},
		Models: []configuration.Model{{Name: "m"}}, Adapters: []configuration.Adapter{{Name: "a", Model: "m"}}}
	h.snapshot.Store(scheduling.NewSnapshot(nil, wire.GatewayUpdate{Number: 1, Revision: 1, Declaration: doc}, 1))
	h.leaseUs.Store(1 << 60)
	return h
}

// Any request either yields a call that names declared objects, or is rejected with a fault that has a code.
func FuzzParseCall(f *testing.F) {
	f.Add([]byte(`{"kind":"fixes","model":"m","prompt":"x"}`), "", "")
	f.Add([]byte(`{"kind":"pages","model":"m","adapter":"a","prompt":"x","had":["1","2"],"mostOut":-1}`), "2", "key")
	f.Add([]byte(`{"kind":"pages","model":"m","prompt":"x","expiryMs":-9223372036854775808}`), "-0", strings.Repeat("k", 300))
	f.Add([]byte(`{"prefix":[],"kind":null}{}`), "1e3", "")
	h := newTestHost()
	f.Fuzz(func(t *testing.T, body []byte, last, key string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/calls", bytes.NewReader(body))
		r.Header["Last-Event-Id"], r.Header["Idempotency-Key"] = []string{last}, []string{key}
		request, c, _, failure := h.parseCall(httptest.NewRecorder(), r)
		if failure != nil {
			if failure.Code == "" || httpStatus(failure) < 400 {
				t.Fatalf("rejection without a code or with a status below 400: %+v", failure)
			}
			return
		}
		if c.Model != "m" || (c.Kind != "pages" && c.Kind != "fixes") || request.Prompt == "" || c.Delivered != len(request.Received) || c.TimeoutMs < 0 || (c.Delivered > 0 && c.Kind != "pages") {
			t.Fatalf("request %+v parsed as the invalid call %+v", request, c)
		}
	})
}

// For any replica stream, only complete chunks of this attempt are relayed, in order, and only this attempt's end message with the
// right count ends the answer.
func FuzzReadChunks(f *testing.F) {
	f.Add([]byte("{\"leg\":\"r/i/1\",\"n\":1,\"text\":\"a\"}\n{\"leg\":\"r/i/1\",\"end\":true,\"n\":1}"))
	f.Add([]byte("{\"leg\":\"r/i/1\",\"n\":2}"))
	f.Add([]byte("{\"leg\":\"r/i/1\",\"end\":true,\"n\":0}{\"leg\":\"r/i/1\",\"n\":1}"))
	f.Add([]byte("[[[[[{\"leg\":"))
	h := newTestHost()
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec := httptest.NewRecorder()
		s := &stream{w: rec, flush: func() error { return nil }}
		c := &scheduling.Call{ID: "c"}
		outcome, _ := h.readChunks(c, scheduling.AttemptStart{Call: c, Attempt: "r/i/1"}, s, bytes.NewReader(raw))
		dec := json.NewDecoder(bytes.NewReader(raw))
		whole := 0
		for {
			var p wire.Chunk
			if dec.Decode(&p) != nil || p.AttemptID != "r/i/1" || p.Error != "" {
				break
			}
			if p.End {
				if (outcome == scheduling.OutcomeDone) != (p.Number == whole) {
					t.Fatalf("outcome: got %s with an end message that counts %d chunks, after %d chunks", outcome, p.Number, whole)
				}
				break
			}
			if p.Number != whole+1 {
				break
			}
			whole++
		}
		if len(s.chunks) != whole || strings.Count(rec.Body.String(), "event: piece") != whole {
			t.Fatalf("relayed chunks: got %d, want %d", len(s.chunks), whole)
		}
	})
}

// endlessReader yields a chunk whose text never ends.
type endlessReader struct{ bytesRead int }

func (e *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	if e.bytesRead == 0 {
		copy(p, `{"leg":"r/i/1","n":1,"text":"`)
	}
	e.bytesRead += len(p)
	return len(p), nil
}

func TestReadChunksStopsAtSizeLimitOfEndlessChunk(t *testing.T) {
	s := &stream{w: httptest.NewRecorder(), flush: func() error { return nil }}
	c := &scheduling.Call{ID: "c"}
	e := &endlessReader{}
	outcome, reason := newTestHost().readChunks(c, scheduling.AttemptStart{Call: c, Attempt: "r/i/1"}, s, e)
	if outcome != scheduling.OutcomeBroken || e.bytesRead > 4*maxChunkBytes || len(s.chunks) != 0 {
		t.Fatalf("endless chunk: got outcome %s (%s) after %d bytes and %d chunks, want %s after at most %d bytes and no chunk",
			outcome, reason, e.bytesRead, len(s.chunks), scheduling.OutcomeBroken, 4*maxChunkBytes)
	}
}
