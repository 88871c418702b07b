package gossip_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

var (
	schedules     = flag.Int("schedules", 12, "number of random schedules")
	firstSchedule = flag.Uint64("first", 1, "seed of the first schedule")
)

// schedule is a simulation with a random sequence of faults. The invariants are
// checked after every step of 50 ms.
type schedule struct {
	*simulation
	upstreams  []*simUpstream
	left       map[*host]map[fleet.InstanceID]fleet.Incarnation
	oneWayCuts map[[2]*host]bool
	isolated   fleet.DataCentreID
}

// TestSchedules guards against reporting a member as present again after it left, or
// an upstream as serving again after it announced that it leaves. It also guards
// against members and upstreams that stay unknown or unusable after loss, duplication,
// reordering, one-way cuts, pauses, crashes, restarts, leaves and partitions of a data
// centre.
func TestSchedules(t *testing.T) {
	for seed := *firstSchedule; seed < *firstSchedule+uint64(*schedules); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newSchedule(t, seed).runSteps(300)
		})
	}
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{
		simulation: newSimulation(t, seed, 3, 4), oneWayCuts: make(map[[2]*host]bool),
		left: make(map[*host]map[fleet.InstanceID]fleet.Incarnation),
	}
	s.drop = func(from, to *host) bool {
		partitioned := s.isolated != "" && (from.centre == s.isolated) != (to.centre == s.isolated)
		return partitioned || s.oneWayCuts[[2]*host{from, to}]
	}
	for i := range 18 {
		a := s.newUpstream(i, fleet.DataCentreID(fmt.Sprintf("dc%02d", i%3)))
		a.rotate = i%2 == 0
		s.upstreams = append(s.upstreams, a)
	}
	// The other two hosts join during the schedule.
	for _, h := range s.hosts[:10] {
		s.boot(h)
	}
	return s
}

func (s *schedule) runSteps(steps int) {
	s.run(5*time.Second, s.announceAll, s.check)
	for range steps {
		s.injectEvent()
		s.run(step*time.Duration(1+s.random.IntN(20)), s.announceAll, s.check)
	}
	s.recover()
}

func (s *schedule) announceAll() {
	for _, a := range s.upstreams {
		s.announce(a)
	}
}

// injectEvent injects one random fault or other event.
func (s *schedule) injectEvent() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	o := s.hosts[s.random.IntN(len(s.hosts))]
	a := s.upstreams[s.random.IntN(len(s.upstreams))]
	switch s.random.IntN(16) {
	case 0:
		s.loss = s.random.Float64() / 5
	case 1:
		s.loss, s.duplication, s.jitter = 0, 0.1, time.Duration(1+s.random.IntN(200))*time.Millisecond
	case 2:
		s.oneWayCuts[[2]*host{h, o}] = true
	case 3:
		clear(s.oneWayCuts)
	case 4:
		h.frozen = h.up
	case 5, 6:
		s.thawAll()
	case 7:
		h.up = false
	case 8, 9:
		if !h.up {
			s.boot(h)
			delete(s.left, h)
		}
	case 10:
		s.leave(h)
	case 11:
		s.isolated = fleet.DataCentreID(fmt.Sprintf("dc%02d", s.random.IntN(4))) // dc03 has no hosts: ends the partition
	case 12:
		s.leaveUpstream(a)
	case 13:
		s.restartUpstream(a)
	case 14:
		a.next = s.now.Add(time.Duration(s.random.IntN(10)) * time.Second)
	case 15:
		h.receiveDelay = time.Duration(s.random.IntN(2000)) * time.Millisecond
	}
}

func (s *schedule) thawAll() {
	for _, h := range s.hosts {
		if h.frozen {
			s.thaw(h)
		}
	}
}

// leave makes h leave and stop. Messages that it sent before can arrive afterwards.
func (s *schedule) leave(h *host) {
	if !h.up || h.frozen {
		return
	}
	s.apply(h, h.core.Tick(s.now))
	s.apply(h, h.core.Leave(s.now))
	h.up = false
}

