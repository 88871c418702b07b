package fencing

import (
	"context"
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/cockroachdb/datadriven"
)

// world is one engine, the config group and several instances with their own
// clocks. Its random source sets the faults; calm turns them off.
type world struct {
	now     time.Duration
	random  *rand.Rand
	calm    bool
	policy  upstream.FencePolicy
	machine *Machine
	late    [][]byte
	// next is the fault of the proposals of one command of a script.
	next string

	// delay keeps the next command under way.
	delay time.Duration

	flying  []flight
	last    upstream.Command
	arrived int
	broken  string
	nodes   []*node
}

// flight is a command on its way to the engine.
type flight struct {
	at time.Duration
	c  upstream.Command
}

// node is one instance. Its clock runs at its own rate.
type node struct {
	*world
	offset time.Duration
	rate   float64
	holder *Holder
	*Commander
	sent int
	// cut tells that the instance does not reach the config group. Engines may
	// still be within its reach.
	cut bool
	// busy tells that the instance waits for a reply or is frozen.
	busy bool
}

// newWorld returns a world whose clocks run up to drift too fast or too slow.
func newWorld(seed int64, policy upstream.FencePolicy, drift float64) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), machine: NewMachine(), policy: policy}
	for i := range 3 {
		n := &node{world: w, offset: time.Duration(i) * time.Hour, rate: 1 + float64(i-1)*drift}
		n.restart(i)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (n *node) restart(i int) {
	n.holder = NewHolder(n, quorum.ConfigGroup, n, fleet.InstanceID(fmt.Sprint("i", i)), DefaultTerms)
	n.Commander = NewCommander(n.holder, n)
}

func (n *node) Now() time.Time {
	return fakeclock.Start.Add(n.offset + time.Duration(float64(n.now)*n.rate))
}

func (n *node) After(time.Duration) <-chan time.Time { return nil }

func (n *node) Propose(_ context.Context, _ quorum.GroupID, c []byte) ([]byte, error) {
	w := n.world
	fault := w.fault()
	if n.cut {
		fault = "unavailable"
	}
	switch fault {
	case "lost":
		w.machine.Apply(0, c)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case "late":
		w.late = append(w.late, c)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case "unavailable":
		return nil, refusal.New(refusal.NotReady, "no leader")
	case "twice":
		w.machine.Apply(0, c)
	}
	reply := w.machine.Apply(0, c)
	if fault == "slow" {
		n.pause()
	}
	return reply, nil
}

// pause lets the other instances act while this one waits or is frozen.
func (n *node) pause() {
	n.busy = true
	for range n.random.Intn(12) {
		n.step()
	}
	n.busy = false
}

// step lets one instance act and time pass.
func (w *world) step() {
	i := w.random.Intn(len(w.nodes))
	n := w.nodes[i]
	if !n.busy {
		n.act(i)
	}
	d := time.Duration(w.random.Intn(700))
	if w.random.Intn(12) == 0 {
		d *= 20
	}
	w.move(d * time.Millisecond)
}

func (n *node) act(i int) {
	switch n.random.Intn(24) {
	case 0, 1:
		_ = n.Release(context.Background(), "e")
	case 2:
		n.restart(i)
	case 3:
		restored := NewMachine()
		data, _ := n.machine.Snapshot()
		if err := restored.Restore(data); err != nil {
			n.broken = err.Error()
		}
		n.machine = restored
	case 4, 5:
		n.cut = !n.cut
	default:
		_, _ = n.command()
	}
}

func (w *world) fault() string {
	if w.calm {
		return w.next
	}
	w.settle(4)
	return []string{"lost", "late", "unavailable", "twice", "slow", "", "", "", ""}[w.random.Intn(9)]
}

func (n *node) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	return n.machine.Query(q), nil
}

// settle applies each late proposal with a chance of one in n.
func (w *world) settle(n int) {
	kept := w.late[:0]
	for _, c := range w.late {
		if w.random.Intn(n) > 0 {
			kept = append(kept, c)
			continue
		}
		w.machine.Apply(0, c)
	}
	w.late = kept
}

