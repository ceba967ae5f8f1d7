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
func (s Histogram) Add(spanUs int64) {
	at := 0
	if spanUs > 100 {
		at = min(maxBucket, int(math.Log(float64(spanUs)/100)/math.Log(bucketRatio))+1)
	}
	s[at]++
}

// Merge adds the counts of another spread.
func (s Histogram) Merge(o Histogram) {
	for at, n := range o {
		s[at] += n
	}
}

// Count is how many times were counted.
func (s Histogram) Count() uint64 {
	var sum uint64
	for _, n := range s {
		sum += n
	}
	return sum
}

// QuantileMs is the middle of the bucket that holds this part of all times. Those never seen to end
// count as mostMs: left out, they would make what serves nobody look quick.
func (s Histogram) QuantileMs(part float64, unseen uint64, mostMs float64) float64 {
	whole := s.Count() + unseen
	if whole == 0 {
		return 0
	}
	before := uint64(0)
	for at := 0; at <= maxBucket; at++ {
		before += s[at]
		if s[at] > 0 && float64(before) >= part*float64(whole) {
			return min(mostMs, 0.1*math.Pow(bucketRatio, float64(at)-0.5))
		}
	}
	return mostMs
}
