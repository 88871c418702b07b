// Package speeds learns the times of engines from the steps that ran on them.
//
//	s := speeds.New(initial)
//	s.Observe(id, 4, 1, elapsed) // a step of 4 layers and 1 position
//	speed := s.Speed(u)
package speeds

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// weight is the share of a new observation in the average.
const weight = 0.2

// Learned implements pipeline.Speeds. An engine that was never used has the
// speed of its accelerator, or else the initial one.
type Learned struct {
	initial      pipeline.Speed
	accelerators map[string]pipeline.Speed
	factors      board.Shards[fleet.UpstreamID, factors]
}

// factors are the ratios of observed to expected times of one engine: for steps
// of one position, and for the further positions of longer ones.
type factors struct {
	token, prompt, rate float64
}

// Option changes a Learned.
type Option func(*Learned)

// WithAccelerator sets the first speed of engines on a kind of accelerator.
func WithAccelerator(name string, s pipeline.Speed) Option {
	return func(l *Learned) { l.accelerators[name] = s }
}

// New returns a Learned with the speed of engines of which nothing is known.
func New(initial pipeline.Speed, options ...Option) *Learned {
	l := &Learned{initial: initial, accelerators: make(map[string]pipeline.Speed)}
	for _, o := range options {
		o(l)
	}
	return l
}

// Speed implements pipeline.Speeds.
func (l *Learned) Speed(u upstream.Upstream) pipeline.Speed {
	s := l.first(u.Accelerator)
	f, ok := l.factors.Get(u.ID)
	if !ok {
		return s
	}
	s.Fixed = scale(s.Fixed, f.token)
	s.Layer = scale(s.Layer, f.token)
	s.Position = scale(s.Position, f.prompt)
	if f.rate > 0 {
		s.BytesPerSecond = f.rate
	}
	return s
}

// Observe learns from a step of an engine.
func (l *Learned) Observe(u upstream.Upstream, layers, positions int, elapsed time.Duration) {
	s := l.first(u.Accelerator)
	single := s.Fixed + time.Duration(layers)*s.Layer
	further := time.Duration(layers*(positions-1)) * s.Position
	l.factors.Update(u.ID, func(f factors, ok bool) (factors, bool) {
		if !ok {
			f = factors{token: 1, prompt: 1}
		}
		if positions == 1 && single > 0 {
			f.token = blend(f.token, float64(elapsed)/float64(single))
		}
		if positions > 1 && further > 0 {
			rest := max(elapsed-scale(single, f.token), 0)
			f.prompt = blend(f.prompt, float64(rest)/float64(further))
		}
		return f, true
	})
}

// ObserveTransfer learns the rate of a link from the transfer of bytes.
func (l *Learned) ObserveTransfer(u upstream.Upstream, bytes int, elapsed time.Duration) {
	if elapsed <= 0 || bytes <= 0 {
		return
	}
	rate := float64(bytes) / elapsed.Seconds()
	l.factors.Update(u.ID, func(f factors, ok bool) (factors, bool) {
		if !ok {
			f = factors{token: 1, prompt: 1}
		}
		if f.rate == 0 {
			f.rate = rate
		}
		f.rate = blend(f.rate, rate)
		return f, true
	})
}

// Forget drops what was learned of an upstream that is gone.
func (l *Learned) Forget(id fleet.UpstreamID) { l.factors.Delete(id) }

func (l *Learned) first(accelerator string) pipeline.Speed {
	if s, ok := l.accelerators[accelerator]; ok {
		return s
	}
	return l.initial
}

func blend(old, observed float64) float64 { return old + weight*(observed-old) }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
