package simulator

import (
	"sync"
	"testing"
)

type carried struct {
	times   float64
	ended   float64
	byKind  map[string]float64
	expired int
}

// Goodput under a crowd stays near the peak, the urgent get more of it, and no kind gets nothing.
func TestGoodputUnderACrowd(t *testing.T) {
	heavy(t)
	results := make([]carried, 3)
	var group sync.WaitGroup
	for i, times := range []float64{1, 8, 16} {
		group.Add(1)
		go func() {
			defer group.Done()
			out := RunDeclaredWithBaseline(DeclaredPlan{Seed: 3, ControlNodes: 3, Gateways: 3, Replicas: 5, DurationUs: 5 * second, CallsPerSecond: 60 * times, UseDeclaredReplicas: true})
			c := carried{times: times, byKind: map[string]float64{}}
			for _, told := range out.Results {
				if told.Complete {
					c.ended += 0.2
					c.byKind[told.Kind] += 0.2
				}
				if told.Code == "expired" {
					c.expired++
				}
			}
			if len(out.Breaches) > 0 {
				t.Error(out.Breaches)
			}
			results[i] = c
		}()
	}
	group.Wait()
	peak := 0.0
	for i, c := range results {
		t.Logf("x%.0f: %.0f calls/s ended, by kind %v", c.times, c.ended, c.byKind)
		if c.ended < 0.8*peak {
			t.Errorf("x%.0f carries %.0f calls/s, less demand carried %.0f", c.times, c.ended, peak)
		}
		peak = max(peak, c.ended)
		if i == 0 {
			continue
		}
		if c.byKind["fixes"] < 2*c.byKind["pages"] || c.byKind["pages"] < 0.03*c.ended {
			t.Errorf("x%.0f: %v", c.times, c.byKind)
		}
	}
}
