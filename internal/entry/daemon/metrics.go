package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
)

// answerBuckets are upper bounds of the duration of requests in seconds.
var answerBuckets = prometheus.ExponentialBuckets(0.001, 2, 18)

// answers counts the answers to callers.
type answers struct{ took *prometheus.HistogramVec }

func newAnswers(r prometheus.Registerer) *answers {
	a := &answers{took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bilberryrock_request_duration_seconds",
		Help:    "Duration of requests of callers, by the code of the answer.",
		Buckets: answerBuckets,
	}, []string{"code"})}
	r.MustRegister(a.took)
	return a
}

func (a *answers) observe(code string, took time.Duration) {
	a.took.WithLabelValues(code).Observe(took.Seconds())
}

// registerMetrics adds the metrics of all parts.
func (d *Daemon) registerMetrics() {
	d.metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		d.decisions.gate,
		&poolMetrics{daemon: d},
	)
	if d.state.voter != nil {
		d.metrics.MustRegister(d.state.voter.Collector())
	}
	d.gauge("configuration_revision", "Revision of the configuration in force.", func() float64 { return float64(d.revision()) })
	d.gauge("configuration_age_seconds", "Time since a peer confirmed that the configuration in force is the newest.", func() float64 {
		return d.state.follower.Status().ConfirmationAge(d.clock.Now()).Seconds()
	})
	d.gauge("instances_alive", "Instances that are known to be alive.", func() float64 { return float64(len(aliveIn(d.members(), ""))) })
	d.gauge("instances_lost", "Instances that are suspect or dead.", func() float64 { return float64(lost(d.members())) })
	d.counter("gossip_sent_bytes_total", "Bytes of gossip that were sent.", func() float64 { return float64(d.node.Stats().SentBytes) })
	d.counter("gossip_received_bytes_total", "Bytes of gossip that were received.", func() float64 { return float64(d.node.Stats().ReceivedBytes) })
	d.counter("gossip_refused_total", "Datagrams with a wrong authentication code.", func() float64 { return float64(d.node.Stats().Refused) })
	d.counter("upstream_conflicts_total", "Announcements that contradict a known upstream.", func() float64 { return float64(d.decisions.roster.Conflicts()) })
}

func (d *Daemon) gauge(name, help string, value func() float64) {
	d.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bilberryrock_" + name, Help: help}, value))
}

func (d *Daemon) counter(name, help string, value func() float64) {
	d.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bilberryrock_" + name, Help: help}, value))
}

func lost(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.Status == membership.Suspect || m.Status == membership.Dead {
			n++
		}
	}
	return n
}

// poolMetrics collects the metrics of the pools that the configuration in force
// names.
type poolMetrics struct{ daemon *Daemon }

// Describe implements prometheus.Collector. The pools change, so it describes
// none of them.
func (m *poolMetrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m *poolMetrics) Collect(out chan<- prometheus.Metric) {
	config := m.daemon.inForce()
	if config == nil {
		return
	}
	for id := range config.Pools {
		pool.Collector{ID: id, Pool: m.daemon.decisions.dispatcher.Pool(id)}.Collect(out)
	}
}
