package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/spf13/cobra"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/quota"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/dataplane/gateway"
	gatewayquota "petreltide/internal/dataplane/quota"
	"petreltide/internal/dataplane/scheduling"
)

// served is a control node or gateway that answers with fixed pages, and keeps which were asked for.
type served struct {
	*httptest.Server
	mu    sync.Mutex
	asked []string
}

func serve(t *testing.T, pages map[string]any) *served {
	t.Helper()
	s := &served{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.asked = append(s.asked, r.URL.Path)
		s.mu.Unlock()
		if text, plain := pages[r.URL.Path].(string); plain {
			_, _ = io.WriteString(w, text)
			return
		}
		_ = json.NewEncoder(w).Encode(pages[r.URL.Path])
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *served) addr() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *served) paths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.asked)
	return s.asked
}

func runCommand(t *testing.T, cmd *cobra.Command, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(io.Discard)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(args)
	ctx := cmd.Context()
	if ctx == nil {
		ctx = t.Context()
	}
	err := cmd.ExecuteContext(ctx)
	return out.String(), err
}

func fleetStatus(gatewayAddr string) controlnode.Status {
	left := int64(850)
	load := statemachine.ReplicaCommand{Number: 12, Replica: "i-2", Incarnation: "i-2", Action: statemachine.Load, Unit: "m2", SizeMB: 20}
	return controlnode.Status{
		LeaseHolder: "core-1-ab", Epoch: 41, Pending: []statemachine.ReplicaCommand{load}, Replicas: []statemachine.Replica{},
		Demand:  []controller.GatewayStatus{{Gateway: "front-1", Zone: "a", Addr: gatewayAddr, Revision: 9}, {Gateway: "front-2", Zone: "b", Addr: "127.0.0.1:1", Revision: 8}},
		Rollout: &controller.RolloutStatus{Revision: 9, AgeMs: 2400, CompletedAfterMs: -1, Behind: []string{"front-2"}},
		Fleet: &controlnode.FleetStatus{
			Version: 9, Gateways: []string{"front-1", "front-2"},
			Routes: []configuration.Route{{Name: "letters", Host: "h.example", Prefix: "/l/", RetryClass: configuration.Streaming, Resumable: true, TimeoutMs: 5000, Priority: 1, MaxAttempts: 2,
				Split: []configuration.WeightedService{{Service: "scribe", Weight: 90}, {Service: "quill", Weight: 10}}}},
			Services: []controlnode.ServiceStatus{{Name: "scribe", Models: 2, Replicas: 2, MaxConnections: 370}, {Name: "quill", Replicas: 1}},
			Replicas: []controlnode.ReplicaStatus{
				{ID: "i-1", Service: "scribe", Zone: "a", State: controlnode.ReplicaDraining, RemainingMs: &left, Stage: "decode", HeartbeatAgeMs: 20, Units: []string{"m1", "m1/a1"}, ReservedMb: 61, CapacityMb: 100},
				{ID: "i-2", Service: "scribe", Zone: "b", State: controlnode.ReplicaUnreachable, HeartbeatAgeMs: 4000, Units: []string{"m1"}, ReservedMb: 80, CapacityMb: 100, Order: &load},
				{ID: "i-3", Service: "quill", Zone: "b", State: controlnode.ReplicaUnreported, HeartbeatAgeMs: -1, Units: []string{}},
			},
			Leadership: &controller.LeaderStatus{Leader: "core-1-ab", Epoch: 41, OrderDelayMs: 700, Orders: []controller.OrderStatus{{ReplicaCommand: load, SentAgoMs: -1}},
				Unreported: []controller.UnreportedStatus{{Replica: "i-9", MissingMs: 12000}},
				Store:      []controller.StoreStatus{{Service: "scribe", LoadsLeft: 3, RunningLoads: 1, MaxConcurrentLoads: 7, RecentLoads: 4, WindowMs: 5000}},
				Demand:     map[string]controller.DemandStatus{"m1": {Rate: 2.5}}},
		},
	}
}

func TestStatusShowsReplicasRoutesAndShares(t *testing.T) {
	front := serve(t, map[string]any{"/v1/status": gateway.Status{Gateway: "front-1", Zone: "a", Work: scheduling.Status{
		Revision: 9, Calls: 3, Budgets: []scheduling.RetryBudgetStatus{{Service: "scribe", Calls: 40, Retries: 2, MaxRetries: 29, Gateways: 3}},
	}, Connections: map[string]gateway.Connections{"i-1": {Open: 41, Max: 41}, "i-2": {Open: 1, Max: 41}},
		Quota: &gatewayquota.Status{Tenants: []gatewayquota.TenantCounters{{Tenant: "school-7", Admitted: 51, OverLimit: 12, Unanswered: 3}}}}})
	core := serve(t, map[string]any{"/v1/status": fleetStatus(front.addr())})
	out, err := runCommand(t, statusCommand(), "--control-node", core.addr(), "--gateways")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"leader    core-1-ab under epoch 41",
		"orders    holder core-1-ab, fence 41: orders wait 700 ms more for the one before, 1 stand",
		"unknown   i-9: its report has not come for 12000 ms; it gets no orders",
		"store     scribe: 3 loads may begin now, 1 of 7 run, 4 began within 5000 ms",
		"version   9: 1 routes, 2 services",
		"route     letters h.example/l/ → scribe 90 + quill 10: streaming, resumable, 5000 ms, priority 1, 2 attempts",
		"service   scribe: 2 replicas, 2 models, 370 connections each",
		"gateways  2 live: front-1, front-2",
		"gateway   front-2 zone b at 127.0.0.1:1, reported 0 ms ago, revision 8",
		"rollout   revision 9 for 2400 ms; 1 gateways are behind: front-2",
		"replica   i-1 scribe zone a draining, 850 ms left, decode, last heartbeat 20 ms ago: 2 held, 61 of 100 MB",
		"replica   i-2 scribe zone b dark, last heartbeat 4000 ms ago: 1 held, 80 of 100 MB; command 12: load m2",
		"replica   i-3 quill zone b unheard",
		"work      front-1 zone a: revision 9, 3 calls, 0 wait, 42 connections to 2 replicas",
		"tries     scribe at front-1: 2 of 29 further ones sent for 40 calls, a share among 3 gateways",
		"tenant    school-7 at front-1: 51 admitted, 12 over its limit, 3 without an answer",
		"full      front-1 has all its 41 connections to i-1 open",
		"work      front-2 gave no answer",
	} {
		if !strings.Contains(out, line) {
			t.Errorf("no %q in:\n%s", line, out)
		}
	}
	out, err = runCommand(t, statusCommand(), "--gateway", front.addr())
	if err != nil || !strings.Contains(out, "tries     scribe at front-1") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err = runCommand(t, statusCommand(), "--gateway", front.addr(), "--json"); err != nil || !strings.Contains(out, `"most":29`) {
		t.Errorf("%v: %s", err, out)
	}
}

