package voter

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// outcomeTimeout is how long a proposal waits for its outcome after the replica
// lost the leadership, in election timeouts.
const outcomeTimeout = 4

// The log between snapshots is held in memory and read at the next start.
// Therefore its size in bytes is bounded as well as the number of its entries.
const (
	maxBytesBetweenSnapshots = 32 << 20
	maxRetainedBytes         = 4 << 20
)

// doneFunc is called with the outcome of a proposal or read. It must not block.
type doneFunc func(reply []byte, err error)

// pendingProposal is a proposal whose entry is not applied yet.
type pendingProposal struct {
	term                   quorum.Term
	ticksWithoutLeadership int
	done                   doneFunc
}

// pendingRead is a query that waits for a majority to confirm the leadership.
type pendingRead struct {
	data []byte
	done doneFunc
}

type memberConfig struct {
	group   quorum.GroupID
	options replica.Options
	initial []replica.Voter
	machine quorum.QueryableStateMachine
	disk    journal.Disk
	dir     string
	// send must not block. It may drop messages.
	send func(replica.Message)
	// background runs work in another goroutine, and then calls the function that
	// work returned in the goroutine that drives the member.
	background func(work func() (finish func()))
	// snapshotEntries is the number of applied entries between snapshots, and
	// retainedEntries the number that the log retains before a snapshot.
	snapshotEntries int
	retainedEntries int
	// allowJoin lets instances without a voter join.
	allowJoin bool
	// faultTolerance is the number of voters whose simultaneous loss the group must
	// survive.
	faultTolerance int
	logger         *zap.Logger
}

// member connects the replica of one group with its journal and state machine. It
// must be driven from one goroutine, which calls flush after each batch of inputs.
type member struct {
	memberConfig
	replica         *replica.Replica
	journal         *journal.Journal
	applied         quorum.Index
	snapshotIndex   quorum.Index
	storingSnapshot bool
	// appliedBytes is the size of the entries applied since the last snapshot was
	// taken.
	appliedBytes          int
	proposals             map[quorum.Index]pendingProposal
	reads                 map[uint64]pendingRead
	nextRead              uint64
	failure               error
	ticksSinceMaintenance int
	// absentRounds counts the calls of countAbsent in a row for which a member was
	// inactive or had lost entries.
	absentRounds map[quorum.VoterID]int
}

func openMember(c memberConfig) (*member, error) {
	j, stored, err := journal.Open(c.disk, c.dir)
	if err != nil {
		return nil, err
	}
	s := stored.Snapshot
	if s.Index == 0 {
		s.Voters = c.initial
	}
	r, err := replica.New(c.options, stored.State, s, stored.Entries)
	if err != nil {
		return nil, errors.Wrapf(err, "group %q", c.group)
	}
	m := &member{
		memberConfig: c, replica: r, journal: j,
		applied: s.Index, snapshotIndex: s.Index,
		proposals: make(map[quorum.Index]pendingProposal), reads: make(map[uint64]pendingRead),
		absentRounds: make(map[quorum.VoterID]int),
	}
	if s.Index > 0 {
		if err := c.machine.Restore(s.State); err != nil {
			return nil, errors.Wrapf(err, "group %q", c.group)
		}
	}
	return m, nil
}

// tick processes the n ticks that passed since the last call. If there are gapTicks
// or more, the process was probably suspended: tick then only tells the replica how
// many ticks it missed.
func (m *member) tick(n, gapTicks int) {
	if m.failure != nil {
		return
	}
	if n >= gapTicks {
		m.replica.MissedTicks(n)
		return
	}
	for range n {
		m.replica.Tick()
		m.expireProposals()
		m.maintainMembers()
	}
}

func (m *member) step(msg replica.Message) {
	if m.failure != nil {
		return
	}
	if err := m.replica.Step(msg); err != nil {
		m.fail(err)
	}
}

func (m *member) propose(command []byte, d doneFunc) {
	if m.failure != nil {
		d(nil, m.notRunning())
		return
	}
	i, t, err := m.replica.Propose(command)
	m.awaitOutcome(i, t, err, d)
}

