// Package listener provides an HTTP server that shuts down without aborting requests.
//
//	s := listener.New("callers", l, &http.Server{Handler: h}, clock, log)
//	...
//	s.Drain()          // responses from now on close their connections
//	err := s.Stop(ctx) // returns once all requests have their response, or ctx ends
//
// Shutdown of http.Server alone is not enough: it drops requests whose head becomes
// complete after the call, closes idle connections just as a client may start to use
// them, and leaves connections in the accept queue without a response.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// idleCloseDelay is how long connections without a request remain open after the
	// listener has closed, so that a client that is just using one gets a response that
	// closes it. The gateway closes its listener 2.6 s after SIGTERM, and requests that the
	// platform sends to it later than 3 s after SIGTERM must not be aborted at the end of
	// the grace time.
	idleCloseDelay = 300 * time.Millisecond
	// acceptIdleTimeout is the time without a new connection after which the accept queue
	// is considered empty. acceptDrainTimeout limits the total time for draining it.
	acceptIdleTimeout  = 5 * time.Millisecond
	acceptDrainTimeout = 100 * time.Millisecond
	// lateReadTimeout is the time for reading bytes that may have arrived before a deadline
	// that has passed.
	lateReadTimeout = time.Millisecond
	// maxLoggedRequests is the maximum number of aborted requests that the log names.
	maxLoggedRequests = 100
)

// Server is an HTTP server with one listener.
type Server struct {
	name      string
	http      *http.Server
	clock     fleet.Clock
	log       *zap.Logger
	listener  *backlogListener
	wrap      func(net.Listener) net.Listener
	onFailure func(error)
	// certificate and key are names of PEM files. If they are empty, the server uses
	// plain HTTP.
	certificate, key string

	requestName func(*http.Request) string
	limits      func() Limits
	budget      *Budget

	draining   atomic.Bool
	stopping   atomic.Bool
	acceptDone chan struct{} // closed when no more connections are accepted
	changed    chan struct{} // receives a value when a connection or a request has ended

	mu    sync.Mutex
	conns map[*conn]struct{}
	// requests are the requests whose handlers are running.
	requests map[*http.Request]struct{}
	// idleClosed reports whether connections without a request are being closed.
	idleClosed bool
}

// Option configures a Server.
type Option func(*Server)

// WithWrapper sets a function that wraps the listener, for example to limit connections.
func WithWrapper(f func(net.Listener) net.Listener) Option { return func(s *Server) { s.wrap = f } }

// WithTLS serves TLS with a certificate and key, which are names of PEM files. Empty
// names mean plain HTTP.
func WithTLS(certificate, key string) Option {
	return func(s *Server) { s.certificate, s.key = certificate, key }
}

// WithRequestName sets the function that names aborted requests in the log. The default
// is method and path.
func WithRequestName(f func(*http.Request) string) Option {
	return func(s *Server) { s.requestName = f }
}

// Limits are limits for clients. Zero means the limit of the http.Server, which is the
// upper bound in any case.
type Limits struct {
	// Head is the time to read the head of a request, from when the server starts to wait
	// for it.
	Head time.Duration
	// Idle is the time between two requests on a connection.
	Idle time.Duration
	// HeadBytes is the maximum size of the head of a request in bytes. The connection is
	// closed at headMargin beyond it; up to there the handler may refuse the request.
	HeadBytes int
}

// WithLimits sets a function that returns the current limits, which may change.
func WithLimits(f func() Limits) Option { return func(s *Server) { s.limits = f } }

// WithBudget sets the budget for the memory and the connections of clients, which the
// servers of a process share. The default is a budget of its own with the default limits.
func WithBudget(b *Budget) Option { return func(s *Server) { s.budget = b } }

// WithFailureHandler sets a function that is called with the error if the server stops
// accepting connections without a call to Stop.
func WithFailureHandler(f func(error)) Option { return func(s *Server) { s.onFailure = f } }

// Listen opens a TCP listener for a Server.
func Listen(name, address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "open listener %s", name)
	}
	return l.(*net.TCPListener), nil
}

