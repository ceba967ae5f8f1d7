package simulator

import (
	"slices"
	"testing"
)

// A seed is one day: what breaks under it once breaks again, and what a change mends stays mended.
func TestASeedIsOneDay(t *testing.T) {
	heavy(t)
	const plays = 3
	for name, p := range map[string]RoutedPlan{"slow store": slowStoreDay(1), "faults": routedPlan(24, 7)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := RunRouted(p)
			for range plays - 1 {
				again := RunRouted(p)
				if again.Events != first.Events || again.Attempts != first.Attempts || !slices.Equal(again.Log, first.Log) {
					t.Fatalf("%d events and %d tries, and then %d and %d", first.Events, first.Attempts, again.Events, again.Attempts)
				}
			}
		})
	}
}
