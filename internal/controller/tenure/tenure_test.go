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

// group is a replicated log whose leader is this instance, another one, or none.
type group struct {
	machine *store.Store
	term    quorum.Term // of the own leadership, or 0
	cut     bool
	// pause is called between the question and the answer.
	pause func()
}

func (g *group) Lead(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, quorum.Term, error) {
	if g.pause != nil {
		g.pause()
	}
	if g.term == 0 || g.cut {
		return nil, 0, errors.New("another replica leads")
	}
	return g.machine.Query(q), g.term, nil
}

func (g *group) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	if g.cut {
		return nil, errors.New("no leader in reach")
	}
	return g.machine.Query(q), nil
}

// Guards against a leader that acts on after a pause, because the next leader confirms
// the release to it before it notices that it was replaced.
func TestPausedLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	g, clock := &group{machine: store.New(), term: 3}, fakeclock.New(fakeclock.Start)
	n := tenure.New(g, clock)
	is.NoErr(n.Confirm(context.Background()))
	fence, leads := n.Leading()
	is.Equal(fence, fleet.Fence(3))
	is.True(leads)
	clock.Advance(tenure.Limit) // paused
	_, leads = n.Leading()
	is.True(!leads)
	g.term = 0 // replaced
	is.NoErr(n.Confirm(context.Background()))
	is.Equal(n.Age(), time.Duration(0)) // in touch with the next leader
	_, leads = n.Leading()
	is.True(!leads)
}

// Guards against a leadership that counts from the answer of the majority instead of
// from the question: the process may be paused between them.
func TestPauseWithinConfirmation(t *testing.T) {
	is := is.New(t)
	clock := fakeclock.New(fakeclock.Start)
	g := &group{machine: store.New(), term: 3, pause: func() { clock.Advance(2 * tenure.Limit) }}
	n := tenure.New(g, clock)
	is.NoErr(n.Confirm(context.Background()))
	_, leads := n.Leading()
	is.True(!leads)
	is.Equal(n.Age(), 2*tenure.Limit)
}

// Guards against a leadership that lasts after it was lost.
func TestLeaderIsCutOff(t *testing.T) {
	is := is.New(t)
	g, clock := &group{machine: store.New(), term: 3}, fakeclock.New(fakeclock.Start)
	n := tenure.New(g, clock)
	is.NoErr(n.Confirm(context.Background()))
	g.cut = true
	is.True(n.Confirm(context.Background()) != nil)
	_, leads := n.Leading()
	is.True(!leads)
}
