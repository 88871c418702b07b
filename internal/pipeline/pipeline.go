// Package pipeline holds the types of chains of engines that together hold all
// layers of a model.
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

// Planner gives chains.
type Planner interface {
	// Plan returns a chain for model that avoids the given upstreams. The error
	// is of kind refusal.NoUpstream when the layers cannot be covered.
	Plan(model fleet.ModelID, exclude []fleet.UpstreamID) (Chain, error)
}

// Generation is a request for generated tokens.
type Generation struct {
	Request   fleet.RequestID
	Model     fleet.ModelID
	Priority  fleet.Priority
	Prompt    []uint64
	MaxTokens int
}

// Piece is one token of an answer.
type Piece struct {
	// Index counts the tokens of the answer from 0.
	Index int
	Text  string
}

// FinishReason tells why an answer ended.
type FinishReason int

// The finish reasons.
const (
	// Stopped means that the model ended the answer.
	Stopped FinishReason = iota // stop
	// LengthReached means that MaxTokens was reached.
	LengthReached // length
)

// Courier runs a generation over a chain.
type Courier interface {
	// Run calls emit for every token in order, exactly once each, and returns
	// when the answer is whole. An error of emit ends the generation.
	Run(ctx context.Context, g Generation, emit func(Piece) error) (FinishReason, error)
}
