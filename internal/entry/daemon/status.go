package daemon

import (
	"context"
	"sort"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/quorum/voter"
)

const statusTimeout = time.Second

// status returns the status that the operators' API reports.
func (d *Daemon) status() operator.Status {
	now, members := d.clock.Now(), d.members()
	d.propagation.observe(members, now)
	follower := d.state.follower.Status()
	s := operator.Status{
		Instance:        d.settings.Instance.ID,
		Revision:        d.activeRevision(),
		ConfirmationAge: operator.InSeconds(follower.ConfirmationAge(now)),
		Instances:       []operator.InstanceStatus{},
		Changes:         d.propagation.changes(members),
		Groups:          d.groups(),
		Upstreams:       d.pools(now),
	}
	for _, m := range members {
		s.Instances = append(s.Instances, operator.InstanceStatus{
			ID: m.ID, DataCentre: m.DataCentre, Status: m.Status.String(),
			Voter: m.Voter, Revision: m.Revision, Since: m.Since,
		})
	}
	return s
}

func (d *Daemon) groups() []operator.GroupStatus {
	list := []operator.GroupStatus{}
	if d.state.voter == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	for _, g := range d.state.voter.Status(ctx) {
		list = append(list, groupStatus(g))
	}
	return list
}

func groupStatus(g voter.GroupStatus) operator.GroupStatus {
	s := operator.GroupStatus{
		Group: string(g.Group), Term: uint64(g.Term),
		Commit: uint64(g.Commit), Applied: uint64(g.Applied), Failure: g.Failure,
	}
	for _, m := range g.Members {
		if m.ID == g.Leader {
			s.Leader = m.Instance
		}
		s.Voters = append(s.Voters, operator.VoterStatus{
			ID: uint64(m.ID), Instance: m.Instance, Learner: m.Learner, LagEntries: uint64(m.Lag),
		})
	}
	return s
}

func (d *Daemon) pools(now time.Time) []operator.PoolStatus {
	list := []operator.PoolStatus{}
	for id, n := range d.controllers.roster.Counts(now) {
		list = append(list, operator.PoolStatus{Pool: id, Usable: n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Pool < list[j].Pool })
	return list
}
