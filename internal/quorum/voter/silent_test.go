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

// silentPeer answers proposals unless it is silent.
type silentPeer struct {
	peerv1.UnimplementedPeerServer
	silent atomic.Bool
}

func (f *silentPeer) Propose(ctx context.Context, _ *peerv1.ProposeRequest) (*peerv1.ProposeReply, error) {
	if f.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerv1.ProposeReply{Reply: []byte("done")}, nil
}

// TestSilentLeader guards against a client that asks a frozen or cut-off leader
// first for ever, so that every proposal ends with an unknown outcome although
// another leader was elected.
func TestSilentLeader(t *testing.T) {
	is := is.New(t)
	frozen, elected := &silentPeer{}, &silentPeer{}
	c, err := NewClient(
		Instance("client", ""),
		Initial(Peer{ID: 1, Instance: "a", Address: servePeer(t, frozen)}, Peer{ID: 2, Instance: "b", Address: servePeer(t, elected)}),
		AttemptTimeout(200*time.Millisecond),
	)
	is.NoErr(err)
	defer c.Close()
	propose := func() error {
		_, err := c.Propose(context.Background(), quorum.ConfigGroup, []byte("x"))
		return err
	}
	is.NoErr(propose()) // a is remembered as the leader
	frozen.silent.Store(true)
	is.Equal(refusal.KindOf(propose()), refusal.OutcomeUnknown)
	is.NoErr(propose()) // b is asked first now
}

func servePeer(t *testing.T, f *silentPeer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	peerv1.RegisterPeerServer(s, f)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	return listener.Addr().String()
}
