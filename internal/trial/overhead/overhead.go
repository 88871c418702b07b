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

// perStream is the number of requests of one stream in a round.
func (k Kind) perStream() int {
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
	// digits is the precision of the histograms in significant digits.
	digits = 3
)

// Times collects what one side of a comparison took.
type Times struct {
	// Request holds the time of whole requests and Token the time between two
	// tokens, both in nanoseconds.
	Request, Token *hdrhistogram.Histogram
	// Units is the number of tokens, or of lookups, in Took.
	Units int
	Took  time.Duration
}

func newTimes() *Times {
	return &Times{Request: hdrhistogram.New(minTime, maxTime, digits), Token: hdrhistogram.New(minTime, maxTime, digits)}
}

// Throughput returns tokens or lookups per second.
func (t *Times) Throughput() float64 { return float64(t.Units) / t.Took.Seconds() }

func (t *Times) add(o *Times) {
	t.Request.Merge(o.Request)
	t.Token.Merge(o.Token)
	t.Units += o.Units
}

// Comparison holds both sides of a comparison.
type Comparison struct{ Direct, Daemon *Times }

// Lost returns the share of the direct throughput that the daemon costs.
func (c Comparison) Lost() float64 { return 1 - c.Daemon.Throughput()/c.Direct.Throughput() }

// Added returns the difference of the request times at a percentile.
func (c Comparison) Added(percentile float64) time.Duration {
	return time.Duration(c.Daemon.Request.ValueAtPercentile(percentile) - c.Direct.Request.ValueAtPercentile(percentile))
}

// AddedPerToken returns the difference of the times between tokens at a
// percentile.
func (c Comparison) AddedPerToken(percentile float64) time.Duration {
	return time.Duration(c.Daemon.Token.ValueAtPercentile(percentile) - c.Direct.Token.ValueAtPercentile(percentile))
}

// task runs request number i and records its times.
type task func(ctx context.Context, i int, t *Times) error

// Compare runs the same work on both sides with a number of concurrent streams.
func (r *Rig) Compare(ctx context.Context, k Kind, streams int) (Comparison, error) {
	direct, daemon := r.directCompletion, r.daemonCompletion
	if k != Completions {
		direct, daemon = r.lookups(k)
	}
	c := Comparison{Direct: newTimes(), Daemon: newTimes()}
	for range rounds {
		if err := run(ctx, c.Direct, direct, streams, k.perStream()); err != nil {
			return c, errors.Wrap(err, "direct")
		}
		if err := run(ctx, c.Daemon, daemon, streams, k.perStream()); err != nil {
			return c, errors.Wrap(err, "through the daemon")
		}
	}
	return c, nil
}

// run executes each in a closed loop of the given number of streams.
func run(ctx context.Context, total *Times, each task, streams, perStream int) error {
	parts := make([]*Times, streams)
	group, ctx := errgroup.WithContext(ctx)
	started := time.Now()
	for s := range streams {
		parts[s] = newTimes()
		group.Go(func() error {
			for i := range perStream {
				if err := each(ctx, s*perStream+i, parts[s]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	total.Took += time.Since(started)
	for _, p := range parts {
		total.add(p)
	}
	return err
}
