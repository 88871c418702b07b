package daemon

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/membership/packet"
)

// openMembership joins the other instances.
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
		packet.WithRoster(d.decisions.roster),
		packet.WithCut(d.faults.cut),
		packet.WithCombine(func([][]byte) []byte { return d.decisions.limiter.GroupSummary(d.clock.Now()) }),
		packet.WithRevisionHook(func(fleet.Revision) { d.wake() }),
	)
	d.node = node
	return errors.Wrap(err, "open membership")
}

// wake makes the control loop look for a newer configuration at once.
func (d *Daemon) wake() {
	select {
	case d.woken <- struct{}{}:
	default:
	}
}

// exchangeUsage hands the usage of client accounts to the other instances and
// takes over theirs.
func (d *Daemon) exchangeUsage(now time.Time) {
	limiter := d.decisions.limiter
	for id, usage := range d.node.InstanceUsages() {
		if err := limiter.ReceiveSummary(id, usage, now); err != nil {
			d.log.Warn("The usage of an instance can't be read.", zap.String("instance", string(id)), zap.Error(err))
		}
	}
	for id, usage := range d.node.CentreUsages() {
		if err := limiter.ReceiveGroupSummary(id, usage, now); err != nil {
			d.log.Warn("The usage of a data centre can't be read.", zap.String("dataCentre", string(id)), zap.Error(err))
		}
	}
	limiter.Tick(now)
	d.node.SetUsage(limiter.Summary())
}
