package courier

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// run is one request in progress. It is used by one goroutine.
type run struct {
	courier *Courier
	request pipeline.Generation
	chain   pipeline.Chain
	epoch   fleet.Epoch
	// clients and have belong to the stages of chain: have is the number of
	// positions in the KV cache of a stage.
	clients []upstream.EngineClient
	have    []fleet.Position
	// values holds, for each boundary of a stage, the values of all positions
	// that entered that layer.
	values map[fleet.Layer][]uint64
	// lost are the engines that are not used for this request again.
	lost []fleet.UpstreamID
	// recoveries counts the recoveries since the last token.
	recoveries int
	// ran tells that a layer may have run.
	ran bool
	// leaveChecked is the time of the last replanning for a leaving engine.
	leaveChecked time.Time
}

func newRun(c *Courier, g pipeline.Generation, chain pipeline.Chain) *run {
	r := &run{courier: c, request: g, values: make(map[fleet.Layer][]uint64)}
	r.take(chain, make([]fleet.Position, len(chain.Stages)))
	c.record(g.Request, report.Entry{
		Alternatives: fmt.Sprintf("chain for model %s version %s", chain.Model, chain.Version),
		Chosen:       describe(chain), Reason: "shortest expected time to the next token",
	})
	return r
}

// take goes on with a chain under a new epoch.
func (r *run) take(chain pipeline.Chain, have []fleet.Position) {
	c := r.courier
	for _, s := range r.chain.Stages {
		c.count(s.Upstream.ID, -1)
	}
	r.chain, r.have = chain, have
	r.epoch++
	r.clients = make([]upstream.EngineClient, len(chain.Stages))
	for i, s := range chain.Stages {
		c.count(s.Upstream.ID, 1)
		r.clients[i] = c.dialer.Engine(s.Upstream)
	}
}

// end frees the memory of the request on all engines of the chain.
func (r *run) end(ctx context.Context) {
	for i, s := range r.chain.Stages {
		r.courier.count(s.Upstream.ID, -1)
		r.courier.release(ctx, r.request.Request, r.epoch, r.clients[i])
	}
}

// pass runs all layers for the positions of input and returns the result of the
// last stage.
func (r *run) pass(ctx context.Context, index int, input []uint64) (upstream.StepResult, error) {
	if err := ctx.Err(); err != nil {
		return upstream.StepResult{}, err
	}
	r.recoveries = 0
	r.leave(ctx, index)
	r.values[0] = append(r.values[0], input...)
	var result upstream.StepResult
	for at := fleet.Layer(0); at == 0 || at < r.lastLayer(); {
		i := r.stageAt(at)
		if i < 0 {
			return result, refusal.New(refusal.Internal, "chain of request %s has no stage at layer %d", r.request.Request, at)
		}
		var err error
		result, err = r.step(ctx, i)
		if err != nil {
			if err = r.recover(ctx, index, i, err); err != nil {
				return result, err
			}
			at = r.resume(at)
			continue
		}
		at = r.chain.Stages[i].Layers.To
	}
	return result, nil
}

// step runs a stage for all positions that are not in its KV cache. After an
// unknown outcome it sends the same step once more, which the engine answers from
// memory if it ran.
func (r *run) step(ctx context.Context, i int) (upstream.StepResult, error) {
	s := r.chain.Stages[i]
	input := r.values[s.Layers.From][r.have[i]:]
	step := upstream.Step{
		Request: r.request.Request, Epoch: r.epoch, Position: r.have[i],
		Model: r.chain.Model, Version: r.chain.Version, Adapter: r.chain.Adapter,
		Layers: s.Layers, Priority: r.request.Priority, Input: input,
	}
	result, err := r.send(ctx, i, step)
	switch {
	case err == nil || ctx.Err() != nil:
	case refusal.KindOf(err) == refusal.UpstreamFailed:
		result, err = r.send(ctx, i, step)
	case refusal.KindOf(err) == refusal.Overloaded:
		select {
		case <-r.courier.clock.After(r.courier.pause):
			result, err = r.send(ctx, i, step)
		case <-ctx.Done():
		}
	}
	if err != nil {
		return upstream.StepResult{}, err
	}
	r.store(s.Layers.To, r.have[i], result.Output)
	r.have[i] += fleet.Position(len(input))
	return result, nil
}

// send sends a step and checks that the answer belongs to it.
func (r *run) send(ctx context.Context, i int, step upstream.Step) (upstream.StepResult, error) {
	c, u := r.courier, r.chain.Stages[i].Upstream
	began := c.clock.Now()
	expected := stepTime(c.speeds.Speed(u), step.Layers.Len(), len(step.Input))
	result, err := await(ctx, c, c.timeout(expected), func(ctx context.Context) (upstream.StepResult, error) {
		return r.clients[i].Step(ctx, step)
	})
	r.ran = r.ran || err == nil || !refusal.KindOf(err).Answer().NotRun
	if err != nil {
		return upstream.StepResult{}, err
	}
	if result.Request != step.Request || result.Epoch != step.Epoch || result.Position != step.Position || len(result.Output) != len(step.Input) {
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed, "upstream %q answered another step", u.ID)
	}
	if c.observer != nil {
		c.observer.Observe(u, step.Layers.Len(), len(step.Input), c.clock.Now().Sub(began))
	}
	return result, nil
}

// store sets the values that enter layer l from a position on. Values that a call
// in progress may still read are not overwritten.
func (r *run) store(l fleet.Layer, from fleet.Position, output []uint64) {
	kept := r.values[l][:from]
	if len(kept) < len(r.values[l]) {
		kept = slices.Clip(kept)
	}
	r.values[l] = append(kept, output...)
}

func (r *run) stageAt(l fleet.Layer) int {
	for i, s := range r.chain.Stages {
		if s.Layers.From == l {
			return i
		}
	}
	return -1
}

func (r *run) lastLayer() fleet.Layer { return r.chain.Stages[len(r.chain.Stages)-1].Layers.To }

// stepTime is the expected time of a step without load.
func stepTime(s pipeline.Speed, layers, positions int) time.Duration {
	return s.Fixed + time.Duration(layers)*s.Layer + time.Duration(layers*(positions-1))*s.Position
}

func describe(c pipeline.Chain) string {
	text := ""
	for i, s := range c.Stages {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%s[%d:%d]", s.Upstream.ID, s.Layers.From, s.Layers.To)
	}
	return text
}
