package voter

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// fakePeer answers proposals and reads with functions, and counts the calls.
type fakePeer struct {
	peerv1.UnimplementedPeerServer
	propose func() (*peerv1.ProposeReply, error)
	read    func() (*peerv1.ReadReply, error)
	calls   atomic.Int64
}

func (p *fakePeer) Propose(context.Context, *peerv1.ProposeRequest) (*peerv1.ProposeReply, error) {
	p.calls.Add(1)
	return p.propose()
}

func (p *fakePeer) Read(context.Context, *peerv1.ReadRequest) (*peerv1.ReadReply, error) {
	p.calls.Add(1)
	return p.read()
}

func serve(t *testing.T, is *is.I, p *fakePeer) Peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := grpc.NewServer()
	peerv1.RegisterPeerServer(g, p)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	return Peer{Instance: fleet.InstanceID(l.Addr().String()), Address: l.Addr().String()}
}

// TestClientRetries guards against a command that is sent again although the first
// attempt may have been applied, and against a client that does not retry a read or
// a refused command.
func TestClientRetries(t *testing.T) {
	is := is.New(t)
	disconnecting := &fakePeer{
		propose: func() (*peerv1.ProposeReply, error) { return nil, status.Error(codes.Unavailable, "connection lost") },
		read:    func() (*peerv1.ReadReply, error) { return nil, status.Error(codes.Unavailable, "connection lost") },
	}
	leader := &fakePeer{
		propose: func() (*peerv1.ProposeReply, error) { return &peerv1.ProposeReply{Reply: []byte("applied")}, nil },
		read:    func() (*peerv1.ReadReply, error) { return &peerv1.ReadReply{Reply: []byte("value")}, nil },
	}
	leaderPeer := serve(t, is, leader)
	follower := &fakePeer{propose: func() (*peerv1.ProposeReply, error) {
		return &peerv1.ProposeReply{Refusal: &peerv1.Refusal{
			Code: refusal.NotReady.Response().Code, Leader: leaderPeer.Address, LeaderInstance: string(leaderPeer.Instance),
		}}, nil
	}}
	unreachable := Peer{Instance: "dead", Address: "127.0.0.1:1"}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	c, err := NewClient(Instance("client", ""), InitialVoters(unreachable, serve(t, is, disconnecting), leaderPeer))
	is.NoErr(err)
	defer c.Close()
	_, err = c.Propose(ctx, quorum.ConfigGroup, []byte("command"))
	is.Equal(refusal.KindOf(err), refusal.OutcomeUnknown)
	is.Equal(disconnecting.calls.Load(), int64(1))
	is.Equal(leader.calls.Load(), int64(0))
	reply, err := c.Read(ctx, quorum.ConfigGroup, nil)
	is.NoErr(err)
	is.Equal(string(reply), "value")

	c, err = NewClient(Instance("client", ""), InitialVoters(unreachable, serve(t, is, follower)))
	is.NoErr(err)
	defer c.Close()
	reply, err = c.Propose(ctx, quorum.ConfigGroup, []byte("command"))
	is.NoErr(err)
	is.Equal(string(reply), "applied")

	_, err = c.Propose(ctx, quorum.ConfigGroup, make([]byte, MaxCommandBytes+1))
	is.Equal(refusal.KindOf(err), refusal.TooLarge)
}

// TestNoLeader guards against a client that reports an unknown outcome although the
// command was certainly not applied.
func TestNoLeader(t *testing.T) {
	is := is.New(t)
	c, err := NewClient(Instance("client", ""), InitialVoters(Peer{Instance: "dead", Address: "127.0.0.1:1"}))
	is.NoErr(err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Propose(ctx, quorum.ConfigGroup, []byte("command"))
	is.Equal(refusal.KindOf(err), refusal.NotReady)
}

// TestChunks guards against a snapshot that differs after it was sent in chunks.
func TestChunks(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, maxChunkBytes, maxChunkBytes + 1, 3*maxChunkBytes + 7} {
		state := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
		m := replica.Message{Kind: replica.InstallSnapshot, Snapshot: &replica.Snapshot{Index: 5, State: state}}
		var a snapshotAssembler
		ps := splitSnapshot(m)
		for _, p := range ps[:len(ps)-1] {
			is.True(!a.add(p))
		}
		last := ps[len(ps)-1]
		is.True(a.add(last))
		is.True(bytes.Equal(last.GetSnapshot().GetState(), state))
	}
}

// TestOneWayCut guards against a leader that blocks the group while its link is cut
// in one direction. It uses real voters, including transport and journal.
func TestOneWayCut(t *testing.T) {
	tc := newTestCluster(t, 3)
	for i := range 3 {
		tc.start(i)
	}
	c, err := NewClient(Instance("client", ""), InitialVoters(tc.peers...))
	tc.is.NoErr(err)
	defer c.Close()
	for i := range 3 {
		cuts := make(map[[2]fleet.InstanceID]bool)
		for _, p := range tc.peers {
			cuts[[2]fleet.InstanceID{p.Instance, tc.peers[i].Instance}] = true
		}
		tc.propose(c, "before "+string(tc.peers[i].Instance))
		tc.cut.Store(&cuts)
		tc.propose(c, "to "+string(tc.peers[i].Instance))
		tc.cut.Store(&map[[2]fleet.InstanceID]bool{})
		tc.propose(tc.instances[i].voter, "after "+string(tc.peers[i].Instance))
	}
	reply, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
	tc.is.NoErr(err)
	tc.is.Equal(string(reply), "9")
}
