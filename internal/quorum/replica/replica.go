// Package replica implements the consensus algorithm for one member of a group: a
// leader-based replicated log after Ongaro and Ousterhout (USENIX ATC 2014), with
// pre-vote, check-quorum, membership changes of one member at a time, snapshots
// and reads that a majority confirms.
//
// A Replica reads no clock and performs no I/O. Its owner passes it ticks, messages
// and proposals from one goroutine, and executes the effects in order:
//
//	r, err := replica.New(options, state, snapshot, entries)
//	r.Tick()
//	err = r.Step(message)
//	for e := r.Effects(); !e.Empty(); e = r.Effects() {
//		send(e.ImmediateMessages)
//		save(e.Snapshot, e.Entries, e.State) // synced when e.MustSync
//		r.Synced(e)
//		send(e.Messages)
//		apply(e.Committed)
//	}
//
// Effects returns each effect only once, so the owner must execute it before the
// next call. If saving fails, the owner must stop using the Replica.
package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// Errors of rejected requests. When a proposal fails with one of them, its entry
// was not appended.
var (
	ErrNotLeader           = errors.New("replica is not the leader")
	ErrTransferInProgress  = errors.New("leadership is being transferred")
	ErrBusy                = errors.New("too many uncommitted entries")
	ErrChangePending       = errors.New("another membership change is not committed yet")
	ErrNotAnnounced        = errors.New("membership change is not announced yet")
	ErrLostVoter           = errors.New("a lost voter must be removed first")
	ErrNotCaughtUp         = errors.New("member has not caught up")
	ErrMajorityUnreachable = errors.New("too few of the voters would be reachable")
)

// LostEntriesError reports that a replica no longer holds entries that it had
// acknowledged, because its folder was restored to an older state or its disk lost
// synced data. The votes of such a replica can't be relied on either.
type LostEntriesError struct {
	Voter              quorum.VoterID
	Acknowledged, Last quorum.Index
}

// Error returns a message with the voter, the acknowledged index and the last
// index.
func (e *LostEntriesError) Error() string {
	return fmt.Sprintf("voter %d acknowledged entry %d, but its log ended at %d after a restart; "+
		"remove its data folder so that it joins anew", e.Voter, e.Acknowledged, e.Last)
}

// transferContext is the Context of a Vote in an election that the old leader
// requested by a leadership transfer.
const transferContext = 1

// Options configures a Replica. Zero values are replaced by the defaults.
type Options struct {
	ID quorum.VoterID
	// ElectionTicks is the minimum number of ticks without a leader before an
	// election. The actual number is random, below twice as many.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes is the maximum size of the entries of one message, unless it
	// holds a single entry.
	MaxAppendBytes int
	// MaxInFlight is the maximum number of unanswered Append messages to one member.
	MaxInFlight int
	// MaxUncommittedEntries is the maximum number of uncommitted entries of the leader.
	MaxUncommittedEntries int
	// Seed makes the random election timeouts reproducible.
	Seed uint64
}

// Default values of Options.
const (
	DefaultElectionTicks         = 10
	DefaultHeartbeatTicks        = 2
	DefaultMaxAppendBytes        = 256 << 10
	DefaultMaxInFlight           = 16
	DefaultMaxUncommittedEntries = 16384
)

// Replica is the state of one member of a group. It is not safe for concurrent
// use.
type Replica struct {
	options  Options
	random   *rand.Rand
	term     quorum.Term
	vote     quorum.VoterID
	saved    State // as last synced
	role     Role
	leader   quorum.VoterID
	log      log
	snapshot Snapshot
	configs  []config

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	votes            map[quorum.VoterID]bool
	// lost holds the members whose disk is known to be lost.
	lost map[quorum.VoterID]bool
	// excluded is the lost voter that this replica leaves out of majorities, as a candidate
	// and as the leader of a term that it won so, or 0.
	excluded     quorum.VoterID
	lastExcluded quorum.VoterID // returned by the last call of nextLostVoter
	yielded      bool           // to another pre-candidate since the last message of a leader

	progress       map[quorum.VoterID]*progress
	heartbeatRound uint64 // number of the current heartbeat round
	heartbeatDue   bool
	reads          []pendingRead
	deferredReads  []uint64       // IDs of reads that wait for the first commit of the term
	transferee     quorum.VoterID // target of a leadership transfer, or 0

	pending Effects
}

// pendingRead is a read that is confirmed once a majority has answered the
// heartbeat round.
type pendingRead struct {
	id    uint64
	index quorum.Index
	round uint64
}

