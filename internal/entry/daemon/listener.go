package daemon

import (
	"net"
	"net/http"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/entry/listener"
	"github.com/bilberryrock/bilberryrock/internal/entry/timed"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// startServer opens a listener and serves h until the server is stopped. If the listener
// fails, the error is sent to failed. With a certificate and key it serves TLS.
//
// All listeners of a daemon share the budget; nil means one with the default limits.
//
// ReadTimeout and WriteTimeout of http.Server stay zero, because they would abort
// responses that take longer. Each request body and each write has a deadline instead.
func startServer(name, address string, h http.Handler, l entry.Limits, certificate, key string, budget *listener.Budget, c fleet.Clock, log *zap.Logger, failed chan<- error) (*listener.Server, error) {
	tcpListener, err := listener.Listen(name, address)
	if err != nil {
		return nil, err
	}
	l = l.WithDefaults()
	server := &http.Server{
		Handler:           timed.Body(h, l.ReadTimeout),
		ReadHeaderTimeout: l.ReadTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(log),
	}
	return listener.New(name, tcpListener, server, c, log,
		listener.WithWrapper(func(n net.Listener) net.Listener {
			return timedListener{Listener: netutil.LimitListener(n, l.MaxConnections), timeout: l.WriteTimeout}
		}),
		listener.WithTLS(certificate, key),
		listener.WithBudget(budget),
		listener.WithFailureHandler(func(err error) { failed <- err }),
	), nil
}
