// Package output writes log lines asynchronously, so that a slow reader of the log
// does not block the callers.
//
//	out := output.New(os.Stdout, clock)
//	defer out.Close()
//	core := zapcore.NewCore(encoder, out, level)
//
// Lines are held in a bounded buffer until one goroutine writes them. While the
// buffer is full because the reader is slow or gone, further lines are dropped and
// counted.
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
	// bufferBytes is the size of the buffer. Under load a gateway writes less than half
	// of it in half a second, as its log is sampled.
	bufferBytes = 256 << 10
	// closeTimeout is the longest time that Close waits for the last lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// Option configures a Writer.
type Option func(*Writer)

// WithDelay sets the time for which lines are buffered before they are written. One write
// for many lines takes less CPU time than one for each. A process that is killed loses
// the buffered lines.
func WithDelay(d time.Duration) Option { return func(o *Writer) { o.delay = d } }

// Writer implements zapcore.WriteSyncer. It is safe for concurrent use.
type Writer struct {
	clock    fleet.Clock
	delay    time.Duration
	nonEmpty chan struct{} // signals that the buffer is not empty
	flush    chan struct{} // requests a write without delay
	done     chan struct{} // closed after the last write

	mu           sync.Mutex
	pending      []byte // whole lines
	dropped      int    // lines since the last write
	droppedTotal int64  // lines dropped since the creation
	closed       bool
}

// New returns a Writer that writes to w. Nothing else may write to w. The caller must
// close the Writer.
func New(w io.Writer, c fleet.Clock, options ...Option) *Writer {
	o := &Writer{
		clock: c, nonEmpty: make(chan struct{}, 1), flush: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, p := range options {
		p(o)
	}
	go func() {
		defer close(o.done)
		var lines []byte
		for {
			select {
			case <-o.nonEmpty:
				select {
				case <-o.flush:
				case <-c.After(o.delay):
				}
			case <-o.flush:
			}
			var lost int
			var closed bool
			lines, lost, closed = o.swapBuffer(lines)
			if lost > 0 {
				lines = fmt.Appendf(lines, `{"level":"warn","ts":%q,"msg":"Log lines were dropped.","lines":%d}`+"\n",
					c.Now().UTC().Format(time.RFC3339Nano), lost)
			}
			if len(lines) > 0 {
				if _, err := w.Write(lines); err != nil {
					o.countLost(lines) // the log itself fails, so that only the counter can report it
				}
			}
			if closed {
				return
			}
		}
	}()
	return o
}

// Write buffers one line. It never blocks and never returns an error.
func (o *Writer) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > bufferBytes || o.closed {
		o.dropped++
		o.droppedTotal++
		return len(line), nil
	}
	o.pending = append(o.pending, line...)
	notify(o.nonEmpty)
	return len(line), nil
}

// Sync triggers a write of the buffered lines and does not wait for it.
func (o *Writer) Sync() error {
	notify(o.flush)
	return nil
}

// Collector returns a collector of the number of dropped lines.
func (o *Writer) Collector() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bilberryrock_log_lines_dropped_total", Help: "Log lines that were not written.",
	}, func() float64 { return float64(o.Dropped()) })
}

// Dropped returns the number of lines that were dropped.
func (o *Writer) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.droppedTotal
}

// Close writes the buffered lines. It gives up after closeTimeout if the reader does not
// accept them.
func (o *Writer) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	notify(o.flush)
	select {
	case <-o.done:
	case <-o.clock.After(closeTimeout):
	}
}

// swapBuffer returns the pending lines and makes empty the new buffer.
func (o *Writer) swapBuffer(empty []byte) (lines []byte, dropped int, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines, dropped = o.pending, o.dropped
	o.pending, o.dropped = empty[:0], 0
	return lines, dropped, o.closed
}

// countLost counts lines that could not be written as dropped.
func (o *Writer) countLost(lines []byte) {
	n := 0
	for _, c := range lines {
		if c == '\n' {
			n++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.droppedTotal += int64(n)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
