// Package lifecycle tells a daemon when to stop and when to reload its settings.
//
//	signals := lifecycle.Catch() // first, so that no signal terminates the process
//	...
//	m := lifecycle.New(signals, clock, log, lifecycle.WithReload(interval, read))
//	<-m.Stopping()
//	drain()
//
// Signals may arrive in any number and order, also while the process drains. They
// remain caught until the process exits, because an uncaught signal terminates the
// process and aborts the requests in progress.
package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Signals receives the signals of the process.
type Signals struct {
	// Each channel buffers one signal, so that a series of one kind displaces none of
	// the other. Signals of one kind that arrive together count as one.
	stop, reload chan os.Signal
}

// Catch catches SIGTERM, SIGINT and SIGHUP until the process exits, and ignores SIGPIPE,
// which is raised by a write to a standard output without a reader.
func Catch() Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Manager handles the signals of a daemon and reloads its settings.
type Manager struct {
	clock    fleet.Clock
	logger   *zap.Logger
	interval time.Duration
	reload   func()
	stopping chan struct{}
}

// Option configures a Manager.
type Option func(*Manager)

// WithReload calls read on SIGHUP and, if interval is positive, when interval has passed
// since the last call. Calls never overlap, and continue while the daemon drains.
func WithReload(interval time.Duration, read func()) Option {
	return func(m *Manager) { m.interval, m.reload = interval, read }
}

// New returns a Manager that handles signals until the process exits.
func New(s Signals, c fleet.Clock, l *zap.Logger, options ...Option) *Manager {
	m := &Manager{clock: c, logger: l, reload: func() {}, stopping: make(chan struct{})}
	for _, o := range options {
		o(m)
	}
	go func() {
		for sig := range s.stop {
			m.stop(sig)
		}
	}()
	// Reading the settings may take long or hang, and must not prevent the daemon from
	// stopping.
	go func() {
		for {
			m.awaitReload(s)
		}
	}()
	return m
}

// Stopping returns a channel that is closed at the first request to stop.
func (m *Manager) Stopping() <-chan struct{} { return m.stopping }

// awaitReload waits until a reload is due and performs it.
func (m *Manager) awaitReload(s Signals) {
	var tick <-chan time.Time
	if m.interval > 0 {
		tick = m.clock.After(m.interval)
	}
	select {
	case sig := <-s.reload:
		m.logSignal("The daemon was asked to reload.", sig)
	case <-tick:
	}
	m.reload()
}

func (m *Manager) stop(sig os.Signal) {
	select {
	case <-m.stopping:
		m.logSignal("The daemon is stopping already.", sig)
	default:
		close(m.stopping)
		m.logSignal("The daemon was asked to stop.", sig)
	}
}

// logSignal logs a signal and wakes the log output at once, because the line may be one
// of the last of the process.
func (m *Manager) logSignal(message string, sig os.Signal) {
	m.logger.Info(message, zap.Stringer("signal", sig))
	_ = m.logger.Sync() // Sync only wakes the output
}
