package voter

import (
	"context"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// retryBackoff is the pause between two rounds in which all voters were tried.
const retryBackoff = 50 * time.Millisecond

// Client implements quorum.Proposer for a daemon without a data folder. It follows
// the leader hints of voters. A proposal is sent again only if the previous attempt
// was certainly not applied.
//
//	c, err := voter.NewClient(voter.Instance(id, ""), voter.InitialVoters(peers...))
//	reply, err := c.Propose(ctx, quorum.ConfigGroup, command)
type Client struct {
	config *config
	conns  *connections
	// local runs a request on the replica of the Voter that owns the Client. It is
	// nil in a Client without a Voter.
	local func(ctx context.Context, req request) ([]byte, error)
	// knownPeers returns the voters that have sent messages to the Voter that owns
	// the Client. It is nil in a Client without a Voter.
	knownPeers func() []Peer
	mu         sync.Mutex
	leaders    map[quorum.GroupID]Peer
	// unresponsive holds for each group the address whose last request ended with an
	// unknown outcome, such as a timeout. It is tried last until it answers again.
	unresponsive map[quorum.GroupID]string
}

var _ quorum.Proposer = (*Client)(nil)

// request is a proposal or a read.
type request struct {
	group quorum.GroupID
	data  []byte
	read  bool
}

// NewClient returns a Client that sends its requests to the voters of InitialVoters
// and the addresses of Contacts.
func NewClient(options ...Option) (*Client, error) {
	c, err := newConfig(options)
	if err != nil {
		return nil, err
	}
	if len(c.initial) == 0 {
		return nil, errors.New("client has no voters to ask")
	}
	return newClient(c, newConnections(c.dialOptions())), nil
}

func newClient(c *config, conns *connections) *Client {
	return &Client{config: c, conns: conns, leaders: make(map[quorum.GroupID]Peer), unresponsive: make(map[quorum.GroupID]string)}
}

// Propose forwards a command to the leader of a group.
func (c *Client) Propose(ctx context.Context, g quorum.GroupID, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, refusal.New(refusal.TooLarge, "command has %d bytes, more than %d", len(command), MaxCommandBytes)
	}
	return c.run(ctx, request{group: g, data: command})
}

// Read forwards a query to the leader of a group.
func (c *Client) Read(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, error) {
	return c.run(ctx, request{group: g, data: query, read: true})
}

// Close closes the connections.
func (c *Client) Close() { c.conns.close() }

