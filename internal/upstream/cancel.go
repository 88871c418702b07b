package upstream

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// EpochCanceller is an EngineClient that can cancel a request up to an epoch. A
// delayed call does not cancel a newer epoch of the request, as Cancel would.
type EpochCanceller interface {
	CancelEpoch(ctx context.Context, r fleet.RequestID, e fleet.Epoch) error
}
