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

// TestSignalsStayCaught guards against a signal that terminates the process because it
// follows another one, and against a lost reload or request to stop. The process sends
// the signals to itself.
func TestSignalsStayCaught(t *testing.T) {
	events := make(chan string, 10)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel)
	log := zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		events <- e.Message
		return nil
	}))
	c := make(clock)
	blocked := make(chan struct{}, 1) // full while a reload is blocked
	m := lifecycle.New(lifecycle.Catch(), c, log, lifecycle.WithReload(time.Minute, func() {
		blocked <- struct{}{}
		<-blocked
		events <- "reload"
	}))
	datadriven.RunTest(t, "testdata/signals.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "tick":
			c <- time.Time{}
			return <-events + "\n"
		case "block-reload":
			blocked <- struct{}{}
			c <- time.Time{}
			return ""
		case "unblock-reload":
			<-blocked
			return <-events + "\n"
		case "stopping":
			select {
			case <-m.Stopping():
				return "yes\n"
			default:
				return "no\n"
			}
		}
		sig, ok := signals[d.Cmd]
		if !ok {
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		out := <-events + "\n"
		if sig == syscall.SIGHUP {
			out += <-events + "\n"
		}
		return out
	})
}

// clock is a fleet.Clock on which a wait ends when the test sends a time.
type clock chan time.Time

func (c clock) Now() time.Time                       { return time.Time{} }
func (c clock) After(time.Duration) <-chan time.Time { return c }
