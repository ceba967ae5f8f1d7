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

// A redirect from a replica is not followed: an attempt on one replica must reach no other.
func TestAttemptClientFollowsNoRedirect(t *testing.T) {
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
			t.Errorf("replica that redirects with %d: got status %d and %d requests to the redirect target, want %d and 0", status, res.StatusCode, asked.Load(), status)
		}
		replica.Close()
	}
}
