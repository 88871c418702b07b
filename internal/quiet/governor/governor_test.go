package governor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quiet/governor"
)

var windowStart = time.Date(2026, time.January, 5, 22, 0, 0, 0, time.UTC)

func window(limit int) []document.Window {
	return []document.Window{{
		Name:        "night",
		Days:        []time.Weekday{time.Monday},
		From:        22 * time.Hour,
		To:          22*time.Hour + 5*time.Minute,
		MaxInFlight: limit,
	}}
}

// job is work in progress on one of the simulated instances.
type job struct {
	until time.Time
	end   func()
}

// Guards against a total of running work over the limit. The instances have random
// views of each other, which change at any time, and work takes up to its allowed
// duration. The total must stay within the limit during the whole window.
func TestSumNeverExceedsBound(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		size := 1 + r.IntN(15)
		limit := r.IntN(40)
		ids := make([]fleet.InstanceID, size)
		governors := make([]*governor.Governor, size)
		for i := range governors {
			ids[i] = fleet.InstanceID(fmt.Sprintf("i%02d", i))
			governors[i] = governor.New(0)
			governors[i].SetWindows(window(limit))
			governors[i].SetCapacity(20)
		}
		jobs := make([][]job, size)
		for now := windowStart.Add(-90 * time.Second); now.Before(windowStart.Add(6 * time.Minute)); now = now.Add(500 * time.Millisecond) {
			running, shares := 0, 0
			for i, g := range governors {
				if r.IntN(20) == 0 || now.Equal(windowStart.Add(-90*time.Second)) {
					g.SetFleet(ids[i], size, randomView(r, ids, ids[i]))
				}
				jobs[i] = step(r, g, jobs[i], now)
				running += len(jobs[i])
				shares += g.Limit(now).MaxInFlight
			}
			if now.Before(windowStart) || !now.Before(windowStart.Add(5*time.Minute)) {
				continue
			}
			if running > limit || shares > limit {
				t.Fatalf("seed %d: %d running, shares %d, limit %d, %v after the start", seed, running, shares, limit, now.Sub(windowStart))
			}
		}
	}
}

// randomView returns a random subset of ids that includes self, or all of them.
func randomView(r *rand.Rand, ids []fleet.InstanceID, self fleet.InstanceID) []fleet.InstanceID {
	if r.IntN(2) == 0 {
		return ids
	}
	var known []fleet.InstanceID
	for _, id := range ids {
		if id == self || r.IntN(2) == 0 {
			known = append(known, id)
		}
	}
	return known
}

// step ends the jobs that are done at now and attempts to start three new ones.
func step(r *rand.Rand, g *governor.Governor, jobs []job, now time.Time) []job {
	running := jobs[:0]
	for _, j := range jobs {
		if j.until.After(now) {
			running = append(running, j)
			continue
		}
		j.end()
	}
	for range 3 {
		expected := time.Duration(1+r.IntN(20)) * time.Second
		end, ok := g.Start(now, expected, nil)
		if !ok {
			continue
		}
		took := time.Duration(float64(expected) * 1.49 * r.Float64())
		running = append(running, job{until: now.Add(took), end: end})
	}
	return running
}

// Guards against capacity that changes abruptly instead of in ramps, and against
// work in progress over the limit that Excess does not report.
func TestRampsAndExcess(t *testing.T) {
	is := is.New(t)
	g := governor.New(time.Second)
	g.SetFleet("a", 1, []fleet.InstanceID{"a"})
	g.SetCapacity(100)
	g.SetWindows(window(10))
	limits := func(from, to time.Duration) (low, high, jump int) {
		last := -1
		for d := from; d < to; d += time.Second {
			limit := g.Limit(windowStart.Add(d))
			is.True(limit.Limited)
			n := limit.MaxInFlight
			if last >= 0 {
				jump = max(jump, n-last, last-n)
			}
			if last < 0 || n < low {
				low = n
			}
			high, last = max(high, n), n
		}
		return low, high, jump
	}
	is.True(!g.Limit(windowStart.Add(-22 * time.Second)).Limited)
	low, high, jump := limits(-20*time.Second, 0)
	is.True(low <= 14 && high >= 90 && jump <= 5)
	low, high, _ = limits(0, 5*time.Minute)
	is.True(low == 10 && high == 10)
	low, high, jump = limits(5*time.Minute+2*time.Second, 5*time.Minute+30*time.Second)
	is.True(low <= 14 && high >= 90 && jump <= 5)
	is.True(!g.Limit(windowStart.Add(5*time.Minute + 31*time.Second)).Limited)

	// Work that runs far longer than expected is reported as excess when the window
	// opens.
	before, evicted := windowStart.Add(-time.Minute), 0
	for range 30 {
		_, ok := g.Start(before, time.Second, func() { evicted++ })
		is.True(ok)
	}
	is.Equal(g.Excess(before), 0)
	is.Equal(g.Excess(windowStart), 20)
	is.Equal(g.Evict(windowStart), 20)
	is.Equal(g.Evict(windowStart), 0) // each task is asked only once
	is.Equal(evicted, 20)
	_, ok := g.Start(windowStart, time.Second, nil)
	is.True(!ok)
	is.Equal(g.RetryAfter(windowStart), time.Duration(0)) // work may start as soon as enough running work has ended

	// An instance with a share of zero cannot start work during the whole window.
	g.SetFleet("a", 11, []fleet.InstanceID{"a"})
	is.Equal(g.RetryAfter(windowStart.Add(time.Second)), 5*time.Minute)
}
