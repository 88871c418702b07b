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

// run is one request in progress. It is not safe for concurrent use.
type run struct {
	executor *Executor
	request  pipeline.GenerationRequest
	chain    pipeline.Chain
	epoch    fleet.Epoch
	// clients and cachedPositions have one element for each stage of chain: the client
	// of its engine and the number of positions in its KV cache.
	clients         []upstream.EngineClient
	cachedPositions []fleet.Position
	// layerInputs holds the inputs of all positions for each layer at a boundary of
	// stages: the tokens at layer 0, activations at the others.
	layerInputs map[fleet.Layer][]uint64
	// excluded are the engines that failed. They are not used for this request while
	// others cover their layers.
	excluded []fleet.UpstreamID
	// recoveries counts the recoveries since the last token.
	recoveries int
	// crashes counts the engines that crashed in a step, until minProgressTokens tokens have
	// followed. tokensSinceCrash counts these.
	crashes, tokensSinceCrash int
	// mayHaveRun tells whether a layer may have run for this request.
	mayHaveRun bool
	// lastLeaveReplan is the time of the last replanning because of a leaving engine.
	lastLeaveReplan time.Time
}

func newRun(c *Executor, g pipeline.GenerationRequest, chain pipeline.Chain) *run {
	r := &run{executor: c, request: g, layerInputs: make(map[fleet.Layer][]uint64)}
	r.startEpoch(chain, make([]fleet.Position, len(chain.Stages)))
	c.record(g.RequestID, report.Entry{
		Alternatives: fmt.Sprintf("chain for model %s version %s", chain.Model, chain.Version),
		Chosen:       formatChain(chain), Reason: "shortest expected time to the next token",
	})
	return r
}

// startEpoch continues with a chain under a new epoch.
func (r *run) startEpoch(chain pipeline.Chain, cachedPositions []fleet.Position) {
	c := r.executor
	for _, s := range r.chain.Stages {
		c.countSequences(s.Upstream.ID, -1)
	}
	r.chain, r.cachedPositions = chain, cachedPositions
	r.epoch++
	r.clients = make([]upstream.EngineClient, len(chain.Stages))
	for i, s := range chain.Stages {
		c.countSequences(s.Upstream.ID, 1)
		r.clients[i] = c.dialer.Engine(s.Upstream)
	}
}

// finish frees the memory of the request on all engines of the chain.
func (r *run) finish(ctx context.Context) {
	for i, s := range r.chain.Stages {
		r.executor.countSequences(s.Upstream.ID, -1)
		r.executor.release(ctx, r.request.RequestID, r.epoch, r.clients[i])
	}
}

// forwardPass runs all layers for the positions of input and returns the result of
// the last stage.
func (r *run) forwardPass(ctx context.Context, index int, input []uint64) (upstream.StepResult, error) {
	if err := ctx.Err(); err != nil {
		return upstream.StepResult{}, err
	}
	r.recoveries = 0
	if r.tokensSinceCrash >= minProgressTokens {
		r.crashes = 0
	}
	r.migrateFromLeaving(ctx, index)
	r.layerInputs[0] = append(r.layerInputs[0], input...)
	var result upstream.StepResult
	for layer := fleet.Layer(0); layer == 0 || layer < r.endLayer(); {
		i := r.stageAt(layer)
		if i < 0 {
			return result, refusal.New(refusal.Internal, "chain of request %s has no stage at layer %d", r.request.RequestID, layer)
		}
		var err error
		result, err = r.step(ctx, i)
		if err != nil {
			if err = r.recoverStage(ctx, index, i, err); err != nil {
				return result, err
			}
			layer = r.resumeLayer(layer)
			continue
		}
		layer = r.chain.Stages[i].Layers.To
	}
	r.tokensSinceCrash++
	return result, nil
}

// step runs a stage for all positions that are not in its KV cache. After an unknown
// outcome or an overload it sends the same step once more. The engine returns the
// stored result if the step already ran.
func (r *run) step(ctx context.Context, i int) (upstream.StepResult, error) {
	s := r.chain.Stages[i]
	input := r.layerInputs[s.Layers.From][r.cachedPositions[i]:]
	step := upstream.Step{
		Request: r.request.RequestID, Epoch: r.epoch, Position: r.cachedPositions[i],
		Model: r.chain.Model, Version: r.chain.Version, Adapter: r.chain.Adapter,
		Layers: s.Layers, Priority: r.request.Priority, Input: input,
	}
	result, err := r.sendStep(ctx, i, step)
	switch {
	case err == nil || ctx.Err() != nil:
	case refusal.KindOf(err) == refusal.UpstreamFailed:
		result, err = r.sendStep(ctx, i, step)
		if err != nil && refusal.KindOf(err) == refusal.NoUpstream {
			// The engine lost the connection during the step and refuses a new one.
			r.crashes++
			r.tokensSinceCrash = 0
		}
	case refusal.KindOf(err) == refusal.Overloaded:
		select {
		case <-r.executor.clock.After(r.executor.overloadBackoff):
			result, err = r.sendStep(ctx, i, step)
		case <-ctx.Done():
		}
	}
	if err != nil {
		return upstream.StepResult{}, err
	}
	r.storeInputs(s.Layers.To, r.cachedPositions[i], result.Output)
	r.cachedPositions[i] += fleet.Position(len(input))
	return result, nil
}

// sendStep sends a step and checks that the response belongs to it.
func (r *run) sendStep(ctx context.Context, i int, step upstream.Step) (upstream.StepResult, error) {
	c, u := r.executor, r.chain.Stages[i].Upstream
	startedAt := c.clock.Now()
	expected := expectedStepTime(c.speeds.Speed(u), step.Layers.Len(), len(step.Input))
	result, err := callWithTimeout(ctx, c, c.timeout(expected), func(ctx context.Context) (upstream.StepResult, error) {
		return r.clients[i].Step(ctx, step)
	})
	r.mayHaveRun = r.mayHaveRun || err == nil || !refusal.KindOf(err).Response().NotRun
	if err != nil {
		return upstream.StepResult{}, err
	}
	if result.Request != step.Request || result.Epoch != step.Epoch || result.Position != step.Position || len(result.Output) != len(step.Input) {
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed, "upstream %q answered another step", u.ID)
	}
	if c.observer != nil {
		c.observer.Observe(u, step.Layers.Len(), len(step.Input), c.clock.Now().Sub(startedAt))
	}
	return result, nil
}

// storeInputs sets the inputs of layer l, starting at a position. It does not
// overwrite inputs that a call in progress may still read.
func (r *run) storeInputs(l fleet.Layer, from fleet.Position, output []uint64) {
	kept := r.layerInputs[l][:from]
	if len(kept) < len(r.layerInputs[l]) {
		kept = slices.Clip(kept)
	}
	r.layerInputs[l] = append(kept, output...)
}

func (r *run) stageAt(l fleet.Layer) int {
	for i, s := range r.chain.Stages {
		if s.Layers.From == l {
			return i
		}
	}
	return -1
}

func (r *run) endLayer() fleet.Layer { return r.chain.Stages[len(r.chain.Stages)-1].Layers.To }

// expectedStepTime returns the expected time of a step without load.
func expectedStepTime(s pipeline.Speed, layers, positions int) time.Duration {
	return s.FixedTime + time.Duration(layers)*s.LayerTime + time.Duration(layers*(positions-1))*s.PositionTime
}

func formatChain(c pipeline.Chain) string {
	text := ""
	for i, s := range c.Stages {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%s[%d:%d]", s.Upstream.ID, s.Layers.From, s.Layers.To)
	}
	return text
}
