// Package courier drives one request token by token over a chain of engines.
//
//	c := courier.New(planner, dialer, courier.WithSpeeds(speeds))
//	defer c.Close()
//	reason, err := c.Run(ctx, generation, func(p pipeline.Piece) error {
//		return stream.Write(p.Text)
//	})
//
// Every step carries the request, an epoch and a position. The courier keeps the
// values that crossed each boundary between stages. When a stage is lost, only
// that stage is replaced: under a new epoch the replacement imports the KV cache,
// or computes it again from the kept values. The other stages go on with theirs.
package courier

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Defaults of a Courier.
const (
	// DefaultMinTimeout and DefaultMaxTimeout bound the time to wait for a step.
	DefaultMinTimeout = time.Second
	DefaultMaxTimeout = time.Minute
	// DefaultKVBytes is the size of the KV cache of one layer and position.
	DefaultKVBytes = 4096
	// DefaultOverloadPause is the time before a step is sent again to an engine
	// that was overloaded.
	DefaultOverloadPause = 20 * time.Millisecond
	// timeoutFactor is the ratio of the timeout of a call to its expected time.
	timeoutFactor = 4
	// releaseTimeout bounds the call that frees the memory of a request.
	releaseTimeout = time.Second
	// maxRecoveries bounds the recoveries of one request without a new token.
	maxRecoveries = 16
	// leavePause is the time before a chain with a leaving engine is replanned
	// again.
	leavePause = time.Second
)

// Observer learns from steps and transfers.
type Observer interface {
	Observe(u upstream.Upstream, layers, positions int, elapsed time.Duration)
	ObserveTransfer(u upstream.Upstream, bytes int, elapsed time.Duration)
}

// Courier implements pipeline.Courier. It is safe for concurrent use.
type Courier struct {
	planner    pipeline.Planner
	dialer     upstream.Dialer
	clock      fleet.Clock
	speeds     pipeline.Speeds
	observer   Observer
	roster     upstream.Roster
	trail      report.Trail
	gauge      pipeline.Gauge
	minTimeout time.Duration
	maxTimeout time.Duration
	pause      time.Duration
	kvBytes    int

	// pending counts the calls that free the memory of ended requests.
	pending sync.WaitGroup
}

// Option changes a Courier.
type Option func(*Courier)

// WithClock sets the clock, by default that of the operating system.
func WithClock(clock fleet.Clock) Option { return func(c *Courier) { c.clock = clock } }

// WithSpeeds sets the estimates that timeouts and recoveries are based on.
func WithSpeeds(s pipeline.Speeds) Option { return func(c *Courier) { c.speeds = s } }

// WithObserver sets what learns from steps and transfers.
func WithObserver(o Observer) Option { return func(c *Courier) { c.observer = o } }

// WithRoster sets the roster in which leaving engines are noticed.
func WithRoster(r upstream.Roster) Option { return func(c *Courier) { c.roster = r } }

// WithTrail sets where decisions are recorded, under the request id.
func WithTrail(t report.Trail) Option { return func(c *Courier) { c.trail = t } }

// WithGauge sets what counts the sequences on each upstream.
func WithGauge(g pipeline.Gauge) Option { return func(c *Courier) { c.gauge = g } }

// WithTimeouts bounds the time to wait for a step.
func WithTimeouts(least, most time.Duration) Option {
	return func(c *Courier) { c.minTimeout, c.maxTimeout = least, most }
}

// WithOverloadPause sets the time before a step is sent again to an engine that
// was overloaded.
func WithOverloadPause(d time.Duration) Option { return func(c *Courier) { c.pause = d } }

// WithKVBytes sets the size of the KV cache of one layer and position.
func WithKVBytes(n int) Option { return func(c *Courier) { c.kvBytes = n } }

