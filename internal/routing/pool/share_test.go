package pool_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/routing/scoring"
)

// picks makes n picks that end at once and returns how often each upstream was selected.
func picks(p *pool.Pool, n int, r pool.Request) map[fleet.UpstreamID]int {
	counts := make(map[fleet.UpstreamID]int)
	for range n {
		l, err := p.Pick(r)
		if err != nil {
			counts["none"]++
			continue
		}
		counts[l.Upstream().ID]++
		l.Done(pool.Canceled)
	}
	return counts
}

// Guards against requests to an upstream that must get none, in pools small and large, also
// if it is the only one left or the only one eligible.
func TestNoShareNoWork(t *testing.T) {
	for _, size := range []int{1, 3, 40} {
		is := is.New(t)
		c := fakeclock.New(fakeclock.Start)
		p := pool.New(c, scoring.Policy{}, seeded(1))
		p.Refresh(usable(size, c.Now()), 0)
		r := pool.Request{Share: func(id fleet.UpstreamID, n fleet.Incarnation) float64 {
			if id == "u0" && n == 1 {
				return 0
			}
			return 1
		}}
		is.Equal(picks(p, 1000, r)["u0"], 0)
		r.Eligible = []fleet.UpstreamID{"u0"}
		is.Equal(picks(p, 10, r)["none"], 10)
		r.Share = func(fleet.UpstreamID, fleet.Incarnation) float64 { return 0 }
		r.Eligible = nil
		_, err := p.Pick(r)
		is.Equal(refusal.KindOf(err), refusal.NoUpstream)
	}
}

// Guards against an upstream with a small share that gets its usual requests, or that gets
// none although no other upstream qualifies.
func TestSmallShare(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	p := pool.New(c, scoring.Policy{}, seeded(1))
	p.Refresh(usable(3, c.Now()), 0)
	r := pool.Request{Share: func(id fleet.UpstreamID, _ fleet.Incarnation) float64 {
		if id == "u0" {
			return 1. / 8
		}
		return 1
	}}
	usual := picks(p, 8000, pool.Request{})["u0"]
	reduced := picks(p, 8000, r)["u0"]
	t.Logf("usual %d, reduced %d", usual, reduced)
	is.True(reduced > 0)
	is.True(reduced <= usual/8+200)
	r.Exclude = []fleet.UpstreamID{"u1", "u2"}
	is.Equal(picks(p, 100, r)["u0"], 100)
}
