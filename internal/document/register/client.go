package register

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

const (
	// defaultMaxProposals and retryBackoff cover the election of a leader.
	defaultMaxProposals = 12
	retryBackoff        = 400 * time.Millisecond
)

// Client accesses the register through a quorum.Proposer. It is safe for
// concurrent use.
type Client struct {
	proposer     quorum.Proposer
	group        quorum.GroupID
	clock        fleet.Clock
	maxProposals int
}

// NewClient returns a Client of the register in a group. Commands are proposed
// without a prefix, so a group with several state machines needs a proposer that
// selects one.
func NewClient(p quorum.Proposer, g quorum.GroupID, c fleet.Clock) *Client {
	return &Client{proposer: p, group: g, clock: c, maxProposals: defaultMaxProposals}
}

// Submit proposes s and sets its time when it has none. The verdict is
// document.Unknown when the outcome could not be determined. An error of kind
// refusal.NotReady means that the submission was not applied and never will be.
func (c *Client) Submit(ctx context.Context, s document.Submission) (document.Outcome, error) {
	if s.At.IsZero() {
		s.At = c.clock.Now()
	}
	s.At = s.At.UTC()
	if reason := checkSubmission(s); reason != "" {
		return document.Outcome{Change: s.Change, Verdict: document.Refused, Reason: reason}, nil
	}
	data := encode(prepareCommand(s))
	mayBeApplied := false
	var lastErr error
	for n := range c.maxProposals {
		if n > 0 && !c.waitRetry(ctx) {
			break
		}
		response, err := c.proposer.Propose(ctx, c.group, data)
		if err == nil {
			return decodeOutcome(s, response)
		}
		lastErr = err
		// A proposal with an unknown outcome may still be applied, whatever the
		// proposals after it return.
		mayBeApplied = mayBeApplied || refusal.KindOf(err) != refusal.NotReady
	}
	if !mayBeApplied {
		return document.Outcome{}, refusal.WithCause(refusal.NotReady, lastErr, "submission was not handed in")
	}
	return unknownOutcome(s), nil
}

// checkSubmission returns the reason for which s is refused before it is proposed,
// or else the empty string. Such a submission is not recorded in the register.
func checkSubmission(s document.Submission) string {
	if len(s.Text) > section.MaxTextBytes {
		return fmt.Sprintf("section has %d bytes, the bound is %d", len(s.Text), section.MaxTextBytes)
	}
	return checkFields(s)
}

// waitRetry waits before the next proposal. It returns false when ctx is done.
func (c *Client) waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(retryBackoff):
		return true
	}
}

// Document returns the current document.
func (c *Client) Document(ctx context.Context) (document.Document, error) {
	r, err := c.read(ctx, query{Version: version, Kind: changesSinceQuery})
	return r.Document, err
}

// ChangesSince returns the sections that changed after a revision. The second
// result reports whether they are the whole document.
func (c *Client) ChangesSince(ctx context.Context, since fleet.Revision) (document.Document, bool, error) {
	r, err := c.read(ctx, query{Version: version, Kind: changesSinceQuery, Since: since})
	return r.Document, r.Full, err
}

// History returns the latest audit entries of a team, newest first.
func (c *Client) History(ctx context.Context, t fleet.TeamID, limit int) ([]document.AuditEntry, error) {
	r, err := c.read(ctx, query{Version: version, Kind: historyQuery, Team: t, Limit: limit})
	return r.History, err
}

func (c *Client) read(ctx context.Context, q query) (reply, error) {
	data, err := c.proposer.Read(ctx, c.group, encode(q))
	if err != nil {
		return reply{}, refusal.WithCause(refusal.NotReady, err, "register can't be read")
	}
	return decodeReply(data)
}

func decodeOutcome(s document.Submission, data []byte) (document.Outcome, error) {
	r, err := decodeReply(data)
	if err != nil {
		return document.Outcome{}, err
	}
	if r.Outcome == nil {
		return document.Outcome{}, refusal.New(refusal.Internal, "reply of the register has no outcome")
	}
	if r.Outcome.Change != s.Change {
		return document.Outcome{}, refusal.New(refusal.Internal, "reply of the register is for change %q", r.Outcome.Change)
	}
	return *r.Outcome, nil
}

func decodeReply(data []byte) (reply, error) {
	var r reply
	if err := decode(data, &r); err != nil {
		return reply{}, refusal.WithCause(refusal.Internal, err, "decode reply of the register")
	}
	if r.Error != "" {
		return reply{}, refusal.New(refusal.Internal, "register: %s", r.Error)
	}
	return r, nil
}

func unknownOutcome(s document.Submission) document.Outcome {
	return document.Outcome{
		Change:  s.Change,
		Verdict: document.Unknown,
		Reason:  "the outcome could not be learned, ask again with this change id",
	}
}
