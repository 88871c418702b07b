package follower

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/register"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	instances   = 15
	dataCentres = 3
)

// simulation holds instances in three data centres. The first instance in each
// data centre is a voter with its own replica.
type simulation struct {
	t           *testing.T
	seed        int64
	random      *rand.Rand
	faultFree   bool
	now         time.Time
	members     []membership.Member
	cores       []*core
	cells       []*board.Cell[document.Config]
	replicas    []*register.Register
	submissions []document.Submission
	documents   []document.Document // accepted documents by revision
	partitioned [dataCentres]bool
	down        [instances]bool
}

func newSimulation(t *testing.T, seed int64) *simulation {
	w := &simulation{t: t, seed: seed, random: rand.New(rand.NewSource(seed)), now: fakeclock.Start, documents: make([]document.Document, 1)}
	for i := range instances {
		w.members = append(w.members, membership.Member{
			ID:         fleet.InstanceID(fmt.Sprint("i", i)),
			DataCentre: fleet.DataCentreID(fmt.Sprint("dc", i%dataCentres)),
			Voter:      i < dataCentres,
		})
		w.cores = append(w.cores, nil)
		w.cells = append(w.cells, nil)
		w.restartInstance(i)
	}
	for range dataCentres {
		w.replicas = append(w.replicas, register.New())
	}
	return w
}

func (w *simulation) restartInstance(i int) {
	w.cells[i] = &board.Cell[document.Config]{}
	w.cores[i] = newCore(w.cells[i])
	w.members[i].Revision = 0
	w.down[i] = false
}

// submitRandom adds a revision with a change of a random team. The replicas apply
// it later.
func (w *simulation) submitRandom() {
	n := len(w.documents)
	team := fmt.Sprint("team", w.random.Intn(4))
	s := document.Submission{Change: fleet.ChangeID(fmt.Sprint(n)), Team: fleet.TeamID(team), At: fakeclock.Start, Text: fmt.Sprintf("[dataCentre \"%s\"]\nregion = r%d\n", team, n)}
	reference := register.New()
	for _, old := range w.submissions {
		reference.Submit(old)
	}
	for _, x := range reference.Document().Sections {
		if x.Team == s.Team {
			s.Base = x.Revision
		}
	}
	if o := reference.Submit(s); o.Verdict != document.Accepted {
		w.t.Fatal(o.Reason)
	}
	w.submissions = append(w.submissions, s)
	w.documents = append(w.documents, reference.Document())
}

// replicate applies the submissions that a replica lacks.
func (w *simulation) replicate(i int) {
	r := w.replicas[i]
	for _, s := range w.submissions[r.Document().Revision:] {
		r.Submit(s)
	}
}

func (w *simulation) index(id fleet.InstanceID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "i%d", &i)
	return i
}

func (w *simulation) reaches(from, to int) bool {
	same := from%dataCentres == to%dataCentres
	return !w.down[to] && (same || !w.partitioned[from%dataCentres] && !w.partitioned[to%dataCentres])
}

func (w *simulation) fetch(from, to int, after fleet.Revision) (Reply, error) {
	if from != to && (!w.reaches(from, to) || !w.faultFree && w.random.Intn(6) == 0) {
		return Reply{}, errors.New("unreachable")
	}
	r := w.cores[to].changesSince(after)
	if w.members[to].Voter {
		r.Document, r.Full = w.replicas[to].ChangesSince(after)
	}
	if n := len(r.Document.Sections); !w.faultFree && n > 0 && w.random.Intn(8) == 0 {
		r.Document.Sections = w.corrupt(append([]document.Section(nil), r.Document.Sections...))
	}
	return r, nil
}

// corrupt damages the sections of a reply in a way that the instance can detect.
func (w *simulation) corrupt(sections []document.Section) []document.Section {
	s := &sections[w.random.Intn(len(sections))]
	switch w.random.Intn(5) {
	case 0:
		s.Text = s.Text[:len(s.Text)/2]
	case 1:
		s.Revision += 1000
	case 2:
		s.Text += "[window \"w\"]\n"
	case 3:
		s.Text += "[model \"m\"]\nversion = 1\nlayers = 1\npool = nowhere\n"
	case 4:
		newest := slices.MaxFunc(sections, func(a, b document.Section) int { return cmp.Compare(a.Revision, b.Revision) })
		return slices.DeleteFunc(sections, func(x document.Section) bool { return x.Revision == newest.Revision })
	}
	return sections
}

