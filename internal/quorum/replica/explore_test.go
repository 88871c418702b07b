package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var (
	walks     = flag.Int("walks", 2000, "number of random walks for each group")
	walkSteps = flag.Int("walkSteps", 60, "steps of a random walk")
	firstWalk = flag.Uint64("walk", 1, "seed of the first random walk")
)

// walk drives the replicas of a group without a clock. Messages may arrive in any order, late,
// twice or never, and replicas campaign whenever the walk says so.
type walk struct {
	random   *rand.Rand
	replicas map[quorum.VoterID]*Replica
	inFlight []Message
	// lost holds the voters that lost their disks, at most maxLost of them.
	lost    map[quorum.VoterID]bool
	maxLost int
	// claimed is a voter that others take for lost although it is not, or 0.
	claimed quorum.VoterID

	leaders   map[quorum.Term]quorum.VoterID
	committed map[quorum.Index]commit
	steps     []string
	counts    map[string]int
}

// commit is the term of a committed entry, and the first term in which a replica knew that it
// is committed. Leaders of later terms must have the entry.
type commit struct{ term, known quorum.Term }

// newWalk starts a group without a leader.
func newWalk(seed uint64, voters, learners int) *walk {
	w := &walk{
		random: rand.New(rand.NewPCG(seed, 3)), replicas: make(map[quorum.VoterID]*Replica), lost: make(map[quorum.VoterID]bool),
		leaders: make(map[quorum.Term]quorum.VoterID), committed: make(map[quorum.Index]commit), counts: make(map[string]int),
	}
	var members []Voter
	for i := range voters + learners {
		members = append(members, Voter{ID: quorum.VoterID(i + 1), Learner: i >= voters})
	}
	for _, v := range members {
		r, err := New(Options{ID: v.ID, Seed: seed}, State{}, Snapshot{Voters: members}, nil)
		if err != nil {
			panic(err)
		}
		w.replicas[v.ID] = r
	}
	return w
}

// lead elects voter 1 and delivers everything. In half of the calls, voter 1 then proposes a
// change of the last member.
func (w *walk) lead() error {
	r := w.replicas[1]
	if err := w.campaign(r); err != nil {
		return err
	}
	if err := w.exchange(1, 1<<len(w.replicas)-1); err != nil {
		return err
	}
	if last := quorum.VoterID(len(w.replicas)); w.random.IntN(2) == 0 {
		w.change(r, last)
	}
	return w.settle(r)
}

func (w *walk) ids() []quorum.VoterID {
	var ids []quorum.VoterID
	for id := range w.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// settle executes the effects of a replica and checks the invariants.
func (w *walk) settle(r *Replica) error {
	for e := r.Effects(); !e.Empty(); e = r.Effects() {
		w.inFlight = append(w.inFlight, e.ImmediateMessages...)
		r.Synced(e)
		w.inFlight = append(w.inFlight, e.Messages...)
	}
	id := r.options.ID
	if known, ok := w.leaders[r.term]; r.role == Leader && ok && known != id {
		return errors.Errorf("voters %d and %d lead term %d", known, id, r.term)
	}
	for i := quorum.Index(1); i <= r.log.commit; i++ {
		t, _ := r.log.term(i)
		c, ok := w.committed[i]
		if ok && c.term != t {
			return errors.Errorf("voter %d commits entry %d of term %d after that of term %d", id, i, t, c.term)
		}
		if !ok || r.term < c.known {
			w.committed[i] = commit{term: t, known: r.term}
		}
	}
	if _, ok := w.leaders[r.term]; r.role == Leader && !ok {
		w.leaders[r.term] = id
		w.counts["led"]++
		w.counts["ledWithoutLost"] += boolToInt(r.excluded != 0)
		for i, c := range w.committed {
			if c.known < r.term && !r.log.matches(i, c.term) {
				return errors.Errorf("voter %d leads term %d without the committed entry %d of term %d", id, r.term, i, c.term)
			}
		}
	}
	return nil
}

// run performs random actions, in half of the walks on a group with a leader.
func (w *walk) run(steps int) error {
	if w.random.IntN(2) == 0 {
		if err := w.lead(); err != nil {
			return err
		}
	}
	for range steps {
		if err := w.step(); err != nil {
			return err
		}
	}
	return nil
}

// step performs one random action.
func (w *walk) step() error {
	ids := w.ids()
	id := ids[w.random.IntN(len(ids))]
	if w.random.IntN(3) == 0 {
		for _, o := range ids {
			if w.replicas[o].role == Leader {
				id = o
			}
		}
	}
	r := w.replicas[id]
	other := ids[w.random.IntN(len(ids))]
	switch k := w.random.IntN(100); {
	case k < 15 && len(w.inFlight) > 0:
		return w.deliver(w.random.IntN(len(w.inFlight)), w.random.IntN(10) == 0)
	case k < 55:
		return w.exchange(id, w.random.IntN(1<<len(ids)))
	case w.lost[id]:
	case k < 67:
		return w.campaign(r)
	case k < 72 && r.role == Leader:
		_, _, err := r.Propose([]byte("command"))
		w.note(err == nil, "%d proposes", id)
	case k < 80 && r.role == Leader:
		w.change(r, other)
	case k < 84 && len(w.lost) < w.maxLost:
		w.lost[id] = true
		w.note(true, "%d loses its disk", id)
	case k < 98:
		w.learn(r)
	default:
		return w.restart(r)
	}
	return w.settle(r)
}

// learn records the losses at a replica.
func (w *walk) learn(r *Replica) {
	for _, id := range w.ids() {
		if w.lost[id] || id == w.claimed {
			w.note(r.RecordLoss(id), "%d learns that %d is lost", r.options.ID, id)
		}
	}
}

// exchange delivers all messages between a replica and some others, a bit of set for each, and
// those that they send meanwhile.
func (w *walk) exchange(id quorum.VoterID, set int) error {
	for range 50 {
		k := slices.IndexFunc(w.inFlight, func(m Message) bool {
			return m.From == id && set>>(m.To-1)&1 == 1 || m.To == id && set>>(m.From-1)&1 == 1
		})
		if k < 0 {
			return nil
		}
		if err := w.deliver(k, false); err != nil {
			return err
		}
	}
	return nil
}

// deliver delivers message k, which may arrive again later if keep is set.
func (w *walk) deliver(k int, keep bool) error {
	m := w.inFlight[k]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, k, k+1)
	}
	r, ok := w.replicas[m.To]
	if !ok || w.lost[m.To] {
		return nil
	}
	w.note(true, "%s of term %d from %d to %d (%d/%d, %d entries, reject %t)", m.Kind, m.Term, m.From, m.To, m.LogIndex, m.LogTerm, len(m.Entries), m.Reject)
	if err := r.Step(m); err != nil {
		return err
	}
	return w.settle(r)
}