// New returns a Replica that continues from its stored state. For a new group, the
// snapshot has Index 0 and the initial voters.
func New(o Options, st State, s Snapshot, entries []Entry) (*Replica, error) {
	r := &Replica{
		options:  o.withDefaults(),
		term:     st.Term,
		vote:     st.Vote,
		saved:    st,
		snapshot: s,
		configs:  []config{{index: s.Index, members: s.Voters}},
		lost:     make(map[quorum.VoterID]bool),
	}
	r.random = rand.New(rand.NewPCG(o.Seed, uint64(o.ID)))
	r.log.reset(s.Index, s.Term)
	if err := r.loadEntries(entries); err != nil {
		return nil, err
	}
	if st.Commit > r.log.last() {
		return nil, errors.Errorf("log ends at %d before the commit index %d", r.log.last(), st.Commit)
	}
	r.log.commit = max(st.Commit, s.Index)
	r.resetTimer()
	return r, nil
}

func (r *Replica) loadEntries(entries []Entry) error {
	for _, e := range entries {
		if e.Index <= r.log.base {
			continue
		}
		if e.Index != r.log.last()+1 {
			return errors.Errorf("log is not contiguous: entry %d follows entry %d", e.Index, r.log.last())
		}
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}
	r.log.stable = r.log.last()
	return nil
}

// Tick advances the logical clock of the replica by one tick.
func (r *Replica) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout && r.canCampaign() {
		r.preCampaign()
		return
	}
	if r.electionElapsed%r.options.HeartbeatTicks == 0 {
		r.resendVoteRequests()
	}
}

// MissedTicks reports to the replica that its owner did not run for a number of ticks. A
// leader that was suspended for an election timeout resigns, because the other
// voters may have elected a new leader.
func (r *Replica) MissedTicks(ticks int) {
	if r.role == Leader && ticks >= r.options.ElectionTicks {
		r.becomeFollower(r.term, 0)
		return
	}
	r.electionElapsed = 0
}

// Step processes a message. An error means that the log of this replica or of the
// sender is damaged; the owner must stop using the Replica.
func (r *Replica) Step(m Message) error {
	if m.To != r.options.ID {
		return nil
	}
	if m.Term < r.term {
		r.replyToOldTerm(m)
		return nil
	}
	if m.Term > r.term && !r.acceptNewTerm(m) {
		return nil
	}
	switch m.Kind {
	case PreVote, Vote:
		r.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		r.handleVoteReply(m)
	case Append:
		return r.handleAppend(m)
	case Heartbeat:
		r.handleHeartbeat(m)
	case InstallSnapshot:
		r.handleSnapshot(m)
	case AppendReply:
		return r.handleAppendReply(m)
	case HeartbeatReply:
		r.handleHeartbeatReply(m)
	case LostEntries:
		return &LostEntriesError{Voter: m.To, Acknowledged: m.LogIndex, Last: m.Hint}
	case TimeoutNow:
		if m.From == r.leader && r.canCampaign() {
			r.campaign(transferContext)
		}
	}
	return nil
}

// replyToOldTerm informs the sender of a message of an older term about the newer
// term. Otherwise the leader of the older term would never step down, and a voter
// that returned from a partition with a newer term could not follow it.
func (r *Replica) replyToOldTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true})
	case PreVote:
		r.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// acceptNewTerm adopts the newer term of m if m requires it. It reports whether m
