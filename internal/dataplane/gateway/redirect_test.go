package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"petreltide/internal/api/settings"
	"petreltide/internal/process/logring"
)

// A replica that points elsewhere is not followed: what is asked of one replica is asked of no other.
func TestAnAttemptFollowsNoRedirect(t *testing.T) {
	var asked atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	defer other.Close()
	for _, status := range []int{301, 302, 303, 307, 308} {
		replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, other.URL, status)
		}))
		h := Open(settings.Gateway{Name: "d", Listen: "127.0.0.1:0"}, logring.NewRing("", io.Discard))
		res, err := h.attemptClient.Post(replica.URL, "application/json", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		if err := res.Body.Close(); err != nil {
			t.Error(err)
		}
		if res.StatusCode != status || asked.Load() != 0 {
			t.Errorf("%d: answered with %d, another was asked %d times", status, res.StatusCode, asked.Load())
		}
		replica.Close()
	}
}
