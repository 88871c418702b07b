// Package replica holds the consensus core of one member of a group: a
// leader-based replicated log after Ongaro and Ousterhout (USENIX ATC 2014) with
// pre-vote, check-quorum, membership changes of one member at a time, snapshots
// and reads that a majority confirms.
//
// A Replica reads no clock and does no I/O. Its owner feeds it ticks, messages
// and proposals from one goroutine, and executes the effects in their order:
//
//	r, err := replica.New(options, state, snapshot, entries)
//	r.Tick()
//	err = r.Step(message)
//	for e := r.Effects(); !e.Empty(); e = r.Effects() {
//		send(e.Early)
//		save(e.Snapshot, e.Entries, e.State) // synced when e.MustSync
//		r.Synced(e)
//		send(e.Messages)
//		apply(e.Committed)
//	}
//
// Effects hands out each effect once, so the owner must execute it before the
// next call. When saving fails, the owner must stop using the Replica.
package replica

import (
	"fmt"
	"math/rand/v2"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// Errors of proposals. The command was certainly not appended.
var (
	ErrNotLeader  = errors.New("replica is not the leader")
	ErrTransfer   = errors.New("leadership is being transferred")
	ErrBusy       = errors.New("too many uncommitted entries")
	ErrChanging   = errors.New("another membership change is not committed yet")
	ErrNotReached = errors.New("member has not caught up")
	ErrMajority   = errors.New("too few of the voters would be reachable")
)

// LostError tells that a replica no longer holds entries that it had
// acknowledged, because its folder was put back to an older state or its disk
// dropped synced data. Its votes can't be trusted either.
type LostError struct {
	Voter              quorum.VoterID
	Acknowledged, Last quorum.Index
}

// Error names the voter and its entries.
func (e *LostError) Error() string {
	return fmt.Sprintf("voter %d acknowledged entry %d, but its log ended at %d after a restart; "+
		"remove its data folder so that it joins anew", e.Voter, e.Acknowledged, e.Last)
}

// transferContext in a Vote marks an election that the old leader asked for.
const transferContext = 1

// Options configure a Replica. Zero values stand for the defaults.
type Options struct {
	ID quorum.VoterID
	// ElectionTicks is the least number of ticks without a leader before an
	// election. The actual number is random, up to twice as many.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message, unless it is a single
	// entry.
	MaxAppendBytes int
	// MaxInFlight bounds the unanswered Append messages to one member.
	MaxInFlight int
	// MaxUncommitted bounds the entries of the leader that are not committed.
	MaxUncommitted int
	// Seed makes the random election timeouts repeatable.
	Seed uint64
}

// Default values of Options.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	DefaultMaxAppendBytes = 256 << 10
	DefaultMaxInFlight    = 16
	DefaultMaxUncommitted = 16384
)

// Replica is the state of one member of a group. It is not safe for concurrent
// use.
type Replica struct {
	options  Options
	random   *rand.Rand
	term     quorum.Term
	vote     quorum.VoterID
	saved    State
	role     Role
	leader   quorum.VoterID
	log      log
	snapshot Snapshot
	configs  []config

	electionElapsed  int
	heartbeatElapsed int
	timeout          int
	votes            map[quorum.VoterID]bool
	yielded          bool // to another pre-candidate since the last leader

	progress     map[quorum.VoterID]*progress
	context      uint64 // number of the newest heartbeat round
	heartbeatDue bool
	reads        []pendingRead
	early        []uint64 // reads that wait for the first commit of the term
	transfer     quorum.VoterID

	pending Effects
}

type pendingRead struct {
	id      uint64
	index   quorum.Index
	context uint64
}

// New returns a Replica that continues from what was stored. For a new group the
// snapshot holds the first voters and Index 0.
func New(o Options, st State, s Snapshot, entries []Entry) (*Replica, error) {
	r := &Replica{
		options:  o.withDefaults(),
		term:     st.Term,
		vote:     st.Vote,
		saved:    st,
		snapshot: s,
		configs:  []config{{index: s.Index, voters: s.Voters}},
	}
	r.random = rand.New(rand.NewPCG(o.Seed, uint64(o.ID)))
	r.log.reset(s.Index, s.Term)
	if err := r.load(entries); err != nil {
		return nil, err
	}
	if st.Commit > r.log.last() {
		return nil, errors.Errorf("log ends at %d before the commit index %d", r.log.last(), st.Commit)
	}
	r.log.commit = max(st.Commit, s.Index)
	r.resetTimer()
	return r, nil
}

func (r *Replica) load(entries []Entry) error {
	for _, e := range entries {
		if e.Index <= r.log.base {
			continue
		}
		if e.Index != r.log.last()+1 {
			return errors.Errorf("log has entry %d after entry %d", e.Index, r.log.last())
		}
		if err := r.appendLocal(e); err != nil {
			return err
		}
	}
	r.log.stable = r.log.last()
	return nil
}

