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
	// defaultAttempts and retryPause cover the election of a leader.
	defaultAttempts = 12
	retryPause      = 400 * time.Millisecond
)

// Client uses the register over a quorum.Proposer. It is safe for concurrent
// use.
type Client struct {
	proposer quorum.Proposer
	group    quorum.GroupID
	clock    fleet.Clock
	attempts int
}

// NewClient returns a Client of the register in a group. The commands reach the
// register as they are, so a group with several state machines needs a proposer
// that selects one.
func NewClient(p quorum.Proposer, g quorum.GroupID, c fleet.Clock) *Client {
	return &Client{proposer: p, group: g, clock: c, attempts: defaultAttempts}
}

// Submit hands in s and sets its time when it has none. The verdict is
// document.Unknown when the outcome could not be learned. An error of kind
// refusal.NotReady means that the submission was not applied and never will be.
func (c *Client) Submit(ctx context.Context, s document.Submission) (document.Outcome, error) {
	if s.At.IsZero() {
		s.At = c.clock.Now()
	}
	s.At = s.At.UTC()
	if reason := unfit(s); reason != "" {
		return document.Outcome{Change: s.Change, Verdict: document.Refused, Reason: reason}, nil
	}
	data := encode(prepare(s))
	unknown := false
	var last error
	for n := range c.attempts {
		if n > 0 && !c.pause(ctx) {
			break
		}
		answer, err := c.proposer.Propose(ctx, c.group, data)
		if err == nil {
			return outcomeOf(s, answer)
		}
		last = err
		// An attempt with an unknown outcome may still be applied, whatever the
		// attempts after it return.
		unknown = unknown || refusal.KindOf(err) != refusal.NotReady
	}
	if !unknown {
		return document.Outcome{}, refusal.Because(refusal.NotReady, last, "submission was not handed in")
	}
	return unknownOutcome(s), nil
}

// unfit tells why s is not worth a command. It leaves no trace in the register.
func unfit(s document.Submission) string {
	if len(s.Text) > section.MaxText {
		return fmt.Sprintf("section has %d bytes, the bound is %d", len(s.Text), section.MaxText)
	}
	return malformed(s)
}

func (c *Client) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(retryPause):
		return true
	}
}

// Document returns the current document.
func (c *Client) Document(ctx context.Context) (document.Document, error) {
	r, err := c.read(ctx, query{Version: version, Kind: changesSince})
	return r.Document, err
}

// ChangesSince returns the sections that changed after a revision. The second
// result tells that they are the whole document.
func (c *Client) ChangesSince(ctx context.Context, since fleet.Revision) (document.Document, bool, error) {
	r, err := c.read(ctx, query{Version: version, Kind: changesSince, Since: since})
	return r.Document, r.Full, err
}

// History returns the newest audit entries of a team, the newest first.
func (c *Client) History(ctx context.Context, t fleet.TeamID, limit int) ([]document.Audit, error) {
	r, err := c.read(ctx, query{Version: version, Kind: history, Team: t, Limit: limit})
	return r.History, err
}

func (c *Client) read(ctx context.Context, q query) (reply, error) {
	data, err := c.proposer.Read(ctx, c.group, encode(q))
	if err != nil {
		return reply{}, refusal.Because(refusal.NotReady, err, "register can't be read")
	}
	return decodeReply(data)
}

func outcomeOf(s document.Submission, data []byte) (document.Outcome, error) {
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
		return reply{}, refusal.Because(refusal.Internal, err, "decode reply of the register")
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
