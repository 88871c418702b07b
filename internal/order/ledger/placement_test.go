package ledger

import (
	"slices"
	"testing"
)

// The latency model of the design page: three data centres with a one-way delay of
// 0.25 ms between them. The sync time and the one-way delay inside a data centre are
// assumptions.
const (
	interDelay  = 0.25 // ms
	intraDelay  = 0.05 // ms
	syncTime    = 0.50 // ms
	dataCentres = 3
)

// placement is a set of groups, each given by the data centres of its voters. The
// first voter is the leader. Accounts are distributed evenly over the groups, and
// orders arrive in every data centre.
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

// failure names the data centre that is cut off, and the one where the first voter
// of each group lost its disk. -1 means none.
type failure struct{ cutOff, diskLost int }

func oneWayDelay(a, b int) float64 {
	if a == b {
		return intraDelay
	}
	return interDelay
}

// available returns the fraction of the orders arriving in a data centre whose group
// has a reachable majority.
func (p placement) available(dataCentre int, f failure) float64 {
	withMajority := 0
	for _, voters := range p.groups {
		reachable, lostDisk := 0, f.diskLost
		for _, v := range voters {
			switch {
			case v == lostDisk:
				lostDisk = -1
			case (v == f.cutOff) == (dataCentre == f.cutOff):
				reachable++
			}
		}
		if reachable > len(voters)/2 {
			withMajority++
		}
	}
	return float64(withMajority) / float64(len(p.groups))
}

// latency returns the mean time in ms that claim and finish add to an order.
func (p placement) latency() float64 {
	sum := 0.0
	for dataCentre := range dataCentres {
		for _, voters := range p.groups {
			sum += 2 * (2*oneWayDelay(dataCentre, voters[0]) + commitTime(voters))
		}
	}
	return sum / float64(dataCentres*len(p.groups))
}

// commitTime returns the time in ms until a majority of the voters has synced. The
// leader sends to the others while it syncs.
func commitTime(voters []int) float64 {
	times := []float64{syncTime}
	for _, v := range voters[1:] {
		times = append(times, syncTime+2*oneWayDelay(voters[0], v))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkPlacement compares groups that span all data centres with one group for
// each data centre.
func BenchmarkPlacement(b *testing.B) {
	for _, p := range placements {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				_ = p.latency()
			}
			b.ReportMetric(p.latency(), "ms/order")
			b.ReportMetric(100*p.available(0, failure{0, -1}), "%cutOff")
			b.ReportMetric(100*p.available(1, failure{0, -1}), "%others")
			b.ReportMetric(100*p.available(1, failure{-1, 0}), "%diskLost")
		})
	}
}
