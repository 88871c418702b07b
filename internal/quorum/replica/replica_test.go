package replica

import (
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/matryer/is"
)

// newLeader returns the leader of three voters in term 2, with one entry of term 1
// that is not replicated yet.
func newLeader(is *is.I) *Replica {
	voters := []Voter{{ID: 1}, {ID: 2}, {ID: 3}}
	old := []Entry{{Kind: Command, Term: 1, Index: 1, Data: []byte("old")}}
	r, err := New(Options{ID: 1}, State{Term: 1}, Snapshot{Voters: voters}, old)
	is.NoErr(err)
	for r.role == Follower {
		r.Tick()
	}
	syncEffects(r)
	is.NoErr(r.Step(Message{Kind: PreVoteReply, From: 2, To: 1, Term: 2}))
	syncEffects(r)
	is.NoErr(r.Step(Message{Kind: VoteReply, From: 2, To: 1, Term: 2}))
	syncEffects(r)
	is.Equal(r.role, Leader)
	return r
}

func syncEffects(r *Replica) {
	for e := r.Effects(); !e.Empty(); e = r.Effects() {
		r.Synced(e)
	}
}

func acknowledge(is *is.I, r *Replica, i quorum.Index) {
	is.NoErr(r.Step(Message{Kind: AppendReply, From: 2, To: 1, Term: 2, LogIndex: i}))
	syncEffects(r)
}

// TestCommitOfOlderTerm guards against an entry of an older term that counts as
// committed because a majority holds it: a later leader without the entry could
// still replace it.
func TestCommitOfOlderTerm(t *testing.T) {
	is := is.New(t)
	r := newLeader(is)
	acknowledge(is, r, 1)
	is.Equal(r.Status().Commit, quorum.Index(0))
	acknowledge(is, r, 2)
	is.Equal(r.Status().Commit, quorum.Index(2))
}

// TestOneChangeAtATime guards against membership changes whose majorities don't
// overlap: a change before the leader's first commit, and a change while another
// one is uncommitted.
func TestOneChangeAtATime(t *testing.T) {
	is := is.New(t)
	r := newLeader(is)
	_, _, err := r.ProposeChange(Change{Kind: AddLearner, Voter: Voter{ID: 4}})
	is.Equal(err, ErrChangePending)
	acknowledge(is, r, 2)
	_, _, err = r.ProposeChange(Change{Kind: AddLearner, Voter: Voter{ID: 4}})
	is.NoErr(err)
	_, _, err = r.ProposeChange(Change{Kind: AddLearner, Voter: Voter{ID: 5}})
	is.Equal(err, ErrChangePending)
	_, _, err = r.ProposeChange(Change{Kind: Promote, Voter: Voter{ID: 4}})
	is.Equal(err, ErrChangePending)
	acknowledge(is, r, 3)
	_, _, err = r.ProposeChange(Change{Kind: Promote, Voter: Voter{ID: 4}})
	is.Equal(err, ErrNotCaughtUp) // The learner has not answered.
}

// TestVoteOfNewestLog guards against a vote for a candidate whose log is not
// up-to-date.
func TestVoteOfNewestLog(t *testing.T) {
	is := is.New(t)
	r, err := New(Options{ID: 1}, State{Term: 3}, Snapshot{Voters: []Voter{{ID: 1}, {ID: 2}, {ID: 3}}},
		[]Entry{{Kind: Command, Term: 3, Index: 1}, {Kind: Command, Term: 3, Index: 2}})
	is.NoErr(err)
	for _, c := range []struct {
		index  quorum.Index
		term   quorum.Term
		reject bool
	}{{1, 3, true}, {9, 2, true}, {2, 3, false}, {1, 4, false}} {
		is.NoErr(r.Step(Message{Kind: PreVote, From: 2, To: 1, Term: 4, LogIndex: c.index, LogTerm: c.term}))
		e := r.Effects()
		is.Equal(e.Messages[0].Reject, c.reject)
	}
}
