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

// Disk is a journal.Disk in memory that distinguishes synced from unsynced content,
// to simulate power losses and faulty disks. It is safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// visible holds the directory entries as processes see them, durable those that
	// survive a power loss.
	visible, durable map[string]*content
	failSyncs        int
	failAfter        int // number of changes until all further ones fail, or -1
	ignoreSyncs      bool
}

type content struct {
	data   []byte
	synced int // bytes
}

type openFile struct {
	disk *Disk
	file *content
}

var _ journal.Disk = (*Disk)(nil)

// ErrDisk is the error of operations that FailSyncs or FailAfter made fail.
var ErrDisk = errors.New("input/output error")

// NewDisk returns an empty Disk.
func NewDisk() *Disk {
	return &Disk{visible: make(map[string]*content), durable: make(map[string]*content), failAfter: -1}
}

// FailSyncs makes the next n syncs of files fail.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = n
}

// FailAfter makes all changes after the next n fail, as if the process had ended
// there. A negative n removes the limit.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failAfter = n
}

// injectFault counts a change. It returns ErrDisk if FailAfter makes it fail.
func (d *Disk) injectFault() error {
	if d.failAfter == 0 {
		return ErrDisk
	}
	if d.failAfter > 0 {
		d.failAfter--
	}
	return nil
}

// IgnoreSyncs sets whether syncs report success without making anything durable.
func (d *Disk) IgnoreSyncs(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreSyncs = on
}

// PowerLoss drops unsynced content, except for the start of the unsynced tail of
// each file, whose length is random.
func (d *Disk) PowerLoss(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.visible = make(map[string]*content)
	for _, name := range sortedKeys(d.durable) {
		c := d.durable[name]
		kept := c.synced + random.IntN(len(c.data)-c.synced+1)
		c = &content{data: slices.Clone(c.data[:kept]), synced: kept}
		d.visible[name], d.durable[name] = c, c
	}
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.visible, d.durable = make(map[string]*content), make(map[string]*content)
}

// Copy returns a new Disk that holds the durable content of d.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := NewDisk()
	for name, c := range d.durable {
		copied := &content{data: slices.Clone(c.data[:c.synced]), synced: c.synced}
		result.visible[name], result.durable[name] = copied, copied
	}
	return result
}

// Edit replaces the synced content of a file with the result of f, to simulate a
// media fault.
func (d *Disk) Edit(name string, f func([]byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.visible[name]
	c.data = f(slices.Clone(c.data))
	c.synced = len(c.data)
}

// Files returns the names of all files, sorted.
func (d *Disk) Files() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedKeys(d.visible)
}

// MakeDir does nothing: files can be created without their directory.
func (d *Disk) MakeDir(string) error { return nil }

// List returns the names of the files in a directory, sorted.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, name := range sortedKeys(d.visible) {
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
	c, ok := d.visible[filepath.Clean(name)]
	if !ok {
		return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return slices.Clone(c.data), nil
}

// Create creates a file or truncates an existing one.
func (d *Disk) Create(name string) (journal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFault(); err != nil {
		return nil, err
	}
	c := &content{}
	d.visible[filepath.Clean(name)] = c
	return &openFile{disk: d, file: c}, nil
}

// Rename renames a file and replaces an existing target.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFault(); err != nil {
		return err
	}
	c, ok := d.visible[filepath.Clean(from)]
	if !ok {
		return &os.PathError{Op: "rename", Path: from, Err: os.ErrNotExist}
	}
	d.visible[filepath.Clean(to)] = c
	delete(d.visible, filepath.Clean(from))
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFault(); err != nil {
		return err
	}
	delete(d.visible, filepath.Clean(name))
	return nil
}

// SyncDir makes created, renamed and removed files of a directory durable.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.injectFault(); err != nil {
		return err
	}
	if d.ignoreSyncs {
		return nil
	}
	dir = filepath.Clean(dir)
	for name := range d.durable {
		if filepath.Dir(name) == dir && d.visible[name] == nil {
			delete(d.durable, name)
		}
	}
	for name, c := range d.visible {
		if filepath.Dir(name) == dir {
			d.durable[name] = c
		}
	}
	return nil
}

// Lock does nothing, because only one process uses the Disk.
func (d *Disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (h *openFile) Write(b []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.injectFault(); err != nil {
		return 0, err
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *openFile) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.injectFault(); err != nil {
		return err
	}
	if h.disk.failSyncs > 0 {
		h.disk.failSyncs--
		return ErrDisk
	}
	if !h.disk.ignoreSyncs {
		h.file.synced = len(h.file.data)
	}
	return nil
}

func (h *openFile) Close() error { return nil }

func sortedKeys(m map[string]*content) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
