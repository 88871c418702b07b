// Package courier executes generation requests token by token over chains of
// engines.
//
//	c := courier.New(planner, dialer, courier.WithSpeeds(speeds))
//	defer c.Close()
//	reason, err := c.Run(ctx, request, func(t pipeline.Token) error {
//		return stream.Write(t.Text)
//	})
//
// Every step carries the request ID, an epoch and a position. The Executor keeps the
// activations that crossed each boundary between stages. When a stage fails, only
// that stage is replaced: under a new epoch the replacement imports the KV cache or
// recomputes it from the stored activations. The other stages keep their caches.
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

// Defaults of an Executor.
const (
	// DefaultMinTimeout and DefaultMaxTimeout are the bounds of the timeout of a step.
	DefaultMinTimeout = time.Second
	DefaultMaxTimeout = time.Minute
	// DefaultKVEntryBytes is the size of the KV cache of one layer and position.
	DefaultKVEntryBytes = 4096
	// DefaultOverloadBackoff is the pause before a step is sent again to an engine
	// that was overloaded.
	DefaultOverloadBackoff = 20 * time.Millisecond
	// timeoutFactor is the ratio of the timeout of a call to its expected time.
	timeoutFactor = 4
	// releaseTimeout is the timeout of the call that frees the memory of a request.
	releaseTimeout = time.Second
	// maxRecoveries is the maximum number of recoveries without a new token.
	maxRecoveries = 16
	// maxCrashes is the number of engines that may crash without minProgressTokens tokens in
	// between. The request, and not the engines, is then assumed to be the cause.
	maxCrashes = 3
	// minProgressTokens is the number of tokens after which a crash has other causes than the
	// request. An engine that crashes because of it may generate one token before.
	minProgressTokens = 2
	// leaveReplanInterval is the minimum time between two replannings of a chain
	// because of leaving engines.
	leaveReplanInterval = time.Second
)

// Observer records the times of steps and transfers.
type Observer interface {
	Observe(u upstream.Upstream, layers, positions int, elapsed time.Duration)
	ObserveTransfer(u upstream.Upstream, bytes int, elapsed time.Duration)
}

// Executor implements pipeline.Executor. It is safe for concurrent use.
type Executor struct {
	planner         pipeline.Planner
	dialer          upstream.Dialer
	clock           fleet.Clock
	speeds          pipeline.SpeedEstimator
	observer        Observer
	roster          upstream.Roster
	trail           report.Trail
	sequences       pipeline.SequenceCounter
	minTimeout      time.Duration
	maxTimeout      time.Duration
	overloadBackoff time.Duration
	kvEntryBytes    int

	// releases counts the calls that free the memory of ended requests.
	releases sync.WaitGroup
}

// Option configures an Executor.
type Option func(*Executor)

// WithClock sets the clock, by default that of the operating system.
func WithClock(clock fleet.Clock) Option { return func(c *Executor) { c.clock = clock } }

// WithSpeeds sets the estimates on which timeouts and recoveries are based. Without
// it all timeouts are the minimum, and no KV cache is imported.
func WithSpeeds(s pipeline.SpeedEstimator) Option { return func(c *Executor) { c.speeds = s } }

// WithObserver sets the observer of steps and transfers.
func WithObserver(o Observer) Option { return func(c *Executor) { c.observer = o } }

// WithRoster sets the roster that shows which engines are leaving.
func WithRoster(r upstream.Roster) Option { return func(c *Executor) { c.roster = r } }

// WithTrail sets the trail in which decisions are recorded under the request ID.
func WithTrail(t report.Trail) Option { return func(c *Executor) { c.trail = t } }

// WithSequenceCounter sets the counter of the sequences on each upstream.
func WithSequenceCounter(g pipeline.SequenceCounter) Option {
	return func(c *Executor) { c.sequences = g }
}

// WithTimeouts sets the bounds of the timeout of a step.
func WithTimeouts(minimum, maximum time.Duration) Option {
	return func(c *Executor) { c.minTimeout, c.maxTimeout = minimum, maximum }
}

// WithOverloadBackoff sets the pause before a step is sent again to an engine that
// was overloaded.
func WithOverloadBackoff(d time.Duration) Option { return func(c *Executor) { c.overloadBackoff = d } }

// WithKVEntryBytes sets the size of the KV cache of one layer and position.
func WithKVEntryBytes(n int) Option { return func(c *Executor) { c.kvEntryBytes = n } }

