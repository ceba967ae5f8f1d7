package httpserver

import (
	"net/http"
	"testing"
	"time"
)

// Answers that are not read take the places of the limit until they have stalled for a while; then one gives way for each that is refused.
func TestAnswersNotReadGiveWay(t *testing.T) {
	t.Parallel()
	limit := NewAnswerLimit(2)
	_, address := startServer(t, Limits{}, limit.Wrap(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 64<<20))
		}
	}))
	unread := []*client{dial(t, address), dial(t, address)}
	for _, c := range unread {
		c.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	awaitRunning(t, limit, len(unread))
	refused := 0
	for end := time.Now().Add(testTimeout); ; <-time.After(sweepInterval / 4) {
		c := dial(t, address)
		c.write(getRequest)
		status, _ := c.read()
		if status == http.StatusOK {
			break
		}
		if refused++; status != http.StatusServiceUnavailable || time.Now().After(end) {
			t.Fatalf("request %d beside answers that are not read: got status %d, want %d and later %d", refused, status, http.StatusServiceUnavailable, http.StatusOK)
		}
	}
	if refused == 0 {
		t.Error("no request was refused while the places were taken")
	}
	_ = unread[0].conn.Close()
	_ = unread[1].conn.Close()
	awaitRunning(t, limit, 0)
}

func awaitRunning(t *testing.T, limit *AnswerLimit, count int) {
	t.Helper()
	running := func() int {
		limit.mu.Lock()
		defer limit.mu.Unlock()
		return len(limit.running) + limit.untracked
	}
	for end := time.Now().Add(testTimeout); running() != count; <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("answers that are being read: got %d, want %d", running(), count)
		}
	}
}
