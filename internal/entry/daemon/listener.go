package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/entry/timed"
)

// server is one HTTP listener of the daemon.
type server struct {
	name string
	http *http.Server
	// draining makes each answer the last one of its connection.
	draining atomic.Bool
}

// startServer opens a listener and serves h in a goroutine until shutdown. A
// failure is sent to failed. With a certificate and key it serves TLS.
//
// ReadTimeout and WriteTimeout of http.Server stay zero: they would cut off
// answers that take longer. Each body and write has a deadline instead.
func startServer(name, address string, h http.Handler, l entry.Limits, certificate, key string, log *zap.Logger, failed chan<- error) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "open listener %s", name)
	}
	l = l.WithDefaults()
	listener = timedListener{Listener: netutil.LimitListener(listener, l.MaxConnections), timeout: l.WriteTimeout}
	s := &server{name: name}
	s.http = &http.Server{
		Handler:           s.closing(timed.Body(h, l.ReadTimeout)),
		ReadHeaderTimeout: l.ReadTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeader,
		ErrorLog:          zap.NewStdLog(log),
	}
	go func() {
		var err error
		if certificate != "" {
			err = s.http.ServeTLS(listener, certificate, key)
		} else {
			err = s.http.Serve(listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrapf(err, "listener %s", name)
		}
	}()
	return s, nil
}

// drain tells clients with each answer not to use the connection again. Without
// it, Shutdown closes kept connections in the moment in which a client may send
// its next request, and the client sees the request cut off.
func (s *server) drain() { s.draining.Store(true) }

func (s *server) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// stop waits until all requests are answered, for at most the given time.
func (s *server) stop(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return errors.Wrapf(err, "stop listener %s", s.name)
	}
	return nil
}
