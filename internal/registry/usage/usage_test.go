package usage_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
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
