package forward

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// firstNum and firstDen give the time before the first event, as a part of the
	// route's target, after which the first engine is asked what the stream waits for.
	// Its report is up to 200 ms old, and the rest of the target is enough for another
	// path.
	firstNum, firstDen = 3, 5
	// gapPatience is the time without a further event, as a multiple of the route's
	// longest gap.
	gapPatience = 2
	// leastPatience is used where a route sets no target or gap.
	leastPatience = 200 * time.Millisecond
	// silentChecks is the number of checks without a finding after which a stream
	// goes on elsewhere, once, since its connection may have gone silent. Clients
	// leave a stream without events after about two seconds.
	silentChecks = 3
	// noteEvery is the time between two notes of progress of one stream.
	noteEvery = 500 * time.Millisecond
	// atOnce bounds the time in which an engine that is alive refuses a request.
	atOnce = 700 * time.Millisecond
	// pathWait and pathPoll bound the wait for a path, from the arrival of the
	// request or from the end of the path before, while engines are full or lost or
	// have not been heard since the start. A client that is told to come back does so
	// once.
	pathWait = 1500 * time.Millisecond
	pathPoll = 40 * time.Millisecond
	// refusalRest is the wait after the second refusal in a row. Each further one adds
	// as much.
	refusalRest = 60 * time.Millisecond
)

// stream forwards a request whose answer is a series of events.
func (q *request) stream(ctx context.Context) {
	s := &relay{request: q, last: q.call.LastEvent, resumed: q.call.HasLastEvent}
	for s.rest(ctx); s.awaitSend(ctx); s.rest(ctx) {
		if s.run(ctx) {
			return
		}
	}
	s.giveUp(ctx)
}

// rest waits before a stream that several paths refused goes to a further one, so
// that the refusals of engines get round before the retries are spent.
func (s *relay) rest(ctx context.Context) {
	if s.refusals < 2 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.clock.After(time.Duration(s.refusals-1) * refusalRest):
	}
}

// awaitSend reports whether another send is allowed. A stream that the client has in
// part waits a while for the retry budget, since its client cannot begin anew.
func (s *relay) awaitSend(ctx context.Context) bool {
	for start := s.clock.Now(); ; {
		if s.maySend(ctx) {
			return true
		}
		if !s.begun || !s.withinRoute(s.runs, s.sends) || s.clock.Now().Sub(start) >= pathWait {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.clock.After(pathPoll):
		}
	}
}

// relay forwards one stream, possibly from several engines in turn.
type relay struct {
	*request
	// last is the number of the newest event that the client has.
	last uint64
	// resumed tells that the next send asks for the events after last.
	resumed bool
	// begun tells that the head of the answer was sent to the client.
	begun  bool
	failed *answer
	// moved tells that the stream went on elsewhere without a finding. It does so
	// only once, because moving adds to the load that makes streams slow.
	moved bool
	// refusals are the paths in a row that an engine without free memory refused.
	refusals int
	noted    time.Time // when progress was last told to the planner
}

// route is where one send goes.
type route struct {
	hops   []path.Hop
	target exchange.Target
	done   func(ok bool, refused bool)
}

// await waits for a path for a while.
func (s *relay) await(ctx context.Context) (route, error) {
	start := s.arrival
	if s.begun {
		start = s.clock.Now()
	}
	for {
		t, err := s.choose()
		if err == nil || s.clock.Now().Sub(start) >= pathWait {
			return t, err
		}
		select {
		case <-ctx.Done():
			return route{}, err
		case <-s.clock.After(pathPoll):
			s.waited += pathPoll
		}
	}
}

// choose picks a path of engines, or one upstream of a plain service.
func (s *relay) choose() (route, error) {
	if p := s.pool.Paths; p != nil {
		hops, err := s.choosePath(p)
		if err != nil {
			return route{}, err
		}
		return route{
			hops: hops, target: exchange.Target{ID: hops[0].ID, Address: hops[0].Address},
			done: func(ok, _ bool) { p.Done(hops, ok) },
		}, nil
	}
	lease, err := s.pick()
	if err != nil {
		return route{}, err
	}
	u := lease.Upstream()
	s.avoid = append(s.avoid, u.ID)
	return route{
		target: exchange.Target{ID: u.ID, Address: u.Address},
		done: func(ok, refused bool) {
			switch {
			case ok:
				lease.Done(pool.Succeeded)
			case s.r.Context().Err() != nil:
				lease.Done(pool.Canceled)
			case refused:
				lease.Done(pool.Unreachable)
			default:
				lease.Done(pool.Failed)
			}
		},
	}, nil
}

// choosePath begins elsewhere after a first engine broke off, and at an engine that
// the stream ran at once the route allows no further one. Those that are lost don't
// count.
func (s *relay) choosePath(p *path.Planner) ([]path.Hop, error) {
	l := path.Limits{Avoid: s.avoid}
	if s.ranEverywhere() {
		l = path.Limits{First: s.ran}
	}
	hops, err := p.Choose(l)
	if err != nil {
		return p.Choose(path.Limits{})
	}
	return hops, nil
}

