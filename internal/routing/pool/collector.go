package pool

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/routing"
)

var (
	workDesc      = prometheus.NewDesc("bilberryrock_routing_work_total", "Pieces of work by how they ended.", []string{"pool", "result"}, nil)
	pickedDesc    = prometheus.NewDesc("bilberryrock_routing_picked_total", "Choices of an upstream.", []string{"pool"}, nil)
	ejectionsDesc = prometheus.NewDesc("bilberryrock_routing_ejections_total", "Upstreams taken out of use.", []string{"pool"}, nil)
	usableDesc    = prometheus.NewDesc("bilberryrock_routing_usable_upstreams", "Usable upstreams.", []string{"pool"}, nil)
	slotsDesc     = prometheus.NewDesc("bilberryrock_routing_slots", "Slots of usable upstreams, scaled by health.", []string{"pool"}, nil)
)

// Collector exports the counters and the load of a Pool as metrics.
type Collector struct {
	ID   fleet.PoolID
	Pool *Pool
}

var _ prometheus.Collector = Collector{}

// Describe implements prometheus.Collector.
func (c Collector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect implements prometheus.Collector.
func (c Collector) Collect(out chan<- prometheus.Metric) {
	counts, load := c.Pool.Counters(), c.Pool.Load()
	id := string(c.ID)
	send := func(d *prometheus.Desc, t prometheus.ValueType, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, t, v, append([]string{id}, labels...)...)
	}
	send(pickedDesc, prometheus.CounterValue, float64(counts.Picked))
	send(workDesc, prometheus.CounterValue, float64(counts.Succeeded), Succeeded.String())
	send(workDesc, prometheus.CounterValue, float64(counts.Failed), Failed.String())
	send(workDesc, prometheus.CounterValue, float64(counts.Canceled), Canceled.String())
	send(workDesc, prometheus.CounterValue, float64(counts.Unreachable), Unreachable.String())
	send(ejectionsDesc, prometheus.CounterValue, float64(counts.Ejections))
	send(usableDesc, prometheus.GaugeValue, float64(load.Upstreams))
	send(slotsDesc, prometheus.GaugeValue, load.Slots)
}

// View returns the state of every usable upstream, for operators. It visits all
// upstreams and is not meant for the hot path.
func (p *Pool) View() []routing.Candidate {
	set := p.members.Load()
	now := p.offset(p.clock.Now())
	view := make([]routing.Candidate, len(set.all))
	for i, m := range set.all {
		view[i] = m.candidate(set, &Request{}, m.health(), now)
	}
	return view
}
