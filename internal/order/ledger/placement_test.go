package ledger

import (
	"slices"
	"testing"
)

// The model of the design page: three data centres, 0.25 ms one way between them.
// The time for a sync and the latency inside a data centre are assumptions.
const (
	between = 0.25 // ms
	within  = 0.05 // ms
	sync1   = 0.50 // ms
	sites   = 3
)

// placement is a set of groups, each with the data centres of its voters. The
// first voter is the leader. Accounts are spread evenly over the groups, and
// orders enter in every data centre.
type placement struct {
	name   string
	groups [][]int
}

var placements = []placement{
	{"one group, 1 voter in each data centre", [][]int{{0, 1, 2}}},
	{"3 shards, 1 voter in each data centre", [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}}},
	{"3 shards, 5 voters", [][]int{{0, 1, 2, 0, 1}, {1, 2, 0, 0, 1}, {2, 0, 1, 0, 1}}},
	{"group per data centre, 1 voter", [][]int{{0}, {1}, {2}}},
	{"group per data centre, 2 voters", [][]int{{0, 0}, {1, 1}, {2, 2}}},
}

// failure says what fails, by data centre: one that is cut off, or one whose
// first voter lost its disk. None is -1.
type failure struct{ cut, disk int }

func delay(a, b int) float64 {
	if a == b {
		return within
	}
	return between
}

// served returns the share of the orders that enter in a data centre whose group
// has a reachable majority.
func (p placement) served(site int, f failure) float64 {
	good := 0
	for _, voters := range p.groups {
		reached, lost := 0, f.disk
		for _, v := range voters {
			switch {
			case v == lost:
				lost = -1
			case (v == f.cut) == (site == f.cut):
				reached++
			}
		}
		if reached > len(voters)/2 {
			good++
		}
	}
	return float64(good) / float64(len(p.groups))
}

// latency returns the mean time that claim and finish add to an order.
func (p placement) latency() float64 {
	sum := 0.0
	for site := range sites {
		for _, voters := range p.groups {
			sum += 2 * (2*delay(site, voters[0]) + commit(voters))
		}
	}
	return sum / float64(sites*len(p.groups))
}

// commit returns the time until a majority has synced. The leader syncs while it
// sends.
func commit(voters []int) float64 {
	times := []float64{sync1}
	for _, v := range voters[1:] {
		times = append(times, sync1+2*delay(voters[0], v))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkPlacement compares one set of groups over all voters with a group for
// each data centre.
func BenchmarkPlacement(b *testing.B) {
	for _, p := range placements {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				_ = p.latency()
			}
			b.ReportMetric(p.latency(), "ms/order")
			b.ReportMetric(100*p.served(0, failure{0, -1}), "%cutOff")
			b.ReportMetric(100*p.served(1, failure{0, -1}), "%others")
			b.ReportMetric(100*p.served(1, failure{-1, 0}), "%diskLost")
		})
	}
}
