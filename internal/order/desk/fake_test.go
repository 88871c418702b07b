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

// faulty is a proposer over one state machine. It loses commands and replies and
// applies commands late or twice.
type faulty struct {
	mu      sync.Mutex
	random  *rand.Rand
	calm    bool
	machine *ledger.Machine
	late    [][]byte
}

func (f *faulty) Propose(_ context.Context, _ quorum.GroupID, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(3)
	if f.calm {
		return f.machine.Apply(0, command), nil
	}
	switch f.random.Intn(6) {
	case 0:
		return nil, refusal.New(refusal.NotReady, "no leader")
	case 1:
		f.machine.Apply(0, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case 2, 3:
		f.late = append(f.late, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case 4:
		f.machine.Apply(0, command)
	}
	return f.machine.Apply(0, command), nil
}

func (f *faulty) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	return f.machine.Query(q), nil
}

// settle applies each late command with a chance of one in n.
func (f *faulty) settle(n int) {
	kept := f.late[:0]
	for _, c := range f.late {
		if f.random.Intn(n) > 0 {
			kept = append(kept, c)
			continue
		}
		f.machine.Apply(0, c)
	}
	f.late = kept
}

// service counts what it runs and may lose calls and answers.
type service struct {
	random *rand.Rand
	calm   bool
	// runs counts executions of a body, lost those without an answer.
	runs, lost map[string]int
}

func (s *service) Call(_ context.Context, c upstream.Call) (upstream.Response, error) {
	body := string(c.Body)
	fault := s.random.Intn(5)
	switch {
	case !s.calm && fault == 0:
		return upstream.Response{}, refusal.New(refusal.NoUpstream, "connection refused")
	case !s.calm && fault == 1:
		return upstream.Response{Status: 425}, nil
	case !s.calm && fault == 2:
		s.runs[body] += s.random.Intn(2)
		s.lost[body]++
		return upstream.Response{}, refusal.New(refusal.UpstreamFailed, "connection reset")
	}
	s.runs[body]++
	return upstream.Response{Status: 200, Body: []byte(fmt.Sprintf("%s run %d", body, s.runs[body]))}, nil
}

// stepClock fires the pauses between retries one at a time and no timeout.
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

// step ends the oldest pause and reports whether there was one.
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

// quiesce waits until every order that is not over waits in a pause.
func (c *stepClock) quiesce(desks []*Desk) {
	for {
		open := 0
		for _, d := range desks {
			l := d.Load()
			open += l.Running + l.Unrecorded
		}
		c.mu.Lock()
		rest := open == len(c.waiters)
		c.mu.Unlock()
		if rest {
			return
		}
		runtime.Gosched()
	}
}

// instantClock does not wait.
type instantClock struct{ *stepClock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- fakeclock.Start
	return ch
}
