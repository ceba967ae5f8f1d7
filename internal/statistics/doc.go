// Package statistics holds the statistics of comparisons: histograms of times, and paired differences with their
// confidence interval. Packages scheduling and comparison call it. It keeps no samples, only buckets, and never
// drops a call that was not seen to end.
package statistics