func (c *Client) run(ctx context.Context, req request) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	var err error
	for round := 0; ctx.Err() == nil; round++ {
		var reply []byte
		if reply, err = c.tryVoters(ctx, req); err == nil || !mayRetry(req, err) {
			return reply, err
		}
		select {
		case <-ctx.Done():
		case <-c.config.clock.After(retryBackoff):
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, refusal.WithCause(refusal.NotReady, err, "group %q has no leader in reach", req.group)
}

// tryVoters sends a request to the last known leader and then to all voters, until
// one answers or a retry is not allowed.
func (c *Client) tryVoters(ctx context.Context, req request) ([]byte, error) {
	var err error
	asked := make(map[string]bool)
	for _, p := range c.candidates(req.group) {
		for p.Address != "" && !asked[p.Address] && ctx.Err() == nil {
			asked[p.Address] = true
			var reply []byte
			if reply, err = c.attempt(ctx, p, req); err == nil {
				c.recordLeader(req.group, p)
				return reply, nil
			}
			if refusal.KindOf(err) == refusal.OutcomeUnknown {
				c.markUnresponsive(req.group, p)
			}
			if !mayRetry(req, err) {
				return nil, err
			}
			p = c.followHint(req.group, err)
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, err
}

// candidates returns the last known leader, this instance if it has a voter, and the
// other voters, in the order in which they are tried. The unresponsive one comes last.
func (c *Client) candidates(g quorum.GroupID) []Peer {
	c.mu.Lock()
	leader, ok := c.leaders[g]
	unresponsive := c.unresponsive[g]
	c.mu.Unlock()
	var ps []Peer
	if ok {
		ps = append(ps, leader)
	}
	if c.local != nil {
		ps = append(ps, Peer{Instance: c.config.instance, Address: c.config.address})
	}
	ps = append(ps, c.config.initial...)
	ps = append(ps, c.config.contacts...)
	if c.knownPeers != nil {
		ps = append(ps, c.knownPeers()...)
	}
	slices.SortStableFunc(ps, func(a, b Peer) int {
		return rank(a.Address == unresponsive) - rank(b.Address == unresponsive)
	})
	return ps
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// markUnresponsive drops the cached leader after p did not answer, and has p tried
// last. A frozen leader, or one whose answers are lost, would otherwise be tried
// first by every later request, although the others have elected a new leader.
func (c *Client) markUnresponsive(g quorum.GroupID, p Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaders, g)
	c.unresponsive[g] = p.Address
}

// recordLeader caches a voter that answered as the leader of a group.
func (c *Client) recordLeader(g quorum.GroupID, p Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[g] = p
	if c.unresponsive[g] == p.Address {
		delete(c.unresponsive, g)
	}
}

// followHint returns the leader that an error names and caches it. If the error
// names none, it drops the cached leader and returns the zero value.
func (c *Client) followHint(g quorum.GroupID, err error) Peer {
	var hint *leaderHint
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.As(err, &hint) {
		delete(c.leaders, g)
		return Peer{}
	}
	p := Peer{Instance: hint.instance, Address: hint.address}
	c.leaders[g] = p
	return p
}

// mayRetry reports whether a request may be sent again after an attempt failed with
// err. A read may be repeated even if its outcome is unknown.
func mayRetry(req request, err error) bool {
	kind := refusal.KindOf(err)
	return kind == refusal.NotReady || kind == refusal.Stopping || req.read && kind == refusal.OutcomeUnknown
}

// attempt sends a request to one voter. An error of kind refusal.NotReady means that
// the command was certainly not applied.
func (c *Client) attempt(ctx context.Context, p Peer, req request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.attemptTimeout)
	defer cancel()
	if c.local != nil && p.Instance == c.config.instance {
		return c.local(ctx, req)
	}
	if c.config.cut(c.config.instance, p.Instance) {
		return nil, refusal.New(refusal.NotReady, "link to instance %q is cut", p.Instance)
	}
	conn, err := c.conns.ready(ctx, p.Address)
	if err != nil {
		return nil, refusal.WithCause(refusal.NotReady, err, "group %q", req.group)
	}
	reply, refused, err := invoke(ctx, conn, req)
	if err == nil && c.config.cut(p.Instance, c.config.instance) {
		return nil, outcomeUnknown(req.group, "the reply was lost")
	}
	if err != nil {
		return nil, transportError(req.group, err)
	}
	return reply, refusalFromProto(refused)
}

func invoke(ctx context.Context, conn *grpc.ClientConn, req request) ([]byte, *peerv1.Refusal, error) {
	client := peerv1.NewPeerClient(conn)
	if req.read {
		r, err := client.Read(ctx, &peerv1.ReadRequest{Group: string(req.group), Query: req.data})
		return r.GetReply(), r.GetRefusal(), err
	}
	r, err := client.Propose(ctx, &peerv1.ProposeRequest{Group: string(req.group), Command: req.data})
	return r.GetReply(), r.GetRefusal(), err
}

// transportError classifies the error of a call over an established connection. The
// call was certainly not run only if the peer does not implement the method.
func transportError(g quorum.GroupID, err error) error {
	if status.Code(err) == codes.Unimplemented {
		return refusal.WithCause(refusal.NotReady, err, "group %q", g)
	}
	return refusal.WithCause(refusal.OutcomeUnknown, err, "group %q", g)
}

func refusalToProto(err error) *peerv1.Refusal {
	if err == nil {
		return nil
	}
	r := &peerv1.Refusal{Code: refusal.KindOf(err).Response().Code, Message: err.Error()}
	var hint *leaderHint
	if errors.As(err, &hint) {
		r.Leader, r.LeaderInstance = hint.address, string(hint.instance)
	}
	return r
}

func refusalFromProto(r *peerv1.Refusal) error {
	if r == nil {
		return nil
	}
	e := refusal.New(kindFromCode(r.GetCode()), "%s", r.GetMessage())
	if r.GetLeader() == "" {
		return e
	}
	return &leaderHint{refusal: e, address: r.GetLeader(), instance: fleet.InstanceID(r.GetLeaderInstance())}
}

func kindFromCode(code string) refusal.Kind {
	for _, k := range refusal.Kinds() {
		if k.Response().Code == code {
			return k
		}
	}
	return refusal.OutcomeUnknown
}
