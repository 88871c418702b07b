package replica

import (
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// Number of election timeouts that a leader waits for a member to acknowledge a
// snapshot before it probes the member again.
const (
	// snapshotSendTimeouts applies while the transport sends the snapshot. It is
	// longer than the transport keeps trying.
	snapshotSendTimeouts = 100
	// snapshotInstallTimeouts applies once the transport has delivered the snapshot.
	snapshotInstallTimeouts = 4
)

// replicationState is the state of the replication to one member.
type replicationState int

const (
	probing     replicationState = iota // sends one Append at a time until the logs match
	replicating                         // pipelines Appends
	installing                          // waits until the member has installed a snapshot
)

// progress is the replication state of another member.
type progress struct {
	match, next     quorum.Index
	state           replicationState
	probeSent       bool           // while probing, an Append is unanswered
	inFlight        []quorum.Index // last indexes of unanswered Appends
	forceAppend     bool           // send an Append even if it is empty, to find missing entries
	sentCommit      quorum.Index
	snapshotIndex   quorum.Index // of the snapshot being installed
	snapshotTicks   int          // ticks since the snapshot was sent or delivered
	snapshotTimeout int          // ticks after which the member is probed again
	active          bool         // answered since the last quorum check
	wasActive       bool         // answered between the two last quorum checks
	lost            bool         // no longer holds entries that it acknowledged
	ackedRound      uint64       // newest heartbeat round that it answered
	// matchRound is the heartbeat round in which match was reached. A reply to a
	// later round must report a log that reaches at least match.
	matchRound uint64
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.options.ID
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.transferee = 0
	r.progress = make(map[quorum.VoterID]*progress)
	// Only entries of the current term are committed by counting replicas, so the
	// new leader appends one at once.
	r.appendAsLeader(NoOp, nil)
	r.updateProgress()
	for _, p := range r.progress {
		p.next = r.log.last()
		p.active = true
	}
	r.heartbeatDue = true
}

func (r *Replica) tickLeader() {
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.options.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.heartbeatDue = true
	}
	for _, p := range r.progress {
		p.tick()
	}
	if r.electionElapsed < r.options.ElectionTicks {
		return
	}
	r.electionElapsed = 0
	r.transferee = 0
	if !r.majorityProgress(func(p *progress) bool { return p.active }) {
		r.becomeFollower(r.term, 0)
		return
	}
	for _, p := range r.progress {
		p.wasActive = p.active
		p.active = false
	}
}

func (p *progress) tick() {
	if p.state != installing {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= p.snapshotTimeout {
		p.probe(p.match + 1)
	}
}

func (p *progress) reachable() bool { return p.active || p.wasActive }

func (p *progress) probe(next quorum.Index) {
	p.state = probing
	p.next = next
	p.probeSent = false
	p.inFlight = nil
}

// majorityProgress reports whether f is true for a majority of the voters that decide in
// this term. The replica itself counts as true if it is a voter.
func (r *Replica) majorityProgress(f func(p *progress) bool) bool {
	return r.majority(r.excluded, func(id quorum.VoterID) bool {
		p := r.progress[id]
		return id == r.options.ID || p != nil && !p.lost && f(p)
	})
}

// Propose appends a command and returns the index and term of its entry. The
// command takes effect if and only if Effects returns a committed entry with the
// same index and term.
func (r *Replica) Propose(command []byte) (quorum.Index, quorum.Term, error) {
	if err := r.checkProposal(); err != nil {
		return 0, 0, err
	}
	return r.appendAsLeader(Command, command), r.term, nil
}

func (r *Replica) checkProposal() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transferee != 0 {
		return ErrTransferInProgress
	}
	if r.log.last()-r.log.commit >= quorum.Index(r.options.MaxUncommittedEntries) {
		return ErrBusy
	}
	return nil
}

func (r *Replica) appendAsLeader(k EntryKind, data []byte) quorum.Index {
	e := Entry{Kind: k, Term: r.term, Index: r.log.last() + 1, Data: data}
	// Entries of this replica are well-formed, so appending can't fail.
	_ = r.appendEntry(e)
	return e.Index
}

