package voter

import (
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// leaderHint is a refusal that names the leader to ask instead.
type leaderHint struct {
	refusal  *refusal.Error
	address  string
	instance fleet.InstanceID
}

// Error returns the message of the refusal.
func (h *leaderHint) Error() string { return h.refusal.Error() }

// Unwrap returns the refusal, so that refusal.KindOf finds it.
func (h *leaderHint) Unwrap() error { return h.refusal }
