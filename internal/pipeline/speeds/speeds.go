// Package speeds estimates the speed of engines from the measured times of the
// steps that ran on them.
//
//	s := speeds.New(initial)
//	s.Observe(u, 4, 1, elapsed) // a step of 4 layers and 1 position
//	speed := s.Speed(u)
package speeds

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// ewmaWeight is the weight of a new observation in the moving average.
const ewmaWeight = 0.2

// Estimator implements pipeline.SpeedEstimator. An engine without observations has
// the speed of its kind of accelerator or else the initial speed.
type Estimator struct {
	initial      pipeline.Speed
	accelerators map[string]pipeline.Speed
	corrections  board.ShardedMap[fleet.UpstreamID, correction]
}

// correction holds the observations of one engine: the ratios of observed to
// expected times for steps of one position (decode) and for the additional
// positions of longer steps (prefill), and the throughput of its link in bytes per
// second, which is zero until it is observed.
type correction struct {
	decode, prefill, linkRate float64
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithAccelerator sets the initial speed of engines on a kind of accelerator.
func WithAccelerator(name string, s pipeline.Speed) Option {
	return func(l *Estimator) { l.accelerators[name] = s }
}

// New returns an Estimator. Initial is the speed of engines whose kind of
// accelerator has no speed of its own.
func New(initial pipeline.Speed, options ...Option) *Estimator {
	l := &Estimator{initial: initial, accelerators: make(map[string]pipeline.Speed)}
	for _, o := range options {
		o(l)
	}
	return l
}

// Speed implements pipeline.SpeedEstimator.
func (l *Estimator) Speed(u upstream.Upstream) pipeline.Speed {
	s := l.initialSpeed(u.Accelerator)
	f, ok := l.corrections.Get(u.ID)
	if !ok {
		return s
	}
	s.FixedTime = scale(s.FixedTime, f.decode)
	s.LayerTime = scale(s.LayerTime, f.decode)
	s.PositionTime = scale(s.PositionTime, f.prefill)
	if f.linkRate > 0 {
		s.BytesPerSecond = f.linkRate
	}
	return s
}

// Observe records the time of a step on an engine.
func (l *Estimator) Observe(u upstream.Upstream, layers, positions int, elapsed time.Duration) {
	s := l.initialSpeed(u.Accelerator)
	expectedDecode := s.FixedTime + time.Duration(layers)*s.LayerTime
	expectedPrefill := time.Duration(layers*(positions-1)) * s.PositionTime
	l.corrections.Update(u.ID, func(f correction, ok bool) (correction, bool) {
		if !ok {
			f = correction{decode: 1, prefill: 1}
		}
		if positions == 1 && expectedDecode > 0 {
			f.decode = ewma(f.decode, float64(elapsed)/float64(expectedDecode))
		}
		if positions > 1 && expectedPrefill > 0 {
			observedPrefill := max(elapsed-scale(expectedDecode, f.decode), 0)
			f.prefill = ewma(f.prefill, float64(observedPrefill)/float64(expectedPrefill))
		}
		return f, true
	})
}

// ObserveTransfer records a transfer over the link of an engine.
func (l *Estimator) ObserveTransfer(u upstream.Upstream, bytes int, elapsed time.Duration) {
	if elapsed <= 0 || bytes <= 0 {
		return
	}
	rate := float64(bytes) / elapsed.Seconds()
	l.corrections.Update(u.ID, func(f correction, ok bool) (correction, bool) {
		if !ok {
			f = correction{decode: 1, prefill: 1}
		}
		if f.linkRate == 0 {
			f.linkRate = rate
		}
		f.linkRate = ewma(f.linkRate, rate)
		return f, true
	})
}

// Forget deletes the observations of an upstream that has left.
func (l *Estimator) Forget(id fleet.UpstreamID) { l.corrections.Delete(id) }

func (l *Estimator) initialSpeed(accelerator string) pipeline.Speed {
	if s, ok := l.accelerators[accelerator]; ok {
		return s
	}
	return l.initial
}

func ewma(old, observed float64) float64 { return old + ewmaWeight*(observed-old) }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