func (m *member) change(c replica.Change, d doneFunc) {
	if m.failure != nil {
		d(nil, m.notRunning())
		return
	}
	if m.replica.NeedsAnnouncement(c) {
		i, t, err := m.replica.Announce(c)
		m.awaitOutcome(i, t, err, func(_ []byte, err error) {
			if err != nil {
				d(nil, err)
				return
			}
			m.change(c, d)
		})
		return
	}
	i, t, err := m.replica.ProposeChange(c)
	m.awaitOutcome(i, t, err, d)
}

// awaitOutcome registers d for the entry at index i and term t, or calls it at once
// if the proposal was rejected with err.
func (m *member) awaitOutcome(i quorum.Index, t quorum.Term, err error, d doneFunc) {
	if err != nil {
		d(nil, m.rejected(err))
		return
	}
	if old, ok := m.proposals[i]; ok {
		old.done(nil, outcomeUnknown(m.group, "another leader wrote at its place"))
	}
	m.proposals[i] = pendingProposal{term: t, done: d}
}

func (m *member) read(data []byte, d doneFunc) {
	if m.failure != nil {
		d(nil, m.notRunning())
		return
	}
	m.nextRead++
	if err := m.replica.Read(m.nextRead); err != nil {
		d(nil, m.rejected(err))
		return
	}
	m.reads[m.nextRead] = pendingRead{data: data, done: d}
}

// flush executes the effects of all inputs since the last flush.
func (m *member) flush() {
	for m.failure == nil {
		e := m.replica.Effects()
		if e.Empty() {
			return
		}
		if err := m.execute(e); err != nil {
			m.fail(err)
		}
	}
}

func (m *member) execute(e replica.Effects) error {
	m.sendAll(e.ImmediateMessages)
	if err := m.save(e); err != nil {
		return err
	}
	m.replica.Synced(e)
	m.sendAll(e.Messages)
	for _, en := range e.Committed {
		m.apply(en)
	}
	m.answerReads(e)
	return m.takeSnapshot()
}

func (m *member) save(e replica.Effects) error {
	if s := e.Snapshot; s != nil {
		if err := m.journal.InstallSnapshot(*s, e.State); err != nil {
			return err
		}
		if err := m.restore(s); err != nil {
			return err
		}
	}
	if !e.MustSync {
		return nil
	}
	return m.journal.Save(e.State, e.Entries)
}

func (m *member) restore(s *replica.Snapshot) error {
	if err := m.machine.Restore(s.State); err != nil {
		return errors.Wrapf(err, "group %q", m.group)
	}
	m.applied, m.snapshotIndex = s.Index, s.Index
	for i, p := range m.proposals {
		if i <= s.Index {
			delete(m.proposals, i)
			p.done(nil, outcomeUnknown(m.group, "the replica received a snapshot"))
		}
	}
	return nil
}

func (m *member) sendAll(ms []replica.Message) {
	for _, msg := range ms {
		m.send(msg)
	}
}

func (m *member) apply(e replica.Entry) {
	var reply []byte
	if e.Kind == replica.Command {
		reply = m.machine.Apply(e.Index, e.Data)
	}
	m.applied = e.Index
	m.appliedBytes += len(e.Data)
	p, ok := m.proposals[e.Index]
	if !ok {
		return
	}
	delete(m.proposals, e.Index)
	if p.term != e.Term {
		// The entry at this index is committed, so the proposed one never will be.
		p.done(nil, refusal.New(refusal.NotReady, "group %q: another leader replaced the command", m.group))
		return
	}
	p.done(reply, nil)
}

func (m *member) answerReads(e replica.Effects) {
	for _, r := range e.Reads {
		q := m.reads[r.ID]
		delete(m.reads, r.ID)
		q.done(m.machine.Query(q.data), nil)
	}
	for _, id := range e.FailedReads {
		q := m.reads[id]
		delete(m.reads, id)
		q.done(nil, m.rejected(replica.ErrNotLeader))
	}
}

// takeSnapshot copies the state machine if a snapshot is due, and stores the copy
// in the background: a leader that waits for the write of a large file sends no
// heartbeats and loses the leadership.
func (m *member) takeSnapshot() error {
	due := m.applied >= m.snapshotIndex+quorum.Index(m.snapshotEntries) || m.appliedBytes >= maxBytesBetweenSnapshots
	if !due || m.storingSnapshot {
		return nil
	}
	state, err := m.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "group %q: snapshot", m.group)
	}
	s := m.replica.MakeSnapshot(state)
	m.storingSnapshot = true
	m.appliedBytes = 0
	m.background(func() func() {
		p, err := m.journal.PrepareSnapshot(s)
		return func() { m.finishSnapshot(p, err) }
	})
	return nil
}

