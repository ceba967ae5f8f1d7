package controlnode

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/quota"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

const tenantKey = "sesame-open"

// tenantsDeclaration declares a tenant with a limit of 10 requests per second and a burst of 5, and one without a limit.
func tenantsDeclaration(version uint64) *configuration.Declaration {
	return &configuration.Declaration{
		Version: version, RequireKeys: true,
		Services: []configuration.Service{{Name: "s", MaxConnections: 9}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1,
			MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}},
		Tenants: []configuration.Tenant{
			{Name: "limited", KeyDigests: []string{configuration.KeyDigest(tenantKey)}, RatePerSecond: 10, Burst: 5, Source: json.RawMessage(`{"keys":["` + tenantKey + `"]}`)},
			{Name: "free", KeyDigests: []string{configuration.KeyDigest("another")}},
		},
	}
}

// requestQuota returns the response of control node i to a quota request.
func (tc *threeNodeCluster) requestQuota(i int, tailUnreachable bool, asks ...wire.QuotaAsk) wire.QuotaResponse {
	tc.t.Helper()
	effects := tc.cores[i].Step(tc.nowUs, QuotaRequested{Request: &wire.QuotaRequest{Gateway: "g", TailUnreachable: tailUnreachable,
		Asks: asks}, ReplyID: 1})
	if len(effects) != 1 {
		tc.t.Fatalf("effects of a quota request: got %d, want 1", len(effects))
	}
	return effects[0].(ReplyQuota).Response
}

// grantedQuota returns how many of 1000 requests of the limited tenant control node i grants.
func (tc *threeNodeCluster) grantedQuota(i int, tailUnreachable bool) int {
	tc.t.Helper()
	return tc.requestQuota(i, tailUnreachable, wire.QuotaAsk{Tenant: "limited", Count: 1000}).Grants[0].Granted
}

// tailIndex returns the index of the control node that is the ready tail; -1 if there is none.
func (tc *threeNodeCluster) tailIndex() int {
	found := -1
	for i, c := range tc.cores {
		if c.Node.IsTailReady(tc.nowUs) {
			if found >= 0 {
				tc.t.Fatalf("control nodes %d and %d are both ready as the tail", found, i)
			}
			found = i
		}
	}
	return found
}

// declare puts doc in force and waits until all control nodes have it.
func (tc *threeNodeCluster) declare(doc *configuration.Declaration) {
	tc.t.Helper()
	for i := range tc.cores {
		if tc.cores[i].Node.IsHead() {
			tc.step(i, SubmitChange{Change: &statemachine.Change{ID: "c",
				Config: &statemachine.ConfigChange{Version: doc.Version, Doc: doc}}})
			break
		}
	}
	tc.advance(200 * clock.Ms)
	for i, c := range tc.cores {
		if doc := c.Node.State().Doc; doc == nil || doc.Tenant("limited") == nil {
			tc.t.Fatalf("control node %d did not apply the declaration with its tenants; outcomes: %+v", i, c.Node.State().Outcomes)
		}
	}
}

// Only the tail grants quota as long as there is no reserve. No control node grants quota to a tenant that is not declared.
func TestQuotaIsGrantedOnlyByTail(t *testing.T) {
	tc := newThreeNodeCluster(t)
	if got := tc.requestQuota(0, false, wire.QuotaAsk{Tenant: "limited",
		Count: 1}); got.Grants[0].Granted != 0 || got.Grants[0].RetryMs == 0 {
		t.Errorf("before any declaration: got %+v, want nothing granted and a retry delay", got)
	}
	tc.declare(tenantsDeclaration(1))
	tc.advance(6 * clock.Sec)
	tail := tc.tailIndex()
	other := (tail + 1) % 3
	view := chain.View{Number: tc.cores[tail].Node.View().Number}
	asks := []wire.QuotaAsk{{Tenant: "limited", Count: 7}, {Tenant: "free", Count: 300}, {Tenant: "unknown", Count: 1}}
	// Without overshoot and slack, the depth of the bucket is the burst, and there is no reserve.
	want := wire.QuotaResponse{View: view, Counting: true, Grants: []wire.QuotaGrant{
		{Tenant: "limited", Granted: 5, RetryMs: 100}, {Tenant: "free", Granted: 300, Unlimited: true}, {Tenant: "unknown", RetryMs: 5000},
	}}
	if diff := cmp.Diff(want, tc.requestQuota(tail, false, asks...)); diff != "" {
		t.Errorf("response of the tail differs (-want +got):\n%s", diff)
	}
	for _, tailUnreachable := range []bool{false, true} {
		got := tc.requestQuota(other, tailUnreachable, asks...)
		if got.Counting || got.Grants[0].Granted != 0 || got.Grants[1].Granted != 0 || got.View.Tail().ID != tc.cores[tail].Node.Self().ID {
			t.Errorf("control node that is not the tail, tail unreachable %v: got %+v, want nothing granted and a view with the tail", tailUnreachable, got)
		}
	}
}

