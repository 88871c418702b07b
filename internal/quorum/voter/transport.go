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
	// outboxSize is the maximum number of messages queued for one address.
	outboxSize = 4096
	// maxBatchMessages is the maximum number of queued messages that are sent together
	// with the first one.
	maxBatchMessages = 256
	// maxBatchBytes is the size of the entries in a batch from which on no more messages
	// are added to it.
	maxBatchBytes = 4 << 20
	// maxChunkBytes is the maximum size of the state in one chunk of a snapshot.
	maxChunkBytes   = 1 << 20
	snapshotTimeout = 30 * time.Second
)

// connections holds one gRPC connection for each address.
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

// ready waits up to connectTimeout until the connection is established, and returns
// it. An error means that nothing was sent.
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

// envelope is a message together with its group.
type envelope struct {
	group   quorum.GroupID
	message replica.Message
}

// transport sends consensus messages in batches, over one stream for each address.
type transport struct {
	config     *config
	conns      *connections
	self       replica.Voter
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex
	outboxes   map[string]chan envelope
	goroutines sync.WaitGroup
}

func newTransport(c *config, conns *connections, self replica.Voter) *transport {
	t := &transport{config: c, conns: conns, self: self, outboxes: make(map[string]chan envelope)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// send queues a message. It drops the message if the queue is full or the link is
// cut, which the protocol tolerates. For each snapshot it calls onSent once with the
// result.
func (t *transport) send(to replica.Voter, e envelope, onSent func(error)) {
	cut := t.config.cut(t.self.Instance, to.Instance)
	if cut && e.message.Kind == replica.InstallSnapshot {
		onSent(errors.New("link is cut"))
	}
	if cut {
		return
	}
	if e.message.Kind == replica.InstallSnapshot {
		t.sendSnapshot(to, e, onSent)
		return
	}
	select {
	case t.outbox(to.Address) <- e:
	default:
	}
}

// outbox returns the queue of an address. The first call for an address starts the
// goroutine that sends from it.
func (t *transport) outbox(address string) chan envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	if box, ok := t.outboxes[address]; ok {
		return box
	}
	box := make(chan envelope, outboxSize)
	t.outboxes[address] = box
	t.goroutines.Go(func() {
		var s peerv1.Peer_ConsensusClient
		for {
			select {
			case <-t.ctx.Done():
				return
			case e := <-box:
				s = t.sendBatch(s, address, collectBatch(e, box))
			}
		}
	})
	return box
}

// sendBatch sends a batch over s, or over a new stream if s is nil. It returns the
// stream, or nil if the stream failed.
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
	b.Sender = voterToProto(t.self)
	if s.Send(b) != nil {
		return nil
	}
	return s
}

// sendSnapshot sends a snapshot over a separate stream, so that heartbeats don't
// wait for it.
func (t *transport) sendSnapshot(to replica.Voter, e envelope, onSent func(error)) {
	t.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, snapshotTimeout)
		defer cancel()
		conn, err := t.conns.get(to.Address)
		if err == nil {
			err = t.streamSnapshot(ctx, conn, e)
		}
		onSent(err)
	})
}

// streamSnapshot sends a snapshot in chunks over a new stream, and waits until the
// receiver has ended it.
func (t *transport) streamSnapshot(ctx context.Context, conn *grpc.ClientConn, e envelope) error {
	s, err := peerv1.NewPeerClient(conn).Consensus(ctx)
	if err != nil {
		return err
	}
	for _, m := range splitSnapshot(e.message) {
		b := &peerv1.ConsensusBatch{
			Sender: voterToProto(t.self),
			Groups: []*peerv1.GroupMessages{{Group: string(e.group), Messages: []*peerv1.Message{m}}},
		}
		if err := s.Send(b); err != nil {
			return err
		}
	}
	_, err = s.CloseAndRecv()
	return err
}

// splitSnapshot splits a snapshot into messages with at most maxChunkBytes of its
// state each. The state is not copied.
func splitSnapshot(m replica.Message) []*peerv1.Message {
	var ms []*peerv1.Message
	rest := m.Snapshot.State
	for {
		n := min(len(rest), maxChunkBytes)
		chunk := *m.Snapshot
		chunk.State = rest[:n]
		rest = rest[n:]
		c := m
		c.Snapshot = &chunk
		p := replica.MessageToProto(c)
		p.Snapshot.More = len(rest) > 0
		ms = append(ms, p)
		if len(rest) == 0 {
			return ms
		}
	}
}

// snapshotAssembler joins the snapshot chunks of one stream.
type snapshotAssembler struct {
	state []byte
}

// add takes the chunk in m and reports whether m is complete. The last chunk of a
// snapshot receives the whole state. Messages without a snapshot are complete.
func (a *snapshotAssembler) add(m *peerv1.Message) bool {
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
	t.goroutines.Wait()
}

// collectBatch returns a batch of first and the queued messages, without waiting for
// more. It yields the processor once, so that messages of other groups from the same
// tick get into the batch.
func collectBatch(first envelope, box chan envelope) *peerv1.ConsensusBatch {
	runtime.Gosched()
	b := &peerv1.ConsensusBatch{}
	groups := make(map[quorum.GroupID]*peerv1.GroupMessages)
	size := addToBatch(b, groups, first)
	for range maxBatchMessages {
		if size >= maxBatchBytes {
			return b
		}
		select {
		case e := <-box:
			size += addToBatch(b, groups, e)
		default:
			return b
		}
	}
	return b
}

// addToBatch appends a message to the batch, and returns the size of its entries in
// bytes.
func addToBatch(b *peerv1.ConsensusBatch, groups map[quorum.GroupID]*peerv1.GroupMessages, e envelope) int {
	g := groups[e.group]
	if g == nil {
		g = &peerv1.GroupMessages{Group: string(e.group)}
		groups[e.group] = g
		b.Groups = append(b.Groups, g)
	}
	g.Messages = append(g.Messages, replica.MessageToProto(e.message))
	size := 0
	for _, en := range e.message.Entries {
		size += len(en.Data)
	}
	return size
}

func voterToProto(v replica.Voter) *peerv1.Voter {
	return &peerv1.Voter{Id: uint64(v.ID), Instance: string(v.Instance), Address: v.Address}
}

func voterFromProto(p *peerv1.Voter) replica.Voter {
	return replica.Voter{
		ID: quorum.VoterID(p.GetId()), Instance: fleet.InstanceID(p.GetInstance()), Address: p.GetAddress(),
	}
}
