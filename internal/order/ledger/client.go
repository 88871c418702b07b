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
	// DefaultAttempts is the number of times that a command is handed in. With
	// the pauses between them it covers the election of a leader: about 4 s.
	DefaultAttempts = 12

	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Client uses the ledger over a quorum.Proposer. It is safe for concurrent use.
type Client struct {
	proposer quorum.Proposer
	clock    fleet.Clock
	instance fleet.InstanceID
	shards   int
	limits   Limits
	attempts int
}

var _ order.Ledger = (*Client)(nil)

// Option changes a Client.
type Option func(*Client)

// WithShards sets the number of groups, at least 1. It must be the same on all
// instances and must not change while keys are kept.
func WithShards(n int) Option {
	return func(c *Client) { c.shards = max(n, 1) }
}

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option {
	return func(c *Client) { c.limits = l }
}

// WithAttempts replaces DefaultAttempts.
func WithAttempts(n int) Option {
	return func(c *Client) { c.attempts = max(n, 1) }
}

// NewClient returns a Client of an instance.
func NewClient(p quorum.Proposer, k fleet.Clock, i fleet.InstanceID, options ...Option) *Client {
	c := &Client{proposer: p, clock: k, instance: i, shards: 1, limits: DefaultLimits, attempts: DefaultAttempts}
	for _, o := range options {
		o(c)
	}
	return c
}

// Claim claims the key of a. Besides refusal.LedgerUnreachable, errors have the
// kinds refusal.Overloaded, when a bound of the ledger is reached and the key has
// no claim, refusal.NotReady, when the claim was not made and never will be, and
// refusal.BadRequest.
func (c *Client) Claim(ctx context.Context, a order.Claim) (order.Record, error) {
	if a.Key.Name == "" || len(a.Key.Name) > MaxKey {
		return order.Record{}, refusal.New(refusal.BadRequest, "key must have 1 to %d bytes", MaxKey)
	}
	if a.At.IsZero() {
		a.At = c.clock.Now()
	}
	p, uncertain, err := c.propose(ctx, command{
		Kind:     claimKind,
		Key:      a.Key,
		Attempt:  a.Attempt,
		Digest:   a.Digest[:],
		Request:  a.Request,
		Instance: a.Instance,
		At:       a.At,
	})
	if err != nil {
		return order.Record{}, err
	}
	if p.Full != "" && uncertain {
		return order.Record{}, refusal.New(refusal.LedgerUnreachable, "an earlier command of the claim may still be applied: %s", p.Full)
	}
	if p.Full != "" {
		return order.Record{}, refusal.New(refusal.Overloaded, "order was not run: %s", p.Full)
	}
	return recordOf(a.Key, p)
}

// Finish records an answer. The error has kind refusal.Conflict when the attempt
// does not hold the claim. An answer above Limits.MaxAnswer is not kept, only
// that the order ran.
func (c *Client) Finish(ctx context.Context, k order.Key, a order.AttemptID, answer upstream.Response) error {
	data, err := json.Marshal(answer)
	if err != nil {
		return refusal.Because(refusal.Internal, err, "encode answer of an order")
	}
	if len(data) > c.limits.MaxAnswer {
		data = nil
	}
	return c.change(ctx, command{Kind: finishKind, Key: k, Attempt: a, Answer: data})
}

// Release gives up a claim. The error has kind refusal.Conflict when the order
// has a recorded answer.
func (c *Client) Release(ctx context.Context, k order.Key, a order.AttemptID) error {
	return c.change(ctx, command{Kind: releaseKind, Key: k, Attempt: a})
}

// Settle ends the claim that s names by the statement of an operator. When the
// order ran, answer is what callers get from then on. The error has kind
// refusal.Conflict when the attempt does not hold an open claim.
func (c *Client) Settle(ctx context.Context, s Settlement, answer upstream.Response) error {
	if s.Operator == "" {
		return refusal.New(refusal.BadRequest, "settlement needs the name of an operator")
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return refusal.Because(refusal.Internal, err, "encode answer of an order")
	}
	return c.change(ctx, command{
		Kind:     settleKind,
		Key:      s.Key,
		Attempt:  s.Attempt,
		Operator: s.Operator,
		Note:     s.Note,
		Ran:      s.Ran,
		Answer:   data,
	})
}

// OpenClaims returns the oldest claims of an account that have no answer.
func (c *Client) OpenClaims(ctx context.Context, a fleet.AccountID, limit int) ([]Open, error) {
	p, err := c.read(ctx, command{Kind: openKind, Key: order.Key{Account: a}, Limit: limit})
	return p.Open, err
}

