// Package overhead measures the overhead of the daemon for completions and lookups.
//
// A Testbed runs one daemon and stand-ins as processes on loopback. The same work
// goes through the daemon and directly to the stand-ins, in alternating rounds:
//
//	t, err := overhead.Start(bin, dir)
//	defer t.Close()
//	c, err := t.Compare(ctx, overhead.Completions, 64)
//	fmt.Println(c.ThroughputLoss(), c.AddedLatency(99))
package overhead

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Kind is a kind of work for which both sides are compared.
type Kind int

// The kinds of work. Lookups are so short that at many streams the CPUs of one machine
// limit both sides. SlowLookups leave CPU time free, as a service on separate machines
// does.
const (
	Completions Kind = iota
	Lookups
	SlowLookups
)

// rounds is the number of rounds of a comparison. Each round runs both sides, so that
// a slow phase of the machine affects both.
const rounds = 3

// requestsPerStream returns the number of requests of one stream in a round.
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
	// minTime and maxTime are the limits of the recorded times in nanoseconds.
	minTime = int64(time.Microsecond)
	maxTime = int64(time.Minute)
	// significantDigits is the precision of the histograms in significant digits.
	significantDigits = 3
)

// Measurements holds the measured times of one side of a comparison.
type Measurements struct {
	// RequestTimes holds the durations of requests and TokenIntervals the times
	// between two tokens, both in nanoseconds.
	RequestTimes, TokenIntervals *hdrhistogram.Histogram
	// Count is the number of tokens, or of lookups, in Elapsed.
	Count   int
	Elapsed time.Duration
}

func newMeasurements() *Measurements {
	return &Measurements{RequestTimes: hdrhistogram.New(minTime, maxTime, significantDigits), TokenIntervals: hdrhistogram.New(minTime, maxTime, significantDigits)}
}

// Throughput returns the tokens or lookups per second.
func (t *Measurements) Throughput() float64 { return float64(t.Count) / t.Elapsed.Seconds() }

func (t *Measurements) add(o *Measurements) {
	t.RequestTimes.Merge(o.RequestTimes)
	t.TokenIntervals.Merge(o.TokenIntervals)
	t.Count += o.Count
}

// Comparison holds the measurements of both sides.
type Comparison struct{ Direct, Daemon *Measurements }

// ThroughputLoss returns the fraction of the direct throughput that is lost through
// the daemon.
func (c Comparison) ThroughputLoss() float64 { return 1 - c.Daemon.Throughput()/c.Direct.Throughput() }

// AddedLatency returns how much longer requests through the daemon take, as the
// difference of both sides at a percentile.
func (c Comparison) AddedLatency(percentile float64) time.Duration {
	return time.Duration(c.Daemon.RequestTimes.ValueAtPercentile(percentile) - c.Direct.RequestTimes.ValueAtPercentile(percentile))
}

// AddedTokenInterval returns how much longer the times between tokens are through the
// daemon, as the difference of both sides at a percentile.
func (c Comparison) AddedTokenInterval(percentile float64) time.Duration {
	return time.Duration(c.Daemon.TokenIntervals.ValueAtPercentile(percentile) - c.Direct.TokenIntervals.ValueAtPercentile(percentile))
}

// workFunc runs request i and records its times in t.
type workFunc func(ctx context.Context, i int, t *Measurements) error

// Compare runs the same work on both sides, with the given number of concurrent
// streams.
func (r *Testbed) Compare(ctx context.Context, k Kind, streams int) (Comparison, error) {
	direct, daemon := r.directCompletion, r.daemonCompletion
	if k != Completions {
		direct, daemon = r.lookups(k)
	}
	c := Comparison{Direct: newMeasurements(), Daemon: newMeasurements()}
	for range rounds {
		if err := runStreams(ctx, c.Direct, direct, streams, k.requestsPerStream()); err != nil {
			return c, errors.Wrap(err, "run directly")
		}
		if err := runStreams(ctx, c.Daemon, daemon, streams, k.requestsPerStream()); err != nil {
			return c, errors.Wrap(err, "run through the daemon")
		}
	}
	return c, nil
}

// runStreams runs the given number of concurrent streams, each of which calls work
// perStream times in a row, and adds their measurements to total.
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
