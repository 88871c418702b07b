// Package store is the replicated state machine of accepted releases. It keeps the
// content of the highest version that was proposed.
//
//	s := store.New()
//	v, err := voter.New(voter.Group(quorum.ConfigGroup, s), ...)
//	command, err := store.Command(version, content)
//	reply, err := v.Propose(ctx, quorum.ConfigGroup, command)
//	current, changed := s.Current()
package store

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/pkg/errors"
)

// versionBytes is the length of the version that precedes the gzipped content.
const versionBytes = 8

// CompressedRelease is a release as it is stored in the replicated log.
type CompressedRelease struct {
	Version release.Version
	// Gzipped is the content that the operator submitted, compressed with gzip.
	Gzipped []byte
}

// Store holds the newest release. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current CompressedRelease
	applied quorum.Index
	changed chan struct{}
}

var _ quorum.QueryableStateMachine = (*Store)(nil)

// New returns an empty Store.
func New() *Store { return &Store{changed: make(chan struct{})} }

// Command returns the log entry that proposes a release.
func Command(v release.Version, content []byte) ([]byte, error) {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, uint64(v)) // a Buffer does not fail
	z := gzip.NewWriter(&b)
	if _, err := z.Write(content); err != nil {
		return nil, errors.Wrap(err, "compress the release")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the release")
	}
	return b.Bytes(), nil
}

// Decompress returns the content of a release as the operator submitted it.
func (h CompressedRelease) Decompress() ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(h.Gzipped))
	if err != nil {
		return nil, errors.Wrapf(err, "release %d", h.Version)
	}
	content, err := io.ReadAll(z)
	return content, errors.Wrapf(err, "release %d", h.Version)
}

// Decode decompresses and decodes a release.
func (h CompressedRelease) Decode(d release.Decoder) (*release.Release, error) {
	content, err := h.Decompress()
	if err != nil {
		return nil, err
	}
	return d.Decode(content)
}

// Apply stores a release if its version is higher than the current one. The reply is
// the version that is then current.
func (s *Store) Apply(i quorum.Index, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = i
	if h, ok := parse(command); ok && h.Version > s.current.Version {
		s.set(h)
	}
	return s.version()
}

// Query returns the current version.
func (s *Store) Query([]byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version()
}

// DecodeVersion decodes the reply of Apply and Query.
func DecodeVersion(reply []byte) (release.Version, error) {
	if len(reply) != versionBytes {
		return 0, refusal.New(refusal.Internal, "reply of %d bytes is no version", len(reply))
	}
	return release.Version(binary.BigEndian.Uint64(reply)), nil
}

// Snapshot returns the current release.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.version(), s.current.Gzipped...), nil
}

// Restore replaces the current release by that of a snapshot.
func (s *Store) Restore(snapshot []byte) error {
	h, ok := parse(snapshot)
	if !ok {
		return errors.Errorf("snapshot of %d bytes has no version", len(snapshot))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(h)
	return nil
}

// Current returns the newest release that this instance has applied, and a channel that
// is closed when it is replaced.
func (s *Store) Current() (CompressedRelease, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

func (s *Store) set(h CompressedRelease) {
	s.current = h
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) version() []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(s.current.Version))
}

func parse(b []byte) (CompressedRelease, bool) {
	if len(b) < versionBytes {
		return CompressedRelease{}, false
	}
	return CompressedRelease{
		Version: release.Version(binary.BigEndian.Uint64(b)),
		Gzipped: bytes.Clone(b[versionBytes:]),
	}, true
}
