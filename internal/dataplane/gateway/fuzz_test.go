package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
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

func host() *Host {
	h := Open(settings.Gateway{Name: "front", Listen: "127.0.0.1:1", Advertise: "127.0.0.1:1", MaxQueue: 4, MaxBodyKB: 64}, logring.NewRing("", io.Discard))
	doc := &configuration.Declaration{Kinds: []configuration.Kind{{Name: "pages", Urgency: 3, Resumable: true, DeadlineMs: 1000}, {Name: "fixes", Urgency: 8, DeadlineMs: 1000}},
		Models: []configuration.Model{{Name: "m"}}, Adapters: []configuration.Adapter{{Name: "a", Model: "m"}}}
	h.snapshot.Store(scheduling.NewSnapshot(nil, wire.GatewayUpdate{Number: 1, Revision: 1, Declaration: doc}, 1))
	h.leaseUs.Store(1 << 60)
	return h
}

// Whatever a caller sends is a call that names what is declared, or a fault with a code.
func FuzzWhatCallersSend(f *testing.F) {
	f.Add([]byte(`{"kind":"fixes","model":"m","prompt":"x"}`), "", "")
	f.Add([]byte(`{"kind":"pages","model":"m","adapter":"a","prompt":"x","had":["1","2"],"mostOut":-1}`), "2", "key")
	f.Add([]byte(`{"kind":"pages","model":"m","prompt":"x","expiryMs":-9223372036854775808}`), "-0", strings.Repeat("k", 300))
	f.Add([]byte(`{"prefix":[],"kind":null}{}`), "1e3", "")
	h := host()
	f.Fuzz(func(t *testing.T, body []byte, last, key string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/calls", bytes.NewReader(body))
		r.Header["Last-Event-Id"], r.Header["Idempotency-Key"] = []string{last}, []string{key}
		ask, c, _, bad := h.parseCall(httptest.NewRecorder(), r)
		if bad != nil {
			if bad.Code == "" || httpStatus(bad) < 400 {
				t.Fatalf("%+v", bad)
			}
			return
		}
		if c.Model != "m" || (c.Kind != "pages" && c.Kind != "fixes") || ask.Prompt == "" || c.Delivered != len(ask.Received) || c.TimeoutMs < 0 || (c.Delivered > 0 && c.Kind != "pages") {
			t.Fatalf("%+v taken as %+v", ask, c)
		}
	})
}

// Whatever a replica streams, only whole pieces of this attempt in their order go on, and only its own end is one.
func FuzzWhatReplicasStream(f *testing.F) {
	f.Add([]byte("{\"leg\":\"r/i/1\",\"n\":1,\"text\":\"a\"}\n{\"leg\":\"r/i/1\",\"end\":true,\"n\":1}"))
	f.Add([]byte("{\"leg\":\"r/i/1\",\"n\":2}"))
	f.Add([]byte("{\"leg\":\"r/i/1\",\"end\":true,\"n\":0}{\"leg\":\"r/i/1\",\"n\":1}"))
	f.Add([]byte("[[[[[{\"leg\":"))
	h := host()
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec := httptest.NewRecorder()
		s := &stream{w: rec, flush: func() error { return nil }}
		c := &scheduling.Call{ID: "c"}
		ending, _ := h.readChunks(c, scheduling.AttemptStart{Call: c, Attempt: "r/i/1"}, s, bytes.NewReader(raw))
		dec := json.NewDecoder(bytes.NewReader(raw))
		whole := 0
		for {
			var p wire.Chunk
			if dec.Decode(&p) != nil || p.AttemptID != "r/i/1" || p.Error != "" {
				break
			}
			if p.End {
				if (ending == scheduling.OutcomeDone) != (p.Number == whole) {
					t.Fatalf("%s with an end at %d of %d", ending, p.Number, whole)
				}
				break
			}
			if p.Number != whole+1 {
				break
			}
			whole++
		}
		if len(s.chunks) != whole || strings.Count(rec.Body.String(), "event: piece") != whole {
			t.Fatalf("%d pieces went on, %d were whole", len(s.chunks), whole)
		}
	})
}

type endless struct{ n int }

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	if e.n == 0 {
		copy(p, `{"leg":"r/i/1","n":1,"text":"`)
	}
	e.n += len(p)
	return len(p), nil
}

func TestAPieceWithoutEndIsGivenUpOnAtABound(t *testing.T) {
	s := &stream{w: httptest.NewRecorder(), flush: func() error { return nil }}
	c := &scheduling.Call{ID: "c"}
	e := &endless{}
	ending, why := host().readChunks(c, scheduling.AttemptStart{Call: c, Attempt: "r/i/1"}, s, e)
	if ending != scheduling.OutcomeBroken || e.n > 4*maxChunkBytes || len(s.chunks) != 0 {
		t.Fatal(ending, why, fmt.Sprint(e.n))
	}
}
