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

// tenantsDeclaration declares a tenant of 10 a second with a burst of 5, and one without a limit.
func tenantsDeclaration(version uint64) *configuration.Declaration {
	return &configuration.Declaration{
		Version: version, RequireKeys: true,
		Services: []configuration.Service{{Name: "s", MaxConnections: 9}},
		Routes:   []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}},
		Tenants: []configuration.Tenant{
			{Name: "limited", KeyDigests: []string{configuration.KeyDigest(tenantKey)}, RatePerSecond: 10, Burst: 5, Source: json.RawMessage(`{"keys":["` + tenantKey + `"]}`)},
			{Name: "free", KeyDigests: []string{configuration.KeyDigest("another")}},
		},
	}
}

// ask is what a control node of the trio answers.
func (tr *threeNodeCluster) requestQuota(i int, tailUnreachable bool, asks ...wire.QuotaAsk) wire.QuotaResponse {
	tr.t.Helper()
	effects := tr.cores[i].Step(tr.nowUs, QuotaRequested{Request: &wire.QuotaRequest{Gateway: "g", TailUnreachable: tailUnreachable, Asks: asks}, ReplyID: 1})
	if len(effects) != 1 {
		tr.t.Fatalf("%d effects", len(effects))
	}
	return effects[0].(ReplyQuota).Response
}

// granted is how many requests of the limited tenant a control node of the trio grants.
func (tr *threeNodeCluster) grantedQuota(i int, tailUnreachable bool) int {
	tr.t.Helper()
	return tr.requestQuota(i, tailUnreachable, wire.QuotaAsk{Tenant: "limited", Count: 1000}).Grants[0].Granted
}

// tail is the control node of the trio that counts; -1 where none does.
func (tr *threeNodeCluster) tailIndex() int {
	found := -1
	for i, c := range tr.cores {
		if c.Node.IsTailReady(tr.nowUs) {
			if found >= 0 {
				tr.t.Fatalf("control nodes %d and %d are both ready as the tail", found, i)
			}
			found = i
		}
	}
	return found
}

func (tr *threeNodeCluster) declare(doc *configuration.Declaration) {
	tr.t.Helper()
	for i := range tr.cores {
		if tr.cores[i].Node.IsHead() {
			tr.step(i, SubmitChange{Change: &statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: doc.Version, Doc: doc}}})
			break
		}
	}
	tr.advance(200 * clock.Ms)
	for i, c := range tr.cores {
		if doc := c.Node.State().Doc; doc == nil || doc.Tenant("limited") == nil {
			tr.t.Fatalf("control node %d has no tenant: %+v", i, c.Node.State().Outcomes)
		}
	}
}

// The tail grants, another only where a gateway does not reach it, and nobody a name that is not declared.
func TestQuotaIsGrantedOnlyByTail(t *testing.T) {
	tr := newThreeNodeCluster(t)
	if got := tr.requestQuota(0, false, wire.QuotaAsk{Tenant: "limited", Count: 1}); got.Grants[0].Granted != 0 || got.Grants[0].RetryMs == 0 {
		t.Errorf("before any declaration: %+v", got)
	}
	tr.declare(tenantsDeclaration(1))
	tr.advance(6 * clock.Sec)
	tail := tr.tailIndex()
	other := (tail + 1) % 3
	view := chain.View{Number: tr.cores[tail].Node.View().Number}
	asks := []wire.QuotaAsk{{Tenant: "limited", Count: 7}, {Tenant: "free", Count: 300}, {Tenant: "unknown", Count: 1}}
	// Without overshoot and slack the bucket is as deep as the burst, and there is no reserve.
	want := wire.QuotaResponse{View: view, Counting: true, Grants: []wire.QuotaGrant{
		{Tenant: "limited", Granted: 5, RetryMs: 100}, {Tenant: "free", Granted: 300, Unlimited: true}, {Tenant: "unknown", RetryMs: 5000},
	}}
	if diff := cmp.Diff(want, tr.requestQuota(tail, false, asks...)); diff != "" {
		t.Error(diff)
	}
	for _, tailUnreachable := range []bool{false, true} {
		got := tr.requestQuota(other, tailUnreachable, asks...)
		if got.Counting || got.Grants[0].Granted != 0 || got.Grants[1].Granted != 0 || got.View.Tail().ID != tr.cores[tail].Node.Self().ID {
			t.Errorf("another, tail unreachable %v: %+v", tailUnreachable, got)
		}
	}
}

