// Package lifecycle tells a daemon when to stop and when to read its settings
// again.
//
//	signals := lifecycle.Catch() // first of all, so that no signal ends the process
//	...
//	life := lifecycle.New(signals, clock, log, lifecycle.Reload(every, read))
//	<-life.Stopping()
//	drain()
//
// Signals come in any number and order, and a process that drains gets them like
// any other. They stay caught until the process ends, because a signal that nobody
// catches ends the process and cuts off what is in progress.
package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Signals are the signals of the process.
type Signals struct {
	// Each channel holds one signal, so that a series of one kind displaces none of
	// the other. Signals that come together count as one.
	stop, reload chan os.Signal
}

// Catch catches SIGTERM, SIGINT and SIGHUP for good, and ignores SIGPIPE, which a
// write to a standard output without a reader raises.
func Catch() Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Life is the life of a daemon from its start to its end.
type Life struct {
	clock    fleet.Clock
	logger   *zap.Logger
	every    time.Duration
	reload   func()
	stopping chan struct{}
}

// Option changes a Life.
type Option func(*Life)

// Reload calls read at SIGHUP and, if every is more than 0, that long after the call
// before. Calls never overlap, and go on while the daemon drains.
func Reload(every time.Duration, read func()) Option {
	return func(l *Life) { l.every, l.reload = every, read }
}

// New returns a Life that lasts until the process ends.
func New(s Signals, c fleet.Clock, l *zap.Logger, options ...Option) *Life {
	f := &Life{clock: c, logger: l, reload: func() {}, stopping: make(chan struct{})}
	for _, o := range options {
		o(f)
	}
	go func() {
		for g := range s.stop {
			f.stop(g)
		}
	}()
	// Reading the settings may take long or hang, and must not keep the daemon from
	// stopping.
	go func() {
		for {
			f.next(s)
		}
	}()
	return f
}

// Stopping returns a channel that is closed at the first request to stop.
func (f *Life) Stopping() <-chan struct{} { return f.stopping }

// next waits for one reload.
func (f *Life) next(s Signals) {
	var tick <-chan time.Time
	if f.every > 0 {
		tick = f.clock.After(f.every)
	}
	select {
	case g := <-s.reload:
		f.note("The daemon was asked to reload.", g)
	case <-tick:
	}
	f.reload()
}

func (f *Life) stop(g os.Signal) {
	select {
	case <-f.stopping:
		f.note("The daemon is stopping already.", g)
	default:
		close(f.stopping)
		f.note("The daemon was asked to stop.", g)
	}
}

// note writes a line at once, since it may be one of the last.
func (f *Life) note(message string, g os.Signal) {
	f.logger.Info(message, zap.Stringer("signal", g))
	_ = f.logger.Sync() // which only wakes the output
}
