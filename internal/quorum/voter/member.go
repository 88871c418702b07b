package voter

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
)

// patience is the number of election timeouts that a proposal waits for its
// outcome after the replica lost the leadership.
const patience = 4

// The log between snapshots is held in memory and read at the next start, so its
// size is bounded besides the number of its entries.
const (
	snapshotBytes = 32 << 20
	keepBytes     = 4 << 20
)

// done receives the outcome of a proposal or read. It must not block.
type done func(reply []byte, err error)

type waiter struct {
	term quorum.Term
	age  int // ticks without leadership
	done done
}

type query struct {
	data []byte
	done done
}

type memberConfig struct {
	group   quorum.GroupID
	options replica.Options
	initial []replica.Voter
	machine quorum.Reader
	disk    journal.Disk
	dir     string
	// send must not block. It may drop messages.
	send func(replica.Message)
	// background calls work, and then the function that work returns from the
	// goroutine that drives the member.
	background func(work func() (finish func()))
	// snapshotEntries is the number of applied entries between snapshots, and
	// keepEntries the number that the log keeps before a snapshot.
	snapshotEntries int
	keepEntries     int
	// open lets instances without a voter join.
	open bool
}

// member runs the replica of one group against its journal and state machine. It
// is driven from one goroutine: inputs first, then flush.
type member struct {
	memberConfig
	replica   *replica.Replica
	journal   *journal.Journal
	applied   quorum.Index
	snapshot  quorum.Index
	preparing bool // a snapshot is being stored
	// appliedBytes is the size of the commands since the last snapshot.
	appliedBytes int
	waiters      map[quorum.Index]waiter
	reads        map[uint64]query
	nextRead     uint64
	failure      error
	leaderFor    int // ticks as the leader since the last housekeeping
	// absent counts the rounds of housekeeping in which a member did not answer.
	absent map[quorum.VoterID]int
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
		applied: s.Index, snapshot: s.Index,
		waiters: make(map[quorum.Index]waiter), reads: make(map[uint64]query),
		absent: make(map[quorum.VoterID]int),
	}
	if s.Index > 0 {
		if err := c.machine.Restore(s.State); err != nil {
			return nil, errors.Wrapf(err, "group %q", c.group)
		}
	}
	return m, nil
}

