package usage_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
)

func sorted(us []usage.UpstreamStats) []usage.UpstreamStats {
	slices.SortFunc(us, func(a, b usage.UpstreamStats) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return us
}

// fixture is a table with a fake clock that advances before each call of Sums, so that
// cached sums have expired.
type fixture struct {
	*usage.Table
	clock *fakeclock.Clock
}

func newFixture() fixture {
	c := fakeclock.New(fakeclock.Start)
	return fixture{Table: usage.New(c), clock: c}
}

func (f fixture) setGateway(g fleet.InstanceID, us ...usage.UpstreamStats) {
	f.SetGateway(g, usage.Report{Upstreams: us})
}

func (f fixture) sums(all bool) usage.Report {
	f.clock.Advance(50 * time.Millisecond)
	r := f.Sums(all)
	r.Upstreams = sorted(r.Upstreams)
	return r
}

func (f fixture) upstreams(all bool) []usage.UpstreamStats { return f.sums(all).Upstreams }

// Guards against sums that count a gateway twice or still count one that left, and
// against controllers that send each other's sums back.
func TestSums(t *testing.T) {
	is := is.New(t)
	u := newFixture()
	u.setGateway("g1", usage.UpstreamStats{ID: "e1", Active: 2})
	u.setGateway("g2", usage.UpstreamStats{ID: "e1", Active: 1}, usage.UpstreamStats{ID: "e2", Active: 5, OutOfMemory: true})
	u.setGateway("g1", usage.UpstreamStats{ID: "e1", Active: 3})
	u.SetPeer("c2", usage.Report{Gateways: 7, Upstreams: []usage.UpstreamStats{{ID: "e1", Active: 10}}})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 14}, {ID: "e2", Active: 5, OutOfMemory: true}})
	is.Equal(u.upstreams(false), []usage.UpstreamStats{{ID: "e1", Active: 4}, {ID: "e2", Active: 5, OutOfMemory: true}})
	is.Equal(u.sums(true).Gateways, 9)
	is.Equal(u.sums(false).Gateways, 2)
	u.DropGateway("g2")
	u.DropPeer("c2")
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 3}})
}

// Guards against attempts and retries that are counted twice, or lost together with the
// gateway that sent them.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	u := newFixture()
	attempts := func(a, r int) map[fleet.PoolID]budget.Count {
		return map[fleet.PoolID]budget.Count{"p": {Attempts: a, Retries: r}}
	}
	u.SetGateway("g1", usage.Report{Attempts: attempts(10, 2)})
	u.SetGateway("g2", usage.Report{Attempts: attempts(5, 1)})
	u.SetGateway("g2", usage.Report{Attempts: attempts(6, 1)})
	u.SetPeer("c2", usage.Report{Gateways: 3, Attempts: attempts(100, 20)})
	is.Equal(u.sums(true).Attempts, attempts(116, 23))
	is.Equal(u.sums(false).Attempts, attempts(16, 3))
}

// Guards against counting the last sums of a failed controller. Its gateways follow
// other controllers by then and would count twice, and the engines that they used would
// still count as serving.
func TestSilentControllersDoNotCount(t *testing.T) {
	is := is.New(t)
	u := newFixture()
	u.setGateway("g1", usage.UpstreamStats{ID: "e1", Active: 1})
	u.SetPeer("c2", usage.Report{Gateways: 3, Upstreams: []usage.UpstreamStats{{ID: "e1", Active: 10, Served: true}}})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 11, Served: true}})
	u.clock.Advance(2 * time.Second)
	u.setGateway("g1", usage.UpstreamStats{ID: "e1", Active: 1})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 1}})
	is.Equal(u.sums(true).Gateways, 1)
	u.clock.Advance(2 * time.Second)
	is.Equal(u.sums(true).Gateways, 0) // a gateway that failed without ending its stream
}

// Guards against a single gateway, which may itself be partitioned, that marks an
// upstream as failed for all others, and against failures that never expire.
func TestFailuresNeedTwoGateways(t *testing.T) {
	is := is.New(t)
	u := newFixture()
	u.setGateway("g1", usage.UpstreamStats{ID: "e1", Active: 1, Failed: true})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 1}})
	u.setGateway("g2", usage.UpstreamStats{ID: "e1", Failed: true})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 1, Failed: true}})
	u.clock.Advance(time.Second + 1)
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 1}})
	u.SetPeer("c2", usage.Report{Upstreams: []usage.UpstreamStats{{ID: "e3", Failed: true}}})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 1}, {ID: "e3", Failed: true}})
}

// Guards against offered streams that are counted twice, or that still count after their
// gateway has left, and against sums that grow with the number of accounts.
func TestDemands(t *testing.T) {
	is := is.New(t)
	u := newFixture()
	pair := func(i int) quota.Pair { return quota.Pair{Account: fleet.AccountID(rune('a' + i)), Level: 1} }
	demands := func(finished int, counts ...int) usage.Report {
		d := quota.Demand{Finished: finished, Pairs: make(map[quota.Pair]quota.Count)}
		for i, n := range counts {
			d.Pairs[pair(i)] = quota.Count{Offered: n, Admitted: n / 2}
		}
		return usage.Report{Gateways: 1, Demands: map[fleet.PoolID]quota.Demand{"p": d}}
	}
	u.SetGateway("g1", demands(1, 4))
	u.SetGateway("g2", demands(2, 6, 8))
	u.SetGateway("g2", demands(3, 2, 8))
	u.SetPeer("c2", demands(10, 20))
	sum := func(all bool) quota.Demand { return u.sums(all).Demands["p"] }
	is.Equal(sum(true), quota.Demand{Finished: 14, Pairs: map[quota.Pair]quota.Count{pair(0): {Offered: 26, Admitted: 13}, pair(1): {Offered: 8, Admitted: 4}}})
	is.Equal(sum(false).Finished, 4)
	is.Equal(sum(true).Finished, 14) // the reports are unchanged
	u.DropGateway("g2")
	is.Equal(sum(true).Pairs[pair(0)].Offered, 24)
	many := make([]int, quota.MaxPairs)
	for i := range many {
		many[i] = 2
	}
	u.SetGateway("g1", demands(0, many...))
	u.SetPeer("c2", usage.Report{Demands: map[fleet.PoolID]quota.Demand{"p": {Pairs: map[quota.Pair]quota.Count{{Account: "other"}: {Offered: 1}}}}})
	is.Equal(len(sum(true).Pairs), quota.MaxPairs)
}

// Guards against sums in which the requests of a gateway that reports no sizes, or of an
// older controller, count as nothing, and against sizes in pools whose gateways report none.
func TestSizes(t *testing.T) {
	is := is.New(t)
	u := newFixture()
	u.setGateway("g1", usage.UpstreamStats{ID: "e1", Active: 2, Size: 0.5}, usage.UpstreamStats{ID: "e2", Active: 4})
	u.setGateway("g2", usage.UpstreamStats{ID: "e1", Active: 3}, usage.UpstreamStats{ID: "e2", Active: 1})
	u.SetPeer("c2", usage.Report{Upstreams: []usage.UpstreamStats{{ID: "e1", Active: 10, Size: 20.25}}})
	is.Equal(u.upstreams(true), []usage.UpstreamStats{{ID: "e1", Active: 15, Size: 23.75}, {ID: "e2", Active: 5}})
	is.Equal(u.upstreams(false), []usage.UpstreamStats{{ID: "e1", Active: 5, Size: 3.5}, {ID: "e2", Active: 5}})
}
