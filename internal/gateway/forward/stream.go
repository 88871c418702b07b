package forward

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/notice"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// Without any event, the first engine of the path is checked after this fraction
	// of the route's TargetLatency. Its report is up to 200 ms old, and the rest of that
	// time is enough for another path.
	firstCheckNum, firstCheckDen = 3, 5
	// gapFactor is the time without a further event after which a stream is checked,
	// as a multiple of the route's TargetGap.
	gapFactor = 2
	// minStallTimeout is the shortest time before a check. It also applies to routes
	// without TargetLatency or TargetGap.
	minStallTimeout = 200 * time.Millisecond
	// checksBeforeFailover is the number of checks without a finding after which a
	// stream fails over, once only, since its connection may be dead. Clients abandon
	// a stream without events after about 2 s.
	checksBeforeFailover = 3
	// progressInterval is the shortest time between two progress reports of a stream
	// to the planner.
	progressInterval = 500 * time.Millisecond
	// maxRefusalDelay is the longest time in which an engine that is alive refuses a
	// request. A later refusal counts as a failure of the engine.
	maxRefusalDelay = 700 * time.Millisecond
	// A stream waits up to pathTimeout for a usable path, from the arrival of the
	// request or from the end of the previous path, and checks every
	// pathPollInterval. Engines may be full or lost, or may not have sent a
	// heartbeat since the gateway started. A refused client retries only once.
	pathTimeout      = 1500 * time.Millisecond
	pathPollInterval = 40 * time.Millisecond
	// refusalBackoff is the backoff after the second refusal in a row. Each further
	// refusal adds the same amount.
	refusalBackoff = 60 * time.Millisecond
)

// serveStream forwards a request whose response is an event stream.
func (q *request) serveStream(ctx context.Context) {
	s := &relay{request: q, lastEvent: q.headers.LastEvent, hasLastEvent: q.headers.HasLastEvent}
	defer func() { s.failedResponse.release() }()
	for s.backOff(ctx); s.awaitAttempt(ctx); s.backOff(ctx) {
		if s.runAttempt(ctx) {
			return
		}
		s.awaitVerdict(ctx)
	}
	s.giveUp(ctx)
}

// backOff waits before the next attempt after two or more refusals in a row, so that
// reports of full engines reach the gateway before the retries are used up.
func (s *relay) backOff(ctx context.Context) {
	if s.refusals < 2 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.clock.After(time.Duration(s.refusals-1) * refusalBackoff):
	}
}

// awaitAttempt reports whether another attempt is allowed. If the client already has a
// part of the stream, it waits up to pathTimeout for the retry budget, since that
// client cannot start over.
func (s *relay) awaitAttempt(ctx context.Context) bool {
	defer s.leaveWait()
	granted := false // whether the budget allows an attempt
	for start := s.clock.Now(); ; {
		if s.unnumbered.Load() {
			return false
		}
		if s.allowAttempt(ctx) {
			return true
		}
		if granted || !s.headSent || !s.withinRouteLimits(s.possibleRuns, s.attempts) || s.clock.Now().Sub(start) >= pathTimeout {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.wait.granted():
			granted = true
		case <-s.clock.After(pathPollInterval):
		}
	}
}

// relay forwards one stream, possibly from several paths one after another.
type relay struct {
	*request
	// lastEvent is the ID of the latest event with an ID that the client has, if
	// hasLastEvent is set. The next attempt asks for the events after it.
	lastEvent    uint64
	hasLastEvent bool
	// unnumbered reports whether the client has an event without an ID after lastEvent.
	// No other run can continue after it. A watcher reads it concurrently.
	unnumbered atomic.Bool
	// headSent reports whether the status line and headers were sent to the client.
	headSent bool
	// mediaType is the content type in the headers that were sent, without parameters.
	mediaType string
	// failedResponse is the latest error response of an upstream.
	failedResponse *response
	// failedOver reports whether the stream failed over after checks without a
	// finding. It does so only once, because a failover adds to the load that makes
	// streams slow.
	failedOver bool
	// refusals is the number of consecutive attempts that an engine without free
	// memory refused.
	refusals     int
	lastProgress time.Time // when progress was last reported to the planner
}

