package voter

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
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

// recordingMachine is a state machine that records its commands. It records a
// repeated command once, as real state machines do. A query returns the number of
// commands.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (r *recordingMachine) Apply(i quorum.Index, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.commands, string(command)) {
		r.commands = append(r.commands, string(command))
	}
	return []byte(fmt.Sprintf("%s applied", command))
}

func (r *recordingMachine) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b []byte
	for _, c := range r.commands {
		b = binary.AppendUvarint(b, uint64(len(c)))
		b = append(b, c...)
	}
	return b, nil
}

func (r *recordingMachine) Restore(b []byte) error {
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

func (r *recordingMachine) Query([]byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []byte(fmt.Sprint(len(r.commands)))
}

// testCluster is a group of voters on the loopback interface.
type testCluster struct {
	is        *is.I
	dir       string
	peers     []Peer
	instances []*testInstance
	// machine returns a new state machine.
	machine func() quorum.QueryableStateMachine
	options []Option
	cut     atomic.Pointer[map[[2]fleet.InstanceID]bool]
}

// testInstance is a voter with its gRPC server.
type testInstance struct {
	voter    *Voter
	server   *grpc.Server
	listener net.Listener
}

func newTestCluster(t testing.TB, n int) *testCluster {
	tc := &testCluster{is: is.New(t), dir: t.TempDir(), machine: func() quorum.QueryableStateMachine { return &recordingMachine{} }}
	tc.cut.Store(&map[[2]fleet.InstanceID]bool{})
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		tc.is.NoErr(err)
		tc.instances = append(tc.instances, &testInstance{listener: l})
		tc.peers = append(tc.peers, Peer{
			ID: quorum.VoterID(i + 1), Instance: fleet.InstanceID(fmt.Sprintf("i%d", i+1)), Address: l.Addr().String(),
		})
	}
	t.Cleanup(func() {
		for i := range n {
			tc.stop(i)
		}
	})
	return tc
}

func (tc *testCluster) folder(i int) string { return filepath.Join(tc.dir, fmt.Sprint(i)) }

func (tc *testCluster) start(i int) {
	inst := tc.instances[i]
	var err error
	inst.voter, err = New(append([]Option{
		Instance(tc.peers[i].Instance, tc.peers[i].Address), Folder(tc.folder(i)), InitialVoters(tc.peers...),
		Group(quorum.ConfigGroup, tc.machine()), TickInterval(10 * time.Millisecond), SnapshotEntries(50, 10),
		Cut(func(from, to fleet.InstanceID) bool { return (*tc.cut.Load())[[2]fleet.InstanceID{from, to}] }),
	}, tc.options...)...)
	tc.is.NoErr(err)
	if inst.listener == nil {
		inst.listener, err = net.Listen("tcp", tc.peers[i].Address)
		tc.is.NoErr(err)
	}
	inst.server = grpc.NewServer(ServerOptions()...)
	inst.voter.Register(inst.server)
	go func(l net.Listener, g *grpc.Server) { _ = g.Serve(l) }(inst.listener, inst.server)
}

func (tc *testCluster) stop(i int) {
	inst := tc.instances[i]
	if inst.voter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	tc.is.NoErr(inst.voter.Stop(ctx))
	inst.server.Stop()
	inst.voter, inst.listener = nil, nil
}

// propose repeats a command while its outcome is unknown, and checks that it
// succeeds.
func (tc *testCluster) propose(p quorum.Proposer, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		reply, err := p.Propose(ctx, quorum.ConfigGroup, []byte(command))
		if refusal.KindOf(err) == refusal.OutcomeUnknown && ctx.Err() == nil {
			continue
		}
		tc.is.NoErr(err)
		tc.is.Equal(string(reply), command+" applied")
		return
	}
}

