package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the request metrics of a gateway.
type Metrics struct {
	requests      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	stalls        prometheus.Counter
	retriesDenied prometheus.Counter
	crashes       prometheus.Counter
	withheldSends prometheus.Counter
	retryWaiting  prometheus.Gauge
	retryWaits    *prometheus.HistogramVec
}

// NewMetrics registers the metrics of a gateway.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryrock_gateway_requests_total", Help: "Finished requests by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryrock_gateway_refusals_total", Help: "Requests refused by the gateway, by error kind.",
		}, []string{"kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bilberryrock_gateway_request_seconds", Help: "Time from the head of a request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"outcome"}),
		stalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryrock_gateway_stalls_total", Help: "Checks of streams that made no progress.",
		}),
		retriesDenied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryrock_gateway_retries_denied_total", Help: "Requests that the retry budget of all gateways did not allow a further send.",
		}),
	}
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bilberryrock_gateway_prompt_crashes_total", Help: "Attempts whose engine crashed before it responded to a prompt that may be the cause.",
	})
	m.withheldSends = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bilberryrock_gateway_withheld_sends_total", Help: "Attempts that were not sent because an upstream was paused or began to leave after it was selected.",
	})
	m.retryWaiting = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "bilberryrock_gateway_streams_awaiting_retry", Help: "Started streams that wait for the retry budget of all gateways.",
	})
	m.retryWaits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bilberryrock_gateway_retry_wait_seconds", Help: "Time that started streams waited for the retry budget, by how the wait ended.",
		Buckets: prometheus.ExponentialBuckets(0.02, 2, 8),
	}, []string{"end"})
	r.MustRegister(m.requests, m.refusals, m.latency, m.stalls, m.retriesDenied, m.crashes, m.withheldSends, m.retryWaiting, m.retryWaits)
	return m
}

func (m *Metrics) finished(outcome string, took time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.latency.WithLabelValues(outcome).Observe(took.Seconds())
}

func (m *Metrics) refused(kind string) { m.refusals.WithLabelValues(kind).Inc() }

func (m *Metrics) stalled() { m.stalls.Inc() }

func (m *Metrics) retryDenied() { m.retriesDenied.Inc() }

func (m *Metrics) crashed() { m.crashes.Inc() }

func (m *Metrics) withheld() { m.withheldSends.Inc() }

func (m *Metrics) retryWaitStarted() { m.retryWaiting.Inc() }

// retryWaitEnded records the wait of a started stream. late reports whether the client
// has probably abandoned the stream meanwhile.
func (m *Metrics) retryWaitEnded(continued, late bool, took time.Duration) {
	end := "broken"
	switch {
	case continued && late:
		end = "continuedLate"
	case continued:
		end = "continued"
	}
	m.retryWaiting.Dec()
	m.retryWaits.WithLabelValues(end).Observe(took.Seconds())
}
