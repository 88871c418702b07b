package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
)

const (
	// Clients abandon a stream without a further event after the longest of
	// minPatience, latencyPatience times the TargetLatency and gapPatience times the
	// TargetGap of its route.
	minPatience     = 2 * time.Second
	latencyPatience = 4
	gapPatience     = 8
)

// underAdmissionControl reports whether admission control applies to the service of the
// request.
func (q *request) underAdmissionControl() bool { return q.pool.Admission != nil }

// level returns the service level of the request. Level 0 is the most urgent.
func (q *request) level() int { return q.table.Level(q.route, q.account) }

// started reports whether the client already has a part of the stream.
func (q *request) started() bool { return q.lastEventAt.Load() > 0 }

// recordStarted records that a part of the stream is sent to the client at a time after
// the arrival of the request.
func (q *request) recordStarted(at time.Duration) { q.lastEventAt.Store(int64(max(1, at))) }

// startedStream describes the stream to the retry budget. The deadline leaves the
// TargetLatency of the route for the first event of the next attempt.
func (q *request) startedStream() budget.Stream {
	r := q.route
	patience := max(minPatience, latencyPatience*r.TargetLatency, gapPatience*r.TargetGap)
	last := q.arrival.Add(time.Duration(q.lastEventAt.Load()))
	return budget.Stream{Level: q.level(), LastEvent: last, Deadline: last.Add(patience - r.TargetLatency)}
}

// withdraw charges the retry budget for one attempt. Under admission control, new
// requests leave a part of the budget to started streams, and these are served in order.
func (q *request) withdraw() bool {
	switch {
	case !q.underAdmissionControl():
		return q.pool.RetryBudget.Withdraw()
	case q.started():
		return q.pool.RetryBudget.WithdrawStarted(q.startedStream())
	}
	return q.pool.RetryBudget.WithdrawNew()
}

// retryWait is the wait of a started stream for the retry budget. A nil retryWait does
// not wait.
type retryWait struct {
	turn   *budget.Turn
	stream budget.Stream
	since  time.Time
	taken  bool
}

// take reports whether the stream was granted a retry.
func (w *retryWait) take() bool {
	w.taken = w.turn.Take()
	return w.taken
}

// granted returns a channel that is closed once the stream is granted a retry.
func (w *retryWait) granted() <-chan struct{} {
	if w == nil {
		return nil
	}
	return w.turn.Granted()
}

// joinWait makes a started stream wait for the retry budget.
func (q *request) joinWait() {
	s := q.startedStream()
	q.wait = &retryWait{turn: q.pool.RetryBudget.Wait(s), stream: s, since: q.clock.Now()}
	q.metrics.retryWaitStarted()
}

// leaveWait ends the wait of a started stream for the retry budget, if it waits.
func (q *request) leaveWait() {
	w := q.wait
	if w == nil {
		return
	}
	q.wait = nil
	w.turn.Leave()
	now := q.clock.Now()
	late := now.After(w.stream.Deadline)
	q.metrics.retryWaitEnded(w.taken, late, now.Sub(w.since))
	q.logger.Info("A started stream waited for the retry budget.", zap.String("request", string(q.headers.ID)),
		zap.String("route", q.route.Name), zap.String("service", string(q.poolID)), zap.Int("level", w.stream.Level),
		zap.Duration("waited", now.Sub(w.since)), zap.Bool("continued", w.taken), zap.Bool("late", late))
}
