package daemon

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/membership/packet"
)

// openMembership joins the gossip membership of the instances.
func (d *Daemon) openMembership() error {
	s := d.settings
	node, err := packet.New(membership.Member{
		ID:          s.Instance.ID,
		Incarnation: fleet.Incarnation(d.clock.Now().UnixMilli()),
		DataCentre:  s.Instance.DataCentre,
		Gossip:      s.Listeners.Gossip,
		Peers:       s.Listeners.Peers,
		Voter:       s.Instance.Votes,
	},
		packet.WithClock(d.clock),
		packet.WithLogger(d.base),
		packet.WithSecret(s.Membership.Secret),
		packet.WithSeeds(s.Membership.Seeds...),
		packet.WithRoster(d.controllers.roster),
		packet.WithDropFunc(d.faults.shouldDrop),
		packet.WithUsageCombiner(func([][]byte) []byte { return d.controllers.limiter.GroupSummary(d.clock.Now()) }),
		packet.WithRevisionHook(func(fleet.Revision) { d.wake() }),
	)
	d.node = node
	return errors.Wrap(err, "open membership")
}

// wake makes the control loop check for a newer configuration at once.
func (d *Daemon) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// exchangeUsage publishes this instance's usage of client accounts and merges the usage
// that the other instances published.
func (d *Daemon) exchangeUsage(now time.Time) {
	limiter := d.controllers.limiter
	for id, usage := range d.node.InstanceUsages() {
		if err := limiter.ReceiveSummary(id, usage, now); err != nil {
			d.log.Warn("Account usage of an instance could not be decoded.", zap.String("instance", string(id)), zap.Error(err))
		}
	}
	for id, usage := range d.node.DataCentreUsages() {
		if err := limiter.ReceiveGroupSummary(id, usage, now); err != nil {
			d.log.Warn("Account usage of a data centre could not be decoded.", zap.String("dataCentre", string(id)), zap.Error(err))
		}
	}
	limiter.Tick(now)
	d.node.SetUsage(limiter.Summary())
}
