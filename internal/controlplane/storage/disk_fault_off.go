//go:build !diskfaults

package storage

// beforeSync does nothing in a build without the tag diskfaults.
func (s *Store) beforeSync() error { return nil }
