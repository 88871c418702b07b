package voter

import (
	"flag"
	"fmt"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/matryer/is"
)

var (
	schedules = flag.Int("schedules", 60, "number of random schedules")
	steps     = flag.Int("steps", 20000, "steps of a random schedule")
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

func runSchedule(seed uint64, places, steps int) *world {
	w := newWorld(seed, places)
	for i := 0; i < steps && w.broken == nil; i++ {
		p := w.sites[w.random.IntN(places)]
		w.step(p, fmt.Sprintf("command %d", i))
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
	switch {
	case k < 100:
		w.passTime()
	case k < 850:
		w.deliverSome()
	case k < 910 && p.runs():
		p.propose(command)
	case k < 930 && p.runs():
		p.read()
	case k < 940:
		w.fault(p)
	case p.member == nil || p.member.failure != nil:
		p.kill(p.lied)
		p.restart()
	case p.asleep:
		p.thaw()
	case !p.isVoter():
		if at := w.sites[w.random.IntN(len(w.sites))]; at.runs() {
			p.join(at)
		}
	}
}

func (w *world) passTime() {
	for _, p := range w.sites {
		if p.runs() {
			p.tick(1)
		} else if p.member != nil {
			p.frozen++
		}
	}
}

// deliverSome delivers a random message, repeats it or loses it.
func (w *world) deliverSome() {
	if len(w.net) == 0 {
		return
	}
	k := w.random.IntN(min(len(w.net), 8))
	switch w.random.IntN(40) {
	case 0:
		w.net = append(w.net[:k], w.net[k+1:]...)
	case 1:
		w.deliver(w.random.IntN(len(w.net)), true)
	default:
		w.deliver(k, false)
	}
}

func (w *world) fault(p *place) {
	other := w.sites[w.random.IntN(len(w.sites))]
	switch k := w.random.IntN(100); {
	case k < 20:
		w.cuts[[2]fleet.InstanceID{p.instance, other.instance}] = true
	case k < 45:
		clear(w.cuts)
	case k < 57 && p.member != nil:
		p.asleep = true
	case k < 65 && p.member != nil:
		p.kill(p.lied)
	case k < 75 && p.member != nil:
		p.kill(true)
	case k < 83:
		p.disk.FailSyncs(1)
	case k < 87 && w.mayLose(p) && p.member != nil:
		p.lied = true
		p.disk.Lie(true)
	case k < 94 && p.lied:
		p.kill(true)
		p.restart()
	case k < 100 && w.mayLose(p):
		w.counts["replaced"]++
		p.replace()
	}
}
