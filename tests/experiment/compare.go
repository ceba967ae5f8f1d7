package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is how sure an interval is.
const confidence = 0.95

// Difference is how a variant's worth differs from the first one's on the same days: the median and the mean of the
// pairs, and the interval of the mean by Student's t. With fewer than two pairs there is no interval, and Low and High
// are infinite.
type Difference struct {
	Variant   string
	Pairs     int
	Median    float64
	Mean      float64
	Low, High float64
}

// Differs says whether the interval leaves out that there is no difference.
func (d Difference) Differs() bool { return d.Low > 0 || d.High < 0 }

func (d Difference) String() string {
	verdict := "no difference seen"
	if d.Differs() {
		verdict = "differs"
	}
	return fmt.Sprintf("%-24s %3d pairs, median %+.4f, mean %+.4f in [%+.4f, %+.4f]: %s", d.Variant, d.Pairs, d.Median, d.Mean, d.Low, d.High, verdict)
}

// Compare pairs each further variant's results with those of the first on the same days.
func Compare(plan Plan, results []Result) []Difference {
	value := map[string]map[Day]float64{}
	for _, r := range results {
		if value[r.Variant] == nil {
			value[r.Variant] = map[Day]float64{}
		}
		value[r.Variant][r.Day] = r.Worth
	}
	all := []Difference{}
	for _, v := range plan.Variants[1:] {
		pairs := []float64{}
		for _, day := range plan.Days {
			base, played := value[plan.Variants[0].Name][day]
			other, too := value[v.Name][day]
			if played && too {
				pairs = append(pairs, other-base)
			}
		}
		all = append(all, difference(v.Name, pairs))
	}
	return all
}

func difference(variant string, pairs []float64) Difference {
	d := Difference{Variant: variant, Pairs: len(pairs), Low: math.Inf(-1), High: math.Inf(1)}
	if len(pairs) == 0 {
		return d
	}
	slices.Sort(pairs)
	d.Median = stat.Quantile(0.5, stat.LinInterp, pairs, nil)
	if len(pairs) == 1 {
		d.Mean = pairs[0]
		return d
	}
	mean, deviation := stat.MeanStdDev(pairs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(pairs) - 1)}.Quantile(0.5 + confidence/2)
	margin := t * stat.StdErr(deviation, float64(len(pairs)))
	d.Mean, d.Low, d.High = mean, mean-margin, mean+margin
	return d
}

// WriteCSV writes a line for each result.
func WriteCSV(to io.Writer, results []Result) error {
	out := csv.NewWriter(to)
	if err := out.Write([]string{"variant", "site", "day", "seed", "worth", "served", "broken"}); err != nil {
		return err
	}
	for _, r := range results {
		line := []string{
			r.Variant, r.Day.Site, r.Day.Name, strconv.FormatInt(r.Day.Seed, 10),
			strconv.FormatFloat(r.Worth, 'f', 4, 64), strconv.FormatFloat(r.Served, 'f', 4, 64), strconv.Itoa(r.Broken),
		}
		if err := out.Write(line); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
