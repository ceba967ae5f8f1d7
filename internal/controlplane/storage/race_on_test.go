//go:build race

package storage

const raced = true
