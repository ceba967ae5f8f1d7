package distribution

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// largeRoutes, largeModels, largeTenants and largeGateways are those of the largest deployments.
	largeRoutes, largeModels, largeTenants, largeGateways = 1720, 552, 74, 63
	// maxRevocationBytes bounds the frame that takes a key away: it must not wait behind others on a gateway's narrow link.
	maxRevocationBytes = 4 << 10
)

func largeTenant(i int, keys ...string) configuration.Tenant {
	t := configuration.Tenant{Name: fmt.Sprint("tenant-", i), RatePerSecond: 120, Burst: 60, Source: json.RawMessage(fmt.Sprintf(`{"name":"tenant-%d","keys":["%s"]}`, i, strings.Join(keys, `","`)))}
	for _, key := range keys {
		t.KeyDigests = append(t.KeyDigests, configuration.KeyDigest(key))
	}
	return t
}

// largeState has a declaration of the size of the largest deployments.
func largeState(t *testing.T) *statemachine.State {
	t.Helper()
	engine := &configuration.Engine{Slots: 64, CacheTokens: 1000, CapacityMB: 200000, LoadsPerSecond: 48}
	for i := range largeModels {
		engine.Models = append(engine.Models, configuration.EngineModel{Name: fmt.Sprint("model-", i), SizeMB: 34300, LoadMs: 1500})
	}
	doc := &configuration.Declaration{Version: 1, RequireKeys: true, Services: []configuration.Service{{Name: "s", Engine: engine}}}
	for i := range largeRoutes {
		name := fmt.Sprint("route-", i)
		doc.Routes = append(doc.Routes, configuration.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", RetryClass: configuration.Streaming, TimeoutMs: 4000, MaxAttempts: 1,
			Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`{"name":"` + name + `"}`),
		})
	}
	for i := range largeTenants {
		doc.Tenants = append(doc.Tenants, largeTenant(i, fmt.Sprintf("secret-%d-a", i), fmt.Sprintf("secret-%d-b", i)))
	}
	s := statemachine.NewState()
	if out := s.Apply(1, statemachine.Change{ID: "1", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}}); out.Fault != nil {
		t.Fatal(out.Fault)
	}
	return s
}

// A key that is taken away goes to all gateways at once, primary streams and standby ones, as one small frame; no key goes
// to any gateway, whole or as an edit.
func TestRevokedKeysGoToAllGatewaysAtOnceInASmallFrameWithoutKeys(t *testing.T) {
	s := largeState(t)
	h, soft, nowUs := NewFramePublisher(), registry.New(3*clock.Sec), clock.Sec
	frames := func() []FramePush {
		nowUs += clock.Ms
		pushes := h.Frames(FrameInput{NowUs: nowUs, State: s, Committed: true, Registry: soft})
		for _, p := range pushes {
			if raw, err := json.Marshal(p.Frame); err != nil || strings.Contains(string(raw), "secret-") {
				t.Fatalf("%v; a key goes to %s", err, p.Gateway)
			}
		}
		return pushes
	}
	for i := range largeGateways {
		h.Subscribe(nowUs, wire.SubscribeRequest{Gateway: fmt.Sprint("g", i), Incarnation: "i", Standby: i%2 == 1})
	}
	first := frames()
	if len(first) != largeGateways {
		t.Fatalf("%d first frames", len(first))
	}
	known := first[0].Frame.Declaration
	if known == nil || known.Indexed().TenantOfKey("secret-3-a") == nil || !known.RequireKeys {
		t.Fatal("a gateway does not know the tenants after its first frame")
	}
	for version, tenant := range []configuration.Tenant{largeTenant(3, "secret-3-b"), largeTenant(3), largeTenant(5, "secret-3-a")} {
		base := uint64(version + 1)
		change := &statemachine.ConfigChange{Base: base, Version: base + 1, Edit: &configuration.Edit{Version: base + 1, Tenants: []configuration.Tenant{tenant}}}
		if out := s.Apply(s.Index+1, statemachine.Change{ID: fmt.Sprint(base + 1), Config: change}); out.Fault != nil {
			t.Fatal(out.Fault)
		}
		pushes := frames()
		if len(pushes) != largeGateways {
			t.Fatalf("version %d: %d of %d gateways were told at once", base+1, len(pushes), largeGateways)
		}
		different := map[*wire.Frame]bool{}
		for _, p := range pushes {
			different[p.Frame] = true
			if p.Frame.Declaration != nil || p.Frame.Revision != s.Revision {
				t.Fatalf("version %d goes whole, or not at all, to %s", base+1, p.Gateway)
			}
		}
		if raw, _ := json.Marshal(pushes[0].Frame); len(raw) > maxRevocationBytes || len(different) > 2 {
			t.Errorf("version %d takes %d bytes in %d frames", base+1, len(raw), len(different))
		}
		next, bad := known.Apply(pushes[0].Frame.Edits[0])
		if bad != nil {
			t.Fatal(bad)
		}
		known = next.Indexed()
	}
	for key, holder := range map[string]string{"secret-3-a": "tenant-5", "secret-3-b": "", "secret-5-a": "", "secret-4-a": "tenant-4"} {
		name := ""
		if tenant := known.TenantOfKey(key); tenant != nil {
			name = tenant.Name
		}
		if name != holder {
			t.Errorf("%s is held by %q, want %q", key, name, holder)
		}
	}
}
