package daemon

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/gate"
	"github.com/bilberryrock/bilberryrock/internal/admission/share"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/courier"
	"github.com/bilberryrock/bilberryrock/internal/quiet/governor"
	"github.com/bilberryrock/bilberryrock/internal/routing/dispatch"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

// clockError is the greatest error of an instance's clock that quiet-hours
// windows allow for.
const clockError = 2 * time.Second

// decisions holds the controllers of routing, admission, quiet hours and
// pipelines.
type decisions struct {
	roster     *roster.Roster
	dialer     *engine.Dialer
	limiter    *share.Limiter
	governor   *governor.Governor
	gate       *gate.Gate
	dispatcher *dispatch.Dispatcher
	courier    *courier.Courier
}

func (d *Daemon) openDecisions() error {
	r, err := roster.New(
		roster.WithDataCentre(d.settings.Instance.DataCentre),
		roster.WithFreshness(d.settings.Upstreams.ConfirmationAge),
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
	c.gate = gate.New(d.clock, c.limiter, gate.WithQueue(d.settings.Requests.QueueLength), gate.WithBound(c.governor))
	c.dispatcher = dispatch.New(r, c.dialer, d.clock, dispatch.WithBudget(budget.New()), dispatch.WithTrail(d.state.trail))
	c.courier = courier.New(firstFit{d}, c.dialer)
	d.decisions = c
	return nil
}

// steer hands the configuration, the members and the reports of the upstreams to
// the controllers.
func (d *Daemon) steer(members []membership.Member) {
	config := d.state.config.Load()
	if config == nil {
		return
	}
	c, now := d.decisions, d.clock.Now()
	alive := aliveIn(members, d.settings.Instance.DataCentre)
	c.limiter.Configure(config.Accounts)
	c.limiter.SetInstances(max(len(aliveIn(members, "")), 1))
	c.limiter.Tick(now)
	c.governor.SetWindows(windowsOf(config, d.settings.Instance.DataCentre))
	c.governor.SetFleet(d.settings.Instance.ID, d.settings.Instance.FleetSize, alive)
	c.dispatcher.Refresh(config, max(len(alive)-1, 0))
	for id := range config.Pools {
		c.gate.SetCapacity(id, d.capacity(id, len(alive), now))
	}
	c.gate.Wake()
	c.roster.Sweep(now)
}

// capacity sums the slots and reports of a pool.
func (d *Daemon) capacity(id fleet.PoolID, instances int, now time.Time) gate.Capacity {
	slots, _ := d.decisions.dispatcher.Pool(id).Capacity()
	c := gate.Capacity{Slots: slots, Instances: instances}
	for _, u := range d.decisions.roster.Usable(id, now) {
		c.Known += float64(u.Slots)
		c.Reported += float64(u.Load.Running + u.Load.Waiting)
	}
	return c
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
