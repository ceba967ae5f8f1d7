package experiment

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
)

// Variant is the program with some of its mechanisms switched off. The first of an experiment is what others are
// compared with.
type Variant struct {
	Name    string
	Disable feature.Disabled
}

// ParseVariant reads NAME=MECHANISM,MECHANISM; with nothing behind the sign all mechanisms are on.
func ParseVariant(text string) (Variant, *fault.Fault) {
	name, list, found := strings.Cut(text, "=")
	if !found || name == "" {
		return Variant{}, fault.New(fault.BadSettings, "variant", "%q is not NAME=MECHANISM,...", text)
	}
	v := Variant{Name: name}
	if list != "" {
		for _, gate := range strings.Split(list, ",") {
			v.Disable = append(v.Disable, feature.Gate(gate))
		}
	}
	return v, v.Disable.Check()
}

// Day is one day of a site, with the seed of its luck; seed 0 is the day's own.
type Day struct {
	Site string
	Name string
	Seed int64
}

func (d Day) String() string { return fmt.Sprintf("%s %s seed %d", d.Site, d.Name, d.Seed) }

// Result is what came of one day under one variant. Worth is the part of what was owed that was earned, less prices.
type Result struct {
	Variant string
	Day     Day
	Worth   float64
	Served  float64
	Broken  int
}

// Player plays one day under one variant.
type Player interface {
	Play(ctx context.Context, v Variant, d Day) (Result, error)
}

// Plan is what an experiment plays: each variant on each day, Jobs at a time.
type Plan struct {
	Variants []Variant
	Days     []Day
	Jobs     int
}

// Run plays a plan. A day that could not be played under some variant is left out, and its error is among those that
// are returned.
func Run(ctx context.Context, plan Plan, player Player) (results []Result, errs []error) {
	type task struct {
		variant Variant
		day     Day
	}
	tasks := make(chan task)
	var mu sync.Mutex
	var players sync.WaitGroup
	for range max(1, plan.Jobs) {
		players.Go(func() {
			for t := range tasks {
				r, err := player.Play(ctx, t.variant, t.day)
				mu.Lock()
				if err != nil {
					errs = append(errs, fmt.Errorf("%s, %s: %w", t.variant.Name, t.day, err))
				} else {
					results = append(results, r)
				}
				mu.Unlock()
			}
		})
	}
	for _, day := range plan.Days {
		for _, variant := range plan.Variants {
			tasks <- task{variant, day}
		}
	}
	close(tasks)
	players.Wait()
	return results, errs
}