// The tail is partitioned from the other control nodes, together with its gateways. It stops counting before another control node
// starts to count, the new tail starts with an empty bucket, and the grants of all control nodes together stay within the bound.
func TestQuotaStaysWithinBoundWhileTailIsPartitioned(t *testing.T) {
	tc := newThreeNodeCluster(t)
	opts := quota.Options{WindowUs: 5 * clock.Sec, Overshoot: 0.1, Slack: 20, ToleratedLosses: 1}
	for i, c := range tc.cores {
		c.quota = quota.NewLedger(opts, c.Node.NowUs())
		tc.step(i, Tick{})
	}
	tc.declare(tenantsDeclaration(1))
	tc.advance(6 * clock.Sec)
	old := tc.tailIndex()
	type grant struct {
		atUs int64
		n    int
	}
	grants, tail, changes, withoutTailUs, changedUs := []grant{}, old, 0, int64(0), int64(0)
	const bound = (10*5+5)*1.1 + 20
	spend := func(spanUs int64) {
		for endUs := tc.nowUs + spanUs; tc.nowUs < endUs; tc.advance(100 * clock.Ms) {
			for i := range tc.cores {
				grants = append(grants, grant{tc.nowUs, tc.grantedQuota(i, true)})
			}
			current := tc.tailIndex()
			if current < 0 {
				withoutTailUs += 100 * clock.Ms
			} else if current != tail {
				tail, changes, changedUs = current, changes+1, tc.nowUs
			}
			sum := 0
			for _, g := range grants {
				if tc.nowUs-g.atUs <= opts.WindowUs {
					sum += g.n
				}
			}
			if float64(sum) > bound {
				t.Fatalf("requests granted in the window that ends at %d ms: got %d, want at most %.1f", tc.nowUs/clock.Ms, sum, bound)
			}
		}
	}
	spend(3 * clock.Sec)
	tc.cutLinksOf(old, true, true)
	cutUs := tc.nowUs
	spend(8 * clock.Sec)
	t.Logf("a new tail counted %d ms after the partition; there was no counting tail for about %d ms", (changedUs-cutUs)/clock.Ms,
		withoutTailUs/clock.Ms)
	if tail == old || changes != 1 {
		t.Fatalf("tail after the partition: got control node %d after %d changes, want one other than %d after 1 change", tail,
			changes, old)
	}
	clear(tc.cutLinks)
	spend(8 * clock.Sec)
	before := len(grants)
	spend(5 * clock.Sec)
	sum := 0
	for _, g := range grants[before:] {
		sum += g.n
	}
	if sum < 10*5 {
		t.Errorf("requests granted in a window after the partition healed: got %d, want at least %d", sum, 10*5)
	}
}

// The status shows what was granted to and refused to each tenant, but no API key and no digest of one.
func TestStatusReportsTenantsWithoutKeys(t *testing.T) {
	tc := newThreeNodeCluster(t)
	if tc.cores[0].Status(tc.nowUs).Quota != nil {
		t.Error("status before any declaration: got quotas, want none")
	}
	tc.declare(tenantsDeclaration(1))
	tc.advance(6 * clock.Sec)
	tail := tc.tailIndex()
	tc.grantedQuota(tail, false)
	tc.advance(100 * clock.Ms)
	st := tc.cores[tail].Status(tc.nowUs)
	want := &QuotaStatus{Counting: true, Tenants: []quota.TenantStatus{
		{Tenant: "free"}, {Tenant: "limited", RatePerSecond: 10, Burst: 5, Tokens: 1, Granted: 5, Refused: 995},
	}}
	if diff := cmp.Diff(want, st.Quota); diff != "" {
		t.Errorf("quota status differs (-want +got):\n%s", diff)
	}
	raw, err := json.Marshal(st)
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{tenantKey, configuration.KeyDigest(tenantKey)} {
		if strings.Contains(string(raw), secret) {
			t.Errorf("the status contains the key or digest %s", secret)
		}
	}
}

// A control node that serves alone answers quota requests over RPC and keeps no state of finished calls.
func TestQuotaOverRPC(t *testing.T) {
	h := openControlNode(t, 1)
	h.actor.Spawn(h.persistLoop)
	if out, ok := h.Submit(t.Context(), statemachine.Change{ID: "c",
		Config: &statemachine.ConfigChange{Version: 1, Doc: tenantsDeclaration(1)}}, time.Minute); !ok || out.Outcome.Fault != nil {
		t.Fatalf("declaration of tenants: got %+v, ok %v, want an outcome without a fault", out, ok)
	}
	server := httptest.NewServer(h.handler())
	defer server.Close()
	caller := rpc.NewCaller[wire.QuotaRequest, wire.QuotaResponse](rpc.NodeClient(500, ""), strings.TrimPrefix(server.URL, "http://"), rpc.QuotaPath)
	for {
		got, err := caller.Call(t.Context(), &wire.QuotaRequest{Gateway: "g",
			Asks: []wire.QuotaAsk{{Tenant: "limited", Count: 1}, {Tenant: "free", Count: 2}}})
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Grants) != 2 || got.View.Number == 0 {
			t.Fatalf("response: got %+v, want 2 grants and a view", got)
		}
		if got.Counting && got.Grants[0].Granted == 1 && got.Grants[1].Unlimited {
			break
		}
	}
	remaining, ran := actor.Ask(t.Context(), h.actor, func() int { return len(h.quotas) })
	if !ran || remaining != 0 {
		t.Errorf("callers that wait for a quota response: got %d, want 0", remaining)
	}
}

// quotaOptions converts the settings to the options of the quota ledger.
func TestQuotaOptionsFollowSettings(t *testing.T) {
	got := quotaOptions(settings.ControlNode{MinReplicas: 3, Quota: settings.Quota{WindowMs: 4000, Overshoot: 0.2, Slack: 7}})
	if diff := cmp.Diff(quota.Options{WindowUs: 4 * clock.Sec, Overshoot: 0.2, Slack: 7, ToleratedLosses: 2}, got); diff != "" {
		t.Errorf("options differ (-want +got):\n%s", diff)
	}
}