// Settlements returns the newest settlements of an account, the newest first.
func (c *Client) Settlements(ctx context.Context, a fleet.AccountID, limit int) ([]Settlement, error) {
	p, err := c.read(ctx, command{Kind: settlementsKind, Key: order.Key{Account: a}, Limit: limit})
	return p.Settlements, err
}

// Usage returns how near the group of an account is to its limits.
func (c *Client) Usage(ctx context.Context, a fleet.AccountID) (Usage, error) {
	p, err := c.read(ctx, command{Kind: usageKind, Key: order.Key{Account: a}})
	if err != nil || p.Usage == nil {
		return Usage{}, err
	}
	return *p.Usage, nil
}

func (c *Client) change(ctx context.Context, m command) error {
	m.Instance, m.At = c.instance, c.clock.Now()
	p, _, err := c.propose(ctx, m)
	if err != nil {
		return err
	}
	if p.Full != "" {
		return refusal.New(refusal.Overloaded, "command for attempt %q was refused: %s", m.Attempt, p.Full)
	}
	if p.Lost {
		return refusal.New(refusal.Conflict, "attempt %q does not hold the claim", m.Attempt)
	}
	return nil
}

// propose hands in a command up to a few times. All commands are safe to repeat.
// The second result tells that an earlier copy of the command may still be
// applied.
func (c *Client) propose(ctx context.Context, m command) (reply, bool, error) {
	m.Version, m.Limits, m.At = version, c.limits, m.At.UTC()
	data, err := json.Marshal(m)
	if err != nil {
		return reply{}, false, refusal.Because(refusal.Internal, err, "encode command of the ledger")
	}
	uncertain := false
	var last error
	for n := range c.attempts {
		if n > 0 && !c.pause(ctx, n) {
			break
		}
		answer, err := c.proposer.Propose(ctx, GroupOf(m.Key.Account, c.shards), data)
		if err == nil {
			p, err := decodeReply(answer)
			return p, uncertain, err
		}
		last = err
		uncertain = uncertain || refusal.KindOf(err) != refusal.NotReady
	}
	kind := refusal.NotReady
	if uncertain {
		kind = refusal.LedgerUnreachable
	}
	return reply{}, uncertain, refusal.Because(kind, last, "order ledger did not answer")
}

// pause waits before attempt n and reports whether ctx goes on.
func (c *Client) pause(ctx context.Context, n int) bool {
	d := longestPause
	if doubled := firstPause << (n - 1); n < 8 && doubled < d {
		d = doubled
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(d):
		return true
	}
}

func (c *Client) read(ctx context.Context, m command) (reply, error) {
	m.Version = version
	data, err := json.Marshal(m)
	if err != nil {
		return reply{}, refusal.Because(refusal.Internal, err, "encode query of the ledger")
	}
	answer, err := c.proposer.Read(ctx, GroupOf(m.Key.Account, c.shards), data)
	if err != nil {
		return reply{}, refusal.Because(refusal.LedgerUnreachable, err, "order ledger can't be read")
	}
	return decodeReply(answer)
}

// decodeReply returns a reply. A reply that can't be read tells nothing about
// the command.
func decodeReply(data []byte) (reply, error) {
	var p reply
	if err := json.Unmarshal(data, &p); err != nil {
		return p, refusal.Because(refusal.LedgerUnreachable, err, "decode reply of the ledger")
	}
	if p.Error != "" {
		return p, refusal.Because(refusal.LedgerUnreachable, errors.New(p.Error), "ledger refused the command")
	}
	return p, nil
}

func recordOf(k order.Key, p reply) (order.Record, error) {
	r := order.Record{State: p.State, Mine: p.Mine, Reused: p.Reused}
	if p.Record == nil {
		return r, nil
	}
	r.Claim = order.Claim{Key: k, Attempt: p.Record.Attempt, Request: p.Record.Request, Instance: p.Record.Instance, At: p.Record.At}
	copy(r.Claim.Digest[:], p.Record.Digest)
	if len(p.Record.Answer) == 0 {
		return r, nil
	}
	r.Answer = new(upstream.Response)
	if err := json.Unmarshal(p.Record.Answer, r.Answer); err != nil {
		return r, refusal.Because(refusal.LedgerUnreachable, err, "decode recorded answer")
	}
	return r, nil
}
