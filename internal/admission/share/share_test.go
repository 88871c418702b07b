package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/share"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

const (
	instances = 15
	limitRate = 300.0 // requests a second of the account
)

// testFleet is a number of limiters that exchange summaries once a second. Each
// summary arrives one second late.
type testFleet struct {
	random         *rand.Rand
	groups         int // data centres that exchange group summaries, or 0
	now            time.Time
	limiters       []*share.Limiter
	summaries      [][]byte
	groupSummaries [][]byte // sent by the first instance of each data centre
}

func newFleet(seed uint64) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(seed, 3)), now: fakeclock.Start}
	f.summaries = make([][]byte, instances)
	f.groupSummaries = make([][]byte, instances)
	for range instances {
		l := share.New(instances, share.WithRandom(f.random.Float64))
		l.Configure(map[fleet.AccountID]document.Account{"a": {ID: "a", RequestRate: limitRate, Burst: 300}})
		f.limiters = append(f.limiters, l)
	}
	return f
}

// run sends rate requests per second to the first targets instances and returns the
// mean admitted rate and the highest mean over five seconds, both as fractions of
// the limit. Instances below split and those from split on receive summaries of their
// own side only.
func (f *testFleet) run(length time.Duration, rate float64, targets, split int) (mean, peak float64) {
	const step = 10 * time.Millisecond
	var admitted []float64
	for s := range int(length / time.Second) {
		admitted = append(admitted, 0)
		for range int(time.Second / step) {
			f.now = f.now.Add(step)
			for n := rate * step.Seconds(); n > 0; n-- {
				if f.random.Float64() > n {
					continue
				}
				l := f.limiters[f.random.IntN(targets)]
				if l.Acquire("a", f.now) == nil {
					admitted[s]++
					l.Release("a")
				}
			}
		}
		f.exchange(split)
	}
	sum := 0.0
	for s, n := range admitted {
		sum += n
		if s >= 4 {
			peak = max(peak, (n+admitted[s-1]+admitted[s-2]+admitted[s-3]+admitted[s-4])/5/limitRate)
		}
	}
	return sum / float64(len(admitted)) / limitRate, peak
}

func (f *testFleet) exchange(split int) {
	for i, l := range f.limiters {
		for j := range f.limiters {
			if i == j || (i < split) != (j < split) || f.summaries[j] == nil {
				continue
			}
			if f.groups == 0 || i%f.groups == j%f.groups {
				_ = l.ReceiveSummary(fleet.InstanceID(fmt.Sprint(j)), f.summaries[j], f.now)
			} else if j < f.groups {
				_ = l.ReceiveGroupSummary(fleet.DataCentreID(fmt.Sprint(j)), f.groupSummaries[j], f.now)
			}
		}
		l.Tick(f.now)
	}
	for i, l := range f.limiters {
		f.summaries[i] = l.Summary()
		f.groupSummaries[i] = l.GroupSummary(f.now)
	}
}

// Guards against shares whose sum deviates from the limit when the demand moves or the
// instances are partitioned, and against shares that stay at instances without demand.
func TestSharesFollowDemand(t *testing.T) {
	for seed := range uint64(6) {
		f := newFleet(seed)
		f.groups = 3 * int(seed%2)
		phases := []struct {
			name           string
			length         time.Duration
			rate           float64
			targets, split int
			minMean        float64 // lowest mean admitted rate
			maxPeak        float64 // highest mean over five seconds
		}{
			{"even", 30 * time.Second, 2 * limitRate, instances, 0, 0.97, 1.2}, // the burst adds a fifth to five seconds
			{"moves to three", 10 * time.Second, 2 * limitRate, 3, 0, 0.5, 1.06},
			{"on three", 30 * time.Second, 2 * limitRate, 3, 0, 0.88, 1.06}, // idle instances hold a floor of 8%
			{"moves to all", 10 * time.Second, 2 * limitRate, instances, 0, 0.6, 1.1},
			{"cut", 30 * time.Second, 2 * limitRate, instances, 5, 0.95, 1.06},
			{"healed", 30 * time.Second, 2 * limitRate, instances, 0, 0.95, 1.06},
			{"idle", 30 * time.Second, 0, instances, 0, 0, 0},
		}
		for _, p := range phases {
			mean, peak := f.run(p.length, p.rate, p.targets, p.split)
			t.Logf("seed %d, %d groups, %s: mean %.3f, highest %.3f of the limit", seed, f.groups, p.name, mean, peak)
			if mean < p.minMean || peak > p.maxPeak {
				t.Errorf("seed %d, %s: mean %.3f, goal at least %.2f; highest %.3f, goal at most %.2f", seed, p.name, mean, p.minMean, peak, p.maxPeak)
			}
		}
		is.New(t).Equal(f.limiters[0].Counters().Tracked, 0) // state of idle accounts is dropped
	}
}

