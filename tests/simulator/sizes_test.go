package simulator

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
)

func example(t testing.TB, name string) *configuration.Declaration {
	t.Helper()
	raw, err := configuration.ReadFile("../../examples/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	doc, bad := configuration.Parse(raw, nil)
	if bad != nil {
		t.Fatal(bad)
	}
	return doc
}

func sized(t testing.TB, name string, seed int64) DeclaredPlan {
	p := plan(seed, 5)
	p.Doc, p.Replicas, p.UseDeclaredReplicas, p.CallsPerSecond = example(t, name), 9, true, 60
	p.Gateways = map[string]int{"vasilev": 8, "kaardilind": 7}[name]
	return p
}

func TestDaysAtTheUsersSizes(t *testing.T) {
	heavy(t)
	from, count := seeds(3)
	for _, name := range []string{"vasilev", "kaardilind"} {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("%s/seed-%d", name, seed), func(t *testing.T) {
				t.Parallel()
				out := judge(t, sized(t, name, int64(seed)))
				t.Logf("%d calls, %d ended, %d loads, %d events, %v", out.Calls, out.Ended, out.Loads, out.Events, out.Codes)
			})
		}
	}
}

// tenfold splits every model and adapter of a declaration into ten a tenth of its size.
func tenfold(d *configuration.Declaration) *configuration.Declaration {
	big := clone(*d)
	big.Models, big.Adapters = nil, nil
	for i := 0; i < 10; i++ {
		for _, m := range d.Models {
			m.Name, m.SizeMB, m.LoadMs = fmt.Sprintf("%s-%d", m.Name, i), m.SizeMB/10, m.LoadMs/10
			table := []configuration.CapacityPoint{}
			for _, row := range m.Capacity {
				row.CallsPerSecond /= 10
				table = append(table, row)
			}
			m.Capacity = table
			big.Models = append(big.Models, m)
		}
		for _, a := range d.Adapters {
			a.Name, a.Model, a.SizeMB, a.LoadMs = fmt.Sprintf("%s-%d", a.Name, i), fmt.Sprintf("%s-%d", a.Model, i), max(1, a.SizeMB/10), max(1, a.LoadMs/10)
			big.Adapters = append(big.Adapters, a)
		}
	}
	return &big
}

// A declaration ten times as large, that grew by many small changes.
func TestADayOnADeclarationGrownTenfold(t *testing.T) {
	heavy(t)
	p := sized(t, "kaardilind", 1)
	p.Doc, p.Steps, p.DurationUs, p.Faults = tenfold(p.Doc), 28, 10*second, DrawDeclaredFaults(1, 3, 10*second)
	out := judge(t, p)
	t.Logf("%d models, %d adapters: %d calls, %d ended, %d loads, %d events, %v", len(p.Doc.Models), len(p.Doc.Adapters), out.Calls, out.Ended, out.Loads, out.Events, out.Codes)
}
