package tenure_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/controller/tenure"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// fakeGroup is a replicated log whose leader is this instance, another one, or none.
type fakeGroup struct {
	releases    *store.Store
	term        quorum.Term // of the own leadership, or 0
	partitioned bool
	// beforeReply is called between the request and the reply.
	beforeReply func()
}

func (g *fakeGroup) Lead(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, quorum.Term, error) {
	if g.beforeReply != nil {
		g.beforeReply()
	}
	if g.term == 0 || g.partitioned {
		return nil, 0, errors.New("another replica leads")
	}
	return g.releases.Query(q), g.term, nil
}

func (g *fakeGroup) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	if g.partitioned {
		return nil, errors.New("no leader in reach")
	}
	return g.releases.Query(q), nil
}

// Guards against a leader that continues to act as leader after a pause: the next leader
// confirms the release to it before it notices that it was replaced.
func TestPausedLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	g, clock := &fakeGroup{releases: store.New(), term: 3}, fakeclock.New(fakeclock.Start)
	n := tenure.New(g, clock)
	is.NoErr(n.Confirm(context.Background()))
	fence, leads := n.Leading()
	is.Equal(fence, fleet.FencingToken(3))
	is.True(leads)
	clock.Advance(tenure.MaxConfirmationAge) // paused
	_, leads = n.Leading()
	is.True(!leads)
	g.term = 0 // replaced
	is.NoErr(n.Confirm(context.Background()))
	is.Equal(n.Age(), time.Duration(0)) // in touch with the next leader
	_, leads = n.Leading()
	is.True(!leads)
}

// Guards against measuring the leadership from the reply of the majority instead of from
// the request: the process may be paused between them.
func TestPauseWithinConfirmation(t *testing.T) {
	is := is.New(t)
	clock := fakeclock.New(fakeclock.Start)
	g := &fakeGroup{releases: store.New(), term: 3, beforeReply: func() { clock.Advance(2 * tenure.MaxConfirmationAge) }}
	n := tenure.New(g, clock)
	is.NoErr(n.Confirm(context.Background()))
	_, leads := n.Leading()
	is.True(!leads)
	is.Equal(n.Age(), 2*tenure.MaxConfirmationAge)
}

// Guards against keeping the leadership after a failed confirmation.
func TestPartitionedLeader(t *testing.T) {
	is := is.New(t)
	g, clock := &fakeGroup{releases: store.New(), term: 3}, fakeclock.New(fakeclock.Start)
	n := tenure.New(g, clock)
	is.NoErr(n.Confirm(context.Background()))
	g.partitioned = true
	is.True(n.Confirm(context.Background()) != nil)
	_, leads := n.Leading()
	is.True(!leads)
}