// membersSeenBy returns the members as instance i sees them.
func (w *simulation) membersSeenBy(i int) []membership.Member {
	var list []membership.Member
	for n, m := range w.members {
		if !w.reaches(i, n) {
			m.Status = membership.Suspect
		}
		list = append(list, m)
	}
	return list
}

// runRound runs one round of an instance and checks the configuration that it
// activated.
func (w *simulation) runRound(i int) {
	if w.down[i] {
		return
	}
	c, members := w.cores[i], w.membersSeenBy(i)
	before, state := c.doc.Revision, c.status.State
	p := c.planFetch(w.members[i], members)
	var results []result
	reached, best := false, fleet.Revision(0)
	for _, m := range p.peers {
		reply, err := w.fetch(i, w.index(m.ID), p.after)
		results = append(results, result{from: m, reply: reply, err: err})
		reached = reached || err == nil
		best = max(best, reply.Document.Revision)
	}
	c.handleResults(p, results, members, w.now)
	w.members[i].Revision = c.doc.Revision
	w.checkConfig(i, before)
	switch {
	case state == Ready:
	case !reached && c.status.State != Alone:
		w.t.Fatalf("seed %d: instance %d reached no peer and is %v", w.seed, i, c.status.State)
	case c.status.State == Ready && c.doc.Revision < best:
		w.t.Fatalf("seed %d: instance %d is ready with revision %d, a peer offered %d", w.seed, i, c.doc.Revision, best)
	}
}

func (w *simulation) checkConfig(i int, before fleet.Revision) {
	config := w.cells[i].Load()
	if config == nil {
		return
	}
	if config.Revision < before {
		w.t.Fatalf("seed %d: instance %d went from revision %d to %d", w.seed, i, before, config.Revision)
	}
	want := w.documents[config.Revision]
	if config.Revision > fleet.Revision(len(w.documents)) || len(config.DataCentres) != len(want.Sections) || len(config.Models) > 0 {
		w.t.Fatalf("seed %d: instance %d has %d data centres and %d models at revision %d", w.seed, i, len(config.DataCentres), len(config.Models), config.Revision)
	}
	for _, s := range want.Sections {
		d := config.DataCentres[fleet.DataCentreID(s.Team)]
		if wantText := fmt.Sprintf("[dataCentre \"%s\"]\nregion = %s\n", s.Team, d.Region); wantText != s.Text {
			w.t.Fatalf("seed %d: instance %d has %q of team %s at revision %d", w.seed, i, d.Region, s.Team, config.Revision)
		}
	}
}

// TestSchedules guards against a revision that decreases, an active configuration
// that was never accepted, an instance that is ready with an old revision, and an
// instance that stays behind after all faults have ended. It runs random schedules
// of submissions, stopped and restarted instances, partitions, lost requests and
// damaged replies.
func TestSchedules(t *testing.T) {
	for seed := range int64(100) {
		w := newSimulation(t, seed)
		for range 400 {
			i := w.random.Intn(instances)
			switch w.random.Intn(16) {
			case 0:
				w.submitRandom()
			case 1, 2:
				w.replicate(w.random.Intn(dataCentres))
			case 3:
				w.restartInstance(i)
			case 4:
				w.down[i] = !w.down[i]
			case 5:
				w.partitioned[i%dataCentres] = !w.partitioned[i%dataCentres]
			default:
				w.runRound(i)
			}
		}
		w.heal()
		for i, c := range w.cores {
			if c.doc.Revision != fleet.Revision(len(w.submissions)) || c.status.State != Ready {
				t.Fatalf("seed %d: instance %d is %v with revision %d of %d: %s", seed, i, c.status.State, c.doc.Revision, len(w.submissions), c.status.Fault)
			}
		}
	}
}

// heal ends all faults and runs six rounds of each instance.
func (w *simulation) heal() {
	w.faultFree, w.partitioned = true, [dataCentres]bool{}
	for i := range w.replicas {
		w.replicate(i)
	}
	for range 6 {
		for i := range w.cores {
			w.down[i] = false
			w.runRound(i)
		}
	}
}

