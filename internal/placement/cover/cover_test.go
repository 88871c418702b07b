package cover_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/placement/cover"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// TestScripts guards against layers that no engine of a data centre holds, against
// engines that are assigned more layers than fit, and against plans that move engines
// without need. A script lists engines as
// "id dataCentre maxLayers usableLayers stepFactor from to".
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var engines []placement.Engine
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engines":
				engines = parse(t, d)
				return ""
			case "plan":
				var layers int
				d.ScanArgs(t, "layers", &layers)
				if d.HasArg("speedGroups") {
					return plan(engines, layers, cover.WithSpeedGroups())
				}
				return plan(engines, layers)
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

func parse(t *testing.T, d *datadriven.TestData) []placement.Engine {
	var es []placement.Engine
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		var e placement.Engine
		var id, dc string
		var from, to int
		if _, err := fmt.Sscan(line, &id, &dc, &e.MaxLayers, &e.UsableLayers, &e.StepFactor, &from, &to); err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		e.ID, e.DataCentre = fleet.UpstreamID(id), fleet.DataCentreID(dc)
		e.Layers = upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)}
		es = append(es, e)
	}
	return es
}

func plan(engines []placement.Engine, layers int, os ...cover.Option) string {
	var b strings.Builder
	after := make(map[fleet.UpstreamID]upstream.LayerRange)
	maxLayers := make(map[fleet.UpstreamID]int)
	for _, e := range engines {
		after[e.ID], maxLayers[e.ID] = e.Layers, e.MaxLayers
	}
	for _, o := range cover.Plan(layers, engines, os...) {
		fmt.Fprintf(&b, "%s %d-%d\n", o.ID, o.Layers.From, o.Layers.To)
		if o.Layers.Len() > maxLayers[o.ID] {
			fmt.Fprintf(&b, "%s fits only %d layers\n", o.ID, maxLayers[o.ID])
		}
		after[o.ID] = o.Layers
	}
	count := make([]int, layers)
	for _, r := range after {
		for l := r.From; l < r.To; l++ {
			count[l]++
		}
	}
	least, most := count[0], count[0]
	for _, n := range count {
		least, most = min(least, n), max(most, n)
	}
	fmt.Fprintf(&b, "each layer is held %d to %d times\n", least, most)
	return b.String()
}
