// Package daemon joins the parts of an entry instance.
//
//	d, err := daemon.New(settings, daemon.WithLog(log))
//	select {
//	case <-signals:
//	case err = <-d.Failed():
//	}
//	err = d.Stop()
//
// New opens all listeners. The daemon turns ready once it has a configuration in
// force. Stop is graceful: readiness off, no new work, all requests in progress
// answered, then the end.
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
)

const (
	// endTime is kept at the end of the stop timeout for the parts that end after the
	// requests, or an endPart of a short timeout.
	endTime = time.Second
	endPart = 8
)

// Daemon is a running entry instance.
type Daemon struct {
	settings settings.Settings
	// base is the logger of all parts, and log the one of the daemon itself.
	base    *zap.Logger
	log     *zap.Logger
	clock   fleet.Clock
	health  platform.Health
	metrics *prometheus.Registry

	security peer.Security
	peers    *peer.Connections
	grpc     *grpc.Server
	servers  []*listener.Server

	faults    *faults
	node      *packet.Node
	state     *state
	decisions *decisions
	requests  *requests
	spread    spread

	// ready tells that the configuration in force is at least as new as any that
	// was in force here before. It stays true.
	ready    atomic.Bool
	stopping atomic.Bool
	// stage is the stage of a stop in progress, a string.
	stage  atomic.Value
	failed chan error
	ended  chan struct{}
	woken  chan struct{}
	loops  sync.WaitGroup
}

// Option changes a Daemon at its construction.
type Option func(*Daemon)

// WithLog sets the logger.
func WithLog(log *zap.Logger) Option { return func(d *Daemon) { d.base = log } }

// New starts the daemon.
func New(s settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		base:     zap.NewNop(),
		clock:    systemclock.Clock{},
		metrics:  prometheus.NewRegistry(),
		failed:   make(chan error, 8),
		ended:    make(chan struct{}),
		woken:    make(chan struct{}, 1),
		faults:   &faults{self: s.Instance.ID},
	}
	for _, option := range options {
		option(d)
	}
	d.log = d.base.Named("daemon")
	for _, step := range []func() error{d.secure, d.openState, d.openDecisions, d.openMembership, d.openFollower, d.openRequests, d.startRepair, d.listen} {
		if err := step(); err != nil {
			return nil, errors.Wrap(err, "start daemon")
		}
	}
	d.registerMetrics()
	d.loops.Go(d.control)
	d.log.Info("Daemon started.", zap.String("instance", string(s.Instance.ID)), zap.String("dataCentre", string(s.Instance.DataCentre)))
	return d, nil
}

// Failed delivers an error when a listener or a part fails for good.
func (d *Daemon) Failed() <-chan error { return d.failed }

func (d *Daemon) secure() error {
	p := d.settings.Peers
	d.security = peer.Plain()
	if p.Certificate != "" {
		var err error
		if d.security, err = peer.Mutual(p.Certificate, p.Key, p.Authority); err != nil {
			return err
		}
	}
	d.peers = peer.NewConnections(d.security)
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
			d.failed <- errors.Wrap(err, "listener peers")
		}
	}()
	return nil
}

// Stop stops gracefully within the stop timeout. The error tells what was cut
// off, or which part did not end.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.health.SetNotReady("stopping")
	d.log.Info("Daemon stops.")
	total := d.settings.Instance.StopTimeout
	rest := min(endTime, total/endPart)
	ctx, cancel := context.WithTimeout(context.Background(), total-rest)
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
	case <-d.clock.After(rest):
		return errors.Errorf("the stop did not end within %s: %s", total, d.stage.Load())
	}
}

func (d *Daemon) stop(ctx context.Context) error {
	for _, s := range d.servers {
		s.Drain()
	}
	d.stage.Store("drain delay")
	// The balancer still sends requests until it has seen the loss of readiness.
	select {
	case <-d.clock.After(d.settings.Instance.DrainDelay):
	case <-ctx.Done():
	}
	var failed error
	for _, s := range []struct {
		stage string
		end   func(context.Context) error
	}{
		{"requests", d.requests.drain},
		{"listeners", d.stopServers},
		{"loops", d.endLoops},
		{"membership", func(ctx context.Context) error { return errors.Wrap(d.node.Leave(ctx), "leave membership") }},
		{"state", d.state.stop},
		{"connections", d.endConnections},
	} {
		d.stage.Store(s.stage)
		err := s.end(ctx)
		switch {
		case err != nil && failed == nil:
			failed = err
		case err != nil:
			d.log.Warn("A stage of the stop failed.", zap.String("stage", s.stage), zap.Error(err))
		}
	}
	d.log.Info("Daemon stopped.")
	return failed
}

// stopServers stops all listeners at the same time, so that one with a slow request
// takes no time from the others.
func (d *Daemon) stopServers(ctx context.Context) error {
	results := make(chan error, len(d.servers))
	for _, s := range d.servers {
		go func() { results <- s.Stop(ctx) }()
	}
	var failed error
	for range d.servers {
		err := <-results
		switch {
		case err != nil && failed == nil:
			failed = err
		case err != nil:
			d.log.Warn("A further listener did not stop gracefully.", zap.Error(err))
		}
	}
	return failed
}

func (d *Daemon) endLoops(ctx context.Context) error {
	close(d.ended)
	ended := make(chan struct{})
	go func() {
		d.loops.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.New("a loop did not end")
	}
}

func (d *Daemon) endConnections(context.Context) error {
	d.decisions.close()
	d.grpc.Stop()
	d.peers.Close()
	return nil
}