// New returns an Executor that obtains chains from planner.
func New(planner pipeline.Planner, dialer upstream.Dialer, options ...Option) *Executor {
	c := &Executor{
		planner: planner, dialer: dialer,
		clock:      systemclock.Clock{},
		speeds:     noEstimates{},
		minTimeout: DefaultMinTimeout, maxTimeout: DefaultMaxTimeout,
		overloadBackoff: DefaultOverloadBackoff, kvEntryBytes: DefaultKVEntryBytes,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close waits until the memory of all ended requests has been freed.
func (c *Executor) Close() { c.releases.Wait() }

// Run implements pipeline.Executor. An error after the first token is of kind
// refusal.StreamBroken or refusal.Deadline, unless emit returned it.
func (c *Executor) Run(ctx context.Context, g pipeline.GenerationRequest, emit func(pipeline.Token) error) (pipeline.FinishReason, error) {
	if len(g.Prompt) == 0 {
		return 0, refusal.New(refusal.BadRequest, "prompt is empty")
	}
	chain, err := c.planner.Plan(g.Model, nil)
	if err != nil {
		return 0, err
	}
	r := newRun(c, g, chain)
	defer r.finish(ctx)
	input := g.Prompt
	for index := range g.MaxTokens {
		result, err := r.forwardPass(ctx, index, input)
		if err != nil {
			return 0, r.callerError(ctx, index, err)
		}
		if err := emit(pipeline.Token{Index: index, Text: result.Token}); err != nil {
			return 0, err
		}
		if result.End {
			return pipeline.FinishStop, nil
		}
		input = result.Output[len(result.Output)-1:]
	}
	return pipeline.FinishLength, nil
}

// callerError converts an error to the kind that is reported to the caller. A kind
// that says "not run" is kept only when no layer can have run.
func (r *run) callerError(ctx context.Context, index int, err error) error {
	if ctx.Err() != nil {
		return refusal.WithCause(refusal.Deadline, err, "request ended after %d tokens", index)
	}
	if index > 0 {
		return refusal.WithCause(refusal.StreamBroken, err, "answer ended after %d tokens", index)
	}
	if r.mayHaveRun && refusal.KindOf(err).Response().NotRun {
		return refusal.WithCause(refusal.UpstreamFailed, err, "request was lost before its first token")
	}
	return err
}

func (c *Executor) record(r fleet.RequestID, e report.Entry) {
	if c.trail == nil {
		return
	}
	e.At = c.clock.Now()
	e.Component = "courier"
	c.trail.Add(string(r), e)
}

func (c *Executor) countSequences(id fleet.UpstreamID, n int) {
	if c.sequences != nil {
		c.sequences.Add(id, n)
	}
}

// release frees the memory of a request on an engine in the background, even after
// ctx has ended. It cancels only one epoch if the client can do so, because the
// engine may already serve a newer epoch when the call arrives.
func (c *Executor) release(ctx context.Context, r fleet.RequestID, e fleet.Epoch, client upstream.EngineClient) {
	c.releases.Add(1)
	go func() {
		defer c.releases.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		// An engine that cannot be reached discards the request by itself.
		if canceller, ok := client.(upstream.EpochCanceller); ok {
			_ = canceller.CancelEpoch(ctx, r, e)
			return
		}
		_ = client.Cancel(ctx, r)
	}()
}

// timeout returns the timeout of a call that is expected to take the given time.
func (c *Executor) timeout(expected time.Duration) time.Duration {
	return min(max(timeoutFactor*expected, c.minTimeout), c.maxTimeout)
}

var errTimeout = errors.New("timeout expired")

// callWithTimeout calls f and cancels its context after d by the clock of c. It
// calls f on the same goroutine, which saves a goroutine switch per step.
func callWithTimeout[V any](ctx context.Context, c *Executor, d time.Duration, f func(context.Context) (V, error)) (V, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	expired := c.clock.After(d)
	go func() {
		select {
		case <-expired:
			cancel(errTimeout)
		case <-ctx.Done():
		}
	}()
	value, err := f(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errTimeout) {
		return value, refusal.New(refusal.Deadline, "no answer within %v", d)
	}
	return value, err
}

// noEstimates provides no estimates: all timeouts are the minimum.
type noEstimates struct{}

func (noEstimates) Speed(upstream.Upstream) pipeline.Speed { return pipeline.Speed{} }

// FixedPlanner is a Planner that always returns the same chain.
type FixedPlanner pipeline.Chain

// Plan returns the chain, or an error of kind refusal.NoUpstream when one of its
// upstreams is excluded.
func (f FixedPlanner) Plan(model fleet.ModelID, exclude []fleet.UpstreamID) (pipeline.Chain, error) {
	for _, s := range f.Stages {
		for _, id := range exclude {
			if s.Upstream.ID == id {
				return pipeline.Chain{}, refusal.New(refusal.NoUpstream, "upstream %q of the chain for model %q is lost", id, model)
			}
		}
	}
	return pipeline.Chain(f), nil
}
