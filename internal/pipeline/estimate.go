package pipeline

import (
	"context"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Speed is what is known of the times of an engine without load.
type Speed struct {
	// Fixed is the time of a step that does not depend on its layers: both ways
	// over the link and the overhead of a batch.
	Fixed time.Duration
	// Layer is the time of one layer for one position.
	Layer time.Duration
	// Position is the time of one layer for each further position of a step.
	Position time.Duration
	// BytesPerSecond is the rate of the link; zero means unknown.
	BytesPerSecond float64
}

// SpeedEstimator estimates speeds. Implementations are safe for concurrent use.
type SpeedEstimator interface {
	Speed(u upstream.Upstream) Speed
}

// Replanner is a Planner that can repair a chain.
type Replanner interface {
	Planner
	// Replace returns c with other engines for the stages in avoid. It keeps all
	// other stages, so that their KV caches stay of use. The new engines are
	// expected to be the first to have run all positions so far.
	Replace(c Chain, exclude []fleet.UpstreamID, positions int) (Chain, error)
}

// Suspecter is told of engines that did not answer, so that new work avoids them
// until the roster knows more.
type Suspecter interface {
	Suspect(id fleet.UpstreamID)
}

// SequenceCounter counts the sequences that this instance has on each upstream.
type SequenceCounter interface {
	Add(id fleet.UpstreamID, n int)
}

// Commander sends commands to engines. Implementations guard against commands
// that are out of date.
type Commander interface {
	Send(ctx context.Context, u upstream.Upstream, c upstream.Command) error
}