// move lets time pass and commands arrive.
func (w *world) move(d time.Duration) {
	end := w.now + d
	sort.SliceStable(w.flying, func(i, j int) bool { return w.flying[i].at < w.flying[j].at })
	for len(w.flying) > 0 && w.flying[0].at <= end {
		w.now = w.flying[0].at
		_ = w.arrive(w.flying[0].c)
		w.flying = w.flying[1:]
	}
	w.now = end
}

// arrive lets the engine act on a command. An engine that ignores tokens must
// never see one that is older than one before.
func (w *world) arrive(c upstream.Command) error {
	if c.Fence < w.last.Fence && w.policy == upstream.RefusesOld {
		return refusal.New(refusal.Conflict, "old token")
	}
	if c.Fence < w.last.Fence || c.Fence == w.last.Fence && c.ID < w.last.ID {
		w.broken = fmt.Sprintf("command %s with token %d came after %s with token %d", c.ID, c.Fence, w.last.ID, w.last.Fence)
	}
	w.last = c
	w.arrived++
	return nil
}

// Engine may freeze the instance between the lease and the command.
func (n *node) Engine(upstream.Upstream) upstream.EngineClient {
	if !n.calm && n.random.Intn(20) == 0 {
		n.pause()
	}
	return engine{world: n.world}
}

func (n *node) Service(upstream.Upstream) upstream.ServiceClient { return nil }

// engine is the client of the only engine. It has no methods for requests.
type engine struct {
	upstream.EngineClient
	*world
}

func (e engine) Command(_ context.Context, c upstream.Command) error {
	fault := e.random.Intn(6)
	delay := e.delay
	e.delay = 0
	switch {
	case delay > 0:
		e.flying = append(e.flying, flight{at: e.now + delay, c: c})
		return refusal.New(refusal.UpstreamFailed, "no answer")
	case !e.calm && fault == 0:
		return refusal.New(refusal.NoUpstream, "connection refused")
	case !e.calm && fault < 3:
		delay = time.Duration(e.random.Int63n(int64(DefaultTerms.UnderWay)))
		e.flying = append(e.flying, flight{at: e.now + delay, c: c})
		return refusal.New(refusal.UpstreamFailed, "no answer")
	case !e.calm && fault == 3:
		_ = e.arrive(c)
		return refusal.New(refusal.UpstreamFailed, "answer lost")
	}
	return e.arrive(c)
}

func (e engine) Describe(context.Context) (upstream.Announcement, error) {
	c := e.last
	return upstream.Announcement{Model: c.Model, Version: c.Version, Layers: c.Layers}, nil
}

// command sends the next command of a node.
func (n *node) command() (Report, error) {
	n.sent++
	u := upstream.Upstream{Announcement: upstream.Announcement{ID: "e", Fencing: n.policy}}
	return n.Send(context.Background(), u, upstream.Command{ID: fmt.Sprintf("%06d", n.sent), Version: fmt.Sprint(n.offset, n.sent)})
}

// TestSchedules guards against a command that reaches an engine after the command
// of a successor or after a later command of the same holder.
func TestSchedules(t *testing.T) {
	for seed := range int64(300) {
		policy := upstream.FencePolicy(seed % 2)
		w := newWorld(seed, policy, 0.04)
		for range 300 {
			w.step()
			if w.broken != "" {
				t.Fatalf("seed %d, policy %v: %s", seed, policy, w.broken)
			}
		}
		w.checkProgress(t, seed)
	}
}

// TestClockError guards against a successor with a fast clock whose command
// overtakes the last command of a holder with a slow clock.
func TestClockError(t *testing.T) {
	w := newWorld(1, upstream.IgnoresFence, 0.04)
	w.calm = true
	slow, fast := w.nodes[0], w.nodes[2]
	lease, _ := slow.holder.Ensure(context.Background(), "e", w.policy)
	_, _ = fast.command()
	slow.cut = true
	for slow.holder.Valid(lease) {
		w.move(time.Millisecond)
	}
	w.now -= time.Millisecond
	w.delay = DefaultTerms.UnderWay
	_, err := slow.command()
	if refusal.KindOf(err) != refusal.OutcomeUnknown {
		t.Fatalf("command at the end of the lease: %v", err)
	}
	for len(w.flying) > 0 || w.arrived < 2 {
		w.move(10 * time.Millisecond)
		_, _ = fast.command()
	}
	if w.broken != "" {
		t.Fatal(w.broken)
	}
}

