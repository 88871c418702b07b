package excerpt_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet/excerpt"
)

// TestExcerpts guards against long log lines, and against short errors that lose their
// causes.
func TestExcerpts(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 1<<20)
	is.Equal(excerpt.Text(long), long[:excerpt.MaxBytes]+"...")
	is.Equal(excerpt.Text(long[:excerpt.MaxBytes]), long[:excerpt.MaxBytes])
	is.Equal(excerpt.Error(errors.New(long)).Error(), long[:excerpt.MaxBytes]+"...")
	is.True(errors.Is(excerpt.Error(errors.Wrap(io.EOF, "read")), io.EOF))
	is.NoErr(excerpt.Error(nil))
}
