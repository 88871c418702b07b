package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/pkg/errors"
)

const (
	// DefaultMaxProposals is the number of times that a command is proposed.
	// Together with the backoff between proposals this covers a leader election:
	// about 4 s.
	DefaultMaxProposals = 12

	// The backoff between two proposals doubles from minBackoff to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Client accesses the ledger through a quorum.Proposer. It is safe for concurrent
// use.
type Client struct {
	proposer     quorum.Proposer
	clock        fleet.Clock
	instance     fleet.InstanceID
	shards       int
	limits       Limits
	maxProposals int
}

var _ order.Ledger = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithShards sets the number of groups, at least 1. The default is 1. The number
// must be the same on all instances and must not change while any keys are stored.
func WithShards(n int) Option {
	return func(c *Client) { c.shards = max(n, 1) }
}

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option {
	return func(c *Client) { c.limits = l }
}

// WithMaxProposals replaces DefaultMaxProposals.
func WithMaxProposals(n int) Option {
	return func(c *Client) { c.maxProposals = max(n, 1) }
}

// NewClient returns a Client for an instance.
func NewClient(proposer quorum.Proposer, clock fleet.Clock, instance fleet.InstanceID, options ...Option) *Client {
	c := &Client{proposer: proposer, clock: clock, instance: instance, shards: 1, limits: DefaultLimits, maxProposals: DefaultMaxProposals}
	for _, o := range options {
		o(c)
	}
	return c
}

// Claim implements order.Ledger. Besides refusal.LedgerUnreachable, errors have
// one of these kinds: refusal.Overloaded when the ledger rejected the claim, for
// example because a limit is reached, and the key has no claim; refusal.NotReady
// when the claim was not made and never will be; refusal.BadRequest when the key
// is not valid.
func (c *Client) Claim(ctx context.Context, claim order.Claim) (order.Record, error) {
	if claim.Key.Name == "" || len(claim.Key.Name) > MaxKeyBytes {
		return order.Record{}, refusal.New(refusal.BadRequest, "key must have 1 to %d bytes", MaxKeyBytes)
	}
	if claim.At.IsZero() {
		claim.At = c.clock.Now()
	}
	p, mayBeApplied, err := c.propose(ctx, command{
		Kind:     claimKind,
		Key:      claim.Key,
		Attempt:  claim.Attempt,
		Digest:   claim.Digest[:],
		Request:  claim.Request,
		Instance: claim.Instance,
		At:       claim.At,
	})
	if err != nil {
		return order.Record{}, err
	}
	if p.RejectReason != "" && mayBeApplied {
		return order.Record{}, refusal.New(refusal.LedgerUnreachable, "an earlier command of the claim may still be applied: %s", p.RejectReason)
	}
	if p.RejectReason != "" {
		return order.Record{}, refusal.New(refusal.Overloaded, "order was not run: %s", p.RejectReason)
	}
	return decodeRecord(claim.Key, p)
}

// Finish implements order.Ledger. The error has kind refusal.Conflict when the
// attempt does not hold the claim. Of a response larger than
// Limits.MaxResponseBytes only the fact that the order ran is kept.
func (c *Client) Finish(ctx context.Context, k order.Key, attempt order.AttemptID, response upstream.Response) error {
	data, err := json.Marshal(response)
	if err != nil {
		return refusal.WithCause(refusal.Internal, err, "encode answer of an order")
	}
	if len(data) > c.limits.MaxResponseBytes {
		data = nil
	}
	return c.submit(ctx, command{Kind: finishKind, Key: k, Attempt: attempt, Response: data})
}

// Release implements order.Ledger. The error has kind refusal.Conflict when the
// outcome of the order is already recorded.
func (c *Client) Release(ctx context.Context, k order.Key, attempt order.AttemptID) error {
	return c.submit(ctx, command{Kind: releaseKind, Key: k, Attempt: attempt})
}

// Settle ends the claim that s identifies, with the outcome that an operator
// states. If the order ran, callers get response from then on. The error has kind
// refusal.Conflict when the attempt does not hold an open claim.
func (c *Client) Settle(ctx context.Context, s Settlement, response upstream.Response) error {
	if s.Operator == "" {
		return refusal.New(refusal.BadRequest, "settlement needs the name of an operator")
	}
	data, err := json.Marshal(response)
	if err != nil {
		return refusal.WithCause(refusal.Internal, err, "encode answer of an order")
	}
	return c.submit(ctx, command{
		Kind:     settleKind,
		Key:      s.Key,
		Attempt:  s.Attempt,
		Operator: s.Operator,
		Note:     s.Note,
		Ran:      s.Ran,
		Response: data,
	})
}

// OpenClaims returns at most limit claims of an account that have no response, the
// oldest first.
func (c *Client) OpenClaims(ctx context.Context, account fleet.AccountID, limit int) ([]OpenClaim, error) {
	p, err := c.query(ctx, command{Kind: openClaimsKind, Key: order.Key{Account: account}, Limit: limit})
	return p.OpenClaims, err
}

// Settlements returns at most limit settlements of an account, the newest first.
func (c *Client) Settlements(ctx context.Context, account fleet.AccountID, limit int) ([]Settlement, error) {
	p, err := c.query(ctx, command{Kind: settlementsKind, Key: order.Key{Account: account}, Limit: limit})
	return p.Settlements, err
}

// Usage returns the usage of the group that holds an account.
func (c *Client) Usage(ctx context.Context, account fleet.AccountID) (Usage, error) {
	p, err := c.query(ctx, command{Kind: usageKind, Key: order.Key{Account: account}})
	if err != nil || p.Usage == nil {
		return Usage{}, err
	}
	return *p.Usage, nil
}

// submit proposes a command other than a claim.
func (c *Client) submit(ctx context.Context, cmd command) error {
	cmd.Instance, cmd.At = c.instance, c.clock.Now()
	p, _, err := c.propose(ctx, cmd)
	if err != nil {
		return err
	}
	if p.RejectReason != "" {
		return refusal.New(refusal.Overloaded, "command for attempt %q was refused: %s", cmd.Attempt, p.RejectReason)
	}
	if p.NotHeld {
		return refusal.New(refusal.Conflict, "attempt %q does not hold the claim", cmd.Attempt)
	}
	return nil
}

// propose proposes a command up to maxProposals times. All commands are
// idempotent. The second result reports whether an earlier proposal of the command
// may still be applied.
func (c *Client) propose(ctx context.Context, cmd command) (reply, bool, error) {
	cmd.Version, cmd.Limits, cmd.At = version, c.limits, cmd.At.UTC()
	data, err := json.Marshal(cmd)
	if err != nil {
		return reply{}, false, refusal.WithCause(refusal.Internal, err, "encode command of the ledger")
	}
	mayBeApplied := false
	var lastErr error
	for n := range c.maxProposals {
		if n > 0 && !c.waitRetry(ctx, n) {
			break
		}
		replyData, err := c.proposer.Propose(ctx, GroupOf(cmd.Key.Account, c.shards), data)
		if err == nil {
			p, err := decodeReply(replyData)
			return p, mayBeApplied, err
		}
		lastErr = err
		mayBeApplied = mayBeApplied || refusal.KindOf(err) != refusal.NotReady
	}
	kind := refusal.NotReady
	if mayBeApplied {
		kind = refusal.LedgerUnreachable
	}
	return reply{}, mayBeApplied, refusal.WithCause(kind, lastErr, "order ledger did not answer")
}

// waitRetry waits before proposal n, counted from 0. It returns false if ctx ends
// first.
func (c *Client) waitRetry(ctx context.Context, n int) bool {
	backoff := maxBackoff
	if doubled := minBackoff << (n - 1); n < 8 && doubled < backoff {
		backoff = doubled
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(backoff):
		return true
	}
}

func (c *Client) query(ctx context.Context, cmd command) (reply, error) {
	cmd.Version = version
	data, err := json.Marshal(cmd)
	if err != nil {
		return reply{}, refusal.WithCause(refusal.Internal, err, "encode query of the ledger")
	}
	replyData, err := c.proposer.Read(ctx, GroupOf(cmd.Key.Account, c.shards), data)
	if err != nil {
		return reply{}, refusal.WithCause(refusal.LedgerUnreachable, err, "order ledger can't be read")
	}
	return decodeReply(replyData)
}

// decodeReply decodes a reply. Its errors have kind refusal.LedgerUnreachable,
// because a reply that can't be decoded says nothing about whether the command
// took effect.
func decodeReply(data []byte) (reply, error) {
	var p reply
	if err := json.Unmarshal(data, &p); err != nil {
		return p, refusal.WithCause(refusal.LedgerUnreachable, err, "decode reply of the ledger")
	}
	if p.Error != "" {
		return p, refusal.WithCause(refusal.LedgerUnreachable, errors.New(p.Error), "ledger refused the command")
	}
	return p, nil
}

// decodeRecord converts the reply to a claim to the record of key k.
func decodeRecord(k order.Key, p reply) (order.Record, error) {
	r := order.Record{State: p.State, HeldByCaller: p.HeldByCaller, DigestMismatch: p.DigestMismatch}
	if p.Record == nil {
		return r, nil
	}
	r.Claim = order.Claim{Key: k, Attempt: p.Record.Attempt, Request: p.Record.Request, Instance: p.Record.Instance, At: p.Record.At}
	copy(r.Claim.Digest[:], p.Record.Digest)
	if len(p.Record.Response) == 0 {
		return r, nil
	}
	r.Response = new(upstream.Response)
	if err := json.Unmarshal(p.Record.Response, r.Response); err != nil {
		return r, refusal.WithCause(refusal.LedgerUnreachable, err, "decode recorded answer")
	}
	return r, nil
}
