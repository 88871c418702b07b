// Package platform serves the endpoints that the hosting platform uses: /live, /ready
// and /metrics.
//
// The daemon is ready once it has an active configuration and its listeners are open.
// It becomes not ready at the start of a graceful stop, so that the load balancer sends
// new requests to other instances.
package platform

import (
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Health holds the readiness of a daemon. The zero value is not ready. It is
// safe for concurrent use.
type Health struct {
	state atomic.Pointer[string]
}

// SetReady makes the daemon ready.
func (h *Health) SetReady() {
	ready := ""
	h.state.Store(&ready)
}

// SetNotReady makes the daemon not ready. The reason is a text for operators.
func (h *Health) SetNotReady(reason string) { h.state.Store(&reason) }

// Reason returns why the daemon is not ready, or "" if it is.
func (h *Health) Reason() string {
	if reason := h.state.Load(); reason != nil {
		return *reason
	}
	return "starting"
}

// Handler returns the handler of all paths. If faults is not nil, it also serves
// POST /faults, which is for tests only.
func Handler(h *Health, metrics prometheus.Gatherer, faults http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Get("/live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("live\n"))
	})
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := h.Reason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	r.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	if faults != nil {
		r.Method(http.MethodPost, "/faults", faults)
	}
	return r
}
