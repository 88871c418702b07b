package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

// bootClock adds the time since the machine started to a fake clock.
type bootClock struct{ *fakeclock.Clock }

func (c bootClock) Boot() time.Duration { return c.Now().Sub(fakeclock.Start) }

// Guards against a gateway that continues a stream whose client has waited long, while a
// client that has waited less is lost, against a stream that waits for the budget
// forever, and against waits that an operator does not see.
func TestStartedStreamsWaitInOrder(t *testing.T) {
	is := is.New(t)
	const retries = 2
	c := bootClock{fakeclock.New(fakeclock.Start)}
	core, logs := observer.New(zap.InfoLevel)
	m := NewMetrics(prometheus.NewRegistry())
	h := New(c, state.New(c, "dc1", nil, state.Limits{}, exchange.New(c), zap.NewNop()), nil, nil, nil, m, zap.New(core))
	b := budget.NewShared(c, budget.Limit{Extra: retries, Window: 10 * time.Second}, func() float64 { return 0 })
	c.Advance(20 * time.Second)
	route := &release.Route{Name: "stream", Type: release.Stream, Resumable: true, TargetLatency: 500 * time.Millisecond}
	relays := make([]*relay, 3)
	for i := range relays {
		q := &request{Handler: h, route: route, pool: &state.Pool{RetryBudget: b}, arrival: c.Now(), attempts: 1, possibleRuns: 1, reachedUpstream: true}
		c.Advance(100 * time.Millisecond)
		q.recordStarted(100 * time.Millisecond)
		relays[i] = &relay{request: q, headSent: true}
	}
	b.SetSum(budget.Count{}, 1)
	c.Advance(100 * time.Millisecond)
	for _, s := range relays {
		s.joinWait()
	}
	is.Equal(testutil.ToFloat64(m.retryWaiting), 3.0)
	type verdict struct {
		index int
		ok    bool
	}
	verdicts := make(chan verdict, len(relays))
	for i, s := range relays {
		go func() { verdicts <- verdict{i, s.awaitAttempt(context.Background())} }()
	}
	continued := make([]bool, len(relays))
	for n := 0; n < len(relays); {
		select {
		case v := <-verdicts:
			continued[v.index] = v.ok
			n++
		case <-time.After(time.Millisecond):
			c.Advance(pathPollInterval)
		}
	}
	is.Equal(continued, []bool{false, true, true})
	is.Equal(testutil.ToFloat64(m.retryWaiting), 0.0)
	is.Equal(testutil.CollectAndCount(m.retryWaits), 2) // continued and broken
	lines := logs.FilterMessage("A started stream waited for the retry budget.")
	is.Equal(lines.Len(), 3)
	is.Equal(lines.FilterField(zap.Bool("continued", true)).Len(), 2)
}

// Guards against a stream that counts as late while its client still waits, for routes
// whose targets are longer or shorter than the usual patience of clients.
func TestDeadlineOfStartedStream(t *testing.T) {
	for _, c := range []struct{ latency, gap, want time.Duration }{
		{latency: 500 * time.Millisecond, gap: 250 * time.Millisecond, want: 1500 * time.Millisecond},
		{latency: time.Second, gap: 250 * time.Millisecond, want: 3 * time.Second},
		{latency: 500 * time.Millisecond, gap: time.Second, want: 7500 * time.Millisecond},
		{want: 2 * time.Second},
	} {
		is := is.New(t)
		k := bootClock{fakeclock.New(fakeclock.Start)}
		q := &request{Handler: &Handler{clock: k}, route: &release.Route{TargetLatency: c.latency, TargetGap: c.gap}, arrival: k.Now()}
		is.True(!q.started())
		k.Advance(time.Second)
		q.recordStarted(time.Second)
		is.True(q.started())
		s := q.startedStream()
		is.Equal(s.LastEvent, k.Now())
		is.Equal(s.Deadline.Sub(k.Now()), c.want)
	}
}