// The tail is cut off from the others, and its gateways with it: it stops counting before another begins, that one begins with
// nothing, and all together stay within the bound.
func TestQuotaStaysWithinBoundWhileTailIsPartitioned(t *testing.T) {
	tr := newThreeNodeCluster(t)
	opts := quota.Options{WindowUs: 5 * clock.Sec, Overshoot: 0.1, Slack: 20, ToleratedLosses: 1}
	for i, c := range tr.cores {
		c.quota = quota.NewLedger(opts, c.Node.NowUs())
		tr.step(i, Tick{})
	}
	tr.declare(tenantsDeclaration(1))
	tr.advance(6 * clock.Sec)
	old := tr.tailIndex()
	type grant struct {
		atUs int64
		n    int
	}
	grants, tail, changes, withoutTailUs, changedUs := []grant{}, old, 0, int64(0), int64(0)
	const bound = (10*5+5)*1.1 + 20
	spend := func(spanUs int64) {
		for endUs := tr.nowUs + spanUs; tr.nowUs < endUs; tr.advance(100 * clock.Ms) {
			for i := range tr.cores {
				grants = append(grants, grant{tr.nowUs, tr.grantedQuota(i, true)})
			}
			current := tr.tailIndex()
			if current < 0 {
				withoutTailUs += 100 * clock.Ms
			} else if current != tail {
				tail, changes, changedUs = current, changes+1, tr.nowUs
			}
			sum := 0
			for _, g := range grants {
				if tr.nowUs-g.atUs <= opts.WindowUs {
					sum += g.n
				}
			}
			if float64(sum) > bound {
				t.Fatalf("%d granted in the window up to %d ms, at most %.1f", sum, tr.nowUs/clock.Ms, bound)
			}
		}
	}
	spend(3 * clock.Sec)
	tr.cutLinksOf(old, true, true)
	cutUs := tr.nowUs
	spend(8 * clock.Sec)
	t.Logf("another tail counts %d ms after the cut; none did for about %d ms", (changedUs-cutUs)/clock.Ms, withoutTailUs/clock.Ms)
	if tail == old || changes != 1 {
		t.Fatalf("the tail is %d after %d changes", tail, changes)
	}
	clear(tr.cutLinks)
	spend(8 * clock.Sec)
	before := len(grants)
	spend(5 * clock.Sec)
	sum := 0
	for _, g := range grants[before:] {
		sum += g.n
	}
	if sum < 10*5 {
		t.Errorf("%d granted in a calm window, %d are owed", sum, 10*5)
	}
}

// What operators see of tenants tells what was granted and refused, and no key.
func TestStatusReportsTenantsWithoutKeys(t *testing.T) {
	tr := newThreeNodeCluster(t)
	if tr.cores[0].Status(tr.nowUs).Quota != nil {
		t.Error("tenants before any declaration")
	}
	tr.declare(tenantsDeclaration(1))
	tr.advance(6 * clock.Sec)
	tail := tr.tailIndex()
	tr.grantedQuota(tail, false)
	tr.advance(100 * clock.Ms)
	st := tr.cores[tail].Status(tr.nowUs)
	want := &QuotaStatus{Counting: true, Tenants: []quota.TenantStatus{
		{Tenant: "free"}, {Tenant: "limited", RatePerSecond: 10, Burst: 5, Tokens: 1, Granted: 5, Refused: 995},
	}}
	if diff := cmp.Diff(want, st.Quota); diff != "" {
		t.Error(diff)
	}
	raw, err := json.Marshal(st)
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{tenantKey, configuration.KeyDigest(tenantKey)} {
		if strings.Contains(string(raw), secret) {
			t.Errorf("the status holds %s", secret)
		}
	}
}

// Over the wire, from a control node that serves alone.
func TestQuotaOverRPC(t *testing.T) {
	h := openControlNode(t, 1)
	h.actor.Spawn(h.persistLoop)
	if out, ok := h.Submit(t.Context(), statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: tenantsDeclaration(1)}}, time.Minute); !ok || out.Outcome.Fault != nil {
		t.Fatalf("%+v", out)
	}
	server := httptest.NewServer(h.handler())
	defer server.Close()
	caller := rpc.NewCaller[wire.QuotaRequest, wire.QuotaResponse](rpc.NodeClient(500, ""), strings.TrimPrefix(server.URL, "http://"), rpc.QuotaPath)
	for {
		got, err := caller.Call(t.Context(), &wire.QuotaRequest{Gateway: "g", Asks: []wire.QuotaAsk{{Tenant: "limited", Count: 1}, {Tenant: "free", Count: 2}}})
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Grants) != 2 || got.View.Number == 0 {
			t.Fatalf("%+v", got)
		}
		if got.Counting && got.Grants[0].Granted == 1 && got.Grants[1].Unlimited {
			break
		}
	}
	remaining, ran := actor.Ask(t.Context(), h.actor, func() int { return len(h.quotas) })
	if !ran || remaining != 0 {
		t.Errorf("%d callers are kept", remaining)
	}
}

// The settings become the ledger's options.
func TestQuotaOptionsFollowSettings(t *testing.T) {
	got := quotaOptions(settings.ControlNode{MinReplicas: 3, Quota: settings.Quota{WindowMs: 4000, Overshoot: 0.2, Slack: 7}})
	if diff := cmp.Diff(quota.Options{WindowUs: 4 * clock.Sec, Overshoot: 0.2, Slack: 7, ToleratedLosses: 2}, got); diff != "" {
		t.Error(diff)
	}
}
