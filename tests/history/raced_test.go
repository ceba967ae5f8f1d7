//go:build race

package history

const raced = true
