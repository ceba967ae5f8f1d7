//go:build race

package simulator

const raced = true
