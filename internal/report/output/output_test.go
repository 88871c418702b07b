package output_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/report/output"
)

// blockingWriter blocks each Write until the test receives from writes.
type blockingWriter struct {
	writes chan string
	err    error
}

func (r *blockingWriter) Write(b []byte) (int, error) {
	r.writes <- string(b)
	return len(b), r.err
}

// TestWriteNeverWaits guards against callers that block on a reader that does not
// read, and against lines that are dropped without a notice.
func TestWriteNeverWaits(t *testing.T) {
	is := is.New(t)
	r := &blockingWriter{writes: make(chan string)}
	o := output.New(r, fakeclock.New(fakeclock.Start), output.WithDelay(time.Second))
	line := []byte(strings.Repeat("x", 1023) + "\n")
	_, err := o.Write([]byte("first\n"))
	is.NoErr(err)
	is.NoErr(o.Sync())
	const lines = 1000
	for range lines { // the goroutine is blocked in its first write
		_, err := o.Write(line)
		is.NoErr(err)
	}
	kept := lines - int(o.Dropped())
	is.True(kept > 0 && kept < lines)
	is.NoErr(o.Sync())
	got := <-r.writes
	for strings.Count(got, string(line)) < kept || !strings.Contains(got, "dropped") {
		got += <-r.writes
	}
	is.True(strings.HasPrefix(got, "first\n"))
	is.Equal(strings.Count(got, string(line)), kept)
	closed := make(chan struct{})
	go func() { o.Close(); close(closed) }()
	<-closed
}

// TestCloseFlushes guards against losing the last lines of a process.
func TestCloseFlushes(t *testing.T) {
	is := is.New(t)
	r := &blockingWriter{writes: make(chan string, 1)}
	o := output.New(r, fakeclock.New(fakeclock.Start), output.WithDelay(time.Second))
	_, err := o.Write([]byte("last\n"))
	is.NoErr(err)
	o.Close()
	is.Equal(<-r.writes, "last\n")
}

// TestFailedWriteIsCounted guards against a Writer that stops, or does not count the
// lost lines, when its reader is gone.
func TestFailedWriteIsCounted(t *testing.T) {
	is := is.New(t)
	r := &blockingWriter{writes: make(chan string, 1), err: errors.New("broken pipe")}
	o := output.New(r, fakeclock.New(fakeclock.Start), output.WithDelay(time.Second))
	for _, s := range []string{"one\ntwo\n", "three\n"} {
		_, err := o.Write([]byte(s))
		is.NoErr(err)
		is.NoErr(o.Sync())
		is.Equal(<-r.writes, s)
	}
	o.Close()
	is.Equal(o.Dropped(), int64(3))
}