// Guards against an account with fewer permits than instances that has one request
// in progress on each of them, or none at all.
func TestFewerPermitsThanInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for _, l := range f.limiters {
		l.Configure(map[fleet.AccountID]document.Account{"a": {ID: "a", MaxInFlight: 6}})
	}
	ends := map[time.Time][]*share.Limiter{}
	running, peak, sum := 0, 0, 0
	const steps = 3000
	for step := range steps {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, l := range ends[f.now] {
			l.Release("a")
			running--
		}
		delete(ends, f.now)
		l := f.limiters[f.random.IntN(instances)]
		if l.Acquire("a", f.now) == nil {
			end := f.now.Add(time.Duration(1+f.random.IntN(500)) * 10 * time.Millisecond)
			ends[end] = append(ends[end], l)
			running++
		}
		if step%100 == 99 {
			f.exchange(0)
		}
		if step >= 1000 {
			sum += running
			peak = max(peak, running)
		}
	}
	t.Logf("%.1f requests in progress on average, at most %d, limit 6", float64(sum)/(steps-1000), peak)
	is.True(sum/(steps-1000) >= 5) // the limit is used
	is.True(peak <= 7)             // one above the limit, until the others learn of it
}

// Guards against summaries that grow with the number of accounts, and against state
// that is kept for idle ones.
func TestBoundedAt42000Accounts(t *testing.T) {
	is := is.New(t)
	accounts := map[fleet.AccountID]document.Account{}
	for i := range 42000 {
		id := fleet.AccountID(fmt.Sprint(i))
		accounts[id] = document.Account{ID: id, RequestRate: 10, MaxInFlight: 4}
	}
	l := share.New(540)
	l.Configure(accounts)
	now := fakeclock.Start
	for id := range accounts {
		if l.Acquire(id, now) == nil {
			l.Release(id)
		}
	}
	is.Equal(l.Counters().Tracked, 42000)
	is.NoErr(l.ReceiveSummary("peer", l.Summary(), now))
	for range 60 {
		now = now.Add(time.Second)
		l.Tick(now)
		is.True(len(l.Summary()) < 1024)
	}
	is.Equal(l.Counters().Tracked, 0)
	is.True(l.ReceiveSummary("peer", make([]byte, 100000), now) != nil)
}

func BenchmarkTickAt42000Accounts(b *testing.B) {
	l := share.New(instances)
	now := time.Now()
	for i := range 42000 {
		_ = l.Acquire(fleet.AccountID(fmt.Sprint(i)), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		l.Tick(now)
	}
}

// BenchmarkConfigureAt42000Accounts measures the cost of a new configuration revision.
func BenchmarkConfigureAt42000Accounts(b *testing.B) {
	l := share.New(instances)
	accounts := make(map[fleet.AccountID]document.Account)
	for i := range 42000 {
		id := fleet.AccountID(fmt.Sprint(i))
		accounts[id] = document.Account{ID: id}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Configure(accounts)
	}
}