// pick chooses an upstream of a plain service in the same way.
func (s *relay) pick() (pool.Lease, error) {
	if s.ranEverywhere() {
		return s.pool.Upstreams.Pick(pool.Ask{Only: s.ran})
	}
	return s.pool.Upstreams.Pick(pool.Ask{Avoid: s.avoid})
}

// run makes one send and reports whether the request is finished.
func (s *relay) run(ctx context.Context) bool {
	t, err := s.await(ctx)
	if err != nil {
		s.lastErr = err
		s.giveUp(ctx)
		return true
	}
	s.sends++
	s.request.last = string(t.target.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := s.watch(ctx, cancel, t)
	defer w.stop()
	finished, res, err := s.forward(ctx, t, w)
	refused := exchange.Refused(err)
	s.arrived = s.arrived || !exchange.Unsent(err)
	t.done(err == nil && res == answered, refused)
	if err == nil {
		return finished
	}
	if cause := context.Cause(ctx); ctx.Err() != nil && cause != nil {
		err = errors.Wrap(cause, err.Error())
	}
	if res != notRun {
		s.runs++
		s.noteRun(t.target.ID)
	}
	if res == unknown && t.hops != nil && context.Cause(ctx) == nil {
		s.avoid = []fleet.UpstreamID{t.target.ID}
	}
	if refused {
		s.blame(t.target.Address)
	}
	s.lastErr = err
	s.logger.Info("A stream broke.", zap.String("request", string(s.call.ID)), zap.String("upstream", string(t.target.ID)),
		zap.Uint64("lastEvent", s.last), zap.Int("result", int(res)), zap.Any("path", t.hops), zap.Error(err))
	return finished
}

// forward sends the request and relays the events of its answer.
func (s *relay) forward(ctx context.Context, t route, w *watcher) (bool, result, error) {
	sent := s.clock.Now()
	x, err := s.client.Send(ctx, t.target, s.message(gateway.Send{
		Upstream: t.target.ID, Path: t.hops, LastEvent: s.last, HasLastEvent: s.resumed,
	}))
	if err != nil {
		return false, resultOf(err), err
	}
	defer x.Close()
	reply := s.dialect.ReadReply(x.Response.StatusCode, x.Response.Header)
	if reply.NotRun {
		s.noteRefusal(reply, x.Response.StatusCode, s.clock.Now().Sub(sent))
		return false, notRun, refusal.Because(refusal.NoUpstream, x.Drain(), "upstream %s answered %d without running the request, because of %.64q",
			t.target.ID, x.Response.StatusCode, reply.At)
	}
	if err := s.checkOwn(reply, x.Response, t.target); err != nil {
		return false, unknown, err
	}
	if x.Response.StatusCode != http.StatusOK {
		return s.failure(x, t)
	}
	return s.events(x, w)
}

// noteRefusal passes over the engine that did not do its part. An engine that
// refuses at once has no free memory, or is giving its layers up. One that is dead
// shows only after a time.
func (s *relay) noteRefusal(r gateway.Reply, status int, took time.Duration) {
	if r.At == "" || s.pool.Paths == nil {
		return
	}
	if status == http.StatusServiceUnavailable && took < atOnce {
		s.refusals++
		s.pool.Paths.Full(r.At)
		return
	}
	s.blame(r.At)
}

// failure keeps the answer of an upstream that failed. It is forwarded unless
// another send has an answer.
func (s *relay) failure(x *exchange.Exchange, t route) (bool, result, error) {
	body, err := x.ReadBody(bufferedBytes)
	if err != nil {
		return false, unknown, errors.Wrapf(err, "read the answer of upstream %s", t.target.ID)
	}
	x.Keep()
	a := &answer{status: x.Response.StatusCode, header: x.Response.Header, body: body}
	if a.status < http.StatusInternalServerError && !s.begun {
		s.deliver(a)
		return true, answered, nil
	}
	s.failed = a
	return false, failedRun, refusal.New(refusal.UpstreamFailed, "upstream %s answered %d", t.target.ID, a.status)
}

// events relays whole events, so that a stream that breaks within an event can go
// on elsewhere.
func (s *relay) events(x *exchange.Exchange, w *watcher) (bool, result, error) {
	in := events{reader: bufio.NewReaderSize(x.Response.Body, 2<<10)}
	flush := http.NewResponseController(s.w)
	for {
		e, err := in.next()
		if errors.Is(err, io.EOF) {
			s.begin(x.Response)
			s.outcome = "answered"
			x.Keep()
			return true, answered, nil
		}
		if err != nil {
			return false, unknown, errors.Wrap(err, "read the stream")
		}
		s.refusals = 0
		if e.id > 0 && e.id <= s.last {
			continue // the client has it, and it may come without end
		}
		if !e.comment {
			w.progress()
			s.noteProgress(w.route)
		}
		s.begin(x.Response)
		if e.id > 0 {
			s.last, s.resumed = e.id, true
		}
		_, err = s.w.Write(e.raw)
		if err == nil {
			err = flush.Flush()
		}
		if err != nil {
			s.outcome = "clientGone"
			return true, answered, errors.Wrap(err, "write to the client")
		}
		s.pace.note(s.clock.Now().Sub(s.arrival))
	}
}

// noteProgress tells the planner now and then that the engines of a path work.
func (s *relay) noteProgress(t route) {
	now := s.clock.Now()
	if s.pool.Paths == nil || now.Sub(s.noted) < noteEvery {
		return
	}
	s.noted = now
	s.pool.Paths.Served(t.hops)
}

// begin sends the head of the answer once. Later engines go on under it.
func (s *relay) begin(p *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	s.status = p.StatusCode
	copyHeaders(s.w.Header(), p.Header)
	s.w.Header().Del("Content-Length")
	s.writeHead(p.StatusCode)
}

// giveUp ends a stream that no engine completes. A stream that has begun is cut
// off, so that it doesn't look complete.
func (s *relay) giveUp(ctx context.Context) {
	if s.begun {
		s.outcome = "broken"
		if s.r.Context().Err() != nil {
			s.outcome = "clientGone"
		}
		panic(http.ErrAbortHandler)
	}
	if s.failed != nil && s.r.Context().Err() == nil {
		s.deliver(s.failed)
		return
	}
	s.fail(ctx)
}

// blame passes over the engine at an address for a while.
func (s *relay) blame(address string) {
	if s.pool.Paths != nil {
		s.pool.Paths.Fail(address)
	}
}

// watcher notices that a stream makes no progress and finds out why.
type watcher struct {
	relay  *relay
	ctx    context.Context
	cancel context.CancelCauseFunc
	route  route
	timer  *time.Timer
	// checking tells that a check is in progress. The others of its time are left out.
	checking atomic.Bool
	// events counts the events so far.
	events atomic.Int64
	// checks are those since the last event, which was the one with the number seen.
	// Both belong to the check in progress.
	checks int
	seen   int64
	// runs and sends are those of the request once the send in progress has ended.
	runs, sends int
}

func (s *relay) watch(ctx context.Context, cancel context.CancelCauseFunc, t route) *watcher {
	w := &watcher{relay: s, ctx: ctx, cancel: cancel, route: t, runs: s.runs + 1, sends: s.sends}
	w.timer = time.AfterFunc(patience(s.request.route.Target*firstNum/firstDen), w.check)
	return w
}

func patience(d time.Duration) time.Duration { return max(leastPatience, d) }

func (w *watcher) progress() {
	w.events.Add(1)
	w.timer.Reset(patience(w.relay.request.route.MaxGap * gapPatience))
}

func (w *watcher) stop() { w.timer.Stop() }

// check asks the first engine which part of the path it waits for.
func (w *watcher) check() {
	if w.ctx.Err() != nil || !w.checking.CompareAndSwap(false, true) {
		return
	}
	defer w.checking.Store(false)
	s := w.relay
	s.metrics.stalled()
	if n := w.events.Load(); n != w.seen {
		w.seen, w.checks = n, 0
	}
	w.checks++
	first := w.route.target.Address
	r, err := s.stalls.ask(w.ctx, w.route.target)
	if w.ctx.Err() != nil {
		return
	}
	if w.events.Load() != w.seen {
		// The engines went on in the meantime.
		w.timer.Reset(patience(s.request.route.MaxGap * gapPatience))
		return
	}
	if err != nil {
		s.blame(first)
		if w.mayMove() {
			w.cancel(errors.Wrapf(err, "engine at %s does not answer", first))
			return
		}
	}
	for _, k := range r.Stalled {
		if k.Request == s.call.ID || w.passes(k.Address) {
			s.blame(k.Address)
			w.cancel(errors.Errorf("the stream waits for the engine at %s", k.Address))
			return
		}
	}
	if w.checks == 1 {
		w.findSlow()
	}
	// Silence alone is no reason to cut off a stream that cannot go on elsewhere.
	if w.checks >= silentChecks && !s.moved && w.mayMove() {
		s.moved = true
		w.cancel(errors.New("the stream made no progress"))
		return
	}
	w.timer.Reset(patience(s.request.route.MaxGap * gapPatience))
}

// mayMove reports whether the stream may go on elsewhere, and pays for it.
func (w *watcher) mayMove() bool {
	return w.relay.withinRoute(w.runs, w.sends) && w.relay.prepay()
}

// findSlow asks the other engines of the path for their pace, so that further
// streams pass over slow ones.
func (w *watcher) findSlow() {
	p := w.relay.pool.Paths
	if p == nil {
		return
	}
	var wait sync.WaitGroup
	for _, h := range p.Unpaced(w.route.hops) {
		wait.Go(func() {
			r, err := w.relay.stalls.ask(w.ctx, exchange.Target{ID: h.ID, Address: h.Address})
			if err == nil {
				p.SetPace(h.ID, r.Pace)
			}
		})
	}
	wait.Wait()
}

func (w *watcher) passes(address string) bool {
	for _, h := range w.route.hops {
		if h.Address == address {
			return true
		}
	}
	return false
}
