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

// fakePeer answers proposals by a function.
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

// TestClientRetries guards against a command that is sent twice although the
// first attempt may have been applied, and against a read or a refused command
// that is given up too early.
func TestClientRetries(t *testing.T) {
	is := is.New(t)
	lost := &fakePeer{
		propose: func() (*peerv1.ProposeReply, error) { return nil, status.Error(codes.Unavailable, "connection lost") },
		read:    func() (*peerv1.ReadReply, error) { return nil, status.Error(codes.Unavailable, "connection lost") },
	}
	leader := &fakePeer{
		propose: func() (*peerv1.ProposeReply, error) { return &peerv1.ProposeReply{Reply: []byte("applied")}, nil },
		read:    func() (*peerv1.ReadReply, error) { return &peerv1.ReadReply{Reply: []byte("value")}, nil },
	}
	at := serve(t, is, leader)
	follower := &fakePeer{propose: func() (*peerv1.ProposeReply, error) {
		return &peerv1.ProposeReply{Refusal: &peerv1.Refusal{
			Code: refusal.NotReady.Answer().Code, Leader: at.Address, LeaderInstance: string(at.Instance),
		}}, nil
	}}
	dead := Peer{Instance: "dead", Address: "127.0.0.1:1"}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	c, err := NewClient(Instance("client", ""), Initial(dead, serve(t, is, lost), at))
	is.NoErr(err)
	defer c.Close()
	_, err = c.Propose(ctx, quorum.ConfigGroup, []byte("command"))
	is.Equal(refusal.KindOf(err), refusal.OutcomeUnknown)
	is.Equal(lost.calls.Load(), int64(1))
	is.Equal(leader.calls.Load(), int64(0))
	reply, err := c.Read(ctx, quorum.ConfigGroup, nil)
	is.NoErr(err)
	is.Equal(string(reply), "value")

	c, err = NewClient(Instance("client", ""), Initial(dead, serve(t, is, follower)))
	is.NoErr(err)
	defer c.Close()
	reply, err = c.Propose(ctx, quorum.ConfigGroup, []byte("command"))
	is.NoErr(err)
	is.Equal(string(reply), "applied")

	_, err = c.Propose(ctx, quorum.ConfigGroup, make([]byte, MaxCommandBytes+1))
	is.Equal(refusal.KindOf(err), refusal.TooLarge)
}

// TestNoLeader guards against an unknown outcome where it is certain that nothing
// was applied.
func TestNoLeader(t *testing.T) {
	is := is.New(t)
	c, err := NewClient(Instance("client", ""), Initial(Peer{Instance: "dead", Address: "127.0.0.1:1"}))
	is.NoErr(err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Propose(ctx, quorum.ConfigGroup, []byte("command"))
	is.Equal(refusal.KindOf(err), refusal.NotReady)
}

// TestChunks guards against a snapshot that is put together wrongly.
func TestChunks(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, chunkBytes, chunkBytes + 1, 3*chunkBytes + 7} {
		state := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
		m := replica.Message{Kind: replica.InstallSnapshot, Snapshot: &replica.Snapshot{Index: 5, State: state}}
		var a assembler
		ps := chunks(m)
		for _, p := range ps[:len(ps)-1] {
			is.True(!a.add(p))
		}
		last := ps[len(ps)-1]
		is.True(a.add(last))
		is.True(bytes.Equal(last.GetSnapshot().GetState(), state))
	}
}

// TestOneWayCut guards against a leader that is cut in one direction and holds up
// the group, through the whole stack.
func TestOneWayCut(t *testing.T) {
	s := newSite(t, 3)
	for i := range 3 {
		s.start(i)
	}
	c, err := NewClient(Instance("client", ""), Initial(s.peers...))
	s.is.NoErr(err)
	defer c.Close()
	for i := range 3 {
		cuts := make(map[[2]fleet.InstanceID]bool)
		for _, p := range s.peers {
			cuts[[2]fleet.InstanceID{p.Instance, s.peers[i].Instance}] = true
		}
		s.propose(c, "before "+string(s.peers[i].Instance))
		s.cut.Store(&cuts)
		s.propose(c, "to "+string(s.peers[i].Instance))
		s.cut.Store(&map[[2]fleet.InstanceID]bool{})
		s.propose(s.nodes[i].voter, "after "+string(s.peers[i].Instance))
	}
	reply, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
	s.is.NoErr(err)
	s.is.Equal(string(reply), "9")
}
