// Package forward decides what happens to a request of a client: which route and
// account it belongs to, which upstream it goes to, what is tried again, and what
// the client is told.
//
// A request that may run at most once is sent again only if it certainly did not
// run. A stream that may be resumed goes on at other engines after the last event
// that the client has. A refusal with status 503 is sent only for requests that
// did not run and will not.
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
	// defaultBodyBytes bounds a body while the release sets no limit.
	defaultBodyBytes = 4 << 20
	// retryLeast and retrySpread give the time after which a refused client may
	// come back. The spread keeps refused clients from coming back together.
	retryLeast  = 300 * time.Millisecond
	retrySpread = 700 * time.Millisecond
	// stoppingSpread is the longest time after which a client may come back that a
	// gateway refused because it stops. Other gateways serve it at once.
	stoppingSpread = 50 * time.Millisecond
	// admissionWait and admissionPoll bound the wait for a configuration that a
	// majority confirms. Clients leave a request without an answer after about two
	// seconds.
	admissionWait = 1500 * time.Millisecond
	admissionPoll = 25 * time.Millisecond
	// writeMargin is the time after the deadline of a request in which the client must
	// have read its answer. Its connection is closed then.
	writeMargin = time.Second
	// sendWithin is the age of a choice of upstreams up to which it is acted on. Opening
	// a connection takes up to 0.4 s. What was known of an upstream may be wrong later,
	// as after a pause of the process.
	sendWithin = time.Second
	// extraSends are the sends beyond the attempts of a route that upstreams
	// answered without running the request.
	extraSends = 2
	// maxStreamRuns bounds the runs of a stream that may be resumed.
	maxStreamRuns = 5
)

// Prober asks engines for their state.
type Prober interface {
	Report(ctx context.Context, id fleet.UpstreamID, address string) (placement.Report, error)
}

// Handler forwards requests. It is safe for concurrent use.
type Handler struct {
	clock   state.Clock
	state   *state.State
	client  *exchange.Client
	dialect gateway.Dialect
	stalls  *stalls
	metrics *Metrics
	logger  *zap.Logger
	closing atomic.Bool
	active  atomic.Int64
}

// New returns a Handler.
func New(clock state.Clock, s *state.State, c *exchange.Client, d gateway.Dialect, p Prober, m *Metrics, l *zap.Logger) *Handler {
	return &Handler{
		clock: clock, state: s, client: c, dialect: d, metrics: m, logger: l.Named("forward"),
		stalls: &stalls{clock: clock, prober: p, reports: make(map[string]*probe)},
	}
}

// Close makes clients open new connections for further requests, which the
// platform then sends to other gateways.
func (h *Handler) Close() { h.closing.Store(true) }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Ready reports whether the gateway should get new connections.
func (h *Handler) Ready() bool { return !h.closing.Load() && h.state.Ready() }

// request is one request in progress.
type request struct {
	*Handler
	w        http.ResponseWriter
	r        *http.Request
	call     gateway.Call
	route    *release.Route
	account  *release.Account
	table    *table.Table
	poolID   fleet.PoolID
	pool     *state.Pool
	body     []byte
	arrival  time.Time
	deadline time.Time
	// runs counts the sends after which the request may have run, and sends all.
	runs, sends int
	// arrived tells that an upstream may have got any send.
	arrived bool
	// denied tells that the retry budget did not allow another send, and paid that it
	// has allowed the next one already. A watcher sets them, too.
	denied  atomic.Bool
	paid    atomic.Bool
	avoid   []fleet.UpstreamID
	ran     []fleet.UpstreamID // that may have run the request
	asked   []fleet.UpstreamID // that the request was sent to
	last    string             // the upstream of the newest send
	status  int
	outcome string
	lastErr error
	// waited is the time without a usable path.
	waited time.Duration
	// pace is how the events of a stream reached the client.
	pace pace
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	q := &request{Handler: h, w: w, r: r, arrival: h.clock.Now()}
	defer q.report()
	if err := q.awaitAdmission(); err != nil {
		q.refuse(err)
		return
	}
	if q.closing.Load() && q.route.Repeat == release.Stream && !q.route.Resumable {
		// The end of the grace time could cut it off for good. Another gateway takes it.
		q.refuse(refusal.New(refusal.Stopping, "the gateway stops, and the stream cannot be resumed"))
		return
	}
	if err := q.readBody(); err != nil {
		q.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(h.clock.Now()))
	defer cancel()
	q.boundWrites()
	q.pool.Budget.Deposit()
	if q.route.Repeat == release.Stream {
		q.stream(ctx)
		return
	}
	q.plain(ctx)
}

// boundWrites ends writes to a client that does not read. net/http removes the bound
// after the request.
func (q *request) boundWrites() {
	until := time.Now().Add(q.deadline.Sub(q.clock.Now()) + writeMargin)
	if err := http.NewResponseController(q.w).SetWriteDeadline(until); err != nil {
		q.logger.Warn("Writes to a client have no bound.", zap.String("request", string(q.call.ID)), zap.Error(err))
	}
}

