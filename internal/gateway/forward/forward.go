// Package forward handles requests of clients: it finds the route and the account
// of a request, selects upstreams, retries failed attempts and sends the response
// to the client.
//
// A request that may run at most once is retried only if it certainly did not run.
// A resumable stream fails over to other engines and continues after the last event
// that the client has. Status 503 is sent only for requests that did not run and
// will not run.
package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/table"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// defaultMaxBodyBytes is the limit of a request body if the release sets none.
	defaultMaxBodyBytes = 4 << 20
	// Retry-After of a refusal is minRetryAfter plus a random part of
	// retryAfterJitter. The jitter keeps refused clients from retrying all at once.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 700 * time.Millisecond
	// maxStoppingRetryAfter is the upper bound of the random Retry-After of a gateway
	// that is stopping. It is short because other gateways can serve the client at
	// once.
	maxStoppingRetryAfter = 50 * time.Millisecond
	// A request waits up to readyTimeout for a configuration that a majority of the
	// controllers has confirmed, and checks every readyPollInterval. Clients abandon
	// a request without a response after about 2 s. It does not wait once the keys have
	// not been accepted for longOutage, far longer than elections and most cuts last.
	readyTimeout      = 1500 * time.Millisecond
	readyPollInterval = 25 * time.Millisecond
	longOutage        = 10 * time.Second
	// writeMargin is how long after the deadline of a request its client may still
	// read the response. After that the connection is closed.
	writeMargin = time.Second
	// maxSelectionAge is the longest time between the selection of an upstream and
	// the write of the request. Opening a connection takes up to 0.4 s. Later, as
	// after a pause of the process, the state that led to the selection may be out of
	// date.
	maxSelectionAge = time.Second
	// extraAttempts is the number of attempts beyond the limit of the route that are
	// allowed for attempts which did not run the request.
	extraAttempts = 2
	// quarantineRetryAfter is the Retry-After of a request whose prompt is quarantined.
	quarantineRetryAfter = time.Minute
	// maxStreamRuns is the number of runs that each resumable stream is allowed. A
	// higher MaxAttempts of the route takes precedence.
	maxStreamRuns = 5
	// maxPriority is the least urgent priority of the request header of upstreams.
	maxPriority = 9
)

// errStopping is the cause of the end of requests that wait for an upstream when the gateway
// stops.
var errStopping = errors.New("the gateway stops")

// Prober requests state reports from engines.
type Prober interface {
	// Probe returns the report of an engine and the headers of its response. The headers
	// are valid also if an error is returned.
	Probe(ctx context.Context, id fleet.UpstreamID, address string) (placement.Report, gateway.ResponseHeaders, error)
}

// Handler forwards requests. It is safe for concurrent use.
type Handler struct {
	clock          state.Clock
	state          *state.State
	client         *exchange.Client
	codec          gateway.HeaderCodec
	probes         *probeCache
	metrics        *Metrics
	logger         *zap.Logger
	draining       atomic.Bool
	activeRequests atomic.Int64
	// lastResponse is the time until which late requests must have their response, or nil
	// while connections are accepted.
	lastResponse atomic.Pointer[time.Time]
	// stop is canceled to end the requests that wait for an upstream.
	stop       context.Context
	cancelStop context.CancelFunc
}

// New returns a Handler.
func New(clock state.Clock, s *state.State, c *exchange.Client, d gateway.HeaderCodec, p Prober, m *Metrics, l *zap.Logger) *Handler {
	h := &Handler{
		clock: clock, state: s, client: c, codec: d, metrics: m, logger: l.Named("forward"),
		probes: &probeCache{clock: clock, prober: p, notices: s.Notices(), probes: make(map[string]*probe)},
	}
	h.stop, h.cancelStop = context.WithCancel(context.Background())
	return h
}

// StartDrain starts to drain the gateway: responses close their connections, so that the
// platform routes the new connections of clients to other gateways.
func (h *Handler) StartDrain() { h.draining.Store(true) }

// StopAccepting must be called when no more connections are accepted. Requests that arrive
// after it are refused if they may run only once, or are streams, and may last longer than
// until. Other gateways can serve them.
func (h *Handler) StopAccepting(until time.Time) { h.lastResponse.Store(&until) }

// EndWaiting ends all requests whose response has not begun, with an error.
func (h *Handler) EndWaiting() { h.cancelStop() }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.activeRequests.Load() }

// Ready reports whether the gateway should receive new connections.
func (h *Handler) Ready() bool { return !h.draining.Load() && h.state.Ready() }

