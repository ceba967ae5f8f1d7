package rpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The bodies of requests have a length: a server closes the connection after a body in chunks.
func TestRequestsHaveALength(t *testing.T) {
	type message struct {
		Text string `json:"text"`
	}
	mux := http.NewServeMux()
	Serve(mux, BeatPath, func(_ context.Context, m *message) (*message, error) { return m, nil })
	ServeStream(mux, FramesPath, func(_ context.Context, m *message, send func(*message) error) error { return send(m) })
	lengths := map[string]int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lengths[r.URL.Path] = r.ContentLength
		mux.ServeHTTP(w, r)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	request := &message{strings.Repeat("x", 100_000)}
	if _, err := NewCaller[message, message](server.Client(), address, BeatPath).Call(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	stream, err := NewCaller[message, message](server.Client(), address, FramesPath).Stream(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	for stream.Receive() {
		_ = stream.Msg()
	}
	if err := stream.Close(); err != nil {
		t.Fatal(err)
	}
	for path, length := range lengths {
		if length < 100_000 {
			t.Errorf("%s: got a Content-Length of %d, want that of the message", path, length)
		}
	}
	if len(lengths) != 2 {
		t.Errorf("calls at the server: got %v, want one of each kind", lengths)
	}
}