// awaitAdmission waits a while for what the gateway lacks after a start or while
// its controllers elect a leader. A refused client comes back once at most.
func (q *request) awaitAdmission() error {
	for {
		err := q.admit()
		if refusal.KindOf(err) != refusal.NotReady {
			return err
		}
		limit := admissionWait
		if q.call.Budget > 0 {
			limit = min(limit, q.call.Budget/2)
		}
		if q.clock.Now().Sub(q.arrival) >= limit || q.closing.Load() {
			return err
		}
		select {
		case <-q.r.Context().Done():
			return err
		case <-q.clock.After(admissionPoll):
		}
	}
}

// admit finds the route and the account of the request.
func (q *request) admit() error {
	call, err := q.dialect.ReadCall(q.r.Header)
	q.call = call
	if err != nil {
		return err
	}
	t := q.state.Table()
	if t == nil {
		return refusal.New(refusal.NotReady, "no configuration is known yet")
	}
	q.table = t
	if n, most := headBytes(q.r), t.Release.Limits.HeaderBytes; most > 0 && n > most {
		return refusal.New(refusal.HeadTooLarge, "the head of the request has %d bytes, more than %d", n, most)
	}
	if len(t.Release.Accounts) > 0 && !q.state.Leased() {
		return refusal.New(refusal.NotReady, "the configuration was last confirmed %s ago", q.state.Age().Round(time.Millisecond))
	}
	o, ok := t.Route(q.r.Host, q.r.URL.Path)
	if !ok {
		return refusal.New(refusal.NotFound, "no route for host %q and path %q", q.r.Host, q.r.URL.Path)
	}
	q.route = o
	if t.NeedsKey(o) {
		if q.account, ok = t.Account(call.Key); !ok {
			return refusal.New(refusal.Unauthenticated, "the account key is not known")
		}
	}
	q.deadline = q.arrival.Add(o.Timeout)
	if d := q.arrival.Add(call.Budget); call.Budget > 0 && d.Before(q.deadline) {
		q.deadline = d
	}
	q.poolID = table.Pick(o, rand.IntN)
	if q.pool, ok = q.state.Pool(q.poolID); !ok {
		return refusal.New(refusal.NoUpstream, "no upstream of service %q is known", q.poolID)
	}
	return nil
}

// readBody reads the body until the deadline of the request at the latest. No
// upstream has got a request whose body did not come in time.
func (q *request) readBody() error {
	limit := q.table.Release.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength > limit {
		return refusal.New(refusal.TooLarge, "the body has %d bytes, more than %d", q.r.ContentLength, limit)
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(q.w)
	err := control.SetReadDeadline(time.Now().Add(q.deadline.Sub(q.clock.Now())))
	if err == nil {
		q.body, err = io.ReadAll(io.LimitReader(q.r.Body, limit+1))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal.Because(refusal.NoUpstream, err, "the body did not come in time")
	}
	if err == nil && int64(len(q.body)) > limit {
		// The deadline stays, because net/http reads on before it answers.
		return refusal.New(refusal.TooLarge, "the body has more than %d bytes", limit)
	}
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return refusal.Because(refusal.BadRequest, err, "read the body")
	}
	return nil
}

// message is the request as it goes to an upstream.
func (q *request) message(s gateway.Send) exchange.Request {
	header := q.r.Header.Clone()
	dropHopHeaders(header)
	header.Del("Content-Length")
	if q.account != nil {
		s.Account = q.account.ID
	}
	s.Urgency = q.urgency()
	decided := q.clock.Now()
	return exchange.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: header, Body: q.body,
		ID:       q.call.ID,
		AnswerID: func(h http.Header) fleet.RequestID { return q.dialect.ReadReply(http.StatusOK, h).ID },
		Single:   q.sentTo(s.Upstream),
		Prepare: func(h http.Header) error {
			now := q.clock.Now()
			s.Left = q.deadline.Sub(now)
			q.dialect.WriteSend(h, s)
			return q.mayStillSend(now.Sub(decided), s.Left)
		},
	}
}

// mayStillSend checks again what allowed a send, some time after it was decided. The
// process may have been paused in the meantime.
func (q *request) mayStillSend(after, left time.Duration) error {
	if left <= 0 {
		return refusal.New(refusal.NoUpstream, "the time of the request is over")
	}
	if after > sendWithin {
		return refusal.New(refusal.NoUpstream, "the upstream was chosen %s ago", after.Round(time.Millisecond))
	}
	if q.account == nil || q.runs > 0 {
		return nil
	}
	if !q.state.Leased() {
		return refusal.New(refusal.NotReady, "the configuration was last confirmed %s ago", q.state.Age().Round(time.Millisecond))
	}
	t := q.state.Table()
	if a, ok := t.Account(q.call.Key); len(t.Release.Accounts) > 0 && (!ok || a.ID != q.account.ID) {
		return refusal.New(refusal.Unauthenticated, "the account key was taken away")
	}
	return nil
}

