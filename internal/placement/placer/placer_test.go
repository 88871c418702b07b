package placer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/placement/placer"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

// leadership is a Leadership whose fence a test can change. Fence 0 means not leading.
type leadership struct {
	mu    sync.Mutex
	fence fleet.FencingToken
}

func (l *leadership) Leading() (fleet.FencingToken, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence > 0
}

func (l *leadership) set(f fleet.FencingToken) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = f
}

// testReleases returns a release with one service whose model has four layers.
type testReleases struct{}

func (testReleases) ActiveRelease() *release.Release {
	return &release.Release{Services: []release.Service{{Pool: "model", Engine: &release.Engine{
		Layers: 4, LayerMB: 1, MeanPromptTokens: 1, MeanAnswerTokens: 1, TokenBytes: 1,
		Cards: map[string]release.Card{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}}}}
}

type noSuspects struct{}

func (noSuspects) Suspects() []fleet.UpstreamID { return nil }
func (noSuspects) Serving() []fleet.UpstreamID  { return nil }

// commander calls beforeOrder before it checks whether an order is valid.
type commander struct {
	beforeOrder func()
	valid       chan bool
}

func (c *commander) Report(context.Context, fleet.UpstreamID, string) (placement.Report, error) {
	return placement.Report{}, nil
}

func (c *commander) Place(_ context.Context, _ fleet.UpstreamID, _ string, o placement.Command) (placement.Outcome, error) {
	c.beforeOrder()
	select {
	case c.valid <- o.Valid():
	default:
	}
	return placement.Refused, nil
}

// orderValidAfterChange lets a placer plan its first order, changes the fence to next, and
// returns whether the order is then still valid.
func orderValidAfterChange(t *testing.T, next fleet.FencingToken) bool {
	clock := fakeclock.New(fakeclock.Start)
	registryCatalog := catalog.New(clock)
	entry := registry.Entry{
		ID: "e1", Incarnation: 1, Pool: "model", Address: "127.0.0.1:1", State: registry.Ready, Card: "card", Slots: 10,
	}
	l := &leadership{fence: 3}
	m := &commander{beforeOrder: func() { l.set(next) }, valid: make(chan bool, 1)}
	p := placer.New(clock, registryCatalog, l, testReleases{}, m, noSuspects{}, time.Hour, zap.NewNop())
	defer p.Stop()
	for {
		entry.Sequence++
		entry.LastHeartbeat = clock.Now()
		registryCatalog.Put(entry, true)
		select {
		case valid := <-m.valid:
			return valid
		case <-time.After(time.Millisecond):
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// Guards against an order from an instance that was paused between planning the order
// and sending it, while another instance became the leader.
func TestOrderOfLostLeadershipIsNotValid(t *testing.T) {
	is := is.New(t)
	is.True(!orderValidAfterChange(t, 0)) // lost
	is.True(!orderValidAfterChange(t, 4)) // lost and won again, with a new state of the engines
	is.True(orderValidAfterChange(t, 3))
}
