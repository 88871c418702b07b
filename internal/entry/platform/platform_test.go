package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryrock/bilberryrock/internal/entry/platform"
)

func statusOf(h http.Handler, method, path string) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code
}

// TestHealth guards against a daemon that gets requests before it is ready or while it
// stops, and against one that is restarted because it is not ready.
func TestHealth(t *testing.T) {
	is := is.New(t)
	var health platform.Health
	h := platform.Handler(&health, prometheus.NewRegistry(), nil)
	is.Equal(statusOf(h, http.MethodGet, "/ready"), http.StatusServiceUnavailable)
	health.SetReady()
	is.Equal(statusOf(h, http.MethodGet, "/ready"), http.StatusOK)
	health.SetNotReady("stopping")
	is.Equal(statusOf(h, http.MethodGet, "/ready"), http.StatusServiceUnavailable)
	is.Equal(statusOf(h, http.MethodGet, "/live"), http.StatusOK)
	is.Equal(statusOf(h, http.MethodGet, "/metrics"), http.StatusOK)
}

// TestFaultsAreOff guards against fault injection in a daemon whose settings don't
// enable it.
func TestFaultsAreOff(t *testing.T) {
	is := is.New(t)
	off := platform.Handler(&platform.Health{}, prometheus.NewRegistry(), nil)
	is.Equal(statusOf(off, http.MethodPost, "/faults"), http.StatusNotFound)
	on := platform.Handler(&platform.Health{}, prometheus.NewRegistry(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	is.Equal(statusOf(on, http.MethodPost, "/faults"), http.StatusOK)
}