func TestQueryReadsOnlyWhatItsExpressionNames(t *testing.T) {
	core := serve(t, map[string]any{"/v1/status": fleetStatus(""), "/v1/state": map[string]any{"epoch": 41}, "/v1/config": map[string]any{"revision": 9}})
	for text, c := range map[string]struct{ want, pages string }{
		`holders("m1")`:                                    {`["i-1","i-2"]`, "/v1/status"},
		`[r["id"] for r in replicas("dark")]`:              {`["i-2"]`, "/v1/status"},
		`len(replicas())`:                                  {`3`, "/v1/status"},
		`[r["name"] for r in routes("h.example", "/l/x")]`: {`["letters"]`, "/v1/status"},
		`routes("h.example", "/other")`:                    {`[]`, "/v1/status"},
		`why("m1")["demand"]["rate"]`:                      {`2.5`, "/v1/status"},
		`why("m2")["pending"][0]["number"]`:                {`12`, "/v1/status"},
		`status["fleet"]["duty"]["store"][0]["left"]`:      {`3`, "/v1/status"},
		`state["epoch"] + config["revision"]`:              {`50`, "/v1/config /v1/state /v1/status"},
	} {
		before := len(core.paths())
		out, err := runCommand(t, queryCommand(), "--control-node", core.addr(), text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		if got := strings.Join(strings.Fields(out), ""); got != c.want {
			t.Errorf("%s: %s, want %s", text, got, c.want)
		}
		if n := len(core.paths()) - before; n != len(strings.Fields(c.pages)) {
			t.Errorf("%s: %d pages were read, want %s", text, n, c.pages)
		}
	}
}

// Whatever answers in a control node's or gateway's place, the command line ends with a typed fault or a plain error.
func TestCommandsNameAnswersThatAreNone(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	gone := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	other := serve(t, map[string]any{"/v1/status": "<html>"})
	refuses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"code":"not_serving","detail":"stopping"}}`)
	}))
	defer refuses.Close()
	busy := strings.TrimPrefix(refuses.URL, "http://")
	for name, c := range map[string]struct {
		cmd  *cobra.Command
		args []string
		code fault.Code
	}{
		"nobody there":              {statusCommand(), []string{"--control-node", gone}, fault.NotServing},
		"nobody, asked by expr":     {queryCommand(), []string{"--control-node", gone, "status"}, fault.NotServing},
		"a control node that stops": {statusCommand(), []string{"--control-node", busy}, fault.NotServing},
		"a gateway that stops":      {statusCommand(), []string{"--gateway", busy}, fault.NotServing},
		"no JSON":                   {statusCommand(), []string{"--control-node", other.addr()}, ""},
		"no JSON of a gateway":      {statusCommand(), []string{"--gateway", other.addr()}, ""},
		"no expression":             {queryCommand(), []string{"--control-node", other.addr(), "1 +"}, fault.BadField},
	} {
		_, err := runCommand(t, c.cmd, c.args...)
		var bad *fault.Fault
		if err == nil || (c.code != "" && (!errors.As(err, &bad) || bad.Code != c.code)) {
			t.Errorf("%s: %v, want %s", name, err, c.code)
		}
	}
}

// What is counted of a tenant is a line each; only the control node that counts has tokens.
func TestStatusShowsTenants(t *testing.T) {
	st := controlnode.Status{Quota: &controlnode.QuotaStatus{Counting: true, Tenants: []quota.TenantStatus{
		{Tenant: "free", Granted: 7},
		{Tenant: "limited", RatePerSecond: 2.5, Burst: 4, Tokens: 1.25, Granted: 12, Refused: 3, ReserveUsed: 1, Reserve: 2},
	}}}
	free := "tenant    free: no limit; here in the last window 7 granted, 0 refused\n"
	for counting, want := range map[bool]string{
		true:  free + "tenant    limited: 2.5 a second, burst 4, 1.2 tokens left, reserve 1 of 2 used; here in the last window 12 granted, 3 refused\n",
		false: free + "tenant    limited: 2.5 a second, burst 4, reserve 1 of 2 used; here in the last window 12 granted, 3 refused\n",
	} {
		st.Quota.Counting = counting
		var text bytes.Buffer
		printStatus(&text, st)
		if !strings.HasSuffix(text.String(), want) {
			t.Errorf("counting %v:\n%s", counting, text.String())
		}
	}
}
