package capacity

import (
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"petreltide/internal/api/fault"
)

// along is where a run stands on its axis.
func along(r *Run) float64 {
	z := r.Size
	switch r.Axis {
	case "replicas":
		return float64(z.Replicas)
	case "models":
		return float64(z.Models)
	case "adapters":
		return float64(z.Adapters)
	case "running":
		return float64(z.Running)
	case "changes":
		return z.ChangesPerS
	case "loads":
		return z.LoadsPerS
	case "heartbeats":
		return r.BeatS
	case "offices":
		return float64(z.ControlNodes)
	}
	return float64(z.Gateways)
}

func unitOf(axis string) string {
	switch axis {
	case "changes":
		return "changes a second"
	case "loads":
		return "loads a second"
	case "heartbeats":
		return "heartbeats a second"
	case "running":
		return "requests under way at a desk"
	case "together":
		return "desks, with everything else in proportion"
	}
	return axis
}

// drawing is one plot along every axis: a quantity of some roles.
type drawing struct {
	file, quantity, label string
	roles                 []string
}

var drawn = []drawing{
	{"processor", "processor", "cores", []string{"controller", "member", "tail", "desk"}},
	{"memory", "memory", "MB", []string{"controller", "member", "tail", "desk"}},
	{"bytes-out", "bytes out", "B/s", []string{"controller", "member", "tail"}},
}

// The size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plots draws processor, memory and bytes of each role along each axis, both scales logarithmic.
func Plots(folder string, runs []*Run) error {
	axes := []string{}
	for _, r := range runs {
		if !slices.Contains(axes, r.Axis) && r.Axis != "one" {
			axes = append(axes, r.Axis)
		}
	}
	for _, axis := range axes {
		drawnRuns := firstOf(runs, axis)
		for _, d := range drawn {
			if err := d.save(folder, axis, drawnRuns); err != nil {
				return err
			}
		}
	}
	return nil
}

// firstOf are the runs along an axis of the first commit that was measured there.
func firstOf(runs []*Run, axis string) []*Run {
	code := ""
	for _, c := range slices.Backward(codesOf(runs)) {
		if slices.ContainsFunc(runs, func(r *Run) bool { return r.Axis == axis && r.code() == c }) {
			code = c
		}
	}
	of := []*Run{}
	for _, r := range runs {
		if r.Axis == axis && r.code() == code {
			of = append(of, r)
		}
	}
	return of
}

// save draws a plot, unless no role has two points.
func (d drawing) save(folder, axis string, runs []*Run) error {
	lines := []any{}
	for _, role := range d.roles {
		if points := d.points(role, runs); len(points) > 1 {
			lines = append(lines, role, points)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = d.quantity + " of each role"
	p.X.Label.Text, p.Y.Label.Text = unitOf(axis), d.label
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Trace(err)
	}
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, axis+"-"+d.file+".svg")); err != nil {
		return fault.New(fault.DataNotWritable, folder, "%v", err)
	}
	return nil
}

// points are where the runs stand on their axis and what a role used there, by place.
func (d drawing) points(role string, runs []*Run) plotter.XYs {
	points := plotter.XYs{}
	for _, r := range runs {
		if v, ok := r.value(role, d.quantity); ok && v > 0 && along(r) > 0 {
			points = append(points, plotter.XY{X: along(r), Y: v})
		}
	}
	slices.SortFunc(points, func(a, b plotter.XY) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	return points
}
