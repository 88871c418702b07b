// Package placement holds the types of the decision which engine holds which
// layers of the model.
//
// Package cover decides, and package placer carries the decision out as orders
// to the engines of one fenced leader.
package placement

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Engine is one engine that may hold layers.
type Engine struct {
	ID         fleet.UpstreamID
	DataCentre fleet.DataCentreID
	// Holds are the layers that it holds, or will hold once its order is done.
	Holds upstream.LayerRange
	// Room is the number of layers that fit when requests need little memory, and
	// Usable the number that leaves memory for the usual requests.
	Room, Usable int
	// Pace is the time of a step compared with the fastest card.
	Pace float64
	// Fixed engines carry out an order and take no other one.
	Fixed bool
}

// Order tells one engine to hold a range of layers.
type Order struct {
	ID     fleet.UpstreamID
	Layers upstream.LayerRange
}

const (
	// usualStreams is the number of concurrent streams of usual size for which an
	// engine keeps memory free. A chain that makes a token in 17 ms serves 25 new
	// streams of 154 tokens a second with about 65 at a time, and half as many again
	// while another data centre is out.
	usualStreams = 100
	// sharedStreams is the number for fast cards that several chains share. With
	// usualStreams they were full at half of the streams of a data centre, and the
	// other half ran on slow cards only.
	sharedStreams = 2 * usualStreams
	// fastPart is the part of the time of the slowest card up to which a card is fast.
	fastPart = 0.5
	// richChains is the number of chains of usual size from which on a data centre's
	// fast cards are shared.
	richChains = 2
)

// Capacity returns how many layers a card can hold at most, and how many when
// it keeps memory for a number of usual requests.
func Capacity(e *release.Engine, c release.Card, streams int) (room, usable int) {
	if e.LayerMB <= 0 || e.Layers <= 0 {
		return 0, 0
	}
	room = min(int(c.MemoryMB/e.LayerMB), e.Layers)
	tokens := float64(streams * (e.UsualPrompt + e.UsualAnswer))
	perLayer := tokens * e.TokenBytes / float64(e.Layers) / 1e6
	usable = min(int(c.MemoryMB/(e.LayerMB+perLayer)), e.Layers)
	if usable == 0 && room > 1 {
		usable = room - 1
	}
	return room, usable
}

// Streams returns, for each card, the number of concurrent streams to keep memory for
// in a data centre with some cards of each kind.
func Streams(e *release.Engine, cards map[string]int) map[string]int {
	chains, slowest := 0.0, 0.0
	for name, n := range cards {
		_, usable := Capacity(e, e.Cards[name], usualStreams)
		chains += float64(n*usable) / float64(max(1, e.Layers))
		slowest = max(slowest, e.Cards[name].Pace)
	}
	streams := make(map[string]int, len(cards))
	for name := range cards {
		streams[name] = usualStreams
		if chains >= richChains && e.Cards[name].Pace <= fastPart*slowest {
			streams[name] = sharedStreams
		}
	}
	return streams
}

// Report is what an engine says of its orders.
type Report struct {
	Holds upstream.LayerRange
	// Busy tells that an order is in progress.
	Busy bool
	// Orders is the number of orders that it has accepted.
	Orders uint64
	// Pace is the factor by which it is slower than its card.
	Pace float64
	// Stalled are the streams that wait for a part of their path.
	Stalled []Stalled
}

// Stalled is a stream that waits for the engine at Address.
type Stalled struct {
	Request fleet.RequestID
	Address string
}

// Command is an order as it goes to one engine.
type Command struct {
	Layers upstream.LayerRange
	// Orders is the number of orders that the engine must have accepted so far.
	Orders uint64
	Fence  fleet.Fence
	// Valid reports whether the order may still be given. It is asked once the
	// connection is open, right before the order is written.
	Valid func() bool
}

// Commander speaks to engines in the protocol of the platform.
type Commander interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, id fleet.UpstreamID, address string) (Report, error)
	// Place orders an engine to hold a range. An order that is not valid any more is
	// not given, with the outcome Refused.
	Place(ctx context.Context, id fleet.UpstreamID, address string, o Command) (Outcome, error)
}

//go:generate ../../bin/stringer -type=Outcome -linecomment -output=names_string.go

// Outcome is the answer to an order.
type Outcome int

// The outcomes of an order.
const (
	// Unanswered orders may be carried out later.
	Unanswered Outcome = iota // unanswered
	// Accepted orders have begun.
	Accepted // accepted
	// Held tells that the engine holds the range already.
	Held // held
	// Refused orders are not carried out.
	Refused // refused
	// Fenced orders are refused because another leader gave a newer one.
	Fenced // fenced
)