// awaitDestination waits up to pathTimeout for a destination. A new stream waits neither
// for engines that are full nor for the end of a pause.
func (s *relay) awaitDestination(ctx context.Context) (destination, error) {
	start := s.arrival
	if s.headSent {
		start = s.clock.Now()
	}
	for {
		t, err := s.chooseDestination(s.headSent || s.headers.HasLastEvent)
		if err == nil || s.refusedAsFull(err) || s.clock.Now().Sub(start) >= pathTimeout {
			return t, err
		}
		if !s.headSent && errors.Is(err, errWithheld) {
			return t, err
		}
		select {
		case <-ctx.Done():
			return destination{}, err
		case <-s.clock.After(pathPollInterval):
			s.waited += pathPollInterval
		}
	}
}

// runAttempt makes one attempt and reports whether the request is finished.
func (s *relay) runAttempt(ctx context.Context) bool {
	t, err := s.awaitDestination(ctx)
	if err != nil {
		s.lastErr = err
		s.giveUp(ctx)
		return true
	}
	s.attempts++
	s.request.lastUpstream = string(t.target.ID)
	requestCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := s.watch(ctx, cancel, t)
	s.stalledAt = ""
	defer w.stop()
	finished, res, err := s.forward(ctx, t, w)
	s.reachedUpstream = s.reachedUpstream || !exchange.Unsent(err)
	t.end(err == nil && res == answered, err)
	if err == nil {
		return finished
	}
	if cause := context.Cause(ctx); ctx.Err() != nil && cause != nil {
		err = errors.Wrap(cause, err.Error())
	}
	if res != notRun {
		s.possibleRuns++
		s.recordRun(t.target.ID)
	}
	if res == unknownOutcome && t.hops != nil && context.Cause(ctx) == nil {
		s.avoid = []fleet.UpstreamID{t.target.ID}
	}
	if exchange.ConnectFailed(err) {
		s.recordFailedExchange(t.target.Address, err)
	}
	if at := w.stalledAt.Load(); at != nil {
		s.stalledAt = *at
	}
	if w.events.Load() < minProgressEvents && (res == unknownOutcome && ctx.Err() == nil || s.stalledAt != "") {
		s.recordCrash(requestCtx, t, s.stalledAt, err)
	}
	s.lastErr = err
	s.logger.Info("A stream broke.", zap.String("request", string(s.headers.ID)), zap.String("upstream", string(t.target.ID)),
		zap.Uint64("lastEvent", s.lastEvent), zap.Int64("events", w.events.Load()), zap.Any("sharedParts", s.headers.SharedParts),
		zap.Int("result", int(res)), zap.Any("path", t.hops), zap.Error(err))
	return finished
}

// forward sends the request and relays the events of its response.
func (s *relay) forward(ctx context.Context, t destination, w *watcher) (bool, result, error) {
	sent := s.clock.Now()
	x, err := s.client.Send(ctx, t.target, s.upstreamRequest(t, gateway.UpstreamHeaders{
		Upstream: t.target.ID, Path: t.hops, LastEvent: s.lastEvent, HasLastEvent: s.hasLastEvent,
	}))
	if err != nil {
		return false, resultOf(err), err
	}
	defer x.Close()
	reply := s.codec.DecodeResponse(x.Response.StatusCode, x.Response.Header)
	s.recordNotices(t, reply)
	if reply.NotRun {
		s.recordRefusal(reply, x.Response.StatusCode, s.clock.Now().Sub(sent))
		return false, notRun, refusal.WithCause(refusal.NoUpstream, x.Drain(), "upstream %s responded with status %d without running the request, engine at fault: %.64q",
			t.target.ID, x.Response.StatusCode, reply.At)
	}
	if err := s.verifyResponse(reply, x.Response, t.target); err != nil {
		return false, unknownOutcome, err
	}
	if x.Response.StatusCode != http.StatusOK {
		return s.handleErrorResponse(x, t)
	}
	return s.relayEvents(x, w)
}

