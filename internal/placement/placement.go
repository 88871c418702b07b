// Package placement defines the types for assigning the layers of a model to
// engines.
//
// Package cover computes the assignments, and package placer, on the instance that
// leads the group, sends them to the engines as fenced orders.
package placement

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Engine is an engine that layers can be assigned to, as the planner sees it.
type Engine struct {
	ID         fleet.UpstreamID
	DataCentre fleet.DataCentreID
	// Layers is the range that the engine has loaded, or will have loaded once its
	// pending order is done.
	Layers upstream.LayerRange
	// MaxLayers is the number of layers that fit if requests need little memory, and
	// UsableLayers the number that leaves memory for the reserved streams.
	MaxLayers, UsableLayers int
	// StepFactor is the step time of its card relative to the fastest card.
	StepFactor float64
	// Pinned is set if the engine has an order in progress, was assigned a range by
	// this plan, or may not be called yet. Its layers count, but it isn't reassigned.
	Pinned bool
}

// Assignment is the range of layers that a plan gives to an engine.
type Assignment struct {
	ID     fleet.UpstreamID
	Layers upstream.LayerRange
}

const (
	// reservedStreams is the number of concurrent streams of mean size for which an
	// engine reserves memory. A chain that generates a token in 17 ms and serves 25
	// new streams of 154 tokens per second has about 65 in progress, and half as many
	// again while another data centre is down.
	reservedStreams = 100
	// sharedReservedStreams is reservedStreams for fast cards that several chains share.
	// With reservedStreams they ran out of memory at half of the streams of a data
	// centre, and the other half ran on slow cards only.
	sharedReservedStreams = 2 * reservedStreams
	// fastStepRatio is the highest ratio of the step time of a card to that of the
	// slowest card in its data centre at which the card counts as fast.
	fastStepRatio = 0.5
	// minSharingChains is the number of chains, with memory for reservedStreams, that a
	// data centre must have capacity for before its fast cards count as shared.
	minSharingChains = 2
)

// Capacity returns the number of layers that fit on a card, and the number that
// fit if memory for a number of concurrent streams of mean size is reserved.
func Capacity(e *release.Engine, c release.Card, streams int) (maxLayers, usableLayers int) {
	if e.LayerMB <= 0 || e.Layers <= 0 {
		return 0, 0
	}
	maxLayers = min(int(c.MemoryMB/e.LayerMB), e.Layers)
	tokens := float64(streams * (e.MeanPromptTokens + e.MeanAnswerTokens))
	perLayer := tokens * e.TokenBytes / float64(e.Layers) / 1e6
	usableLayers = min(int(c.MemoryMB/(e.LayerMB+perLayer)), e.Layers)
	if usableLayers == 0 && maxLayers > 1 {
		usableLayers = maxLayers - 1
	}
	return maxLayers, usableLayers
}

// ReservedStreams returns, for each kind of card, the number of concurrent streams
// to reserve memory for. cards is the number of cards of each kind in a data centre.
func ReservedStreams(e *release.Engine, cards map[string]int) map[string]int {
	chains, slowest := 0.0, 0.0
	for name, n := range cards {
		_, usableLayers := Capacity(e, e.Cards[name], reservedStreams)
		chains += float64(n*usableLayers) / float64(max(1, e.Layers))
		slowest = max(slowest, e.Cards[name].StepFactor)
	}
	streams := make(map[string]int, len(cards))
	for name := range cards {
		streams[name] = reservedStreams
		if chains >= minSharingChains && IsFast(e.Cards[name].StepFactor, slowest) {
			streams[name] = sharedReservedStreams
		}
	}
	return streams
}

// IsFast reports whether a card counts as fast beside the slowest card of its data centre.
func IsFast(stepFactor, slowest float64) bool { return stepFactor <= fastStepRatio*slowest }

// Report is the state that an engine reports.
type Report struct {
	Layers upstream.LayerRange
	// Busy is set while an order is in progress.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders uint64
	// Slowdown is the factor by which the engine is slower than its kind of card.
	Slowdown float64
	// Stalled lists the streams that wait for another engine of their path.
	Stalled []Stalled
}

// Stalled is a stream that waits for the engine at Address.
type Stalled struct {
	Request fleet.RequestID
	Address string
}

// Command is an order as it is sent to one engine.
type Command struct {
	Layers upstream.LayerRange
	// ExpectedOrders is the precondition: the number of orders that the engine must have
	// accepted so far.
	ExpectedOrders uint64
	Fence          fleet.FencingToken
	// Valid reports whether the order may still be sent. It is called once the
	// connection is open, right before the order is written.
	Valid func() bool
}

// Commander sends calls to engines in the protocol of the platform.
type Commander interface {
	// Report fetches the state of an engine.
	Report(ctx context.Context, id fleet.UpstreamID, address string) (Report, error)
	// Place orders an engine to load a range of layers. An order that is no longer
	// valid is not sent, and the outcome is Refused.
	Place(ctx context.Context, id fleet.UpstreamID, address string, o Command) (Outcome, error)
}

//go:generate ../../bin/stringer -type=Outcome -linecomment -output=names_string.go

// Outcome is the result of sending an order.
type Outcome int

// The outcomes of an order.
const (
	// Unanswered means that no response arrived. The order may still be carried out.
	Unanswered Outcome = iota // unanswered
	// Accepted means that the engine has started to carry out the order.
	Accepted // accepted
	// AlreadyHeld means that the engine already holds the range.
	AlreadyHeld // held
	// Refused means that the order is not carried out.
	Refused // refused
	// Fenced means that the engine refused the order because it has one from a newer leader.
	Fenced // fenced
)
