// Package listener serves HTTP at an address and stops without cutting off
// requests.
//
//	s := listener.New("callers", l, &http.Server{Handler: h}, clock, log)
//	...
//	s.Drain()         // answers from now on close their connections
//	err := s.Stop(ctx) // returns once all requests are answered, or at the end of ctx
//
// Shutdown of http.Server alone is not enough: it drops requests whose head becomes
// complete after its call, closes kept connections in the moment in which a client
// may use them, and leaves connections in the accept queue without an answer.
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
	// idleLinger is how long connections without a request stay open after the
	// listener has closed, so that clients that use them in this moment get an answer
	// that closes them. Requests that the platform sends to a gateway later than 3 s
	// after SIGTERM must not be cut off at the end of the grace time; the gateway
	// closes its listener after 2.6 s.
	idleLinger = 300 * time.Millisecond
	// acceptPause is the time without a further connection after which the accept
	// queue counts as empty, and acceptTime bounds the time until then.
	acceptPause = 5 * time.Millisecond
	acceptTime  = 100 * time.Millisecond
	// lateRead is the time for bytes that have come to be read after a deadline.
	lateRead = time.Millisecond
	// maxNamed bounds the requests that the log names when they are cut off.
	maxNamed = 100
)

// Server is one HTTP listener.
type Server struct {
	name     string
	http     *http.Server
	clock    fleet.Clock
	log      *zap.Logger
	listener *queue
	wrap     func(net.Listener) net.Listener
	failed   func(error)
	// certificate and key are PEM files. Empty ones mean plain HTTP.
	certificate, key string

	identify func(*http.Request) string
	limits   func() Limits

	draining atomic.Bool
	stopping atomic.Bool
	served   chan struct{} // closed when no further connection is accepted
	changed  chan struct{} // gets a token when a connection or a request has ended

	mu    sync.Mutex
	conns map[*conn]struct{}
	// requests are those that handlers work on.
	requests map[*http.Request]struct{}
	// lingered tells that connections without a request are closed.
	lingered bool
}

// Option changes a Server at its construction.
type Option func(*Server)

// Wrap sets a function that wraps the accepting listener.
func Wrap(f func(net.Listener) net.Listener) Option { return func(s *Server) { s.wrap = f } }

// TLS serves TLS with a certificate and key, which are PEM files.
func TLS(certificate, key string) Option {
	return func(s *Server) { s.certificate, s.key = certificate, key }
}

// Identify sets a function that names a request in the log. Without it the log has
// method and path.
func Identify(f func(*http.Request) string) Option { return func(s *Server) { s.identify = f } }

// Limits bound the time that a client takes. A limit of 0 leaves that of the
// http.Server, which is the longest in any case.
type Limits struct {
	// Head is the time for the head of a request, from the first look for it on.
	Head time.Duration
	// Idle is the time between two requests.
	Idle time.Duration
}

// Limit sets a function that returns the limits in force, which may change.
func Limit(f func() Limits) Option { return func(s *Server) { s.limits = f } }

// Failed sets a function that gets the error after which no further connection is
// accepted, unless that was asked for.
func Failed(f func(error)) Option { return func(s *Server) { s.failed = f } }

// Listen opens a TCP listener for a Server.
func Listen(name, address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "open listener %s", name)
	}
	return l.(*net.TCPListener), nil
}

