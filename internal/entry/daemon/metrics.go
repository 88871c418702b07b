package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
)

// durationBuckets are the upper bounds of the request duration buckets, in seconds.
var durationBuckets = prometheus.ExponentialBuckets(0.001, 2, 18)

// requestMetrics records the durations of callers' requests.
type requestMetrics struct{ duration *prometheus.HistogramVec }

func newRequestMetrics(r prometheus.Registerer) *requestMetrics {
	m := &requestMetrics{duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bilberryrock_request_duration_seconds",
		Help:    "Duration of requests of callers, by the code of the answer.",
		Buckets: durationBuckets,
	}, []string{"code"})}
	r.MustRegister(m.duration)
	return m
}

func (m *requestMetrics) observe(code string, duration time.Duration) {
	m.duration.WithLabelValues(code).Observe(duration.Seconds())
}

// registerMetrics registers the metrics of all components.
func (d *Daemon) registerMetrics() {
	d.metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		d.controllers.gate,
		&poolMetrics{daemon: d},
	)
	if d.state.voter != nil {
		d.metrics.MustRegister(d.state.voter.Collector())
	}
	d.gauge("configuration_revision", "Revision of the configuration in force.", func() float64 { return float64(d.activeRevision()) })
	d.gauge("configuration_age_seconds", "Time since a peer confirmed that the configuration in force is the newest.", func() float64 {
		return d.state.follower.Status().ConfirmationAge(d.clock.Now()).Seconds()
	})
	d.gauge("instances_alive", "Instances that are known to be alive.", func() float64 { return float64(len(aliveIn(d.members(), ""))) })
	d.gauge("instances_lost", "Instances that are suspect or dead.", func() float64 { return float64(countLost(d.members())) })
	d.counter("gossip_sent_bytes_total", "Bytes of gossip that were sent.", func() float64 { return float64(d.node.Stats().SentBytes) })
	d.counter("gossip_received_bytes_total", "Bytes of gossip that were received.", func() float64 { return float64(d.node.Stats().ReceivedBytes) })
	d.counter("gossip_refused_total", "Datagrams with a wrong authentication code.", func() float64 { return float64(d.node.Stats().Refused) })
	d.counter("upstream_conflicts_total", "Announcements that contradict a known upstream.", func() float64 { return float64(d.controllers.roster.Conflicts()) })
}

func (d *Daemon) gauge(name, help string, value func() float64) {
	d.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bilberryrock_" + name, Help: help}, value))
}

func (d *Daemon) counter(name, help string, value func() float64) {
	d.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bilberryrock_" + name, Help: help}, value))
}

func countLost(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.Status == membership.Suspect || m.Status == membership.Dead {
			n++
		}
	}
	return n
}

// poolMetrics collects the metrics of the pools of the active configuration.
type poolMetrics struct{ daemon *Daemon }

// Describe implements prometheus.Collector. It sends no descriptors, because the set
// of pools changes with the configuration.
func (m *poolMetrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m *poolMetrics) Collect(out chan<- prometheus.Metric) {
	config := m.daemon.activeConfig()
	if config == nil {
		return
	}
	for id := range config.Pools {
		pool.Collector{ID: id, Pool: m.daemon.controllers.dispatcher.Pool(id)}.Collect(out)
	}
}
