package voter

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
)

// GroupStatus is the state of one group as seen by one voter.
type GroupStatus struct {
	Group   quorum.GroupID `json:"group"`
	Voter   quorum.VoterID `json:"voter"`
	Role    string         `json:"role"`
	Leader  quorum.VoterID `json:"leader"`
	Term    quorum.Term    `json:"term"`
	Commit  quorum.Index   `json:"commit"`
	Applied quorum.Index   `json:"applied"`
	Members []MemberStatus `json:"members"`
	// Failure is the error that stopped the replica. It is empty while the replica
	// runs.
	Failure string `json:"failure,omitempty"`
}

// MemberStatus is the state of one member of a group. Only the leader fills in
// Lag, Active and Lost.
type MemberStatus struct {
	ID       quorum.VoterID `json:"id"`
	Instance string         `json:"instance"`
	Address  string         `json:"address"`
	Learner  bool           `json:"learner,omitempty"`
	// Lag is the number of entries of the leader that the member has not synced.
	Lag quorum.Index `json:"lag"`
	// Active reports whether the member answered the leader within the last two
	// election timeouts.
	Active bool `json:"active"`
	// Lost reports whether the member lost entries that it had acknowledged.
	Lost bool `json:"lost,omitempty"`
}

// Status returns the state of all groups, in the order of the Group options. The
// list is empty until the voter knows its id and has started the groups.
func (v *Voter) Status(ctx context.Context) []GroupStatus {
	var list []GroupStatus
	for _, id := range v.config.groupOrder {
		g, err := v.group(id)
		if err != nil {
			continue
		}
		var s GroupStatus
		_, err = g.do(ctx, func(m *member, d doneFunc) {
			s = m.status()
			d(nil, nil)
		})
		if err == nil {
			list = append(list, s)
		}
	}
	return list
}

func (m *member) status() GroupStatus {
	r := m.replica.Status()
	s := GroupStatus{
		Group: m.group, Voter: r.ID, Role: r.Role.String(), Leader: r.Leader,
		Term: r.Term, Commit: r.Commit, Applied: m.applied,
	}
	if m.failure != nil {
		s.Failure = m.failure.Error()
	}
	progress := make(map[quorum.VoterID]replica.Progress)
	for _, p := range r.Progress {
		progress[p.Voter.ID] = p
	}
	for _, o := range r.Voters {
		s.Members = append(s.Members, memberStatus(o, progress, r.Last))
	}
	return s
}

func memberStatus(o replica.Voter, progress map[quorum.VoterID]replica.Progress, last quorum.Index) MemberStatus {
	s := MemberStatus{ID: o.ID, Instance: string(o.Instance), Address: o.Address, Learner: o.Learner}
	if p, ok := progress[o.ID]; ok {
		s.Lag, s.Active, s.Lost = last-min(p.Match, last), p.Active, p.Lost
	}
	return s
}
