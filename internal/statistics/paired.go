package statistics

import "math"

// PairedDifference is the mean of the paired differences b-a with its 95% confidence interval, from Low to High.
type PairedDifference struct {
	Mean, Low, High float64
	Pairs           int
}

// Significant reports whether the confidence interval excludes zero. It is false for fewer than two pairs.
func (d PairedDifference) Significant() bool { return d.Pairs > 1 && (d.Low > 0 || d.High < 0) }

// studentT has the 97.5% quantiles of Student's t-distribution by degrees of freedom. Beyond the list, the quantile of the normal
// distribution is close enough.
var studentT = []float64{0, 12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
	2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042}

// Paired returns the difference of two series, pair by pair. Values of the longer series without a counterpart are left out. The
// interval of a single pair is infinite.
func Paired(a, b []float64) PairedDifference {
	n := min(len(a), len(b))
	d := PairedDifference{Pairs: n}
	if n == 0 {
		return d
	}
	for i := 0; i < n; i++ {
		d.Mean += (b[i] - a[i]) / float64(n)
	}
	if n == 1 {
		d.Low, d.High = math.Inf(-1), math.Inf(1)
		return d
	}
	squares := 0.0
	for i := 0; i < n; i++ {
		deviation := b[i] - a[i] - d.Mean
		squares += deviation * deviation
	}
	t := 1.96
	if n-1 < len(studentT) {
		t = studentT[n-1]
	}
	halfWidth := t * math.Sqrt(squares/float64(n-1)/float64(n))
	d.Low, d.High = d.Mean-halfWidth, d.Mean+halfWidth
	return d
}

// Mean returns the arithmetic mean, 0 for no values.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}
