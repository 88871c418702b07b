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

// benchSumsInterval is the number of paths that a planner chooses between two sums.
const benchSumsInterval = 10

// benchPlanner returns a planner, and sums in which each engine has the given number of
// requests. The layers from missing on have no engine. With gaps, each data centre lacks
// another layer.
func benchPlanner(b *testing.B, active int, missing fleet.Layer, gaps bool) (*path.Planner, []usage.UpstreamStats) {
	b.Helper()
	m := &release.Engine{
		Layers: benchLayers, LayerMB: 1000, TokenBytes: 4e5, StepMS: 5, PrefillPerSecond: 30000, ActivationBytes: 24600,
		LinkMbps: 6800, MeanPromptTokens: 775, MeanAnswerTokens: 154,
		Cards: map[string]release.Card{"card": {MemoryMB: 24000, StepFactor: 5, PrefillFactor: 5}},
	}
	clock := fakeclock.New(fakeclock.Start)
	var es []registry.Entry
	var us []usage.UpstreamStats
	for i := range benchEngines {
		from := fleet.Layer(i / benchDataCentres * 5 % benchLayers)
		to := min(from+10, benchLayers)
		gap := fleet.Layer(10 + 20*(i%benchDataCentres))
		if to > missing || gaps && from <= gap && gap < to {
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
	return p, us
}

func benchChoose(b *testing.B, p *path.Planner, us []usage.UpstreamStats, l path.Constraints, found bool) {
	for i := 0; b.Loop(); i++ {
		if i%benchSumsInterval == 0 {
			p.SetFleetStats(us)
		}
		hops, err := p.Choose(l)
		if (err == nil) != found {
			b.Fatalf("unexpected result: %v", err)
		}
		if err == nil {
			p.Done(hops, true)
		}
	}
}

// BenchmarkChooseAdmission measures the choice of a path under admission control. Where
// engines are full or layers are missing, the choice examines the data centres as well.
func BenchmarkChooseAdmission(b *testing.B) {
	for _, s := range []struct {
		name    string
		active  int
		missing fleet.Layer
		gaps    bool
		l       path.Constraints
		found   bool
	}{
		{"calm", 1, benchLayers, false, path.Constraints{}, true},
		{"full", 1000, benchLayers, false, path.Constraints{}, false},
		{"fullContinues", 1000, benchLayers, false, path.Constraints{Continues: true}, true},
		{"missingLayers", 1, benchLayers - 10, false, path.Constraints{}, false},
		{"crossing", 1, benchLayers, true, path.Constraints{Continues: true}, true},
	} {
		b.Run(s.name, func(b *testing.B) {
			p, us := benchPlanner(b, s.active, s.missing, s.gaps)
			p.SetAdmission(true)
			benchChoose(b, p, us, s.l, s.found)
		})
	}
}

// BenchmarkRoom measures the capacity of all data centres.
func BenchmarkRoom(b *testing.B) {
	p, us := benchPlanner(b, 1, benchLayers, false)
	p.SetFleetStats(us)
	for b.Loop() {
		p.Room()
	}
}

// BenchmarkChoose measures the choice of a path without admission control.
func BenchmarkChoose(b *testing.B) {
	for _, s := range []struct {
		name    string
		active  int
		missing fleet.Layer
		found   bool
	}{{"calm", 1, benchLayers, true}, {"full", 1000, benchLayers, true}, {"missingLayers", 1, benchLayers - 10, false}} {
		b.Run(s.name, func(b *testing.B) {
			p, us := benchPlanner(b, s.active, s.missing, false)
			benchChoose(b, p, us, path.Constraints{}, s.found)
		})
	}
}
