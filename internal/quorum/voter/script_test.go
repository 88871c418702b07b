package voter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/quorumtest"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripted cases in testdata. Each file says which failure
// it guards against. A place is named by its instance, so it keeps its name when
// its voter is replaced.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s script
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct {
	*world
	copies map[fleet.InstanceID]*quorumtest.Disk
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	n := 1
	d.MaybeScanArgs(t, "n", &n)
	if d.Cmd == "start" {
		s.world = newWorld(1, n)
		if d.HasArg("open") {
			s.newcomers = true
			for _, p := range s.sites {
				p.member.open = true
			}
		}
		s.copies = make(map[fleet.InstanceID]*quorumtest.Disk)
	}
	p, to := s.place(t, d, "at"), s.place(t, d, "to")
	s.log = nil
	switch d.Cmd {
	case "start":
	case "elect":
		s.elect(p)
	case "pass":
		s.pass(n, s.place(t, d, "without"))
	case "cut":
		s.cuts[[2]fleet.InstanceID{p.instance, to.instance}] = true
	case "isolate":
		s.isolate(p, 2)
	case "heal":
		clear(s.cuts)
	case "propose":
		for _, line := range strings.Split(d.Input, "\n") {
			p.propose(line)
		}
		s.drain()
	case "read":
		p.read()
		s.drain()
	case "transfer":
		if err := p.member.replica.Transfer(to.id); err != nil {
			s.note("%v", err)
		}
		p.flush()
		s.drain()
	case "remove":
		s.remove(p, to)
	case "vote":
		s.vote(p, to)
	default:
		s.runFault(t, d, p)
	}
	if s.broken != nil {
		s.note("violated: %v", s.broken)
	}
	return strings.Join(append(s.log, s.describe()...), "\n") + "\n"
}

func (s *script) runFault(t *testing.T, d *datadriven.TestData, p *place) {
	switch d.Cmd {
	case "freeze":
		p.asleep = true
	case "thaw":
		p.thaw()
	case "kill":
		p.kill(false)
	case "powerLoss":
		p.kill(true)
	case "restart":
		p.restart()
	case "failSync":
		p.disk.FailSyncs(1)
	case "copyDisk":
		s.copies[p.instance] = p.disk.Copy()
	case "rollBack":
		p.kill(true)
		p.disk = s.copies[p.instance]
		p.term = 0
		p.restart()
	case "replace":
		p.replace()
	case "add":
		s.add()
	case "join":
		s.joinAll()
		s.drain()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func (s *script) place(t *testing.T, d *datadriven.TestData, key string) *place {
	k := 0
	d.MaybeScanArgs(t, key, &k)
	if k == 0 {
		return nil
	}
	return s.sites[k-1]
}

// elect lets only one member's time pass until it leads.
func (s *script) elect(p *place) {
	for range 10 * electionTicks {
		if p.member.replica.Leader() == p.id {
			return
		}
		p.tick(1)
		s.drain()
	}
}

// pass lets time pass, except for a place whose clock stands still.
func (s *script) pass(n int, without *place) {
	for range n {
		for _, p := range s.sites {
			if p == without || p.member == nil {
				continue
			}
			if p.asleep {
				p.frozen++
				continue
			}
			p.tick(1)
		}
		s.drain()
	}
}

func (s *script) drain() {
	for len(s.net) > 0 && s.broken == nil {
		if to := s.byID(s.net[0].To); to != nil && to.asleep {
			s.lose(0)
			continue
		}
		s.deliver(0, false)
	}
}

func (s *script) remove(p, which *place) {
	p.member.change(replica.Change{Kind: replica.Remove, Voter: replica.Voter{ID: which.id}}, func(_ []byte, err error) {
		s.note("remove: %s", outcome(err))
	})
	p.flush()
	s.drain()
}

// vote asks a member for its vote in term 9 and notes the reply.
func (s *script) vote(p, candidate *place) {
	p.member.step(replica.Message{
		Kind: replica.Vote, From: candidate.id, To: p.id, Term: 9, LogIndex: 1000, LogTerm: 8,
	})
	p.flush()
	for _, m := range s.net {
		s.note("%s from %d to %d: reject=%v", m.Kind, m.From, m.To, m.Reject)
	}
	s.net = nil
}

// describe lists the state of all places. Entries of the leader are counted by
// its applied commands.
func (s *script) describe() []string {
	var lines []string
	for _, p := range s.sites {
		if !p.runs() {
			lines = append(lines, fmt.Sprintf("%s: stopped", p.instance))
			continue
		}
		if p.member.failure != nil {
			lines = append(lines, fmt.Sprintf("%s: %v", p.instance, p.member.failure))
			continue
		}
		st := p.member.status()
		lines = append(lines, fmt.Sprintf("%s: voter %d %s term=%d leader=%d commit=%d members=%s",
			p.instance, st.Voter, st.Role, st.Term, st.Leader, st.Commit, members(st)))
	}
	return lines
}

func members(st GroupStatus) string {
	var names []string
	for _, m := range st.Members {
		name := fmt.Sprint(m.ID)
		if m.Learner {
			name += " learner"
		}
		if m.Lost {
			name += " lost"
		}
		names = append(names, name)
	}
	return "(" + strings.Join(names, ", ") + ")"
}

var _ quorum.Reader = (*chain)(nil)
