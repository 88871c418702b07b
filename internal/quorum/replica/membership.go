package replica

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// config is the list of members that applies from a log index on. It takes effect
// as soon as its entry is in the log, whether or not the entry is committed.
type config struct {
	index   quorum.Index
	members []Voter
}

func (r *Replica) members() []Voter {
	return r.configs[len(r.configs)-1].members
}

func (r *Replica) membersAt(i quorum.Index) []Voter {
	for k := len(r.configs) - 1; k > 0; k-- {
		if r.configs[k].index <= i {
			return r.configs[k].members
		}
	}
	return r.configs[0].members
}

// pruneConfigs drops the configurations that were superseded at or before i.
func (r *Replica) pruneConfigs(i quorum.Index) {
	for len(r.configs) > 1 && r.configs[1].index <= i {
		r.configs = r.configs[1:]
	}
}

// appendEntry appends an entry. A membership change takes effect at once.
func (r *Replica) appendEntry(e Entry) error {
	if e.Kind == Membership {
		vs, err := DecodeVoters(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		r.configs = append(r.configs, config{index: e.Index, members: vs})
		r.forgetRemoved()
	}
	r.log.append(e)
	return nil
}

// truncate drops the entries after i and reverts their membership changes.
func (r *Replica) truncate(i quorum.Index) {
	r.log.truncate(i)
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index > i {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// NeedsAnnouncement reports whether a change must be announced before it can be proposed:
// it changes the voters of a group with an even number of them.
func (r *Replica) NeedsAnnouncement(c Change) bool {
	v, ok := findMember(r.members(), c.Voter.ID)
	changesVoters := ok && (c.Kind == Promote && v.Learner || c.Kind == Remove && !v.Learner)
	return changesVoters && !v.Announced && countVoters(r.members())%2 == 0
}

// Announce appends the announcement of a change that NeedsAnnouncement. Once it is committed,
// the change can be proposed. A majority without a lost voter then is one of the voters after
// the change, too. A new announcement replaces one whose change was not proposed.
//
// A leader that was elected without a lost voter announces only the removal of that voter or
// of an unreachable one: the announcement needs the voters after the change, too.
func (r *Replica) Announce(c Change) (quorum.Index, quorum.Term, error) {
	p := r.progress[c.Voter.ID]
	removesAbsent := c.Kind == Remove && (c.Voter.ID == r.excluded || p != nil && !p.reachable())
	if r.role == Leader && r.excluded != 0 && !removesAbsent {
		return 0, 0, ErrLostVoter
	}
	return r.appendMembership(c, func(vs []Voter) []Voter {
		announced := slices.Clone(r.members())
		for k := range announced {
			announced[k].Announced = announced[k].ID == c.Voter.ID
		}
		return announced
	})
}

// ProposeChange appends a membership change. Any majority before a change of one
// member overlaps with any majority after it. Therefore the previous change must
// be committed first, and so must an entry of the leader's own term.
func (r *Replica) ProposeChange(c Change) (quorum.Index, quorum.Term, error) {
	if r.NeedsAnnouncement(c) {
		return 0, 0, ErrNotAnnounced
	}
	return r.appendMembership(c, func(vs []Voter) []Voter { return vs })
}

// appendMembership appends the entry that f makes of the members after the change c, if the
// change is possible now.
func (r *Replica) appendMembership(c Change, f func([]Voter) []Voter) (quorum.Index, quorum.Term, error) {
	if err := r.checkProposal(); err != nil {
		return 0, 0, err
	}
	if t, _ := r.log.term(r.log.commit); t != r.term {
		return 0, 0, ErrChangePending
	}
	if r.ChangePending() {
		return 0, 0, ErrChangePending
	}
	vs, err := r.membersAfter(c)
	if err != nil {
		return 0, 0, err
	}
	if c.Kind != AddLearner && !r.majorityReachable(vs) {
		return 0, 0, ErrMajorityUnreachable
	}
	i := r.appendAsLeader(Membership, EncodeVoters(f(vs)))
	r.updateProgress()
	return i, r.term, nil
}

// membersAfter returns the members after the change c.
func (r *Replica) membersAfter(c Change) ([]Voter, error) {
	vs := slices.Clone(r.members())
	k := slices.IndexFunc(vs, func(v Voter) bool { return v.ID == c.Voter.ID })
	switch {
	case c.Kind == Withdraw:
		for i := range vs {
			vs[i].Announced = false
		}
		return vs, nil
	case c.Kind == AddLearner && k < 0 && c.Voter.ID != 0:
		v := c.Voter
		v.Learner = true
		return append(vs, v), nil
	case c.Kind == AddLearner:
		return nil, errors.Errorf("voter %d is a member already", c.Voter.ID)
	case k < 0:
		return nil, errors.Errorf("voter %d is not a member", c.Voter.ID)
	case c.Kind == Promote:
		// An announced learner had caught up with the entries before the announcement.
		if !vs[k].Announced && !r.caughtUp(c.Voter.ID) {
			return nil, ErrNotCaughtUp
		}
		vs[k].Learner, vs[k].Announced = false, false
		return vs, nil
	case c.Kind == Remove:
		vs = slices.Delete(vs, k, k+1)
		if !slices.ContainsFunc(vs, func(v Voter) bool { return !v.Learner }) {
			return nil, errors.Errorf("voter %d is the last voter", c.Voter.ID)
		}
		return vs, nil
	}
	return nil, errors.Errorf("unknown membership change %d", c.Kind)
}

// caughtUp reports whether a member is reachable and has all committed entries.
func (r *Replica) caughtUp(id quorum.VoterID) bool {
	p := r.progress[id]
	return p != nil && p.reachable() && !p.lost && p.match >= r.log.commit
}

// majorityReachable reports whether a majority of the voters in vs is reachable, without the
// lost voter that is left out in this term.
func (r *Replica) majorityReachable(vs []Voter) bool {
	counts := func(v Voter) bool { return !v.Learner && v.ID != r.excluded }
	return isMajority(vs, counts, func(id quorum.VoterID) bool {
		p := r.progress[id]
		return id == r.options.ID || p != nil && p.reachable() && !p.lost
	})
}

// updateProgress starts to track new members and drops removed ones.
func (r *Replica) updateProgress() {
	for id := range r.progress {
		if _, ok := findMember(r.members(), id); !ok {
			delete(r.progress, id)
		}
	}
	for _, v := range r.members() {
		if v.ID != r.options.ID && r.progress[v.ID] == nil {
			r.progress[v.ID] = &progress{next: r.log.last() + 1}
		}
	}
}

// resignIfRemoved ends the leadership once the removal of the leader itself is
// committed.
func (r *Replica) resignIfRemoved() {
	if r.ChangePending() {
		return
	}
	if v, ok := findMember(r.members(), r.options.ID); !ok || v.Learner {
		r.becomeFollower(r.term, 0)
	}
}

func findMember(vs []Voter, id quorum.VoterID) (Voter, bool) {
	k := slices.IndexFunc(vs, func(v Voter) bool { return v.ID == id })
	if k < 0 {
		return Voter{}, false
	}
	return vs[k], true
}
