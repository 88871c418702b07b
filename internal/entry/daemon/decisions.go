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
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

// maxClockError is the largest clock error of an instance that the quiet-hours
// windows allow for.
const maxClockError = 2 * time.Second

// usageInterval is the interval at which account usage is exchanged with the other
// instances.
const usageInterval = time.Second

// initialSpeed is the assumed speed of an engine without measurements.
var initialSpeed = pipeline.Speed{
	FixedTime:    time.Millisecond,
	LayerTime:    500 * time.Microsecond,
	PositionTime: 50 * time.Microsecond,
}

// controllers holds the controllers of routing, admission, quiet hours and
// pipelines.
type controllers struct {
	roster     *roster.Roster
	dialer     *engine.Dialer
	limiter    *share.Limiter
	governor   *governor.Governor
	gate       *gate.Gate
	dispatcher *dispatch.Dispatcher
	counts     inflight.Counts
	courier    *courier.Executor

	// appliedConfig is the configuration that the controllers currently use.
	// lastUsageExchange is when account usage was last exchanged. Only the
	// control loop accesses them.
	appliedConfig     *document.Config
	lastUsageExchange time.Time
}

func (d *Daemon) openControllers() error {
	r, err := roster.New(
		roster.WithDataCentre(d.settings.Instance.DataCentre),
		roster.WithHeartbeatTimeout(d.settings.Upstreams.HeartbeatTimeout),
	)
	if err != nil {
		return errors.Wrap(err, "create upstream roster")
	}
	d.responses = buffer.NewBudget(d.settings.Limits.WithDefaults().MemoryBytes)
	d.metrics.MustRegister(d.responses)
	c := &controllers{
		roster:   r,
		dialer:   engine.NewDialer(engine.WithMonitor(head.NewMonitor(d.metrics, d.base)), engine.WithBudget(d.responses)),
		limiter:  share.New(d.settings.Instance.FleetSize),
		governor: governor.New(maxClockError),
	}
	c.gate = gate.New(d.clock, c.limiter, gate.WithQueueLimit(d.settings.Requests.QueueLength), gate.WithQuietLimit(c.governor))
	c.dispatcher = dispatch.New(r, c.dialer, d.clock, dispatch.WithBudget(budget.New()), dispatch.WithTrail(d.state.trail))
	learnedSpeeds := speeds.New(initialSpeed)
	maxStepTimeout := d.settings.Upstreams.StepTimeout
	plan := planner.New(r, d.model, learnedSpeeds, d.clock, planner.WithCounts(&c.counts))
	c.courier = courier.New(plan, c.dialer,
		courier.WithClock(d.clock),
		courier.WithSpeeds(learnedSpeeds),
		courier.WithObserver(learnedSpeeds),
		courier.WithRoster(r),
		courier.WithTrail(d.state.trail),
		courier.WithSequenceCounter(&c.counts),
		courier.WithTimeouts(min(courier.DefaultMinTimeout, maxStepTimeout), maxStepTimeout),
	)
	d.controllers = c
	return nil
}

func (c *controllers) close() {
	c.courier.Close()
	c.dialer.Close()
}

// model returns a model of the active configuration.
func (d *Daemon) model(id fleet.ModelID) (document.Model, bool) {
	config := d.activeConfig()
	if config == nil {
		return document.Model{}, false
	}
	m, known := config.Models[id]
	return m, known
}

// updateControllers passes the active configuration, the members and the reports of
// the upstreams to the controllers.
func (d *Daemon) updateControllers(members []membership.Member) {
	config := d.activeConfig()
	if config == nil {
		return
	}
	c, now := d.controllers, d.clock.Now()
	c.applyConfig(config, d.settings.Instance.DataCentre)
	alive := aliveIn(members, d.settings.Instance.DataCentre)
	c.limiter.SetInstances(max(len(aliveIn(members, "")), 1))
	if now.Sub(c.lastUsageExchange) >= usageInterval {
		c.lastUsageExchange = now
		d.exchangeUsage(now)
	}
	c.governor.SetFleet(d.settings.Instance.ID, d.settings.Instance.FleetSize, alive)
	c.dispatcher.Refresh(config, max(len(alive)-1, 0))
	for id := range config.Pools {
		c.gate.SetCapacity(id, d.capacity(id, len(alive)))
	}
	c.gate.Wake()
}

// applyConfig updates what depends on the configuration alone. Its cost grows with the
// number of accounts, so it runs once per revision only.
func (c *controllers) applyConfig(config *document.Config, id fleet.DataCentreID) {
	if c.appliedConfig == config {
		return
	}
	c.appliedConfig = config
	c.limiter.Configure(config.Accounts)
	c.governor.SetWindows(windowsOf(config, id))
}

// capacity returns the capacity of a pool for admission.
func (d *Daemon) capacity(id fleet.PoolID, instances int) lane.Capacity {
	load := d.controllers.dispatcher.Pool(id).Load()
	return lane.Capacity{Slots: load.Slots, Instances: instances, ReportedLoad: load.Reported, ReportedSlots: load.ReportedSlots}
}

// aliveIn returns the IDs of the live members in a data centre, or in all data centres
// if id is empty.
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