func (s *schedule) leaveUpstream(a *simUpstream) {
	if !a.left.IsZero() || a.host == nil {
		return
	}
	a.State = upstream.Leaving
	s.announceNow(a)
	a.left = s.now
	if a.host == nil {
		return
	}
	// An older announcement arrives at an instance that knows that the upstream
	// leaves.
	late := a.Announcement
	late.State = upstream.Serving
	late.Sequence--
	is.New(s.t).True(a.host.roster.Announce(late, s.now) != nil)
	a.host.roster.Merge([]roster.AgedAnnouncement{{Announcement: late}}, s.now)
}

// restartUpstream restarts an upstream that left at least 5 s ago.
func (s *schedule) restartUpstream(a *simUpstream) {
	if a.left.IsZero() || s.now.Sub(a.left) < 5*time.Second {
		return
	}
	a.Incarnation++
	a.Sequence, a.State, a.left, a.next = 0, upstream.Serving, time.Time{}, s.now
}

func (s *schedule) check() {
	for _, h := range s.hosts {
		if !h.up {
			continue
		}
		s.checkLeft(h)
		for _, a := range s.upstreams {
			s.checkUpstream(h, a)
		}
	}
}

func (s *schedule) checkLeft(h *host) {
	known := s.left[h]
	if known == nil {
		known = make(map[fleet.InstanceID]fleet.Incarnation)
		s.left[h] = known
	}
	for _, m := range h.core.Members(s.now) {
		if m.Status == membership.Left {
			known[m.ID] = max(known[m.ID], m.Incarnation)
		} else if m.Incarnation <= known[m.ID] {
			s.t.Fatalf("%s reports %s as %v after it left", h.id, m.ID, m.Status)
		}
	}
}

// maxUndetectedPause is the longest pause of a process that the roster does not detect.
const maxUndetectedPause = 500 * time.Millisecond

// checkUpstream also checks frozen hosts, as if they were resumed at this moment.
func (s *schedule) checkUpstream(h *host, a *simUpstream) {
	age := s.now.Sub(a.lastAnnounced)
	if age <= roster.MaxHeartbeatTimeout+maxUndetectedPause {
		return
	}
	for _, u := range h.roster.Usable("p", s.now) {
		if u.ID == a.ID {
			s.t.Fatalf("%s considers %s usable %v after its last announcement", h.id, a.ID, age)
		}
	}
}

// recover ends all faults. Within 40 s every instance must know every other as alive,
// and within another 20 s exactly the serving upstreams of its data centre must be
// usable.
func (s *schedule) recover() {
	s.loss, s.duplication, s.jitter, s.isolated = 0, 0, 0, ""
	clear(s.oneWayCuts)
	s.thawAll()
	for _, h := range s.hosts {
		h.receiveDelay = 0
		if !h.up {
			s.boot(h)
			delete(s.left, h)
		}
	}
	s.runUntil(40*time.Second, s.converged, s.announceAll, s.check)
	s.runUntil(20*time.Second, s.upstreamsConverged, s.announceAll, s.check)
}

func (s *schedule) upstreamsConverged() bool {
	serving := make(map[fleet.DataCentreID]int)
	for _, a := range s.upstreams {
		if a.left.IsZero() {
			serving[a.DataCentre]++
		}
	}
	for _, h := range s.hosts {
		if len(h.roster.Usable("p", s.now)) != serving[h.centre] {
			return false
		}
	}
	return true
}

// TestSlowMember guards against healthy members that are declared dead by a slow or
// paused member, and against a slow member that is declared dead although it answers.
func TestSlowMember(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, 1, 12)
	w.bootAll()
	w.runUntil(30*time.Second, w.converged)
	w.hosts[5].receiveDelay = 1500 * time.Millisecond
	w.run(5 * time.Minute)
	is.Equal(w.falseDeaths, 0)
	for _, h := range w.hosts {
		// Only the slow member itself may be suspected often.
		is.True(h.index == 5 || w.suspected[h.id] <= 3*len(w.hosts))
	}
	w.hosts[5].receiveDelay = 0
	for range 10 {
		w.hosts[3].frozen = true
		w.run(20 * time.Second)
		w.thaw(w.hosts[3])
		w.run(20 * time.Second)
		is.True(w.converged())
	}
	is.Equal(w.falseDeaths, 0)
}
