package gate_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/admission/gate"
	"github.com/bilberryrock/bilberryrock/internal/admission/lane"
	"github.com/bilberryrock/bilberryrock/internal/admission/share"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/quiet/governor"
)

// newGate returns a Gate for one pool. Inside of synctest.Test the system clock is a
// fake one.
func newGate(slots float64) *gate.Gate {
	limiter := share.New(1)
	limiter.Configure(map[fleet.AccountID]document.Account{"limited": {ID: "limited", MaxInFlight: 1}})
	g := gate.New(systemclock.Clock{}, limiter)
	g.SetCapacity("pool", lane.Capacity{Slots: slots, Instances: 1})
	return g
}

func newRequest(account string, wait, expected time.Duration) admission.Request {
	return admission.Request{
		Account:  fleet.AccountID(account),
		Pool:     "pool",
		Deadline: time.Now().Add(wait),
		Expected: expected,
	}
}

// Guards against queueing requests that cannot finish in time, and against
// refusals of the wrong kind or without a time to retry after.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(1)
		ctx := context.Background()

		_, err := g.Enter(ctx, newRequest("a", time.Second, 2*time.Second))
		is.Equal(refusal.KindOf(err), refusal.Deadline)

		limited, err := g.Enter(ctx, newRequest("limited", time.Second, time.Second))
		is.NoErr(err)
		_, err = g.Enter(ctx, newRequest("limited", time.Second, time.Second))
		is.Equal(refusal.KindOf(err), refusal.AccountLimit)
		is.True(err.(*refusal.Error).RetryAfter > 0)

		began := time.Now()
		_, err = g.Enter(ctx, newRequest("a", 3*time.Second, time.Second))
		is.Equal(refusal.KindOf(err), refusal.Overloaded) // after waiting until its latest start
		is.True(err.(*refusal.Error).RetryAfter > 0)
		is.Equal(time.Since(began), 2*time.Second+1)

		limited.Done()
		ticket, err := g.Enter(ctx, newRequest("a", 3*time.Second, time.Second))
		is.NoErr(err)
		ticket.Done()
		is.Equal(g.Counters("pool").Running, 0)
		problems, err := testutil.CollectAndLint(g)
		is.NoErr(err)
		is.Equal(len(problems), 0)
	})
}

// Guards against exceeding the quiet-hours limit, against refusals of another kind
// than QuietHours, and against a Gate that admits nothing after the window.
func TestQuietHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now().UTC()
		quietLimit := governor.New(0)
		quietLimit.SetWindows([]document.Window{{
			Name:        "quiet",
			Days:        []time.Weekday{start.Weekday()},
			From:        start.Sub(start.Truncate(24*time.Hour)) + time.Minute,
			To:          start.Sub(start.Truncate(24*time.Hour)) + 2*time.Minute,
			MaxInFlight: 2,
		}})
		g := gate.New(systemclock.Clock{}, share.New(1), gate.WithQuietLimit(quietLimit))
		g.SetCapacity("pool", lane.Capacity{Slots: 10, Instances: 1})
		enter := func() (admission.Ticket, error) {
			return g.Enter(context.Background(), newRequest("a", 5*time.Second, 3*time.Second))
		}
		time.Sleep(58 * time.Second) // requests of 3 s would run into the window
		var running []admission.Ticket
		for range 2 {
			ticket, err := enter()
			is.NoErr(err)
			running = append(running, ticket)
		}
		_, err := enter()
		is.Equal(refusal.KindOf(err), refusal.QuietHours)
		is.True(err.(*refusal.Error).RetryAfter > 0)
		// Requests in progress are evicted when the limit falls.
		quietLimit.SetFleet("self", 2, nil)
		g.Wake()
		evicted := 0
		for _, r := range running {
			select {
			case <-r.(admission.Evictable).Evicted():
				evicted++
			default:
			}
			r.Done()
		}
		is.Equal(evicted, 1)
		quietLimit.SetFleet("self", 5, nil) // a limit of 2 divided by 5 instances leaves none
		before := time.Now()
		_, err = enter()
		is.Equal(refusal.KindOf(err), refusal.QuietHours)
		is.Equal(time.Since(before), time.Duration(0)) // refused without waiting
		time.Sleep(2 * time.Minute)
		for range 10 {
			_, err = enter()
			is.NoErr(err)
		}
	})
}

// Guards against leaking permits when callers go away while they wait.
func TestCancelWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(1)
		first, err := g.Enter(context.Background(), newRequest("a", time.Minute, time.Second))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 20 {
			go func() {
				ticket, err := g.Enter(ctx, newRequest(fmt.Sprint(i), time.Minute, time.Second))
				if err == nil {
					ticket.Done()
				}
			}()
		}
		synctest.Wait()
		is.Equal(g.Counters("pool").Waiting, 20)
		cancel()
		first.Done()
		synctest.Wait()
		is.Equal(g.Counters("pool").Waiting, 0)
		is.Equal(g.Counters("pool").Running, 0)
	})
}

// Guards against a shutdown that interrupts requests which run or wait.
func TestCloseWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(1)
		running, err := g.Enter(context.Background(), newRequest("a", time.Minute, time.Second))
		is.NoErr(err)
		waiting := make(chan error, 1)
		go func() {
			ticket, err := g.Enter(context.Background(), newRequest("b", time.Minute, time.Second))
			if err == nil {
				ticket.Done()
			}
			waiting <- err
		}()
		synctest.Wait()
		closed := make(chan error, 1)
		go func() { closed <- g.Close(context.Background()) }()
		synctest.Wait()
		_, err = g.Enter(context.Background(), newRequest("c", time.Minute, time.Second))
		is.Equal(refusal.KindOf(err), refusal.Stopping)
		select {
		case <-closed:
			t.Fatal("Close returned while work was in progress")
		default:
		}
		running.Done()
		is.NoErr(<-waiting)
		is.NoErr(<-closed)
	})
}

// Guards against a large account that starves a small one: the small one gets
// its fair share although the large one keeps the queue full.
func TestSmallAccountIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(4)
		start := time.Now()
		served := map[string]int{}
		done := make(chan string, 10000)
		send := func(account string, every time.Duration) {
			for time.Since(start) < 20*time.Second {
				time.Sleep(every)
				go func() {
					ticket, err := g.Enter(context.Background(), newRequest(account, 2*time.Second, 100*time.Millisecond))
					if err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
					ticket.Done()
					done <- account
				}()
			}
		}
		go send("large", 5*time.Millisecond) // 200/s, five times the capacity of the pool
		send("small", 100*time.Millisecond)  // 10/s, a quarter of the capacity
		time.Sleep(5 * time.Second)
		for len(done) > 0 {
			served[<-done]++
		}
		is.True(served["small"] >= 195)
		is.True(served["small"]+served["large"] >= 760) // 95% of 4 permits * 10/s * 20 s
	})
}

func BenchmarkEnter(b *testing.B) {
	g := gate.New(systemclock.Clock{}, share.New(1))
	g.SetCapacity("pool", lane.Capacity{Slots: 1000, Instances: 1})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := g.Enter(context.Background(), admission.Request{Account: "a", Pool: "pool", Deadline: time.Now().Add(time.Second)})
			if err == nil {
				ticket.Done()
			}
		}
	})
}
