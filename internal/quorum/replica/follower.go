package replica

import (
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// acceptLeader records the sender of a message of the current term as the leader.
func (r *Replica) acceptLeader(leader quorum.VoterID) {
	if r.role != Follower {
		r.becomeFollower(r.term, leader)
	}
	r.leader = leader
	r.yielded = false
	r.electionElapsed = 0
}

func (r *Replica) handleAppend(m Message) error {
	if r.role == Leader {
		return errors.Errorf("voter %d leads term %d as well", m.From, m.Term)
	}
	r.acceptLeader(m.From)
	if m.LogIndex < r.log.commit {
		r.send(Message{Kind: AppendReply, To: m.From, LogIndex: r.log.commit})
		return nil
	}
	if !r.log.matches(m.LogIndex, m.LogTerm) {
		i, t := r.log.findConflict(m.LogIndex, m.LogTerm)
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, LogIndex: m.LogIndex, Hint: i, LogTerm: t})
		return nil
	}
	if err := r.mergeEntries(m.Entries); err != nil {
		return err
	}
	end := m.LogIndex + quorum.Index(len(m.Entries))
	r.log.commit = max(r.log.commit, min(m.Commit, end))
	r.send(Message{Kind: AppendReply, To: m.From, LogIndex: end})
	return nil
}

// mergeEntries appends the entries that are missing from the log and drops
// existing entries that conflict with them.
func (r *Replica) mergeEntries(es []Entry) error {
	for len(es) > 0 && r.log.matches(es[0].Index, es[0].Term) {
		es = es[1:]
	}
	if len(es) == 0 {
		return nil
	}
	if es[0].Index <= r.log.commit {
		return errors.Errorf("entry %d of term %d conflicts with a committed entry", es[0].Index, es[0].Term)
	}
	if es[0].Index <= r.log.last() {
		r.truncate(es[0].Index - 1)
	}
	for _, e := range es {
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) handleHeartbeat(m Message) {
	if r.role == Leader {
		return
	}
	r.acceptLeader(m.From)
	if m.Commit <= r.log.last() {
		r.log.commit = max(r.log.commit, m.Commit)
	}
	r.send(Message{Kind: HeartbeatReply, To: m.From, Context: m.Context, LogIndex: r.log.last()})
}

func (r *Replica) handleSnapshot(m Message) {
	if r.role == Leader || m.Snapshot == nil {
		return
	}
	r.acceptLeader(m.From)
	s := *m.Snapshot
	switch {
	case s.Index <= r.log.commit:
	case r.log.matches(s.Index, s.Term):
		r.log.commit = s.Index
	default:
		r.log.reset(s.Index, s.Term)
		r.snapshot = s
		r.configs = []config{{index: s.Index, members: s.Voters}}
		r.forgetRemoved()
		r.pending.Snapshot = &s
	}
	r.send(Message{Kind: AppendReply, To: m.From, LogIndex: r.log.commit})
}
