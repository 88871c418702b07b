package desk

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// faultyProposer is a quorum.Proposer over one state machine. It drops commands and
// replies and applies commands late or twice. With noFaults it only applies them.
type faultyProposer struct {
	mu       sync.Mutex
	random   *rand.Rand
	noFaults bool
	machine  *ledger.Machine
	delayed  [][]byte
}

func (f *faultyProposer) Propose(_ context.Context, _ quorum.GroupID, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDelayed(3)
	if f.noFaults {
		return f.machine.Apply(0, command), nil
	}
	switch f.random.Intn(6) {
	case 0:
		return nil, refusal.New(refusal.NotReady, "no leader")
	case 1:
		f.machine.Apply(0, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case 2, 3:
		f.delayed = append(f.delayed, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case 4:
		f.machine.Apply(0, command)
	}
	return f.machine.Apply(0, command), nil
}

func (f *faultyProposer) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	return f.machine.Query(q), nil
}

// applyDelayed applies each delayed command with a probability of 1/n.
func (f *faultyProposer) applyDelayed(n int) {
	stillDelayed := f.delayed[:0]
	for _, c := range f.delayed {
		if f.random.Intn(n) > 0 {
			stillDelayed = append(stillDelayed, c)
			continue
		}
		f.machine.Apply(0, c)
	}
	f.delayed = stillDelayed
}

// faultyService is an upstream that counts executions and drops calls and
// responses at random.
type faultyService struct {
	random   *rand.Rand
	noFaults bool
	// runs counts the executions by request body, lostResponses the calls that got
	// no response and may have run.
	runs, lostResponses map[string]int
}

func (s *faultyService) Call(_ context.Context, c upstream.Call) (upstream.Response, error) {
	body := string(c.Body)
	fault := s.random.Intn(5)
	switch {
	case !s.noFaults && fault == 0:
		return upstream.Response{}, refusal.New(refusal.NoUpstream, "connection refused")
	case !s.noFaults && fault == 1:
		return upstream.Response{Status: 425}, nil
	case !s.noFaults && fault == 2:
		s.runs[body] += s.random.Intn(2)
		s.lostResponses[body]++
		return upstream.Response{}, refusal.New(refusal.UpstreamFailed, "connection reset")
	}
	s.runs[body]++
	return upstream.Response{Status: 200, Body: []byte(fmt.Sprintf("%s run %d", body, s.runs[body]))}, nil
}

// stepClock is a clock whose timers for backoff fire one at a time, at each step.
// Timers for timeouts never fire.
type stepClock struct {
	mu      sync.Mutex
	offset  time.Duration
	waiters []chan time.Time
}

func (c *stepClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fakeclock.Start.Add(c.offset)
}

func (c *stepClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d != claimTimeout && d != recordTimeout && d != DefaultTimeout {
		c.waiters = append(c.waiters, ch)
	}
	return ch
}

// step fires the oldest backoff timer and reports whether there was one. It moves
// the clock by one second.
func (c *stepClock) step() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += time.Second
	if len(c.waiters) == 0 {
		return false
	}
	c.waiters[0] <- fakeclock.Start
	c.waiters = c.waiters[1:]
	return true
}

// quiesce waits until all unfinished orders wait for a backoff timer.
func (c *stepClock) quiesce(executors []*Executor) {
	for {
		unfinished := 0
		for _, e := range executors {
			l := e.Load()
			unfinished += l.Running + l.PendingReleases
		}
		c.mu.Lock()
		idle := unfinished == len(c.waiters)
		c.mu.Unlock()
		if idle {
			return
		}
		runtime.Gosched()
	}
}

// instantClock is a stepClock whose timers fire at once.
type instantClock struct{ *stepClock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- fakeclock.Start
	return ch
}
