package lifecycle_test

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
)

var signals = map[string]syscall.Signal{
	"SIGTERM": syscall.SIGTERM, "SIGINT": syscall.SIGINT, "SIGHUP": syscall.SIGHUP,
}

// TestSignalsStayCaught guards against a signal that ends the process because it
// comes after another one, and against a reload or a request to stop that is lost.
// The process sends the signals to itself.
func TestSignalsStayCaught(t *testing.T) {
	effects := make(chan string, 10)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel)
	log := zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		effects <- e.Message
		return nil
	}))
	c := make(clock)
	hanging := make(chan struct{}, 1) // holds an item while a reload hangs
	l := lifecycle.New(lifecycle.Catch(), c, log, lifecycle.Reload(time.Minute, func() {
		hanging <- struct{}{}
		<-hanging
		effects <- "reload"
	}))
	datadriven.RunTest(t, "testdata/signals.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "tick":
			c <- time.Time{}
			return <-effects + "\n"
		case "hang":
			hanging <- struct{}{}
			c <- time.Time{}
			return ""
		case "go-on":
			<-hanging
			return <-effects + "\n"
		case "stopping":
			select {
			case <-l.Stopping():
				return "yes\n"
			default:
				return "no\n"
			}
		}
		g, ok := signals[d.Cmd]
		if !ok {
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		if err := syscall.Kill(os.Getpid(), g); err != nil {
			t.Fatal(err)
		}
		out := <-effects + "\n"
		if g == syscall.SIGHUP {
			out += <-effects + "\n"
		}
		return out
	})
}

// clock is a fleet.Clock all of whose waits end when a test sends a time.
type clock chan time.Time

func (c clock) Now() time.Time                       { return time.Time{} }
func (c clock) After(time.Duration) <-chan time.Time { return c }
