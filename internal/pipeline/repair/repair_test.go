package repair_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/repair"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	layerSeconds = 5 // time that the weight store takes for one layer
	cooldown     = 10 * time.Minute
)

// simulation simulates a fleet of engines that execute commands, and a weight store.
// It implements upstream.Roster and pipeline.Commander.
type simulation struct {
	t       testing.TB
	clock   *fakeclock.Clock
	model   document.Model
	engines map[fleet.UpstreamID]*upstream.Upstream
	loading map[fleet.UpstreamID]load
	// storeBusyUntil is the time when the weight store has delivered all weights.
	storeBusyUntil time.Time
	rate           int64
	refusing       map[fleet.UpstreamID]bool
	log            strings.Builder
	moves          int
	loop           *repair.Loop
	// loadAt returns the running sequences of an engine with a range of layers at a
	// time since the start.
	loadAt func(upstream.LayerRange, time.Duration) float64
}

type load struct {
	command upstream.Command
	done    time.Time
}

func newSimulation(t testing.TB, layers, holders int, rate int64) *simulation {
	w := &simulation{
		t: t, clock: fakeclock.New(fakeclock.Start),
		model:    document.Model{ID: "m", Version: "1", Layers: fleet.Layer(layers), MinHolders: holders},
		engines:  make(map[fleet.UpstreamID]*upstream.Upstream),
		rate:     rate,
		loading:  make(map[fleet.UpstreamID]load),
		refusing: make(map[fleet.UpstreamID]bool),
	}
	w.loop = &repair.Loop{
		Controller: repair.NewController(repair.Settings{Instance: "i1", LayerBytes: layerSeconds, BytesPerSecond: rate, Cooldown: cooldown}),
		Roster:     w, Commander: w, Clock: w.clock, Logger: zap.NewNop(),
		Models: func() []document.Model { return []document.Model{w.model} },
	}
	return w
}

func (w *simulation) add(id, version string, from, to int) {
	w.engines[fleet.UpstreamID(id)] = &upstream.Upstream{Announcement: upstream.Announcement{
		ID: fleet.UpstreamID(id), Kind: upstream.Engine, Model: "m", Version: version, Slots: 10,
		Layers: upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)},
	}}
}

func (w *simulation) Usable(fleet.PoolID, time.Time) []upstream.Upstream {
	var list []upstream.Upstream
	for _, u := range w.engines {
		list = append(list, *u)
	}
	return list
}

func (w *simulation) Get(fleet.UpstreamID) (upstream.Upstream, bool) {
	return upstream.Upstream{}, false
}

// Send starts to load weights. It fails the test when the weight store is still busy.
func (w *simulation) Send(_ context.Context, u upstream.Upstream, c upstream.Command) error {
	now := w.clock.Now()
	fmt.Fprintf(&w.log, "%4.0fs %s %s %s %d:%d\n", now.Sub(fakeclock.Start).Seconds(), c.Kind, u.ID, c.Version, c.Layers.From, c.Layers.To)
	w.moves++
	if w.refusing[u.ID] {
		return refusal.New(refusal.Conflict, "refused")
	}
	done := now
	if c.Kind == upstream.LoadModel && w.rate > 0 {
		if w.storeBusyUntil.After(now) {
			w.t.Fatalf("engine starts loading while the weight store is busy:\n%s", w.log.String())
		}
		done = now.Add(time.Duration(c.Layers.Len()*layerSeconds) * time.Second)
		w.storeBusyUntil = done
	}
	w.loading[u.ID] = load{c, done}
	return nil
}

// advanceSecond advances the simulation by one second. It fails the test when a
// completed command removes the last holder of a layer.
func (w *simulation) advanceSecond() {
	w.clock.Advance(time.Second)
	for id, l := range w.loading {
		u, ok := w.engines[id]
		if !ok || l.done.After(w.clock.Now()) {
			continue
		}
		delete(w.loading, id)
		before := w.holders()
		u.Version, u.Layers = l.command.Version, l.command.Layers
		for i, n := range w.holders() {
			if n == 0 && before[i] > 0 {
				w.t.Fatalf("command removed the last holder of layer %d:\n%s", i, w.log.String())
			}
		}
	}
	for _, u := range w.engines {
		if w.loadAt != nil {
			u.Load.Running = int(w.loadAt(u.Layers, w.clock.Now().Sub(fakeclock.Start)))
		}
	}
	w.loop.RunOnce(context.Background())
}

