//go:build race

package chain

const raced = true
