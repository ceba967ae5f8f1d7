package storage

import (
	"io"
	"os"
)

// fileSystem is the file system interface that the store uses. Tests replace it to inject errors and power losses.
type fileSystem interface {
	MkdirAll(path string) error
	DirNames(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	Size(path string) (int64, error)
	Create(path string) (file, error)
	Append(path string) (file, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error
}

// file is an open file that the store appends to.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// osFileSystem implements fileSystem with package os.
type osFileSystem struct{}

func (osFileSystem) MkdirAll(path string) error { return os.MkdirAll(path, 0o755) }

func (osFileSystem) DirNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) Size(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (osFileSystem) Create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o640)
}

func (osFileSystem) Append(path string) (file, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

func (osFileSystem) Truncate(path string, size int64) error { return os.Truncate(path, size) }

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
