// Command fleet runs the tests that need more than go test: fleets of real processes with faults, long runs from
// a seed, days of the users' platform, comparisons of policies, and measurements of capacity. It is never part of
// the product.
package main
