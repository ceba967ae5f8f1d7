package replay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"petreltide/internal/api/fault"
)

func entry(afterMs int, method, path, body string) string {
	return fmt.Sprintf(`{"startedDateTime":"2026-11-01T08:00:%02d.%03dZ","time":1,"request":{"method":%q,"url":"http://desk%s","httpVersion":"HTTP/1.1","headers":[{"name":"last-event-id","value":"2"}],"postData":{"mimeType":"application/json","text":%q}}}`,
		afterMs/1000, afterMs%1000, method, path, body)
}

func log(entries ...string) []byte {
	return []byte(`{"log":{"version":"1.2","creator":{"name":"t","version":"1"},"entries":[` + strings.Join(entries, ",") + `]}}`)
}

func TestCallsAreTakenInTheirOrderAndAtTheirPace(t *testing.T) {
	calls, bad := Read(log(entry(40, "POST", "/v1/calls", `{"kind":"fixes","prompt":"b"}`), entry(0, "POST", "/v1/calls", `{"kind":"letters","prompt":"a"}`),
		entry(9, "GET", "/v1/calls", ""), entry(9, "POST", "/login", "x")))
	if bad != nil || len(calls) != 2 || calls[0].Kind != "letters" || calls[1].AfterUs != 40_000 || calls[1].LastID != "2" {
		t.Fatal(bad, calls)
	}
}

func TestFilesThatHoldNoCallsAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		code fault.Code
	}{
		"broken":        {`{"log":{`, fault.BadJSON},
		"another thing": {`[1,2]`, fault.BadJSON},
		"empty":         {``, fault.BadJSON},
		"no log":        {`{}`, fault.NotFound},
		"no entries":    {string(log()), fault.NotFound},
		"no calls":      {string(log(entry(0, "GET", "/page", ""))), fault.NotFound},
		"a bad call":    {string(log(entry(0, "POST", "/v1/calls", "{{"))), fault.BadJSON},
		"a bad time":    {strings.Replace(string(log(entry(0, "POST", "/v1/calls", "{}"))), "2026-11", "2026-99", 1), fault.BadField},
	} {
		if calls, bad := Read([]byte(c.raw)); bad == nil || bad.Code != c.code || calls != nil {
			t.Errorf("%s: %v", name, bad)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(log(entry(0, "POST", "/v1/calls", `{"kind":"fixes"}`)))
	f.Add([]byte(`{"log":{"entries":[null,{"request":null},{"request":{"method":"POST","url":"::","postData":{}}}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		calls, bad := Read(raw)
		if (bad == nil) == (len(calls) == 0) {
			t.Fatal("neither calls nor a fault")
		}
	})
}

func TestOutcomesAreSummedByKind(t *testing.T) {
	var mu sync.Mutex
	n := 0
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n++
		at := n
		mu.Unlock()
		switch at % 4 {
		case 0:
			w.WriteHeader(503)
			_, _ = w.Write([]byte(`{"error":{"code":"overloaded"}}`))
		case 1:
			_, _ = w.Write([]byte("id: 1\nevent: piece\ndata: {\"text\":\"x\"}\n\nevent: broken\ndata: {\"error\":{\"code\":\"broken\"}}\n\n"))
		case 2:
			_, _ = w.Write([]byte("id: 1\nevent: piece\ndata: {\"text\":\"x\"}\n\n"))
		default:
			_, _ = w.Write([]byte("id: 1\nevent: piece\ndata: {\"text\":\"x\"}\n\nevent: end\ndata: {\"pieces\":1}\n\n"))
		}
	}))
	defer gateway.Close()
	calls := []Call{}
	for i := 0; i < 16; i++ {
		calls = append(calls, Call{Kind: "fixes", Body: "{}"})
	}
	rows := Play(context.Background(), http.DefaultClient, strings.TrimPrefix(gateway.URL, "http://"), calls, 1)
	if len(rows) != 1 || rows[0].Calls != 16 || rows[0].Ended != 4 || rows[0].Codes["overloaded"] != 4 || rows[0].Codes["broken"] != 4 || rows[0].Codes["cut"] != 4 {
		t.Fatalf("%+v", rows)
	}
}