// campaign starts an election without a pre-vote, which any other member could disturb.
func (w *walk) campaign(r *Replica) error {
	if !r.canCampaign() {
		return nil
	}
	r.preCampaign()
	r.pending.Messages = nil
	if r.role == PreCandidate {
		r.campaign(0)
	}
	w.note(true, "%d campaigns in term %d without %d", r.options.ID, r.term, r.excluded)
	return w.settle(r)
}

// change proposes or announces a change of a member.
func (w *walk) change(r *Replica, id quorum.VoterID) {
	c := Change{Kind: Remove, Voter: Voter{ID: id}}
	v, isMember := findMember(r.members(), id)
	switch {
	case w.random.IntN(8) == 0:
		c.Kind = Withdraw
	case !isMember:
		c.Kind = AddLearner
	case v.Learner:
		c.Kind = Promote
	}
	propose := r.ProposeChange
	announces := r.NeedsAnnouncement(c)
	if announces {
		propose = r.Announce
	}
	for _, p := range r.progress { // The times of the last replies are no part of a walk.
		p.active = true
	}
	_, _, err := propose(c)
	w.note(err == nil, "%d proposes to %s %d (announces: %t)", r.options.ID, c.Kind, id, announces)
}

// restart starts a replica from what it has synced.
func (w *walk) restart(r *Replica) error {
	o := r.options
	o.Seed++
	n, err := New(o, r.saved, r.snapshot, r.Retained())
	if err != nil {
		return err
	}
	w.note(true, "%d restarts", o.ID)
	w.replicas[o.ID] = n
	return w.settle(n)
}

func (w *walk) note(done bool, format string, args ...any) {
	if done {
		w.steps = append(w.steps, fmt.Sprintf(format, args...))
	}
}

// TestWalks guards against two leaders of a term and against the loss of a committed entry
// where a lost voter is left out of the majority. Whatever the order of messages, elections,
// membership changes, restarts and lost disks, that must not happen as long as not more
// disks are lost than a committed entry survives.
func TestWalks(t *testing.T) {
	for _, g := range []struct {
		voters, learners, maxLost int
		claim                     bool
	}{
		{voters: 4, maxLost: 1},
		{voters: 4, maxLost: 2},
		{voters: 4, learners: 1, maxLost: 1},
		{voters: 3, learners: 1, maxLost: 1},
		{voters: 2, learners: 1, maxLost: 1},
		{voters: 6, maxLost: 2},
		{voters: 4, claim: true},
	} {
		t.Run(fmt.Sprintf("%d voters, %d learners, %d lost, claim %t", g.voters, g.learners, g.maxLost, g.claim), func(t *testing.T) {
			total := make(map[string]int)
			for k := range *walks {
				seed := *firstWalk + uint64(k)
				w := newWalk(seed, g.voters, g.learners)
				w.maxLost = g.maxLost
				if g.claim {
					w.claimed = quorum.VoterID(1 + seed%4)
				}
				if err := w.run(*walkSteps); err != nil {
					t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(w.steps, "\n"))
				}
				for name, n := range w.counts {
					total[name] += n
				}
			}
			t.Log(total)
			is.New(t).True(total["led"] > 0)
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
