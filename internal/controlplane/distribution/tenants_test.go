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
	// largeRoutes, largeModels, largeTenants and largeGateways are the counts in the largest deployments.
	largeRoutes, largeModels, largeTenants, largeGateways = 1720, 552, 74, 63
	// maxRevocationBytes bounds the frame that revokes a key, which must not queue behind other frames on a gateway's narrow link.
	maxRevocationBytes = 4 << 10
)

func largeTenant(i int, keys ...string) configuration.Tenant {
	t := configuration.Tenant{Name: fmt.Sprint("tenant-", i), RatePerSecond: 120, Burst: 60, Source: json.RawMessage(fmt.Sprintf(`{"name":"tenant-%d","keys":["%s"]}`, i, strings.Join(keys, `","`)))}
	for _, key := range keys {
		t.KeyDigests = append(t.KeyDigests, configuration.KeyDigest(key))
	}
	return t
}

// largeState returns a state with a declaration of the size of the largest deployments.
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

// The revocation of a key is sent immediately to all gateways, on primary and standby streams, as one small frame. No key is sent
// to any gateway, neither in a whole declaration nor in an edit.
func TestKeyRevocationReachesAllGatewaysImmediatelyInSmallFrameWithoutKeys(t *testing.T) {
	s := largeState(t)
	publisher, reg, nowUs := NewFramePublisher(), registry.New(3*clock.Sec), clock.Sec
	frames := func() []FramePush {
		nowUs += clock.Ms
		pushes := publisher.Frames(FrameInput{NowUs: nowUs, State: s, Committed: true, Registry: reg})
		for _, p := range pushes {
			if raw, err := json.Marshal(p.Frame); err != nil || strings.Contains(string(raw), "secret-") {
				t.Fatalf("frame for gateway %s: got error %v or a plaintext key in the frame, want neither", p.Gateway, err)
			}
		}
		return pushes
	}
	for i := range largeGateways {
		publisher.Subscribe(nowUs, wire.SubscribeRequest{Gateway: fmt.Sprint("g", i), Incarnation: "i", Standby: i%2 == 1})
	}
	first := frames()
	if len(first) != largeGateways {
		t.Fatalf("first frames: got %d, want %d", len(first), largeGateways)
	}
	known := first[0].Frame.Declaration
	if known == nil || known.Indexed().TenantOfKey("secret-3-a") == nil || !known.RequireKeys {
		t.Fatal("first frame: got a declaration without the tenants' keys or requireKeys, want both")
	}
	for version, tenant := range []configuration.Tenant{largeTenant(3, "secret-3-b"), largeTenant(3), largeTenant(5, "secret-3-a")} {
		base := uint64(version + 1)
		change := &statemachine.ConfigChange{Base: base, Version: base + 1, Edit: &configuration.Edit{Version: base + 1, Tenants: []configuration.Tenant{tenant}}}
		if out := s.Apply(s.Index+1, statemachine.Change{ID: fmt.Sprint(base + 1), Config: change}); out.Fault != nil {
			t.Fatal(out.Fault)
		}
		pushes := frames()
		if len(pushes) != largeGateways {
			t.Fatalf("version %d: got %d immediate frames, want %d", base+1, len(pushes), largeGateways)
		}
		distinct := map[*wire.Frame]bool{}
		for _, p := range pushes {
			distinct[p.Frame] = true
			if p.Frame.Declaration != nil || p.Frame.Revision != s.Revision {
				t.Fatalf("version %d, gateway %s: got revision %d or a whole declaration, want revision %d by edits",
					base+1, p.Gateway, p.Frame.Revision, s.Revision)
			}
		}
		if raw, _ := json.Marshal(pushes[0].Frame); len(raw) > maxRevocationBytes || len(distinct) > 2 {
			t.Errorf("version %d: got %d bytes in %d distinct frames, want at most %d in 2",
				base+1, len(raw), len(distinct), maxRevocationBytes)
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
			t.Errorf("tenant of key %s: got %q, want %q", key, name, holder)
		}
	}
}
