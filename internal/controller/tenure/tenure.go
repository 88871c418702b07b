// Package tenure keeps what a majority of the controllers last confirmed: the newest
// release, and whether this instance leads.
//
//	t := tenure.New(voter, clock)
//	err := t.Confirm(ctx) // again and again
//	fence, leads := t.Leading()
//
// A leadership holds for Limit from the start of the confirmation in which a majority
// answered this instance as its leader. A confirmation that another leader answered
// does not extend it, so that an instance that was paused stops acting as the leader
// at once.
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

// Limit is the age of a confirmation from which on this instance counts as cut off,
// and its leadership as lost. It is shorter than an election and the time for which
// the next leader waits before it gives orders, together.
const Limit = time.Second

// Group is the replicated log of the releases.
type Group interface {
	// Lead has a majority confirm that the own replica leads, and returns the reply to
	// a query and the term. It fails if another replica leads.
	Lead(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, quorum.Term, error)
	// Read hands a query to the leader, which a majority confirms.
	Read(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, error)
}

// Tenure is safe for concurrent use.
type Tenure struct {
	group Group
	clock fleet.Clock

	mu        sync.Mutex
	confirmed feed.Confirmation
	// fence is that of the own leadership if confirmed is of it, or 0.
	fence fleet.Fence
}

// New returns a Tenure without a confirmation. The clock must go on while the machine
// is suspended.
func New(g Group, c fleet.Clock) *Tenure { return &Tenure{group: g, clock: c} }

// Confirm asks a majority for the newest release and the leadership.
func (t *Tenure) Confirm(ctx context.Context) error {
	start := t.clock.Now()
	reply, term, err := t.group.Lead(ctx, quorum.ConfigGroup, nil)
	fence := fleet.Fence(term)
	if err != nil {
		t.resign()
		fence = 0
		if reply, err = t.group.Read(ctx, quorum.ConfigGroup, nil); err != nil {
			return err
		}
	}
	v, err := store.VersionOf(reply)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = feed.Confirmation{Version: v, Start: start}
	t.fence = fence
	return nil
}

func (t *Tenure) resign() {
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

// Leading returns the fence of the own leadership, and whether it holds now.
func (t *Tenure) Leading() (fleet.Fence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence, t.fence > 0 && t.age() < Limit
}
