package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/document/follower"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// controlInterval is the pause between two runs of reconcile, unless wake is called.
const controlInterval = 200 * time.Millisecond

// controlLoop calls reconcile periodically, and at once after wake, until the daemon stops.
func (d *Daemon) controlLoop() {
	for {
		d.reconcile()
		select {
		case <-d.clock.After(controlInterval):
		case <-d.wakeup:
		case <-d.done:
			return
		}
	}
}

// reconcile announces the active revision and updates the controllers and the
// readiness of the daemon.
func (d *Daemon) reconcile() {
	status := d.state.follower.Status()
	if status.State == follower.Ready {
		d.ready.Store(true)
		d.node.SetRevision(status.Revision, status.Since)
	}
	members := d.members()
	d.propagation.observe(members, d.clock.Now())
	d.updateControllers(members)
	d.updateReadiness(status)
}

// updateReadiness makes the daemon ready once its configuration is. The daemon then
// stays ready until it stops, so that an isolated instance continues to serve.
func (d *Daemon) updateReadiness(s follower.Status) {
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
