package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/gateway"
	"petreltide/tests/callers"
	"petreltide/tests/modelserver"
	"petreltide/tests/rules"
	"petreltide/tests/simulator"
)

func open(t *testing.T) *Fleet {
	t.Helper()
	doc := simulator.ExampleDeclaration()
	s, err := Open(Plan{Folder: t.TempDir(), ControlNodes: 3, Gateways: 2, Replicas: 3, Slots: 8, FirstUs: 2000, PartUs: 500, PieceUs: 1000, RoomMb: doc.Replica.CapacityMB, Store: doc.Store})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := s.Begin(doc); err != nil {
		t.Fatal(err)
	}
	return s
}

func faultIn(t *testing.T, body string) *fault.Fault {
	t.Helper()
	var wrapped struct {
		Error *fault.Fault `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &wrapped); err != nil || wrapped.Error == nil {
		t.Fatalf("no typed error in %q", body)
	}
	return wrapped.Error
}

func TestInterfacesAndBadInput(t *testing.T) {
	s := open(t)
	t.Run("callers", func(t *testing.T) { callersInput(t, s) })
	t.Run("hang-ups", func(t *testing.T) { hangUps(t, s) })
	t.Run("replicas", func(t *testing.T) { replicaInput(t, s) })
	t.Run("edges", func(t *testing.T) { edges(t, s) })
	t.Run("platform", func(t *testing.T) { platformInput(t, s) })
	t.Run("keys", func(t *testing.T) { keysInput(t, s) })
	t.Run("operators", func(t *testing.T) { operatorInput(t, s) })
	t.Run("own changes", func(t *testing.T) { ownChanges(t, s) })
	t.Run("policies", func(t *testing.T) { policyInput(t, s) })
	t.Run("orders", func(t *testing.T) { orderRefused(t, s) })
	t.Run("crowd", func(t *testing.T) { overload(t, s) })
}

func callersInput(t *testing.T, s *Fleet) {
	url := "http://" + s.Gateways[0] + "/v1/calls"
	for _, c := range []struct {
		name, body, field string
		headers           []string
		status            int
		code              fault.Code
	}{
		{"malformed", `{"kind":`, "", nil, 400, fault.BadJSON},
		{"two values", `{} {}`, "", nil, 400, fault.BadJSON},
		{"wrong type", `{"kind":7}`, "kind", nil, 400, fault.BadJSON},
		{"unknown field", `{"knid":"fixes"}`, "knid", nil, 400, fault.BadJSON},
		{"oversized", `{"prompt":"` + strings.Repeat("x", 70<<10) + `"}`, "", nil, 413, fault.TooLarge},
		{"unknown kind", `{"kind":"poems","model":"m0","prompt":"p"}`, "kind", nil, 404, fault.UnknownKind},
		{"unknown model", `{"kind":"fixes","model":"m99","prompt":"p"}`, "model", nil, 404, fault.UnknownModel},
		{"adapter of another model", `{"kind":"fixes","model":"m0","adapter":"a-m1","prompt":"p"}`, "adapter", nil, 404, fault.UnknownAdapter},
		{"empty prompt", `{"kind":"fixes","model":"m0"}`, "prompt", nil, 400, fault.BadField},
		{"past deadline", `{"kind":"fixes","model":"m0","prompt":"p","expiryMs":-5}`, "expiryMs", nil, 400, fault.PastDeadline},
		{"bad last id", `{"kind":"pages","model":"m0","prompt":"p"}`, "Last-Event-Id", []string{"Last-Event-Id", "three"}, 400, fault.BadLastEventID},
		{"last id of what cannot be resumed", `{"kind":"fixes","model":"m0","prompt":"p","had":["a"]}`, "Last-Event-Id", []string{"Last-Event-Id", "1"}, 400, fault.BadLastEventID},
		{"last id and pieces differ", `{"kind":"pages","model":"m0","prompt":"p","had":["a"]}`, "had", []string{"Last-Event-Id", "2"}, 400, fault.BadLastEventID},
		{"long key", `{"kind":"fixes","model":"m0","prompt":"p"}`, "Idempotency-Key", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, fault.BadField},
	} {
		status, _, body, err := Do(http.MethodPost, url, c.body, c.headers...)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		f := faultIn(t, body)
		if status != c.status || f.Code != c.code || f.Field != c.field || f.Run != fault.RunNone {
			t.Errorf("%s: %d %+v, want %d %s at %q and run none", c.name, status, f, c.status, c.code, c.field)
		}
	}
	status, header, body, err := Do(http.MethodPost, url, `{"kind":"pages","model":"m0","prompt":"hello there"}`)
	if err != nil || status != 200 || header.Get("Content-Type") != "text/event-stream" || !strings.Contains(body, "event: end") || !strings.HasPrefix(body, "id: 1\n") {
		t.Fatalf("a good call got %d %v %q %v", status, header, body, err)
	}
	texts := []string{}
	for _, line := range strings.Split(body, "\n") {
		if data, ok := strings.CutPrefix(line, `data: {"text":`); ok {
			texts = append(texts, strings.TrimSuffix(data, "}"))
		}
	}
	status, _, rest, err := Do(http.MethodPost, "http://"+s.Gateways[1]+"/v1/calls", fmt.Sprintf(`{"kind":"pages","model":"m0","prompt":"hello there","had":[%s]}`, strings.Join(texts[:2], ",")), "Last-Event-Id", "2")
	if err != nil || status != 200 || !strings.HasPrefix(rest, "id: 3\n") || strings.Count(rest, "event: piece") != len(texts)-2 {
		t.Fatalf("resuming at another gateway after 2 of %d got %d %q %v", len(texts), status, rest, err)
	}
}

// Callers that hang up, waiting or in the middle, leave no slot taken: 64 that did so at once
// once took every share of a gateway for good.
func hangUps(t *testing.T, s *Fleet) {
	var group sync.WaitGroup
	for i := 0; i < 60; i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, done := context.WithTimeout(context.Background(), time.Duration(1+i/2)*time.Millisecond)
			defer done()
			body := fmt.Sprintf(`{"kind":"%s","model":"m%d","prompt":"hang up %d","mostOut":40}`, []string{"pages", "letters", "fixes"}[i%3], i%4, i)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Gateways[i%2]+"/v1/calls", strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			if res, err := http.DefaultClient.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		}()
	}
	group.Wait()
	for _, addr := range s.Gateways {
		last := ""
		if err := Until("every slot is free", func() bool {
			var st struct {
				Work struct {
					Calls    int            `json:"calls"`
					InFlight map[string]int `json:"inFlight"`
				} `json:"work"`
			}
			_, _, body, err := Do(http.MethodGet, "http://"+addr+"/v1/status", "")
			if err != nil || json.Unmarshal([]byte(body), &st) != nil {
				return false
			}
			last = fmt.Sprint(st.Work)
			for _, n := range st.Work.InFlight {
				st.Work.Calls += n
			}
			return st.Work.Calls == 0
		}); err != nil {
			t.Error(err, last)
		}
	}
}

func naughty(t *testing.T, s *Fleet, what string) {
	t.Helper()
	for _, addr := range s.Replicas {
		if _, _, _, err := Do(http.MethodPost, "http://"+addr+"/proof/naughty/"+url.PathEscape(what), ""); err != nil {
			t.Fatal(err)
		}
	}
}

func replicaInput(t *testing.T, s *Fleet) {
	defer naughty(t, s, "none")
	for _, what := range []string{"foreign", "gap", "repeat", "close", "garbage", "noend"} {
		naughty(t, s, what)
		status, _, body, err := Do(http.MethodPost, "http://"+s.Gateways[0]+"/v1/calls", `{"kind":"fixes","model":"m0","prompt":"naughty `+what+`"}`)
		if err != nil || status != 200 || !strings.Contains(body, "event: broken") || strings.Contains(body, "event: end") || !strings.Contains(body, `"run":"partial"`) {
			t.Errorf("%s: %d %q %v", what, status, body, err)
		}
	}
	naughty(t, s, "none")
	status, _, body, err := Do(http.MethodGet, "http://"+s.Gateways[0]+"/v1/status", "")
	if err != nil || status != 200 || !strings.Contains(body, `"broken":6`) {
		t.Errorf("broken streams are not counted: %s", body)
	}
}

// At every point of an attempt: never two runs of what may not be resumed, and never "not run" for one that
// ran, however late. Callers that stay and callers that hang up alike.
func edges(t *testing.T, s *Fleet) {
	defer naughty(t, s, "none")
	told := map[string]string{}
	var mu sync.Mutex
	for name := range modelserver.Edges {
		naughty(t, s, "edge "+name)
		var group sync.WaitGroup
		for i := 0; i < 12; i++ {
			tag := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "_"), i)
			hangMs := int64(4000)
			if i >= 6 {
				hangMs = int64(i-5) * 190
			}
			group.Add(1)
			go func() {
				defer group.Done()
				ctx, done := context.WithTimeout(context.Background(), time.Duration(hangMs)*time.Millisecond)
				defer done()
				ask := gateway.CallRequest{Kind: "letters", Model: "m0", Prompt: tag + " go", DeadlineMs: 3000}
				got := callers.Send(ctx, http.DefaultClient, s.Gateways[i%len(s.Gateways)], ask, "", rules.ClientAttempt{Tag: tag})
				mu.Lock()
				defer mu.Unlock()
				told[tag] = got.Run
				if got.Complete {
					t.Errorf("%s: told success, no replica gave one", tag)
				}
				if i < 6 && got.Run == "" {
					t.Errorf("%s: no final answer: %+v", tag, got)
				}
			}()
		}
		group.Wait()
	}
	naughty(t, s, "none")
	runs := map[string]int{}
	count := func() int {
		runs = map[string]int{}
		all := 0
		for _, addr := range s.Replicas {
			var seen struct {
				Runs []modelserver.Run `json:"runs"`
			}
			_, _, body, err := Do(http.MethodGet, "http://"+addr+"/proof/runs", "")
			if err != nil || json.Unmarshal([]byte(body), &seen) != nil {
				t.Fatal(err, body)
			}
			for _, r := range seen.Runs {
				runs[r.Tag]++
				all++
			}
		}
		return all
	}
	last, same := -1, 0
	if err := Until("no attempt starts any more", func() bool {
		now := count()
		if now != last {
			last, same = now, 0
		}
		same++
		return same > 60
	}); err != nil {
		t.Fatal(err)
	}
	ran, unrun := 0, 0
	for tag, run := range told {
		if runs[tag] > 1 {
			t.Errorf("%s ran %d times", tag, runs[tag])
		}
		if run == fault.RunNone && runs[tag] > 0 {
			t.Errorf("%s was told not run, and ran", tag)
		}
		if runs[tag] > 0 {
			ran++
		}
		if run == fault.RunNone {
			unrun++
		}
	}
	if ran < 20 || unrun < 20 {
		t.Errorf("%d ran and %d were told not run of %d: the edges prove little", ran, unrun, len(told))
	}
	t.Logf("%d calls over %d edges: %d ran, %d were told not run", len(told), len(modelserver.Edges), ran, unrun)
}

func platformInput(t *testing.T, s *Fleet) {
	for _, mood := range []string{"garbage", "down", "stale", "empty"} {
		before, ok := s.Leader()
		if !ok {
			t.Fatal("nobody leads")
		}
		s.Platform.SetMood(mood)
		if err := Until("the bad list is counted", func() bool {
			now, ok := s.Leader()
			return ok && now.FaultCounts[fault.PlatformInvalidAnswer] > before.FaultCounts[fault.PlatformInvalidAnswer]
		}); err != nil {
			t.Fatal(mood, err)
		}
		s.Platform.SetMood("")
		if now, ok := s.Leader(); !ok || len(now.Replicas) != 3 {
			t.Errorf("%s: replicas are %v", mood, now.Replicas)
		}
	}
}

// A replica that refuses orders is counted, and the layout comes right once it takes them.
func orderRefused(t *testing.T, s *Fleet) {
	naughty(t, s, "order")
	url := "http://" + s.ControlNodes[0] + "/v1/config"
	patch := func(body string) {
		_, _, now, err := Do(http.MethodGet, url, "")
		var config struct {
			Revision uint64 `json:"revision"`
		}
		if err != nil || json.Unmarshal([]byte(now), &config) != nil {
			t.Fatal(now, err)
		}
		if status, _, got, err := Do(http.MethodPatch, fmt.Sprintf("%s?base=%d", url, config.Revision), body); err != nil || status != 200 {
			t.Fatal(status, got, err)
		}
	}
	patch(`{"policy":{"name":"one","source":"def propose(fleet):\n  for r in fleet['replicas']:\n    if 'm7' in r['holds'] and not r['busy']:\n      return [{'step': 'unload', 'replica': r['id'], 'unit': 'm7'}]\n  return []"}}`)
	if err := Until("refused orders are counted", func() bool {
		st, ok := s.Leader()
		return ok && st.FaultCounts[fault.CommandRejected] > 1 && len(st.Pending) > 0
	}); err != nil {
		t.Fatal(err)
	}
	naughty(t, s, "none")
	if err := Until("the order is taken in the end", func() bool {
		st, ok := s.Leader()
		if !ok || len(st.Pending) > 0 {
			return false
		}
		for _, r := range st.Replicas {
			if _, held := r.Resident["m7"]; held {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// More calls than slots and queue: each is answered, and who is refused is told when to come back.
func overload(t *testing.T, s *Fleet) {
	var group sync.WaitGroup
	var mu sync.Mutex
	ended, refused := 0, 0
	for i := 0; i < 400; i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			status, header, body, err := Do(http.MethodPost, "http://"+s.Gateways[0]+"/v1/calls", fmt.Sprintf(`{"kind":"letters","model":"m0","prompt":"crowd %d","mostOut":60}`, i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == 200 && strings.Contains(body, "event: end"):
				ended++
			case err == nil && status == 503:
				if f := faultIn(t, body); f.Code == fault.Overloaded && f.RetryMs > 0 && f.Run == fault.RunNone && header.Get("Retry-After") != "" {
					refused++
				} else {
					t.Errorf("refused with %+v", f)
				}
			default:
				t.Errorf("a call in the crowd got %d %q %v", status, body, err)
			}
		}()
	}
	group.Wait()
	if ended == 0 || refused == 0 {
		t.Fatalf("%d ended, %d refused", ended, refused)
	}
}

func keysInput(t *testing.T, s *Fleet) {
	body := `{"kind":"letters","model":"m0","prompt":"one letter"}`
	status, _, first, err := Do(http.MethodPost, "http://"+s.Gateways[0]+"/v1/calls", body, "Idempotency-Key", "letter-1")
	if err != nil || status != 200 || !strings.Contains(first, "event: end") {
		t.Fatalf("%d %q %v", status, first, err)
	}
	if err := Until("the key's end is recorded", func() bool {
		status, _, again, err := Do(http.MethodPost, "http://"+s.Gateways[1]+"/v1/calls", body, "Idempotency-Key", "letter-1")
		if err != nil || status != http.StatusConflict {
			t.Fatalf("the second sight of a key got %d %q %v", status, again, err)
		}
		f := faultIn(t, again)
		return f.Code == fault.KeyEnded && f.Run == fault.RunYes
	}); err != nil {
		t.Fatal(err)
	}
}

func operatorInput(t *testing.T, s *Fleet) {
	url := "http://" + s.ControlNodes[1] + "/v1/config"
	good, err := json.Marshal(simulator.ExampleDeclaration())
	if err != nil {
		t.Fatal(err)
	}
	change := func(edit func(*configuration.Declaration)) string {
		d := simulator.ExampleDeclaration()
		edit(d)
		raw, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	for _, c := range []struct {
		name, body string
		paths      []string
	}{
		{"unknown field", strings.Replace(string(good), `"name"`, `"nmae"`, 1), []string{"nmae"}},
		{"duplicate names", change(func(d *configuration.Declaration) { d.Models[1].Name = "m0" }), []string{"models"}},
		{"dangling reference", change(func(d *configuration.Declaration) { d.Adapters[2].Model = "gone" }), []string{"adapters[2].model"}},
		{"negative size", change(func(d *configuration.Declaration) { d.Models[3].SizeMB = -4 }), []string{"models[3].sizeMb"}},
		{"fits no replica", change(func(d *configuration.Declaration) { d.Models[0].SizeMB = 9000; d.Store.BurstMB = 9000 }), []string{"models[0].sizeMb"}},
		{"gap in a table", change(func(d *configuration.Declaration) { d.Models[0].Capacity[2].Replicas = 5 }), []string{"models[0].table[2].replicas"}},
		{"policy does not compile", change(func(d *configuration.Declaration) { d.Policy.Source = "def propose(fleet:" }), []string{"policy.source"}},
		{"no propose", change(func(d *configuration.Declaration) { d.Policy.Source = "x = 1" }), []string{"policy.source"}},
		{"unknown zone emptied", change(func(d *configuration.Declaration) { d.DrainedZones = []string{"z"} }), []string{"emptied[0]"}},
		{"several at once", change(func(d *configuration.Declaration) {
			d.Models[2].LoadMs = 0
			d.Kinds[0].Urgency = 12
			d.Adapters[0].Model = "q"
		}), []string{"models[2].loadMs", "kinds[0].urgency", "adapters[0].model"}},
	} {
		status, _, body, err := Do(http.MethodPut, url+"?base=1", c.body)
		if err != nil || (status != 422 && status != 400) {
			t.Errorf("%s: %d %q %v", c.name, status, body, err)
			continue
		}
		for _, path := range c.paths {
			if !strings.Contains(body, path) {
				t.Errorf("%s: %s is not named in %s", c.name, path, body)
			}
		}
	}
	revision := func() uint64 {
		_, _, body, err := Do(http.MethodGet, url, "")
		var now struct {
			Revision uint64 `json:"revision"`
		}
		if err != nil || json.Unmarshal([]byte(body), &now) != nil {
			t.Fatal(body, err)
		}
		return now.Revision
	}
	if revision() != 1 {
		t.Fatalf("a refused declaration took effect: revision %d", revision())
	}
	status, _, body, err := Do(http.MethodPatch, url+"?base=0", `{"scaler":{"spares":0}}`)
	if f := faultIn(t, body); err != nil || status != http.StatusConflict || f.Revision != 1 {
		t.Errorf("stale base: %d %s %v", status, body, err)
	}
	status, _, first, err := Do(http.MethodPatch, url+"?base=1&change=spares", `{"scaler":{"spares":0}}`)
	if err != nil || status != 200 || !strings.Contains(first, `"revision":2`) {
		t.Fatalf("a good patch got %d %s %v", status, first, err)
	}
	status, _, again, err := Do(http.MethodPatch, "http://"+s.ControlNodes[2]+"/v1/config?base=1&change=spares", `{"scaler":{"spares":0}}`)
	if err != nil || status != 200 || !strings.Contains(again, `"revision":2`) || !strings.Contains(again, `"again":true`) {
		t.Errorf("the same change again got %d %s %v", status, again, err)
	}
	if status, _, body, _ := Do(http.MethodPost, "http://"+s.ControlNodes[0]+"/v1/zones/nowhere/empty", ""); status != http.StatusNotFound {
		t.Errorf("an unknown zone got %d %s", status, body)
	}
	if status, _, body, _ := Do(http.MethodPost, "http://"+s.ControlNodes[0]+"/v1/zones/c/empty", ""); status != 200 {
		t.Errorf("emptying got %d %s", status, body)
	}
	if status, _, body, _ := Do(http.MethodPost, "http://"+s.ControlNodes[0]+"/v1/zones/c/restore", ""); status != 200 {
		t.Errorf("restoring got %d %s", status, body)
	}
}

// A control node that answered a change shows it: the tail answers before the control nodes ahead of it have heard
// that the change is committed.
func ownChanges(t *testing.T, s *Fleet) {
	for i := range 24 {
		url := "http://" + s.ControlNodes[i%len(s.ControlNodes)]
		act := []string{"empty", "restore"}[i%2]
		status, _, body, err := Do(http.MethodPost, url+"/v1/zones/c/"+act, "")
		var applied, now struct {
			Revision uint64 `json:"revision"`
		}
		if err != nil || status != http.StatusOK || json.Unmarshal([]byte(body), &applied) != nil {
			t.Fatalf("%s got %d %s %v", act, status, body, err)
		}
		_, _, body, err = Do(http.MethodGet, url+"/v1/config", "")
		if err != nil || json.Unmarshal([]byte(body), &now) != nil {
			t.Fatal(body, err)
		}
		if now.Revision < applied.Revision {
			t.Errorf("%s answered revision %d and then shows %d", url, applied.Revision, now.Revision)
		}
	}
}

func policyInput(t *testing.T, s *Fleet) {
	_, _, body, err := Do(http.MethodGet, "http://"+s.ControlNodes[0]+"/v1/config", "")
	var now struct {
		Revision uint64 `json:"revision"`
	}
	if err != nil || json.Unmarshal([]byte(body), &now) != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, source string
		code         fault.Code
	}{
		{"loops", "def propose(fleet):\n  while True:\n    pass", fault.PolicyLimit},
		{"fails", "def propose(fleet):\n  return fleet['nothing']", fault.PolicyFailed},
		{"writes", "def propose(fleet):\n  fleet['counts']['m0'] = 1\n  return []", fault.PolicyFailed},
		{"babbles", "def propose(fleet):\n  return 'load all'", fault.PolicyInvalidResult},
		{"names-nobody", "def propose(fleet):\n  return [{'step': 'load', 'replica': 'gpu-77', 'unit': 'm0'}]", fault.ReplicaUnknown},
		{"beyond-room", "def propose(fleet):\n  return [{'step': 'load', 'replica': r['id'], 'unit': m} for r in fleet['replicas'] for m in fleet['models'] if m not in r['holds']]", fault.InsufficientCapacity},
	} {
		patch, err := json.Marshal(map[string]any{"policy": map[string]string{"name": c.name, "source": c.source}})
		if err != nil {
			t.Fatal(err)
		}
		status, _, body, err := Do(http.MethodPatch, fmt.Sprintf("http://%s/v1/config?base=%d", s.ControlNodes[0], now.Revision), string(patch))
		if err != nil || status != 200 {
			t.Fatalf("%s: %d %s %v", c.name, status, body, err)
		}
		now.Revision++
		if err := Until("the refusal shows in status", func() bool {
			st, ok := s.Leader()
			return ok && st.Policy.Name == c.name && st.FaultCounts[c.code] > 0
		}); err != nil {
			st, _ := s.Leader()
			t.Errorf("%s: no %s in %+v %v", c.name, c.code, st.Policy, st.FaultCounts)
		}
		if status, _, body, err := Do(http.MethodPost, "http://"+s.Gateways[0]+"/v1/calls", `{"kind":"fixes","model":"m0","prompt":"still served"}`); err != nil || status != 200 || !strings.Contains(body, "event: end") {
			t.Errorf("%s: the layout does not stand: %d %s %v", c.name, status, body, err)
		}
	}
}
