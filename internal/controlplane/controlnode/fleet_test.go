package controlnode

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// The status lists one replica in each state that results from heartbeats, missing heartbeats and the replicated state.
func TestStatusReportsStateOfEachReplica(t *testing.T) {
	node, err := chain.NewNode(chain.Options{Self: chain.Member{ID: "o", Name: "o", Addr: "a"}, Incarnation: "1", BootstrapCount: 1},
		nil, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	c := NewCore(node, CoreOptions{UnreachableUs: 3 * clock.Sec})
	if c.Status(clock.Sec).Fleet != nil {
		t.Error("status before any declaration: got a fleet, want none")
	}
	s := c.Node.State()
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 7, Doc: &configuration.Declaration{
		Version: 7,
		Services: []configuration.Service{{Name: "plain", MaxConnections: 9}, {Name: "s", Engine: &configuration.Engine{
			Slots: 4, CacheTokens: 1, CapacityMB: 100, LoadsPerSecond: 1,
			Models: []configuration.EngineModel{{Name: "m", SizeMB: 30, LoadMs: 1000}, {Name: "n", SizeMB: 40, LoadMs: 1000}},
		}}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`{"long":1}`)}},
	}}})
	s.Apply(2, statemachine.Change{ID: "claim", Epoch: 1, Claim: &statemachine.Claim{Leader: "o"}})
	known := func(id string) statemachine.ReplicaUpdate {
		return statemachine.ReplicaUpdate{ID: id, Incarnation: id, Addr: id, Zone: "z", CapacityMB: 100, Slots: 4, Service: "s",
			ResidentKnown: true, Resident: []statemachine.ResidentUnit{{Unit: "m", SizeMB: 30}}}
	}
	s.Apply(3, statemachine.Change{ID: "fleet", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{known("ready"), known("never")}}})
	out := s.Apply(4, statemachine.Change{ID: "ticket", Epoch: 1,
		LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Replica: "ready", Incarnation: "ready",
			Revision: 1, Action: statemachine.Load, Unit: "n"}}}})
	if len(out.Faults) > 0 {
		t.Fatalf("faults of the load command: got %v, want none", out.Faults)
	}
	row := func(id string, seq uint64) registry.ReplicaStatus {
		return registry.ReplicaStatus{ID: id, Service: "s", Addr: id, Zone: "z", Slots: 4, Seq: seq, Units: []string{"m"}, Stage: "decode"}
	}
	nowUs := 10 * clock.Sec
	c.recordHeartbeat(nowUs-4*clock.Sec, row("dark", 1))
	c.recordHeartbeat(nowUs-2*clock.Sec, row("gone", 1))
	c.recordDeregistration(nowUs-clock.Sec, "gone")
	notice := row("notice", 1)
	notice.Draining, notice.RemainingMs = true, 900
	c.recordHeartbeat(nowUs-200*clock.Ms, notice)
	leaving := row("leaving", 1)
	leaving.Draining, leaving.Service, leaving.Units = true, "plain", nil
	c.recordHeartbeat(nowUs, leaving)
	c.recordHeartbeat(nowUs-20*clock.Ms, row("ready", 1))
	c.soft.Registry.Sweep(nowUs)

	f := c.Status(nowUs).Fleet
	order := s.Pending["ready"]
	remainingMs := int64(700)
	base := ReplicaStatus{Service: "s", Zone: "z", Stage: "decode", Slots: 4, Units: []string{"m"}}
	with := func(id string, state ReplicaState, agoMs int64, edit func(*ReplicaStatus)) ReplicaStatus {
		r := base
		r.ID, r.Addr, r.State, r.HeartbeatAgeMs = id, id, state, agoMs
		if edit != nil {
			edit(&r)
		}
		return r
	}
	want := []ReplicaStatus{
		with("dark", ReplicaUnreachable, 4000, nil),
		with("gone", ReplicaRemoved, 1000, nil),
		with("leaving", ReplicaDraining, 0, func(r *ReplicaStatus) { r.Service, r.Units = "plain", []string{} }),
		with("notice", ReplicaDraining, 200, func(r *ReplicaStatus) { r.RemainingMs = &remainingMs }),
		with("ready", ReplicaReady, 20, func(r *ReplicaStatus) { r.CapacityMb, r.ReservedMb, r.Order = 100, 70, &order }),
		with("never", ReplicaUnreported, -1, func(r *ReplicaStatus) { r.CapacityMb, r.ReservedMb, r.Stage = 100, 30, "" }),
	}
	if diff := cmp.Diff(want, f.Replicas); diff != "" {
		t.Errorf("replicas of the fleet differ (-want +got):\n%s", diff)
	}
	if f.Version != 7 || len(f.Routes) != 1 || f.Routes[0].Source != nil || f.Leadership != nil {
		t.Errorf("fleet: got %+v, want version 7, one route without its source, and no leadership", f)
	}
	if diff := cmp.Diff([]ServiceStatus{{Name: "plain", MaxConnections: 9, Replicas: 1},
		{Name: "s", Models: 2, CapacityMb: 100, Replicas: 2}}, f.Services); diff != "" {
		t.Errorf("services of the fleet differ (-want +got):\n%s", diff)
	}
	if _, err := json.Marshal(c.Status(nowUs)); err != nil {
		t.Error(err)
	}
}
