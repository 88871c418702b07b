// Package courier drives one request token by token over a chain of engines.
//
//	c := courier.New(planner, dialer)
//	reason, err := c.Run(ctx, generation, func(p pipeline.Piece) error {
//		return stream.Write(p.Text)
//	})
package courier

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Courier runs generations. It is safe for concurrent use.
type Courier struct {
	planner pipeline.Planner
	dialer  upstream.Dialer
}

// New returns a Courier that takes chains from planner.
func New(planner pipeline.Planner, dialer upstream.Dialer) *Courier {
	return &Courier{planner: planner, dialer: dialer}
}

// Run implements pipeline.Courier.
func (c *Courier) Run(ctx context.Context, g pipeline.Generation, emit func(pipeline.Piece) error) (pipeline.FinishReason, error) {
	chain, err := c.planner.Plan(g.Model, nil)
	if err != nil {
		return 0, err
	}
	defer c.release(ctx, g.Request, chain)
	input := g.Prompt
	position := fleet.Position(0)
	for index := 0; index < g.MaxTokens; index++ {
		result, err := c.pass(ctx, g, chain, position, input)
		if err != nil {
			return 0, err
		}
		if err := emit(pipeline.Piece{Index: index, Text: result.Token}); err != nil {
			return 0, err
		}
		if result.End {
			return pipeline.Stopped, nil
		}
		position += fleet.Position(len(input))
		input = result.Output[len(result.Output)-1:]
	}
	return pipeline.LengthReached, nil
}

// pass runs all stages for the positions of input.
func (c *Courier) pass(ctx context.Context, g pipeline.Generation, chain pipeline.Chain, position fleet.Position, input []uint64) (upstream.StepResult, error) {
	var result upstream.StepResult
	for _, s := range chain.Stages {
		var err error
		result, err = c.dialer.Engine(s.Upstream).Step(ctx, upstream.Step{
			Request: g.Request, Epoch: 1, Position: position,
			Model: chain.Model, Version: chain.Version, Adapter: chain.Adapter,
			Layers: s.Layers, Priority: g.Priority, Input: input,
		})
		if err != nil {
			return upstream.StepResult{}, err
		}
		input = result.Output
	}
	if len(result.Output) == 0 {
		return upstream.StepResult{}, refusal.New(refusal.Internal, "chain for model %q has no stages", chain.Model)
	}
	return result, nil
}

// release frees the memory of the request on all stages, even after ctx has
// ended.
func (c *Courier) release(ctx context.Context, r fleet.RequestID, chain pipeline.Chain) {
	ctx = context.WithoutCancel(ctx)
	for _, s := range chain.Stages {
		// An engine that cannot be reached drops the request by itself.
		_ = c.dialer.Engine(s.Upstream).Cancel(ctx, r)
	}
}

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
