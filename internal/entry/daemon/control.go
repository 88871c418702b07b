package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/document/follower"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// controlInterval is the time between two rounds of the control loop.
const controlInterval = 200 * time.Millisecond

// control runs the controllers until the daemon ends.
func (d *Daemon) control() {
	for {
		d.round()
		select {
		case <-d.clock.After(controlInterval):
		case <-d.woken:
		case <-d.ended:
			return
		}
	}
}

func (d *Daemon) round() {
	status := d.state.follower.Status()
	if status.State == follower.Ready {
		d.ready.Store(true)
		d.node.SetRevision(status.Revision, status.Since)
	}
	members := d.members()
	d.spread.observe(members, d.clock.Now())
	d.steer(members)
	d.judgeHealth(status)
}

// judgeHealth makes the daemon ready once its configuration is. Readiness is not
// lost again before the stop: a cut-off instance goes on serving.
func (d *Daemon) judgeHealth(s follower.Status) {
	switch {
	case d.health.Reason() == "" || d.stopping.Load():
	case s.State != follower.Ready:
		d.health.SetNotReady("configuration: " + s.State.String())
	case s.Revision == 0:
		d.health.SetNotReady("no configuration was accepted yet")
	default:
		d.health.SetReady()
		d.log.Info("Daemon ready.", zap.Uint64("revision", uint64(s.Revision)))
	}
}

// members returns the known instances.
func (d *Daemon) members() []membership.Member { return d.node.Members() }