// TestDeadRelay guards against an instance that keeps asking a source that does
// not answer, or a source that is behind the revision known from gossip.
func TestDeadRelay(t *testing.T) {
	for _, dead := range []bool{true, false} {
		w := newSimulation(t, 1)
		w.submitRandom()
		w.heal()
		w.submitRandom()
		w.replicate(0)
		const i = instances - 1
		list, _ := selectSources(w.members[i], w.members, 1)
		stale := w.index(list[0].ID)
		w.runRound(0)
		for range 4 {
			c := w.cores[i]
			p := c.planFetch(w.members[i], w.members)
			r := result{from: p.peers[0]}
			if w.index(p.peers[0].ID) != stale {
				r.reply, r.err = w.fetch(i, w.index(p.peers[0].ID), p.after)
			} else if r.reply = w.cores[i].changesSince(1); dead {
				r.err = errors.New("no answer")
			}
			c.handleResults(p, []result{r}, w.members, w.now)
		}
		if w.cores[i].doc.Revision != 2 {
			t.Errorf("dead %v: revision %d after 4 rounds", dead, w.cores[i].doc.Revision)
		}
	}
}

// TestFanOut guards against voters that are asked by every instance of a large
// fleet, and against relays with too many clients.
func TestFanOut(t *testing.T) {
	is := is.New(t)
	var members []membership.Member
	for i := range 540 {
		members = append(members, membership.Member{
			ID:         fleet.InstanceID(fmt.Sprint("i", i)),
			DataCentre: fleet.DataCentreID(fmt.Sprint("dc", i%20)),
			Voter:      i < 5,
		})
	}
	clients := make(map[fleet.InstanceID]int)
	voterClients := 0
	for _, m := range members {
		list, _ := selectSources(m, members, 0)
		clients[list[0].ID]++
		if list[0].Voter && !m.Voter {
			voterClients++
		}
	}
	maxClients := 0
	for _, n := range clients {
		maxClients = max(maxClients, n)
	}
	t.Logf("%d instances fetch from voters, the busiest source has %d clients", voterClients, maxClients)
	is.True(voterClients <= 20*relaysPerDataCentre+5*27) // a voter may be a relay of its data centre
	is.True(maxClients <= 27)
}

// BenchmarkEnforce measures activate for a change of a small section in a document
// with 42,000 accounts.
func BenchmarkEnforce(b *testing.B) {
	c := newCore(&board.Cell[document.Config]{})
	var doc document.Document
	for team := range 6 {
		var text strings.Builder
		for i := range 7000 {
			fmt.Fprintf(&text, "[account \"t%d-%d\"]\nkeySha256 = %064x\nweight = 3\n", team, i, team*7000+i)
		}
		doc.Sections = append(doc.Sections, document.Section{Team: fleet.TeamID(fmt.Sprint(team)), Text: text.String()})
	}
	doc.Sections = append(doc.Sections, document.Section{Team: "small"})
	b.ReportAllocs()
	for b.Loop() {
		doc.Revision++
		doc.Sections = slices.Clone(doc.Sections)
		doc.Sections[6].Text = fmt.Sprint("# ", doc.Revision)
		if err := c.activate(doc); err != nil {
			b.Fatal(err)
		}
	}
}

// singleVoter is a membership view with one voter and a fetcher that reads it.
type singleVoter struct {
	register *register.Register
	fetches  chan fleet.Revision
}

func (p *singleVoter) Self() membership.Member { return membership.Member{ID: "self"} }

func (p *singleVoter) Members() []membership.Member {
	return []membership.Member{{ID: "self"}, {ID: "voter", Voter: true}}
}

func (p *singleVoter) Fetch(ctx context.Context, _ membership.Member, after fleet.Revision, _ time.Duration) (Reply, error) {
	select {
	case p.fetches <- after:
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	d, full := p.register.ChangesSince(after)
	return Reply{Document: d, Full: full}, nil
}

// TestLoop guards against a Follower that does not fetch, does not wake waiting
// peers or does not stop.
func TestLoop(t *testing.T) {
	is := is.New(t)
	clock := fakeclock.New(fakeclock.Start)
	p := &singleVoter{register: register.New(), fetches: make(chan fleet.Revision)}
	p.register.Submit(document.Submission{Change: "1", Team: "t", Text: "[dataCentre \"d\"]\nregion = r\n", At: fakeclock.Start})
	var cell board.Cell[document.Config]
	f := New(p, p, clock, &cell, zap.NewNop())
	replies := make(chan Reply)
	go func() { replies <- f.ChangesSince(context.Background(), 0, time.Hour) }()
	is.Equal(<-p.fetches, fleet.Revision(0))
	is.Equal((<-replies).Document.Revision, fleet.Revision(1))
	is.Equal(cell.Load().Revision, fleet.Revision(1))
	is.Equal(<-p.fetches, fleet.Revision(1)) // the next round asks for newer revisions
	is.Equal(f.Status().State, Ready)
	is.Equal(f.Status().ConfirmationAge(clock.Now().Add(time.Minute)), time.Minute)
	f.Close()
}