// New serves httpServer on l until Stop, and takes ownership of both.
func New(name string, l *net.TCPListener, httpServer *http.Server, c fleet.Clock, log *zap.Logger, options ...Option) *Server {
	s := &Server{
		name: name, http: httpServer, clock: c, log: log, listener: &backlogListener{TCPListener: l},
		wrap: func(l net.Listener) net.Listener { return l }, onFailure: func(error) {},
		limits:      func() Limits { return Limits{} },
		requestName: func(r *http.Request) string { return r.Method + " " + r.URL.Path },
		acceptDone:  make(chan struct{}), changed: make(chan struct{}, 1), conns: make(map[*conn]struct{}),
		requests: make(map[*http.Request]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	if s.budget == nil {
		s.budget = NewBudget(0, 0, c, log)
	}
	httpServer.Handler = s.trackRequests(httpServer.Handler)
	httpServer.ConnState = s.onConnState
	accepting := &trackingListener{Listener: s.wrap(s.listener), server: s}
	go func() {
		defer close(s.acceptDone)
		var err error
		if s.certificate != "" {
			err = httpServer.ServeTLS(accepting, s.certificate, s.key)
		} else {
			err = httpServer.Serve(accepting)
		}
		if !s.stopping.Load() {
			s.onFailure(errors.Wrapf(err, "listener %s", name))
		}
	}()
	return s
}

// Drain makes each response whose head is not written yet close its connection, so that
// clients don't use it again. The listener still accepts connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop stops accepting connections and waits until all requests have their response,
// including requests whose head is not complete yet. Connections without a request are
// closed after a short time. When ctx ends, Stop closes all connections; the error then
// tells how many requests were aborted.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.closeListener()
	idleTimer := s.clock.After(idleCloseDelay)
	for s.remaining() > 0 {
		select {
		case <-s.changed:
		case <-idleTimer:
			s.closeIdle()
		case <-ctx.Done():
			return s.forceClose()
		}
	}
	// What remains are connections without a request and those of HTTP/2, which Shutdown
	// closes.
	if err := s.http.Shutdown(ctx); err != nil {
		return s.forceClose()
	}
	return nil
}

// closeListener drains the accept queue and closes the listener. Connections that arrive
// between the last accept and the close are refused by the kernel.
func (s *Server) closeListener() {
	s.stopping.Store(true)
	s.listener.startDrain()
	select {
	case <-s.acceptDone:
	case <-time.After(2 * acceptDrainTimeout): // a connection limit can block Accept
	}
	// If the listener is closed already, Close fails without effect.
	_ = s.listener.Close()
}

// forceClose closes all connections when the time to stop has run out, and logs which
// requests that aborts.
func (s *Server) forceClose() error {
	var names []string
	s.mu.Lock()
	open, n := len(s.conns), len(s.requests)
	for r := range s.requests {
		if len(names) < maxLoggedRequests {
			names = append(names, s.requestName(r))
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	if n == 0 {
		s.log.Info("Connections without a complete request were closed.", zap.String("listener", s.name), zap.Int("connections", open))
		return errors.Wrapf(s.http.Close(), "close listener %s", s.name)
	}
	s.log.Warn("Requests were cut off at the stop.", zap.String("listener", s.name), zap.Int("requests", n), zap.Strings("named", names))
	if err := s.http.Close(); err != nil {
		s.log.Warn("Connections could not be closed.", zap.String("listener", s.name), zap.Error(err))
	}
	return errors.Errorf("listener %s: %d requests were cut off at the stop", s.name, n)
}

// checkHead reports whether a head exceeds a limit, and which.
func (s *Server) checkHead(h *headCounter) (Reason, bool) {
	limit := s.limits().HeadBytes
	if limit <= 0 {
		limit = s.http.MaxHeaderBytes
	}
	switch {
	case limit > 0 && h.bytes > limit+headMargin:
		return HeadBytes, true
	case h.lines > maxHeadLines:
		return HeadLines, true
	case h.emptyLines > maxEmptyLines:
		return EmptyLines, true
	}
	return 0, false
}

// remaining returns the number of connections and requests to wait for.
func (s *Server) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleClosed && s.certificate != "" {
		// Bytes read on a TLS connection don't tell whether they belong to a request.
		return len(s.requests)
	}
	n := 0
	for c := range s.conns {
		if !s.idleClosed || c.inUse() {
			n++
		}
	}
	return n
}

// closeIdle closes the connections on which no part of a request has been read.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleClosed = true
	if s.certificate != "" {
		return
	}
	for c := range s.conns {
		c.stopReading()
	}
}

// notify makes Stop check again what it has to wait for.
func (s *Server) notify() {
	if !s.draining.Load() {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// onConnState is the ConnState callback of the http.Server.
func (s *Server) onConnState(n net.Conn, state http.ConnState) {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setActive()
	case http.StateIdle:
		c.setIdle()
		s.mu.Lock()
		if s.idleClosed && s.certificate == "" {
			c.stopReading()
		}
		s.mu.Unlock()
		s.notify()
	}
}

// trackRequests returns a handler that registers each request while h handles it, and
// makes responses close their connections after Drain.
func (s *Server) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.requests[r] = struct{}{}
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			delete(s.requests, r)
			s.mu.Unlock()
			s.notify()
		}()
		rw := &responseWriter{ResponseWriter: w, server: s}
		if r.Body != nil && r.Body != http.NoBody {
			b := &chargedBody{ReadCloser: r.Body, budget: s.budget, declared: r.ContentLength}
			defer b.release()
			r.Body = b
		}
		h.ServeHTTP(rw, r)
		if !rw.wroteHeader && s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	})
}

// responseWriter is an http.ResponseWriter that decides whether the response closes its
// connection when the head is written.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.wroteHeader && (status >= http.StatusOK || status == http.StatusSwitchingProtocols) {
		w.wroteHeader = true
		if w.server.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// FlushError is used by http.ResponseController.
func (w *responseWriter) FlushError() error {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
