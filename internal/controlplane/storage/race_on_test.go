//go:build race

package storage

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = true