// sentTo notes a send to an upstream and reports whether there was one before.
func (q *request) sentTo(id fleet.UpstreamID) bool {
	if slices.Contains(q.asked, id) {
		return true
	}
	q.asked = append(q.asked, id)
	return false
}

func (q *request) urgency() int {
	n := q.route.Priority
	if q.account != nil {
		n = q.account.Priority
	}
	return max(0, min(n, 9))
}

// mayRepeat reports whether the request may run more than once.
func (q *request) mayRepeat() bool {
	return q.route.Repeat == release.Idempotent || q.route.Repeat == release.Stream && q.route.Resumable
}

// maySend reports whether another send is within the limits of the route and the
// shared retry budget.
func (q *request) maySend(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if q.sends == 0 {
		return true
	}
	if !q.withinRoute(q.runs, q.sends) {
		return false
	}
	// Sends that no upstream got are no load.
	return !q.arrived || q.pay()
}

// withinRoute reports whether the route allows another send after so many sends, of
// which so many may have run the request.
func (q *request) withinRoute(runs, sends int) bool {
	if runs > 0 && !q.mayRepeat() {
		return false
	}
	most := q.attempts()
	if q.route.Repeat == release.Stream {
		// The route bounds the upstreams, and each run goes on where the last one ended.
		most = max(most, maxStreamRuns)
	}
	return runs < most && sends < most+extraSends
}

// pay takes one send from the retry budget, unless that was done ahead.
func (q *request) pay() bool {
	return q.paid.CompareAndSwap(true, false) || q.withdraw()
}

func (q *request) prepay() bool {
	if q.paid.Load() {
		return true
	}
	ok := q.withdraw()
	q.paid.Store(ok)
	return ok
}

func (q *request) withdraw() bool {
	if q.pool.Budget.Withdraw() {
		return true
	}
	if !q.denied.Swap(true) {
		q.metrics.denied()
	}
	return false
}

// attempts is the number of upstreams that the route allows for one request.
func (q *request) attempts() int { return max(1, q.route.MaxAttempts) }

// ranEverywhere reports whether the request ran at as many upstreams as the route
// allows.
func (q *request) ranEverywhere() bool { return len(q.ran) >= q.attempts() }

// noteRun records that an upstream may have run the request.
func (q *request) noteRun(id fleet.UpstreamID) {
	if !slices.Contains(q.ran, id) {
		q.ran = append(q.ran, id)
	}
}

// fail answers a request that no upstream answered.
func (q *request) fail(ctx context.Context) {
	switch {
	case q.r.Context().Err() != nil:
		q.outcome = "clientGone"
	case q.runs == 0 && ctx.Err() != nil:
		q.refuse(refusal.Because(refusal.NoUpstream, q.lastErr, "no upstream took the request in time"))
	case q.runs == 0:
		q.refuse(refusal.Because(refusal.NoUpstream, q.lastErr, "no upstream took the request"))
	case ctx.Err() != nil:
		q.refuse(refusal.Because(refusal.Deadline, q.lastErr, "no answer in time"))
	default:
		q.refuse(refusal.Because(refusal.UpstreamFailed, q.lastErr, "the upstream gave no answer"))
	}
}

// refuse answers with an error of the system.
func (q *request) refuse(err error) {
	kind := refusal.KindOf(err)
	a := kind.Answer()
	q.lastErr = err
	q.outcome = a.Code
	q.status = a.Status
	q.metrics.refused(a.Code)
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter(kind).Seconds(), 'f', 2, 64))
	}
	body := `{"error":"` + a.Code + `"}`
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writeHead(a.Status)
	_, _ = io.WriteString(q.w, body) // the client may have gone
}

// retryAfter returns the time after which a refused client may come back.
func retryAfter(k refusal.Kind) time.Duration {
	if k == refusal.Stopping {
		return time.Duration(rand.Int64N(int64(stoppingSpread)))
	}
	return retryLeast + time.Duration(rand.Int64N(int64(retrySpread)))
}

// writeHead writes the head of the answer. Whether the client may use the connection
// again is decided as late as this, since the gateway may have begun to drain since
// the request came.
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
		zap.String("request", string(q.call.ID)), zap.String("route", route), zap.String("outcome", q.outcome),
		zap.Int("status", q.status), zap.Duration("took", took), zap.Int("sends", q.sends), zap.Int("runs", q.runs), zap.Duration("waited", q.waited),
		zap.String("upstream", q.last), zap.Uint64("version", uint64(q.state.Version())),
		zap.Duration("confirmedAgo", q.state.Age()),
	}
	if q.denied.Load() {
		fields = append(fields, zap.Bool("retryDenied", true))
	}
	if q.pace.events > 0 {
		fields = append(fields, zap.Int("events", q.pace.events), zap.Duration("firstEvent", q.pace.first),
			zap.Duration("longestGap", q.pace.longestGap), zap.Duration("longestGapAt", q.pace.longestGapAt))
	}
	if q.lastErr != nil {
		fields = append(fields, zap.Error(q.lastErr))
	}
	q.logger.Info("A request ended.", fields...)
}
