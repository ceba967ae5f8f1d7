package controller

import (
	"encoding/json"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// No content of replica reports and platform listings causes a panic or a negative amount of reserved capacity.
func FuzzReplicaReportAndPlatformListing(f *testing.F) {
	f.Add([]byte(`{"id":"r1","inc":"i","holds":[{"unit":"m","sizeMb":-900}],"last":{"number":7,"state":"done"}}`), []byte(`{"version":9,"replicas":[{"id":"r1","addr":"r1","roomMb":100,"slots":2,"state":"ready"}]}`))
	f.Add([]byte(`{"id":"r1","inc":"i","holds":[{"unit":"m","sizeMb":60},{"unit":"m","sizeMb":60}]}`), []byte(`{"version":9,"replicas":[{"id":"r1"},{"id":"r1"}]}`))
	f.Add([]byte(`{"id":"r2"}`), []byte(`{"version":18446744073709551615,"replicas":null}`))
	f.Fuzz(func(t *testing.T, state, list []byte) {
		r := newHarness(t, "one", newTestState())
		r.ignoreOrders = true
		r.advance(clock.Sec)
		report := &wire.ReplicaState{}
		if json.Unmarshal(state, report) == nil {
			r.dispatch(ReplicaReport{RequestedUs: r.nowUs, Replica: "r1", Addr: "r1", State: report})
		}
		listed := &wire.ReplicaList{}
		if json.Unmarshal(list, listed) == nil {
			r.dispatch(PlatformListing{List: listed})
		}
		r.advance(clock.Sec)
		for id, replica := range r.state.Replicas {
			if taken := r.state.ReservedMB(id); replica.CapacityMB > 0 && taken < 0 {
				t.Fatalf("reserved capacity of %s: got %d of %d MB, want at least 0", id, taken, replica.CapacityMB)
			}
		}
	})
}
