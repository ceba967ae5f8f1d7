package configuration

import (
	"encoding/json"
	"testing"

	"petreltide/internal/api/fault"
)

func FuzzDeclarationsAndPatches(f *testing.F) {
	good := `{"name":"n","zones":["a"],"replica":{"roomMb":9},"store":{"loads":1,"mbPerSecond":1,"burstMb":9},"scaler":{"windowMs":500},"policy":{"name":"p","source":"s"},"kinds":[{"name":"k","urgency":1,"expiryMs":100}],"models":[{"name":"m","sizeMb":3,"loadMs":1,"table":[{"replicas":1,"perSecond":1,"latencyMs":1}]}]}`
	f.Add([]byte(good), []byte(`{"models":null}`))
	f.Add([]byte(`{"name":7}`), []byte(`[]`))
	f.Add([]byte(good+good), []byte(`{"zones":["a","a"]}`))
	f.Fuzz(func(t *testing.T, raw, patch []byte) {
		d, bad := Parse(raw, nil)
		if bad != nil {
			if bad.Code == "" {
				t.Fatalf("Parse: got fault %v without a code", bad)
			}
			return
		}
		again, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, bad := Parse(again, nil); bad != nil {
			t.Fatalf("Parse of the encoded declaration: got %v, want nil", bad)
		}
		merged, bad := Merge(d, patch)
		if bad != nil {
			if bad.Code != fault.BadJSON {
				t.Fatalf("Merge: got %v, want %s", bad, fault.BadJSON)
			}
			return
		}
		_, _ = Parse(merged, nil)
	})
}
