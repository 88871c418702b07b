// Package daemon runs an entry instance: it starts its components and connects them.
//
//	d, err := daemon.New(settings, daemon.WithLog(log))
//	select {
//	case <-signals:
//	case err = <-d.Failed():
//	}
//	err = d.Stop()
//
// New opens all listeners. The daemon becomes ready once it has an active
// configuration. Stop is graceful: it reports not ready, accepts no new requests,
// waits for the requests in progress and then closes everything.
package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/bilberryrock/bilberryrock/internal/entry/listener"
	"github.com/bilberryrock/bilberryrock/internal/entry/peer"
	"github.com/bilberryrock/bilberryrock/internal/entry/platform"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/membership/packet"
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
)

const (
	// shutdownReserve is reserved at the end of the stop timeout for the stages after the
	// requests: the context of all stages expires this long before the timeout. Of a
	// short timeout, 1/shutdownReserveDivisor is reserved.
	shutdownReserve        = time.Second
	shutdownReserveDivisor = 8
)

// Daemon is a running entry instance.
type Daemon struct {
	settings settings.Settings
	// base is the parent of the loggers of all components; log is the daemon's own.
	base    *zap.Logger
	log     *zap.Logger
	clock   fleet.Clock
	health  platform.Health
	metrics *prometheus.Registry
	// responses limits the memory of the responses of upstreams.
	responses *buffer.Budget

	credentials peer.Credentials
	peers       *peer.Connections
	grpc        *grpc.Server
	servers     []*listener.Server

	faults      *faults
	node        *packet.Node
	state       *state
	controllers *controllers
	requests    *requests
	propagation propagation

	// ready reports whether the active configuration is at least as new as any that
	// this instance had before. Once true, it stays true.
	ready    atomic.Bool
	stopping atomic.Bool
	// stage is the current stage of the shutdown, a string.
	stage  atomic.Value
	failed chan error
	done   chan struct{}
	wakeup chan struct{}
	loops  sync.WaitGroup
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLog sets the logger. The default discards all output.
func WithLog(log *zap.Logger) Option { return func(d *Daemon) { d.base = log } }

// New starts a daemon and opens its listeners.
func New(s settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		base:     zap.NewNop(),
		clock:    systemclock.Clock{},
		metrics:  prometheus.NewRegistry(),
		failed:   make(chan error, 8),
		done:     make(chan struct{}),
		wakeup:   make(chan struct{}, 1),
		faults:   &faults{self: s.Instance.ID},
	}
	for _, option := range options {
		option(d)
	}
	d.log = d.base.Named("daemon")
	for _, step := range []func() error{d.loadCredentials, d.openState, d.openControllers, d.openMembership, d.openFollower, d.openRequests, d.startRepair, d.listen} {
		if err := step(); err != nil {
			return nil, errors.Wrap(err, "start daemon")
		}
	}
	d.registerMetrics()
	d.loops.Go(d.controlLoop)
	d.log.Info("Daemon started.", zap.String("instance", string(s.Instance.ID)), zap.String("dataCentre", string(s.Instance.DataCentre)))
	return d, nil
}

// Failed returns a channel that receives an error when a listener or the voter fails
// permanently.
func (d *Daemon) Failed() <-chan error { return d.failed }

func (d *Daemon) loadCredentials() error {
	p := d.settings.Peers
	d.credentials = peer.Plaintext()
	if p.Certificate != "" {
		var err error
		if d.credentials, err = peer.MutualTLS(p.Certificate, p.Key, p.Authority); err != nil {
			return err
		}
	}
	d.peers = peer.NewConnections(d.credentials)
	return nil
}

func (d *Daemon) serveGRPC(s *grpc.Server) error {
	listener, err := net.Listen("tcp", d.settings.Listeners.Peers)
	if err != nil {
		return errors.Wrap(err, "open listener peers")
	}
	d.grpc = s
	go func() {
		if err := s.Serve(listener); err != nil {
			d.failed <- errors.Wrap(err, "serve listener peers")
		}
	}()
	return nil
}

// Stop shuts the daemon down gracefully within the stop timeout. The error tells
// how many requests were aborted, or which stage did not finish.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.health.SetNotReady("stopping")
	d.log.Info("Daemon stopping.")
	total := d.settings.Instance.StopTimeout
	reserve := min(shutdownReserve, total/shutdownReserveDivisor)
	ctx, cancel := context.WithTimeout(context.Background(), total-reserve)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-stopped:
		return err
	case <-d.clock.After(reserve):
		return errors.Errorf("shutdown did not finish within %s, current stage: %s", total, d.stage.Load())
	}
}

func (d *Daemon) stop(ctx context.Context) error {
	for _, s := range d.servers {
		s.Drain()
	}
	d.stage.Store("drain delay")
	// The load balancer keeps sending requests until it notices that the daemon is not
	// ready.
	select {
	case <-d.clock.After(d.settings.Instance.DrainDelay):
	case <-ctx.Done():
	}
	var firstErr error
	for _, s := range []struct {
		stage string
		run   func(context.Context) error
	}{
		{"requests", d.requests.drain},
		{"listeners", d.stopServers},
		{"loops", d.stopLoops},
		{"membership", func(ctx context.Context) error { return errors.Wrap(d.node.Leave(ctx), "leave membership") }},
		{"state", d.state.stop},
		{"connections", d.closeConnections},
	} {
		d.stage.Store(s.stage)
		err := s.run(ctx)
		switch {
		case err != nil && firstErr == nil:
			firstErr = err
		case err != nil:
			d.log.Warn("Shutdown stage failed.", zap.String("stage", s.stage), zap.Error(err))
		}
	}
	d.log.Info("Daemon stopped.")
	return firstErr
}

// stopServers stops all listeners concurrently, so that a slow request on one of them
// does not use up the time of the others.
func (d *Daemon) stopServers(ctx context.Context) error {
	results := make(chan error, len(d.servers))
	for _, s := range d.servers {
		go func() { results <- s.Stop(ctx) }()
	}
	var firstErr error
	for range d.servers {
		err := <-results
		switch {
		case err != nil && firstErr == nil:
			firstErr = err
		case err != nil:
			d.log.Warn("Another listener did not stop gracefully.", zap.Error(err))
		}
	}
	return firstErr
}

func (d *Daemon) stopLoops(ctx context.Context) error {
	close(d.done)
	done := make(chan struct{})
	go func() {
		d.loops.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("background goroutines did not stop in time")
	}
}

func (d *Daemon) closeConnections(context.Context) error {
	d.controllers.close()
	d.grpc.Stop()
	d.peers.Close()
	return nil
}
