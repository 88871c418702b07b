package voter

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/quorumtest"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// electionTicks is short, so that a schedule holds many elections.
const electionTicks = 5

// world runs the members of one group in one goroutine, without clock and
// network, and checks the invariants after each step.
type world struct {
	random  *rand.Rand
	sites   []*place
	initial []replica.Voter
	net     []replica.Message
	// transfers are snapshots whose end the sender was not told yet.
	transfers []replica.Message
	cuts      map[[2]fleet.InstanceID]bool
	nextID    quorum.VoterID
	// newcomers lets instances without a voter join.
	newcomers bool
	faults    int   // in 1000 steps
	sent      int   // messages, some of which are checked
	broken    error // first violated invariant

	leaders  map[quorum.Term]quorum.VoterID
	entries  map[position]mark
	history  map[quorum.Index]uint64 // hash of the state after a command
	commands map[string]quorum.Index // applied commands
	acked    quorum.Index            // highest index of an answered command
	promised []string                // commands that were reported as not run
	counts   map[string]int
	log      []string // outcomes, for scripted cases
}

// place is one instance with its disk.
type place struct {
	w        *world
	instance fleet.InstanceID
	id       quorum.VoterID
	joined   bool // member of the initial set
	disk     *quorumtest.Disk
	member   *member
	frozen   int // ticks missed
	asleep   bool
	voters   []replica.Voter // newest members that the place knew
	term     quorum.Term
	saved    stored // what it acknowledged as synced
	lied     bool
	slow     bool // its clock runs at a quarter of the speed
	state    chain
	work     func() func() // stores a snapshot
	finishes []func()      // to call after the work
}

type position struct {
	index quorum.Index
	term  quorum.Term
}

// stored tells two logs of a place apart, apart from their commit index.
type stored struct {
	term quorum.Term
	last position
}

type mark struct {
	hash     uint64
	previous quorum.Term
}

// chain is a state machine whose state is a hash over all commands.
type chain struct {
	p     *place
	index quorum.Index
	hash  uint64
}

func (c *chain) Apply(i quorum.Index, command []byte) []byte {
	b := binary.BigEndian.AppendUint64(nil, c.hash)
	b = binary.BigEndian.AppendUint64(b, uint64(i))
	c.hash = xxhash.Sum64(append(b, command...))
	c.index = i
	w := c.p.w
	if h, ok := w.history[i]; ok && h != c.hash {
		w.violate("instance %s applied another history up to %d", c.p.instance, i)
	}
	w.history[i] = c.hash
	w.commands[string(command)] = i
	if slices.Contains(w.promised, string(command)) {
		w.violate("command %q was applied after it was reported as not run", command)
	}
	return binary.BigEndian.AppendUint64(nil, uint64(i))
}

func (c *chain) Snapshot() ([]byte, error) {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.index))
	return binary.BigEndian.AppendUint64(b, c.hash), nil
}

func (c *chain) Restore(b []byte) error {
	c.index, c.hash = quorum.Index(binary.BigEndian.Uint64(b)), binary.BigEndian.Uint64(b[8:])
	if c.index > 0 && c.p.w.history[c.index] != c.hash {
		c.p.w.violate("instance %s restored another history up to %d", c.p.instance, c.index)
	}
	return nil
}

func (c *chain) Query([]byte) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(c.index))
}

func newWorld(seed uint64, n int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), cuts: make(map[[2]fleet.InstanceID]bool), nextID: 100,
		leaders: make(map[quorum.Term]quorum.VoterID), entries: make(map[position]mark),
		history: make(map[quorum.Index]uint64), commands: make(map[string]quorum.Index), counts: make(map[string]int),
	}
	for i := range n {
		p := &place{w: w, id: quorum.VoterID(i + 1), instance: fleet.InstanceID(fmt.Sprint(i + 1)), joined: true, disk: quorumtest.NewDisk()}
		w.sites = append(w.sites, p)
		w.initial = append(w.initial, replica.Voter{ID: p.id, Instance: p.instance})
	}
	for _, p := range w.sites {
		p.voters = w.initial
		if err := p.open(); err != nil {
			w.violate("%v", err)
		}
	}
	return w
}

