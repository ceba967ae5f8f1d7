//go:build !diskfaults

package storage

func (s *Store) beforeSync() error { return nil }
