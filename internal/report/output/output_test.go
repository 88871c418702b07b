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

// reader is the other end of an output: it takes each write when a test lets it.
type reader struct {
	writes chan string
	err    error
}

func (r *reader) Write(b []byte) (int, error) {
	r.writes <- string(b)
	return len(b), r.err
}

// TestWriteNeverWaits guards against callers that wait for a reader who does not
// read, and against lines that are lost without a word.
func TestWriteNeverWaits(t *testing.T) {
	is := is.New(t)
	r := &reader{writes: make(chan string)}
	o := output.New(r, fakeclock.New(fakeclock.Start), output.Delay(time.Second))
	line := []byte(strings.Repeat("x", 1023) + "\n")
	_, err := o.Write([]byte("first\n"))
	is.NoErr(err)
	is.NoErr(o.Sync())
	const lines = 1000
	for range lines { // the goroutine stands in its first write
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

// TestCloseWritesTheRest guards against the last lines of a process that are lost.
func TestCloseWritesTheRest(t *testing.T) {
	is := is.New(t)
	r := &reader{writes: make(chan string, 1)}
	o := output.New(r, fakeclock.New(fakeclock.Start), output.Delay(time.Second))
	_, err := o.Write([]byte("last\n"))
	is.NoErr(err)
	o.Close()
	is.Equal(<-r.writes, "last\n")
}

// TestFailedWriteIsCounted guards against an output that stops, or hides what was
// lost, when its reader is gone.
func TestFailedWriteIsCounted(t *testing.T) {
	is := is.New(t)
	r := &reader{writes: make(chan string, 1), err: errors.New("broken pipe")}
	o := output.New(r, fakeclock.New(fakeclock.Start), output.Delay(time.Second))
	for _, s := range []string{"one\ntwo\n", "three\n"} {
		_, err := o.Write([]byte(s))
		is.NoErr(err)
		is.NoErr(o.Sync())
		is.Equal(<-r.writes, s)
	}
	o.Close()
	is.Equal(o.Dropped(), int64(3))
}
