package forward

import (
	"context"
	"net/http"
	"strconv"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// bufferedBytes bounds the answers that are read whole before the first byte
	// is forwarded, so that a broken answer can be replaced.
	bufferedBytes = 1 << 20
	// patienceNum and patienceDen give the time without an answer, as a part of the
	// route's target, after which a request that may run again goes elsewhere.
	patienceNum, patienceDen = 3, 2
)

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// result tells how one send ended.
type result int

const (
	// answered sends have an answer for the client.
	answered result = iota
	// failedRun sends have an answer that says that the upstream failed.
	failedRun
	// notRun sends certainly did not run.
	notRun
	// unknown sends may have run.
	unknown
)

// plain forwards a request whose answer is a single message.
func (q *request) plain(ctx context.Context) {
	var held *answer
	for q.maySend(ctx) {
		lease, err := q.pool.Upstreams.Pick(pool.Ask{Avoid: q.avoid})
		if err != nil {
			q.lastErr = err
			break
		}
		u := lease.Upstream()
		q.sends++
		q.avoid = append(q.avoid, u.ID)
		q.last = string(u.ID)
		a, res, err := q.attempt(ctx, exchange.Target{ID: u.ID, Address: u.Address}, q.impatient())
		q.arrived = q.arrived || !exchange.Unsent(err)
		lease.Done(leaseResult(res, err, q.r.Context()))
		if err != nil {
			q.lastErr = err
			q.logger.Info("A send failed.", zap.String("request", string(q.call.ID)), zap.String("upstream", q.last),
				zap.Int("result", int(res)), zap.Duration("heardAgo", q.clock.Now().Sub(u.Confirmed)), zap.Error(err))
		}
		if res != notRun {
			q.runs++
		}
		if res == answered || res == failedRun {
			held = a
		}
		if res == answered || res == failedRun && !q.mayRepeat() {
			break
		}
	}
	if held != nil && q.r.Context().Err() == nil {
		q.deliver(held)
		return
	}
	q.fail(ctx)
}

// impatient reports whether another upstream may be tried while there is time.
func (q *request) impatient() bool {
	return q.route.Repeat == release.Idempotent && q.runs+1 < q.route.MaxAttempts
}

func leaseResult(res result, err error, client context.Context) pool.Result {
	switch {
	case res == answered:
		return pool.Succeeded
	case client.Err() != nil:
		return pool.Canceled
	case exchange.Refused(err):
		return pool.Unreachable
	}
	return pool.Failed
}

// attempt sends the request once and reads the whole answer.
func (q *request) attempt(ctx context.Context, t exchange.Target, impatient bool) (*answer, result, error) {
	if impatient {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.route.Target*patienceNum/patienceDen)
		defer cancel()
	}
	x, err := q.client.Send(ctx, t, q.message(gateway.Send{Upstream: t.ID}))
	if err != nil {
		return nil, resultOf(err), err
	}
	defer x.Close()
	reply := q.dialect.ReadReply(x.Response.StatusCode, x.Response.Header)
	if reply.NotRun {
		return nil, notRun, refusal.Because(refusal.NoUpstream, x.Drain(), "upstream %s answered %d without running the request",
			t.ID, x.Response.StatusCode)
	}
	body, err := x.ReadBody(bufferedBytes)
	if err != nil {
		return nil, unknown, errors.Wrapf(err, "read the answer of upstream %s", t.ID)
	}
	if err := q.checkOwn(reply, x.Response, t); err != nil {
		return nil, unknown, err
	}
	x.Keep()
	a := &answer{status: x.Response.StatusCode, header: x.Response.Header, body: body}
	if a.status >= http.StatusInternalServerError {
		return a, failedRun, refusal.New(refusal.UpstreamFailed, "upstream %s answered %d", t.ID, a.status)
	}
	return a, answered, nil
}

// checkOwn returns an error if an answer is that of another request, or none that
// its upstream vouches for.
func (q *request) checkOwn(r gateway.Reply, p *http.Response, t exchange.Target) error {
	if r.Sealed && r.ID == q.call.ID && p.Header.Get("Content-Encoding") == "" {
		return nil
	}
	return refusal.New(refusal.UpstreamFailed, "upstream %s sent an answer that is not its own", t.ID)
}

func resultOf(err error) result {
	if exchange.Unsent(err) {
		return notRun
	}
	return unknown
}

// deliver forwards a whole answer.
func (q *request) deliver(a *answer) {
	q.status, q.outcome = a.status, "answered"
	copyHeaders(q.w.Header(), a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.writeHead(a.status)
	if _, err := q.w.Write(a.body); err != nil {
		q.outcome = "clientGone"
	}
}
