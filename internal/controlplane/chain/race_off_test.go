//go:build !race

package chain

// raceEnabled reports whether the tests run with the race detector, which makes them run fewer cases.
const raceEnabled = false
