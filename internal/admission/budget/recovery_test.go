package budget_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

// platformLimit allows 537 retries per window at calmRate. Gateways use limitShare of it,
// because the sums are old.
var (
	platformLimit = budget.Limit{Share: 0.2, Extra: 25, Window: 10 * time.Second}
	recoveryLimit = budget.Limit{Share: limitShare * platformLimit.Share, Extra: limitShare * platformLimit.Extra, Window: platformLimit.Window}
)

const (
	gateways = 107
	calmRate = 256.0 // new requests per second of all gateways
	// warmUp is the calm time before a script, longer than the first window.
	warmUp = 15 * time.Second
	// giveUpAfter is how long a started stream waits for the budget.
	giveUpAfter = 1500 * time.Millisecond
	// patience is how long a client waits for the next event, and latency the time to
	// the first event of a retry.
	patience, latency = 2 * time.Second, 500 * time.Millisecond
	levels            = 3
	limitShare        = 0.8
	// reservedShare is the part of the limit that new requests leave.
	reservedShare = 0.3
	// seeds is the number of runs of each script, whose outcomes are added.
	seeds = 10
)

// fleetLoad is the load of one step of a script.
type fleetLoad struct {
	burst    float64       // new requests as a multiple of calmRate
	refused  float64       // fraction of the attempts that engines refuse
	lost     int           // streams that lose an engine at the beginning
	stale    int           // those of them without an event for staleFor
	staleFor time.Duration // time since their last event
	isolated int           // gateways that receive no sums
	// unordered reports whether retries are spent as without admission control.
	unordered bool
}

// lostStream is a started stream that needs a retry.
type lostStream struct {
	gateway  int
	stream   budget.Stream
	turn     *budget.Turn
	since    time.Time
	isolated bool
}

// counts are numbers of streams or requests by how they ended.
type counts struct{ inTime, late, broken int }

func (c counts) add(o counts) counts {
	return counts{inTime: c.inTime + o.inTime, late: c.late + o.late, broken: c.broken + o.broken}
}

// outcome is the outcome of a script.
type outcome struct {
	byLevel  [levels]counts
	isolated counts // of those of byLevel on isolated gateways
	fresh    counts // requests that are new; inTime means that the retry was allowed
	// peak is the greatest part of the platform's limit in any window, and freshPeak
	// that of new requests.
	peak, freshPeak float64
}

func (o *outcome) add(p outcome) {
	for i := range o.byLevel {
		o.byLevel[i] = o.byLevel[i].add(p.byLevel[i])
	}
	o.isolated, o.fresh = o.isolated.add(p.isolated), o.fresh.add(p.fresh)
	o.peak, o.freshPeak = max(o.peak, p.peak), max(o.freshPeak, p.freshPeak)
}

// recovery simulates the streams and requests of all gateways.
type recovery struct {
	*instances
	outcome
	waiting []*lostStream
	window  []sent // what was sent per tick, with the newest last
}

// sent counts what all gateways sent in one tick.
type sent struct{ attempts, retries, fresh int }

// TestRecovery guards against started streams that break while new requests spend the
// retry budget, and against more retries than the platform allows in any window. Each
// script begins with a calm fleet. The argument unordered shows the outcome without
// admission control.
func TestRecovery(t *testing.T) {
	datadriven.Walk(t, "testdata/recovery", func(t *testing.T, file string) {
		t.Parallel()
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var sum outcome
			for seed := range uint64(seeds) {
				r := newRecovery(seed)
				ordered := true
				r.step(warmUp, fleetLoad{burst: 1})
				for line := range strings.Lines(d.Input) {
					length, l := parseLoad(t, d, line)
					r.step(length, l)
					ordered = ordered && !l.unordered
				}
				sum.add(r.outcome)
				if r.peak > 1 {
					t.Errorf("%s: seed %d: %.3f of the platform's limit in a window", d.Pos, seed, r.peak)
				}
				if ordered && r.freshPeak > 1-reservedShare {
					t.Errorf("%s: seed %d: new requests spent %.3f of the platform's limit in a window", d.Pos, seed, r.freshPeak)
				}
			}
			return sum.String()
		})
	})
}

func newRecovery(seed uint64) *recovery {
	r := &recovery{instances: &instances{clock: fakeclock.New(fakeclock.Start), random: rand.New(rand.NewPCG(seed, 2))}}
	for range gateways {
		r.list = append(r.list, budget.NewShared(r.clock, recoveryLimit, r.random.Float64))
	}
	return r
}

// parseLoad parses a line of "for=D key=value...".
func parseLoad(t *testing.T, d *datadriven.TestData, line string) (time.Duration, fleetLoad) {
	l := fleetLoad{burst: 1}
	var length time.Duration
	for _, f := range strings.Fields(line) {
		key, value, _ := strings.Cut(f, "=")
		var err error
		switch key {
		case "for":
			length, err = time.ParseDuration(value)
		case "burst":
			_, err = fmt.Sscan(value, &l.burst)
		case "refused":
			_, err = fmt.Sscan(value, &l.refused)
		case "lost":
			_, err = fmt.Sscan(value, &l.lost)
		case "stale":
			_, err = fmt.Sscan(value, &l.stale)
		case "staleFor":
			l.staleFor, err = time.ParseDuration(value)
		case "isolated":
			_, err = fmt.Sscan(value, &l.isolated)
		case "unordered":
			l.unordered = true
		default:
			d.Fatalf(t, "unknown argument %q", key)
		}
		if err != nil {
			d.Fatalf(t, "%s: %v", key, err)
		}
	}
	return length, l
}