// New serves v at l until Stop. It owns v and l from then on.
func New(name string, l *net.TCPListener, v *http.Server, c fleet.Clock, log *zap.Logger, options ...Option) *Server {
	s := &Server{
		name: name, http: v, clock: c, log: log, listener: &queue{TCPListener: l},
		wrap: func(l net.Listener) net.Listener { return l }, failed: func(error) {},
		limits:   func() Limits { return Limits{} },
		identify: func(r *http.Request) string { return r.Method + " " + r.URL.Path },
		served:   make(chan struct{}), changed: make(chan struct{}, 1), conns: make(map[*conn]struct{}),
		requests: make(map[*http.Request]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	v.Handler = s.closing(v.Handler)
	v.ConnState = s.follow
	accepting := &tracker{Listener: s.wrap(s.listener), server: s}
	go func() {
		defer close(s.served)
		var err error
		if s.certificate != "" {
			err = v.ServeTLS(accepting, s.certificate, s.key)
		} else {
			err = v.Serve(accepting)
		}
		if !s.stopping.Load() {
			s.failed(errors.Wrapf(err, "listener %s", name))
		}
	}()
	return s
}

// Drain tells clients with each answer whose head is not written yet not to use the
// connection again. The listener still accepts connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop accepts no further connection and waits until all requests are answered, also
// those whose head is not complete yet. Connections without a request are closed
// after a short time. At the end of ctx it closes all connections; the error tells
// how many requests that cut off.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.closeListener()
	linger := s.clock.After(idleLinger)
	for s.remaining() > 0 {
		select {
		case <-s.changed:
		case <-linger:
			s.endIdle()
		case <-ctx.Done():
			return s.cut()
		}
	}
	// What is left are connections without a request, and those of HTTP/2, which
	// Shutdown ends.
	if err := s.http.Shutdown(ctx); err != nil {
		return s.cut()
	}
	return nil
}

// closeListener accepts what is in the queue and closes the listener. Connections
// that arrive between the last look and the close are refused by the kernel.
func (s *Server) closeListener() {
	s.stopping.Store(true)
	s.listener.finish()
	select {
	case <-s.served:
	case <-time.After(2 * acceptTime): // a limit of connections holds up the accepting
	}
	// The second close of a listener fails without an effect.
	_ = s.listener.Close()
}

// cut closes all connections at the end of the time and tells which requests that
// cuts off.
func (s *Server) cut() error {
	var names []string
	s.mu.Lock()
	open, n := len(s.conns), len(s.requests)
	for r := range s.requests {
		if len(names) < maxNamed {
			names = append(names, s.identify(r))
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	if n == 0 {
		s.log.Info("Connections without a whole request were closed.", zap.String("listener", s.name), zap.Int("connections", open))
		return errors.Wrapf(s.http.Close(), "close listener %s", s.name)
	}
	s.log.Warn("Requests were cut off at the stop.", zap.String("listener", s.name), zap.Int("requests", n), zap.Strings("named", names))
	if err := s.http.Close(); err != nil {
		s.log.Warn("Connections could not be closed.", zap.String("listener", s.name), zap.Error(err))
	}
	return errors.Errorf("listener %s: %d requests were cut off at the stop", s.name, n)
}

// remaining returns the number of connections and requests to wait for.
func (s *Server) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lingered && s.certificate != "" {
		// The bytes of a TLS connection do not tell whether it has a request.
		return len(s.requests)
	}
	n := 0
	for c := range s.conns {
		if !s.lingered || c.inUse() {
			n++
		}
	}
	return n
}

// endIdle closes the connections on which nothing of a request has come.
func (s *Server) endIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingered = true
	if s.certificate != "" {
		return
	}
	for c := range s.conns {
		c.end()
	}
}

// notify wakes Stop.
func (s *Server) notify() {
	if !s.draining.Load() {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// follow implements http.Server.ConnState.
func (s *Server) follow(n net.Conn, state http.ConnState) {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.activate()
	case http.StateIdle:
		c.rest()
		s.mu.Lock()
		if s.lingered && s.certificate == "" {
			c.end()
		}
		s.mu.Unlock()
		s.notify()
	}
}

func (s *Server) closing(h http.Handler) http.Handler {
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
		v := &writer{ResponseWriter: w, server: s}
		h.ServeHTTP(v, r)
		if !v.begun && s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	})
}

// writer is a ResponseWriter that decides when the head is written whether the
// answer closes its connection.
type writer struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if !w.begun && (status >= http.StatusOK || status == http.StatusSwitchingProtocols) {
		w.begun = true
		if w.server.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// FlushError is used by http.ResponseController.
func (w *writer) FlushError() error {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
