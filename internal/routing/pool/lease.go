package pool

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

//go:generate ../../../bin/stringer -type Result -linecomment -output result_string.go

// Result tells how work on an upstream ended.
type Result int

// The results.
const (
	// Succeeded means that the upstream answered in full.
	Succeeded Result = iota // succeeded
	// Failed means that the upstream failed, broke off or did not answer in
	// time.
	Failed // failed
	// Canceled means that the work ended for a reason that says nothing about
	// the upstream, such as a caller that went away.
	Canceled // canceled
	// Unreachable means that not one byte of the work was sent.
	Unreachable // unreachable
)

// Lease is one piece of work on a chosen upstream.
type Lease struct {
	pool     *Pool
	node     *node
	began    time.Time
	work     float64
	slowdown float64
	expected time.Duration
	done     bool
}

// Upstream returns the chosen upstream as it was last announced.
func (l *Lease) Upstream() upstream.Upstream { return *l.node.announced.Load() }

// Expected returns the expected time of the work.
func (l *Lease) Expected() time.Duration { return l.expected }

// Done reports how the work ended. Calls after the first have no effect.
func (l *Lease) Done(r Result) {
	if l.done {
		return
	}
	l.done = true
	now := l.pool.clock.Now()
	n := l.node
	n.end(l.pool.offset(now), r)
	switch r {
	case Succeeded:
		n.learn(l.pool.offset(now), now.Sub(l.began), l.slowdown, l.work)
		n.ejection.Succeed()
	case Unreachable:
		n.unreachable.Store(l.pool.offset(now.Add(unreachableHold)))
	case Failed:
		n.learnAtLeast(l.pool.offset(now), now.Sub(l.began), l.slowdown, l.work)
		if n.ejection.Fail(now) {
			l.pool.members.Load().eject(n)
		}
	case Canceled:
		n.learnAtLeast(l.pool.offset(now), now.Sub(l.began), l.slowdown, l.work)
	}
}
