package replica

import "github.com/bilberryrock/bilberryrock/internal/quorum"

// electable reports whether the replica may ask for votes.
func (r *Replica) electable() bool {
	v, ok := find(r.voters(), r.options.ID)
	return ok && !v.Learner && r.role != Leader
}

// preCampaign asks whether an election would succeed, without raising the term.
// A voter that was cut off thus can't disturb the others when it returns.
func (r *Replica) preCampaign() {
	r.failReads()
	r.role = PreCandidate
	r.leader = 0
	r.votes = map[quorum.VoterID]bool{r.options.ID: true}
	r.resetTimer()
	r.askForVotes(PreVote, r.term+1, 0)
	r.tally()
}

// askAgain repeats the requests of an election in progress. A request may have
// been lost, or ignored by a voter that saw the old leader a little later.
func (r *Replica) askAgain() {
	switch r.role {
	case PreCandidate:
		r.askForVotes(PreVote, r.term+1, 0)
	case Candidate:
		r.askForVotes(Vote, r.term, 0)
	}
}

// campaign starts an election in a new term. The own vote counts once it is
// synced.
func (r *Replica) campaign(context uint64) {
	r.role = Candidate
	r.leader = 0
	r.term++
	r.vote = r.options.ID
	r.votes = make(map[quorum.VoterID]bool)
	r.resetTimer()
	r.askForVotes(Vote, r.term, context)
}

func (r *Replica) askForVotes(k MessageKind, t quorum.Term, context uint64) {
	for _, v := range r.voters() {
		if v.Learner || v.ID == r.options.ID {
			continue
		}
		r.send(Message{
			Kind: k, To: v.ID, Term: t, Context: context,
			LogIndex: r.log.last(), LogTerm: r.log.lastTerm(),
		})
	}
}

// answerVote grants a vote at most once a term, and only to a candidate whose
// log holds all that this replica has. Membership is not checked: the candidate
// may know of a change that this replica has not received yet.
func (r *Replica) answerVote(m Message) {
	r.yield(m)
	reply := Message{Kind: VoteReply, To: m.From}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	free := r.vote == m.From || r.vote == 0 && r.leader == 0 || m.Kind == PreVote && m.Term > r.term
	if !free || !r.upToDate(m.LogIndex, m.LogTerm) {
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

// yield withdraws the own pre-campaign in favour of another one with a newer log
// or an equal log and a higher id. Two voters that time out in the same tick would
// otherwise split the votes. It yields once until it hears of a leader, so that a
// voter that can't win does not keep it from trying again.
func (r *Replica) yield(m Message) {
	if r.role != PreCandidate || m.Kind != PreVote || r.yielded || m.Term <= r.term {
		return
	}
	own, last := r.log.lastTerm(), r.log.last()
	newer := m.LogTerm > own || m.LogTerm == own && m.LogIndex > last
	equal := m.LogTerm == own && m.LogIndex == last
	if !newer && (!equal || m.From < r.options.ID) {
		return
	}
	r.becomeFollower(r.term, 0)
	r.yielded = true
}

func (r *Replica) upToDate(i quorum.Index, t quorum.Term) bool {
	own := r.log.lastTerm()
	return t > own || t == own && i >= r.log.last()
}

func (r *Replica) countVote(m Message) {
	pre := r.role == PreCandidate && m.Kind == PreVoteReply
	full := r.role == Candidate && m.Kind == VoteReply
	if !pre && !full {
		return
	}
	if pre && !m.Reject && m.Term != r.term+1 {
		return // The reply belongs to an earlier pre-vote.
	}
	if _, seen := r.votes[m.From]; !seen {
		r.votes[m.From] = !m.Reject
	}
	r.tally()
}

func (r *Replica) countOwnVote() {
	if r.saved.Term != r.term || r.saved.Vote != r.options.ID {
		return
	}
	r.votes[r.options.ID] = true
	r.tally()
}

func (r *Replica) tally() {
	granted, refused, voters := 0, 0, 0
	for _, v := range r.voters() {
		if v.Learner {
			continue
		}
		voters++
		if yes, answered := r.votes[v.ID]; yes {
			granted++
		} else if answered {
			refused++
		}
	}
	majority := voters/2 + 1
	switch {
	case granted >= majority && r.role == PreCandidate:
		r.campaign(0)
	case granted >= majority && r.role == Candidate:
		r.becomeLeader()
	case refused >= majority:
		r.becomeFollower(r.term, 0)
	}
}
