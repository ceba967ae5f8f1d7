//go:build !race

package storage

const raced = false
