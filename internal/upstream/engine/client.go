package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/excerpt"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// shortAnswer bounds in bytes the answers of engines that hold no list: they have
	// less than 1 KiB. Many calls are in progress at once, and each may read as much.
	shortAnswer = 64 << 10
	// outputBytes is an output of a step in JSON: 20 digits, a comma, and space for
	// answers that are indented.
	outputBytes = 32
)

// stepAnswer bounds the answer to a step, which has one output for each position.
func stepAnswer(s upstream.Step) int64 { return shortAnswer + outputBytes*int64(len(s.Input)) }

// Client is the client of one model engine.
type Client struct {
	pool *pool
}

// Step runs the layers of s. An answer to another step is dropped with an error
// of kind refusal.UpstreamFailed, after which the same step may be sent again.
func (c *Client) Step(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	var result upstream.StepResult
	if err := c.pool.exchange(ctx, http.MethodPost, "/v1/steps", s, &result, stepAnswer(s)); err != nil {
		return upstream.StepResult{}, err
	}
	if result.Request != s.Request || result.Epoch != s.Epoch || result.Position != s.Position {
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed,
			"engine at %s answered request %s epoch %d position %d to request %s epoch %d position %d",
			c.pool.address, excerpt.Text(string(result.Request)), result.Epoch, result.Position, s.Request, s.Epoch, s.Position)
	}
	if len(result.Output) != len(s.Input) {
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed,
			"engine at %s answered %d positions to %d", c.pool.address, len(result.Output), len(s.Input))
	}
	return result, nil
}

// Cancel ends a request and frees its memory.
func (c *Client) Cancel(ctx context.Context, r fleet.RequestID) error {
	return c.pool.exchange(ctx, http.MethodPost, requestPath(r)+"/cancel", nil, nil, shortAnswer)
}

// CancelEpoch implements upstream.EpochCanceller.
func (c *Client) CancelEpoch(ctx context.Context, r fleet.RequestID, e fleet.Epoch) error {
	path := requestPath(r) + "/cancel?epoch=" + strconv.FormatUint(uint64(e), 10)
	return c.pool.exchange(ctx, http.MethodPost, path, nil, nil, shortAnswer)
}

// Export returns the KV cache of a request.
func (c *Client) Export(ctx context.Context, r fleet.RequestID) (upstream.KV, error) {
	var kv upstream.KV
	if err := c.pool.exchange(ctx, http.MethodGet, requestPath(r)+"/kv", nil, &kv, c.pool.dialer.maxAnswer); err != nil {
		return upstream.KV{}, err
	}
	if kv.Request != r {
		return upstream.KV{}, refusal.New(refusal.UpstreamFailed,
			"engine at %s exported request %s instead of %s", c.pool.address, excerpt.Text(string(kv.Request)), r)
	}
	return kv, nil
}

// Import takes over a KV cache under epoch e.
func (c *Client) Import(ctx context.Context, e fleet.Epoch, kv upstream.KV) error {
	path := requestPath(kv.Request) + "/kv?epoch=" + strconv.FormatUint(uint64(e), 10)
	return c.pool.exchange(ctx, http.MethodPut, path, kv, nil, shortAnswer)
}

// Command hands over a command.
func (c *Client) Command(ctx context.Context, command upstream.Command) error {
	return c.pool.exchange(ctx, http.MethodPost, "/v1/commands", command, nil, shortAnswer)
}

// Describe returns what the engine says of itself now.
func (c *Client) Describe(ctx context.Context) (upstream.Announcement, error) {
	var a upstream.Announcement
	err := c.pool.exchange(ctx, http.MethodGet, "/v1/description", nil, &a, shortAnswer)
	return a, err
}

// CacheEvents returns the events of the prefix cache after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (upstream.CacheEvents, error) {
	var events upstream.CacheEvents
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.pool.exchange(ctx, http.MethodGet, path, nil, &events, c.pool.dialer.maxAnswer)
	return events, err
}

func requestPath(r fleet.RequestID) string {
	return "/v1/requests/" + url.PathEscape(string(r))
}

// serviceClient is the client of one plain service.
type serviceClient struct {
	pool *pool
}

// Call sends c once and returns the whole answer, whatever its status.
func (s *serviceClient) Call(ctx context.Context, c upstream.Call) (upstream.Answer, error) {
	status, header, body, err := s.pool.send(ctx, c.Method, c.Path, c.Header, c.Body, s.pool.dialer.maxAnswer)
	if err != nil {
		return upstream.Answer{}, err
	}
	return upstream.Answer{Status: status, Header: header, Body: body}, nil
}
