package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"

	"petreltide/internal/api/fault"
)

// Letters of a formula. Each is what a run had, not what was asked for.
var Letters = []struct{ Letter, Meaning string }{
	{"N", "nodes that carry traffic (desks)"},
	{"R", "replicas"},
	{"M", "models"},
	{"A", "adapters"},
	{"K", "requests under way at a desk"},
	{"C", "changes of the configuration a second"},
	{"L", "loads of models a second"},
	{"B", "heartbeats a second from all replicas"},
	{"O", "offices; there is one a zone, so zones where each has its own"},
	{"P", "the other offices, O − 1"},
	{"F", "streams of frames that one office serves, 2N/O"},
	{"D", "replicas at which any desk has a request under way, R·(1 − e^(−N·K/R))"},
	{"E", "replicas at which the desks that report to one office have one, R·(1 − e^(−N·K/(O·R)))"},
	{"S", "replicas at which one desk has one, R·(1 − e^(−K/R))"},
}

// letter is the value of one letter of a formula; false where it stands for nothing.
func letter(c rune, z Size, beatS float64) (float64, bool) {
	n, r, k, o := float64(z.Gateways+z.RealGateways), float64(z.Replicas), float64(z.Running), float64(z.ControlNodes)
	nk := float64(z.Gateways) * k
	switch c {
	case 'N':
		return n, true
	case 'R':
		return r, true
	case 'M':
		return float64(z.Models), true
	case 'A':
		return float64(z.Adapters), true
	case 'K':
		return k, true
	case 'C':
		return z.ChangesPerS, true
	case 'L':
		return z.LoadsPerS, true
	case 'B':
		return beatS, true
	case 'O':
		return o, true
	case 'P':
		return o - 1, true
	case 'F':
		return 2 * n / o, true
	case 'D':
		return r * (1 - math.Exp(-nk/r)), true
	case 'E':
		return r * (1 - math.Exp(-nk/(o*r))), true
	case 'S':
		return r * (1 - math.Exp(-k/r)), true
	case '1':
		return 1, true
	}
	return 0, false
}

// term is a product such as "F·D" or "N·K/O".
func term(text string, z Size, beatS float64) (float64, *fault.Fault) {
	v, divide := 1.0, false
	for _, c := range text {
		switch c {
		case '·':
			divide = false
		case '/':
			divide = true
		default:
			x, ok := letter(c, z, beatS)
			if !ok {
				return 0, fault.New(fault.BadField, "formula", "%q in %q stands for nothing", c, text)
			}
			if divide {
				x = 1 / x
			}
			v *= x
		}
	}
	return v, nil
}

// Slope is one term of a fitted formula.
type Slope struct {
	Term  string
	Value float64
	Err   float64
}

// Fit is a formula fitted to runs: relative errors, the standard error of each slope, and the value elsewhere.
type Fit struct {
	Role, Quantity, Unit string
	Slopes               []Slope
	Runs                 int
	Axes                 []string
	RMS, Worst           float64
	cov                  *mat.Dense
}

// At is the formula's value and its standard error.
func (f *Fit) At(z Size, beatS float64) (value, err float64) {
	t := make([]float64, len(f.Slopes))
	for i, s := range f.Slopes {
		t[i], _ = term(s.Term, z, beatS)
		value += s.Value * t[i]
	}
	if f.cov == nil {
		return value, 0
	}
	variance := 0.0
	for i := range t {
		for j := range t {
			variance += t[i] * t[j] * f.cov.At(i, j)
		}
	}
	return value, math.Sqrt(max(0, variance))
}

func (f *Fit) String() string {
	parts := []string{}
	for _, s := range f.Slopes {
		text := figure(s.Value)
		if s.Term != "1" {
			text += "·" + s.Term
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, " + ")
}

// figure writes three digits.
func figure(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a < 1e-3:
		return strings.Replace(fmt.Sprintf("%.2e", v), "e-0", "e-", 1)
	case a < 1_000:
		text := fmt.Sprintf("%.*f", 2-int(math.Floor(math.Log10(a))), v)
		if strings.Contains(text, ".") {
			text = strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
		}
		return text
	}
	step := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-2)
	text := fmt.Sprintf("%.0f", math.Round(v/step)*step)
	for at := len(text) - 3; at > 0 && text[at-1] != '-'; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}

// exact writes a limit as it was set.
func exact(v float64) string {
	text := fmt.Sprintf("%g", v)
	if v >= 1_000 {
		text = fmt.Sprintf("%.0f", v)
	}
	for at := len(text) - 3; v >= 1_000 && at > 0; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}

// code is the commit that a run measured.
func (r *Run) code() string {
	for _, row := range r.Rows {
		if row.Role == "run" && row.Quantity == "code" {
			return row.Unit
		}
	}
	return "–"
}

// value of a quantity in a run; false where it was not measured.
func (r *Run) value(role, quantity string) (float64, bool) {
	for _, row := range r.Rows {
		if row.Role == role && row.Quantity == quantity {
			return row.Value, true
		}
	}
	return 0, false
}

