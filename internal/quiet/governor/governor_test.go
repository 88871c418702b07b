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

var opens = time.Date(2026, time.January, 5, 22, 0, 0, 0, time.UTC)

func window(bound int) []document.Window {
	return []document.Window{{
		Name:        "night",
		Days:        []time.Weekday{time.Monday},
		From:        22 * time.Hour,
		To:          22*time.Hour + 5*time.Minute,
		MaxInFlight: bound,
	}}
}

// job is work in progress of one instance of the test.
type job struct {
	until time.Time
	end   func()
}

// Guards against a sum of work over the bound: instances with random views of
// each other, which change at any moment, and work that takes up to its allowed
// time. The sum must hold at every moment of the window.
func TestSumNeverExceedsBound(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		size := 1 + r.IntN(15)
		bound := r.IntN(40)
		ids := make([]fleet.InstanceID, size)
		all := make([]*governor.Governor, size)
		for i := range all {
			ids[i] = fleet.InstanceID(fmt.Sprintf("i%02d", i))
			all[i] = governor.New(0)
			all[i].SetWindows(window(bound))
			all[i].SetFull(20)
		}
		jobs := make([][]job, size)
		for now := opens.Add(-90 * time.Second); now.Before(opens.Add(6 * time.Minute)); now = now.Add(500 * time.Millisecond) {
			running, parts := 0, 0
			for i, g := range all {
				if r.IntN(20) == 0 || now.Equal(opens.Add(-90*time.Second)) {
					g.SetFleet(ids[i], size, view(r, ids, ids[i]))
				}
				jobs[i] = step(r, g, jobs[i], now)
				running += len(jobs[i])
				parts += g.Bound(now).MaxInFlight
			}
			if now.Before(opens) || !now.Before(opens.Add(5*time.Minute)) {
				continue
			}
			if running > bound || parts > bound {
				t.Fatalf("seed %d: %d running, parts %d, bound %d, %v after the start", seed, running, parts, bound, now.Sub(opens))
			}
		}
	}
}

// view returns a random part of ids that holds self, or all of them.
func view(r *rand.Rand, ids []fleet.InstanceID, self fleet.InstanceID) []fleet.InstanceID {
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

// step ends the jobs that are done at now and starts as many new ones as may.
func step(r *rand.Rand, g *governor.Governor, jobs []job, now time.Time) []job {
	left := jobs[:0]
	for _, j := range jobs {
		if j.until.After(now) {
			left = append(left, j)
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
		left = append(left, job{until: now.Add(took), end: end})
	}
	return left
}

// Guards against capacity that falls off or comes back at once, and against
// work in progress over the bound that goes unreported.
func TestRampsAndExcess(t *testing.T) {
	is := is.New(t)
	g := governor.New(time.Second)
	g.SetFleet("a", 1, []fleet.InstanceID{"a"})
	g.SetFull(100)
	g.SetWindows(window(10))
	limits := func(from, to time.Duration) (low, high, jump int) {
		last := -1
		for d := from; d < to; d += time.Second {
			b := g.Bound(opens.Add(d))
			is.True(b.Limited)
			n := b.MaxInFlight
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
	is.True(!g.Bound(opens.Add(-22 * time.Second)).Limited)
	low, high, jump := limits(-20*time.Second, 0)
	is.True(low <= 14 && high >= 90 && jump <= 5)
	low, high, _ = limits(0, 5*time.Minute)
	is.True(low == 10 && high == 10)
	low, high, jump = limits(5*time.Minute+2*time.Second, 5*time.Minute+30*time.Second)
	is.True(low <= 14 && high >= 90 && jump <= 5)
	is.True(!g.Bound(opens.Add(5*time.Minute + 31*time.Second)).Limited)

	// Work that runs far longer than expected is reported when the window opens.
	before, moved := opens.Add(-time.Minute), 0
	for range 30 {
		_, ok := g.Start(before, time.Second, func() { moved++ })
		is.True(ok)
	}
	is.Equal(g.Excess(before), 0)
	is.Equal(g.Excess(opens), 20)
	is.Equal(g.Move(opens), 20)
	is.Equal(g.Move(opens), 0) // asked once
	is.Equal(moved, 20)
	_, ok := g.Start(opens, time.Second, nil)
	is.True(!ok)
	is.Equal(g.Retry(opens), time.Duration(0)) // work may start as soon as enough has ended

	// Without a place of its own an instance is closed for the whole window.
	g.SetFleet("a", 11, []fleet.InstanceID{"a"})
	is.Equal(g.Retry(opens.Add(time.Second)), 5*time.Minute)
}
