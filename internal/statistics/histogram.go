package statistics

import "math"

const (
	// bucketRatio is how much wider a bucket is than the one before; the first ends at 100 microseconds.
	bucketRatio = 1.1
	// maxBucket is the last bucket, which takes all longer times.
	maxBucket = 160
)

// Histogram counts times in buckets, each a tenth wider than the one before.
type Histogram map[int]uint64

// Add counts one time.
func (h Histogram) Add(durationUs int64) {
	bucket := 0
	if durationUs > 100 {
		bucket = min(maxBucket, int(math.Log(float64(durationUs)/100)/math.Log(bucketRatio))+1)
	}
	h[bucket]++
}

// Merge adds the counts of another spread.
func (h Histogram) Merge(other Histogram) {
	for bucket, n := range other {
		h[bucket] += n
	}
}

// Count is how many times were counted.
func (h Histogram) Count() uint64 {
	var sum uint64
	for _, n := range h {
		sum += n
	}
	return sum
}

// QuantileMs is the middle of the bucket that holds this part of all times. Those never seen to end
// count as maxMs: left out, they would make what serves nobody look quick.
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