// Read requests a read. Effects returns its ID in Reads once a majority has
// confirmed that the replica is still the leader, or in FailedReads if the
// leadership ends first.
func (r *Replica) Read(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if t, _ := r.log.term(r.log.commit); t != r.term {
		r.deferredReads = append(r.deferredReads, id)
		return nil
	}
	r.queueRead(id)
	return nil
}

func (r *Replica) queueRead(id uint64) {
	r.reads = append(r.reads, pendingRead{id: id, index: r.log.commit, round: r.heartbeatRound + 1})
	r.heartbeatDue = true
}

// confirmReads moves the reads whose heartbeat round a majority has answered to
// the pending effects.
func (r *Replica) confirmReads() {
	for len(r.reads) > 0 {
		d := r.reads[0]
		if d.round > r.heartbeatRound || !r.majorityProgress(func(p *progress) bool { return p.ackedRound >= d.round }) {
			return
		}
		r.pending.Reads = append(r.pending.Reads, ReadReady{ID: d.id, Index: d.index})
		r.reads = r.reads[1:]
	}
}

func (r *Replica) failReads() {
	for _, d := range r.reads {
		r.pending.FailedReads = append(r.pending.FailedReads, d.id)
	}
	r.pending.FailedReads = append(r.pending.FailedReads, r.deferredReads...)
	r.reads, r.deferredReads = nil, nil
}

// TransferLeadership starts a leadership transfer to a voter, which takes over once its log
// is up-to-date. The transfer is abandoned after an election timeout; until then
// no proposals are accepted.
func (r *Replica) TransferLeadership(to quorum.VoterID) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	v, ok := findMember(r.members(), to)
	p := r.progress[to]
	if !ok || v.Learner || p == nil || !p.reachable() || p.lost {
		return errors.Errorf("voter %d can't take over", to)
	}
	r.transferee = to
	r.electionElapsed = 0
	r.sendTimeoutNow()
	return nil
}

// sendTimeoutNow asks the target of the leadership transfer to start an election,
// if it has all entries.
func (r *Replica) sendTimeoutNow() {
	p := r.progress[r.transferee]
	if p != nil && p.match == r.log.last() {
		r.sendImmediate(Message{Kind: TimeoutNow, To: r.transferee})
	}
}

// broadcast sends heartbeats that are due and the entries that each member is
// missing. It runs once for a batch of inputs, so that the proposals of a batch
// share a message.
func (r *Replica) broadcast() {
	if r.heartbeatDue {
		r.heartbeatRound++
	}
	for _, v := range r.members() {
		p := r.progress[v.ID]
		if p == nil {
			continue
		}
		if r.heartbeatDue {
			r.sendImmediate(Message{Kind: Heartbeat, To: v.ID, Commit: min(p.match, r.log.commit), Context: r.heartbeatRound})
		}
		for r.replicate(v.ID, p) {
		}
	}
	r.heartbeatDue = false
}

// replicate sends one Append or snapshot to a member and reports whether there may
// be more to send.
func (r *Replica) replicate(id quorum.VoterID, p *progress) bool {
	if p.state == installing || p.state == probing && p.probeSent || len(p.inFlight) >= r.options.MaxInFlight {
		return false
	}
	t, known := r.log.term(p.next - 1)
	if !known {
		r.sendSnapshot(id, p)
		return false
	}
	es := r.log.slice(p.next, r.options.MaxAppendBytes)
	if len(es) == 0 && p.sentCommit >= r.log.commit && !p.forceAppend {
		return false
	}
	r.sendImmediate(Message{
		Kind: Append, To: id, LogIndex: p.next - 1, LogTerm: t,
		Commit: r.log.commit, Entries: es,
	})
	p.forceAppend = false
	p.sentCommit = r.log.commit
	if p.state == probing {
		p.probeSent = true
		return false
	}
	if len(es) == 0 {
		return false
	}
	p.next += quorum.Index(len(es))
	p.inFlight = append(p.inFlight, p.next-1)
	return true
}

func (r *Replica) sendSnapshot(id quorum.VoterID, p *progress) {
	s := r.snapshot
	p.state = installing
	p.snapshotIndex = s.Index
	p.snapshotTicks = 0
	p.snapshotTimeout = snapshotSendTimeouts * r.options.ElectionTicks
	p.inFlight = nil
	r.sendImmediate(Message{Kind: InstallSnapshot, To: id, Snapshot: &s})
}