// step applies l for d.
func (r *recovery) step(d time.Duration, l fleetLoad) {
	r.lose(l)
	for at := time.Duration(0); at < d; at += tick {
		var n sent
		for _, f := range r.list {
			if r.random.Float64() >= calmRate/gateways*l.burst*tick.Seconds() {
				continue
			}
			f.Deposit()
			n.attempts++
			if r.random.Float64() < l.refused {
				n.fresh += r.retryNew(f, l.unordered)
			}
		}
		n.retries = n.fresh + r.retryStarted(l)
		r.record(n)
		r.exchangeSums(l.isolated)
		r.clock.Advance(tick)
	}
}

// lose makes streams on random gateways need a retry.
func (r *recovery) lose(l fleetLoad) {
	now := r.clock.Now()
	for i := range l.lost {
		last := now.Add(-time.Duration(r.random.Float64() * float64(100*time.Millisecond)))
		if i < l.stale {
			last = now.Add(-l.staleFor)
		}
		g := r.random.IntN(gateways)
		r.waiting = append(r.waiting, &lostStream{
			gateway: g, since: now, isolated: g < l.isolated,
			stream: budget.Stream{Level: r.random.IntN(levels), LastEvent: last, Deadline: last.Add(patience - latency)},
		})
	}
}

func (r *recovery) retryNew(f *budget.Shared, unordered bool) int {
	withdraw := f.WithdrawNew
	if unordered {
		withdraw = f.Withdraw
	}
	if !withdraw() {
		r.fresh.broken++
		return 0
	}
	r.fresh.inTime++
	return 1
}

// retryStarted lets the streams that wait try to retry, and returns the number of
// retries. A retry that is refused begins a new wait.
func (r *recovery) retryStarted(l fleetLoad) int {
	now := r.clock.Now()
	n := 0
	var left []*lostStream
	r.random.Shuffle(len(r.waiting), func(i, j int) { r.waiting[i], r.waiting[j] = r.waiting[j], r.waiting[i] })
	for _, s := range r.waiting {
		f := r.list[s.gateway]
		ok := false
		switch {
		case l.unordered:
			ok = f.Withdraw()
		case s.turn == nil:
			if ok = f.WithdrawStarted(s.stream); !ok {
				s.turn = f.Wait(s.stream)
			}
		default:
			ok = s.turn.Take()
		}
		if ok {
			n++
		}
		again := ok && r.random.Float64() < l.refused
		if again || !ok && now.Sub(s.since) >= giveUpAfter {
			if s.turn != nil {
				s.turn.Leave()
			}
			s.turn = nil
		}
		switch {
		case again:
			s.since = now
			left = append(left, s)
		case ok || now.Sub(s.since) >= giveUpAfter:
			r.end(s, ok, now)
		default:
			left = append(left, s)
		}
	}
	r.waiting = left
	return n
}

func (r *recovery) end(s *lostStream, ok bool, now time.Time) {
	ended := []*counts{&r.byLevel[s.stream.Level]}
	if s.isolated {
		ended = append(ended, &r.isolated)
	}
	for _, o := range ended {
		switch {
		case !ok:
			o.broken++
		case now.After(s.stream.Deadline):
			o.late++
		default:
			o.inTime++
		}
	}
}

// record adds what was sent in one tick to the window.
func (r *recovery) record(n sent) {
	r.window = append(r.window, n)
	if len(r.window) > int(recoveryLimit.Window/tick) {
		r.window = r.window[1:]
	}
	var sum sent
	for _, k := range r.window {
		sum.attempts += k.attempts
		sum.retries += k.retries
		sum.fresh += k.fresh
	}
	allowed := platformLimit.Share*float64(sum.attempts) + platformLimit.Extra
	r.peak = max(r.peak, float64(sum.retries)/allowed)
	r.freshPeak = max(r.freshPeak, float64(sum.fresh)/allowed)
}

// exchangeSums delivers sums that are sumLag old to all gateways but the isolated ones.
func (r *recovery) exchangeSums(isolated int) {
	var sum budget.Count
	for _, f := range r.list {
		sum = sum.Add(f.Count())
	}
	r.sums = append(r.sums, sum)
	if len(r.sums) <= sumLag {
		return
	}
	for _, f := range r.list[isolated:] {
		f.SetSum(r.sums[len(r.sums)-sumLag], len(r.list))
	}
}

func (o outcome) String() string {
	var b strings.Builder
	for i, c := range o.byLevel {
		fmt.Fprintf(&b, "level %d: %v\n", i, c)
	}
	if o.isolated != (counts{}) {
		fmt.Fprintf(&b, "of these without sums: %v\n", o.isolated)
	}
	fmt.Fprintf(&b, "retries of new requests: allowed %d, denied %d\n", o.fresh.inTime, o.fresh.broken)
	fmt.Fprintf(&b, "most retries in a window: %.2f of the platform's limit, of new requests %.2f", o.peak, o.freshPeak)
	return b.String()
}

func (c counts) String() string {
	return fmt.Sprintf("in time %d, late %d, broken %d", c.inTime, c.late, c.broken)
}
