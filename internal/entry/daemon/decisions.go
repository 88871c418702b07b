package daemon

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/gate"
	"github.com/bilberryrock/bilberryrock/internal/admission/lane"
	"github.com/bilberryrock/bilberryrock/internal/admission/share"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/courier"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/inflight"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/planner"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/speeds"
	"github.com/bilberryrock/bilberryrock/internal/quiet/governor"
	"github.com/bilberryrock/bilberryrock/internal/routing/dispatch"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

// clockError is the greatest error of an instance's clock that quiet-hours
// windows allow for.
const clockError = 2 * time.Second

// usageInterval is the time between two exchanges of account usage.
const usageInterval = time.Second

// firstSpeed is the speed of an engine of which nothing is known yet.
var firstSpeed = pipeline.Speed{
	Fixed:    time.Millisecond,
	Layer:    500 * time.Microsecond,
	Position: 50 * time.Microsecond,
}

// decisions holds the controllers of routing, admission, quiet hours and
// pipelines.
type decisions struct {
	roster     *roster.Roster
	dialer     *engine.Dialer
	limiter    *share.Limiter
	governor   *governor.Governor
	gate       *gate.Gate
	dispatcher *dispatch.Dispatcher
	counts     inflight.Counts
	courier    *courier.Courier

	// configured is the configuration that the controllers work with, exchanged
	// the time of the last exchange of account usage. Only the control loop uses
	// them.
	configured *document.Config
	exchanged  time.Time
}

func (d *Daemon) openDecisions() error {
	r, err := roster.New(
		roster.WithDataCentre(d.settings.Instance.DataCentre),
		roster.WithHeartbeatTimeout(d.settings.Upstreams.ConfirmationAge),
	)
	if err != nil {
		return errors.Wrap(err, "open roster")
	}
	c := &decisions{
		roster:   r,
		dialer:   engine.NewDialer(),
		limiter:  share.New(d.settings.Instance.FleetSize),
		governor: governor.New(clockError),
	}
	c.gate = gate.New(d.clock, c.limiter, gate.WithQueueLimit(d.settings.Requests.QueueLength), gate.WithQuietLimit(c.governor))
	c.dispatcher = dispatch.New(r, c.dialer, d.clock, dispatch.WithBudget(budget.New()), dispatch.WithTrail(d.state.trail))
	learned := speeds.New(firstSpeed)
	longest := d.settings.Upstreams.StepTimeout
	plan := planner.New(r, d.model, learned, d.clock, planner.WithCounts(&c.counts))
	c.courier = courier.New(plan, c.dialer,
		courier.WithClock(d.clock),
		courier.WithSpeeds(learned),
		courier.WithObserver(learned),
		courier.WithRoster(r),
		courier.WithTrail(d.state.trail),
		courier.WithGauge(&c.counts),
		courier.WithTimeouts(min(courier.DefaultMinTimeout, longest), longest),
	)
	d.decisions = c
	return nil
}

func (c *decisions) close() {
	c.courier.Close()
	c.dialer.Close()
}

// model returns a model of the configuration in force.
func (d *Daemon) model(id fleet.ModelID) (document.Model, bool) {
	config := d.inForce()
	if config == nil {
		return document.Model{}, false
	}
	m, known := config.Models[id]
	return m, known
}

// steer hands the configuration, the members and the reports of the upstreams to
// the controllers.
func (d *Daemon) steer(members []membership.Member) {
	config := d.inForce()
	if config == nil {
		return
	}
	c, now := d.decisions, d.clock.Now()
	c.configure(config, d.settings.Instance.DataCentre)
	alive := aliveIn(members, d.settings.Instance.DataCentre)
	c.limiter.SetInstances(max(len(aliveIn(members, "")), 1))
	if now.Sub(c.exchanged) >= usageInterval {
		c.exchanged = now
		d.exchangeUsage(now)
	}
	c.governor.SetFleet(d.settings.Instance.ID, d.settings.Instance.FleetSize, alive)
	c.dispatcher.Refresh(config, max(len(alive)-1, 0))
	for id := range config.Pools {
		c.gate.SetCapacity(id, d.capacity(id, len(alive)))
	}
	c.gate.Wake()
}

// configure hands over what depends on the configuration alone. It takes time for
// each account, so it is done once for each revision.
func (c *decisions) configure(config *document.Config, id fleet.DataCentreID) {
	if c.configured == config {
		return
	}
	c.configured = config
	c.limiter.Configure(config.Accounts)
	c.governor.SetWindows(windowsOf(config, id))
}

// capacity returns what the pool can run.
func (d *Daemon) capacity(id fleet.PoolID, instances int) lane.Capacity {
	load := d.decisions.dispatcher.Pool(id).Load()
	return lane.Capacity{Slots: load.Slots, Instances: instances, ReportedLoad: load.Reported, ReportedSlots: load.ReportedSlots}
}

// aliveIn returns the live members of a data centre, or of all for "".
func aliveIn(members []membership.Member, id fleet.DataCentreID) []fleet.InstanceID {
	var alive []fleet.InstanceID
	for _, m := range members {
		if m.Status == membership.Alive && (id == "" || m.DataCentre == id) {
			alive = append(alive, m.ID)
		}
	}
	return alive
}

func windowsOf(c *document.Config, id fleet.DataCentreID) []document.Window {
	var list []document.Window
	for _, w := range c.Windows {
		if w.DataCentre == id {
			list = append(list, w)
		}
	}
	return list
}
