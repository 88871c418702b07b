package pipeline

import (
	"context"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Speed is the estimated performance of an engine without load.
type Speed struct {
	// FixedTime is the part of the time of a step that does not depend on its
	// layers: the round trip over the link and the overhead of a batch.
	FixedTime time.Duration
	// LayerTime is the time of one layer for one position.
	LayerTime time.Duration
	// PositionTime is the time of one layer for each additional position of a step.
	PositionTime time.Duration
	// BytesPerSecond is the throughput of the link. Zero means unknown.
	BytesPerSecond float64
}

// SpeedEstimator estimates the speed of engines. Implementations are safe for
// concurrent use.
type SpeedEstimator interface {
	Speed(u upstream.Upstream) Speed
}

// Replanner is a Planner that can replace some stages of a chain.
type Replanner interface {
	Planner
	// Replace returns c with other engines for the stages on the upstreams in
	// exclude. It keeps all other stages, so that their KV caches remain usable. It
	// chooses the engines that are expected to be the first to have computed all
	// positions so far.
	Replace(c Chain, exclude []fleet.UpstreamID, positions int) (Chain, error)
}

// Suspecter receives reports of engines that did not respond, so that they get no new
// work until the upstream registry has newer information.
type Suspecter interface {
	Suspect(id fleet.UpstreamID)
}

// SequenceCounter counts the sequences that this instance runs on each upstream.
type SequenceCounter interface {
	Add(id fleet.UpstreamID, n int)
}

// Commander sends commands to engines. Implementations ensure that outdated
// commands are rejected.
type Commander interface {
	Send(ctx context.Context, u upstream.Upstream, c upstream.Command) error
}
