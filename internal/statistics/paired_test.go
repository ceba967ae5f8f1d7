package statistics

import (
	"math"
	"math/rand"
	"testing"
)

func TestPairedIntervalCoversTrueDifferenceIn95PercentOfRounds(t *testing.T) {
	r := rand.New(rand.NewSource(7))
	covered, insignificant := 0, 0
	const rounds = 2000
	for i := 0; i < rounds; i++ {
		var a, b, c []float64
		for j := 0; j < 8; j++ {
			base := r.NormFloat64() * 50
			a = append(a, base+r.NormFloat64())
			b = append(b, base+2+r.NormFloat64())
			c = append(c, base+r.NormFloat64())
		}
		if d := Paired(a, b); d.Low <= 2 && d.High >= 2 {
			covered++
		}
		if !Paired(a, c).Significant() {
			insignificant++
		}
	}
	for _, n := range []int{covered, insignificant} {
		if share := float64(n) / rounds; math.Abs(share-0.95) > 0.02 {
			t.Fatalf("fraction of rounds with a correct interval: got %.3f, want 0.95 within 0.02", share)
		}
	}
	if Paired([]float64{1, 2, 3}, []float64{1, 2, 3}).Significant() || Paired([]float64{1}, []float64{9}).Significant() {
		t.Fatal("got a significant difference for equal series or for a single pair, want none")
	}
}
