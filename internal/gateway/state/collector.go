package state

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// maxLevelLabel bounds the values of the label "level". Less urgent levels are added up.
const maxLevelLabel = 9

var (
	admissionOffered = prometheus.NewDesc("bilberryrock_gateway_admission_offered_total",
		"Streams offered to the admission control of a service, by level.", []string{"service", "level"}, nil)
	admissionAdmitted = prometheus.NewDesc("bilberryrock_gateway_admission_admitted_total",
		"Streams admitted at a service under admission control, by level.", []string{"service", "level"}, nil)
	admissionRefused = prometheus.NewDesc("bilberryrock_gateway_admission_refused_total",
		"Streams refused at a service under admission control, by level.", []string{"service", "level"}, nil)
	admissionFraction = prometheus.NewDesc("bilberryrock_gateway_admission_fraction",
		"Fraction of the streams of a level that all gateways together admit.", []string{"service", "level"}, nil)
	admissionCapacity = prometheus.NewDesc("bilberryrock_gateway_admission_capacity_streams",
		"Capacity of the engines of a service in streams of mean size, or 0 if it is unknown.", []string{"service"}, nil)
	admissionActive = prometheus.NewDesc("bilberryrock_gateway_admission_active_streams",
		"Load of all gateways on the engines of a service, in streams of mean size.", []string{"service"}, nil)
	admissionSumsAge = prometheus.NewDesc("bilberryrock_gateway_admission_sums_age_seconds",
		"Age of the sums of all gateways.", []string{"service"}, nil)
)

// admissionCollector collects the metrics of the services under admission control.
type admissionCollector struct{ state *State }

// AdmissionCollector returns the metrics of the admission control.
func (s *State) AdmissionCollector() prometheus.Collector { return admissionCollector{s} }

// Describe implements prometheus.Collector.
func (c admissionCollector) Describe(ds chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		admissionOffered, admissionAdmitted, admissionRefused, admissionFraction, admissionCapacity, admissionActive, admissionSumsAge,
	} {
		ds <- d
	}
}

// Collect implements prometheus.Collector.
func (c admissionCollector) Collect(ms chan<- prometheus.Metric) {
	quotas := make(map[fleet.PoolID]*quota.Quota)
	c.state.mu.RLock()
	for id, p := range c.state.pools {
		if p.Admission != nil {
			quotas[id] = p.Admission
		}
	}
	c.state.mu.RUnlock()
	for id, q := range quotas {
		collectQuota(ms, string(id), q.Status())
	}
}

func collectQuota(ms chan<- prometheus.Metric, service string, s quota.Status) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ms <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	totals, fractions := make(map[quota.Level]quota.LevelTotals), make(map[quota.Level]float64)
	for l, t := range s.Totals {
		k := min(l, maxLevelLabel)
		totals[k] = quota.LevelTotals{Offered: totals[k].Offered + t.Offered, Admitted: totals[k].Admitted + t.Admitted}
		fractions[k] = s.Plan.Level(k).Fraction()
	}
	for l, t := range totals {
		level := strconv.Itoa(int(l))
		counter := func(d *prometheus.Desc, n uint64) {
			ms <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), service, level)
		}
		counter(admissionOffered, t.Offered)
		counter(admissionAdmitted, t.Admitted)
		counter(admissionRefused, t.Offered-t.Admitted)
		gauge(admissionFraction, fractions[l], service, level)
	}
	gauge(admissionCapacity, s.Room.Capacity, service)
	gauge(admissionActive, s.Room.Active, service)
	gauge(admissionSumsAge, s.Age.Seconds(), service)
}
