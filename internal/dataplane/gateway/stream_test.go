package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/fault"
)

// Guards the bytes of the server-sent events against the format that the code of commit 11c16aa wrote.
func TestStreamWritesEventsInStableFormat(t *testing.T) {
	w := httptest.NewRecorder()
	s := &stream{w: w, flush: func() error { return nil }}
	s.event(1, "piece", chunkEvent{Text: "a <b>\n"})
	s.event(0, "end", endEvent{Chunks: 2})
	s.event(0, "broken", brokenEvent{Error: fault.New(fault.StreamBroken, "f", "at %d", 7), Chunks: 3})
	want := "id: 1\nevent: piece\ndata: {\"text\":\"a \\u003cb\\u003e\\n\"}\n\n" +
		"event: end\ndata: {\"pieces\":2}\n\n" +
		"event: broken\ndata: {\"error\":{\"code\":\"broken\",\"field\":\"f\",\"detail\":\"at 7\"},\"pieces\":3}\n\n"
	if diff := cmp.Diff(want, w.Body.String()); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
	if w.Code != http.StatusOK || w.Header().Get("Content-Type") != "text/event-stream" || w.Header().Get("Cache-Control") != "no-store" {
		t.Errorf("response: got status %d and headers %v, want 200, text/event-stream and no-store", w.Code, w.Header())
	}
}
