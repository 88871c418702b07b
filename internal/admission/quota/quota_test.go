package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

var pair = quota.Pair{Account: "acme", Level: 1}

func demand(finished, offered int) quota.Demand {
	return quota.Demand{Finished: finished, Pairs: map[quota.Pair]quota.Count{pair: {Offered: offered}}}
}

// newQuota returns a Quota of a full pool with sums that admit a quarter of the streams.
func newQuota(os ...quota.Option) (*quota.Quota, *fakeclock.Clock) {
	c := fakeclock.New(fakeclock.Start)
	q := quota.New(c, func() quota.Room { return quota.Room{Capacity: 100, Active: 85} }, os...)
	q.SetSums(demand(50, 200), 10, c.Now())
	return q, c
}

// Guards against gateways that together admit much more or less than the plan because each
// rounds in the same direction, and against one that admits more than one stream beyond it.
func TestFractionsAddUp(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	total := 0
	for range 1000 {
		q, _ := newQuota(quota.WithRandom(r.Float64))
		n := 0
		for range 6 {
			if q.Offer(pair).Admitted {
				n++
			}
		}
		is.True(n <= 2) // 6 * 0.25, and one beyond
		total += n
	}
	is.True(total > 1400 && total < 1600)
}

// Guards against counts that are lost, counted twice or kept for too long, and against
// streams that no engine accepted counting as capacity that became free.
func TestDemand(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	q := quota.New(c, func() quota.Room { return quota.Room{} })
	for range 3 {
		is.True(q.Offer(pair).Admitted) // the capacity is unknown
	}
	q.Done(true)
	q.Done(false)
	c.Advance(60 * time.Millisecond)
	is.Equal(q.Demand(), quota.Demand{Finished: 1, Pairs: map[quota.Pair]quota.Count{pair: {Offered: 3, Admitted: 3}}})
	is.True(q.Offer(pair).Admitted)
	c.Advance(quota.Window - 60*time.Millisecond)
	is.Equal(q.Demand().Pairs[pair].Offered, 4)
	c.Advance(60 * time.Millisecond)
	is.Equal(q.Demand().Pairs[pair].Offered, 1)
	c.Advance(quota.Window)
	is.Equal(len(q.Demand().Pairs), 0)
	is.Equal(q.Demand().Finished, 0)
}

// Guards against sums older than 2 s that are used, also if they arrive late.
func TestStaleSums(t *testing.T) {
	is := is.New(t)
	q, c := newQuota()
	is.Equal(q.Offer(pair).Fraction, 0.25)
	c.Advance(2 * time.Second)
	is.True(!q.Status().Stale)
	c.Advance(1)
	is.True(q.Status().Stale)
	c.Advance(2 * time.Second)
	q.SetSums(demand(50, 200), 10, c.Now().Add(-3*time.Second))
	is.True(q.Status().Stale)
	// Without own streams in the last 2 s the first ones are admitted, until ten times the
	// own active streams exceed the target.
	admitted := 0
	for range 100 {
		if q.Offer(pair).Admitted {
			admitted++
		}
	}
	is.True(admitted >= 1 && admitted <= 10)
}

// Guards against memory and reports that grow with the number of accounts.
func TestManyAccounts(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	q := quota.New(c, func() quota.Room { return quota.Room{} })
	offer := func(prefix string) {
		for i := range 2 * quota.MaxPairs {
			q.Offer(quota.Pair{Account: fleet.AccountID(fmt.Sprint(prefix, i))})
		}
		c.Advance(60 * time.Millisecond)
	}
	offer("a")
	d := q.Demand()
	is.True(len(d.Pairs) <= quota.MaxPairs)
	is.True(d.Pairs[quota.Pair{}].Offered >= quota.MaxPairs) // counted without a name
	c.Advance(3 * time.Second)
	offer("b")
	is.Equal(q.Demand().Pairs[quota.Pair{Account: "b7"}].Offered, 1) // idle accounts make way
}

// Guards against refused clients that retry all at once, too early, or after their
// deadline.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		offered            int
		left, least, limit time.Duration
	}{
		{offered: 60, left: time.Minute, least: 500 * time.Millisecond, limit: time.Second},
		{offered: 100, left: time.Minute, least: time.Second, limit: 2 * time.Second},
		{offered: 5000, left: time.Minute, least: 3 * time.Second, limit: 6 * time.Second},
		{offered: 5000, left: 3 * time.Second, least: time.Second, limit: time.Second},
		{offered: 5000, left: -time.Second},
	} {
		q, k := newQuota()
		q.SetSums(demand(50, c.offered), 10, k.Now())
		for range 100 {
			d := q.RetryAfter(c.left)
			is.True(d >= c.least && d <= c.limit)
		}
	}
}

// Guards against log lines for each refused stream, and against refusals that leave none.
func TestRefusalsAreLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	q, c := newQuota(quota.WithLogger(zap.New(core)))
	for range 100 {
		q.Offer(pair)
		c.Advance(10 * time.Millisecond)
	}
	is.Equal(logs.Len(), 1)
	begin := logs.All()[0].ContextMap()
	is.Equal(begin["level"], int64(1))
	is.Equal(begin["fraction"], 0.25)
	is.Equal(begin["offered"], 400.0)
	is.Equal(begin["allowed"], 100.0)
	for range 12 {
		c.Advance(250 * time.Millisecond)
		q.SetSums(demand(50, 10), 10, c.Now())
	}
	is.Equal(logs.Len(), 2)
	is.Equal(logs.All()[1].ContextMap()["refused"], uint64(75))
}

func BenchmarkOffer(b *testing.B) {
	q, _ := newQuota()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if q.Offer(pair).Admitted {
				q.Done(true)
			}
		}
	})
}

// BenchmarkOfferWithoutSums measures a gateway without sums, which plans for each stream.
func BenchmarkOfferWithoutSums(b *testing.B) {
	q := quota.New(fakeclock.New(fakeclock.Start), func() quota.Room { return quota.Room{Capacity: 100, Active: 85} })
	i := 0
	for b.Loop() {
		i++
		if q.Offer(quota.Pair{Account: fleet.AccountID(fmt.Sprint(i % 24)), Level: quota.Level(i % 3)}).Admitted {
			q.Done(true)
		}
	}
}
