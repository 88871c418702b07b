package replica

import "github.com/bilberryrock/bilberryrock/internal/quorum"

// canCampaign reports whether the replica may start an election.
func (r *Replica) canCampaign() bool {
	v, ok := findMember(r.members(), r.options.ID)
	return ok && !v.Learner && r.role != Leader
}

// preCampaign starts a pre-vote, which determines whether an election would
// succeed without incrementing the term. A voter that was partitioned therefore
// can't disrupt the others when it reconnects.
func (r *Replica) preCampaign() {
	r.failReads()
	r.role = PreCandidate
	r.leader = 0
	r.excluded = r.nextLostVoter()
	r.votes = map[quorum.VoterID]bool{r.options.ID: true}
	r.resetTimer()
	r.requestVotes(PreVote, r.term+1, 0)
	r.checkElection()
}

// resendVoteRequests repeats the vote requests of an election in progress. A
// request may have been lost, or ignored by a voter that received a message of
// the old leader slightly later than this replica.
func (r *Replica) resendVoteRequests() {
	switch r.role {
	case PreCandidate:
		r.requestVotes(PreVote, r.term+1, 0)
	case Candidate:
		r.requestVotes(Vote, r.term, 0)
	}
}

// campaign starts an election in a new term. The replica's own vote counts once
// it is synced.
func (r *Replica) campaign(context uint64) {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.options.ID
	r.votes = make(map[quorum.VoterID]bool)
	r.resetTimer()
	r.requestVotes(Vote, r.term, context)
}

func (r *Replica) requestVotes(k MessageKind, t quorum.Term, context uint64) {
	for _, v := range r.members() {
		if v.Learner && !v.Announced || v.ID == r.options.ID {
			continue
		}
		r.send(Message{
			Kind: k, To: v.ID, Term: t, Context: context,
			LogIndex: r.log.last(), LogTerm: r.log.lastTerm(),
		})
	}
}

// handleVoteRequest grants at most one vote per term, and only to a candidate
// whose log is at least as up-to-date as that of this replica. It does not check
// membership: the candidate may know of a membership change that this replica has
// not received yet.
func (r *Replica) handleVoteRequest(m Message) {
	r.yieldPreCampaign(m)
	reply := Message{Kind: VoteReply, To: m.From}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	mayVote := r.vote == m.From || r.vote == 0 && r.leader == 0 || m.Kind == PreVote && m.Term > r.term
	if !mayVote || !r.upToDate(m.LogIndex, m.LogTerm) {
		reply.Reject = true
		r.send(reply)
		return
	}
	if m.Kind == Vote {
		r.electionElapsed = 0
		r.vote = m.From
	}
	reply.Term = m.Term
	r.send(reply)
}

// yieldPreCampaign withdraws the pre-campaign of this replica in favour of another
// voter with a newer log, or with an equal log and a higher ID. Otherwise two
// voters that time out in the same tick would split the votes. The replica yields
// only once until it receives a message of a leader, so that a voter that can't win
// does not keep it from trying again.
func (r *Replica) yieldPreCampaign(m Message) {
	if r.role != PreCandidate || m.Kind != PreVote || r.yielded || m.Term <= r.term {
		return
	}
	lastTerm, last := r.log.lastTerm(), r.log.last()
	newer := m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.LogIndex > last
	equal := m.LogTerm == lastTerm && m.LogIndex == last
	if !newer && (!equal || m.From < r.options.ID) {
		return
	}
	r.becomeFollower(r.term, 0)
	r.yielded = true
}

// upToDate reports whether a log that ends with entry i of term t is at least as
// up-to-date as the local one.
func (r *Replica) upToDate(i quorum.Index, t quorum.Term) bool {
	lastTerm := r.log.lastTerm()
	return t > lastTerm || t == lastTerm && i >= r.log.last()
}

func (r *Replica) handleVoteReply(m Message) {
	pre := r.role == PreCandidate && m.Kind == PreVoteReply
	full := r.role == Candidate && m.Kind == VoteReply
	if !pre && !full {
		return
	}
	if pre && !m.Reject && m.Term != r.term+1 {
		return // the reply to an earlier pre-vote
	}
	if _, seen := r.votes[m.From]; !seen {
		r.votes[m.From] = !m.Reject
	}
	r.checkElection()
}

func (r *Replica) recordOwnVote() {
	if r.saved.Term != r.term || r.saved.Vote != r.options.ID {
		return
	}
	r.votes[r.options.ID] = true
	r.checkElection()
}

// checkElection counts the votes and ends the election or pre-vote when a majority
// granted or refused it. If that is a majority with the lost voter, the term leaves nobody
// out.
func (r *Replica) checkElection() {
	granted := func(id quorum.VoterID) bool { return r.votes[id] }
	if r.majority(0, granted) {
		r.excluded = 0
	} else if !r.majority(r.excluded, granted) {
		if r.refused() {
			r.becomeFollower(r.term, 0)
		}
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(0)
	case Candidate:
		r.becomeLeader()
	}
}

// refused reports whether a majority refused its votes.
func (r *Replica) refused() bool {
	return r.majority(0, func(id quorum.VoterID) bool {
		yes, answered := r.votes[id]
		return answered && !yes
	})
}