func (w *world) violate(format string, args ...any) {
	if w.broken == nil {
		w.broken = errors.Errorf(format, args...)
	}
}

// open starts the member on its disk.
func (p *place) open() error {
	c := memberConfig{
		group: "test", machine: &p.state, disk: p.disk, dir: "data",
		options: replica.Options{ID: p.id, Seed: p.w.random.Uint64(), MaxInFlight: 4, MaxAppendBytes: 64},
		send:    p.send, snapshotEntries: 20, keepEntries: 5,
		background: p.background, open: p.w.newcomers,
	}
	c.options.ElectionTicks, c.options.HeartbeatTicks = electionTicks, 1
	if p.joined {
		c.initial = p.w.initial
	}
	p.state, p.work, p.finishes = chain{p: p}, nil, nil
	m, err := openMember(c)
	if err != nil {
		return err
	}
	p.member, p.frozen, p.asleep = m, 0, false
	p.flush()
	return nil
}

func (p *place) send(m replica.Message) {
	p.w.sent++
	if !p.lied && !m.Reject && p.w.sent%8 == 0 {
		p.checkDurable(m)
	}
	if m.Kind == replica.InstallSnapshot {
		p.w.transfers = append(p.w.transfers, m)
	}
	if to := p.w.byID(m.To); to != nil && !p.w.cuts[[2]fleet.InstanceID{p.instance, to.instance}] {
		p.w.net = append(p.w.net, m)
	}
}

// checkDurable checks that a power loss now would not take back what a message
// promises.
func (p *place) checkDurable(m replica.Message) {
	if m.Kind != replica.Vote && m.Kind != replica.VoteReply && m.Kind != replica.AppendReply {
		return
	}
	_, s, err := journal.Open(p.disk.Copy(), "data")
	last := s.Snapshot.Index
	if n := len(s.Entries); n > 0 {
		last = max(last, s.Entries[n-1].Index)
	}
	vote := m.Kind == replica.VoteReply && s.State.Vote != m.To || m.Kind == replica.Vote && s.State.Vote != p.id
	entry := m.Kind == replica.AppendReply && last < m.LogIndex
	if err != nil || s.State.Term < m.Term || vote || entry {
		p.w.violate("voter %d sent a %s of term %d that was not synced (%+v, %v)", p.id, m.Kind, m.Term, s.State, err)
	}
}

