package voter

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
)

// register is a state machine that keeps its commands, each of them once as real
// state machines do. A query returns their number.
type register struct {
	mu       sync.Mutex
	commands []string
}

func (r *register) Apply(i quorum.Index, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.commands, string(command)) {
		r.commands = append(r.commands, string(command))
	}
	return []byte(fmt.Sprintf("%s applied", command))
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b []byte
	for _, c := range r.commands {
		b = binary.AppendUvarint(b, uint64(len(c)))
		b = append(b, c...)
	}
	return b, nil
}

func (r *register) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = nil
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		r.commands = append(r.commands, string(b[k:k+int(n)]))
		b = b[k+int(n):]
	}
	return nil
}

func (r *register) Query([]byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []byte(fmt.Sprint(len(r.commands)))
}

// site is a group of voters on loopback.
type site struct {
	is    *is.I
	dir   string
	peers []Peer
	nodes []*node
	// machine returns a new state machine.
	machine func() quorum.Reader
	cut     atomic.Pointer[map[[2]fleet.InstanceID]bool]
}

type node struct {
	voter    *Voter
	server   *grpc.Server
	listener net.Listener
}

func newSite(t testing.TB, n int) *site {
	s := &site{is: is.New(t), dir: t.TempDir(), machine: func() quorum.Reader { return &register{} }}
	s.cut.Store(&map[[2]fleet.InstanceID]bool{})
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.is.NoErr(err)
		s.nodes = append(s.nodes, &node{listener: l})
		s.peers = append(s.peers, Peer{
			ID: quorum.VoterID(i + 1), Instance: fleet.InstanceID(fmt.Sprintf("i%d", i+1)), Address: l.Addr().String(),
		})
	}
	t.Cleanup(func() {
		for i := range n {
			s.stop(i)
		}
	})
	return s
}

func (s *site) folder(i int) string { return filepath.Join(s.dir, fmt.Sprint(i)) }

func (s *site) start(i int) {
	n := s.nodes[i]
	var err error
	n.voter, err = New(
		Instance(s.peers[i].Instance, s.peers[i].Address), Folder(s.folder(i)), Initial(s.peers...),
		Group(quorum.ConfigGroup, s.machine()), Tick(10*time.Millisecond), SnapshotEntries(50, 10),
		Cut(func(from, to fleet.InstanceID) bool { return (*s.cut.Load())[[2]fleet.InstanceID{from, to}] }),
	)
	s.is.NoErr(err)
	if n.listener == nil {
		n.listener, err = net.Listen("tcp", s.peers[i].Address)
		s.is.NoErr(err)
	}
	n.server = grpc.NewServer(ServerOptions()...)
	n.voter.Register(n.server)
	go func(l net.Listener, g *grpc.Server) { _ = g.Serve(l) }(n.listener, n.server)
}

func (s *site) stop(i int) {
	n := s.nodes[i]
	if n.voter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.is.NoErr(n.voter.Stop(ctx))
	n.server.Stop()
	n.voter, n.listener = nil, nil
}

// propose repeats a command until its outcome is known to be a success.
func (s *site) propose(p quorum.Proposer, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		reply, err := p.Propose(ctx, quorum.ConfigGroup, []byte(command))
		if refusal.KindOf(err) == refusal.OutcomeUnknown && ctx.Err() == nil {
			continue
		}
		s.is.NoErr(err)
		s.is.Equal(string(reply), command+" applied")
		return
	}
}

// TestVoters guards against faults between transport, journal and replica: three
// voters elect a leader, every voter and a client can propose and read, a
// stopped leader hands over, and a restarted voter catches up.
func TestVoters(t *testing.T) {
	s := newSite(t, 3)
	for i := range 3 {
		s.start(i)
	}
	c, err := NewClient(Instance("client", ""), Initial(s.peers...))
	s.is.NoErr(err)
	defer c.Close()
	for i := range 60 {
		s.propose(s.nodes[i%3].voter, fmt.Sprint("command ", i))
	}
	s.propose(c, "from client")
	for i := range 3 {
		s.stop(i)
		s.propose(c, fmt.Sprint("without ", i))
		s.start(i)
		s.propose(c, fmt.Sprint("again with ", i))
	}
	reply, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
	s.is.NoErr(err)
	s.is.Equal(string(reply), "67")
	problems, err := testutil.CollectAndLint(s.nodes[0].voter.Collector())
	s.is.NoErr(err)
	s.is.Equal(len(problems), 0)
}

// Guards against a replica that takes the leadership of another one for its own: only
// the leader's own replica answers Lead.
func TestOnlyTheLeaderLeads(t *testing.T) {
	s := newSite(t, 3)
	for i := range 3 {
		s.start(i)
	}
	ctx := context.Background()
	_, err := s.nodes[0].voter.Read(ctx, quorum.ConfigGroup, nil)
	s.is.NoErr(err)
	leaders := 0
	for _, n := range s.nodes {
		reply, term, err := n.voter.Lead(ctx, quorum.ConfigGroup, nil)
		if err != nil {
			s.is.Equal(refusal.KindOf(err), refusal.NotReady)
			continue
		}
		leaders++
		s.is.Equal(string(reply), "0")
		s.is.True(term > 0)
	}
	s.is.Equal(leaders, 1)
}
