//go:build race

package sim

const raced = true