// tick tells that n ticks passed since the last call.
func (m *member) tick(n, gap int) {
	if m.failure != nil {
		return
	}
	if n >= gap {
		m.replica.Gap(n)
		return
	}
	for range n {
		m.replica.Tick()
		m.expire()
		m.housekeep()
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

func (m *member) propose(command []byte, d done) {
	if m.failure != nil {
		d(nil, m.refuse())
		return
	}
	i, t, err := m.replica.Propose(command)
	m.await(i, t, err, d)
}

func (m *member) change(c replica.Change, d done) {
	if m.failure != nil {
		d(nil, m.refuse())
		return
	}
	i, t, err := m.replica.ProposeChange(c)
	m.await(i, t, err, d)
}

func (m *member) await(i quorum.Index, t quorum.Term, err error, d done) {
	if err != nil {
		d(nil, m.notRun(err))
		return
	}
	if old, ok := m.waiters[i]; ok {
		old.done(nil, unknown(m.group, "another leader wrote at its place"))
	}
	m.waiters[i] = waiter{term: t, done: d}
}

func (m *member) read(data []byte, d done) {
	if m.failure != nil {
		d(nil, m.refuse())
		return
	}
	m.nextRead++
	if err := m.replica.Read(m.nextRead); err != nil {
		d(nil, m.notRun(err))
		return
	}
	m.reads[m.nextRead] = query{data: data, done: d}
}

// flush executes the effects of the inputs so far.
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
	m.sendAll(e.Early)
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
		if err := m.journal.Install(*s, e.State); err != nil {
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
	m.applied, m.snapshot = s.Index, s.Index
	for i, w := range m.waiters {
		if i <= s.Index {
			delete(m.waiters, i)
			w.done(nil, unknown(m.group, "the replica received a snapshot"))
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
	w, ok := m.waiters[e.Index]
	if !ok {
		return
	}
	delete(m.waiters, e.Index)
	if w.term != e.Term {
		// The entry at this index is final, so the other one never takes effect.
		w.done(nil, refusal.New(refusal.NotReady, "group %q: another leader replaced the command", m.group))
		return
	}
	w.done(reply, nil)
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
		q.done(nil, m.notRun(replica.ErrNotLeader))
	}
}

// takeSnapshot copies the state machine, and stores the copy in the background: a
// leader that waits for a large file sends no heartbeats and loses its place.
func (m *member) takeSnapshot() error {
	due := m.applied >= m.snapshot+quorum.Index(m.snapshotEntries) || m.appliedBytes >= snapshotBytes
	if !due || m.preparing {
		return nil
	}
	state, err := m.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "group %q: snapshot", m.group)
	}
	s := m.replica.MakeSnapshot(state)
	m.preparing = true
	m.appliedBytes = 0
	m.background(func() func() {
		p, err := m.journal.Prepare(s)
		return func() { m.finishSnapshot(p, err) }
	})
	return nil
}

// finishSnapshot drops the log before a stored snapshot.
func (m *member) finishSnapshot(p journal.Prepared, err error) {
	// The log that is kept must not run ahead of what was saved. The flush must not
	// start another snapshot, which would replace this one before it is in force.
	m.flush()
	m.preparing = false
	if m.failure != nil {
		return
	}
	if err != nil {
		m.fail(err)
		return
	}
	if p.Snapshot.Index <= m.snapshot {
		return // The leader sent a newer one meanwhile.
	}
	m.replica.Compact(p.Snapshot, m.keep(p.Snapshot.Index))
	if err := m.journal.Compact(p, m.replica.Retained()); err != nil {
		m.fail(err)
		return
	}
	m.snapshot = p.Snapshot.Index
}

// keep returns how many entries before a snapshot stay in the log, bounded in
// number and in bytes.
func (m *member) keep(snapshot quorum.Index) int {
	size := 0
	n := 0
	for _, e := range slices.Backward(m.replica.Retained()) {
		if e.Index > snapshot {
			continue
		}
		size += len(e.Data)
		if n >= m.keepEntries || size > keepBytes {
			break
		}
		n++
	}
	return n
}

// expire ends proposals whose outcome this replica may never learn.
func (m *member) expire() {
	if m.replica.Leader() == m.options.ID {
		return
	}
	for i, w := range m.waiters {
		w.age++
		m.waiters[i] = w
		if w.age >= patience*m.options.ElectionTicks {
			delete(m.waiters, i)
			w.done(nil, unknown(m.group, "the leadership was lost"))
		}
	}
}

// housekeep completes the replacement of voters whose data folder was lost.
func (m *member) housekeep() {
	m.leaderFor++
	if m.leaderFor < m.options.ElectionTicks {
		return
	}
	m.leaderFor = 0
	if m.replica.Leader() != m.options.ID {
		return
	}
	s := m.replica.Status()
	c, ok := nextChange(s.Progress, s.Commit)
	if !ok && m.open {
		m.countAbsent(s.Progress)
		c, ok = nextAddition(s.Progress, s.Commit)
	}
	if !ok && m.open {
		c, ok = m.nextRemoval(s.Progress)
	}
	if ok {
		// A refused change is tried again after the next pause.
		_, _, _ = m.replica.ProposeChange(c)
	}
}

// nextChange returns the next step of a replacement. Once the successor of a
// lost voter has caught up, the lost voter is removed and then the successor is
// promoted. The other order would raise the majority first, and the loss of the
// successor would then leave 2 of 4 voters.
func nextChange(ps []replica.Progress, commit quorum.Index) (replica.Change, bool) {
	for i, old := range ps {
		gone := !old.Active || old.Lost
		if gone && old.Voter.Learner && hasSuccessor(ps[i+1:], old.Voter) {
			return replica.Change{Kind: replica.Remove, Voter: old.Voter}, true
		}
	}
	for _, p := range ps {
		if !p.Voter.Learner || p.Voter.Replaces == 0 || !p.Active || p.Match < commit {
			continue
		}
		k := slices.IndexFunc(ps, func(o replica.Progress) bool { return o.Voter.ID == p.Voter.Replaces })
		if k < 0 {
			return replica.Change{Kind: replica.Promote, Voter: p.Voter}, true
		}
		if !ps[k].Active || ps[k].Lost {
			return replica.Change{Kind: replica.Remove, Voter: ps[k].Voter}, true
		}
	}
	return replica.Change{}, false
}

// nextAddition returns the promotion of an additional voter that has caught up.
func nextAddition(ps []replica.Progress, commit quorum.Index) (replica.Change, bool) {
	for _, p := range ps {
		if p.Voter.Learner && p.Voter.Replaces == 0 && p.Active && p.Match >= commit {
			return replica.Change{Kind: replica.Promote, Voter: p.Voter}, true
		}
	}
	return replica.Change{}, false
}

// absentRounds is the number of rounds of housekeeping, each an election timeout,
// after which an absent voter is removed if that lowers the majority.
const absentRounds = 8

func (m *member) countAbsent(ps []replica.Progress) {
	absent := make(map[quorum.VoterID]int)
	for _, p := range ps {
		if !p.Active || p.Lost {
			absent[p.Voter.ID] = m.absent[p.Voter.ID] + 1
		}
	}
	m.absent = absent
}

// nextRemoval returns the removal of a voter that has been absent for a while, if
// the number of voters is even: one voter less needs a smaller majority. Without
// it, the place of an instance that left for good after its successor had come
// would count against the group for ever. A voter that comes back joins again.
func (m *member) nextRemoval(ps []replica.Progress) (replica.Change, bool) {
	voters := 0
	var gone replica.Voter
	for _, p := range ps {
		if p.Voter.Learner {
			continue
		}
		voters++
		if m.absent[p.Voter.ID] >= absentRounds {
			gone = p.Voter
		}
	}
	if gone.ID == 0 || voters <= 2 || voters%2 != 0 {
		return replica.Change{}, false
	}
	return replica.Change{Kind: replica.Remove, Voter: gone}, true
}

func hasSuccessor(later []replica.Progress, v replica.Voter) bool {
	return slices.ContainsFunc(later, func(p replica.Progress) bool { return p.Voter.Instance == v.Instance })
}

// join adds a learner that takes the place of a lost member of its instance.
func (m *member) join(v replica.Voter, d done) {
	if m.failure != nil {
		d(nil, m.refuse())
		return
	}
	s := m.replica.Status()
	if s.Role != replica.Leader {
		d(nil, m.notRun(replica.ErrNotLeader))
		return
	}
	if slices.ContainsFunc(s.Voters, func(o replica.Voter) bool { return o.ID == v.ID }) {
		d(nil, nil)
		return
	}
	lost, err := predecessor(s.Progress, v.Instance)
	if refusal.KindOf(err) == refusal.Forbidden && m.open {
		lost, err = vacancy(s.Progress), nil
	}
	if err != nil {
		d(nil, err)
		return
	}
	v.Replaces = lost
	m.change(replica.Change{Kind: replica.AddLearner, Voter: v}, d)
}

// predecessor returns the voter of an instance whose folder was lost. When its
// successor was lost as well, it is still the first one.
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

// vacancy returns a voter that is gone and has no successor yet, or 0.
func vacancy(ps []replica.Progress) quorum.VoterID {
	for _, p := range ps {
		taken := slices.ContainsFunc(ps, func(o replica.Progress) bool { return o.Voter.Replaces == p.Voter.ID })
		if !p.Voter.Learner && (!p.Active || p.Lost) && !taken {
			return p.Voter.ID
		}
	}
	return 0
}

// stop ends all proposals and reads and closes the journal.
func (m *member) stop() error {
	m.fail(errors.New("voter is stopping"))
	return m.journal.Close()
}

// fail ends the replica. Nothing is sent any more, because the stored state is
// no longer known.
func (m *member) fail(err error) {
	if m.failure != nil {
		return
	}
	m.failure = err
	for i, w := range m.waiters {
		delete(m.waiters, i)
		w.done(nil, unknown(m.group, err.Error()))
	}
	for id, q := range m.reads {
		delete(m.reads, id)
		q.done(nil, m.refuse())
	}
}

func (m *member) refuse() error {
	return refusal.Because(refusal.NotReady, m.failure, "group %q does not run here", m.group)
}

func (m *member) notRun(err error) error {
	kind := refusal.NotReady
	if errors.Is(err, replica.ErrBusy) {
		kind = refusal.Overloaded
	}
	e := refusal.Because(kind, err, "group %q", m.group)
	if v, ok := m.replica.Voter(m.replica.Leader()); ok && v.ID != m.options.ID {
		return &leaderHint{refusal: e, address: v.Address, instance: v.Instance}
	}
	return e
}

func unknown(g quorum.GroupID, why string) error {
	return refusal.New(refusal.OutcomeUnknown, "group %q: outcome of the command is unknown: %s", g, why)
}
