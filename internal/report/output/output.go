// Package output writes log lines so that nobody waits for the reader of the log.
//
//	out := output.New(os.Stdout, clock)
//	defer out.Close()
//	core := zapcore.NewCore(encoder, out, level)
//
// Lines wait in a bounded buffer until one goroutine writes them. While the reader
// is slow or gone, further lines are dropped and counted.
package output

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// bufferBytes bounds the lines that wait. Under load a gateway writes less than half
	// of it in half a second, as its log is sampled.
	bufferBytes = 256 << 10
	// closeLimit bounds the wait for the last lines.
	closeLimit = 300 * time.Millisecond
)

// Option changes a Writer.
type Option func(*Writer)

// Delay lets lines wait for further ones, since one write for many lines costs less
// processor time than one for each. A process that is killed loses what waits.
func Delay(d time.Duration) Option { return func(o *Writer) { o.delay = d } }

// Writer implements zapcore.WriteSyncer. It is safe for concurrent use.
type Writer struct {
	clock fleet.Clock
	delay time.Duration
	begun chan struct{} // the buffer is not empty any more
	now   chan struct{} // lines must not wait
	done  chan struct{} // closed after the last write

	mu      sync.Mutex
	pending []byte // whole lines
	dropped int    // lines since the last write
	total   int64  // dropped lines of all time
	closed  bool
}

// New returns a Writer to w, which nobody else writes to. Callers close it.
func New(w io.Writer, c fleet.Clock, options ...Option) *Writer {
	o := &Writer{
		clock: c, begun: make(chan struct{}, 1), now: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, p := range options {
		p(o)
	}
	go func() {
		defer close(o.done)
		var lines []byte
		for {
			select {
			case <-o.begun:
				select {
				case <-o.now:
				case <-c.After(o.delay):
				}
			case <-o.now:
			}
			var lost int
			var closed bool
			lines, lost, closed = o.take(lines)
			if lost > 0 {
				lines = fmt.Appendf(lines, `{"level":"warn","ts":%q,"msg":"Log lines were dropped.","lines":%d}`+"\n",
					c.Now().UTC().Format(time.RFC3339Nano), lost)
			}
			if len(lines) > 0 {
				if _, err := w.Write(lines); err != nil {
					o.lose(lines) // there is no other place to report it than the count
				}
			}
			if closed {
				return
			}
		}
	}()
	return o
}

// Write takes one line. It never waits and never fails.
func (o *Writer) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > bufferBytes || o.closed {
		o.dropped++
		o.total++
		return len(line), nil
	}
	o.pending = append(o.pending, line...)
	wake(o.begun)
	return len(line), nil
}

// Sync has the lines written at once, and does not wait for it.
func (o *Writer) Sync() error {
	wake(o.now)
	return nil
}

// Collector serves the number of dropped lines.
func (o *Writer) Collector() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bilberryrock_log_lines_dropped_total", Help: "Log lines that were not written.",
	}, func() float64 { return float64(o.Dropped()) })
}

// Dropped returns the number of lines that were dropped.
func (o *Writer) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// Close writes the last lines, and gives up if the reader does not take them.
func (o *Writer) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	wake(o.now)
	select {
	case <-o.done:
	case <-o.clock.After(closeLimit):
	}
}

// take exchanges the pending lines for an empty buffer.
func (o *Writer) take(empty []byte) (lines []byte, dropped int, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines, dropped = o.pending, o.dropped
	o.pending, o.dropped = empty[:0], 0
	return lines, dropped, o.closed
}

// lose counts lines that could not be written.
func (o *Writer) lose(lines []byte) {
	n := 0
	for _, c := range lines {
		if c == '\n' {
			n++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total += int64(n)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
