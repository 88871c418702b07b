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

// simulation simulates one engine, the config group and several instances with their own
// clocks. Faults are injected at random unless noRandomFaults is set.
type simulation struct {
	now            time.Duration
	random         *rand.Rand
	noRandomFaults bool
	policy         upstream.FencePolicy
	machine        *Machine
	lateProposals  [][]byte
	// nextFault is the fault of the proposals during one script command. It applies
	// only if noRandomFaults is set.
	nextFault string

	// delay is the transit time of the next command.
	delay time.Duration

	inFlight    []delivery // commands that have not reached the engine
	lastCommand upstream.Command
	executed    int    // commands that the engine has executed
	violation   string // latest violation of an invariant
	instances   []*instance
}

// delivery is a command in transit and the time at which it reaches the engine.
type delivery struct {
	at time.Duration
	c  upstream.Command
}

// instance is a simulated instance. Its clock has its own offset and rate.
type instance struct {
	*simulation
	offset time.Duration
	rate   float64
	holder *Holder
	*Commander
	commandsSent int
	// partitioned tells that the instance can't reach the config group. It may still
	// reach the engine.
	partitioned bool
	// blocked tells that the instance waits for a reply or is suspended.
	blocked bool
}

// newSimulation returns a simulation whose clock rates deviate by up to drift, a
// fraction.
func newSimulation(seed int64, policy upstream.FencePolicy, drift float64) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), machine: NewMachine(), policy: policy}
	for i := range 3 {
		inst := &instance{simulation: s, offset: time.Duration(i) * time.Hour, rate: 1 + float64(i-1)*drift}
		inst.restart(i)
		s.instances = append(s.instances, inst)
	}
	return s
}

func (inst *instance) restart(i int) {
	inst.holder = NewHolder(inst, quorum.ConfigGroup, inst, fleet.InstanceID(fmt.Sprint("i", i)), DefaultTiming)
	inst.Commander = NewCommander(inst.holder, inst)
}

func (inst *instance) Now() time.Time {
	return fakeclock.Start.Add(inst.offset + time.Duration(float64(inst.now)*inst.rate))
}

func (inst *instance) After(time.Duration) <-chan time.Time { return nil }

func (inst *instance) Propose(_ context.Context, _ quorum.GroupID, c []byte) ([]byte, error) {
	s := inst.simulation
	fault := s.fault()
	if inst.partitioned {
		fault = "unavailable"
	}
	switch fault {
	case "lost":
		s.machine.Apply(0, c)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case "late":
		s.lateProposals = append(s.lateProposals, c)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case "unavailable":
		return nil, refusal.New(refusal.NotReady, "no leader")
	case "twice":
		s.machine.Apply(0, c)
	}
	reply := s.machine.Apply(0, c)
	if fault == "slow" {
		inst.pause()
	}
	return reply, nil
}

// pause lets the other instances act while this one waits or is suspended.
func (inst *instance) pause() {
	inst.blocked = true
	for range inst.random.Intn(12) {
		inst.step()
	}
	inst.blocked = false
}

// step lets a random instance act and advances the time.
func (s *simulation) step() {
	i := s.random.Intn(len(s.instances))
	inst := s.instances[i]
	if !inst.blocked {
		inst.act(i)
	}
	d := time.Duration(s.random.Intn(700))
	if s.random.Intn(12) == 0 {
		d *= 20
	}
	s.advance(d * time.Millisecond)
}

// act restarts the machine or the instance, toggles a partition, or sends or releases,
// at random.
func (inst *instance) act(i int) {
	switch inst.random.Intn(24) {
	case 0, 1:
		_ = inst.Release(context.Background(), "e")
	case 2:
		inst.restart(i)
	case 3:
		restored := NewMachine()
		data, _ := inst.machine.Snapshot()
		if err := restored.Restore(data); err != nil {
			inst.violation = err.Error()
		}
		inst.machine = restored
	case 4, 5:
		inst.partitioned = !inst.partitioned
	default:
		_, _ = inst.command()
	}
}

// fault returns the fault of the next proposal.
func (s *simulation) fault() string {
	if s.noRandomFaults {
		return s.nextFault
	}
	s.applyLate(4)
	return []string{"lost", "late", "unavailable", "twice", "slow", "", "", "", ""}[s.random.Intn(9)]
}

func (inst *instance) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	return inst.machine.Query(q), nil
}

