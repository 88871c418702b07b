package main

import (
	"cmp"
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
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
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
	"github.com/bilberryrock/bilberryrock/platform"
)

const (
	// maxMissedHeartbeats is the number of heartbeats that an upstream may miss: the
	// heartbeat timeout is that many heartbeat intervals.
	maxMissedHeartbeats = 3
	// keyLeaseMargin is the time between the end of a key lease and the time from which
	// a removed account key must be rejected.
	keyLeaseMargin = 500 * time.Millisecond
	// readinessTimeout is the confirmation age up to which a gateway is ready. It covers
	// a leader election of the controllers.
	readinessTimeout = 2500 * time.Millisecond
	// retryBudgetShare is the fraction of the platform's retry budget that is used. The
	// rest covers gateways that just joined, and the platform's budget windows, which
	// can start at other times than those of the gateways.
	retryBudgetShare = 0.8
	// shutdownReserve is the time between the end of a graceful shutdown and SIGKILL. If
	// the grace period is short, it is the grace period divided by
	// shutdownReserveDivisor. The platform tolerates requests that are aborted in the
	// last sixth of the grace period.
	shutdownReserve        = 700 * time.Millisecond
	shutdownReserveDivisor = 8
	// drainDelay is how long a gateway accepts requests after SIGTERM. The platform
	// needs two checks, a second apart, to notice that it is not ready, and streams that
	// begin within three seconds may be aborted at the end. The rest of the time until
	// the end of the shutdown, at least that time divided by completionDivisor, is left
	// for the last requests to complete.
	drainDelay        = 2600 * time.Millisecond
	completionDivisor = 4
	// responseReserve is the time before the end of a graceful shutdown at which requests
	// that wait for an upstream get an error. If little time is left after the drain, it is
	// that time divided by responseReserveDivisor.
	responseReserve        = 200 * time.Millisecond
	responseReserveDivisor = 4
	// headerTimeout is the longest time for reading the header of a request, bodyTimeout
	// that for its body, and idleTimeout that between two requests of a connection. A
	// body of 4 MiB takes 3.4 s at 10 Mbit/s. Clients reuse connections for a shorter
	// time than idleTimeout.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is the maximum size of the header of a request.
	maxHeaderBytes = 64 << 10
	// peerKeepaliveTimeout is the time after which a connection between daemons is closed
	// if sent bytes are not acknowledged.
	peerKeepaliveTimeout = 1500 * time.Millisecond
	// reloadInterval is the time between two checks of the settings file, which may
	// change without a signal.
	reloadInterval = 5 * time.Second
)

func dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: 10 * time.Second, Timeout: peerKeepaliveTimeout, PermitWithoutStream: true,
		}),
	}
}