// FitTo fits a formula by least squares of relative errors. No slope may be below zero: a term whose slope would
// be is left out, and so is one that the runs do not tell from nothing.
func FitTo(runs []*Run, role, quantity, unit string, terms []string, floor float64) (*Fit, *fault.Fault) {
	o := observed(runs, role, quantity, floor)
	f := &Fit{Role: role, Quantity: quantity, Unit: unit, Runs: len(o.runs), Axes: o.axes}
	if len(o.runs) == 0 {
		return f, nil
	}
	terms = append([]string(nil), terms...)
	for len(terms) > 0 {
		problem, bad := o.problem(terms)
		if bad != nil {
			return nil, bad
		}
		slopes, cov, ok := solve(problem.x, problem.b)
		if !ok {
			terms = terms[:len(terms)-1]
			continue
		}
		if drop := weakest(slopes, cov, terms); drop >= 0 {
			terms = append(terms[:drop], terms[drop+1:]...)
			continue
		}
		f.take(terms, slopes, cov, problem.scale)
		break
	}
	f.RMS, f.Worst = o.errors(f)
	return f, nil
}

// observations are the runs in which a quantity was measured, and its values there.
type observations struct {
	runs   []*Run
	values []float64
	axes   []string
	// floor is the least value that an error is taken relative to.
	floor float64
}

func observed(runs []*Run, role, quantity string, floor float64) *observations {
	o := &observations{runs: []*Run{}, values: []float64{}, axes: []string{}, floor: floor}
	for _, r := range runs {
		v, ok := r.value(role, quantity)
		if !ok {
			continue
		}
		o.runs, o.values = append(o.runs, r), append(o.values, v)
		if !slices.Contains(o.axes, r.Axis) {
			o.axes = append(o.axes, r.Axis)
		}
	}
	return o
}

// relativeTo is what an error of observation i is taken relative to.
func (o *observations) relativeTo(i int) float64 { return max(math.Abs(o.values[i]), o.floor) }

// leastSquares is a problem of ordinary least squares, x times the slopes near b. Each term's column is divided by
// its scale.
type leastSquares struct {
	x     *mat.Dense
	b     *mat.VecDense
	scale []float64
}

// problem weighs the observations so that their relative errors count alike.
func (o *observations) problem(terms []string) (*leastSquares, *fault.Fault) {
	scale, bad := o.scales(terms)
	if bad != nil {
		return nil, bad
	}
	p := &leastSquares{x: mat.NewDense(len(o.runs), len(terms), nil), b: mat.NewVecDense(len(o.runs), nil), scale: scale}
	for i, r := range o.runs {
		weight := 1 / o.relativeTo(i)
		p.b.SetVec(i, o.values[i]*weight)
		for j, text := range terms {
			v, _ := term(text, r.Size, r.BeatS)
			p.x.Set(i, j, v/scale[j]*weight)
		}
	}
	return p, nil
}

// scales are the largest values of terms in the runs, so that the columns of a problem are of one size.
func (o *observations) scales(terms []string) ([]float64, *fault.Fault) {
	scale := make([]float64, len(terms))
	for j, text := range terms {
		for _, r := range o.runs {
			v, bad := term(text, r.Size, r.BeatS)
			if bad != nil {
				return nil, bad
			}
			scale[j] = max(scale[j], math.Abs(v))
		}
		if scale[j] == 0 {
			scale[j] = 1
		}
	}
	return scale, nil
}

// take makes the solution of a scaled problem the formula's.
func (f *Fit) take(terms []string, slopes *mat.VecDense, cov *mat.Dense, scale []float64) {
	f.cov = mat.NewDense(len(terms), len(terms), nil)
	for i := range terms {
		for j := range terms {
			f.cov.Set(i, j, cov.At(i, j)/scale[i]/scale[j])
		}
	}
	for j, text := range terms {
		f.Slopes = append(f.Slopes, Slope{Term: text, Value: slopes.AtVec(j) / scale[j], Err: math.Sqrt(max(0, f.cov.At(j, j)))})
	}
}

// errors are the mean square and the worst of a formula's relative errors.
func (o *observations) errors(f *Fit) (rms, worst float64) {
	sum := 0.0
	for i, r := range o.runs {
		v, _ := f.At(r.Size, r.BeatS)
		e := math.Abs(v-o.values[i]) / o.relativeTo(i)
		sum += e * e
		worst = max(worst, e)
	}
	return math.Sqrt(sum / float64(len(o.runs))), worst
}

// weakest is the term with the lowest ratio of slope to standard error, where that is below one; the constant may
// stay at any ratio above nothing.
func weakest(slopes *mat.VecDense, cov *mat.Dense, terms []string) int {
	drop, lowest := -1, 1.0
	for j, text := range terms {
		ratio := slopes.AtVec(j) / math.Sqrt(max(cov.At(j, j), 1e-30))
		if slopes.AtVec(j) > 0 && (text == "1" || len(terms) == 1) {
			continue
		}
		if ratio < lowest {
			drop, lowest = j, ratio
		}
	}
	return drop
}

// solve is ordinary least squares with the covariance of the slopes.
func solve(x *mat.Dense, b *mat.VecDense) (*mat.VecDense, *mat.Dense, bool) {
	rows, cols := x.Dims()
	if rows < cols {
		return nil, nil, false
	}
	var normal mat.Dense
	normal.Mul(x.T(), x)
	var inverse mat.Dense
	if err := inverse.Inverse(&normal); err != nil {
		return nil, nil, false
	}
	var side, slopes mat.VecDense
	side.MulVec(x.T(), b)
	slopes.MulVec(&inverse, &side)
	var got mat.VecDense
	got.MulVec(x, &slopes)
	sum := 0.0
	for i := range rows {
		e := got.AtVec(i) - b.AtVec(i)
		sum += e * e
	}
	inverse.Scale(sum/float64(max(1, rows-cols)), &inverse)
	return &slopes, &inverse, true
}
