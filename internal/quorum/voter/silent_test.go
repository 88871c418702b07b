package voter

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// stallingPeer answers proposals unless it is stalled.
type stallingPeer struct {
	peerv1.UnimplementedPeerServer
	stalled atomic.Bool
}

func (p *stallingPeer) Propose(ctx context.Context, _ *peerv1.ProposeRequest) (*peerv1.ProposeReply, error) {
	if p.stalled.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerv1.ProposeReply{Reply: []byte("done")}, nil
}

// TestUnresponsiveLeader guards against a client that keeps trying a frozen or
// disconnected leader first, so that every proposal ends with an unknown outcome
// although another leader was elected.
func TestUnresponsiveLeader(t *testing.T) {
	is := is.New(t)
	frozen, elected := &stallingPeer{}, &stallingPeer{}
	c, err := NewClient(
		Instance("client", ""),
		InitialVoters(Peer{ID: 1, Instance: "a", Address: servePeer(t, frozen)}, Peer{ID: 2, Instance: "b", Address: servePeer(t, elected)}),
		AttemptTimeout(200*time.Millisecond),
	)
	is.NoErr(err)
	defer c.Close()
	propose := func() error {
		_, err := c.Propose(context.Background(), quorum.ConfigGroup, []byte("x"))
		return err
	}
	is.NoErr(propose()) // a is remembered as the leader
	frozen.stalled.Store(true)
	is.Equal(refusal.KindOf(propose()), refusal.OutcomeUnknown)
	is.NoErr(propose()) // b is tried first now
}

func servePeer(t *testing.T, p *stallingPeer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	peerv1.RegisterPeerServer(s, p)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	return listener.Addr().String()
}
