package gossip_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/membership/gossip"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

const step = 50 * time.Millisecond

// simulation runs many cores over a fake network in one goroutine. Equal seeds lead
// to equal runs.
type simulation struct {
	t           testing.TB
	now         time.Time
	random      *rand.Rand
	hosts       []*host
	queue       deliveries
	order       uint64
	loss        float64
	duplication float64
	jitter      time.Duration
	drop        func(from, to *host) bool
	falseDeaths int // number of times that a running host was declared dead
	suspected   map[fleet.InstanceID]int
	encode      func(h *host, m *gossipv1.Message) []byte
	decode      func(h *host, data []byte) *gossipv1.Message
}

// host is a simulated machine with at most one running process.
type host struct {
	index        int
	id           fleet.InstanceID
	centre       fleet.DataCentreID
	core         *gossip.Core
	roster       *roster.Roster
	up           bool
	frozen       bool
	receiveDelay time.Duration // additional delay of each message to this host
	inbox        []func()      // deliveries that arrived while it was frozen
	boots        int
	sent         struct{ messages, bytes int }
	busyTime     time.Duration
}

type delivery struct {
	at    time.Time
	order uint64
	from  *host
	to    *host
	data  []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].order < d[j].order
	}
	return d[i].at.Before(d[j].at)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSimulation(t testing.TB, seed uint64, centres, perCentre int) *simulation {
	w := &simulation{
		t: t, now: fakeclock.Start, suspected: make(map[fleet.InstanceID]int), random: rand.New(rand.NewPCG(seed, 2)),
		drop: func(_, _ *host) bool { return false },
		encode: func(_ *host, m *gossipv1.Message) []byte {
			data, _ := proto.Marshal(m)
			return data
		},
		decode: func(_ *host, data []byte) *gossipv1.Message {
			var m gossipv1.Message
			if proto.Unmarshal(data, &m) != nil {
				return nil
			}
			return &m
		},
	}
	for i := range centres * perCentre {
		w.hosts = append(w.hosts, &host{
			index: i, id: fleet.InstanceID(fmt.Sprintf("i%03d", i)),
			centre: fleet.DataCentreID(fmt.Sprintf("dc%02d", i%centres)),
		})
	}
	return w
}

// boot starts a process on h with a higher incarnation than the previous one.
func (w *simulation) boot(h *host) {
	h.boots++
	h.up, h.frozen, h.inbox = true, false, nil
	h.roster, _ = roster.New()
	self := membership.Member{
		ID: h.id, Incarnation: fleet.Incarnation(w.now.UnixMilli()) + fleet.Incarnation(h.boots), DataCentre: h.centre,
		Gossip: h.address(), Peers: "127.0.0.1:1", Voter: h.index < 3,
	}
	h.core = gossip.New(self, []string{w.hosts[0].address(), w.hosts[1].address()}, gossip.WithRandom(uint64(h.index)))
	h.roster.OnAnnouncement(func(a upstream.Announcement, heartbeat, now time.Time) {
		w.apply(h, h.core.Announce(a, heartbeat, now))
	})
}

func (w *simulation) bootAll() {
	for _, h := range w.hosts {
		w.boot(h)
	}
}

func (h *host) address() string { return fmt.Sprintf("10.0.%d.%d:7000", h.index/250, h.index%250) }

func (w *simulation) hostAt(address string) *host {
	var high, low int
	if n, _ := fmt.Sscanf(address, "10.0.%d.%d:7000", &high, &low); n != 2 {
		return nil
	}
	return w.hosts[high*250+low]
}

// run advances the time by d in steps and calls the functions in afterStep after
// each step.
func (w *simulation) run(d time.Duration, afterStep ...func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, h := range w.hosts {
			if h.up && !h.frozen {
				w.apply(h, w.timed(h, func() gossip.Effects { return h.core.Tick(w.now) }))
				h.roster.Tick(w.now)
			}
		}
		for _, f := range afterStep {
			f()
		}
	}
}

func (w *simulation) deliver() {
	now := w.now
	for len(w.queue) > 0 && !w.queue[0].at.After(now) {
		d := heap.Pop(&w.queue).(delivery)
		w.now = d.at
		w.receive(d)
	}
	w.now = now
}

func (w *simulation) receive(d delivery) {
	if !d.to.up {
		return
	}
	if d.to.frozen {
		d.to.inbox = append(d.to.inbox, func() { w.receive(d) })
		return
	}
	e := w.timed(d.to, func() gossip.Effects {
		m := w.decode(d.to, d.data)
		if m == nil {
			return gossip.Effects{}
		}
		return d.to.core.Receive(m, d.from.address(), w.now)
	})
	w.apply(d.to, e)
}

func (w *simulation) timed(h *host, f func() gossip.Effects) gossip.Effects {
	start := time.Now()
	e := f()
	h.busyTime += time.Since(start)
	return e
}

// thaw resumes a frozen host, which first reads what arrived in the meantime.
func (w *simulation) thaw(h *host) {
	h.frozen = false
	for _, f := range h.inbox {
		f()
	}
	h.inbox = nil
}

