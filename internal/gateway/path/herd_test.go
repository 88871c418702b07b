package path_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	herdTick     = 50 * time.Millisecond
	herdInterval = 5 // ticks between two sums
	herdLag      = 10
	herdDuration = 2500 * time.Millisecond
	herdCapacity = 200 // streams on an engine of herdModel
)

// herdModel needs a tenth of the memory of model, so that the fast engines hold about as many
// streams as those of a real fleet.
func herdModel() *release.Engine {
	m := *model
	m.TokenBytes /= 10
	return &m
}

// herd is a set of gateways that share chains of fast engines and have the same delayed
// sums.
type herd struct {
	clock    *fakeclock.Clock
	random   *rand.Rand
	gateways []*path.Planner
	active   map[fleet.UpstreamID]int
	history  []map[fleet.UpstreamID]int // oldest first, one entry per tick
	ends     map[int][]func()           // by tick
	started  int
	rejected int
}

func newHerd(gateways, chains int) *herd {
	h := &herd{
		clock: fakeclock.New(fakeclock.Start), random: rand.New(rand.NewPCG(1, 2)),
		active: make(map[fleet.UpstreamID]int), ends: make(map[int][]func()),
	}
	var es []registry.Entry
	for i := range chains {
		for _, r := range []upstream.LayerRange{{From: 0, To: 4}, {From: 4, To: 8}} {
			id := fmt.Sprintf("e%d-%d", i, r.From)
			es = append(es, registry.Entry{
				ID: fleet.UpstreamID(id), Address: id, DataCentre: "dc1", Card: "fast", Layers: r,
				LastHeartbeat: h.clock.Now().Add(time.Hour),
			})
		}
	}
	for range gateways {
		p := path.New(h.clock, "dc1", time.Hour, h.random.Float64)
		p.SetAdmission(true)
		p.Refresh(herdModel(), es, gateways)
		h.gateways = append(h.gateways, p)
	}
	return h
}

// run starts streams at a rate for d. They last herdDuration on average. An engine rejects those beyond
// its capacity.
func (h *herd) run(d time.Duration, rate float64, anticipate bool) {
	for tick := range int(d / herdTick) {
		for _, end := range h.ends[tick] {
			end()
		}
		for n := rate * herdTick.Seconds(); n > 0; n-- {
			if h.random.Float64() < n {
				h.start(h.gateways[h.random.IntN(len(h.gateways))], tick+1+int(h.random.ExpFloat64()*float64(herdDuration/herdTick)))
			}
		}
		h.recordActive()
		if tick%herdInterval == 0 && tick >= herdLag {
			h.sendSums(h.history[tick-herdLag], rate, anticipate)
		}
		h.clock.Advance(herdTick)
	}
}

func (h *herd) start(p *path.Planner, end int) {
	h.started++
	hops, err := p.Choose(path.Constraints{})
	if err != nil {
		h.rejected++
		return
	}
	for _, k := range hops {
		if h.active[k.ID] >= herdCapacity {
			h.rejected++
			p.Done(hops, false)
			return
		}
	}
	for _, k := range hops {
		h.active[k.ID]++
	}
	h.ends[end] = append(h.ends[end], func() {
		for _, k := range hops {
			h.active[k.ID]--
		}
		p.Done(hops, true)
	})
}

func (h *herd) recordActive() {
	now := make(map[fleet.UpstreamID]int, len(h.active))
	for id, n := range h.active {
		now[id] = n
	}
	h.history = append(h.history, now)
}

func (h *herd) sendSums(active map[fleet.UpstreamID]int, rate float64, anticipate bool) {
	var us []usage.UpstreamStats
	for id, n := range active {
		us = append(us, usage.UpstreamStats{ID: id, Active: n})
	}
	for _, p := range h.gateways {
		p.SetFleetStats(us)
		if anticipate {
			p.SetRates(rate, rate)
		}
	}
}

// Guards against gateways that all choose the same engines until the next sums, so that
// these engines reject streams while others are idle. The load is three quarters of what
// the engines can take, from 40 gateways whose sums are 0.5 to 0.75 s old; the engines must
// not reject more than 3 in 100 streams.
func TestStaleSumsDoNotOverloadEngines(t *testing.T) {
	const chains = 6
	rate := 0.75 * chains * herdCapacity / herdDuration.Seconds()
	h := newHerd(40, chains)
	h.run(20*time.Second, rate, true)
	if float64(h.rejected) > 0.03*float64(h.started) {
		t.Errorf("%d of %d streams were rejected", h.rejected, h.started)
	}
	h = newHerd(40, chains)
	h.run(20*time.Second, rate, false)
	if float64(h.rejected) <= 0.03*float64(h.started) {
		t.Errorf("without a start rate %d of %d streams were rejected: the load does not show the fault", h.rejected, h.started)
	}
}
