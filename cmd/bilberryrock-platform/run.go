package main

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/controller"
	"github.com/bilberryrock/bilberryrock/internal/entry/lifecycle"
	"github.com/bilberryrock/bilberryrock/internal/entry/listener"
	"github.com/bilberryrock/bilberryrock/internal/entry/timed"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/forward"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/report/output"
	"github.com/bilberryrock/bilberryrock/platform"
)

const (
	// aliveBeats is the number of heartbeats that an upstream may miss.
	aliveBeats = 3
	// leaseMargin is kept between the end of a lease and the time at which a
	// removed key must not be accepted any more.
	leaseMargin = 500 * time.Millisecond
	// freshLimit is the age of the last confirmation up to which a gateway is ready.
	// It covers an election of the controllers.
	freshLimit = 2500 * time.Millisecond
	// retryPart is the part of the platform's retry budget that is used. The rest
	// covers gateways that just joined and windows that the platform cuts otherwise.
	retryPart = 0.8
	// stopMargin is kept between the end of a graceful stop and SIGKILL, or stopPart
	// of a shorter grace time. The platform excuses a request that is cut off in the
	// last sixth of the grace time.
	stopMargin = 700 * time.Millisecond
	stopPart   = 8
	// drainLeast is how long a gateway takes requests after SIGTERM. The platform
	// needs two checks, a second apart, to notice that it is not ready, and streams
	// that begin within three seconds may be cut at the end. The rest of the grace
	// time, and at least a drainPart of it, is for the requests that came last.
	drainLeast = 2600 * time.Millisecond
	drainPart  = 4
	// headerTimeout bounds the time to read the head of a request, bodyTimeout that
	// for its body, and idleTimeout the time between two requests. A body of 4 MiB
	// takes 3.4 s at 10 Mbit/s. Clients reuse connections for a shorter time than
	// idleTimeout.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// peerTimeout ends a connection between daemons whose bytes are not
	// acknowledged.
	peerTimeout = 1500 * time.Millisecond
	// reloadEvery is the time between two looks at the settings file, which may
	// change without a signal.
	reloadEvery = 5 * time.Second
)

func dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: 10 * time.Second, Timeout: peerTimeout, PermitWithoutStream: true,
		}),
	}
}