// TestVoters guards against faults in the interaction of transport, journal and
// replica: three voters elect a leader, every voter and a client can propose and
// read, a stopped leader transfers the leadership, and a restarted voter catches up.
func TestVoters(t *testing.T) {
	tc := newTestCluster(t, 3)
	for i := range 3 {
		tc.start(i)
	}
	c, err := NewClient(Instance("client", ""), InitialVoters(tc.peers...))
	tc.is.NoErr(err)
	defer c.Close()
	for i := range 60 {
		tc.propose(tc.instances[i%3].voter, fmt.Sprint("command ", i))
	}
	tc.propose(c, "from client")
	for i := range 3 {
		tc.stop(i)
		tc.propose(c, fmt.Sprint("without ", i))
		tc.start(i)
		tc.propose(c, fmt.Sprint("again with ", i))
	}
	reply, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
	tc.is.NoErr(err)
	tc.is.Equal(string(reply), "67")
	problems, err := testutil.CollectAndLint(tc.instances[0].voter.Collector())
	tc.is.NoErr(err)
	tc.is.Equal(len(problems), 0)
}

// TestStopLeaves guards against a voter that still counts towards the majority after a
// planned stop, the leader included, and against one that stays out after its restart.
func TestStopLeaves(t *testing.T) {
	tc := newTestCluster(t, 4)
	tc.options = []Option{AllowJoin()}
	for i := range 4 {
		tc.start(i)
	}
	for i := range 4 {
		voter := tc.instances[i].voter
		tc.propose(voter, fmt.Sprint("before ", i))
		tc.stop(i)
		tc.is.Equal(tc.voters((i+1)%4), 3) // on the leader, at once
		tc.start(i)
		for tc.voters(i) < 4 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	tc.stop(0)
	tc.stop(1) // A group of three needs its voters.
	tc.is.Equal(tc.voters(2), 3)
	tc.propose(tc.instances[2].voter, "with two of three")
}

// TestHalfLeadsAfterLostDisk guards against four voters that stand still when one of them is gone
// and another one is back without its disk.
func TestHalfLeadsAfterLostDisk(t *testing.T) {
	tc := newTestCluster(t, 4)
	for i := range 4 {
		tc.start(i)
	}
	tc.propose(tc.instances[3].voter, "before")
	tc.stop(0) // Without AllowJoin, it remains a voter.
	tc.stop(1)
	tc.is.NoErr(os.RemoveAll(tc.folder(1)))
	tc.start(1)
	tc.propose(tc.instances[3].voter, "with two of four")
	for tc.voters(3) < 4 {
		time.Sleep(10 * time.Millisecond)
	}
	tc.propose(tc.instances[1].voter, "with three of four")
}

// voters returns the number of voters as the leader knows them. Instance i must run.
func (tc *testCluster) voters(i int) int {
	for {
		for _, inst := range tc.instances {
			if inst.voter == nil {
				continue
			}
			for _, s := range inst.voter.Status(context.Background()) {
				if s.Role == "leader" {
					return len(slices.DeleteFunc(s.Members, func(m MemberStatus) bool { return m.Learner }))
				}
			}
		}
		// Read waits for a leader.
		_, err := tc.instances[i].voter.Read(context.Background(), quorum.ConfigGroup, nil)
		tc.is.NoErr(err)
	}
}

// TestLeadOnlyOnLeader guards against a replica that mistakes the leadership of
// another one for its own: only the replica of the leader answers Lead.
func TestLeadOnlyOnLeader(t *testing.T) {
	tc := newTestCluster(t, 3)
	for i := range 3 {
		tc.start(i)
	}
	ctx := context.Background()
	_, err := tc.instances[0].voter.Read(ctx, quorum.ConfigGroup, nil)
	tc.is.NoErr(err)
	leaders := 0
	for _, inst := range tc.instances {
		reply, term, err := inst.voter.Lead(ctx, quorum.ConfigGroup, nil)
		if err != nil {
			tc.is.Equal(refusal.KindOf(err), refusal.NotReady)
			continue
		}
		leaders++
		tc.is.Equal(string(reply), "0")
		tc.is.True(term > 0)
	}
	tc.is.Equal(leaders, 1)
}
