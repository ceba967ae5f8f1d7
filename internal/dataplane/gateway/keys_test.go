package gateway

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// A gateway's key submission has the same JSON form as the state machine's change.
func TestKeySubmissionEncodesLikeStateMachineChange(t *testing.T) {
	for name, key := range map[string]wire.KeyChange{
		"claim":   {Key: "k", Gateway: "g", GatewayIncarnation: "g/1", Call: "g-1"},
		"end":     {Key: "k", Gateway: "g", GatewayIncarnation: "g/1", Call: "g-1", End: "yes"},
		"release": {Key: "k", Gateway: "g", GatewayIncarnation: "g/1", Call: "g-1", Release: true},
	} {
		t.Run(name, func(t *testing.T) {
			sent, err := json.Marshal(wire.KeySubmission{ID: "key-1", Key: &key})
			if err != nil {
				t.Fatal(err)
			}
			change := statemachine.Change{ID: "key-1", Key: &key}
			want, err := json.Marshal(change)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(sent)); diff != "" {
				t.Errorf("encoded submission differs (-want +got):\n%s", diff)
			}
			var read statemachine.Change
			if err := json.Unmarshal(sent, &read); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(change, read); diff != "" {
				t.Errorf("decoded change differs (-want +got):\n%s", diff)
			}
		})
	}
}
