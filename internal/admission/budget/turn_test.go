package budget_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

// newReady returns a Shared of a single instance that may spend n retries.
func newReady(c *fakeclock.Clock, n int) *budget.Shared {
	f := budget.NewShared(c, budget.Limit{Extra: float64(n), Window: 10 * time.Second}, func() float64 { return 0 })
	c.Advance(20 * time.Second)
	f.SetSum(budget.Count{}, 1)
	c.Advance(time.Second)
	f.SetSum(budget.Count{}, 1)
	return f
}

// Guards against a retry that is lost because its stream ended after it was granted, and
// against one that is charged or used twice.
func TestUnusedTurnGoesToNextStream(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	f := newReady(c, 1)
	now := c.Now()
	first := f.Wait(budget.Stream{LastEvent: now, Deadline: now.Add(time.Hour)})
	second := f.Wait(budget.Stream{Level: 1, LastEvent: now, Deadline: now.Add(time.Hour)})
	third := f.Wait(budget.Stream{Level: 2, LastEvent: now, Deadline: now.Add(time.Hour)})
	is.True(!third.Take()) // grants the retry to the first stream
	<-first.Granted()
	is.True(!f.WithdrawNew())
	first.Leave()
	first.Leave()
	<-second.Granted()
	is.True(second.Take())
	is.True(!second.Take())
	second.Leave()
	is.True(!third.Take())
	third.Leave()
	is.Equal(f.Count(), budget.Count{Retries: 1})
}

// Guards against streams that are continued before an instance has received any sum.
func TestNoTurnBeforeFirstSum(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	f := budget.NewShared(c, limit, func() float64 { return 0 })
	w := f.Wait(budget.Stream{Deadline: c.Now().Add(time.Hour)})
	defer w.Leave()
	is.True(!w.Take())
	is.True(!f.WithdrawNew())
	is.True(!f.WithdrawStarted(budget.Stream{}))
	f.SetSum(budget.Count{}, 1)
	is.True(w.Take())
}

// Guards against retries that are not counted, or granted to two streams, if streams
// wait, are granted retries and leave at the same time.
func TestTurnsOfConcurrentStreams(t *testing.T) {
	is := is.New(t)
	const streams, retries = 200, 50
	c := fakeclock.New(fakeclock.Start)
	f := newReady(c, retries)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			w := f.Wait(budget.Stream{Level: i % 3, Deadline: c.Now().Add(time.Hour)})
			defer w.Leave()
			for range 10 {
				if w.Take() {
					taken.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	n := f.Count().Retries
	is.True(n > 0 && n <= retries)
	is.True(taken.Load() <= int64(n)) // the last streams may leave with a retry
}
