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

// TestScripts runs the scripts in testdata. The head of each file states which
// failure it guards against. Commands name a peer by its instance, which stays the
// same when its voter is replaced.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s script
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script runs the commands of one file against a simulation.
type script struct {
	*simulation
	// copies are the results of copyDisk, for rollBack.
	copies map[fleet.InstanceID]*quorumtest.Disk
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	n := 1
	d.MaybeScanArgs(t, "n", &n)
	if d.Cmd == "start" {
		s.simulation = newSimulation(1, n)
		if d.HasArg("allowJoin") {
			s.allowJoin = true
		}
		d.MaybeScanArgs(t, "faultTolerance", &s.faultTolerance)
		for _, p := range s.peers {
			p.member.allowJoin, p.member.faultTolerance = s.allowJoin, s.faultTolerance
		}
		s.copies = make(map[fleet.InstanceID]*quorumtest.Disk)
	}
	p, to := s.peer(t, d, "at"), s.peer(t, d, "to")
	s.output = nil
	switch d.Cmd {
	case "start":
	case "elect":
		s.elect(p)
	case "advance":
		s.advance(n, s.peer(t, d, "without"))
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
		if err := p.member.replica.TransferLeadership(to.id); err != nil {
			s.printf("%v", err)
		}
		p.flush()
		s.drain()
	case "remove":
		s.remove(p, to)
	case "vote":
		s.vote(p, to)
	case "stop":
		s.stop(p)
	default:
		s.runFault(t, d, p)
	}
	if s.violation != nil {
		s.printf("violated: %v", s.violation)
	}
	return strings.Join(append(s.output, s.describe()...), "\n") + "\n"
}

func (s *script) runFault(t *testing.T, d *datadriven.TestData, p *simPeer) {
	switch d.Cmd {
	case "freeze":
		p.frozen = true
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
		s.addPeer()
	case "join":
		s.joinAll()
		s.drain()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

func (s *script) peer(t *testing.T, d *datadriven.TestData, key string) *simPeer {
	k := 0
	d.MaybeScanArgs(t, key, &k)
	if k == 0 {
		return nil
	}
	return s.peers[k-1]
}

// elect advances only the clock of p until p leads.
func (s *script) elect(p *simPeer) {
	for range 10 * electionTicks {
		if p.member.replica.Leader() == p.id {
			return
		}
		p.tick(1)
		s.drain()
	}
}

// advance runs n ticks on all peers but one whose clock stands still, and delivers
// the messages after each.
func (s *script) advance(n int, without *simPeer) {
	for range n {
		for _, p := range s.peers {
			if p == without || p.member == nil {
				continue
			}
			if p.frozen {
				p.missedTicks++
				continue
			}
			p.tick(1)
		}
		s.drain()
	}
}

// drain delivers all messages. Messages to frozen peers are dropped.
func (s *script) drain() {
	for len(s.inFlight) > 0 && s.violation == nil {
		if to := s.peerByID(s.inFlight[0].To); to != nil && to.frozen {
			s.drop(0)
			continue
		}
		s.deliver(0, false)
	}
}

func (s *script) remove(p, which *simPeer) {
	p.member.change(replica.Change{Kind: replica.Remove, Voter: replica.Voter{ID: which.id}}, func(_ []byte, err error) {
		s.printf("remove: %s", outcomeCode(err))
	})
	p.flush()
	s.drain()
}

// stop stops a voter as Voter.Stop does: it leaves the group first if it can.
func (s *script) stop(p *simPeer) {
	for _, at := range s.peers {
		if at != p && at.running() && at.member.replica.Leader() == at.id {
			p.leave(at, func(err error) { s.printf("leave: %s", outcomeCode(err)) })
			s.drain()
		}
	}
	p.kill(false)
}

// vote sends p a vote request in term 9 and prints the reply.
func (s *script) vote(p, candidate *simPeer) {
	p.member.step(replica.Message{
		Kind: replica.Vote, From: candidate.id, To: p.id, Term: 9, LogIndex: 1000, LogTerm: 8,
	})
	p.flush()
	for _, m := range s.inFlight {
		s.printf("%s from %d to %d: reject=%v", m.Kind, m.From, m.To, m.Reject)
	}
	s.inFlight = nil
}

// describe returns one line with the state of each peer.
func (s *script) describe() []string {
	var lines []string
	for _, p := range s.peers {
		if !p.running() {
			lines = append(lines, fmt.Sprintf("%s: stopped", p.instance))
			continue
		}
		if p.member.failure != nil {
			lines = append(lines, fmt.Sprintf("%s: %v", p.instance, p.member.failure))
			continue
		}
		st := p.member.status()
		lines = append(lines, fmt.Sprintf("%s: voter %d %s term=%d leader=%d commit=%d members=%s",
			p.instance, st.Voter, st.Role, st.Term, st.Leader, st.Commit, formatMembers(st)))
	}
	return lines
}

func formatMembers(st GroupStatus) string {
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

var _ quorum.QueryableStateMachine = (*hashChain)(nil)
