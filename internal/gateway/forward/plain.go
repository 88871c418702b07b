package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// maxBufferedBytes is the size limit of responses that are read whole before the
	// first byte is forwarded, so that a broken response can be replaced by that of
	// another upstream.
	maxBufferedBytes = 1 << 20
	// An attempt of an idempotent request that may be retried is abandoned without a
	// response after this multiple of the route's target.
	earlyTimeoutNum, earlyTimeoutDen = 3, 2
)

// response is a complete response of an upstream. It must be released.
type response struct {
	status int
	header http.Header
	body   []byte
	memory *buffer.Charge
}

// newResponse returns the response of an exchange whose body was read.
func newResponse(x *exchange.Exchange, body []byte) (*response, error) {
	memory, err := x.Detach()
	if err != nil {
		return nil, err
	}
	return &response{status: x.Response.StatusCode, header: x.Response.Header, body: body, memory: memory}, nil
}

// release releases the memory of a response, which may be nil.
func (a *response) release() {
	if a != nil {
		a.memory.Release()
	}
}

// result is the outcome of one attempt.
type result int

const (
	// answered means that there is a response for the client.
	answered result = iota
	// upstreamError means that the upstream responded with a server error.
	upstreamError
	// notRun means that the request certainly did not run.
	notRun
	// unknownOutcome means that the request may have run.
	unknownOutcome
)

// serveUnary forwards a request whose response is a single message.
func (q *request) serveUnary(ctx context.Context) {
	var buffered *response
	defer func() { buffered.release() }()
	for q.allowAttempt(ctx) {
		d, err := q.chooseDestination(false)
		if err != nil {
			q.lastErr = err
			break
		}
		q.attempts++
		q.lastUpstream = string(d.target.ID)
		a, res, err := q.attempt(ctx, d, q.mayTryAnother())
		q.reachedUpstream = q.reachedUpstream || !exchange.Unsent(err)
		d.end(res == answered, err)
		if err != nil {
			q.lastErr = err
			q.logSendFailure(d, res, err)
		}
		if res != answered && d.hops != nil {
			q.avoid = append(q.avoid, d.target.ID)
		}
		if res != notRun {
			q.possibleRuns++
		}
		if res == answered || res == upstreamError {
			buffered.release()
			buffered = a
			q.state.Prompts().RecordProgress(q.poolID, q.headers.SharedParts)
		}
		if (res == unknownOutcome || q.stalledAt != "") && ctx.Err() == nil {
			q.recordCrash(ctx, d, q.stalledAt, err)
			q.awaitVerdict(ctx)
		}
		if res == answered || res == upstreamError && !q.mayRepeat() {
			break
		}
	}
	if buffered != nil && q.r.Context().Err() == nil {
		q.deliver(buffered)
		return
	}
	q.fail(ctx)
}

// mayTryAnother reports whether another upstream may be tried if the attempt in progress
// takes too long.
func (q *request) mayTryAnother() bool {
	return q.route.Type == release.Idempotent && q.possibleRuns+1 < q.route.MaxAttempts
}

func (q *request) logSendFailure(d destination, res result, err error) {
	fields := []zap.Field{
		zap.String("request", string(q.headers.ID)), zap.String("upstream", string(d.target.ID)),
		zap.Int("result", int(res)), zap.Any("path", d.hops), zap.Error(err),
	}
	if !d.lastHeartbeat.IsZero() {
		fields = append(fields, zap.Duration("heardAgo", q.clock.Now().Sub(d.lastHeartbeat)))
	}
	q.logger.Info("A send failed.", fields...)
}

// attempt sends the request once and reads the whole response. earlyTimeout limits it to
// earlyTimeoutNum/earlyTimeoutDen of the route's target.
func (q *request) attempt(ctx context.Context, d destination, earlyTimeout bool) (*response, result, error) {
	t := d.target
	q.stalledAt = ""
	sent := q.clock.Now()
	if earlyTimeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.route.TargetLatency*earlyTimeoutNum/earlyTimeoutDen)
		defer cancel()
	}
	x, err := q.client.Send(ctx, t, q.upstreamRequest(d, gateway.UpstreamHeaders{Upstream: t.ID, Path: d.hops}))
	if err != nil {
		return nil, resultOf(err), err
	}
	defer x.Close()
	reply := q.codec.DecodeResponse(x.Response.StatusCode, x.Response.Header)
	q.recordNotices(d, reply)
	if reply.NotRun {
		if q.clock.Now().Sub(sent) >= maxRefusalDelay {
			q.stalledAt = reply.At
		}
		return nil, notRun, refusal.WithCause(refusal.NoUpstream, x.Drain(), "upstream %s responded with status %d without running the request",
			t.ID, x.Response.StatusCode)
	}
	body, err := x.ReadBody(maxBufferedBytes)
	if err != nil {
		return nil, unknownOutcome, errors.Wrapf(err, "read response of upstream %s", t.ID)
	}
	if err := q.verifyResponse(reply, x.Response, t); err != nil {
		return nil, unknownOutcome, err
	}
	x.Keep()
	if err := q.checkPromise(x.Response.StatusCode, t); err != nil {
		return nil, unknownOutcome, err
	}
	a, err := newResponse(x, body)
	if err != nil {
		return nil, unknownOutcome, errors.Wrapf(err, "response of upstream %s", t.ID)
	}
	if a.status >= http.StatusInternalServerError {
		return a, upstreamError, refusal.New(refusal.UpstreamFailed, "upstream %s responded with status %d", t.ID, a.status)
	}
	return a, answered, nil
}

// verifyResponse returns an error if a response belongs to another request, bears no
// seal of its upstream, or has a content encoding.
func (q *request) verifyResponse(r gateway.ResponseHeaders, p *http.Response, t exchange.Target) error {
	if r.Sealed && r.ID == q.headers.ID && p.Header.Get("Content-Encoding") == "" {
		return nil
	}
	return refusal.New(refusal.UpstreamFailed, "upstream %s sent a response without a seal, with a content encoding, or for another request", t.ID)
}

// checkPromise returns an error if the status of a response would tell the client of a
// request that may run only once that it did not run, although the upstream did not state
// that. Clients send such a request again.
func (q *request) checkPromise(status int, t exchange.Target) error {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if !q.mayRepeat() {
			return refusal.New(refusal.UpstreamFailed, "upstream %s responded with status %d and may have run the request", t.ID, status)
		}
	}
	return nil
}

func resultOf(err error) result {
	if exchange.Unsent(err) {
		return notRun
	}
	return unknownOutcome
}

// deliver forwards a complete response to the client. If its memory is needed meanwhile,
// the connection of the client is closed.
func (q *request) deliver(a *response) {
	controller := http.NewResponseController(q.w)
	if err := a.memory.OnAbort(func() { _ = controller.SetWriteDeadline(time.Now()) }); err != nil {
		q.refuse(refusal.WithCause(refusal.UpstreamFailed, err, "response of upstream %s", q.lastUpstream))
		return
	}
	q.status, q.outcome = a.status, "answered"
	copyHeaders(q.w.Header(), a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.writeHead(a.status)
	if _, err := q.w.Write(a.body); err != nil {
		q.outcome = "clientGone"
	}
}
