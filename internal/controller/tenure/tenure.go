// Package tenure records what a majority of the controllers last confirmed: the newest
// release, and whether this instance is the leader.
//
//	t := tenure.New(voter, clock)
//	err := t.Confirm(ctx) // periodically
//	fence, leads := t.Leading()
//
// The leadership is valid for MaxConfirmationAge from the start of the last confirmation
// in which a majority confirmed this instance as the leader. A confirmation by another
// leader doesn't extend it, so an instance that was paused stops acting as the leader at
// once.
package tenure

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// MaxConfirmationAge is the age of a confirmation at which this instance is considered
// cut off from the majority and its leadership lost. It is shorter than the sum of the
// duration of an election and the time that a new leader waits before it gives orders.
const MaxConfirmationAge = time.Second

// Group is the replicated log of the releases.
type Group interface {
	// Lead has a majority confirm that the own replica is the leader, and returns the
	// reply to a query and the term. It fails if another replica is the leader.
	Lead(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, quorum.Term, error)
	// Read sends a query to the leader, which has a majority confirm its leadership.
	Read(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, error)
}

// Tenure holds the newest confirmation. It is safe for concurrent use.
type Tenure struct {
	group Group
	clock fleet.Clock

	mu        sync.Mutex
	confirmed feed.Confirmation
	// fence is the fencing token of the own leadership if this instance led at the newest
	// confirmation, or 0.
	fence fleet.FencingToken
}

// New returns a Tenure without a confirmation. The clock must keep running while the
// machine is suspended.
func New(g Group, c fleet.Clock) *Tenure { return &Tenure{group: g, clock: c} }

// Confirm has a majority confirm the newest release and the leadership.
func (t *Tenure) Confirm(ctx context.Context) error {
	start := t.clock.Now()
	reply, term, err := t.group.Lead(ctx, quorum.ConfigGroup, nil)
	fence := fleet.FencingToken(term)
	if err != nil {
		t.clearFence()
		fence = 0
		if reply, err = t.group.Read(ctx, quorum.ConfigGroup, nil); err != nil {
			return err
		}
	}
	v, err := store.DecodeVersion(reply)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = feed.Confirmation{Version: v, Start: start}
	t.fence = fence
	return nil
}

func (t *Tenure) clearFence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence = 0
}

// Confirmation returns the newest confirmation.
func (t *Tenure) Confirmation() feed.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

// Age returns the time since the start of the newest confirmation.
func (t *Tenure) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age()
}

func (t *Tenure) age() time.Duration { return t.clock.Now().Sub(t.confirmed.Start) }

// Leading returns the fencing token of the own leadership, and whether the leadership is
// valid now.
func (t *Tenure) Leading() (fleet.FencingToken, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence, t.fence > 0 && t.age() < MaxConfirmationAge
}
