package head

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Monitor counts and logs the invalid heads and trailers that a process receives. The zero
// value does neither. It is safe for concurrent use.
type Monitor struct {
	faults *prometheus.CounterVec
	log    *zap.Logger
}

// NewMonitor returns a Monitor and registers its metric.
func NewMonitor(r prometheus.Registerer, log *zap.Logger) *Monitor {
	m := &Monitor{log: log.Named("upstream"), faults: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryrock_upstream_invalid_answers_total", Help: "Answers of upstreams that were discarded because they are no valid HTTP, by fault.",
	}, []string{"fault"})}
	r.MustRegister(m.faults)
	return m
}

// Record records the error of an exchange with an upstream if it is an *Error.
func (m *Monitor) Record(u fleet.UpstreamID, address string, err error) {
	var e *Error
	if m.faults == nil || !errors.As(err, &e) {
		return
	}
	m.faults.WithLabelValues(e.Fault.String()).Inc()
	m.log.Warn("An upstream sent an invalid answer.", zap.String("upstream", string(u)), zap.String("address", address),
		zap.Stringer("fault", e.Fault), zap.Error(e))
}
