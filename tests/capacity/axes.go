package capacity

import (
	"fmt"
	"slices"

	"petreltide/internal/api/fault"
)

// Axis varies one thing over sizes that span ten times or more, and leaves the rest.
type Axis struct {
	Name  string
	Sizes []Size
}

func vary[T any](base Size, values []T, set func(*Size, T)) []Size {
	all := []Size{}
	for _, v := range values {
		z := base
		set(&z, v)
		all = append(all, z)
	}
	return all
}

// Part is a fraction of the target in everything at once; changes and loads stay often enough to be seen.
func Part(share float64) Size {
	scaled := func(n, least int) int { return max(least, int(float64(n)*share+0.5)) }
	z := Target
	z.ControlNodes, z.Gateways, z.Replicas = scaled(Target.ControlNodes, 3), scaled(Target.Gateways, 3), scaled(Target.Replicas, 10)
	z.Models, z.Adapters = scaled(Target.Models, 20), scaled(Target.Adapters, 20)
	z.ChangesPerS, z.LoadsPerS = max(0.4, Target.ChangesPerS*share), max(0.5, Target.LoadsPerS*share)
	z.RealGateways = 2
	return z
}

// Axes are all that a whole measurement plays.
func Axes() []Axis {
	many := Small
	many.Replicas = 300
	return []Axis{
		{"replicas", vary(Small, []int{30, 100, 300, 600, 1_000, 1_500, 3_000}, func(z *Size, n int) { z.Replicas = n })},
		{"desks", vary(Small, []int{10, 20, 40, 70, 100, 200, 410}, func(z *Size, n int) { z.Gateways = n })},
		{"models", vary(Small, []int{20, 60, 200, 600, 2_000}, func(z *Size, n int) { z.Models = n })},
		{"adapters", vary(Small, []int{100, 300, 1_000, 3_000, 10_000}, func(z *Size, n int) { z.Adapters = n })},
		{"running", vary(Small, []int{5, 15, 50, 150}, func(z *Size, n int) { z.Running = n })},
		{"changes", vary(Small, []float64{0.2, 0.7, 2, 7, 20}, func(z *Size, n float64) { z.ChangesPerS = n })},
		{"loads", vary(many, []float64{0.5, 1.5, 5, 15}, func(z *Size, n float64) { z.LoadsPerS = n })},
		{"heartbeats", vary(Small, []int{4_800, 1_200, 400, 120}, func(z *Size, n int) { z.HeartbeatMs = n })},
		{"offices", vary(Small, []int{3, 5, 7, 9, 13, 17, 30}, func(z *Size, n int) { z.ControlNodes = n })},
		{"together", vary(Small, []float64{0.01, 0.03, 0.05, 0.1, 0.2}, func(z *Size, n float64) { *z = Part(n) })},
	}
}

// Select gives the axes that are named, in their order; none named are all of them.
func Select(names []string) ([]Axis, *fault.Fault) {
	all := Axes()
	chosen := []Axis{}
	for _, a := range all {
		if len(names) == 0 || slices.Contains(names, a.Name) {
			chosen = append(chosen, a)
		}
	}
	known := []string{}
	for _, a := range all {
		known = append(known, a.Name)
	}
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, fault.New(fault.BadField, "axis", "%q is none of %v", n, known)
		}
	}
	return chosen, nil
}

// Plans are the runs of axes. Faults are caused where everything grows together.
func Plans(axes []Axis, base Plan) []Plan {
	all := []Plan{}
	for _, a := range axes {
		for _, z := range a.Sizes {
			p := base
			p.Axis, p.Size = a.Name, z
			if a.Name != "together" {
				p.Faults = nil
			}
			all = append(all, p)
		}
	}
	return all
}

func (a Axis) String() string { return fmt.Sprintf("%s (%d sizes)", a.Name, len(a.Sizes)) }
