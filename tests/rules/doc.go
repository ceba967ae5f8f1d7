// Package rules judges what callers, replicas and operators saw: each rule that must never be broken is a function
// from journals to breaches, and counts how often it was at stake. The simulator and the fleets call it. It never
// looks into the product, so that it can judge any implementation.
package rules
