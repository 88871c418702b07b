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
	failed   chan error
	ended    chan struct{}
	woken    chan struct{}
	loops    sync.WaitGroup
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
// off.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.health.SetNotReady("stopping")
	d.log.Info("Daemon stops.")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Instance.StopTimeout)
	defer cancel()
	for _, s := range d.servers {
		s.Drain()
	}
	// The balancer still sends requests until it has seen the loss of readiness.
	<-d.clock.After(d.settings.Instance.DrainDelay)
	err := d.requests.drain(ctx)
	if e := d.stopServers(ctx); err == nil {
		err = e
	}
	close(d.ended)
	d.loops.Wait()
	if e := d.node.Leave(ctx); err == nil {
		err = errors.Wrap(e, "leave membership")
	}
	if e := d.state.stop(ctx); err == nil {
		err = e
	}
	d.decisions.close()
	d.grpc.Stop()
	d.peers.Close()
	d.log.Info("Daemon stopped.")
	return err
}

func (d *Daemon) stopServers(ctx context.Context) error {
	var failed error
	for _, s := range d.servers {
		if err := s.Stop(ctx); err != nil {
			failed = err
		}
	}
	return failed
}
