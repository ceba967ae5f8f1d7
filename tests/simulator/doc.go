// Package simulator plays days of the whole system in one goroutine from a seed: the product's own reducers under a
// simulated network, simulated disks and clocks, with faults, and judges them by package rules. Its tests and the
// fleet command's compare call it. It never reads a real clock or sleeps, and a seed gives the same day every
// time.
package simulator
