package pool

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

//go:generate ../../../bin/stringer -type Result -linecomment -output result_string.go

// Result is the outcome of a request to an upstream.
type Result int

const (
	// Succeeded means that the upstream returned a complete response.
	Succeeded Result = iota // succeeded
	// Failed means that the upstream returned an error, broke off the response or
	// timed out.
	Failed // failed
	// Canceled means that the request ended for a reason unrelated to the
	// upstream, such as a caller that disconnected.
	Canceled // canceled
	// Unreachable means that no byte of the request was sent.
	Unreachable // unreachable
)

// Lease represents one request in progress on a selected upstream. Done ends it.
type Lease struct {
	pool      *Pool
	member    *member
	startedAt time.Time
	work      float64
	slowdown  float64
	expected  time.Duration
	done      bool
}

// Upstream returns the selected upstream with its latest announcement.
func (l *Lease) Upstream() upstream.Upstream { return *l.member.announced.Load() }

// Expected returns the expected time until the request completes.
func (l *Lease) Expected() time.Duration { return l.expected }

// Done records the outcome of the request. Calls after the first have no effect.
func (l *Lease) Done(r Result) {
	if l.done {
		return
	}
	l.done = true
	now := l.pool.clock.Now()
	m := l.member
	m.end(l.pool.offset(now), r)
	switch r {
	case Succeeded:
		m.observe(l.pool.offset(now), now.Sub(l.startedAt), l.slowdown, l.work)
		m.ejection.RecordSuccess()
	case Unreachable:
		m.excludedUntil.Store(l.pool.offset(now.Add(unreachableExclusion)))
	case Failed:
		m.observeLowerBound(l.pool.offset(now), now.Sub(l.startedAt), l.slowdown, l.work)
		if m.ejection.RecordFailure(now) {
			l.pool.members.Load().eject(m)
		}
	case Canceled:
		m.observeLowerBound(l.pool.offset(now), now.Sub(l.startedAt), l.slowdown, l.work)
	}
}
