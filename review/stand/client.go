package stand

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client got for one try. Status 0 stands for a connection that ended without a whole answer.
type Answer struct {
	RequestID string
	Status    int
	Seal      string
	Body      string
	TookMs    int64
}

// Send sends one try on a connection of its own and waits for the whole answer, for at most the deadline. headers are names and values by turns.
func (f *Fleet) Send(m *Machine, id, host, path string, body []byte, deadline time.Duration, headers ...string) Answer {
	began := time.Now()
	a := Answer{RequestID: id}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Front()+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set(Word("RequestId"), id)
	req.Header.Set(Word("DeadlineMs"), strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	f.Record.Printf("send %s to %s: POST %s%s", id, m.Name, host, path)
	res, err := client.Do(req)
	if err == nil {
		defer res.Body.Close()
		raw, readErr := io.ReadAll(res.Body)
		if readErr == nil {
			a.Status, a.Seal, a.Body = res.StatusCode, res.Header.Get(Word("ServerSeal")), string(raw)
		}
	}
	a.TookMs = time.Since(began).Milliseconds()
	f.Record.Printf("answer %s: %d %q after %d ms (%v)", id, a.Status, firstBytes(a.Body), a.TookMs, err)
	return a
}

func firstBytes(text string) string { return text[:min(len(text), 60)] }
