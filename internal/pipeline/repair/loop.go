package repair

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// TickInterval is the time between two ticks.
const TickInterval = time.Second

// Loop runs a Controller and sends its commands.
type Loop struct {
	Controller *Controller
	Roster     upstream.Roster
	// Models returns the models of the active configuration.
	Models    func() []document.Model
	Commander pipeline.Commander
	Clock     fleet.Clock
	Logger    *zap.Logger
}

// Run calls RunOnce every TickInterval until ctx ends. Only one instance of a data
// centre should run it. The Commander rejects the commands of all others.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.Clock.After(TickInterval):
			l.RunOnce(ctx)
		}
	}
}

// RunOnce runs one tick and sends its commands.
func (l *Loop) RunOnce(ctx context.Context) {
	now := l.Clock.Now()
	in := Input{Now: now, Models: l.Models()}
	seen := make(map[fleet.PoolID]bool)
	for _, m := range in.Models {
		if !seen[m.Pool] {
			seen[m.Pool] = true
			in.Engines = append(in.Engines, l.Roster.Usable(m.Pool, now)...)
		}
	}
	for _, e := range l.Controller.Tick(in) {
		err := l.Commander.Send(ctx, e.Upstream, e.Command)
		l.Logger.Info("A command was sent.", zap.String("upstream", string(e.Upstream.ID)), zap.String("reason", e.Reason), zap.Error(err))
		if err != nil {
			l.Controller.MarkFailed(e.Upstream.ID, now)
		}
	}
}
