package voter

import (
	"context"
	"runtime"
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

const (
	outboxMessages  = 4096
	batchMessages   = 256
	batchBytes      = 4 << 20
	chunkBytes      = 1 << 20
	snapshotTimeout = 30 * time.Second
)

// connections holds one connection for each address.
type connections struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	closed  bool
}

func newConnections(options []grpc.DialOption) *connections {
	return &connections{options: options, conns: make(map[string]*grpc.ClientConn)}
}

func (c *connections) get(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("connections are closed")
	}
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// ready returns a connection that is established. An error means that nothing
// was sent.
func (c *connections) ready(ctx context.Context, address string) (*grpc.ClientConn, error) {
	conn, err := c.get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		s := conn.GetState()
		switch s {
		case connectivity.Ready:
			return conn, nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, errors.Errorf("%s is not reachable", address)
		case connectivity.Idle:
			conn.Connect()
		}
		if !conn.WaitForStateChange(ctx, s) {
			return nil, errors.Errorf("%s is not reachable in time", address)
		}
	}
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

type envelope struct {
	group   quorum.GroupID
	message replica.Message
}

// transport sends consensus messages in batches, one stream for each address.
type transport struct {
	config   *config
	conns    *connections
	self     replica.Voter
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	outboxes map[string]chan envelope
	wait     sync.WaitGroup
}

func newTransport(c *config, conns *connections, self replica.Voter) *transport {
	t := &transport{config: c, conns: conns, self: self, outboxes: make(map[string]chan envelope)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// send queues a message. It drops the message when the queue is full or the link
// is cut, which the protocol tolerates. It calls sent once for each snapshot.
func (t *transport) send(to replica.Voter, e envelope, sent func(error)) {
	cut := t.config.cut(t.self.Instance, to.Instance)
	if cut && e.message.Kind == replica.InstallSnapshot {
		sent(errors.New("link is cut"))
	}
	if cut {
		return
	}
	if e.message.Kind == replica.InstallSnapshot {
		t.sendSnapshot(to, e, sent)
		return
	}
	select {
	case t.outbox(to.Address) <- e:
	default:
	}
}

func (t *transport) outbox(address string) chan envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	if box, ok := t.outboxes[address]; ok {
		return box
	}
	box := make(chan envelope, outboxMessages)
	t.outboxes[address] = box
	t.wait.Go(func() {
		var s peerv1.Peer_ConsensusClient
		for {
			select {
			case <-t.ctx.Done():
				return
			case e := <-box:
				s = t.sendBatch(s, address, collect(e, box))
			}
		}
	})
	return box
}

// sendBatch sends over s, or over a new stream if s is nil. It returns nil when
// the stream failed.
func (t *transport) sendBatch(s peerv1.Peer_ConsensusClient, address string, b *peerv1.ConsensusBatch) peerv1.Peer_ConsensusClient {
	if s == nil {
		conn, err := t.conns.get(address)
		if err != nil {
			return nil
		}
		if s, err = peerv1.NewPeerClient(conn).Consensus(t.ctx); err != nil {
			return nil
		}
	}
	b.Sender = senderOf(t.self)
	if s.Send(b) != nil {
		return nil
	}
	return s
}

// sendSnapshot uses a stream of its own, so that heartbeats don't wait for the
// snapshot.
func (t *transport) sendSnapshot(to replica.Voter, e envelope, sent func(error)) {
	t.wait.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, snapshotTimeout)
		defer cancel()
		conn, err := t.conns.get(to.Address)
		if err == nil {
			err = t.streamOnce(ctx, conn, e)
		}
		sent(err)
	})
}

func (t *transport) streamOnce(ctx context.Context, conn *grpc.ClientConn, e envelope) error {
	s, err := peerv1.NewPeerClient(conn).Consensus(ctx)
	if err != nil {
		return err
	}
	for _, m := range chunks(e.message) {
		b := &peerv1.ConsensusBatch{
			Sender: senderOf(t.self),
			Groups: []*peerv1.GroupMessages{{Group: string(e.group), Messages: []*peerv1.Message{m}}},
		}
		if err := s.Send(b); err != nil {
			return err
		}
	}
	_, err = s.CloseAndRecv()
	return err
}

// chunks splits a snapshot into messages of bounded size. They share the state.
func chunks(m replica.Message) []*peerv1.Message {
	var ms []*peerv1.Message
	rest := m.Snapshot.State
	for {
		n := min(len(rest), chunkBytes)
		part := *m.Snapshot
		part.State = rest[:n]
		rest = rest[n:]
		c := m
		c.Snapshot = &part
		p := replica.MessageToProto(c)
		p.Snapshot.More = len(rest) > 0
		ms = append(ms, p)
		if len(rest) == 0 {
			return ms
		}
	}
}

// assembler joins the chunks of one stream.
type assembler struct {
	state []byte
}

// add takes the chunk in m and reports whether the snapshot is complete. Messages
// without a snapshot are complete.
func (a *assembler) add(m *peerv1.Message) bool {
	s := m.GetSnapshot()
	if s == nil {
		return true
	}
	a.state = append(a.state, s.GetState()...)
	if s.GetMore() {
		return false
	}
	s.State = a.state
	a.state = nil
	return true
}

func (t *transport) close() {
	t.cancel()
	t.wait.Wait()
}

// collect takes what is queued without waiting. It lets other groups run first,
// whose messages of the same tick then share the batch.
func collect(first envelope, box chan envelope) *peerv1.ConsensusBatch {
	runtime.Gosched()
	b := &peerv1.ConsensusBatch{}
	index := make(map[quorum.GroupID]*peerv1.GroupMessages)
	size := add(b, index, first)
	for range batchMessages {
		if size >= batchBytes {
			return b
		}
		select {
		case e := <-box:
			size += add(b, index, e)
		default:
			return b
		}
	}
	return b
}

// add puts a message into the batch, and returns the bytes of its entries.
func add(b *peerv1.ConsensusBatch, index map[quorum.GroupID]*peerv1.GroupMessages, e envelope) int {
	g := index[e.group]
	if g == nil {
		g = &peerv1.GroupMessages{Group: string(e.group)}
		index[e.group] = g
		b.Groups = append(b.Groups, g)
	}
	g.Messages = append(g.Messages, replica.MessageToProto(e.message))
	size := 0
	for _, en := range e.message.Entries {
		size += len(en.Data)
	}
	return size
}

func senderOf(v replica.Voter) *peerv1.Voter {
	return &peerv1.Voter{Id: uint64(v.ID), Instance: string(v.Instance), Address: v.Address}
}

func voterOf(p *peerv1.Voter) replica.Voter {
	return replica.Voter{
		ID: quorum.VoterID(p.GetId()), Instance: fleet.InstanceID(p.GetInstance()), Address: p.GetAddress(),
	}
}
