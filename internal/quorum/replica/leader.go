package replica

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// Election timeouts after which a leader tries again to reach a member that was
// sent a snapshot: while the transport sends it, and after it was handed over. The
// first is longer than the transport tries.
const (
	transferTimeouts = 100
	installTimeouts  = 4
)

type flow int

const (
	probing flow = iota // one Append at a time, until a match is found
	replicating
	installing // waits for a snapshot to arrive
)

// progress is what the leader knows about another member.
type progress struct {
	match, next quorum.Index
	flow        flow
	probed      bool           // an Append is on its way while probing
	inFlight    []quorum.Index // last entries of unanswered Appends
	poke        bool           // send an empty Append to find out what is missing
	sentCommit  quorum.Index
	installed   quorum.Index
	waited      int  // ticks since the snapshot was sent
	patience    int  // ticks to wait
	active      bool // answered since the last check of the quorum
	recent      bool // answered in the period before
	lost        bool
	ackContext  uint64
	// matchContext is the heartbeat round in which match was reached. A reply to
	// a later round must show at least match.
	matchContext uint64
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.options.ID
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.transfer = 0
	r.progress = make(map[quorum.VoterID]*progress)
	// Only entries of the own term are committed by counting, so the new leader
	// appends one at once.
	r.appendOwn(Blank, nil)
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
	r.transfer = 0
	if !r.majority(func(p *progress) bool { return p.active }) {
		r.becomeFollower(r.term, 0)
		return
	}
	for _, p := range r.progress {
		p.recent = p.active
		p.active = false
	}
}

func (p *progress) tick() {
	if p.flow != installing {
		return
	}
	p.waited++
	if p.waited >= p.patience {
		p.probe(p.match + 1)
	}
}

func (p *progress) reachable() bool { return p.active || p.recent }

func (p *progress) probe(next quorum.Index) {
	p.flow = probing
	p.next = next
	p.probed = false
	p.inFlight = nil
}

// majority reports whether f holds for a majority of voters. The replica itself
// counts as true, when it is a voter.
func (r *Replica) majority(f func(p *progress) bool) bool {
	yes, voters := 0, 0
	for _, v := range r.voters() {
		if v.Learner {
			continue
		}
		voters++
		if p := r.progress[v.ID]; v.ID == r.options.ID || p != nil && !p.lost && f(p) {
			yes++
		}
	}
	return yes > voters/2
}

// Propose appends a command. The owner finds it again by its index and term: the
// command took effect if and only if an entry with both is handed out as
// committed.
func (r *Replica) Propose(command []byte) (quorum.Index, quorum.Term, error) {
	if err := r.mayPropose(); err != nil {
		return 0, 0, err
	}
	return r.appendOwn(Command, command), r.term, nil
}

func (r *Replica) mayPropose() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transfer != 0 {
		return ErrTransfer
	}
	if r.log.last()-r.log.commit >= quorum.Index(r.options.MaxUncommitted) {
		return ErrBusy
	}
	return nil
}

func (r *Replica) appendOwn(k EntryKind, data []byte) quorum.Index {
	e := Entry{Kind: k, Term: r.term, Index: r.log.last() + 1, Data: data}
	// Own entries are well-formed, so this can't fail.
	_ = r.appendLocal(e)
	return e.Index
}

// Read asks for a read. Effects returns its id in Reads once a majority has
// confirmed that the replica still leads, or in FailedReads.
func (r *Replica) Read(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if t, _ := r.log.term(r.log.commit); t != r.term {
		r.early = append(r.early, id)
		return nil
	}
	r.addRead(id)
	return nil
}

func (r *Replica) addRead(id uint64) {
	r.reads = append(r.reads, pendingRead{id: id, index: r.log.commit, context: r.context + 1})
	r.heartbeatDue = true
}

