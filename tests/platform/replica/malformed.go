package replica

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
)

// MalformedResponse draws the bytes of a response to the request with the given ID that is malformed in its status line, its framing,
// its header fields or its end. The connection ends after it.
func MalformedResponse(r *rand.Rand, id string) string {
	status, version := "200 OK", "HTTP/1.1"
	fields := []string{"Request-Id: " + id, "Server-Seal: malformed", "Content-Length: 4"}
	body := "body"
	switch r.Intn(6) {
	case 0:
		status = fmt.Sprintf("%03d ?", r.Intn(200))
	case 1:
		status = fmt.Sprintf("%d ?", 600+r.Intn(400))
	case 2:
		status = pick(r, "", "?", "20", "2000 OK", "+99 OK", "-00 OK", "2e2 OK")
	case 3:
		version = pick(r, "HTTP/3.0", "HTTP/0.9", "http/1.1", "HTTP/11", "SSH-2.0")
	case 4:
		fields = append(fields, pick(r, "X-Other : y", "Transfer-Encoding : chunked", ": y", "X-Other: a\x00b", "Content-Length: 5", "Transfer-Encoding: other", "Connection: Server-Seal"))
	default:
		body = body[:r.Intn(len(body))]
	}
	return version + " " + status + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n" + body
}

// pick draws one of the texts.
func pick(r *rand.Rand, texts ...string) string { return texts[r.Intn(len(texts))] }

// writeMalformed reads a request to its end, answers it with a malformed response and closes its connection.
func writeMalformed(w http.ResponseWriter, r *http.Request, seed int64) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, MalformedResponse(rand.New(rand.NewSource(seed)), r.Header.Get("Request-Id")))
}