// holders returns the number of holders of each layer, for the version that covers
// more layers.
func (w *simulation) holders() []int {
	counts := make(map[string][]int)
	best := make([]int, w.model.Layers)
	for _, u := range w.engines {
		if counts[u.Version] == nil {
			counts[u.Version] = make([]int, w.model.Layers)
		}
		for l := u.Layers.From; l < u.Layers.To; l++ {
			counts[u.Version][l]++
		}
	}
	covered := func(c []int) int {
		return len(c) - len(slices.DeleteFunc(slices.Clone(c), func(n int) bool { return n > 0 }))
	}
	for _, version := range []string{"1", "2"} {
		if c := counts[version]; c != nil && covered(c) >= covered(best) {
			best = c
		}
	}
	return best
}

// TestScripts runs the engine failures of testdata. It guards against a layer that
// remains without a holder, against loading beyond the rate of the weight store, and
// against a command that removes the last holder of a layer.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				var layers, holders int
				d.ScanArgs(t, "layers", &layers)
				d.ScanArgs(t, "holders", &holders)
				rate := 1 // zero means no limit
				d.MaybeScanArgs(t, "rate", &rate)
				w = newSimulation(t, layers, holders, int64(rate))
				for _, line := range strings.Split(d.Input, "\n") {
					var id, version string
					var from, to int
					if _, err := fmt.Sscan(line, &id, &version, &from, &to); err != nil {
						d.Fatalf(t, "%q: %v", line, err)
					}
					w.add(id, version, from, to)
				}
			case "lose":
				delete(w.engines, fleet.UpstreamID(d.CmdArgs[0].Key))
			case "refuse":
				w.refusing[fleet.UpstreamID(d.CmdArgs[0].Key)] = true
			case "version":
				w.model.Version = d.CmdArgs[0].Key
			case "run":
				var seconds int
				d.ScanArgs(t, "s", &seconds)
				w.log.Reset()
				for range seconds {
					w.advanceSecond()
				}
				return fmt.Sprintf("%sholders %v\n", w.log.String(), w.holders())
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestOscillatingLoad guards against engines that are moved back and forth when the
// load oscillates between two ranges of layers.
func TestOscillatingLoad(t *testing.T) {
	const hours = 2
	for _, c := range []struct {
		period   time.Duration
		maxMoves int
	}{
		{20 * time.Second, 0},
		{100 * time.Second, 0},
		// Engines follow a slow oscillation, but move at most once per cooldown.
		{10 * time.Minute, int(hours * time.Hour / cooldown)},
	} {
		w := newSimulation(t, 8, 2, 1)
		for i := range 8 {
			w.add(fmt.Sprintf("e%d", i), "1", i%2*4, i%2*4+4)
		}
		w.loadAt = func(r upstream.LayerRange, now time.Duration) float64 {
			// Between 0 and 15 sequences on 10 slots, in opposite phase.
			phase := 2 * math.Pi * (float64(now)/float64(c.period) + float64(r.From)/8)
			return 7.5 + 7.5*math.Sin(phase)
		}
		for range hours * 3600 {
			w.advanceSecond()
		}
		t.Logf("period %v: %d moves in %d hours", c.period, w.moves, hours)
		if w.moves > c.maxMoves {
			t.Errorf("period %v: %d moves, at most %d expected:\n%s", c.period, w.moves, c.maxMoves, w.log.String())
		}
	}
}

// TestOverloadedRole guards against a role that stays overloaded although another one
// has enough engines to give some up.
func TestOverloadedRole(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 8, 2, 1)
	for i := range 8 {
		w.add(fmt.Sprintf("e%d", i), "1", i%2*4, i%2*4+4)
	}
	w.loadAt = func(r upstream.LayerRange, _ time.Duration) float64 {
		if r.From == 0 {
			return 12
		}
		return 1
	}
	for range 3600 {
		w.advanceSecond()
	}
	holders := w.holders()
	is.True(holders[0] > 4)  // engines moved to the overloaded role
	is.True(holders[7] >= 2) // the other one keeps its required holders
}
