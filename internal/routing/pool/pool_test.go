package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/routing/scoring"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

func usable(n int, at time.Time) []upstream.Upstream {
	us := make([]upstream.Upstream, n)
	for i := range us {
		us[i].ID = fleet.UpstreamID(fmt.Sprintf("u%d", i))
		us[i].Incarnation = 1
		us[i].Accelerator = fmt.Sprintf("kind%d", i%5)
		us[i].Slots = 8
		us[i].LastHeartbeat = at
	}
	return us
}

func seeded(seed uint64) pool.Option {
	return pool.WithRandom(rand.New(rand.NewPCG(seed, 1)).Uint64)
}

// Guards against requests to an upstream whose last heartbeat is too old when
// Refresh is late, for example after the process was suspended and resumed.
func TestNoWorkWithoutHeartbeat(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	p := pool.New(c, scoring.Policy{}, seeded(1))
	p.Refresh(usable(3, c.Now()), 14)
	l, err := p.Pick(pool.Request{})
	is.NoErr(err)
	l.Done(pool.Succeeded)
	c.Advance(3*time.Second + 1)
	_, err = p.Pick(pool.Request{})
	is.Equal(refusal.KindOf(err), refusal.NoUpstream)
}

// Guards against leaked in-flight counts and against picks of excluded upstreams.
func TestAvoidAndCounts(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	p := pool.New(c, scoring.Policy{}, seeded(1))
	p.Refresh(usable(3, c.Now()), 14)
	var explanation pool.Explanation
	l, err := p.Pick(pool.Request{Exclude: []fleet.UpstreamID{"u0", "u2"}, Explain: &explanation})
	is.NoErr(err)
	u := l.Upstream()
	is.Equal(u.ID, fleet.UpstreamID("u1"))
	is.Equal(explanation.Chosen(), "u1")
	is.Equal(p.InFlight("u1"), 1)
	l.Done(pool.Failed)
	is.Equal(p.InFlight("u1"), 0)
	only, err := p.Pick(pool.Request{Eligible: []fleet.UpstreamID{"u2", "gone"}})
	is.NoErr(err)
	is.Equal(only.Upstream().ID, fleet.UpstreamID("u2"))
	only.Done(pool.Succeeded)
	only.Done(pool.Succeeded) // has no effect
	is.Equal(p.Counters(), pool.Counters{Picked: 2, Failed: 1, Succeeded: 1})
	is.Equal(len(p.View()), 3)
	problems, err := testutil.CollectAndLint(pool.Collector{ID: "p", Pool: p})
	is.NoErr(err)
	is.Equal(len(problems), 0)
}

// Guards against requests to an upstream that was just found unreachable while
// others are available, and against a refusal when all are unreachable.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	p := pool.New(c, scoring.Policy{}, seeded(1))
	p.Refresh(usable(3, c.Now()), 14)
	seen := map[fleet.UpstreamID]bool{}
	for range 3 {
		l, err := p.Pick(pool.Request{})
		is.NoErr(err)
		u := l.Upstream()
		is.True(!seen[u.ID])
		seen[u.ID] = true
		l.Done(pool.Unreachable)
	}
	_, err := p.Pick(pool.Request{})
	is.NoErr(err)
}

// Guards against a wrong failure signal that ejects a whole pool.
func TestEjectionKeepsFloor(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	p := pool.New(c, scoring.Policy{}, seeded(1))
	for range 200 {
		p.Refresh(usable(3, c.Now()), 14)
		l, err := p.Pick(pool.Request{})
		is.NoErr(err)
		l.Done(pool.Failed)
		c.Advance(10 * time.Millisecond)
	}
	is.True(p.Counters().Ejections > 0)
}

// Guards against allocations on the hot path.
func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	p := pool.New(c, scoring.Policy{}, seeded(1))
	p.Refresh(usable(12000, c.Now()), 14)
	prefix := []uint64{1, 2, 3, 4}
	allocations := testing.AllocsPerRun(1000, func() {
		l, _ := p.Pick(pool.Request{Prefix: prefix})
		l.Done(pool.Succeeded)
	})
	is.Equal(allocations, 0.0)
}

func BenchmarkPool(b *testing.B) {
	for _, n := range []int{3, 40, 600, 12000} {
		c := systemclock.Clock{}
		p := pool.New(c, scoring.Policy{})
		us := usable(n, c.Now().Add(time.Hour))
		p.Refresh(us, 14)
		b.Run(fmt.Sprint("Pick/", n), func(b *testing.B) {
			prefix := []uint64{1, 2, 3, 4}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					l, _ := p.Pick(pool.Request{Prefix: prefix})
					l.Done(pool.Succeeded)
				}
			})
		})
		b.Run(fmt.Sprint("PickNone/", n), func(b *testing.B) {
			old := pool.New(c, scoring.Policy{})
			old.Refresh(usable(n, c.Now().Add(-time.Hour)), 14)
			for b.Loop() {
				_, _ = old.Pick(pool.Request{})
			}
		})
		b.Run(fmt.Sprint("Refresh/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Refresh(us, 14)
			}
		})
	}
}
