package scaler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
)

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
		{"covers the rate at the lowest latency", long, 15, 9, 0, 4, true},
		{"similar latency takes fewer", long, 15, 9, 5, 3, true},
		{"a fast count that does not cover is passed over", table(10, 100, 20, 300), 15, 9, 0, 2, true},
		{"nothing covers: most throughput", long, 900, 9, 0, 4, false},
		{"nothing covers and throughput is level: fewer", table(10, 400, 10, 300), 900, 9, 0, 1, false},
		{"fewer instances than the table", long, 15, 2, 0, 2, true},
		{"similar but not covering does not count", table(10, 100, 20, 100), 15, 9, 50, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, covers := Choose(c.table, c.rate, c.maxReplicas, c.tolerancePct)
			if p.Replicas != c.want || covers != c.covers {
				t.Fatalf("chose %d (covers %v), want %d (%v)", p.Replicas, covers, c.want, c.covers)
			}
		})
	}
	if _, ok := Choose(long, 1, 0, 0); ok {
		t.Fatal("chose a count of no instances")
	}
}

func fleetOf(models, replicas, spares int) Input {
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

func counts(in Input) map[string]int {
	out := map[string]int{}
	for _, c := range Decide(in) {
		out[c.Model] = c.Replicas
	}
	return out
}

func TestDecideKeepsSparesWithinCapacity(t *testing.T) {
	in := fleetOf(1, 4, 2)
	in.Rates["m0"] = 35
	if diff := cmp.Diff(map[string]int{"m0": 2}, counts(in)); diff != "" {
		t.Fatal("two of four are spares:", diff)
	}
	in = fleetOf(1, 6, 2)
	in.Rates["m0"] = 35
	if diff := cmp.Diff(map[string]int{"m0": 4}, counts(in)); diff != "" {
		t.Fatal("new replicas are counted at once:", diff)
	}
	in.Usable = in.Usable[:3]
	if diff := cmp.Diff(map[string]int{"m0": 1}, counts(in)); diff != "" {
		t.Fatal("leaving ones are not:", diff)
	}
	in = fleetOf(12, 1, 0)
	in.Rates["m11"] = 5
	got := counts(in)
	placed := 0
	for _, n := range got {
		placed += n
	}
	if placed != 10 || got["m11"] != 1 {
		t.Fatalf("room for ten, the one in demand among them, got %v", got)
	}
	in = fleetOf(1, 3, 0)
	in.Doc.Models[0].Weight = 0
	if diff := cmp.Diff(map[string]int{"m0": 0}, counts(in)); diff != "" {
		t.Fatal("no weight, no demand, no copy:", diff)
	}
	in.Waiting["m0"] = 3
	if counts(in)["m0"] == 0 {
		t.Fatal("waiting calls are demand")
	}
}

func TestDecideRunsWellBelowOneSecond(t *testing.T) {
	in := fleetOf(30, 9, 2)
	for i := range in.Doc.Models {
		in.Rates[in.Doc.Models[i].Name] = float64(i)
	}
	fastest := time.Hour
	for i := 0; i < 20; i++ {
		start := time.Now()
		Decide(in)
		fastest = min(fastest, time.Since(start))
	}
	t.Logf("30 models over 9 replicas: %v", fastest)
	if fastest > time.Second/2 {
		t.Fatalf("the search takes %v", fastest)
	}
}
