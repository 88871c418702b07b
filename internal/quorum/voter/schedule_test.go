package voter

import (
	"flag"
	"fmt"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/matryer/is"
)

var (
	schedules = flag.Int("schedules", 80, "number of random schedules")
	steps     = flag.Int("steps", 10000, "steps of a random schedule")
	firstSeed = flag.Uint64("seed", 1, "seed of the first random schedule")
)

// TestSchedules guards the invariants of the replicated log under random kills,
// power losses, freezes, one-way cuts, lost, repeated and reordered messages,
// failed and lying syncs, and lost disks: one leader a term, equal logs, one
// applied history, no lost acknowledgement, no stale read, and nothing applied
// that was reported as not run. Afterwards all members must agree again.
func TestSchedules(t *testing.T) {
	total := make(map[string]int)
	for k := range *schedules {
		seed := *firstSeed + uint64(k)
		w := runSchedule(seed, 3+2*int(seed%2), *steps)
		if w.broken != nil {
			t.Fatalf("seed %d: %v (%v)", seed, w.broken, w.counts)
		}
		for name, n := range w.counts {
			total[name] += n
		}
	}
	t.Log(total)
	is.New(t).True(total["acknowledged"] > 0 && total["read"] > 0)
}

// TestScheduleRepeats guards against hidden sources of randomness: a seed that
// failed must fail again.
func TestScheduleRepeats(t *testing.T) {
	is := is.New(t)
	a, b := runSchedule(7, 5, 2000), runSchedule(7, 5, 2000)
	is.Equal(a.history, b.history)
	is.Equal(a.counts, b.counts)
}

// TestThousandCommands guards against a history that does not survive restarts:
// after 1,000 commands, with snapshots in between, all members lose power, one
// after the other and then all at once, and go on with the same state.
func TestThousandCommands(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3)
	ticksToLeader(w)
	for i := range 1000 {
		w.leader().propose(fmt.Sprint("command ", i))
		w.deliverAll()
	}
	is.Equal(w.counts["acknowledged"], 1000)
	for _, p := range w.sites {
		p.kill(true)
		p.restart()
		ticksToLeader(w)
	}
	for _, p := range w.sites {
		p.kill(true)
	}
	for _, p := range w.sites {
		p.restart()
	}
	is.NoErr(w.settle())
	is.Equal(len(w.history), w.counts["acknowledged"])
}

func runSchedule(seed uint64, places, steps int) *world {
	w := newWorld(seed, places)
	w.faults = []int{2, 8, 25}[w.random.IntN(3)]
	for i := 0; i < steps && w.broken == nil; i++ {
		w.step(w.sites[w.random.IntN(places)], fmt.Sprintf("command %d", i))
	}
	if w.broken == nil {
		w.broken = w.settle()
	}
	return w
}

// step does one random thing. Most steps are ticks and deliveries, so that the
// group makes progress between faults.
func (w *world) step(p *place, command string) {
	k := w.random.IntN(1000)
	if k >= 850 && k < 930 {
		p = w.believesToLead(p)
	}
	switch {
	case k < w.faults:
		w.fault(p)
	case k < 100:
		w.passTime()
	case k < 850:
		w.deliverSome()
	case k < 900 && p.runs():
		p.propose(command)
	case k < 930 && p.runs():
		p.read()
	case k < 990:
	case p.member == nil || p.member.failure != nil:
		p.kill(p.lied || w.random.IntN(2) == 0)
		p.restart()
	case p.asleep:
		p.thaw()
	case !p.isVoter():
		if at := w.sites[w.random.IntN(len(w.sites))]; at.runs() {
			p.join(at)
		}
	}
}

// passTime ticks all places, those with a slow clock less often.
func (w *world) passTime() {
	if w.random.IntN(10) == 0 {
		w.endTransfers()
	}
	for _, p := range w.sites {
		if p.member == nil || p.slow && w.random.IntN(4) > 0 {
			continue
		}
		if p.asleep {
			p.frozen++
			continue
		}
		p.tick(1)
	}
}

// deliverSome delivers a random message, repeats it or loses it.
func (w *world) deliverSome() {
	for len(w.net) > 100 {
		w.lose(w.random.IntN(len(w.net)))
	}
	if len(w.net) == 0 {
		return
	}
	k := w.random.IntN(min(len(w.net), 8))
	switch w.random.IntN(40) {
	case 0:
		w.lose(k)
	case 1:
		w.deliver(w.random.IntN(len(w.net)), true)
	default:
		w.deliver(k, false)
	}
}

func (w *world) lose(k int) {
	w.net = append(w.net[:k], w.net[k+1:]...)
}

// fault breaks something, in half of the cases at a leader.
func (w *world) fault(p *place) {
	if l := w.leader(); l != nil && w.random.IntN(2) == 0 {
		p = l
	}
	other := w.sites[w.random.IntN(len(w.sites))]
	switch k := w.random.IntN(100); {
	case k < 10:
		w.cuts[[2]fleet.InstanceID{p.instance, other.instance}] = true
	case k < 25:
		w.isolate(p, w.random.IntN(3))
	case k < 45:
		clear(w.cuts)
	case k < 53 && p.member != nil:
		p.asleep = true
	case k < 60 && p.member != nil:
		p.kill(p.lied)
	case k < 70 && p.member != nil:
		p.kill(true)
	case k < 75 && p.member != nil:
		p.kill(true)
		p.restart()
	case k < 83:
		p.disk.FailSyncs(1)
	case k < 87:
		p.slow = !p.slow
	case k < 90 && w.mayLose(p) && p.member != nil:
		p.lied = true
		p.disk.Lie(true)
	case k < 95 && p.lied:
		p.kill(true)
		p.restart()
	case k < 98 && w.mayLose(p):
		w.counts["replaced"]++
		p.replace()
	}
}

// isolate cuts the links from a place (0), to it (1) or both (2).
func (w *world) isolate(p *place, direction int) {
	for _, o := range w.sites {
		if direction != 1 {
			w.cuts[[2]fleet.InstanceID{p.instance, o.instance}] = true
		}
		if direction != 0 {
			w.cuts[[2]fleet.InstanceID{o.instance, p.instance}] = true
		}
	}
}

// believesToLead returns a place that believes that it leads, perhaps wrongly, or
// p if there is none. Most calls to followers would only be refused.
func (w *world) believesToLead(p *place) *place {
	if w.random.IntN(20) == 0 {
		return p
	}
	for _, k := range w.random.Perm(len(w.sites)) {
		if o := w.sites[k]; o.runs() && o.member.replica.Leader() == o.id {
			return o
		}
	}
	return p
}

// leader returns the place that leads the highest term.
func (w *world) leader() *place {
	var l *place
	for _, p := range w.sites {
		if p.runs() && p.member.replica.Leader() == p.id && (l == nil || p.term > l.term) {
			l = p
		}
	}
	return l
}
