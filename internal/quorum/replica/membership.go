package replica

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// config is the list of members from an index on. It holds as soon as the entry
// is in the log, committed or not.
type config struct {
	index  quorum.Index
	voters []Voter
}

func (r *Replica) voters() []Voter {
	return r.configs[len(r.configs)-1].voters
}

func (r *Replica) votersAt(i quorum.Index) []Voter {
	for k := len(r.configs) - 1; k > 0; k-- {
		if r.configs[k].index <= i {
			return r.configs[k].voters
		}
	}
	return r.configs[0].voters
}

func (r *Replica) pruneConfigs(i quorum.Index) {
	for len(r.configs) > 1 && r.configs[1].index <= i {
		r.configs = r.configs[1:]
	}
}

// appendLocal appends an entry and puts a membership change into force.
func (r *Replica) appendLocal(e Entry) error {
	if e.Kind == Membership {
		vs, err := DecodeVoters(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		r.configs = append(r.configs, config{index: e.Index, voters: vs})
	}
	r.log.append(e)
	return nil
}

// truncate drops the entries after i, with their membership changes.
func (r *Replica) truncate(i quorum.Index) {
	r.log.truncate(i)
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index > i {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// ProposeChange appends a membership change. Changes of one member at a time
// keep the majorities before and after it overlapping, so the change before must
// be committed, and so must an entry of the leader's own term.
func (r *Replica) ProposeChange(c Change) (quorum.Index, quorum.Term, error) {
	if err := r.mayPropose(); err != nil {
		return 0, 0, err
	}
	if t, _ := r.log.term(r.log.commit); t != r.term {
		return 0, 0, ErrChanging
	}
	if r.configs[len(r.configs)-1].index > r.log.commit {
		return 0, 0, ErrChanging
	}
	vs, err := r.changed(c)
	if err != nil {
		return 0, 0, err
	}
	if c.Kind != AddLearner && !r.reachable(vs) {
		return 0, 0, ErrMajority
	}
	i := r.appendOwn(Membership, EncodeVoters(vs))
	r.updateProgress()
	return i, r.term, nil
}

func (r *Replica) changed(c Change) ([]Voter, error) {
	vs := slices.Clone(r.voters())
	k := slices.IndexFunc(vs, func(v Voter) bool { return v.ID == c.Voter.ID })
	switch {
	case c.Kind == AddLearner && k < 0 && c.Voter.ID != 0:
		v := c.Voter
		v.Learner = true
		return append(vs, v), nil
	case c.Kind == AddLearner:
		return nil, errors.Errorf("voter %d is a member already", c.Voter.ID)
	case k < 0:
		return nil, errors.Errorf("voter %d is not a member", c.Voter.ID)
	case c.Kind == Promote:
		if !r.caughtUp(c.Voter.ID) {
			return nil, ErrNotReached
		}
		vs[k].Learner = false
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

// caughtUp reports whether a member answers and holds all committed entries.
func (r *Replica) caughtUp(id quorum.VoterID) bool {
	p := r.progress[id]
	return p != nil && p.reachable() && !p.lost && p.match >= r.log.commit
}

// reachable reports whether a majority of the voters in vs answers.
func (r *Replica) reachable(vs []Voter) bool {
	yes, voters := 0, 0
	for _, v := range vs {
		if v.Learner {
			continue
		}
		voters++
		if p := r.progress[v.ID]; v.ID == r.options.ID || p != nil && p.reachable() && !p.lost {
			yes++
		}
	}
	return yes > voters/2
}

// updateProgress starts following new members and forgets removed ones.
func (r *Replica) updateProgress() {
	for id := range r.progress {
		if _, ok := find(r.voters(), id); !ok {
			delete(r.progress, id)
		}
	}
	for _, v := range r.voters() {
		if v.ID != r.options.ID && r.progress[v.ID] == nil {
			r.progress[v.ID] = &progress{next: r.log.last() + 1}
		}
	}
}

// resignIfRemoved ends the leadership of a leader whose own removal is committed.
func (r *Replica) resignIfRemoved() {
	if r.configs[len(r.configs)-1].index > r.log.commit {
		return
	}
	if v, ok := find(r.voters(), r.options.ID); !ok || v.Learner {
		r.becomeFollower(r.term, 0)
	}
}

func find(vs []Voter, id quorum.VoterID) (Voter, bool) {
	k := slices.IndexFunc(vs, func(v Voter) bool { return v.ID == id })
	if k < 0 {
		return Voter{}, false
	}
	return vs[k], true
}
