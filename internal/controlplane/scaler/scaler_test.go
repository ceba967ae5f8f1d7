package scaler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
)

// table returns capacity points for 1, 2, ... replicas from pairs of calls per second and latency in ms.
func table(points ...float64) []configuration.CapacityPoint {
	out := []configuration.CapacityPoint{}
	for i := 0; i+1 < len(points); i += 2 {
		out = append(out, configuration.CapacityPoint{Replicas: i/2 + 1, CallsPerSecond: points[i], LatencyMs: int64(points[i+1])})
	}
	return out
}

func TestChooseFollowsPublishedRule(t *testing.T) {
	long := table(10, 400, 20, 300, 30, 200, 40, 195)
	for _, c := range []struct {
		name         string
		table        []configuration.CapacityPoint
		rate         float64
		maxReplicas  int
		tolerancePct int
		want         int
		covers       bool
	}{
		{"lowest latency that covers the rate", long, 15, 9, 0, 4, true},
		{"fewer replicas at similar latency", long, 15, 9, 5, 3, true},
		{"low latency without enough throughput is skipped", table(10, 100, 20, 300), 15, 9, 0, 2, true},
		{"highest throughput if no count covers the rate", long, 900, 9, 0, 4, false},
		{"fewer replicas at equal throughput if no count covers the rate", table(10, 400, 10, 300), 900, 9, 0, 1, false},
		{"fewer replicas than table rows", long, 15, 2, 0, 2, true},
		{"similar latency without enough throughput is skipped", table(10, 100, 20, 100), 15, 9, 50, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, covers := Choose(c.table, c.rate, c.maxReplicas, c.tolerancePct)
			if p.Replicas != c.want || covers != c.covers {
				t.Fatalf("Choose: got %d replicas (covers %v), want %d (covers %v)", p.Replicas, covers, c.want, c.covers)
			}
		})
	}
	if _, ok := Choose(long, 1, 0, 0); ok {
		t.Fatal("Choose with at most 0 replicas: got a covering count, want none")
	}
}

// newInput returns an input with equal models and replicas; each replica has room for ten models.
func newInput(models, replicas, spares int) Input {
	in := Input{Doc: &configuration.Declaration{Scaler: configuration.Scaler{StandbyReplicas: spares}}, Rates: map[string]float64{}, Waiting: map[string]int{}}
	for i := 0; i < models; i++ {
		in.Doc.Models = append(in.Doc.Models, configuration.Model{
			Name: fmt.Sprintf("m%d", i), SizeMB: 10, Weight: 1, Capacity: table(10, 400, 20, 300, 30, 200, 40, 195),
		})
	}
	for i := 0; i < replicas; i++ {
		in.Usable = append(in.Usable, Replica{ID: fmt.Sprintf("r%d", i), CapacityMb: 100})
	}
	return in
}

// counts returns the replica counts of Decide by model.
func counts(in Input) map[string]int {
	out := map[string]int{}
	for _, c := range Decide(in) {
		out[c.Model] = c.Replicas
	}
	return out
}

func TestDecideKeepsSparesWithinCapacity(t *testing.T) {
	in := newInput(1, 4, 2)
	in.Rates["m0"] = 35
	if diff := cmp.Diff(map[string]int{"m0": 2}, counts(in)); diff != "" {
		t.Fatal("counts with 4 replicas, 2 of them spares (-want +got):", diff)
	}
	in = newInput(1, 6, 2)
	in.Rates["m0"] = 35
	if diff := cmp.Diff(map[string]int{"m0": 4}, counts(in)); diff != "" {
		t.Fatal("counts after 2 replicas joined (-want +got):", diff)
	}
	in.Usable = in.Usable[:3]
	if diff := cmp.Diff(map[string]int{"m0": 1}, counts(in)); diff != "" {
		t.Fatal("counts after replicas left (-want +got):", diff)
	}
	in = newInput(12, 1, 0)
	in.Rates["m11"] = 5
	got := counts(in)
	placed := 0
	for _, n := range got {
		placed += n
	}
	if placed != 10 || got["m11"] != 1 {
		t.Fatalf("counts with capacity for 10 of 12 models: got %v, %d in total; want 10 in total and 1 for m11", got, placed)
	}
	in = newInput(1, 3, 0)
	in.Doc.Models[0].Weight = 0
	if diff := cmp.Diff(map[string]int{"m0": 0}, counts(in)); diff != "" {
		t.Fatal("counts of a model without weight and demand (-want +got):", diff)
	}
	in.Waiting["m0"] = 3
	if counts(in)["m0"] == 0 {
		t.Fatal("count of a model with 3 waiting calls: got 0, want at least 1")
	}
}

func TestDecideRunsWellBelowOneSecond(t *testing.T) {
	in := newInput(30, 9, 2)
	for i := range in.Doc.Models {
		in.Rates[in.Doc.Models[i].Name] = float64(i)
	}
	fastest := time.Hour
	for i := 0; i < 20; i++ {
		start := time.Now()
		Decide(in)
		fastest = min(fastest, time.Since(start))
	}
	t.Logf("fastest of 20 decisions for 30 models and 9 replicas: %v", fastest)
	if fastest > time.Second/2 {
		t.Fatalf("fastest of 20 decisions: got %v, want at most %v", fastest, time.Second/2)
	}
}
