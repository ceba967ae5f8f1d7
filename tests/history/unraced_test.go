//go:build !race

package history

const raced = false
