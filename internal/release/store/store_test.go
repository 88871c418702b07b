package store_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

func apply(t *testing.T, s *store.Store, v release.Version, content string) release.Version {
	t.Helper()
	c, err := store.Command(v, []byte(content))
	is.New(t).NoErr(err)
	version, err := store.DecodeVersion(s.Apply(1, c))
	is.New(t).NoErr(err)
	return version
}

// Guards against a release that is reverted. An older version, and other content with the
// current version, must not change it.
func TestHighestVersionStays(t *testing.T) {
	is := is.New(t)
	s := store.New()
	is.Equal(apply(t, s, 7, "seven"), release.Version(7))
	is.Equal(apply(t, s, 5, "five"), release.Version(7))
	is.Equal(apply(t, s, 7, "other"), release.Version(7))
	current, replaced := s.Current()
	content, err := current.Decompress()
	is.NoErr(err)
	is.Equal(string(content), "seven")
	is.Equal(apply(t, s, 9, "nine"), release.Version(9))
	<-replaced
}

// Guards against a snapshot that loses the release or its version.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	s := store.New()
	apply(t, s, 7, "seven")
	b, err := s.Snapshot()
	is.NoErr(err)
	other := store.New()
	is.NoErr(other.Restore(b))
	restored, _ := other.Current()
	content, err := restored.Decompress()
	is.NoErr(err)
	is.Equal(restored.Version, release.Version(7))
	is.Equal(string(content), "seven")
	is.True(other.Restore([]byte("short")) != nil)
}
