package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"petreltide/tests/platform/fleet"
)

// margin is what a client inside the limits keeps between itself and a limit of time.
const margin = 400 * time.Millisecond

// One request at each of the limits is served in calm, also where a configuration declares more than usual.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	skipIfShort(t)
	petreltide := program(t)
	for name, limits := range map[string]struct {
		headerBytes, bodyBytes int
		headerTime, idleTime   time.Duration
	}{
		"usual": {16 << 10, 4 << 20, 3 * time.Second, 15 * time.Second},
		"small": {2 << 10, 1 << 10, time.Second, time.Second},
		"large": {256 << 10, 8 << 20, 8 * time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, fleet.Plan{Petreltide: petreltide, Limits: map[string]any{"maxHeaderBytes": limits.headerBytes, "maxBodyBytes": limits.bodyBytes,
				"headerTimeoutMs": limits.headerTime.Milliseconds(), "idleTimeoutMs": limits.idleTime.Milliseconds()}})
			address := gateway(f).Clients
			for _, field := range []string{"x%05x:\r\n", "x%05x: v\r\n", "x%05x: " + strings.Repeat("v", 500) + "\r\n"} {
				raw := headOf(limits.headerBytes, field)
				if status, err := call(address, raw); err != nil || status != http.StatusOK {
					t.Errorf("head of %d bytes in fields %.12q: got status %d, error %v, want %d", len(raw), field, status, err, http.StatusOK)
				}
			}
			if status, err := call(address, requestHead(limits.bodyBytes)+"\r\n"+strings.Repeat("b", limits.bodyBytes)); err != nil || status != http.StatusOK {
				t.Errorf("body of %d bytes: got status %d, error %v, want %d", limits.bodyBytes, status, err, http.StatusOK)
			}
			chunked := strings.Replace(requestHead(0), "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n\r\n", 1) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", limits.bodyBytes, strings.Repeat("b", limits.bodyBytes))
			if status, err := call(address, chunked); err != nil || status != http.StatusOK {
				t.Errorf("chunked body of %d bytes: got status %d, error %v, want %d", limits.bodyBytes, status, err, http.StatusOK)
			}
			callSlowly(t, address, limits.headerTime-margin, limits.idleTime-margin)
		})
	}
}

// requestHead is the head of an ordinary request, without the empty line that ends it.
func requestHead(bodyBytes int) string {
	return fmt.Sprintf("POST /grade/1f HTTP/1.1\r\nHost: cards.example\r\nRequest-Id: ordinary\r\nConnection: close\r\nContent-Length: %d\r\n", bodyBytes)
}

// headOf is a request whose head, with the empty line, has just so many bytes, filled up with fields of a form.
func headOf(bytes int, field string) string {
	head := requestHead(0)
	for n := 0; ; n++ {
		next := fmt.Sprintf(field, n)
		if len(head)+len(next)+len("x:\r\n\r\n") > bytes {
			break
		}
		head += next
	}
	return head + "x:" + strings.Repeat("v", bytes-len(head)-len("x:\r\n\r\n")) + "\r\n\r\n"
}

// callSlowly sends two requests on one connection: heads that take headTime, and idleTime between them.
func callSlowly(t *testing.T, address string, headTime, idleTime time.Duration) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	raw := strings.Replace(requestHead(0), "Connection: close\r\n", "", 1) + "\r\n"
	for n := range 2 {
		const pieces = 4
		for piece := range pieces {
			if piece > 0 {
				time.Sleep(headTime / (pieces - 1))
			}
			if _, err := io.WriteString(conn, raw[len(raw)*piece/pieces:len(raw)*(piece+1)/pieces]); err != nil {
				t.Errorf("slow request %d: %v", n, err)
				return
			}
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("slow request %d: got %v, error %v, want status %d", n, res, err, http.StatusOK)
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if n == 0 {
			time.Sleep(idleTime)
		}
	}
}
