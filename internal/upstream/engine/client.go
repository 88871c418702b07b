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
	// maxShortResponseBytes bounds the responses of engines that contain no list;
	// they are smaller than 1 KiB. Many calls are in progress at once, and each may
	// read this much.
	maxShortResponseBytes = 64 << 10
	// maxOutputBytes is the size of one output of a step in JSON: 20 digits, a comma,
	// and space for indentation.
	maxOutputBytes = 32
	// listDecodeCost is the memory of one byte of a response that contains a list, while it
	// is decoded: an entry of three bytes becomes an event of 24 bytes, in a slice that
	// grows. dataDecodeCost is that of a response with one field in base64.
	listDecodeCost = 16
	dataDecodeCost = 1
)

// maxStepResponseBytes bounds the response to a step, which has one output for each
// position.
func maxStepResponseBytes(s upstream.Step) int64 {
	return maxShortResponseBytes + maxOutputBytes*int64(len(s.Input))
}

// Client is the client of one model engine.
type Client struct {
	pool *pool
}

// Step runs the layers of s. A response to another step is discarded with an error
// of kind refusal.UpstreamFailed, after which the same step may be sent again.
func (c *Client) Step(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	var result upstream.StepResult
	if err := c.pool.callJSON(ctx, http.MethodPost, "/v1/steps", s, &result, maxStepResponseBytes(s), listDecodeCost); err != nil {
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

// Cancel cancels a request and frees its memory.
func (c *Client) Cancel(ctx context.Context, r fleet.RequestID) error {
	return c.pool.callJSON(ctx, http.MethodPost, requestPath(r)+"/cancel", nil, nil, maxShortResponseBytes, 0)
}

// CancelEpoch implements upstream.EpochCanceller.
func (c *Client) CancelEpoch(ctx context.Context, r fleet.RequestID, e fleet.Epoch) error {
	path := requestPath(r) + "/cancel?epoch=" + strconv.FormatUint(uint64(e), 10)
	return c.pool.callJSON(ctx, http.MethodPost, path, nil, nil, maxShortResponseBytes, 0)
}

// Export returns the KV cache of a request.
func (c *Client) Export(ctx context.Context, r fleet.RequestID) (upstream.KVCache, error) {
	var kv upstream.KVCache
	if err := c.pool.callJSON(ctx, http.MethodGet, requestPath(r)+"/kv", nil, &kv, c.pool.dialer.maxResponseBytes, dataDecodeCost); err != nil {
		return upstream.KVCache{}, err
	}
	if kv.Request != r {
		return upstream.KVCache{}, refusal.New(refusal.UpstreamFailed,
			"engine at %s exported request %s instead of %s", c.pool.address, excerpt.Text(string(kv.Request)), r)
	}
	return kv, nil
}

// Import loads a KV cache under epoch e.
func (c *Client) Import(ctx context.Context, e fleet.Epoch, kv upstream.KVCache) error {
	path := requestPath(kv.Request) + "/kv?epoch=" + strconv.FormatUint(uint64(e), 10)
	return c.pool.callJSON(ctx, http.MethodPut, path, kv, nil, maxShortResponseBytes, 0)
}

// Command sends a command to the engine.
func (c *Client) Command(ctx context.Context, command upstream.Command) error {
	return c.pool.callJSON(ctx, http.MethodPost, "/v1/commands", command, nil, maxShortResponseBytes, 0)
}

// Describe returns the current description of the engine.
func (c *Client) Describe(ctx context.Context) (upstream.Announcement, error) {
	var a upstream.Announcement
	err := c.pool.callJSON(ctx, http.MethodGet, "/v1/description", nil, &a, maxShortResponseBytes, listDecodeCost)
	return a, err
}

// CacheEvents returns the events of the prefix cache after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (upstream.CacheEvents, error) {
	var events upstream.CacheEvents
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.pool.callJSON(ctx, http.MethodGet, path, nil, &events, c.pool.dialer.maxResponseBytes, listDecodeCost)
	return events, err
}

func requestPath(r fleet.RequestID) string {
	return "/v1/requests/" + url.PathEscape(string(r))
}

// serviceClient is the client of one plain service.
type serviceClient struct {
	pool *pool
}

// Call sends c once and returns the whole response, whatever its status.
func (s *serviceClient) Call(ctx context.Context, c upstream.Call) (upstream.Response, error) {
	r, err := s.pool.send(ctx, c.Method, c.Path, c.Header, c.Body, s.pool.dialer.maxResponseBytes)
	if err != nil {
		return upstream.Response{}, err
	}
	r.memory.Release() // the receiver charges for the response while it uses it
	return upstream.Response{Status: r.status, Header: r.header, Body: r.body}, nil
}
