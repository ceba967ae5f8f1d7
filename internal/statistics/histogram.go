package statistics

import "math"

const (
	// bucketRatio is the ratio of a bucket's upper bound to that of the previous bucket. The first bucket ends at 100 microseconds.
	bucketRatio = 1.1
	// maxBucket is the index of the last bucket, which counts all longer durations.
	maxBucket = 160
)

// Histogram counts durations by the index of their bucket. Bucket widths grow exponentially, by a tenth from each to the next.
type Histogram map[int]uint64

// Add counts one duration, given in microseconds.
func (h Histogram) Add(durationUs int64) {
	bucket := 0
	if durationUs > 100 {
		bucket = min(maxBucket, int(math.Log(float64(durationUs)/100)/math.Log(bucketRatio))+1)
	}
	h[bucket]++
}

// Merge adds the counts of another histogram.
func (h Histogram) Merge(other Histogram) {
	for bucket, n := range other {
		h[bucket] += n
	}
}

// Count returns the number of counted durations.
func (h Histogram) Count() uint64 {
	var sum uint64
	for _, n := range h {
		sum += n
	}
	return sum
}

// QuantileMs returns a quantile in milliseconds: the middle of the bucket that contains it on a log scale, at most maxMs, and 0 without
// calls. quantile is between 0 and 1. The unfinished calls, whose end was not observed, count as maxMs: if they were left out,
// a system that completes no calls would look fast.
func (h Histogram) QuantileMs(quantile float64, unfinished uint64, maxMs float64) float64 {
	total := h.Count() + unfinished
	if total == 0 {
		return 0
	}
	cumulative := uint64(0)
	for bucket := 0; bucket <= maxBucket; bucket++ {
		cumulative += h[bucket]
		if h[bucket] > 0 && float64(cumulative) >= quantile*float64(total) {
			return min(maxMs, 0.1*math.Pow(bucketRatio, float64(bucket)-0.5))
		}
	}
	return maxMs
}
