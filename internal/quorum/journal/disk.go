package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Disk is the file system interface of a Journal. Tests replace it to make
// writes and syncs fail.
type Disk interface {
	// MakeDir creates a directory and its parents if they don't exist.
	MakeDir(dir string) error
	// List returns the names of the files in a directory.
	List(dir string) ([]string, error)
	// Read returns the content of a file. If the file does not exist, the error
	// wraps os.ErrNotExist.
	Read(name string) ([]byte, error)
	// Create creates a file or truncates an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed files of a directory durable.
	SyncDir(dir string) error
	// Lock locks a directory against other processes until the result is closed.
	Lock(dir string) (io.Closer, error)
}

// File is a file that is written sequentially.
type File interface {
	io.Writer
	io.Closer
	// Sync makes the written data durable.
	Sync() error
}

// OS implements Disk with the file system of the operating system.
type OS struct{}

// MakeDir creates a directory that only the owner can access.
func (OS) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

// List returns the names of the files in a directory, sorted.
func (OS) List(dir string) ([]string, error) {
	es, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(es))
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read returns the content of a file.
func (OS) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates or truncates a file that only the owner can access.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file and replaces an existing target.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs a directory.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Lock takes an advisory lock on the file "lock" in dir. The operating system
// releases the lock when the process ends.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "data folder %s is in use by another process", dir)
	}
	return f, nil
}

// replaceFile atomically replaces a file: it writes the content under a temporary
// name, syncs it and renames it. It returns the file open for appending.
func replaceFile(d Disk, dir, name string, content []byte) (File, error) {
	temporary := filepath.Join(dir, name+temporarySuffix)
	f, err := d.Create(temporary)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = d.Rename(temporary, filepath.Join(dir, name))
	}
	if err == nil {
		err = d.SyncDir(dir)
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
