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

// retryPause is the time between two rounds over all voters.
const retryPause = 50 * time.Millisecond

// Client implements quorum.Proposer for a daemon without a data folder. It
// follows the hints of voters to the leader. A proposal is sent again only when
// the attempt before was certainly not applied.
//
//	c, err := voter.NewClient(voter.Instance(id, ""), voter.Initial(peers...))
//	reply, err := c.Propose(ctx, quorum.ConfigGroup, command)
type Client struct {
	config *config
	conns  *connections
	// local answers for the own instance of a Voter. It is nil in a Client
	// without a voter.
	local func(ctx context.Context, c call) ([]byte, error)
	// others returns the voters that a Voter has heard from. It is nil in a Client
	// without a voter.
	others  func() []Peer
	mu      sync.Mutex
	leaders map[quorum.GroupID]Peer
	// silent are the addresses that did not answer a call in time. They are asked
	// last, until they answer again.
	silent map[quorum.GroupID]string
}

var _ quorum.Proposer = (*Client)(nil)

// call is one proposal or read.
type call struct {
	group quorum.GroupID
	data  []byte
	read  bool
}

// NewClient returns a Client that asks the voters of Initial.
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
	return &Client{config: c, conns: conns, leaders: make(map[quorum.GroupID]Peer), silent: make(map[quorum.GroupID]string)}
}

// Propose hands a command to the leader of a group.
func (c *Client) Propose(ctx context.Context, g quorum.GroupID, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, refusal.New(refusal.TooLarge, "command has %d bytes, more than %d", len(command), MaxCommandBytes)
	}
	return c.run(ctx, call{group: g, data: command})
}

// Read hands a query to the leader of a group.
func (c *Client) Read(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, error) {
	return c.run(ctx, call{group: g, data: query, read: true})
}

// Close closes the connections.
func (c *Client) Close() { c.conns.close() }

func (c *Client) run(ctx context.Context, k call) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	var err error
	for round := 0; ctx.Err() == nil; round++ {
		var reply []byte
		if reply, err = c.round(ctx, k); err == nil || !mayRetry(k, err) {
			return reply, err
		}
		select {
		case <-ctx.Done():
		case <-c.config.clock.After(retryPause):
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, refusal.Because(refusal.NotReady, err, "group %q has no leader in reach", k.group)
}

// round asks the supposed leader and then all voters, until one answers.
func (c *Client) round(ctx context.Context, k call) ([]byte, error) {
	var err error
	asked := make(map[string]bool)
	for _, p := range c.order(k.group) {
		for p.Address != "" && !asked[p.Address] && ctx.Err() == nil {
			asked[p.Address] = true
			var reply []byte
			if reply, err = c.ask(ctx, p, k); err == nil {
				c.remember(k.group, p)
				return reply, nil
			}
			if refusal.KindOf(err) == refusal.OutcomeUnknown {
				c.avoid(k.group, p)
			}
			if !mayRetry(k, err) {
				return nil, err
			}
			p = c.follow(k.group, err)
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, err
}

// order returns the supposed leader, the own instance and the other voters. A
// silent one comes last.
func (c *Client) order(g quorum.GroupID) []Peer {
	c.mu.Lock()
	leader, ok := c.leaders[g]
	silent := c.silent[g]
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
	if c.others != nil {
		ps = append(ps, c.others()...)
	}
	slices.SortStableFunc(ps, func(a, b Peer) int {
		return rank(a.Address == silent) - rank(b.Address == silent)
	})
	return ps
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// avoid forgets a leader that did not answer. A frozen leader, or one whose
// answers are lost, would otherwise be asked first by every later call, although
// the others have elected another one.
func (c *Client) avoid(g quorum.GroupID, p Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaders, g)
	c.silent[g] = p.Address
}

func (c *Client) remember(g quorum.GroupID, p Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[g] = p
	if c.silent[g] == p.Address {
		delete(c.silent, g)
	}
}

// follow returns the leader that an error names, or the zero value.
func (c *Client) follow(g quorum.GroupID, err error) Peer {
	var h *leaderHint
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.As(err, &h) {
		delete(c.leaders, g)
		return Peer{}
	}
	p := Peer{Instance: h.instance, Address: h.address}
	c.leaders[g] = p
	return p
}

// mayRetry reports whether an attempt that failed may be repeated.
func mayRetry(k call, err error) bool {
	kind := refusal.KindOf(err)
	return kind == refusal.NotReady || kind == refusal.Stopping || k.read && kind == refusal.OutcomeUnknown
}

// ask makes one attempt. An error of kind NotReady means that the command was
// certainly not applied.
func (c *Client) ask(ctx context.Context, p Peer, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.attemptTimeout)
	defer cancel()
	if c.local != nil && p.Instance == c.config.instance {
		return c.local(ctx, k)
	}
	if c.config.cut(c.config.instance, p.Instance) {
		return nil, refusal.New(refusal.NotReady, "link to instance %q is cut", p.Instance)
	}
	conn, err := c.conns.ready(ctx, p.Address)
	if err != nil {
		return nil, refusal.Because(refusal.NotReady, err, "group %q", k.group)
	}
	reply, refused, err := invoke(ctx, conn, k)
	if err == nil && c.config.cut(p.Instance, c.config.instance) {
		return nil, unknown(k.group, "the reply was lost")
	}
	if err != nil {
		return nil, transportError(k.group, err)
	}
	return reply, refusalFromProto(refused)
}

func invoke(ctx context.Context, conn *grpc.ClientConn, k call) ([]byte, *peerv1.Refusal, error) {
	client := peerv1.NewPeerClient(conn)
	if k.read {
		r, err := client.Read(ctx, &peerv1.ReadRequest{Group: string(k.group), Query: k.data})
		return r.GetReply(), r.GetRefusal(), err
	}
	r, err := client.Propose(ctx, &peerv1.ProposeRequest{Group: string(k.group), Command: k.data})
	return r.GetReply(), r.GetRefusal(), err
}

// transportError classifies a failed call over an established connection. Only a
// daemon that does not serve the method has certainly not run it.
func transportError(g quorum.GroupID, err error) error {
	if status.Code(err) == codes.Unimplemented {
		return refusal.Because(refusal.NotReady, err, "group %q", g)
	}
	return refusal.Because(refusal.OutcomeUnknown, err, "group %q", g)
}

func refusalToProto(err error) *peerv1.Refusal {
	if err == nil {
		return nil
	}
	r := &peerv1.Refusal{Code: refusal.KindOf(err).Answer().Code, Message: err.Error()}
	var h *leaderHint
	if errors.As(err, &h) {
		r.Leader, r.LeaderInstance = h.address, string(h.instance)
	}
	return r
}

func refusalFromProto(r *peerv1.Refusal) error {
	if r == nil {
		return nil
	}
	e := refusal.New(kindOfCode(r.GetCode()), "%s", r.GetMessage())
	if r.GetLeader() == "" {
		return e
	}
	return &leaderHint{refusal: e, address: r.GetLeader(), instance: fleet.InstanceID(r.GetLeaderInstance())}
}

func kindOfCode(code string) refusal.Kind {
	for _, k := range refusal.Kinds() {
		if k.Answer().Code == code {
			return k
		}
	}
	return refusal.OutcomeUnknown
}