// recordRefusal reports the engine that refused a request to the planner. A refusal
// within maxRefusalDelay means that the engine has no free memory or is releasing its
// layers, unless it asks for a pause, which says more. A later one counts as a failure of
// the engine, because a dead engine is noticed only after a timeout.
func (s *relay) recordRefusal(r gateway.ResponseHeaders, status int, took time.Duration) {
	if r.At == "" || s.pool.Planner == nil {
		return
	}
	if status == http.StatusServiceUnavailable && took < maxRefusalDelay {
		if r.Pause > 0 {
			return
		}
		s.refusals++
		s.pool.Planner.MarkFull(r.At)
		return
	}
	s.stalledAt = r.At
	s.markFailed(r.At)
}

// handleErrorResponse handles a response with another status than 200. A status below
// 500 is forwarded at once if nothing was sent yet. Any other response is kept and
// forwarded unless another attempt succeeds.
func (s *relay) handleErrorResponse(x *exchange.Exchange, t destination) (bool, result, error) {
	body, err := x.ReadBody(maxBufferedBytes)
	if err != nil {
		return false, unknownOutcome, errors.Wrapf(err, "read response of upstream %s", t.target.ID)
	}
	x.Keep()
	if err := s.checkPromise(x.Response.StatusCode, t.target); err != nil {
		return false, unknownOutcome, err
	}
	a, err := newResponse(x, body)
	if err != nil {
		return false, unknownOutcome, errors.Wrapf(err, "response of upstream %s", t.target.ID)
	}
	if a.status < http.StatusInternalServerError && !s.headSent {
		defer a.release()
		s.deliver(a)
		return true, answered, nil
	}
	s.failedResponse.release()
	s.failedResponse = a
	return false, upstreamError, refusal.New(refusal.UpstreamFailed, "upstream %s responded with status %d", t.target.ID, a.status)
}

// relayEvents forwards only complete events, so that a stream that breaks within an
// event can fail over.
func (s *relay) relayEvents(x *exchange.Exchange, w *watcher) (bool, result, error) {
	if err := s.checkContentType(x.Response); err != nil {
		return false, unknownOutcome, err
	}
	reader := eventReader{source: bufio.NewReaderSize(x.Response.Body, 2<<10), grow: x.Charge}
	controller := http.NewResponseController(s.w)
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) && w.events.Load() == 0 && (s.headSent || !s.hasLastEvent) && endsWithConnection(x.Response) {
			// Any end of the connection would pass for that of the stream.
			return false, unknownOutcome, errors.Wrap(io.ErrUnexpectedEOF, "stream has no event")
		}
		if errors.Is(err, io.EOF) {
			s.sendHead(x.Response)
			s.outcome = "answered"
			x.Keep()
			if !endsWithConnection(x.Response) {
				s.state.Prompts().RecordProgress(s.poolID, s.headers.SharedParts)
			}
			return true, answered, nil
		}
		if err != nil {
			return false, unknownOutcome, errors.Wrap(err, "read event stream")
		}
		s.refusals = 0
		if e.hasID && s.hasLastEvent && e.id <= s.lastEvent {
			continue // the client has it already, and the engine may repeat it forever
		}
		if !e.comment {
			n := w.progress()
			s.reportProgress(w.dest)
			if n == minProgressEvents {
				s.state.Prompts().RecordProgress(s.poolID, s.headers.SharedParts)
			}
		}
		s.sendHead(x.Response)
		s.recordEvent(e)
		_, err = s.w.Write(e.raw)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			s.outcome = "clientGone"
			return true, answered, errors.Wrap(err, "write to client")
		}
		at := s.clock.Now().Sub(s.arrival)
		s.timing.record(at)
		if !e.comment {
			s.recordStarted(at)
		}
	}
}