// Tick tells that one tick has passed.
func (r *Replica) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.timeout && r.electable() {
		r.preCampaign()
		return
	}
	if r.electionElapsed%r.options.HeartbeatTicks == 0 {
		r.askAgain()
	}
}

// Gap tells that the owner did not run for a number of ticks. A leader that was
// stopped for an election timeout resigns, because others may have elected
// another one.
func (r *Replica) Gap(ticks int) {
	if r.role == Leader && ticks >= r.options.ElectionTicks {
		r.becomeFollower(r.term, 0)
		return
	}
	r.electionElapsed = 0
}

// Step processes a message. An error means that the log of this replica or of
// the sender is damaged; the owner must stop using the Replica.
func (r *Replica) Step(m Message) error {
	if m.To != r.options.ID {
		return nil
	}
	if m.Term < r.term {
		r.answerOldTerm(m)
		return nil
	}
	if m.Term > r.term && !r.acceptNewTerm(m) {
		return nil
	}
	switch m.Kind {
	case PreVote, Vote:
		r.answerVote(m)
	case PreVoteReply, VoteReply:
		r.countVote(m)
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
		return &LostError{Voter: m.To, Acknowledged: m.LogIndex, Last: m.Hint}
	case TimeoutNow:
		if m.From == r.leader && r.electable() {
			r.campaign(transferContext)
		}
	}
	return nil
}

// answerOldTerm tells a sender of an older term about the newer one. Without it
// an old leader that a cut-off voter can't follow would never step down.
func (r *Replica) answerOldTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true})
	case PreVote:
		r.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// acceptNewTerm moves to the term of m where m calls for it. It reports whether
// m is to be processed.
func (r *Replica) acceptNewTerm(m Message) bool {
	if m.Kind == PreVote || m.Kind == Vote {
		forced := m.Kind == Vote && m.Context == transferContext
		if r.leader != 0 && r.electionElapsed < r.options.ElectionTicks && !forced {
			return false // The leader is alive, so the sender must not disturb it.
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

// Effects returns what is to be done since the last call.
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
	elected := e.State.Term != r.saved.Term || e.State.Vote != r.saved.Vote
	e.MustSync = elected || len(e.Entries) > 0 || e.Snapshot != nil
	e.SaveState = e.MustSync
	if r.log.handed < r.log.commit {
		e.Committed = r.log.entries[r.log.handed-r.log.base : r.log.commit-r.log.base]
		e.Committed = e.Committed[:len(e.Committed):len(e.Committed)]
		r.log.handed = r.log.commit
	}
	return e
}

// Synced tells that the snapshot, entries and state of e are synced.
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
		r.countOwnVote()
	case Leader:
		r.advanceCommit()
	}
}

// Status returns a copy of the state.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.options.ID, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.log.commit, Last: r.log.last(),
		Voters: append([]Voter(nil), r.voters()...),
	}
	if r.role == Leader {
		s.Progress = r.progressList()
	}
	return s
}

// Leader returns the leader that the replica knows of, or 0.
func (r *Replica) Leader() quorum.VoterID { return r.leader }

// Term returns the current term.
func (r *Replica) Term() quorum.Term { return r.term }

// Voter returns a member by its id.
func (r *Replica) Voter(id quorum.VoterID) (Voter, bool) {
	return find(r.voters(), id)
}

// MakeSnapshot returns a snapshot of all entries that Effects handed out, with
// the given state of the state machine.
func (r *Replica) MakeSnapshot(state []byte) Snapshot {
	i := r.log.handed
	t, _ := r.log.term(i)
	return Snapshot{Index: i, Term: t, Voters: r.votersAt(i), State: state}
}

// Compact replaces the entries up to s by s, which must be stored. It keeps the
// given number of entries before s, so that slow members need no snapshot.
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

// Retained returns the entries that the log still holds.
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
	r.transfer = 0
	r.resetTimer()
}

func (r *Replica) resetTimer() {
	r.electionElapsed = 0
	r.timeout = r.options.ElectionTicks + r.random.IntN(r.options.ElectionTicks)
}

// send queues a message that depends on synced state.
func (r *Replica) send(m Message) {
	m.From = r.options.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.pending.Messages = append(r.pending.Messages, m)
}

// sendEarly queues a message of the leader, whose term was synced before its
// election.
func (r *Replica) sendEarly(m Message) {
	m.From = r.options.ID
	m.Term = r.term
	r.pending.Early = append(r.pending.Early, m)
}

func (o Options) withDefaults() Options {
	setDefault(&o.ElectionTicks, DefaultElectionTicks)
	setDefault(&o.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&o.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxUncommitted, DefaultMaxUncommitted)
	return o
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}