// request is a client request in progress.
type request struct {
	*Handler
	w        http.ResponseWriter
	r        *http.Request
	headers  gateway.ClientHeaders
	route    *release.Route
	account  *release.Account
	table    *table.Table
	poolID   fleet.PoolID
	pool     *state.Pool
	body     []byte
	arrival  time.Time
	deadline time.Time
	// possibleRuns is the number of attempts that may have run the request, and
	// attempts the number of all attempts.
	possibleRuns, attempts int
	// reachedUpstream reports whether an upstream may have received any attempt.
	reachedUpstream bool
	// retryDenied reports whether the retry budget denied an attempt, and
	// retryReserved whether the budget was already charged for the next one. A
	// watcher sets them concurrently.
	retryDenied   atomic.Bool
	retryReserved atomic.Bool
	// lastEventAt is the time from the arrival to the latest event that the client
	// has, in nanoseconds, or 0 if it has no part of a stream. A watcher reads it
	// concurrently.
	lastEventAt  atomic.Int64
	wait         *retryWait // for the retry budget, or nil
	avoid        []fleet.UpstreamID
	ranAt        []fleet.UpstreamID // upstreams that may have run the request
	tried        []fleet.UpstreamID // upstreams selected for an attempt
	lastUpstream string             // upstream of the latest attempt
	status       int
	outcome      string
	lastErr      error
	// stalledAt is the address of the engine for which the others of the path waited in vain
	// in the latest attempt, or empty.
	stalledAt string
	// crashes is the number of engines that crashed before they responded to the prompt,
	// while it may have been the cause.
	crashes int
	// waited is the time spent waiting for a usable path, or for a verdict on the prompt.
	waited time.Duration
	// admission is the decision of the admission control, or nil if it does not apply.
	admission *quota.Decision
	// timing records when the events of a stream were written to the client.
	timing eventTiming
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	q := &request{Handler: h, w: w, r: r, arrival: h.clock.Now()}
	defer q.report()
	if err := q.awaitReady(); err != nil {
		q.refuse(err)
		return
	}
	if q.draining.Load() && q.route.Type == release.Stream && !q.route.Resumable {
		// The stream would be lost if it were still running at the end of the grace
		// period. Another gateway can serve it.
		q.refuse(refusal.New(refusal.Stopping, "the gateway is draining and the stream cannot be resumed"))
		return
	}
	if err := q.readBody(); err != nil {
		q.refuse(err)
		return
	}
	if err := q.checkStop(); err != nil {
		q.refuse(err)
		return
	}
	if q.route.Type == release.Stream && q.underAdmissionControl() {
		if err := q.admit(); err != nil {
			q.refuse(err)
			return
		}
		defer func() { q.pool.Admission.Done(q.possibleRuns > 0 || q.timing.events > 0) }()
	}
	ctx, cancel := q.withDeadline()
	defer cancel()
	q.setWriteDeadline()
	q.pool.RetryBudget.Deposit()
	if q.route.Type == release.Stream {
		q.serveStream(ctx)
		return
	}
	q.serveUnary(ctx)
}