// recordEvent records an event before it is sent to the client.
func (s *relay) recordEvent(e event) {
	switch {
	case e.hasID:
		s.lastEvent, s.hasLastEvent = e.id, true
		s.unnumbered.Store(false)
	case !e.comment:
		s.unnumbered.Store(true)
	}
}

// checkContentType returns an error if a response cannot continue the stream that the
// client already receives, because it has another content type.
func (s *relay) checkContentType(p *http.Response) error {
	if got := mediaType(p); s.headSent && s.mediaType != "" && got != s.mediaType {
		return refusal.New(refusal.UpstreamFailed, "content type %.64q does not continue a stream of type %.64q", got, s.mediaType)
	}
	return nil
}

// mediaType returns the content type of a response without its parameters.
func mediaType(p *http.Response) string {
	t, _, _ := strings.Cut(p.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(p *http.Response) bool {
	return p.ContentLength < 0 && len(p.TransferEncoding) == 0
}

// reportProgress reports to the planner, at most once per progressInterval, that the
// engines of a path make progress.
func (s *relay) reportProgress(t destination) {
	now := s.clock.Now()
	if s.pool.Planner == nil || now.Sub(s.lastProgress) < progressInterval {
		return
	}
	s.lastProgress = now
	s.pool.Planner.NoteProgress(t.hops)
}

// sendHead sends the status line and headers to the client, once per stream. Events of
// later paths follow under the same headers.
func (s *relay) sendHead(p *http.Response) {
	if s.headSent {
		return
	}
	s.headSent = true
	s.recordStarted(s.clock.Now().Sub(s.arrival))
	s.mediaType = mediaType(p)
	s.status = p.StatusCode
	copyHeaders(s.w.Header(), p.Header)
	s.w.Header().Del("Content-Length")
	s.writeHead(p.StatusCode)
}

// giveUp ends a stream that no path completed. If the client already has a part, the
// connection is aborted, so that the stream does not look complete.
func (s *relay) giveUp(ctx context.Context) {
	if s.headSent {
		s.outcome = "broken"
		if s.r.Context().Err() != nil {
			s.outcome = "clientGone"
		}
		panic(http.ErrAbortHandler)
	}
	if s.failedResponse != nil && s.r.Context().Err() == nil {
		s.deliver(s.failedResponse)
		return
	}
	s.fail(ctx)
}

// markFailed excludes the engine at an address from new paths for a while.
func (s *relay) markFailed(address string) {
	if s.pool.Planner != nil {
		s.pool.Planner.MarkFailed(address)
	}
}

// recordFailedExchange excludes the engine at an address after an exchange with it failed
// with err, and records whether it is unreachable.
func (s *relay) recordFailedExchange(address string, err error) {
	s.markFailed(address)
	if s.pool.Planner != nil && exchange.Unreachable(err) {
		s.pool.Planner.MarkUnreachable(address)
	}
}

// watcher detects that a stream makes no progress and looks for the cause.
type watcher struct {
	relay  *relay
	ctx    context.Context
	cancel context.CancelCauseFunc
	dest   destination
	timer  *time.Timer
	// stalledAt is the address of the engine on which the stream was found to stall, or nil.
	stalledAt atomic.Pointer[string]
	// checking reports whether a check is in progress. Further checks are skipped
	// until it ends.
	checking atomic.Bool
	// events is the number of events of this attempt so far.
	events atomic.Int64
	// checks is the number of checks since the last event, and checkedEvents the value
	// of events at the latest check. Only the check in progress uses them.
	checks        int
	checkedEvents int64
	// possibleRuns and attempts are the counts of the request as they will be after
	// the attempt in progress.
	possibleRuns, attempts int
}

func (s *relay) watch(ctx context.Context, cancel context.CancelCauseFunc, t destination) *watcher {
	w := &watcher{relay: s, ctx: ctx, cancel: cancel, dest: t, possibleRuns: s.possibleRuns + 1, attempts: s.attempts}
	w.timer = time.AfterFunc(stallTimeout(s.request.route.TargetLatency*firstCheckNum/firstCheckDen), w.check)
	return w
}

// stallTimeout returns d, or minStallTimeout if d is shorter.
func stallTimeout(d time.Duration) time.Duration { return max(minStallTimeout, d) }

// progress records an event and returns the number of events of this attempt.
func (w *watcher) progress() int64 {
	n := w.events.Add(1)
	w.timer.Reset(stallTimeout(w.relay.request.route.TargetGap * gapFactor))
	return n
}

func (w *watcher) stop() { w.timer.Stop() }

// check asks the first engine which engine of the path the stream waits for.
func (w *watcher) check() {
	if w.ctx.Err() != nil || !w.checking.CompareAndSwap(false, true) {
		return
	}
	defer w.checking.Store(false)
	s := w.relay
	s.metrics.stalled()
	if n := w.events.Load(); n != w.checkedEvents {
		w.checkedEvents, w.checks = n, 0
	}
	w.checks++
	first := w.dest.target.Address
	r, err := s.probes.report(w.ctx, w.dest.upstreams[0], w.dest.target)
	if errors.Is(err, errWithheld) {
		r, err = placement.Report{}, nil // without a probe there is no finding
	}
	if w.ctx.Err() != nil {
		return
	}
	if w.events.Load() != w.checkedEvents {
		// The stream made progress during the check.
		w.timer.Reset(stallTimeout(s.request.route.TargetGap * gapFactor))
		return
	}
	if err != nil {
		s.recordFailedExchange(first, err)
		if w.allowFailover() {
			w.cancel(errors.Wrapf(err, "engine at %s did not report its state", first))
			return
		}
	}
	for _, k := range r.Stalled {
		if k.Request == s.headers.ID || w.onPath(k.Address) {
			s.markFailed(k.Address)
			w.stalledAt.Store(&k.Address)
			w.cancel(errors.Errorf("stream is stalled on the engine at %s", k.Address))
			return
		}
	}
	if w.checks == 1 {
		w.probeSlowdowns()
	}
	// A stream that cannot fail over is not aborted for a lack of events alone.
	if w.checks >= checksBeforeFailover && !s.failedOver && w.allowFailover() {
		s.failedOver = true
		w.cancel(errors.New("stream made no progress"))
		return
	}
	w.timer.Reset(stallTimeout(s.request.route.TargetGap * gapFactor))
}

// allowFailover reports whether the stream may fail over, and charges the retry budget
// for it.
func (w *watcher) allowFailover() bool {
	s := w.relay
	return !s.unnumbered.Load() && s.withinRouteLimits(w.possibleRuns, w.attempts) && s.reserveRetry()
}

// probeSlowdowns requests the slowdown of those engines of the path that were not
// asked recently, so that other streams avoid slow engines.
func (w *watcher) probeSlowdowns() {
	p := w.relay.pool.Planner
	if p == nil {
		return
	}
	var wg sync.WaitGroup
	for _, h := range p.SlowdownDue(w.dest.hops) {
		wg.Go(func() {
			r, err := w.relay.probes.report(w.ctx, notice.Upstream{ID: h.ID, Incarnation: h.Incarnation}, exchange.Target{ID: h.ID, Address: h.Address})
			if err == nil {
				p.SetSlowdown(h.ID, r.Slowdown)
			}
		})
	}
	wg.Wait()
}

func (w *watcher) onPath(address string) bool {
	for _, h := range w.dest.hops {
		if h.Address == address {
			return true
		}
	}
	return false
}
