package configuration

import (
	"math"
	"math/rand"
	"testing"
)

// Each part of a split gets its share of the calls by its weight, and one of weight 0 none.
func TestEachPartOfASplitGetsItsShare(t *testing.T) {
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
			t.Errorf("%s gets %.3f of the calls, want %.3f", part.Service, got, want)
		}
	}
}