// confirmReads hands out the reads whose heartbeat round a majority answered.
func (r *Replica) confirmReads() {
	for len(r.reads) > 0 {
		d := r.reads[0]
		if d.context > r.context || !r.majority(func(p *progress) bool { return p.ackContext >= d.context }) {
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
	r.pending.FailedReads = append(r.pending.FailedReads, r.early...)
	r.reads, r.early = nil, nil
}

// Transfer asks an up-to-date voter to take over. The transfer is given up after
// an election timeout; until then no proposals are accepted.
func (r *Replica) Transfer(to quorum.VoterID) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	v, ok := find(r.voters(), to)
	p := r.progress[to]
	if !ok || v.Learner || p == nil || !p.reachable() || p.lost {
		return errors.Errorf("voter %d can't take over", to)
	}
	r.transfer = to
	r.electionElapsed = 0
	r.finishTransfer()
	return nil
}

func (r *Replica) finishTransfer() {
	p := r.progress[r.transfer]
	if p != nil && p.match == r.log.last() {
		r.sendEarly(Message{Kind: TimeoutNow, To: r.transfer})
	}
}

// broadcast sends what each member is missing. It runs once for a batch of
// inputs, so that the proposals of a batch share a message.
func (r *Replica) broadcast() {
	if r.heartbeatDue {
		r.context++
	}
	for _, v := range r.voters() {
		p := r.progress[v.ID]
		if p == nil {
			continue
		}
		if r.heartbeatDue {
			r.sendEarly(Message{Kind: Heartbeat, To: v.ID, Commit: min(p.match, r.log.commit), Context: r.context})
		}
		for r.replicate(v.ID, p) {
		}
	}
	r.heartbeatDue = false
}

// replicate sends one Append or snapshot, and reports whether there may be more
// to send.
func (r *Replica) replicate(id quorum.VoterID, p *progress) bool {
	if p.flow == installing || p.flow == probing && p.probed || len(p.inFlight) >= r.options.MaxInFlight {
		return false
	}
	t, known := r.log.term(p.next - 1)
	if !known {
		r.sendSnapshot(id, p)
		return false
	}
	es := r.log.slice(p.next, r.options.MaxAppendBytes)
	if len(es) == 0 && p.sentCommit >= r.log.commit && !p.poke {
		return false
	}
	r.sendEarly(Message{
		Kind: Append, To: id, LogIndex: p.next - 1, LogTerm: t,
		Commit: r.log.commit, Entries: es,
	})
	p.poke = false
	p.sentCommit = r.log.commit
	if p.flow == probing {
		p.probed = true
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
	p.flow = installing
	p.installed = s.Index
	p.waited = 0
	p.patience = transferTimeouts * r.options.ElectionTicks
	p.inFlight = nil
	r.sendEarly(Message{Kind: InstallSnapshot, To: id, Snapshot: &s})
}

// SnapshotSent tells whether the transport handed a snapshot over to a member. A
// member that got it answers with an AppendReply.
func (r *Replica) SnapshotSent(id quorum.VoterID, ok bool) {
	p := r.progress[id]
	if p == nil || p.flow != installing {
		return
	}
	p.patience = installTimeouts * r.options.ElectionTicks
	p.waited = 0
	if !ok {
		p.probe(p.match + 1)
		p.probed = true // The next heartbeat reply starts another try.
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
		p.matchContext = r.context
	}
	p.next = max(p.next, p.match+1)
	if p.flow == probing || p.flow == installing && p.match >= p.installed {
		p.probe(p.match + 1)
		p.flow = replicating
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= m.LogIndex {
		p.inFlight = p.inFlight[1:]
	}
	r.advanceCommit()
	if m.From == r.transfer {
		r.finishTransfer()
	}
	return nil
}

func (r *Replica) handleReject(p *progress, m Message) {
	stale := m.LogIndex <= p.match || p.flow == probing && m.LogIndex != p.next-1 || p.flow == installing
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
	p.ackContext = max(p.ackContext, m.Context)
	// Within a term a member never drops what it acknowledged to the leader, so
	// a shorter log in a later round proves that its disk lost entries.
	if m.Context > p.matchContext && m.LogIndex < p.match {
		p.lost = true
	}
	if p.lost {
		r.sendEarly(Message{Kind: LostEntries, To: m.From, LogIndex: p.match, Hint: m.LogIndex})
	}
	if p.flow == probing {
		p.probed = false
	}
	if len(p.inFlight) >= r.options.MaxInFlight {
		p.inFlight = p.inFlight[1:]
	}
	if p.match < r.log.last() {
		p.poke = true
	}
}

// advanceCommit commits what a majority of voters has synced, if it belongs to
// the leader's term.
func (r *Replica) advanceCommit() {
	var matches []quorum.Index
	for _, v := range r.voters() {
		if v.Learner {
			continue
		}
		matches = append(matches, r.matchOf(v.ID))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	i := matches[(len(matches)-1)/2]
	if i <= r.log.commit || !r.log.matches(i, r.term) {
		return
	}
	r.log.commit = i
	for _, id := range r.early {
		r.addRead(id)
	}
	r.early = nil
	r.resignIfRemoved()
}

func (r *Replica) matchOf(id quorum.VoterID) quorum.Index {
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
	for _, v := range r.voters() {
		p := r.progress[v.ID]
		if p == nil {
			list = append(list, Progress{Voter: v, Match: r.log.stable, Active: true})
			continue
		}
		list = append(list, Progress{Voter: v, Match: p.match, Active: p.reachable(), Lost: p.lost})
	}
	return list
}