// withDeadline returns the context of the request, which ends at its deadline, or when the
// gateway stops and the client has no part of a response yet.
func (q *request) withDeadline() (context.Context, context.CancelFunc) {
	timed, cancelTimer := context.WithTimeout(q.r.Context(), q.deadline.Sub(q.clock.Now()))
	ctx, cancel := context.WithCancelCause(timed)
	unregister := context.AfterFunc(q.stop, func() {
		if !q.started() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		unregister()
		cancelTimer()
	}
}

// checkStop returns an error for a late request that might be cut off, or have an unknown
// outcome, at the end of the grace period.
func (q *request) checkStop() error {
	until := q.lastResponse.Load()
	if until == nil || q.route.Type == release.Idempotent || !q.deadline.After(*until) {
		return nil
	}
	return refusal.New(refusal.Stopping, "the gateway stops %s before the deadline of the request", q.deadline.Sub(*until).Round(time.Millisecond))
}

// setWriteDeadline makes writes fail if the client does not read the response.
// net/http clears the write deadline after the request.
func (q *request) setWriteDeadline() {
	deadline := time.Now().Add(q.deadline.Sub(q.clock.Now()) + writeMargin)
	if err := http.NewResponseController(q.w).SetWriteDeadline(deadline); err != nil {
		q.logger.Warn("Cannot set the write deadline of a client connection.", zap.String("request", string(q.headers.ID)), zap.Error(err))
	}
}

// awaitReady resolves the request. It retries for up to readyTimeout while the
// gateway lacks a confirmed configuration, as after a start or during an election
// among the controllers, because a refused client retries at most once. A long outage
// gives no reason to expect its end meanwhile.
func (q *request) awaitReady() error {
	for {
		err := q.resolve()
		if refusal.KindOf(err) != refusal.NotReady {
			return err
		}
		limit := readyTimeout
		if q.headers.Budget > 0 {
			limit = min(limit, q.headers.Budget/2)
		}
		if q.clock.Now().Sub(q.arrival) >= limit || q.draining.Load() || q.state.KeyLeaseExpiredFor() >= longOutage {
			return err
		}
		select {
		case <-q.r.Context().Done():
			return err
		case <-q.clock.After(readyPollInterval):
		}
	}
}

// resolve decodes the headers of the client and finds the route, the account, the
// deadline and the pool of the request.
func (q *request) resolve() error {
	headers, err := q.codec.DecodeClient(q.r.Header)
	q.headers = headers
	if err != nil {
		return err
	}
	t := q.state.Table()
	if t == nil {
		return refusal.New(refusal.NotReady, "no configuration received yet")
	}
	q.table = t
	if n, limit := headBytes(q.r), t.Release.Limits.HeaderBytes; limit > 0 && n > limit {
		return refusal.New(refusal.HeadTooLarge, "request head has %d bytes, limit is %d", n, limit)
	}
	if len(t.Release.Accounts) > 0 && !q.state.KeyLeaseValid() {
		return refusal.New(refusal.NotReady, "the configuration was last confirmed %s ago", q.state.ConfirmationAge().Round(time.Millisecond))
	}
	route, ok := t.Route(q.r.Host, q.r.URL.Path)
	if !ok {
		return refusal.New(refusal.NotFound, "no route for host %q and path %q", q.r.Host, q.r.URL.Path)
	}
	q.route = route
	if t.NeedsKey(route) {
		if q.account, ok = t.Account(headers.Key); !ok {
			return refusal.New(refusal.Unauthenticated, "unknown account key")
		}
	}
	q.deadline = q.arrival.Add(route.Timeout)
	if d := q.arrival.Add(headers.Budget); headers.Budget > 0 && d.Before(q.deadline) {
		q.deadline = d
	}
	q.poolID = table.Pick(route, rand.IntN)
	if q.pool, ok = q.state.Pool(q.poolID); !ok {
		return refusal.New(refusal.NoUpstream, "no upstream of service %q is known", q.poolID)
	}
	return q.checkPrompt()
}

// readBody reads the whole body until the deadline of the request. A request whose
// body does not arrive in time is not sent to any upstream.
func (q *request) readBody() error {
	limit := q.table.Release.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if q.r.ContentLength > limit {
		return refusal.New(refusal.TooLarge, "request body has %d bytes, limit is %d", q.r.ContentLength, limit)
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(q.w)
	err := control.SetReadDeadline(time.Now().Add(q.deadline.Sub(q.clock.Now())))
	if err == nil {
		q.body, err = io.ReadAll(io.LimitReader(q.r.Body, limit+1))
	}
	if refusal.KindOf(err) == refusal.Overloaded {
		return err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal.WithCause(refusal.NoUpstream, err, "request body not received before the deadline")
	}
	if err == nil && int64(len(q.body)) > limit {
		// Keep the read deadline, because net/http goes on reading the body before it
		// sends the response.
		return refusal.New(refusal.TooLarge, "request body exceeds %d bytes", limit)
	}
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return refusal.WithCause(refusal.BadRequest, err, "read request body")
	}
	return nil
}

// admit offers a stream to the admission control of its service, and returns an error if it
// is refused.
func (q *request) admit() error {
	p := quota.Pair{Level: quota.Level(q.level())}
	if q.account != nil {
		p.Account = q.account.ID
	}
	d := q.pool.Admission.Offer(p)
	q.admission = &d
	if d.Admitted {
		return nil
	}
	left := q.deadline.Sub(q.clock.Now())
	return refusal.New(refusal.Overloaded, "service %q admits %.3f of the streams of this account at level %d", q.poolID, d.Fraction, d.Level).
		WithRetryAfter(q.pool.Admission.RetryAfter(left))
}

// upstreamRequest builds the request for an upstream.
func (q *request) upstreamRequest(d destination, s gateway.UpstreamHeaders) exchange.Request {
	header := q.r.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	if q.account != nil {
		s.Account = q.account.ID
	}
	s.Priority = q.priority()
	selected := q.clock.Now()
	return exchange.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: header, Body: q.body,
		ID:            q.headers.ID,
		ResponseID:    func(h http.Header) fleet.RequestID { return q.codec.DecodeResponse(http.StatusOK, h).ID },
		DedicatedConn: q.markTried(s.Upstream),
		BeforeWrite: func(h http.Header) error {
			now := q.clock.Now()
			s.Remaining = q.deadline.Sub(now)
			q.codec.EncodeUpstream(h, s)
			return q.checkBeforeSend(d, now.Sub(selected), s.Remaining)
		},
	}
}

