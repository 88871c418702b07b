package daemon

import (
	"context"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// The times between two rounds of the control loop, and between two questions
// for a newer configuration.
const (
	controlInterval = 200 * time.Millisecond
	followTimeout   = 2 * time.Second
)

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
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	d.follow(ctx)
	members := d.members()
	d.spread.observe(members, d.clock.Now())
	d.steer(members)
	if d.revision() > 0 && d.health.Reason() == "starting" {
		d.health.SetReady()
	}
}

// members returns the known instances.
func (d *Daemon) members() []membership.Member { return d.node.Members() }
