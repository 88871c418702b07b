package quorumtest

import (
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/pkg/errors"
)

// Disk is a journal.Disk in memory that tells synced from unsynced content, so
// that a test can play power losses and faulty disks. It is safe for concurrent
// use.
type Disk struct {
	mu sync.Mutex
	// names are the directory entries as processes see them, durable as a power
	// loss leaves them.
	names, durable map[string]*content
	failSyncs      int
	failAfter      int // operations until all fail, or -1
	lying          bool
}

type content struct {
	data   []byte
	synced int // bytes
}

type handle struct {
	disk *Disk
	file *content
}

var _ journal.Disk = (*Disk)(nil)

// ErrDisk is the error of a sync that FailSyncs made fail.
var ErrDisk = errors.New("input/output error")

// NewDisk returns an empty Disk.
func NewDisk() *Disk {
	return &Disk{names: make(map[string]*content), durable: make(map[string]*content), failAfter: -1}
}

// FailSyncs makes the next n syncs of files fail.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = n
}

// FailAfter makes all changes fail after the next n, as if the process had ended
// there. A negative n ends this.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failAfter = n
}

// change counts an operation and reports whether it fails.
func (d *Disk) change() error {
	if d.failAfter == 0 {
		return ErrDisk
	}
	if d.failAfter > 0 {
		d.failAfter--
	}
	return nil
}

// Lie makes syncs report success without doing anything, until it is called
// with false.
func (d *Disk) Lie(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lying = on
}

// PowerLoss drops what was not synced, except for a random part of the tail of
// each file.
func (d *Disk) PowerLoss(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = make(map[string]*content)
	for _, name := range sortedKeys(d.durable) {
		c := d.durable[name]
		kept := c.synced + random.IntN(len(c.data)-c.synced+1)
		c = &content{data: slices.Clone(c.data[:kept]), synced: kept}
		d.names[name], d.durable[name] = c, c
	}
}

// Wipe removes everything.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable = make(map[string]*content), make(map[string]*content)
}

// Copy returns a Disk with the same durable content.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	to := NewDisk()
	for name, c := range d.durable {
		n := &content{data: slices.Clone(c.data[:c.synced]), synced: c.synced}
		to.names[name], to.durable[name] = n, n
	}
	return to
}

// Edit replaces the content of a file, as a fault of the medium does.
func (d *Disk) Edit(name string, f func([]byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.names[name]
	c.data = f(slices.Clone(c.data))
	c.synced = len(c.data)
}

// Files returns the names of all files in order.
func (d *Disk) Files() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedKeys(d.names)
}

// MakeDir does nothing: directories need not exist.
func (d *Disk) MakeDir(string) error { return nil }

// List returns the names in a directory in order.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, name := range sortedKeys(d.names) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.names[filepath.Clean(name)]
	if !ok {
		return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return slices.Clone(c.data), nil
}

// Create creates or empties a file.
func (d *Disk) Create(name string) (journal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return nil, err
	}
	c := &content{}
	d.names[filepath.Clean(name)] = c
	return &handle{disk: d, file: c}, nil
}

// Rename replaces to by from.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	c, ok := d.names[filepath.Clean(from)]
	if !ok {
		return &os.PathError{Op: "rename", Path: from, Err: os.ErrNotExist}
	}
	d.names[filepath.Clean(to)] = c
	delete(d.names, filepath.Clean(from))
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	delete(d.names, filepath.Clean(name))
	return nil
}

// SyncDir makes the names in a directory durable.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	if d.lying {
		return nil
	}
	dir = filepath.Clean(dir)
	for name := range d.durable {
		if filepath.Dir(name) == dir && d.names[name] == nil {
			delete(d.durable, name)
		}
	}
	for name, c := range d.names {
		if filepath.Dir(name) == dir {
			d.durable[name] = c
		}
	}
	return nil
}

// Lock does not lock: one process uses the Disk.
func (d *Disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (h *handle) Write(b []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.change(); err != nil {
		return 0, err
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.change(); err != nil {
		return err
	}
	if h.disk.failSyncs > 0 {
		h.disk.failSyncs--
		return ErrDisk
	}
	if !h.disk.lying {
		h.file.synced = len(h.file.data)
	}
	return nil
}

func (h *handle) Close() error { return nil }

func sortedKeys(m map[string]*content) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