// runGateway serves clients until SIGTERM.
func runGateway(s platform.Settings, admission quota.Mode, signals lifecycle.Signals, out *output.Writer, log *zap.Logger) error {
	clock := systemclock.NewBootClock()
	registry := newRegistry(out)
	client := newUpstreamClient(s, clock, registry, log)
	gatewayState := state.New(clock, s.DataCentre, platform.Configuration{}, state.Limits{
		HeartbeatTimeout: maxMissedHeartbeats * s.HeartbeatInterval, KeyLease: s.RevocationTimeout - keyLeaseMargin, ReadinessTimeout: readinessTimeout,
		Retries: budget.Limit{Share: s.RetryRatio * retryBudgetShare, Extra: s.RetryExtra * retryBudgetShare, Window: s.RetryWindow},
	}, client, log, state.WithAdmission(admission))
	registry.MustRegister(gatewayState.Prompts().Collector(), gatewayState.Notices().Collector(), gatewayState.AdmissionCollector())
	handler := forward.New(clock, gatewayState, client, platform.Headers{}, platform.Engines{Client: client},
		forward.NewMetrics(registry), log)
	follower := feed.NewClient(s.Instance, clock, gatewayState, log, feed.WithSeeds(s.PeerSeeds...), feed.WithDataCentre(s.DataCentre),
		feed.WithDialOptions(dialOptions()...), feed.WithPrompts(gatewayState.Prompts()))
	defer follower.Stop()
	group := newServerGroup(s, clock, registry, log)
	clientServer := newServer(handler)
	// The client listener starts last, so that a listener that fails to start does not
	// abort client requests that were already accepted.
	if err := group.startMetrics(registry, s.MetricsAddress); err != nil {
		return err
	}
	if _, err := group.start("readiness", newServer(readiness(handler.Ready)), s.ReadyAddress); err != nil {
		return err
	}
	clientListener, err := group.start("clients", clientServer, s.ClientAddress, listener.WithRequestName(requestName), listener.WithLimits(clientLimits(gatewayState)))
	if err != nil {
		return err
	}
	lifecycleManager := newLifecycle(s, signals, log, func(n platform.Settings) { follower.AddSeeds(n.PeerSeeds) })
	firstErr := waitForStop(lifecycleManager, group.failed, log)
	drain, end := stopTimes(s.GracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	handler.StartDrain()
	clientListener.Drain()
	last := end - min(responseReserve, (end-drain)/responseReserveDivisor)
	lastResponse := clock.Now().Add(last)
	endWaiting := time.AfterFunc(last, handler.EndWaiting)
	defer endWaiting.Stop()
	logAndFlush(log, "The gateway drains.", zap.Int64("requests", handler.Active()), zap.Duration("grace", s.GracePeriod))
	time.Sleep(drain)
	handler.StopAccepting(lastResponse)
	logAndFlush(log, "The gateway stops accepting connections.", zap.Int64("requests", handler.Active()))
	return firstError(firstErr, clientListener.Stop(ctx), log)
}

// firstError returns the first of two errors of a shutdown. It logs the second one if
// both are set.
func firstError(first, err error, log *zap.Logger) error {
	if first == nil {
		return err
	}
	if err != nil {
		log.Warn("The shutdown failed after an earlier error.", zap.Error(err))
	}
	return first
}

// stopTimes divides the grace period. After SIGTERM a gateway accepts requests for the
// time drain, and at the time end all requests have completed or are aborted.
func stopTimes(grace time.Duration) (drain, end time.Duration) {
	end = grace - min(shutdownReserve, grace/shutdownReserveDivisor)
	return min(drainDelay, end-end/completionDivisor), end
}

// runController serves the operator, the workers and the other daemons until SIGTERM.
func runController(s platform.Settings, admission quota.Mode, signals lifecycle.Signals, out *output.Writer, log *zap.Logger) error {
	clock := systemclock.NewBootClock()
	registry := newRegistry(out)
	client := newUpstreamClient(s, clock, registry, log)
	c, err := controller.New(controller.Settings{
		Instance: s.Instance, DataCentre: s.DataCentre, Address: s.PeerAddress, Folder: s.DataDir, Bootstrap: s.Bootstrap, Seeds: s.PeerSeeds, FaultTolerance: s.FaultTolerance,
		HeartbeatTimeout: maxMissedHeartbeats * s.HeartbeatInterval, DialOptions: dialOptions(), Admission: admission,
	}, platform.Configuration{}, platform.Engines{Client: client}, clock, log)
	if err != nil {
		return err
	}
	registry.MustRegister(c.Collector())
	group := newServerGroup(s, clock, registry, log)
	controlServer := newServer(platform.Control(c, log))
	if err := group.startMetrics(registry, s.MetricsAddress); err != nil {
		return err
	}
	controlListener, err := group.start("control", controlServer, s.ControlAddress)
	if err != nil {
		return err
	}
	go func() {
		if err := <-c.Failed(); err != nil {
			group.failed <- err
		}
	}()
	firstErr := waitForStop(newLifecycle(s, signals, log, func(platform.Settings) {}), group.failed, log)
	_, end := stopTimes(s.GracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	callsCtx, cancel := context.WithTimeout(ctx, s.GracePeriod/2)
	defer cancel()
	firstErr = firstError(firstErr, controlListener.Stop(callsCtx), log)
	return firstError(firstErr, c.Stop(ctx), log)
}

// newServer returns a server with limits on the size of request headers and on the time
// for reading requests.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: timed.Body(h, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// newUpstreamClient returns a client whose responses stay within the memory of the machine.
func newUpstreamClient(s platform.Settings, c fleet.Clock, r *prometheus.Registry, log *zap.Logger) *exchange.Client {
	budget := buffer.NewBudget(cmp.Or(s.MemoryBytes, listener.DefaultMemoryBytes))
	r.MustRegister(budget)
	return exchange.New(c, exchange.WithMonitor(head.NewMonitor(r, log)), exchange.WithBudget(budget))
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

// serverGroup runs HTTP servers. It reports failures of those that are essential to the
// daemon on the channel failed.
type serverGroup struct {
	clock  fleet.Clock
	log    *zap.Logger
	budget *listener.Budget
	failed chan error
}

// newServerGroup returns a group whose servers share the memory and the descriptors that
// the settings give the process.
func newServerGroup(s platform.Settings, c fleet.Clock, r *prometheus.Registry, log *zap.Logger) *serverGroup {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(listener.RuntimeMemoryLimit(s.MemoryBytes))
	}
	budget := listener.NewBudget(s.MemoryBytes, s.MaxDescriptors, c, log.Named("listener"))
	r.MustRegister(budget)
	return &serverGroup{clock: c, log: log, budget: budget, failed: make(chan error, 4)}
}

func (s *serverGroup) start(name string, v *http.Server, address string, options ...listener.Option) (*listener.Server, error) {
	l, err := listener.Listen(name, address)
	if err != nil {
		return nil, err
	}
	options = append([]listener.Option{listener.WithBudget(s.budget), listener.WithFailureHandler(func(err error) { s.failed <- err })}, options...)
	return listener.New(name, l, v, s.clock, s.log, options...), nil
}

// startMetrics serves the metrics. A failure of their listener is only logged, since it
// affects no request.
func (s *serverGroup) startMetrics(r *prometheus.Registry, address string) error {
	_, err := s.start("metrics", newServer(promhttp.HandlerFor(r, promhttp.HandlerOpts{})), address,
		listener.WithFailureHandler(func(err error) { s.log.Error("The metrics listener failed.", zap.Error(err)) }))
	return err
}

// clientLimits returns the timeouts of client connections in the active release.
func clientLimits(s *state.State) func() listener.Limits {
	return func() listener.Limits {
		t := s.Table()
		if t == nil {
			return listener.Limits{}
		}
		return listener.Limits{Head: t.Release.Limits.HeaderTimeout, Idle: t.Release.Limits.IdleTimeout, HeadBytes: t.Release.Limits.HeaderBytes}
	}
}

// requestName returns the name of a client request in the log: its id, or its method and
// path if it has none.
func requestName(r *http.Request) string {
	headers, err := platform.Headers{}.DecodeClient(r.Header)
	if err != nil || headers.ID == "" {
		return r.Method + " " + r.URL.Path
	}
	return string(headers.ID)
}

// newLifecycle returns the lifecycle manager of a daemon. It calls onChange with the new
// settings when the settings file has changed.
func newLifecycle(s platform.Settings, signals lifecycle.Signals, log *zap.Logger, onChange func(platform.Settings)) *lifecycle.Manager {
	return lifecycle.New(signals, systemclock.Clock{}, log, lifecycle.WithReload(reloadInterval, func() { s = reload(s, log, onChange) }))
}

// waitForStop waits for the first request to stop, or returns the error of a component
// that failed. The daemon drains in both cases.
func waitForStop(l *lifecycle.Manager, failed <-chan error, log *zap.Logger) error {
	select {
	case <-l.Stopping():
		return nil
	case err := <-failed:
		log.Error("A component failed; the daemon shuts down.", zap.Error(err))
		return err
	}
}

// reload returns the settings of the changed file, or the old settings if any part of
// the file is invalid.
func reload(old platform.Settings, log *zap.Logger, onChange func(platform.Settings)) platform.Settings {
	s, err := platform.LoadSettings()
	if err != nil {
		log.Warn("The changed settings were rejected; the previous settings stay active.", zap.Error(err))
		return old
	}
	if !s.Equal(old) {
		logAndFlush(log, "The settings changed.", zap.Strings("seeds", s.PeerSeeds))
		onChange(s)
	}
	return s
}