// finishSnapshot makes a prepared snapshot current and compacts the log before it.
func (m *member) finishSnapshot(p journal.PreparedSnapshot, err error) {
	// Flush first: the retained log must not contain entries that were not saved.
	// storingSnapshot stays set meanwhile, so that the flush does not start another
	// snapshot, which would replace this one before it is current.
	m.flush()
	m.storingSnapshot = false
	if m.failure != nil {
		return
	}
	if err != nil {
		m.fail(err)
		return
	}
	if p.Snapshot.Index <= m.snapshotIndex {
		return // The leader has sent a newer snapshot meanwhile.
	}
	m.replica.Compact(p.Snapshot, m.entriesToRetain(p.Snapshot.Index))
	if err := m.journal.Compact(p, m.replica.Retained()); err != nil {
		m.fail(err)
		return
	}
	m.snapshotIndex = p.Snapshot.Index
}

// entriesToRetain returns how many entries before a snapshot stay in the log: at most
// retainedEntries of at most maxRetainedBytes.
func (m *member) entriesToRetain(snapshot quorum.Index) int {
	size := 0
	n := 0
	for _, e := range slices.Backward(m.replica.Retained()) {
		if e.Index > snapshot {
			continue
		}
		size += len(e.Data)
		if n >= m.retainedEntries || size > maxRetainedBytes {
			break
		}
		n++
	}
	return n
}

// expireProposals ends proposals with an unknown outcome when the replica has been
// without the leadership for outcomeTimeout: it may never learn their outcome.
func (m *member) expireProposals() {
	if m.replica.Leader() == m.options.ID {
		return
	}
	for i, p := range m.proposals {
		p.ticksWithoutLeadership++
		m.proposals[i] = p
		if p.ticksWithoutLeadership >= outcomeTimeout*m.options.ElectionTicks {
			delete(m.proposals, i)
			p.done(nil, outcomeUnknown(m.group, "the leadership was lost"))
		}
	}
}

// maintainMembers runs once per election timeout. On the leader it proposes the
// next membership change, if any: a step in the replacement of a voter whose data
// folder was lost and, with allowJoin, the promotion of an additional voter or the
// removal of an absent member.
func (m *member) maintainMembers() {
	m.ticksSinceMaintenance++
	if m.ticksSinceMaintenance < m.options.ElectionTicks {
		return
	}
	m.ticksSinceMaintenance = 0
	if m.replica.Leader() != m.options.ID {
		return
	}
	s := m.replica.Status()
	c, ok := m.withdrawal(s.Voters)
	if !ok && m.allowJoin && s.Excluded != 0 {
		c, ok = replica.Change{Kind: replica.Remove, Voter: replica.Voter{ID: s.Excluded}}, true
	}
	if !ok {
		c, ok = nextReplacementStep(s.Progress, s.Commit, s.Excluded == 0)
	}
	if !ok && m.allowJoin {
		m.countAbsent(s.Progress)
		c, ok = nextPromotion(s.Progress, s.Commit)
	}
	if !ok && m.allowJoin {
		c, ok = m.nextRemoval(s.Progress)
	}
	if !ok {
		return
	}
	fields := []zap.Field{
		zap.String("group", string(m.group)), zap.Stringer("change", c.Kind), zap.Uint64("voter", uint64(c.Voter.ID)),
		zap.String("instance", string(c.Voter.Instance)),
	}
	m.logger.Info("A membership change was proposed.", fields...)
	m.change(c, func(_ []byte, err error) {
		if err != nil {
			m.logger.Info("A membership change was rejected; it will be proposed again.", append(fields, zap.Error(err))...)
		}
	})
}

// withdrawal returns the withdrawal of an announcement that was not followed by its change.
// Such an announcement may name a voter that the group needs when another one is lost.
func (m *member) withdrawal(members []replica.Voter) (replica.Change, bool) {
	k := slices.IndexFunc(members, func(v replica.Voter) bool { return v.Announced })
	if k < 0 || m.replica.ChangePending() {
		return replica.Change{}, false
	}
	return replica.Change{Kind: replica.Withdraw, Voter: members[k]}, true
}