// SnapshotSent reports to the replica whether the transport delivered a snapshot
// to a member. A member that received it answers with an AppendReply.
func (r *Replica) SnapshotSent(id quorum.VoterID, ok bool) {
	p := r.progress[id]
	if p == nil || p.state != installing {
		return
	}
	p.snapshotTimeout = snapshotInstallTimeouts * r.options.ElectionTicks
	p.snapshotTicks = 0
	if !ok {
		p.probe(p.match + 1)
		p.probeSent = true // The next heartbeat reply triggers another attempt.
	}
}

func (r *Replica) handleAppendReply(m Message) error {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return nil
	}
	p.active = true
	if m.Reject {
		r.handleReject(p, m)
		return nil
	}
	if m.LogIndex > r.log.last() {
		return errors.Errorf("voter %d holds entry %d of term %d, but the leader's log ends at %d",
			m.From, m.LogIndex, m.Term, r.log.last())
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.matchRound = r.heartbeatRound
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == installing && p.match >= p.snapshotIndex {
		p.probe(p.match + 1)
		p.state = replicating
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= m.LogIndex {
		p.inFlight = p.inFlight[1:]
	}
	r.advanceCommit()
	if m.From == r.transferee {
		r.sendTimeoutNow()
	}
	return nil
}

func (r *Replica) handleReject(p *progress, m Message) {
	stale := m.LogIndex <= p.match || p.state == probing && m.LogIndex != p.next-1 || p.state == installing
	if stale {
		return
	}
	i, _ := r.log.findConflict(m.Hint, m.LogTerm)
	p.probe(max(min(m.LogIndex, i+1), p.match+1))
}

func (r *Replica) handleHeartbeatReply(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active = true
	p.ackedRound = max(p.ackedRound, m.Context)
	// Within a term, a member never drops entries that it acknowledged to the
	// leader, so a shorter log in a later round proves that its disk lost entries.
	if m.Context > p.matchRound && m.LogIndex < p.match {
		p.lost = true
	}
	if p.lost {
		r.sendImmediate(Message{Kind: LostEntries, To: m.From, LogIndex: p.match, Hint: m.LogIndex})
	}
	if p.state == probing {
		p.probeSent = false
	}
	if len(p.inFlight) >= r.options.MaxInFlight {
		p.inFlight = p.inFlight[1:]
	}
	if p.match < r.log.last() {
		p.forceAppend = true
	}
}

// advanceCommit commits the entries that a majority of voters has synced, if the
// last of them belongs to the leader's term.
func (r *Replica) advanceCommit() {
	i := r.majorityMatch()
	if i <= r.log.commit || !r.log.matches(i, r.term) {
		return
	}
	r.log.commit = i
	for _, id := range r.deferredReads {
		r.queueRead(id)
	}
	r.deferredReads = nil
	r.resignIfRemoved()
}

// majorityMatch returns the highest index that a majority of the voters that decide in this
// term is known to have synced.
func (r *Replica) majorityMatch() quorum.Index {
	highest := quorum.Index(0)
	for _, v := range r.members() {
		i := r.matchIndex(v.ID)
		if i > highest && r.majority(r.excluded, func(id quorum.VoterID) bool { return r.matchIndex(id) >= i }) {
			highest = i
		}
	}
	return highest
}

// matchIndex returns the highest index that a member is known to have synced. It is
// 0 for a member that lost entries.
func (r *Replica) matchIndex(id quorum.VoterID) quorum.Index {
	if id == r.options.ID {
		return r.log.stable
	}
	p := r.progress[id]
	if p == nil || p.lost {
		return 0
	}
	return p.match
}

func (r *Replica) progressList() []Progress {
	var list []Progress
	for _, v := range r.members() {
		p := r.progress[v.ID]
		if p == nil {
			list = append(list, Progress{Voter: v, Match: r.log.stable, Active: true})
			continue
		}
		list = append(list, Progress{Voter: v, Match: p.match, Active: p.reachable(), Lost: p.lost})
	}
	return list
}
