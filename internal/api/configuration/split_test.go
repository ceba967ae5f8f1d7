package configuration

import (
	"math"
	"math/rand"
	"testing"
)

// Services of a split are picked in proportion to their weights; a service of weight 0 is not picked.
func TestPickServiceFollowsWeights(t *testing.T) {
	const calls = 20_000
	route := &Route{Split: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}, {Service: "c", Weight: 25}}}
	r := rand.New(rand.NewSource(1))
	counts := map[string]int{}
	for range calls {
		counts[route.PickService(r.Uint64())]++
	}
	for _, part := range route.Split {
		want := float64(part.Weight) / 125
		if got := float64(counts[part.Service]) / calls; math.Abs(got-want) > 0.01 {
			t.Errorf("share of calls of service %s: got %.3f, want %.3f", part.Service, got, want)
		}
	}
}