// nextReplacementStep returns the next membership change of a replacement. Once the
// successor of a lost voter has caught up, the lost voter is removed and then the
// successor is promoted. In a group of three, the reverse order would first raise
// the required majority to 3 of 4, and the loss of the successor would then leave 2
// of 4 voters. While a leader was elected without a lost voter, mayPromote is false: that voter
// is removed first.
func nextReplacementStep(ps []replica.Progress, commit quorum.Index, mayPromote bool) (replica.Change, bool) {
	for i, old := range ps {
		inactive := !old.Active || old.Lost
		if inactive && old.Voter.Learner && hasSuccessor(ps[i+1:], old.Voter) {
			return replica.Change{Kind: replica.Remove, Voter: old.Voter}, true
		}
	}
	for _, p := range ps {
		if !p.Voter.Learner || p.Voter.Replaces == 0 || !p.Active || p.Match < commit {
			continue
		}
		k := slices.IndexFunc(ps, func(o replica.Progress) bool {
			return o.Voter.ID == p.Voter.Replaces && o.Voter.Instance == p.Voter.Instance
		})
		if k < 0 && mayPromote {
			return replica.Change{Kind: replica.Promote, Voter: p.Voter}, true
		}
		if k >= 0 && (!ps[k].Active || ps[k].Lost) {
			return replica.Change{Kind: replica.Remove, Voter: ps[k].Voter}, true
		}
	}
	return replica.Change{}, false
}

// nextPromotion returns the promotion of an additional voter that has caught up.
func nextPromotion(ps []replica.Progress, commit quorum.Index) (replica.Change, bool) {
	for _, p := range ps {
		if p.Voter.Learner && p.Voter.Replaces == 0 && p.Active && p.Match >= commit {
			return replica.Change{Kind: replica.Promote, Voter: p.Voter}, true
		}
	}
	return replica.Change{}, false
}

// maxAbsentRounds is the number of rounds of maintainMembers, one per election
// timeout, after which an absent voter may be removed.
const maxAbsentRounds = 5

func (m *member) countAbsent(ps []replica.Progress) {
	rounds := make(map[quorum.VoterID]int)
	for _, p := range ps {
		if !p.Active || p.Lost {
			rounds[p.Voter.ID] = m.absentRounds[p.Voter.ID] + 1
		}
	}
	m.absentRounds = rounds
}

// nextRemoval returns the removal of the member that has been absent for longest, and
// for maxAbsentRounds at least. A voter is removed only if the group can do without.
// Without the removal, an instance that left for good after its successor had joined
// would count towards the majority for ever. A removed member that returns joins again.
func (m *member) nextRemoval(ps []replica.Progress) (replica.Change, bool) {
	shrink := m.canShrink()
	var absent replica.Voter
	for _, p := range ps {
		n := m.absentRounds[p.Voter.ID]
		if n >= maxAbsentRounds && n > m.absentRounds[absent.ID] && (p.Voter.Learner || shrink) {
			absent = p.Voter
		}
	}
	return replica.Change{Kind: replica.Remove, Voter: absent}, absent.ID != 0
}

// canShrink reports whether the group may lose a voter for good: the others survive either
// faultTolerance further losses or as many as before. A group keeps at least two voters.
func (m *member) canShrink() bool {
	voters := 0
	for _, v := range m.replica.Status().Voters {
		if !v.Learner {
			voters++
		}
	}
	before, after := (voters-1)/2, (voters-2)/2
	return voters > 2 && after >= min(before, m.faultTolerance)
}

// hasSuccessor reports whether a member in later runs on the instance of v.
func hasSuccessor(later []replica.Progress, v replica.Voter) bool {
	return slices.ContainsFunc(later, func(p replica.Progress) bool { return p.Voter.Instance == v.Instance })
}

