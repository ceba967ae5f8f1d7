package replay

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chromedp/cdproto/har"

	"petreltide/internal/api/fault"
)

const (
	callsPath = "/v1/calls"
	lineMost  = 1 << 20
)

// Call is one recorded call, and when it came after the first.
type Call struct {
	AfterUs int64
	Kind    string
	Body    string
	LastID  string
}

// Read takes the calls out of a HAR file, in the order in which they were recorded.
func Read(raw []byte) ([]Call, *fault.Fault) {
	file := har.HAR{}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fault.New(fault.BadJSON, "har", "%v", err)
	}
	if file.Log == nil || len(file.Log.Entries) == 0 {
		return nil, fault.New(fault.NotFound, "har", "the file has no entries")
	}
	type recorded struct {
		at   time.Time
		call Call
	}
	list := []recorded{}
	for _, e := range file.Log.Entries {
		if e == nil || e.Request == nil || e.Request.Method != http.MethodPost || e.Request.PostData == nil {
			continue
		}
		to, err := url.Parse(e.Request.URL)
		if err != nil || !strings.HasSuffix(to.Path, callsPath) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, e.StartedDateTime)
		if err != nil {
			return nil, fault.New(fault.BadField, "startedDateTime", "%v", err)
		}
		ask := struct {
			Kind string `json:"kind"`
		}{}
		if err := json.Unmarshal([]byte(e.Request.PostData.Text), &ask); err != nil {
			return nil, fault.New(fault.BadJSON, "postData", "a recorded call is no JSON: %v", err)
		}
		call := Call{Kind: ask.Kind, Body: e.Request.PostData.Text}
		for _, h := range e.Request.Headers {
			if h != nil && strings.EqualFold(h.Name, "Last-Event-Id") {
				call.LastID = h.Value
			}
		}
		list = append(list, recorded{at, call})
	}
	if len(list) == 0 {
		return nil, fault.New(fault.NotFound, "har", "none of %d entries is a POST to %s", len(file.Log.Entries), callsPath)
	}
	slices.SortStableFunc(list, func(a, b recorded) int { return a.at.Compare(b.at) })
	calls := []Call{}
	for _, r := range list {
		r.call.AfterUs = r.at.Sub(list[0].at).Microseconds()
		calls = append(calls, r.call)
	}
	return calls, nil
}

// Row sums what became of the calls of one kind.
type Row struct {
	Kind    string
	Calls   int
	Ended   int
	Codes   map[string]int
	firstUs []int64
}

// FirstMs is the quantile of the times to a first piece, in milliseconds, 0 where none came.
func (r Row) FirstMs(part float64) float64 {
	if len(r.firstUs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.firstUs))
	return float64(sorted[min(len(sorted)-1, int(float64(len(sorted))*part))]) / 1000
}

// Play sends the calls to a gateway at their pace times a factor and waits for all of them.
func Play(ctx context.Context, client *http.Client, gateway string, calls []Call, pace float64) []Row {
	rows := map[string]*Row{}
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for _, c := range calls {
		wait := time.NewTimer(time.Until(began.Add(time.Duration(float64(c.AfterUs) / pace * float64(time.Microsecond)))))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
		}
		if ctx.Err() != nil {
			break
		}
		group.Add(1)
		go func() {
			defer group.Done()
			code, firstUs := send(ctx, client, gateway, c)
			mu.Lock()
			defer mu.Unlock()
			row := rows[c.Kind]
			if row == nil {
				row = &Row{Kind: c.Kind, Codes: map[string]int{}}
				rows[c.Kind] = row
			}
			row.Calls++
			if firstUs > 0 {
				row.firstUs = append(row.firstUs, firstUs)
			}
			if code == "" {
				row.Ended++
				return
			}
			row.Codes[code]++
		}()
	}
	group.Wait()
	out := []Row{}
	for _, kind := range slices.Sorted(maps.Keys(rows)) {
		out = append(out, *rows[kind])
	}
	return out
}

// send returns an empty code for a call that ended well.
func send(ctx context.Context, client *http.Client, gateway string, c Call) (code string, firstUs int64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+callsPath, strings.NewReader(c.Body))
	if err != nil {
		return "unreached", 0
	}
	req.Header.Set("Content-Type", "application/json")
	if c.LastID != "" {
		req.Header.Set("Last-Event-Id", c.LastID)
	}
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return "unreached", 0
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(io.LimitReader(res.Body, lineMost))
		if err != nil {
			return "cut", 0
		}
		return codeIn(raw), 0
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, lineMost)
	name := ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "event":
			name = value
		case field == "data" && name == "piece" && firstUs == 0:
			firstUs = time.Since(began).Microseconds()
		case field == "data" && name == "broken":
			return codeIn([]byte(value)), firstUs
		case field == "data" && name == "end":
			return "", firstUs
		}
	}
	return "cut", firstUs
}

func codeIn(raw []byte) string {
	wrapped := struct {
		Error *fault.Fault `json:"error"`
	}{}
	if json.Unmarshal(raw, &wrapped) != nil || wrapped.Error == nil {
		return "untyped"
	}
	return string(wrapped.Error.Code)
}