func (w *simulation) apply(h *host, e gossip.Effects) {
	for _, s := range e.Send {
		w.send(h, s)
	}
	for _, m := range e.Members {
		if m.Status == membership.Suspect {
			w.suspected[m.ID]++
		}
		if m.Status == membership.Dead {
			w.countFalseDeath(m.ID)
		}
	}
	if e.Resumed {
		h.roster.RecordResume(w.now)
	}
	for _, a := range e.Announced {
		h.roster.Merge([]roster.AgedAnnouncement{{Announcement: a.Announcement, Age: a.Age}}, w.now)
	}
	for _, r := range e.Renewed {
		h.roster.Renew([]roster.Renewal{roster.Renewal(r)}, w.now)
	}
}

func (w *simulation) countFalseDeath(id fleet.InstanceID) {
	for _, h := range w.hosts {
		if h.id == id && h.up && !h.frozen {
			w.falseDeaths++
		}
	}
}

func (w *simulation) send(h *host, s gossip.Envelope) {
	start := time.Now()
	data := w.encode(h, s.Message)
	h.busyTime += time.Since(start)
	h.sent.messages++
	h.sent.bytes += len(data)
	if proto.Size(s.Message) > gossip.MaxMessageBytes {
		w.t.Fatalf("message exceeds MaxMessageBytes; encoded it has %d bytes", len(data))
	}
	to := w.hostAt(s.Address)
	if to == nil || w.drop(h, to) || w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplication {
		copies = 2
	}
	for range copies {
		delay := 250*time.Microsecond + to.receiveDelay
		if w.jitter > 0 {
			delay += time.Duration(w.random.Int64N(int64(w.jitter)))
		}
		w.order++
		heap.Push(&w.queue, delivery{at: w.now.Add(delay), order: w.order, from: h, to: to, data: data})
	}
}

func (w *simulation) status(at, of *host) (membership.Status, bool) {
	for _, m := range at.core.Members(w.now) {
		if m.ID == of.id {
			return m.Status, true
		}
	}
	return 0, false
}

// converged reports whether every running host sees every running host as alive.
func (w *simulation) converged() bool {
	for _, h := range w.hosts {
		if !h.up {
			continue
		}
		alive := make(map[fleet.InstanceID]bool)
		for _, m := range h.core.Members(w.now) {
			alive[m.ID] = m.Status == membership.Alive
		}
		for _, o := range w.hosts {
			if o.up && !alive[o.id] {
				return false
			}
		}
	}
	return true
}

// runUntil runs until the condition holds and returns the simulated time that it
// took. It fails the test after the timeout.
func (w *simulation) runUntil(timeout time.Duration, condition func() bool, afterStep ...func()) time.Duration {
	w.t.Helper()
	start := w.now
	for !condition() {
		if w.now.Sub(start) >= timeout {
			w.t.Fatalf("condition not reached within %v", timeout)
		}
		w.run(step, afterStep...)
	}
	return w.now.Sub(start)
}

// simUpstream is a simulated upstream that announces itself every second to one
// host, or to another one if that host is down or frozen.
type simUpstream struct {
	upstream.Announcement
	host *host
	next time.Time
	// rotate makes the upstream choose a random host for each announcement.
	rotate        bool
	left          time.Time
	lastAnnounced time.Time // time of the last announcement that reached a running host at once
}

func (w *simulation) newUpstream(n int, centre fleet.DataCentreID) *simUpstream {
	return &simUpstream{Announcement: upstream.Announcement{
		ID: fleet.UpstreamID(fmt.Sprintf("u%05d", n)), Incarnation: 1, Address: fmt.Sprintf("10.1.%d.%d:9000", n/250, n%250),
		DataCentre: centre, Pool: "p", Model: "model-a", Version: "v1", Accelerator: "kind-a", Slots: 8,
	}, next: w.now.Add(time.Duration(w.random.Int64N(int64(time.Second))))}
}

func (w *simulation) announce(a *simUpstream) {
	if w.now.Before(a.next) || !a.left.IsZero() {
		return
	}
	a.next = a.next.Add(time.Second)
	w.announceNow(a)
}

func (w *simulation) announceNow(a *simUpstream) {
	if a.host != nil && a.host.frozen {
		// The request stays unread in a socket of the frozen host.
		a.Sequence++
		h, late := a.host, a.Announcement
		h.inbox = append(h.inbox, func() { _ = h.roster.Announce(late, w.now) })
	}
	if a.host == nil || a.rotate || !a.host.up || a.host.frozen {
		a.host = w.pickHost(a.DataCentre)
	}
	if a.host == nil {
		return
	}
	a.Sequence++
	a.lastAnnounced = w.now
	is.New(w.t).NoErr(a.host.roster.Announce(a.Announcement, w.now))
}

func (w *simulation) pickHost(centre fleet.DataCentreID) *host {
	var running []*host
	for _, h := range w.hosts {
		if h.up && !h.frozen && h.centre == centre {
			running = append(running, h)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[w.random.IntN(len(running))]
}
