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

// leadership is one that a test ends.
type leadership struct {
	mu    sync.Mutex
	fence fleet.Fence
}

func (l *leadership) Leading() (fleet.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence > 0
}

func (l *leadership) set(f fleet.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = f
}

// inForce is a release with one engine of four layers.
type inForce struct{}

func (inForce) InForce() *release.Release {
	return &release.Release{Services: []release.Service{{Pool: "model", Engine: &release.Engine{
		Layers: 4, LayerMB: 1, UsualPrompt: 1, UsualAnswer: 1, TokenBytes: 1,
		Cards: map[string]release.Card{"card": {MemoryMB: 100, Pace: 1, ReadFactor: 1}},
	}}}}
}

type noSuspects struct{}

func (noSuspects) Suspects() []fleet.UpstreamID { return nil }
func (noSuspects) Serving() []fleet.UpstreamID  { return nil }

// commander calls lose before an order is written.
type commander struct {
	lose  func()
	valid chan bool
}

func (c *commander) Report(context.Context, fleet.UpstreamID, string) (placement.Report, error) {
	return placement.Report{}, nil
}

func (c *commander) Place(_ context.Context, _ fleet.UpstreamID, _ string, o placement.Command) (placement.Outcome, error) {
	c.lose()
	select {
	case c.valid <- o.Valid():
	default:
	}
	return placement.Refused, nil
}

// play lets a placer decide on its first order, changes the leadership, and returns
// whether the order counts as valid then.
func play(t *testing.T, next fleet.Fence) bool {
	clock := fakeclock.New(fakeclock.Start)
	roster := catalog.New(clock)
	entry := registry.Entry{
		ID: "e1", Born: 1, Pool: "model", Address: "127.0.0.1:1", State: registry.Ready, Card: "card", Slots: 10,
	}
	l := &leadership{fence: 3}
	m := &commander{lose: func() { l.set(next) }, valid: make(chan bool, 1)}
	p := placer.New(clock, roster, l, inForce{}, m, noSuspects{}, time.Hour, zap.NewNop())
	defer p.Stop()
	for {
		entry.Sequence++
		entry.Heard = clock.Now()
		roster.Put(entry, true)
		select {
		case valid := <-m.valid:
			return valid
		case <-time.After(time.Millisecond):
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// Guards against an order of an instance that was paused between its decision and the
// order, while another one became the leader.
func TestOrderOfLostLeadershipIsNotValid(t *testing.T) {
	is := is.New(t)
	is.True(!play(t, 0)) // lost
	is.True(!play(t, 4)) // lost and won again, with another view of the engines
	is.True(play(t, 3))
}