func (w *world) byID(id quorum.VoterID) *place {
	for _, p := range w.sites {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (p *place) runs() bool { return p.member != nil && !p.asleep }

// flush executes the effects and checks the invariants of this member.
func (p *place) flush() {
	p.member.flush()
	if err := p.member.failure; err != nil {
		var lost *replica.LostError
		if !errors.Is(err, quorumtest.ErrDisk) && !errors.As(err, &lost) {
			p.w.violate("voter %d failed: %v", p.id, err)
		}
		return
	}
	r := p.member.replica
	if r.Leader() == p.id {
		if other, ok := p.w.leaders[r.Term()]; ok && other != p.id {
			p.w.violate("voters %d and %d lead term %d", other, p.id, r.Term())
		}
		p.w.leaders[r.Term()] = p.id
	}
	if r.Term() < p.term {
		p.w.violate("term of voter %d fell from %d to %d", p.id, p.term, r.Term())
	}
	p.term = r.Term()
	s := r.Status()
	p.voters = s.Voters
	p.saved = p.stored(s)
	p.checkLog()
}

func (p *place) stored(s replica.Status) stored {
	last := position{index: s.Last}
	if es := p.member.replica.Retained(); len(es) > 0 {
		last.term = es[len(es)-1].Term
	}
	return stored{term: s.Term, last: last}
}

// checkLog checks that entries with equal index and term are equal, and so are
// the entries before them.
func (p *place) checkLog() {
	previous := quorum.Term(0)
	for k, e := range p.member.replica.Retained() {
		at := position{e.Index, e.Term}
		m := mark{hash: xxhash.Sum64(e.Data) + uint64(e.Kind), previous: previous}
		known, ok := p.w.entries[at]
		if !ok && k > 0 {
			p.w.entries[at] = m
		}
		if ok && (known.hash != m.hash || k > 0 && known.previous != m.previous) {
			p.w.violate("voter %d has another entry %d of term %d", p.id, e.Index, e.Term)
		}
		previous = e.Term
	}
}

func (p *place) tick(n int) {
	p.member.tick(n, electionTicks)
	p.runBackground() // before the flush, as in a batch of inputs
	p.flush()
}

// background stores a snapshot at once or at a later tick, and finishes it later.
func (p *place) background(work func() func()) {
	if p.work != nil {
		p.w.violate("voter %d stores two snapshots at once", p.id)
	}
	p.work = work
	if p.w.random.IntN(2) == 0 {
		p.doWork()
	}
}

func (p *place) doWork() {
	p.finishes = append(p.finishes, p.work())
	p.work = nil
}

func (p *place) runBackground() {
	switch {
	case p.work == nil && len(p.finishes) == 0 || p.w.random.IntN(3) > 0:
	case len(p.finishes) > 0:
		finish := p.finishes[0]
		p.finishes = p.finishes[1:]
		finish()
	case p.work != nil:
		p.doWork()
	}
}

// thaw lets a frozen member run again. It counts the missed ticks first, as
// group.run does.
func (p *place) thaw() {
	p.asleep = false
	missed := p.frozen
	p.frozen = 0
	p.tick(missed)
}

// deliver hands over message k, unless the receiver can't get it.
func (w *world) deliver(k int, keep bool) {
	m := w.net[k]
	to, from := w.byID(m.To), w.byID(m.From)
	if to != nil && to.member != nil && to.asleep {
		return
	}
	if !keep {
		w.net = slices.Delete(w.net, k, k+1)
	}
	if to == nil || from == nil || to.member == nil || w.cuts[[2]fleet.InstanceID{from.instance, to.instance}] {
		return
	}
	to.member.step(m)
	to.flush()
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

// endTransfers tells the senders of snapshots that these were handed over, or in
// some cases that they failed.
func (w *world) endTransfers() {
	for _, m := range w.transfers {
		if p := w.byID(m.From); p != nil && p.runs() {
			p.member.replica.SnapshotSent(m.To, w.random.IntN(4) > 0)
		}
	}
	w.transfers = nil
}

func (w *world) deliverAll() {
	for len(w.net) > 0 && w.broken == nil {
		w.deliver(0, false)
	}
}

func (p *place) propose(command string) {
	p.member.propose([]byte(command), func(reply []byte, err error) {
		p.w.note("%s: %s", command, outcome(err))
		switch refusal.KindOf(err) {
		case refusal.NotReady, refusal.Overloaded:
			p.w.counts["notRun"]++
			p.w.promised = append(p.w.promised, command)
			if _, ok := p.w.commands[command]; ok {
				p.w.violate("command %q was reported as not run after it was applied", command)
			}
		case refusal.OutcomeUnknown:
			p.w.counts["unknown"]++
		default:
			p.w.counts["acknowledged"]++
			p.w.acked = max(p.w.acked, quorum.Index(binary.BigEndian.Uint64(reply)))
		}
	})
	p.flush()
}

func (p *place) read() {
	atLeast := p.w.acked
	p.member.read(nil, func(reply []byte, err error) {
		p.w.note("read at %d: %s", p.id, outcome(err))
		if err != nil {
			p.w.counts["readFailed"]++
			return
		}
		p.w.counts["read"]++
		if got := quorum.Index(binary.BigEndian.Uint64(reply)); got < atLeast {
			p.w.violate("voter %d answered a read at %d after %d was acknowledged", p.id, got, atLeast)
		}
	})
	p.flush()
}

// kill ends the process. With power loss, unsynced content is lost too.
func (p *place) kill(power bool) {
	if p.member != nil {
		_ = p.member.stop()
	}
	p.member = nil
	if power {
		p.disk.PowerLoss(p.w.random)
	}
}

// restart opens the folder again. What a lying disk lost may be damage that the
// journal reports, or a shorter log that it can't tell from a crash; both are
// treated as the replacement of the voter by the operator.
func (p *place) restart() {
	if p.lied {
		p.lied = false
		p.disk.Lie(false)
		p.term = 0
		saved := p.saved
		err := p.open()
		if err == nil && p.stored(p.member.replica.Status()) == saved {
			return
		}
		p.w.counts["lieDetected"] += one(err != nil)
		p.w.counts["lieUndetected"] += one(err == nil)
		p.replace()
		return
	}
	if err := p.open(); err != nil && !errors.Is(err, quorumtest.ErrDisk) {
		p.w.violate("restart of voter %d: %v", p.id, err)
	}
}

// replace starts the instance with an empty disk under a new id.
func (p *place) replace() {
	p.kill(false)
	p.disk = quorumtest.NewDisk()
	p.w.nextID++
	p.id, p.joined, p.lied, p.term, p.saved, p.voters = p.w.nextID, false, false, 0, stored{}, nil
	p.restart()
}

// add starts a new instance with an empty disk.
func (w *world) add() {
	w.nextID++
	p := &place{w: w, id: w.nextID, instance: fleet.InstanceID(fmt.Sprint(len(w.sites) + 1)), disk: quorumtest.NewDisk()}
	w.sites = append(w.sites, p)
	p.restart()
}

// join asks a place to add the own voter.
func (p *place) join(at *place) {
	at.member.join(replica.Voter{ID: p.id, Instance: p.instance}, func([]byte, error) {})
	at.flush()
}

// mayLose reports whether all groups of members that some place believes in keep
// a majority without the place. A learner that was lost counts as a voter: the
// leader may promote it before it notices the loss, and no leader survives the
// loss of a majority within one election timeout.
func (w *world) mayLose(lost *place) bool {
	for _, p := range w.sites {
		alive, voters, deadLearners := 0, 0, 0
		for _, v := range p.voters {
			o := w.byID(v.ID)
			runs := o != nil && o != lost && !o.lied
			if v.Learner {
				deadLearners += one(!runs)
				continue
			}
			voters++
			alive += one(runs)
		}
		if p != lost && voters > 0 && alive <= (voters+min(deadLearners, 1))/2 {
			return false
		}
	}
	return true
}

// settle ends all faults and runs until all places applied the same history.
func (w *world) settle() error {
	clear(w.cuts)
	for _, p := range w.sites {
		p.disk.FailSyncs(0)
		if p.member != nil && p.member.failure != nil || p.lied {
			p.kill(p.lied)
		}
		if p.member == nil {
			p.restart()
		} else if p.asleep {
			p.thaw()
		}
	}
	for round := range 2000 {
		w.endTransfers()
		for _, p := range w.sites {
			p.tick(1)
		}
		w.deliverAll()
		if round%10 == 0 {
			w.joinAll()
		}
		if w.broken != nil || w.settled(round) {
			return w.broken
		}
	}
	return errors.New("members did not settle")
}

func (w *world) joinAll() {
	for _, p := range w.sites {
		for _, at := range w.sites {
			if p.mustJoin() && at.runs() {
				p.join(at)
			}
		}
	}
}

// mustJoin reports whether a place asks to join, as Voter.join decides.
func (p *place) mustJoin() bool {
	lonely := p.w.newcomers && p.runs() && p.member.replica.Leader() == 0
	return !p.isVoter() || lonely
}

func (p *place) isVoter() bool {
	return slices.ContainsFunc(p.voters, func(v replica.Voter) bool { return v.ID == p.id && !v.Learner })
}

// settled reports whether a last command was acknowledged and applied everywhere
// by exactly the running voters.
func (w *world) settled(round int) bool {
	final := fmt.Sprintf("final %d", round)
	before := w.counts["acknowledged"]
	for _, p := range w.sites {
		if len(p.voters) != len(w.sites) || !p.isVoter() {
			return false
		}
	}
	for _, p := range w.sites {
		if p.member.replica.Leader() == p.id && w.counts["acknowledged"] == before {
			p.propose(final)
		}
	}
	for range 40 {
		for _, p := range w.sites {
			p.tick(1)
		}
		w.deliverAll()
	}
	for _, p := range w.sites {
		if w.broken != nil || w.counts["acknowledged"] == before || p.state.index < w.acked {
			return false
		}
	}
	return true
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return refusal.KindOf(err).Answer().Code
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
