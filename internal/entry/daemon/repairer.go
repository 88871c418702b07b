package daemon

import (
	"context"
	"sort"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/configgroup"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/repair"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/fencing"
)

// commander sends commands to engines under fencing leases.
type commander struct{ fenced *fencing.Commander }

// Send implements pipeline.Commander.
func (c commander) Send(ctx context.Context, u upstream.Upstream, command upstream.Command) error {
	_, err := c.fenced.Send(ctx, u, command)
	return err
}

// startRepair starts the loop that repairs layer coverage. It runs until the daemon stops.
func (d *Daemon) startRepair() error {
	s := d.settings
	proposer := configgroup.Select(d.state.proposer, configgroup.Fencing)
	holder := fencing.NewHolder(proposer, quorum.ConfigGroup, d.clock, s.Instance.ID, fencing.DefaultTiming)
	loop := &repair.Loop{
		Controller: repair.NewController(repair.Settings{
			Instance:       s.Instance.ID,
			LayerBytes:     s.Repair.LayerBytes,
			BytesPerSecond: s.Repair.WeightBytesPerSecond,
		}),
		Roster:    d.controllers.roster,
		Models:    d.modelsToRepair,
		Commander: commander{fencing.NewCommander(holder, d.controllers.dialer)},
		Clock:     d.clock,
		Logger:    d.base.Named("repair"),
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.loops.Go(func() { loop.Run(ctx) })
	go func() {
		<-d.done
		cancel()
	}()
	return nil
}

// modelsToRepair returns the models of the active configuration on the first live
// instance of the data centre, and none on the others. In a network partition, two
// instances may each consider themselves the first; the fencing leases prevent their
// commands from conflicting.
func (d *Daemon) modelsToRepair() []document.Model {
	alive := aliveIn(d.members(), d.settings.Instance.DataCentre)
	config := d.activeConfig()
	if config == nil || len(alive) == 0 || alive[0] != d.settings.Instance.ID {
		return nil
	}
	var models []document.Model
	for _, m := range config.Models {
		models = append(models, m)
	}
	sort.Slice(models, func(i, j int) bool { return models[i].ID < models[j].ID })
	return models
}