// applyLate applies each late proposal with a probability of 1/n.
func (s *simulation) applyLate(n int) {
	kept := s.lateProposals[:0]
	for _, c := range s.lateProposals {
		if s.random.Intn(n) > 0 {
			kept = append(kept, c)
			continue
		}
		s.machine.Apply(0, c)
	}
	s.lateProposals = kept
}

// advance advances the time and delivers the commands that are due.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	sort.SliceStable(s.inFlight, func(i, j int) bool { return s.inFlight[i].at < s.inFlight[j].at })
	for len(s.inFlight) > 0 && s.inFlight[0].at <= end {
		s.now = s.inFlight[0].at
		_ = s.execute(s.inFlight[0].c)
		s.inFlight = s.inFlight[1:]
	}
	s.now = end
}

// execute executes a command on the engine. An engine that ignores tokens must never
// receive a token that is older than an earlier one.
func (s *simulation) execute(c upstream.Command) error {
	if c.Fence < s.lastCommand.Fence && s.policy == upstream.RejectsStaleToken {
		return refusal.New(refusal.Conflict, "old token")
	}
	if c.Fence < s.lastCommand.Fence || c.Fence == s.lastCommand.Fence && c.ID < s.lastCommand.ID {
		s.violation = fmt.Sprintf("command %s with token %d came after %s with token %d", c.ID, c.Fence, s.lastCommand.ID, s.lastCommand.Fence)
	}
	s.lastCommand = c
	s.executed++
	return nil
}

// Engine may suspend the instance between acquiring the lease and sending the command.
func (inst *instance) Engine(upstream.Upstream) upstream.EngineClient {
	if !inst.noRandomFaults && inst.random.Intn(20) == 0 {
		inst.pause()
	}
	return engine{simulation: inst.simulation}
}

func (inst *instance) Service(upstream.Upstream) upstream.ServiceClient { return nil }

// engine is the client of the only engine. It implements only Command and Describe.
type engine struct {
	upstream.EngineClient
	*simulation
}

func (e engine) Command(_ context.Context, c upstream.Command) error {
	fault := e.random.Intn(6)
	delay := e.delay
	e.delay = 0
	switch {
	case delay > 0:
		e.inFlight = append(e.inFlight, delivery{at: e.now + delay, c: c})
		return refusal.New(refusal.UpstreamFailed, "no answer")
	case !e.noRandomFaults && fault == 0:
		return refusal.New(refusal.NoUpstream, "connection refused")
	case !e.noRandomFaults && fault < 3:
		delay = time.Duration(e.random.Int63n(int64(DefaultTiming.CommandTimeout)))
		e.inFlight = append(e.inFlight, delivery{at: e.now + delay, c: c})
		return refusal.New(refusal.UpstreamFailed, "no answer")
	case !e.noRandomFaults && fault == 3:
		_ = e.execute(c)
		return refusal.New(refusal.UpstreamFailed, "answer lost")
	}
	return e.execute(c)
}

func (e engine) Describe(context.Context) (upstream.Announcement, error) {
	c := e.lastCommand
	return upstream.Announcement{Model: c.Model, Version: c.Version, Layers: c.Layers}, nil
}

// command sends the next command of the instance.
func (inst *instance) command() (Result, error) {
	inst.commandsSent++
	u := upstream.Upstream{Announcement: upstream.Announcement{ID: "e", Fencing: inst.policy}}
	return inst.Send(context.Background(), u, upstream.Command{ID: fmt.Sprintf("%06d", inst.commandsSent), Version: fmt.Sprint(inst.offset, inst.commandsSent)})
}

// TestSchedules guards against a command that reaches an engine after a command of a
// successor or after a later command of the same holder. It runs random schedules with
// faults.
func TestSchedules(t *testing.T) {
	for seed := range int64(300) {
		policy := upstream.FencePolicy(seed % 2)
		s := newSimulation(seed, policy, 0.04)
		for range 300 {
			s.step()
			if s.violation != "" {
				t.Fatalf("seed %d, policy %v: %s", seed, policy, s.violation)
			}
		}
		s.checkProgress(t, seed)
	}
}