// join adds v as a learner that replaces the lost voter of its instance. With
// allowJoin, an instance without a voter becomes an additional voter. It replaces none
// that is only unreachable, since that one may return with its disk.
func (m *member) join(v replica.Voter, d doneFunc) {
	if m.failure != nil {
		d(nil, m.notRunning())
		return
	}
	s := m.replica.Status()
	if s.Role != replica.Leader {
		d(nil, m.rejected(replica.ErrNotLeader))
		return
	}
	if slices.ContainsFunc(s.Voters, func(o replica.Voter) bool { return o.ID == v.ID }) {
		d(nil, nil)
		return
	}
	lost, err := predecessor(s.Progress, v.Instance)
	if refusal.KindOf(err) == refusal.Forbidden && m.allowJoin {
		lost, err = 0, nil
	}
	if err != nil {
		d(nil, err)
		return
	}
	v.Replaces = lost
	m.change(replica.Change{Kind: replica.AddLearner, Voter: v}, d)
}

// leave removes a voter that is about to stop. Until then it counts towards the majority,
// and if it never returns, it would do so until nextRemoval finds it absent. The error has
// the kind refusal.Conflict if the group needs the voter, and d is called without an error
// only once the removal is committed. A majority confirms the leadership first: a former
// leader may have an old list of members.
func (m *member) leave(id quorum.VoterID, d doneFunc) {
	m.read(nil, func(_ []byte, err error) {
		if err != nil {
			d(nil, err)
			return
		}
		m.removeStopping(id, d)
	})
}

func (m *member) removeStopping(id quorum.VoterID, d doneFunc) {
	v, ok := m.replica.Voter(id)
	switch {
	case !ok && m.replica.ChangePending():
		d(nil, m.rejected(replica.ErrChangePending))
	case !ok:
		d(nil, nil)
	case !v.Learner && !m.canShrink():
		d(nil, refusal.New(refusal.Conflict, "group %q needs voter %d", m.group, id))
	default:
		m.change(replica.Change{Kind: replica.Remove, Voter: v}, d)
	}
}

// predecessor returns the voter of an instance whose data folder was lost. If its
// successor was lost as well before it was promoted, the result is still the
// original voter.
func predecessor(ps []replica.Progress, instance fleet.InstanceID) (quorum.VoterID, error) {
	lost := quorum.VoterID(0)
	for _, p := range ps {
		if p.Voter.Instance != instance {
			continue
		}
		if p.Active && !p.Lost {
			return 0, refusal.New(refusal.Conflict, "voter %d of instance %q is still running", p.Voter.ID, instance)
		}
		lost = p.Voter.ID
		if p.Voter.Learner && p.Voter.Replaces != 0 {
			lost = p.Voter.Replaces
		}
	}
	if lost == 0 {
		return 0, refusal.New(refusal.Forbidden, "instance %q has no voter to replace", instance)
	}
	return lost, nil
}

// stop ends all pending proposals and reads and closes the journal.
func (m *member) stop() error {
	m.fail(errors.New("voter is stopping"))
	return m.journal.Close()
}

// fail stops the replica for good and ends all pending proposals and reads. It
// sends nothing from then on, because the stored state is no longer known.
func (m *member) fail(err error) {
	if m.failure != nil {
		return
	}
	m.failure = err
	for i, p := range m.proposals {
		delete(m.proposals, i)
		p.done(nil, outcomeUnknown(m.group, err.Error()))
	}
	for id, q := range m.reads {
		delete(m.reads, id)
		q.done(nil, m.notRunning())
	}
}

// notRunning returns the error of requests after the replica has failed.
func (m *member) notRunning() error {
	return refusal.WithCause(refusal.NotReady, m.failure, "group %q does not run here", m.group)
}

// rejected returns the error of a request that was certainly not run. It names the
// leader if another replica leads.
func (m *member) rejected(err error) error {
	kind := refusal.NotReady
	if errors.Is(err, replica.ErrBusy) {
		kind = refusal.Overloaded
	}
	e := refusal.WithCause(kind, err, "group %q", m.group)
	if v, ok := m.replica.Voter(m.replica.Leader()); ok && v.ID != m.options.ID {
		return &leaderHint{refusal: e, address: v.Address, instance: v.Instance}
	}
	return e
}

// outcomeUnknown returns the error of a command that may or may not take effect.
func outcomeUnknown(g quorum.GroupID, reason string) error {
	return refusal.New(refusal.OutcomeUnknown, "group %q: outcome of the command is unknown: %s", g, reason)
}
