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

// newVoter returns voter 1 of a group, in term 1 and with the entry of a change to more voters
// that is committed if settled is set.
func newVoter(is *is.I, settled bool, before, after []Voter) *Replica {
	st := State{Term: 1}
	if settled {
		st.Commit = 1
	}
	r, err := New(Options{ID: 1}, st, Snapshot{Voters: before}, []Entry{{Kind: Membership, Term: 1, Index: 1, Data: EncodeVoters(after)}})
	is.NoErr(err)
	return r
}

// campaignTo lets a replica campaign, with the votes of one other voter, and reports whether
// it leads then.
func campaignTo(is *is.I, r *Replica, voter quorum.VoterID) bool {
	for r.role == Follower {
		r.Tick()
	}
	syncEffects(r)
	is.NoErr(r.Step(Message{Kind: PreVoteReply, From: voter, To: 1, Term: r.term + 1}))
	syncEffects(r)
	is.NoErr(r.Step(Message{Kind: VoteReply, From: voter, To: 1, Term: r.term}))
	syncEffects(r)
	return r.role == Leader
}

// TestLostVoterIsLeftOut guards against a group of four that stands still with one voter lost
// and another one gone, and against two halves that decide without each other: nothing is left
// out without a loss, and not while the voters before an uncommitted change may still decide.
func TestLostVoterIsLeftOut(t *testing.T) {
	three, four := []Voter{{ID: 1}, {ID: 2}, {ID: 3}}, []Voter{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}
	for _, c := range []struct {
		name          string
		settled, lost bool
		leads         bool
	}{
		{name: "lost", settled: true, lost: true, leads: true},
		{name: "notLost", settled: true},
		{name: "uncommittedChange", lost: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newVoter(is, c.settled, three, four)
			is.Equal(c.lost && r.RecordLoss(2), c.lost)
			is.Equal(campaignTo(is, r, 4), c.leads)
		})
	}
}

// TestLeaderOfAllLeavesNobodyOut guards against a leader that counts replies from before a loss
// without the lost voter: half of the group may have elected another leader meanwhile.
func TestLeaderOfAllLeavesNobodyOut(t *testing.T) {
	is := is.New(t)
	four := []Voter{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}
	r := newVoter(is, true, four, four)
	is.True(!campaignTo(is, r, 2))
	is.NoErr(r.Step(Message{Kind: PreVoteReply, From: 3, To: 1, Term: 2}))
	syncEffects(r)
	is.NoErr(r.Step(Message{Kind: VoteReply, From: 2, To: 1, Term: 2}))
	is.NoErr(r.Step(Message{Kind: VoteReply, From: 3, To: 1, Term: 2}))
	syncEffects(r)
	is.Equal(r.role, Leader)
	is.True(r.RecordLoss(2))
	acknowledged := quorum.Index(2)
	is.NoErr(r.Step(Message{Kind: AppendReply, From: 3, To: 1, Term: 2, LogIndex: acknowledged}))
	syncEffects(r)
	is.Equal(r.Status().Commit, acknowledged-1)
}

// TestChangeOfEvenGroupIsAnnounced guards against a change of voters that half of the group
// without a lost voter does not know: it could decide beside a majority after the change.
func TestChangeOfEvenGroupIsAnnounced(t *testing.T) {
	is := is.New(t)
	r, err := New(Options{ID: 1}, State{Term: 1}, Snapshot{Voters: []Voter{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}}, nil)
	is.NoErr(err)
	r.campaign(0)
	syncEffects(r)
	for _, id := range []quorum.VoterID{2, 3} {
		is.NoErr(r.Step(Message{Kind: VoteReply, From: id, To: 1, Term: 2}))
	}
	syncEffects(r)
	acknowledgeAll := func() {
		for _, id := range []quorum.VoterID{2, 3} {
			is.NoErr(r.Step(Message{Kind: AppendReply, From: id, To: 1, Term: 2, LogIndex: r.log.last()}))
		}
		syncEffects(r)
	}
	acknowledgeAll()
	remove := Change{Kind: Remove, Voter: Voter{ID: 4}}
	_, _, err = r.ProposeChange(remove)
	is.Equal(err, ErrNotAnnounced)
	_, _, err = r.Announce(remove)
	is.NoErr(err)
	_, _, err = r.ProposeChange(remove)
	is.Equal(err, ErrChangePending)
	acknowledgeAll()
	_, _, err = r.ProposeChange(remove)
	is.NoErr(err)
	is.Equal(len(r.members()), 3)
}
