package voter

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// collectTimeout limits how long a scrape waits for a group whose goroutine is
// blocked by disk I/O.
const collectTimeout = time.Second

// collector implements prometheus.Collector. It reads the status of all groups at
// each scrape.
type collector struct {
	voter   *Voter
	leads   *prometheus.Desc
	term    *prometheus.Desc
	commit  *prometheus.Desc
	applied *prometheus.Desc
	failed  *prometheus.Desc
	lag     *prometheus.Desc
	active  *prometheus.Desc
}

// Collector returns the metrics of all groups, for a prometheus.Registerer.
func (v *Voter) Collector() prometheus.Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		full := prometheus.BuildFQName("bilberryrock", "quorum", name)
		return prometheus.NewDesc(full, help, append([]string{"group"}, labels...), nil)
	}
	return &collector{
		voter:   v,
		leads:   describe("leads", "1 on the voter that leads the group."),
		term:    describe("term", "Term of the group."),
		commit:  describe("commit_index", "Index of the last committed entry."),
		applied: describe("applied_index", "Index of the last applied entry."),
		failed:  describe("failed", "1 if the replica can't continue."),
		lag:     describe("member_lag_entries", "Entries of the leader that a member has not synced.", "instance", "voter"),
		active:  describe("member_active", "1 if a member answers the leader.", "instance", "voter"),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.leads, c.term, c.commit, c.applied, c.failed, c.lag, c.active} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(c.voter.ctx, collectTimeout)
	defer cancel()
	for _, s := range c.voter.Status(ctx) {
		c.collectGroup(ch, s)
	}
}

func (c *collector) collectGroup(ch chan<- prometheus.Metric, s GroupStatus) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		labels = append([]string{string(s.Group)}, labels...)
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	leads := s.Leader == s.Voter && s.Failure == ""
	gauge(c.leads, boolToFloat(leads))
	gauge(c.term, float64(s.Term))
	gauge(c.commit, float64(s.Commit))
	gauge(c.applied, float64(s.Applied))
	gauge(c.failed, boolToFloat(s.Failure != ""))
	if !leads {
		return // Only the leader knows the state of the members.
	}
	for _, m := range s.Members {
		id := strconv.FormatUint(uint64(m.ID), 10)
		gauge(c.lag, float64(m.Lag), m.Instance, id)
		gauge(c.active, boolToFloat(m.Active && !m.Lost), m.Instance, id)
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
