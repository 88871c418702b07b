package gate

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

var (
	admittedDesc       = prometheus.NewDesc("bilberryrock_admission_admitted_total", "Requests that got a place.", []string{"pool"}, nil)
	refusedDesc        = prometheus.NewDesc("bilberryrock_admission_refused_total", "Requests that were refused and not run, by reason.", []string{"pool", "code"}, nil)
	abandonedDesc      = prometheus.NewDesc("bilberryrock_admission_abandoned_total", "Requests whose caller went away while they waited.", []string{"pool"}, nil)
	waitingDesc        = prometheus.NewDesc("bilberryrock_admission_waiting", "Requests that wait for a place.", []string{"pool"}, nil)
	runningDesc        = prometheus.NewDesc("bilberryrock_admission_running", "Requests that have a place.", []string{"pool"}, nil)
	permitsDesc        = prometheus.NewDesc("bilberryrock_admission_places", "Places of this instance.", []string{"pool"}, nil)
	accountRefusedDesc = prometheus.NewDesc("bilberryrock_admission_account_refused_total", "Requests over the share of their account, by limit.", []string{"limit"}, nil)
	trackedDesc        = prometheus.NewDesc("bilberryrock_admission_tracked_accounts", "Accounts with state.", nil, nil)
)

var _ prometheus.Collector = (*Gate)(nil)

// Describe implements prometheus.Collector.
func (g *Gate) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{admittedDesc, refusedDesc, abandonedDesc, waitingDesc, runningDesc, permitsDesc, accountRefusedDesc, trackedDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (g *Gate) Collect(out chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, t prometheus.ValueType, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, t, v, labels...)
	}
	for _, p := range g.Pools() {
		c, id := g.Counters(p), string(p)
		send(admittedDesc, prometheus.CounterValue, float64(c.Admitted), id)
		send(refusedDesc, prometheus.CounterValue, float64(c.RefusedOverloaded), id, refusal.Overloaded.Response().Code)
		send(refusedDesc, prometheus.CounterValue, float64(c.RefusedDeadline), id, refusal.Deadline.Response().Code)
		send(refusedDesc, prometheus.CounterValue, float64(c.RefusedQuietHours), id, refusal.QuietHours.Response().Code)
		send(abandonedDesc, prometheus.CounterValue, float64(c.Abandoned), id)
		send(waitingDesc, prometheus.GaugeValue, float64(c.Waiting), id)
		send(runningDesc, prometheus.GaugeValue, float64(c.Running), id)
		send(permitsDesc, prometheus.GaugeValue, c.Permits, id)
	}
	l := g.limiter.Counters()
	send(accountRefusedDesc, prometheus.CounterValue, float64(l.RefusedRate), "rate")
	send(accountRefusedDesc, prometheus.CounterValue, float64(l.RefusedInFlight), "inFlight")
	send(trackedDesc, prometheus.GaugeValue, float64(l.Tracked))
}
