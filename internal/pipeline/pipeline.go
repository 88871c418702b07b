// Package pipeline defines chains of engines that together run all layers of a
// model, and the interfaces of the components that plan and execute them.
package pipeline

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Stage is one engine of a chain and the layers that it runs.
type Stage struct {
	Upstream upstream.Upstream
	Layers   upstream.LayerRange
}

// Chain is a list of stages that cover the layers of a model once and in order.
type Chain struct {
	Model   fleet.ModelID
	Version string
	Adapter string
	Stages  []Stage
}

// Planner plans chains.
type Planner interface {
	// Plan returns a chain for model without the upstreams in exclude. The error
	// is of kind refusal.NoUpstream when the layers cannot be covered.
	Plan(model fleet.ModelID, exclude []fleet.UpstreamID) (Chain, error)
}

// GenerationRequest is a request to generate tokens.
type GenerationRequest struct {
	RequestID fleet.RequestID
	Model     fleet.ModelID
	Priority  fleet.Priority
	Prompt    []uint64
	MaxTokens int
}

// Token is one token of the generated text.
type Token struct {
	// Index is the position in the generated text, starting at 0.
	Index int
	Text  string
}

// FinishReason tells why the generation ended.
type FinishReason int

// The finish reasons.
const (
	// FinishStop means that the model ended the text.
	FinishStop FinishReason = iota // stop
	// FinishLength means that MaxTokens was reached.
	FinishLength // length
)

// Executor runs a generation request over a chain.
type Executor interface {
	// Run calls emit for every token in order, exactly once each, and returns
	// when the generation is complete. An error of emit ends the generation.
	Run(ctx context.Context, g GenerationRequest, emit func(Token) error) (FinishReason, error)
}