// New returns a Courier that takes chains from planner.
func New(planner pipeline.Planner, dialer upstream.Dialer, options ...Option) *Courier {
	c := &Courier{
		planner: planner, dialer: dialer,
		clock:      systemclock.Clock{},
		speeds:     unknown{},
		minTimeout: DefaultMinTimeout, maxTimeout: DefaultMaxTimeout,
		pause: DefaultOverloadPause, kvBytes: DefaultKVBytes,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close waits until the memory of all ended requests was freed.
func (c *Courier) Close() { c.pending.Wait() }

// Run implements pipeline.Courier. An error after the first token is of kind
// refusal.StreamBroken or refusal.Deadline.
func (c *Courier) Run(ctx context.Context, g pipeline.Generation, emit func(pipeline.Piece) error) (pipeline.FinishReason, error) {
	if len(g.Prompt) == 0 {
		return 0, refusal.New(refusal.BadRequest, "prompt is empty")
	}
	chain, err := c.planner.Plan(g.Model, nil)
	if err != nil {
		return 0, err
	}
	r := newRun(c, g, chain)
	defer r.end(ctx)
	input := g.Prompt
	for index := range g.MaxTokens {
		result, err := r.pass(ctx, index, input)
		if err != nil {
			return 0, r.broken(ctx, index, err)
		}
		if err := emit(pipeline.Piece{Index: index, Text: result.Token}); err != nil {
			return 0, err
		}
		if result.End {
			return pipeline.Stopped, nil
		}
		input = result.Output[len(result.Output)-1:]
	}
	return pipeline.LengthReached, nil
}

// broken gives an error the kind that the caller has to see. A kind that says
// "not run" is kept only when no layer can have run.
func (r *run) broken(ctx context.Context, index int, err error) error {
	if ctx.Err() != nil {
		return refusal.Because(refusal.Deadline, err, "request ended after %d tokens", index)
	}
	if index > 0 {
		return refusal.Because(refusal.StreamBroken, err, "answer ended after %d tokens", index)
	}
	if r.ran && refusal.KindOf(err).Answer().NotRun {
		return refusal.Because(refusal.UpstreamFailed, err, "request was lost before its first token")
	}
	return err
}

func (c *Courier) record(r fleet.RequestID, e report.Entry) {
	if c.trail == nil {
		return
	}
	e.At = c.clock.Now()
	e.Component = "courier"
	c.trail.Add(string(r), e)
}

func (c *Courier) count(id fleet.UpstreamID, n int) {
	if c.gauge != nil {
		c.gauge.Add(id, n)
	}
}

// release frees the memory of a request on an engine, even after ctx has ended.
// The engine may serve a newer epoch when the call arrives.
func (c *Courier) release(ctx context.Context, r fleet.RequestID, e fleet.Epoch, client upstream.EngineClient) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		// An engine that cannot be reached drops the request by itself.
		if x, ok := client.(upstream.EpochCanceller); ok {
			_ = x.CancelEpoch(ctx, r, e)
			return
		}
		_ = client.Cancel(ctx, r)
	}()
}

// timeout returns the time to wait for a call with an expected time.
func (c *Courier) timeout(expected time.Duration) time.Duration {
	return min(max(timeoutFactor*expected, c.minTimeout), c.maxTimeout)
}

var errExpired = errors.New("timeout expired")

// await calls f and cancels its context after d by the clock of c. It calls f on
// the same goroutine, which spares the step a switch between goroutines.
func await[V any](ctx context.Context, c *Courier, d time.Duration, f func(context.Context) (V, error)) (V, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	expired := c.clock.After(d)
	go func() {
		select {
		case <-expired:
			cancel(errExpired)
		case <-ctx.Done():
		}
	}()
	value, err := f(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errExpired) {
		return value, refusal.New(refusal.Deadline, "no answer within %v", d)
	}
	return value, err
}

// unknown knows no speeds: all timeouts are the least one.
type unknown struct{}

func (unknown) Speed(upstream.Upstream) pipeline.Speed { return pipeline.Speed{} }

// Fixed is a Planner that always gives the same chain.
type Fixed pipeline.Chain

// Plan returns the chain, or an error of kind refusal.NoUpstream when it has a
// stage to avoid.
func (f Fixed) Plan(model fleet.ModelID, avoid []fleet.UpstreamID) (pipeline.Chain, error) {
	for _, s := range f.Stages {
		for _, id := range avoid {
			if s.Upstream.ID == id {
				return pipeline.Chain{}, refusal.New(refusal.NoUpstream, "upstream %q of the chain for model %q is lost", id, model)
			}
		}
	}
	return pipeline.Chain(f), nil
}