// checkBeforeSend repeats the checks that allowed an attempt, right before the request
// is written. The process may have been paused since the upstream was selected.
func (q *request) checkBeforeSend(d destination, sinceSelection, remaining time.Duration) error {
	if remaining <= 0 {
		return refusal.New(refusal.NoUpstream, "request deadline has passed")
	}
	if sinceSelection > maxSelectionAge {
		return refusal.New(refusal.NoUpstream, "upstream was selected %s ago", sinceSelection.Round(time.Millisecond))
	}
	if err := q.checkPrompt(); err != nil {
		return err
	}
	if err := q.checkNotices(d); err != nil {
		return err
	}
	if q.account == nil || q.possibleRuns > 0 {
		return nil
	}
	if !q.state.KeyLeaseValid() {
		return refusal.New(refusal.NotReady, "the configuration was last confirmed %s ago", q.state.ConfirmationAge().Round(time.Millisecond))
	}
	t := q.state.Table()
	if a, ok := t.Account(q.headers.Key); len(t.Release.Accounts) > 0 && (!ok || a.ID != q.account.ID) {
		return refusal.New(refusal.Unauthenticated, "account key was revoked")
	}
	return nil
}

// markTried records an attempt at an upstream and reports whether there was an
// earlier one.
func (q *request) markTried(id fleet.UpstreamID) bool {
	if slices.Contains(q.tried, id) {
		return true
	}
	q.tried = append(q.tried, id)
	return false
}

// priority returns the service level for services under admission control, and otherwise
// the priority of the account or of the route.
func (q *request) priority() int {
	if q.underAdmissionControl() {
		return min(q.level(), maxPriority)
	}
	n := q.route.Priority
	if q.account != nil {
		n = q.account.Priority
	}
	return max(0, min(n, maxPriority))
}

// mayRepeat reports whether the request may run more than once.
func (q *request) mayRepeat() bool {
	return q.route.Type == release.Idempotent || q.route.Type == release.Stream && q.route.Resumable
}

// allowAttempt reports whether the limits of the route and the shared retry budget
// allow another attempt. A retry is charged to the budget.
func (q *request) allowAttempt(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if q.attempts == 0 {
		return true
	}
	if err := q.checkPrompt(); err != nil {
		q.lastErr = err
		return false
	}
	if !q.withinRouteLimits(q.possibleRuns, q.attempts) {
		return false
	}
	// Attempts that did not reach an upstream put no load on it and are free.
	return !q.reachedUpstream || q.takeRetry()
}

// withinRouteLimits reports whether the route allows another attempt after the given
// number of attempts, of which possibleRuns may have run the request.
func (q *request) withinRouteLimits(possibleRuns, attempts int) bool {
	if possibleRuns > 0 && !q.mayRepeat() {
		return false
	}
	limit := q.maxUpstreams()
	if q.route.Type == release.Stream {
		// For streams MaxAttempts limits the number of upstreams. More runs are
		// allowed, since each continues where the previous one ended.
		limit = max(limit, maxStreamRuns)
	}
	return possibleRuns < limit && attempts < limit+extraAttempts
}

// takeRetry charges the retry budget for one attempt, unless reserveRetry did so
// before. Under admission control a started stream that is denied joins those that wait
// for the budget.
func (q *request) takeRetry() bool {
	if q.retryReserved.CompareAndSwap(true, false) {
		return true
	}
	if q.wait != nil {
		return q.wait.take()
	}
	ok := q.withdrawRetry()
	if !ok && q.underAdmissionControl() && q.started() {
		q.joinWait()
	}
	return ok
}

// reserveRetry charges the retry budget for the next attempt in advance, at most
// once.
func (q *request) reserveRetry() bool {
	if q.retryReserved.Load() {
		return true
	}
	ok := q.withdrawRetry()
	q.retryReserved.Store(ok)
	return ok
}

func (q *request) withdrawRetry() bool {
	if q.withdraw() {
		return true
	}
	if !q.retryDenied.Swap(true) {
		q.metrics.retryDenied()
	}
	return false
}

// maxUpstreams returns the number of upstreams that may run the request.
func (q *request) maxUpstreams() int { return max(1, q.route.MaxAttempts) }

// reachedMaxUpstreams reports whether the request may have run at as many upstreams as
// the route allows.
func (q *request) reachedMaxUpstreams() bool { return len(q.ranAt) >= q.maxUpstreams() }

