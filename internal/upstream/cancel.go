package upstream

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// EpochCanceller is an EngineClient that can end a request up to an epoch. A call
// that arrives late does not end a newer epoch, as Cancel would.
type EpochCanceller interface {
	CancelEpoch(ctx context.Context, r fleet.RequestID, e fleet.Epoch) error
}