// runGateway serves clients until SIGTERM.
func runGateway(s platform.Settings, signals lifecycle.Signals, out *output.Writer, log *zap.Logger) error {
	clock := systemclock.NewSteady()
	client := exchange.New(clock)
	st := state.New(clock, s.DataCentre, platform.Configuration{}, state.Limits{
		Alive: aliveBeats * s.HeartbeatInterval, Lease: s.RevocationTimeout - leaseMargin, Fresh: freshLimit,
		Retries: budget.Limit{Share: s.RetryRatio * retryPart, Extra: s.RetryExtra * retryPart, Window: s.RetryWindow},
	}, client, log)
	registry := newRegistry(out)
	handler := forward.New(clock, st, client, platform.Headers{}, platform.Engines{Client: client},
		forward.NewMetrics(registry), log)
	follower := feed.NewClient(s.Instance, clock, st, log, feed.Seeds(s.PeerSeeds...), feed.Home(s.DataCentre),
		feed.Dial(dialOptions()...))
	defer follower.Stop()
	servers := &servers{clock: clock, log: log, failed: make(chan error, 4)}
	front := server(handler)
	// Clients come last: a fault of another address must not cut off what was accepted.
	if err := servers.startMetrics(registry, s.MetricsAddress); err != nil {
		return err
	}
	if _, err := servers.start("readiness", server(readiness(handler.Ready)), s.ReadyAddress); err != nil {
		return err
	}
	clients, err := servers.start("clients", front, s.ClientAddress, listener.Identify(requestID), listener.Limit(clientLimits(st)))
	if err != nil {
		return err
	}
	life := live(s, signals, log, func(n platform.Settings) { follower.LearnSeeds(n.PeerSeeds) })
	failed := wait(life, servers.failed, log)
	drain, end := stopTimes(s.GracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	handler.Close()
	clients.Drain()
	milestone(log, "The gateway drains.", zap.Int64("requests", handler.Active()), zap.Duration("grace", s.GracePeriod))
	time.Sleep(drain)
	milestone(log, "The gateway takes no further connections.", zap.Int64("requests", handler.Active()))
	return first(failed, clients.Stop(ctx), log)
}

// first returns the first error of a stop and logs a further one.
func first(failed, err error, log *zap.Logger) error {
	if failed == nil {
		return err
	}
	if err != nil {
		log.Warn("The stop failed, too.", zap.Error(err))
	}
	return failed
}

// stopTimes divides the grace time: a gateway takes requests for the time drain after
// SIGTERM, and all requests are answered, or cut off, at the time end.
func stopTimes(grace time.Duration) (drain, end time.Duration) {
	end = grace - min(stopMargin, grace/stopPart)
	return min(drainLeast, end-end/drainPart), end
}

// runController serves the operator, the workers and the other daemons until
// SIGTERM.
func runController(s platform.Settings, signals lifecycle.Signals, out *output.Writer, log *zap.Logger) error {
	clock := systemclock.NewSteady()
	c, err := controller.New(controller.Settings{
		Instance: s.Instance, DataCentre: s.DataCentre, Address: s.PeerAddress, Folder: s.DataDir, Found: s.Bootstrap, Seeds: s.PeerSeeds,
		Alive: aliveBeats * s.HeartbeatInterval, Dial: dialOptions(),
	}, platform.Configuration{}, platform.Engines{Client: exchange.New(clock)}, clock, log)
	if err != nil {
		return err
	}
	registry := newRegistry(out)
	registry.MustRegister(c.Collector())
	servers := &servers{clock: clock, log: log, failed: make(chan error, 4)}
	control := server(platform.Control(c, log))
	if err := servers.startMetrics(registry, s.MetricsAddress); err != nil {
		return err
	}
	calls, err := servers.start("control", control, s.ControlAddress)
	if err != nil {
		return err
	}
	go func() {
		if err := <-c.Failed(); err != nil {
			servers.failed <- err
		}
	}()
	failed := wait(live(s, signals, log, func(platform.Settings) {}), servers.failed, log)
	_, end := stopTimes(s.GracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	answer, cancel := context.WithTimeout(ctx, s.GracePeriod/2)
	defer cancel()
	failed = first(failed, calls.Stop(answer), log)
	return first(failed, c.Stop(ctx), log)
}

// server returns a server that bounds what it reads of a request, and for how long.
func server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: timed.Body(h, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func newRegistry(out *output.Writer) *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(out.Collector(), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// servers runs HTTP servers and reports failures of those that the daemon cannot do
// without.
type servers struct {
	clock  fleet.Clock
	log    *zap.Logger
	failed chan error
}

func (s *servers) start(name string, v *http.Server, address string, options ...listener.Option) (*listener.Server, error) {
	l, err := listener.Listen(name, address)
	if err != nil {
		return nil, err
	}
	options = append([]listener.Option{listener.Failed(func(err error) { s.failed <- err })}, options...)
	return listener.New(name, l, v, s.clock, s.log, options...), nil
}

// startMetrics serves the metrics, whose loss ends no request.
func (s *servers) startMetrics(r *prometheus.Registry, address string) error {
	_, err := s.start("metrics", server(promhttp.HandlerFor(r, promhttp.HandlerOpts{})), address,
		listener.Failed(func(err error) { s.log.Error("The metrics are not served any more.", zap.Error(err)) }))
	return err
}

// clientLimits returns those of the release in force.
func clientLimits(s *state.State) func() listener.Limits {
	return func() listener.Limits {
		t := s.Table()
		if t == nil {
			return listener.Limits{}
		}
		return listener.Limits{Head: t.Release.Limits.HeaderTimeout, Idle: t.Release.Limits.IdleTimeout}
	}
}

// requestID names a request of a client in the log.
func requestID(r *http.Request) string {
	call, err := platform.Headers{}.ReadCall(r.Header)
	if err != nil || call.ID == "" {
		return r.Method + " " + r.URL.Path
	}
	return string(call.ID)
}

// live returns the life of a daemon, which hands over the settings when the file has
// changed.
func live(s platform.Settings, signals lifecycle.Signals, log *zap.Logger, changed func(platform.Settings)) *lifecycle.Life {
	return lifecycle.New(signals, systemclock.Clock{}, log, lifecycle.Reload(reloadEvery, func() { s = reload(s, log, changed) }))
}

// wait returns at the first request to stop, or with the error of a part that failed.
// The daemon drains in both cases.
func wait(l *lifecycle.Life, failed <-chan error, log *zap.Logger) error {
	select {
	case <-l.Stopping():
		return nil
	case err := <-failed:
		log.Error("A part of the daemon failed, which now stops.", zap.Error(err))
		return err
	}
}

// reload takes the settings file as a whole, or keeps the old settings.
func reload(old platform.Settings, log *zap.Logger, changed func(platform.Settings)) platform.Settings {
	s, err := platform.LoadSettings()
	if err != nil {
		log.Warn("The changed settings are not in force.", zap.Error(err))
		return old
	}
	if !s.Equal(old) {
		milestone(log, "The settings changed.", zap.Strings("seeds", s.PeerSeeds))
		changed(s)
	}
	return s
}
