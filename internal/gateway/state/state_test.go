package state_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// bootClock adds the time since the machine started to a fake clock.
type bootClock struct{ *fakeclock.Clock }

func (c bootClock) Boot() time.Duration { return c.Now().Sub(fakeclock.Start) + time.Hour }

type decoder struct{}

func (decoder) Decode([]byte) (*release.Release, error) {
	return &release.Release{Version: 1, Services: []release.Service{{Pool: "desk"}}}, nil
}

// Guards against a gateway that retries although all gateways together have used up the
// retry budget, and against retries that are not reported to the other gateways.
func TestRetryBudgetIsShared(t *testing.T) {
	is := is.New(t)
	c := bootClock{fakeclock.New(fakeclock.Start)}
	s := state.New(c, "dc1", decoder{}, state.Limits{
		HeartbeatTimeout: time.Hour, KeyLease: time.Hour, ReadinessTimeout: time.Hour,
		Retries: budget.Limit{Share: 0.2, Extra: 100, Window: 10 * time.Second},
	}, exchange.New(c), zap.NewNop())
	command, err := store.Command(1, nil)
	is.NoErr(err)
	log := store.New()
	log.Apply(1, command)
	held, _ := log.Current()
	receive := func(u feed.Update) { is.NoErr(s.Receive(u)) }
	sent := func(n budget.Count) map[fleet.PoolID]budget.Count {
		return map[fleet.PoolID]budget.Count{"desk": n}
	}
	receive(feed.Update{Release: held, Sums: &usage.Report{Gateways: 10, Attempts: sent(budget.Count{Attempts: 50, Retries: 2})}})
	p, ok := s.Pool("desk")
	is.True(ok)
	p.RetryBudget.Deposit()
	is.True(p.RetryBudget.Withdraw())
	is.Equal(s.Report().Attempts, sent(budget.Count{Attempts: 1, Retries: 1}))
	receive(feed.Update{Release: held, Sums: &usage.Report{Gateways: 10, Attempts: sent(budget.Count{Attempts: 50, Retries: 110})}})
	c.Advance(time.Second)
	is.True(!p.RetryBudget.Withdraw())
}
