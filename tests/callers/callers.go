package callers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/clock"
	"petreltide/tests/rules"
)

// Send sends one attempt to one gateway and notes all the caller sees.
func Send(ctx context.Context, client *http.Client, addr string, ask gateway.CallRequest, key string, t rules.ClientAttempt) rules.ClientAttempt {
	t.Gateway, t.StartUs, t.Key = addr, clock.NowUs(), key
	t.Kind, t.Model, t.Adapter, t.Prompt, t.MaxOutput, t.ReceivedChunks = ask.Kind, ask.Model, ask.Adapter, ask.Prompt, ask.MaxOutput, len(ask.Received)
	raw, err := json.Marshal(ask)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/calls", bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if len(ask.Received) > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(len(ask.Received)))
	}
	res, err := client.Do(req)
	if err != nil {
		t.Code, t.Run = "cut", fault.RunUnknown
		if strings.Contains(err.Error(), "refused") {
			t.Code = "unreached"
		}
		t.EndUs = clock.NowUs()
		return t
	}
	defer res.Body.Close()
	t.Status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		readFault(res, &t)
		t.EndUs = clock.NowUs()
		return t
	}
	readEvents(res, &t)
	t.EndUs = clock.NowUs()
	return t
}

func readFault(res *http.Response, t *rules.ClientAttempt) {
	wrapped := struct {
		Error *fault.Fault `json:"error"`
	}{}
	if err := json.NewDecoder(res.Body).Decode(&wrapped); err != nil || wrapped.Error == nil {
		t.Code, t.Run = "untyped", fault.RunUnknown
		return
	}
	t.Code, t.Run, t.RetryMs = string(wrapped.Error.Code), wrapped.Error.Run, wrapped.Error.RetryMs
}

func readEvents(res *http.Response, t *rules.ClientAttempt) {
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	id, name, data := 0, "", ""
	for lines.Scan() {
		line := lines.Text()
		field, value, _ := strings.Cut(line, ": ")
		switch field {
		case "id":
			id, _ = strconv.Atoi(value)
		case "event":
			name = value
		case "data":
			data = value
		case "":
			takeEvent(t, id, name, data)
			id, name, data = 0, "", ""
		}
	}
	if !t.Complete && !t.Broken {
		t.Broken, t.Code, t.Run = true, "cut", fault.RunUnknown
	}
}

func takeEvent(t *rules.ClientAttempt, id int, name, data string) {
	var v struct {
		Text   string       `json:"text"`
		Pieces int          `json:"pieces"`
		Error  *fault.Fault `json:"error"`
	}
	if json.Unmarshal([]byte(data), &v) != nil {
		return
	}
	switch name {
	case "piece":
		if t.FirstUs == 0 {
			t.FirstUs = clock.NowUs()
		}
		t.Chunks = append(t.Chunks, v.Text)
		t.IDs = append(t.IDs, id)
	case "end":
		t.Complete, t.EndCount = true, v.Pieces
	case "broken":
		t.Broken = true
		if v.Error != nil {
			t.Code, t.Run = string(v.Error.Code), v.Error.Run
		}
	}
}
