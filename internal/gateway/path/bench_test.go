package path_test

import (
	"fmt"
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

// Dimensions of the benchmarks: 100 engines in 3 data centres, each of which holds the
// 80 layers in ranges of 10 that begin at every fifth layer, and one gateway of 100.
const (
	benchEngines     = 100
	benchDataCentres = 3
	benchLayers      = 80
	benchGateways    = 100
)

// benchPlanner returns a planner with recent sums in which each engine has the given
// number of requests. The layers from missing on have no engine.
func benchPlanner(b *testing.B, active int, missing fleet.Layer) *path.Planner {
	b.Helper()
	m := &release.Engine{
		Layers: benchLayers, LayerMB: 1000, TokenBytes: 4e5, StepMS: 5, PrefillPerSecond: 30000, ActivationBytes: 24600,
		LinkMbps: 6800, MeanPromptTokens: 775, MeanAnswerTokens: 154,
		Cards: map[string]release.Card{"card": {MemoryMB: 14000, StepFactor: 5, PrefillFactor: 5}},
	}
	clock := fakeclock.New(fakeclock.Start)
	var es []registry.Entry
	var us []usage.UpstreamStats
	for i := range benchEngines {
		from := fleet.Layer(i / benchDataCentres * 5 % benchLayers)
		to := min(from+10, benchLayers)
		if to > missing {
			continue
		}
		id := fleet.UpstreamID(fmt.Sprintf("e%d", i))
		es = append(es, registry.Entry{
			ID: id, Incarnation: 1, Address: string(id), DataCentre: fleet.DataCentreID(fmt.Sprintf("dc%d", i%benchDataCentres)),
			Card: "card", Layers: upstream.LayerRange{From: from, To: to}, LastHeartbeat: clock.Now(),
		})
		us = append(us, usage.UpstreamStats{ID: id, Active: active})
	}
	p := path.New(clock, "dc0", time.Hour, nil)
	p.Refresh(m, es, benchGateways)
	p.SetFleetStats(us)
	return p
}

func benchChoose(b *testing.B, p *path.Planner, l path.Constraints) {
	for b.Loop() {
		if hops, err := p.Choose(l); err == nil {
			p.Done(hops, true)
		}
	}
}

// BenchmarkChoose measures the choice of a path without admission control.
func BenchmarkChoose(b *testing.B) {
	b.Run("calm", func(b *testing.B) { benchChoose(b, benchPlanner(b, 1, benchLayers), path.Constraints{}) })
	b.Run("full", func(b *testing.B) { benchChoose(b, benchPlanner(b, 1000, benchLayers), path.Constraints{}) })
	b.Run("missingLayers", func(b *testing.B) { benchChoose(b, benchPlanner(b, 1, benchLayers-10), path.Constraints{}) })
}