// TestClockDrift guards against a successor with a fast clock whose command overtakes
// the last command of a holder with a slow clock.
func TestClockDrift(t *testing.T) {
	s := newSimulation(1, upstream.IgnoresToken, 0.04)
	s.noRandomFaults = true
	slow, fast := s.instances[0], s.instances[2]
	lease, _ := slow.holder.Ensure(context.Background(), "e", s.policy)
	_, _ = fast.command()
	slow.partitioned = true
	for slow.holder.Valid(lease) {
		s.advance(time.Millisecond)
	}
	s.now -= time.Millisecond
	s.delay = DefaultTiming.CommandTimeout
	_, err := slow.command()
	if refusal.KindOf(err) != refusal.OutcomeUnknown {
		t.Fatalf("command at the end of the lease: %v", err)
	}
	for len(s.inFlight) > 0 || s.executed < 2 {
		s.advance(10 * time.Millisecond)
		_, _ = fast.command()
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
}

// TestStaleLeases guards against leases of removed engines that prevent new leases from
// being granted, and against a lease in use that is dropped.
func TestStaleLeases(t *testing.T) {
	s := newSimulation(1, upstream.IgnoresToken, 0)
	s.noRandomFaults = true
	for i := range MaxLeases {
		id := fleet.UpstreamID(fmt.Sprint(i))
		s.machine.leases[id] = grant{Lease: Lease{Upstream: id, Session: "old"}, LastUsed: fakeclock.Start}
	}
	_, err := s.instances[0].command()
	if err == nil {
		t.Error("lease granted above MaxLeases")
	}
	s.machine.leases["1"] = grant{Lease: Lease{Upstream: "1", Session: "old"}, LastUsed: fakeclock.Start.Add(time.Hour)}
	s.now = MaxUnusedAge
	if _, err := s.instances[1].command(); err == nil {
		t.Error("the clock of a single instance made leases stale")
	}
	if _, err := s.instances[0].holder.Ensure(context.Background(), "new", s.policy); err != nil || len(s.machine.leases) != 2 {
		t.Errorf("%d leases after stale ones were dropped, want 2: %v", len(s.machine.leases), err)
	}
}

// FuzzApply guards against a malformed command that crashes a voter.
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

// checkProgress checks that an instance can send commands after all faults have ended.
func (s *simulation) checkProgress(t *testing.T, seed int64) {
	s.applyLate(1)
	s.noRandomFaults = true
	inst := s.instances[0]
	inst.partitioned = false
	for range 4 {
		if r, err := inst.command(); err == nil && r.Applied {
			return
		}
		s.advance(DefaultTiming.Duration + DefaultTiming.CommandTimeout + 2*DefaultTiming.MaxClockDrift)
	}
	t.Fatalf("seed %d: no command succeeds after the faults", seed)
}

// TestScripts guards against a lease that is granted too early or used after its expiry.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			i, by, fault, policy := 0, "0s", "", "ignores"
			d.MaybeScanArgs(t, "instance", &i)
			d.MaybeScanArgs(t, "by", &by)
			d.MaybeScanArgs(t, "fault", &fault)
			d.MaybeScanArgs(t, "policy", &policy)
			if d.Cmd == "new" {
				var p upstream.FencePolicy
				_ = p.UnmarshalText([]byte(policy))
				s = newSimulation(1, p, 0)
				s.noRandomFaults = true
				return ""
			}
			inst := s.instances[i]
			s.nextFault = fault
			switch d.Cmd {
			case "ensure":
				l, err := inst.holder.Ensure(context.Background(), "e", s.policy)
				if err != nil {
					return errorText(err)
				}
				return fmt.Sprintf("token %d renewals %d\n", l.Fence, l.Renewals)
			case "send":
				r, err := inst.command()
				if err != nil {
					return errorText(err)
				}
				return fmt.Sprintf("applied %v with token %d\n", r.Applied, s.lastCommand.Fence)
			case "release":
				if err := inst.Release(context.Background(), "e"); err != nil {
					return errorText(err)
				}
				return "ok\n"
			case "wait":
				d, _ := time.ParseDuration(by)
				s.advance(d)
				return ""
			case "apply-late":
				s.applyLate(1)
				return ""
			}
			return "unknown command"
		})
	})
}

func errorText(err error) string {
	out := refusal.KindOf(err).Response().Code
	if e, ok := err.(*refusal.Error); ok && e.RetryAfter > 0 {
		out += fmt.Sprintf(" retry after %v", e.RetryAfter.Round(100*time.Millisecond))
	}
	return out + "\n"
}