// should be processed.
func (r *Replica) acceptNewTerm(m Message) bool {
	if m.Kind == PreVote || m.Kind == Vote {
		transfer := m.Kind == Vote && m.Context == transferContext
		if r.leader != 0 && r.electionElapsed < r.options.ElectionTicks && !transfer {
			return false // The leader is alive, so the sender must not disrupt it.
		}
	}
	if m.Kind == PreVote || m.Kind == PreVoteReply && !m.Reject {
		return true
	}
	leader := quorum.VoterID(0)
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// Effects returns the actions that resulted from all inputs since the last call.
func (r *Replica) Effects() Effects {
	if r.role == Leader {
		r.broadcast()
		r.confirmReads()
	}
	e := r.pending
	r.pending = Effects{}
	if r.log.stable < r.log.last() {
		rest := r.log.entries[r.log.stable-r.log.base:]
		e.Entries = rest[:len(rest):len(rest)]
	}
	e.State = State{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	termOrVoteChanged := e.State.Term != r.saved.Term || e.State.Vote != r.saved.Vote
	e.MustSync = termOrVoteChanged || len(e.Entries) > 0 || e.Snapshot != nil || r.changeSettled()
	e.SaveState = e.MustSync
	if r.log.delivered < r.log.commit {
		e.Committed = r.log.entries[r.log.delivered-r.log.base : r.log.commit-r.log.base]
		e.Committed = e.Committed[:len(e.Committed):len(e.Committed)]
		r.log.delivered = r.log.commit
	}
	return e
}

// changeSettled reports whether a membership change is known to be committed that was not at
// the last sync. Only then the voters may exclude a lost one, also after a restart.
func (r *Replica) changeSettled() bool {
	return slices.ContainsFunc(r.configs, func(c config) bool {
		return c.index > r.saved.Commit && c.index <= r.log.commit
	})
}

// Synced reports to the replica that the snapshot, entries and state of e are
// synced.
func (r *Replica) Synced(e Effects) {
	if n := len(e.Entries); n > 0 {
		last := e.Entries[n-1]
		if r.log.matches(last.Index, last.Term) {
			r.log.stable = max(r.log.stable, last.Index)
		}
	}
	if e.SaveState {
		r.saved = e.State
	}
	switch r.role {
	case Candidate:
		r.recordOwnVote()
	case Leader:
		r.advanceCommit()
	}
}

// Status returns a copy of the replica's state.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.options.ID, Role: r.role, Term: r.term, Leader: r.leader,
		HasLeader: r.HasLeader(), Commit: r.log.commit, Last: r.log.last(),
		Voters: append([]Voter(nil), r.members()...),
	}
	if r.role == Leader {
		s.Progress = r.progressList()
		s.Excluded = r.excluded
	}
	return s
}

// Leader returns the current leader as far as the replica knows, or 0.
func (r *Replica) Leader() quorum.VoterID { return r.leader }

// HasLeader reports whether the replica leads or has recently heard from the leader. Learners
// never campaign and keep the leader that they know.
func (r *Replica) HasLeader() bool {
	return r.role == Leader || r.leader != 0 && r.electionElapsed < 2*r.options.ElectionTicks
}

// Term returns the current term.
func (r *Replica) Term() quorum.Term { return r.term }

// ChangePending reports whether the last membership change is not known to be committed.
func (r *Replica) ChangePending() bool {
	return r.configs[len(r.configs)-1].index > r.log.commit
}

// Voter returns the member with the given ID.
func (r *Replica) Voter(id quorum.VoterID) (Voter, bool) {
	return findMember(r.members(), id)
}

// MakeSnapshot returns a snapshot that covers all committed entries that Effects
// has returned, with the given state of the state machine.
func (r *Replica) MakeSnapshot(state []byte) Snapshot {
	i := r.log.delivered
	t, _ := r.log.term(i)
	return Snapshot{Index: i, Term: t, Voters: r.membersAt(i), State: state}
}

// Compact drops entries that the snapshot s covers. The snapshot must be stored
// already. Compact keeps the given number of entries before s, so that slow
// members don't need the snapshot.
func (r *Replica) Compact(s Snapshot, keep int) {
	if s.Index <= r.snapshot.Index {
		return
	}
	r.snapshot = s
	r.pruneConfigs(s.Index)
	if s.Index > quorum.Index(keep) {
		r.log.compact(s.Index - quorum.Index(keep))
	}
}

// Retained returns the entries that are still in the log.
func (r *Replica) Retained() []Entry {
	return r.log.entries[:len(r.log.entries):len(r.log.entries)]
}

func (r *Replica) becomeFollower(t quorum.Term, leader quorum.VoterID) {
	if t != r.term {
		r.term = t
		r.vote = 0
	}
	r.failReads()
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.transferee = 0
	r.excluded = 0
	r.resetTimer()
}

func (r *Replica) resetTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.options.ElectionTicks + r.random.IntN(r.options.ElectionTicks)
}

// send queues a message that must not be sent before the state is synced.
func (r *Replica) send(m Message) {
	m.From = r.options.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.pending.Messages = append(r.pending.Messages, m)
}

// sendImmediate queues a message that may be sent before the state is synced. Only
// the leader uses it, because its term was synced before its election.
func (r *Replica) sendImmediate(m Message) {
	m.From = r.options.ID
	m.Term = r.term
	r.pending.ImmediateMessages = append(r.pending.ImmediateMessages, m)
}

func (o Options) withDefaults() Options {
	setDefault(&o.ElectionTicks, DefaultElectionTicks)
	setDefault(&o.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&o.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxUncommittedEntries, DefaultMaxUncommittedEntries)
	return o
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}