// TestStaleLeases guards against leases of engines that are gone and that keep
// new ones from being granted, and against a lease in use that is dropped.
func TestStaleLeases(t *testing.T) {
	w := newWorld(1, upstream.IgnoresFence, 0)
	w.calm = true
	for i := range MaxLeases {
		id := fleet.UpstreamID(fmt.Sprint(i))
		w.machine.leases[id] = granted{Lease: Lease{Upstream: id, Session: "old"}, Used: fakeclock.Start}
	}
	_, err := w.nodes[0].command()
	if err == nil {
		t.Error("lease above the bound")
	}
	w.machine.leases["1"] = granted{Lease: Lease{Upstream: "1", Session: "old"}, Used: fakeclock.Start.Add(time.Hour)}
	w.now = StaleAfter
	if _, err := w.nodes[1].command(); err == nil {
		t.Error("one clock alone makes leases stale")
	}
	if _, err := w.nodes[0].holder.Ensure(context.Background(), "new", w.policy); err != nil || len(w.machine.leases) != 2 {
		t.Errorf("%d leases after the old ones are stale: %v", len(w.machine.leases), err)
	}
}

// FuzzApply guards against a command that stops a voter.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":1,"kind":"acquire","lease":{"upstream":"u","session":"s","duration":-1},"over":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMachine()
		for range 2 {
			m.Apply(0, data)
			m.Query(data)
		}
		s, err := m.Snapshot()
		if err != nil || NewMachine().Restore(s) != nil {
			t.Fatalf("snapshot does not restore: %v", err)
		}
		_ = m.Restore(data)
	})
}

// checkProgress checks that an instance can send commands after all faults end.
func (w *world) checkProgress(t *testing.T, seed int64) {
	w.settle(1)
	w.calm = true
	n := w.nodes[0]
	n.cut = false
	for range 4 {
		if r, err := n.command(); err == nil && r.Applied {
			return
		}
		w.move(DefaultTerms.Duration + DefaultTerms.UnderWay + 2*DefaultTerms.ClockError)
	}
	t.Fatalf("seed %d: no command succeeds after the faults", seed)
}

// TestScripts guards against a lease that is granted too early or counted too
// long.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			i, by, fault, policy := 0, "0s", "", "ignores"
			d.MaybeScanArgs(t, "node", &i)
			d.MaybeScanArgs(t, "by", &by)
			d.MaybeScanArgs(t, "fault", &fault)
			d.MaybeScanArgs(t, "policy", &policy)
			if d.Cmd == "new" {
				var p upstream.FencePolicy
				_ = p.UnmarshalText([]byte(policy))
				w = newWorld(1, p, 0)
				w.calm = true
				return ""
			}
			n := w.nodes[i]
			w.next = fault
			switch d.Cmd {
			case "ensure":
				l, err := n.holder.Ensure(context.Background(), "e", w.policy)
				if err != nil {
					return failure(err)
				}
				return fmt.Sprintf("token %d renewals %d\n", l.Fence, l.Renewals)
			case "send":
				r, err := n.command()
				if err != nil {
					return failure(err)
				}
				return fmt.Sprintf("applied %v with token %d\n", r.Applied, w.last.Fence)
			case "release":
				if err := n.Release(context.Background(), "e"); err != nil {
					return failure(err)
				}
				return "ok\n"
			case "wait":
				d, _ := time.ParseDuration(by)
				w.move(d)
				return ""
			case "settle":
				w.settle(1)
				return ""
			}
			return "unknown command"
		})
	})
}

func failure(err error) string {
	out := refusal.KindOf(err).Answer().Code
	if e, ok := err.(*refusal.Error); ok && e.RetryAfter > 0 {
		out += fmt.Sprintf(" retry after %v", e.RetryAfter.Round(100*time.Millisecond))
	}
	return out + "\n"
}