// recordRun records that an upstream may have run the request.
func (q *request) recordRun(id fleet.UpstreamID) {
	if !slices.Contains(q.ranAt, id) {
		q.ranAt = append(q.ranAt, id)
	}
}

// fail ends a request for which there is no upstream response to forward.
func (q *request) fail(ctx context.Context) {
	switch {
	case q.r.Context().Err() != nil:
		q.outcome = "clientGone"
		// Without this, net/http would send an empty response with status 200, which a
		// client that has closed only its own direction of the connection receives.
		panic(http.ErrAbortHandler)
	case q.possibleRuns == 0 && errors.Is(context.Cause(ctx), errStopping):
		q.refuse(refusal.WithCause(refusal.Stopping, q.lastErr, "no upstream accepted the request before the gateway stopped"))
	case q.possibleRuns == 0 && ctx.Err() != nil:
		q.refuse(refusal.WithCause(refusal.NoUpstream, q.lastErr, "no upstream accepted the request before the deadline"))
	case q.possibleRuns == 0 && (refusal.KindOf(q.lastErr) == refusal.Quarantined || refusal.KindOf(q.lastErr) == refusal.Overloaded):
		q.refuse(q.lastErr)
	case q.possibleRuns == 0:
		q.refuse(refusal.WithCause(refusal.NoUpstream, q.lastErr, "no upstream accepted the request"))
	case errors.Is(context.Cause(ctx), errStopping):
		q.refuse(refusal.WithCause(refusal.Deadline, q.lastErr, "no response before the gateway stopped"))
	case ctx.Err() != nil:
		q.refuse(refusal.WithCause(refusal.Deadline, q.lastErr, "no response before the deadline"))
	default:
		q.refuse(refusal.WithCause(refusal.UpstreamFailed, q.lastErr, "no upstream returned a valid response"))
	}
}

// refuse sends an error response of the gateway itself.
func (q *request) refuse(err error) {
	kind := refusal.KindOf(err)
	a := kind.Response()
	q.lastErr = err
	q.outcome = a.Code
	q.status = a.Status
	q.metrics.refused(a.Code)
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter(err, kind).Seconds(), 'f', 2, 64))
	}
	body := `{"error":"` + a.Code + `"}`
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writeHead(a.Status)
	_, _ = io.WriteString(q.w, body) // the client may have disconnected
}

// retryAfter returns the time after which a client that was refused with err may retry. It
// is random unless the error has one.
func retryAfter(err error, k refusal.Kind) time.Duration {
	var e *refusal.Error
	if errors.As(err, &e) && e.Kind == k && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch k {
	case refusal.Stopping:
		return time.Duration(rand.Int64N(int64(maxStoppingRetryAfter)))
	case refusal.Quarantined:
		return quarantineRetryAfter
	}
	return minRetryAfter + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// writeHead writes the status line and the headers of the response. Only here is it
// decided whether the client may reuse the connection, because the gateway may have
// started to drain after the request arrived.
func (q *request) writeHead(status int) {
	if !q.Ready() {
		q.w.Header().Set("Connection", "close")
	}
	q.w.WriteHeader(status)
}

// report writes the log line and the metrics of a finished request.
func (q *request) report() {
	took := q.clock.Now().Sub(q.arrival)
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.metrics.finished(q.outcome, took)
	fields := []zap.Field{
		zap.String("request", string(q.headers.ID)), zap.String("route", route), zap.String("outcome", q.outcome),
		zap.Int("status", q.status), zap.Duration("took", took), zap.Int("sends", q.attempts), zap.Int("runs", q.possibleRuns), zap.Duration("waited", q.waited),
		zap.String("upstream", q.lastUpstream), zap.Uint64("version", uint64(q.state.Version())),
		zap.Duration("confirmedAgo", q.state.ConfirmationAge()),
	}
	if d := q.admission; d != nil && !d.Admitted {
		fields = append(fields, zap.Int("level", int(d.Level)), zap.Float64("fraction", d.Fraction))
	}
	if q.retryDenied.Load() {
		fields = append(fields, zap.Bool("retryDenied", true))
	}
	if q.timing.events > 0 {
		fields = append(fields, zap.Int("events", q.timing.events), zap.Duration("firstEvent", q.timing.first),
			zap.Duration("longestGap", q.timing.longestGap), zap.Duration("longestGapAt", q.timing.longestGapAt))
	}
	if q.lastErr != nil {
		fields = append(fields, zap.Error(q.lastErr))
	}
	q.logger.Info("A request ended.", fields...)
}
