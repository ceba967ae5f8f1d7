// Package statistics has the statistics of comparisons: histograms of durations, and paired differences with their confidence
// interval. Packages scheduling and comparison use it. Histograms keep no samples, only buckets, and their quantiles include
// calls whose end was not observed.
package statistics
