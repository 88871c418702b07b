// Package overhead measures what the daemon adds to completions and lookups.
//
// A Rig runs one daemon with stand-ins as processes on loopback. The same work
// goes through the daemon and directly to the stand-ins, in alternating rounds:
//
//	r, err := overhead.Start(bin, dir)
//	defer r.Close()
//	c, err := r.Compare(overhead.Completions, 64)
//	fmt.Println(c.Lost(), c.Added(99))
package overhead

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Kind is the kind of work that is compared.
type Kind int

// The kinds of work. Lookups are so short that the processors of one machine bound
// both sides at many streams; SlowLookups leave them time, like those of a
// service on machines of its own.
const (
	Completions Kind = iota
	Lookups
	SlowLookups
)

// Rounds of one comparison. Each runs direct and through the daemon, so that a
// slow phase of the machine affects both.
const rounds = 3

// requestsPerStream is the number of requests of one stream in a round.
func (k Kind) requestsPerStream() int {
	switch k {
	case Completions:
		return 4
	case SlowLookups:
		return 50
	}
	return 200
}

const (
	// minTime and maxTime bound the recorded times in nanoseconds.
	minTime = int64(time.Microsecond)
	maxTime = int64(time.Minute)
	// significantDigits is the precision of the histograms in significant digits.
	significantDigits = 3
)

// Measurements collects what one side of a comparison took.
type Measurements struct {
	// RequestTimes holds the time of whole requests and Token the time between two
	// tokens, both in nanoseconds.
	RequestTimes, TokenIntervals *hdrhistogram.Histogram
	// Count is the number of tokens, or of lookups, in Took.
	Count int
	Elapsed  time.Duration
}

func newMeasurements() *Measurements {
	return &Measurements{RequestTimes: hdrhistogram.New(minTime, maxTime, significantDigits), TokenIntervals: hdrhistogram.New(minTime, maxTime, significantDigits)}
}

// Throughput returns tokens or lookups per second.
func (t *Measurements) Throughput() float64 { return float64(t.Count) / t.Elapsed.Seconds() }

func (t *Measurements) add(o *Measurements) {
	t.RequestTimes.Merge(o.RequestTimes)
	t.TokenIntervals.Merge(o.TokenIntervals)
	t.Count += o.Count
}

// Comparison holds both sides of a comparison.
type Comparison struct{ Direct, Daemon *Measurements }

// ThroughputLoss returns the share of the direct throughput that the daemon costs.
func (c Comparison) ThroughputLoss() float64 { return 1 - c.Daemon.Throughput()/c.Direct.Throughput() }

// AddedLatency returns the difference of the request times at a percentile.
func (c Comparison) AddedLatency(percentile float64) time.Duration {
	return time.Duration(c.Daemon.RequestTimes.ValueAtPercentile(percentile) - c.Direct.RequestTimes.ValueAtPercentile(percentile))
}

// AddedTokenInterval returns the difference of the times between tokens at a
// percentile.
func (c Comparison) AddedTokenInterval(percentile float64) time.Duration {
	return time.Duration(c.Daemon.TokenIntervals.ValueAtPercentile(percentile) - c.Direct.TokenIntervals.ValueAtPercentile(percentile))
}

// workFunc runs request number i and records its times.
type workFunc func(ctx context.Context, i int, t *Measurements) error

// Compare runs the same work on both sides with a number of concurrent streams.
func (r *Testbed) Compare(ctx context.Context, k Kind, streams int) (Comparison, error) {
	direct, daemon := r.directCompletion, r.daemonCompletion
	if k != Completions {
		direct, daemon = r.lookups(k)
	}
	c := Comparison{Direct: newMeasurements(), Daemon: newMeasurements()}
	for range rounds {
		if err := runStreams(ctx, c.Direct, direct, streams, k.requestsPerStream()); err != nil {
			return c, errors.Wrap(err, "direct")
		}
		if err := runStreams(ctx, c.Daemon, daemon, streams, k.requestsPerStream()); err != nil {
			return c, errors.Wrap(err, "through the daemon")
		}
	}
	return c, nil
}

// runStreams executes each in a closed loop of the given number of streams.
func runStreams(ctx context.Context, total *Measurements, work workFunc, streams, perStream int) error {
	results := make([]*Measurements, streams)
	group, ctx := errgroup.WithContext(ctx)
	started := time.Now()
	for s := range streams {
		results[s] = newMeasurements()
		group.Go(func() error {
			for i := range perStream {
				if err := work(ctx, s*perStream+i, results[s]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	total.Elapsed += time.Since(started)
	for _, p := range results {
		total.add(p)
	}
	return err
}
