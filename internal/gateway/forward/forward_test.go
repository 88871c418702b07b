package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/forward"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
)

// headerCodec implements gateway.HeaderCodec with a minimal set of headers.
type headerCodec struct{}

func (headerCodec) DecodeClient(h http.Header) (gateway.ClientHeaders, error) {
	c := gateway.ClientHeaders{ID: fleet.RequestID(h.Get("Id")), Key: h.Get("Key")}
	ms, _ := strconv.Atoi(h.Get("Budget"))
	c.Budget = time.Duration(ms) * time.Millisecond
	if s := h.Get("After"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return c, err
		}
		c.LastEvent, c.HasLastEvent = n, true
	}
	_, _ = fmt.Sscan(h.Get("Tokens"), &c.PromptTokens, &c.MaxAnswerTokens) // missing in most requests
	for _, part := range strings.Fields(h.Get("Parts")) {
		c.SharedParts = append(c.SharedParts, fleet.PromptPartID(part))
	}
	return c, nil
}

func (headerCodec) EncodeUpstream(h http.Header, s gateway.UpstreamHeaders) {
	h.Del("Key")
	h.Set("Account", string(s.Account))
	h.Set("Priority", strconv.Itoa(s.Priority))
	for _, p := range s.Path {
		h.Add("Path", fmt.Sprintf("%d-%d", p.Layers.From, p.Layers.To))
		h.Add("Engines", string(p.ID))
	}
	if s.HasLastEvent {
		h.Set("After", strconv.FormatUint(s.LastEvent, 10))
	}
}

func (headerCodec) DecodeResponse(status int, h http.Header) gateway.ResponseHeaders {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	return gateway.ResponseHeaders{
		ID: fleet.RequestID(h.Get("Id")), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", At: h.Get("At"),
		Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "", Pause: pause,
	}
}

// decoder ignores its input and returns the release that a test has set.
type decoder struct {
	current *atomic.Pointer[release.Release]
}

func (d decoder) Decode([]byte) (*release.Release, error) { return d.current.Load(), nil }

// prober returns reports, without stalled streams unless report is set, and counts its calls.
// Its responses have the headers reply, if set.
type prober struct {
	calls  *atomic.Int64
	reply  *atomic.Pointer[gateway.ResponseHeaders]
	report *atomic.Pointer[placement.Report]
}

func (p prober) Probe(context.Context, fleet.UpstreamID, string) (placement.Report, gateway.ResponseHeaders, error) {
	p.calls.Add(1)
	if r := p.reply.Load(); r != nil {
		return placement.Report{}, *r, nil
	}
	if r := p.report.Load(); r != nil {
		return *r, gateway.ResponseHeaders{}, nil
	}
	return placement.Report{}, gateway.ResponseHeaders{}, nil
}

// testGateway is a gateway whose upstreams all run the same handler.
type testGateway struct {
	server           *httptest.Server
	requestID        string // of the next requests
	handler          *forward.Handler
	connectionClosed bool               // whether the last response asked to close its connection
	upstreams        []*httptest.Server // alternating between the pools
	mu               sync.Mutex
	received         []http.Header
	logs             *observer.ObservedLogs // log lines of the gateway
	probes           atomic.Int64           // requests for reports of engines
	probeReply       atomic.Pointer[gateway.ResponseHeaders]
	probeReport      atomic.Pointer[placement.Report]
	setRetryCounts   func(budget.Count) // sets the sums of attempts and retries of the pool "model"
	receive          func(feed.Update)  // delivers an update of a controller
	heartbeat        func()             // delivers a heartbeat of each upstream
	state            *state.State
	clock            *offsetClock
	current          atomic.Pointer[release.Release]
	// beforeDial, if not nil, is called before each connection to an upstream is opened.
	beforeDial atomic.Pointer[func()]
	// update is the newest update of a controller. heartbeat delivers it again.
	update *feed.Update
}

// pauseBeforeDial simulates one pause of the process while it opens a connection: the
// clock advances by d, and then is called.
func (w *testGateway) pauseBeforeDial(d time.Duration, then func()) {
	var once sync.Once
	f := func() {
		once.Do(func() {
			w.clock.offset.Add(int64(d))
			then()
		})
	}
	w.beforeDial.Store(&f)
}

// upstreamFunc handles the n-th request to any of the upstreams, counted from 1.
type upstreamFunc func(n int, w http.ResponseWriter, r *http.Request)

const testTimeout = 20 * time.Second

// configLease is how long after a confirmation of the configuration account keys are
// accepted.
const configLease = time.Hour

// testRelease returns a release with a route for each kind of request. Streams of the
// routes "brisk" and "slow" are checked as early as possible, since their targets are
// 1 ms. Those of "slow" and "single" are not resumable.
func testRelease() *release.Release {
	engine := &release.Engine{
		Layers: 4, LayerMB: 1, MeanPromptTokens: 1, MeanAnswerTokens: 1, TokenBytes: 1,
		Cards: map[string]release.Card{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}
	plain := []release.Share{{Pool: "plain", Weight: 1}}
	model := []release.Share{{Pool: "model", Weight: 1}}
	return &release.Release{
		Version: 1,
		Routes: []release.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Type: release.AtMostOnce, Timeout: testTimeout, TargetLatency: testTimeout, Split: plain, MaxAttempts: 1},
			{Name: "again", Host: "h", Prefix: "/again/", Type: release.Idempotent, Timeout: testTimeout, TargetLatency: testTimeout, Split: plain, MaxAttempts: 2},
			{Name: "unary", Host: "h", Prefix: "/unary/", Type: release.Idempotent, Timeout: testTimeout, TargetLatency: testTimeout, Split: model, MaxAttempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Type: release.Stream, Timeout: testTimeout, TargetLatency: testTimeout, TargetGap: testTimeout, Split: model, MaxAttempts: 2, Resumable: true},
			{Name: "brisk", Host: "h", Prefix: "/brisk/", Type: release.Stream, Timeout: testTimeout, TargetLatency: time.Millisecond, TargetGap: time.Millisecond, Split: model, MaxAttempts: 2, Resumable: true},
			{Name: "slow", Host: "h", Prefix: "/slow/", Type: release.Stream, Timeout: testTimeout, TargetLatency: time.Millisecond, TargetGap: time.Millisecond, Split: model, MaxAttempts: 2},
			{Name: "single", Host: "h", Prefix: "/single/", Type: release.Stream, Timeout: testTimeout, TargetLatency: testTimeout, TargetGap: testTimeout, Split: model, MaxAttempts: 2},
		},
		Services: []release.Service{{Pool: "plain"}, {Pool: "model", Engine: engine}},
		Accounts: []release.Account{{ID: "acme", Keys: []string{"k1"}}},
	}
}

// offsetClock is a clock plus an offset. With it a gateway appears to have run long enough
// to have its full share of the retry budget.
type offsetClock struct {
	state.Clock
	offset atomic.Int64
	waits  atomic.Int64 // calls of After
}

func (a *offsetClock) After(d time.Duration) <-chan time.Time {
	a.waits.Add(1)
	return a.Clock.After(d)
}

func (a *offsetClock) Now() time.Time { return a.Clock.Now().Add(time.Duration(a.offset.Load())) }

func (a *offsetClock) Boot() time.Duration { return a.Clock.Boot() + time.Duration(a.offset.Load()) }

func newTestGateway(t *testing.T, upstreams int, b upstreamFunc) *testGateway {
	return newTestGatewayWithRetries(t, upstreams, b, budget.Limit{Share: 0.1, Extra: 40, Window: 10 * time.Second})
}

// newTestGatewayWithRetries returns a testGateway with the given retry limits and the
// given number of upstreams in each of the pools "plain" and "model".
func newTestGatewayWithRetries(t *testing.T, upstreams int, b upstreamFunc, retries budget.Limit) *testGateway {
	return newTestGatewayWithClock(t, upstreams, b, retries, systemclock.Clock{})
}

// newTestGatewayWithClock returns a testGateway whose clock is the given one plus an offset.
func newTestGatewayWithClock(t *testing.T, upstreams int, b upstreamFunc, retries budget.Limit, base state.Clock, os ...state.Option) *testGateway {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	w := &testGateway{logs: logs, requestID: "1"}
	clock := &offsetClock{Clock: base}
	w.clock = clock
	var entries []registry.Entry
	for i := range upstreams {
		for _, pool := range []fleet.PoolID{"plain", "model"} {
			s := httptest.NewServer(w.upstreamHandler(b))
			t.Cleanup(s.Close)
			w.upstreams = append(w.upstreams, s)
			entries = append(entries, registry.Entry{
				ID: fleet.UpstreamID(fmt.Sprintf("%s%d", pool, i)), Incarnation: 1, Sequence: 1, Pool: pool, Slots: 10,
				Address: s.Listener.Addr().String(), State: registry.Ready, Card: "card",
				Layers: upstream.LayerRange{To: 4}, LastHeartbeat: clock.Now(),
			})
		}
	}
	w.current.Store(testRelease())
	client := exchange.New(clock, exchange.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		if f := w.beforeDial.Load(); f != nil {
			(*f)()
		}
		return exchange.DialTCP(ctx, address)
	}), exchange.WithBudget(buffer.NewBudget(0)))
	st := state.New(clock, "dc1", decoder{&w.current}, state.Limits{HeartbeatTimeout: time.Hour, KeyLease: configLease, ReadinessTimeout: time.Hour, Retries: retries}, client, zap.NewNop(), os...)
	w.state = st
	command, err := store.Command(1, nil)
	is.NoErr(err)
	log := store.New()
	log.Apply(1, command)
	held, _ := log.Current()
	u := feed.Update{Release: held, Entries: entries, Sums: &usage.Report{Gateways: 1}}
	if upstreams > 0 {
		u.Confirmed, u.ConfirmedVersion = clock.Boot(), 1
	}
	w.update = &u
	w.receive = func(u feed.Update) { is.NoErr(st.Receive(u)) }
	w.receive(u)
	clock.offset.Store(int64(4 * time.Second))
	w.heartbeat = func() {
		for i := range u.Entries {
			u.Entries[i].Sequence++
			u.Entries[i].LastHeartbeat = clock.Now()
		}
		w.receive(u)
	}
	w.heartbeat()
	h := forward.New(clock, st, client, headerCodec{}, prober{&w.probes, &w.probeReply, &w.probeReport}, forward.NewMetrics(prometheus.NewRegistry()), zap.New(core))
	w.handler = h
	w.setRetryCounts = func(c budget.Count) {
		w.receive(feed.Update{Sums: &usage.Report{Gateways: 1, Attempts: map[fleet.PoolID]budget.Count{"model": c}}})
	}
	w.server = httptest.NewServer(h)
	t.Cleanup(w.server.Close)
	return w
}

func (w *testGateway) upstreamHandler(b upstreamFunc) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Host != "h" {
			// A client of another test, whose server had this port before.
			abort()
		}
		w.mu.Lock()
		w.received = append(w.received, r.Header.Clone())
		n := len(w.received)
		w.mu.Unlock()
		b(n, rw, r)
	})
}

func (w *testGateway) receivedHeaders() []http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received
}

// post sends a request and returns the status, header and body of the response, and
// whether the body is complete.
func (w *testGateway) post(t *testing.T, path, key string) (int, http.Header, string, bool) {
	t.Helper()
	return w.postPrompt(t, path, key, "")
}

// postPrompt sends a request whose prompt has the given parts, separated by blanks.
func (w *testGateway) postPrompt(t *testing.T, path, key, parts string) (int, http.Header, string, bool) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader("order"))
	is.New(t).NoErr(err)
	r.Host = "h"
	r.Header.Set("Id", w.requestID)
	r.Header.Set("Key", key)
	r.Header.Set("Parts", parts)
	r.Header.Set("Budget", "200")
	if key != "" {
		r.Header.Set("Budget", "20000")
	}
	p, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	defer func() { _ = p.Body.Close() }()
	w.mu.Lock()
	w.connectionClosed = p.Close
	w.mu.Unlock()
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, p.Header, string(b), err == nil
}

func respond(w http.ResponseWriter, body string) {
	w.Header().Set("Id", "1")
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, body)
}

func abort() { panic(http.ErrAbortHandler) }

// Guards against requests that wait although the controllers have had no majority for a long
// time: the client learns late that it must come back.
func TestRequestInLongOutageIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "answer") })
	confirm := func() {
		w.update.Confirmed = w.clock.Boot()
		w.heartbeat()
	}
	confirm()
	w.clock.offset.Add(int64(configLease))
	before := w.clock.waits.Load()
	status, header, _, _ := w.post(t, "/again/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(w.clock.waits.Load() > before) // An election may be in progress.
	w.clock.offset.Add(int64(10 * time.Second))
	before = w.clock.waits.Load()
	status, header, _, _ = w.post(t, "/again/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(w.clock.waits.Load(), before)
	confirm()
	status, _, _, _ = w.post(t, "/again/", "k1")
	is.Equal(status, http.StatusOK)
}

// Guards against a non-repeatable request that is retried after a lost response and so
// runs twice, and against status 503, which promises that the request did not run.
func TestOrderWithLostAnswerIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(int, http.ResponseWriter, *http.Request) { abort() })
	status, _, _, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusBadGateway)
	is.Equal(len(w.receivedHeaders()), 1)
}

// Guards against requests that fail without a retry although no upstream ran them.
func TestOrderThatDidNotRunIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respond(rw, "done")
	})
	status, _, body, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done")
	is.Equal(w.receivedHeaders()[1].Get("Account"), "acme")
	is.Equal(w.receivedHeaders()[1].Get("Key"), "")
}

// Guards against a refusal without Retry-After.
func TestRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	status, header, _, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(len(w.receivedHeaders()), 2)
}

// Guards against an idempotent request that fails although a second attempt would have
// succeeded.
func TestIdempotentRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		respond(rw, "found")
	})
	status, _, body, _ := w.post(t, "/again/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "found")
}

// Guards against requests for a single message that get no response because their service
// has engines.
func TestEnginesServeSingleMessages(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 1 {
			abort()
		}
		respond(rw, "found on "+r.Header.Get("Path"))
	})
	status, _, body, complete := w.post(t, "/unary/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "found on 0-4")
	is.Equal(len(w.receivedHeaders()), 2)
}

// Guards against a service that is not served after a release has turned it from a plain
// service into one of engines, or back.
func TestServiceChangesItsKind(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, r *http.Request) { respond(rw, "path "+r.Header.Get("Path")) })
	engine := testRelease().Services[1].Engine
	for version, e := range []*release.Engine{engine, nil, engine, nil} {
		r := testRelease()
		r.Version, r.Services[1].Engine = release.Version(version+2), e
		w.applyRelease(t, r)
		w.heartbeat()
		status, _, body, _ := w.post(t, "/unary/", "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(body == "path 0-4", e != nil)
	}
}

// Guards against a response that belongs to another request or bears no seal of an
// upstream.
func TestForeignAnswersAreNotForwarded(t *testing.T) {
	for _, name := range []string{"Seal", "Id"} {
		is := is.New(t)
		w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			rw.Header().Del(name)
			_, _ = io.WriteString(rw, "foreign")
		})
		status, _, body, _ := w.post(t, "/once/", "k1")
		is.Equal(status, http.StatusBadGateway)
		is.True(!strings.Contains(body, "foreign"))
	}
}

func writeEvents(rw http.ResponseWriter, from, to int) {
	rw.Header().Set("Id", "1")
	rw.Header().Set("Seal", fmt.Sprintf("from%d", from))
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", i, i)
	}
	_ = http.NewResponseController(rw).Flush()
}

// Guards against events that are lost or repeated when an engine fails in the middle
// of an event.
func TestStreamFailsOver(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 1 {
			writeEvents(rw, 1, 2)
			_, _ = io.WriteString(rw, "id: 3\nda")
			_ = http.NewResponseController(rw).Flush()
			abort()
		}
		if r.Header.Get("After") != "2" {
			abort()
		}
		writeEvents(rw, 3, 4)
	})
	status, header, body, complete := w.post(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(header.Get("Seal"), "from1")
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
}

// Guards against streams that fail on an exhausted retry budget although no upstream
// received them: four of five engines do not listen, and no retry is allowed.
func TestUnsentAttemptsCostNoRetry(t *testing.T) {
	is := is.New(t)
	w := newTestGatewayWithRetries(t, 5, func(_ int, rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 2) }, budget.Limit{Window: 10 * time.Second})
	for _, s := range w.upstreams[:8] {
		s.Close()
	}
	status, _, body, complete := w.post(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// Guards against streams that are aborted after two broken runs, and against runs at
// more engines than the route allows.
func TestStreamSurvivesSeveralBreaks(t *testing.T) {
	is := is.New(t)
	ports := make(map[string]bool)
	w := newTestGateway(t, 4, func(n int, rw http.ResponseWriter, r *http.Request) {
		ports[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()] = true
		writeEvents(rw, n, n)
		if n < 4 {
			abort()
		}
	})
	_, _, body, complete := w.post(t, "/stream/", "k1")
	is.True(complete)
	is.Equal(strings.Count(body, "data:"), 4)
	is.Equal(len(ports), 2)
}

// Guards against runs at more engines than the route allows when the first ones are only
// excluded because of failures, and against streams that are aborted although one of them is
// lost.
func TestStreamRunsAtFurtherEngineOnlyAfterLoss(t *testing.T) {
	for _, lost := range []bool{false, true} {
		is := is.New(t)
		var w *testGateway
		var ids []string
		w = newTestGateway(t, 4, func(n int, rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Engines")
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
			writeEvents(rw, n, n)
			if n == 4 {
				return
			}
			address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
			p, _ := w.state.Pool("model")
			p.Planner.MarkFailed(address)
			if lost && n == 2 {
				for _, s := range w.upstreams {
					if s.Listener.Addr().String() == address {
						_ = s.Listener.Close()
					}
				}
			}
			abort()
		})
		_, _, body, complete := w.post(t, "/stream/", "k1")
		is.True(complete)
		is.Equal(strings.Count(body, "data:"), 4)
		want := 2
		if lost {
			want = 3
		}
		is.True(len(ids) <= want)
		is.True(lost || len(ids) == 2)
	}
}

// Guards against a broken stream that is aborted although the retry budget allows
// another run a moment later.
func TestBrokenStreamWaitsForRetryBudget(t *testing.T) {
	is := is.New(t)
	w := newTestGatewayWithRetries(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			respond(rw, "id: 1\ndata: 1\n\n")
			_ = http.NewResponseController(rw).Flush()
			abort()
		}
		respond(rw, "id: 2\ndata: 2\n\n")
	}, budget.Limit{Extra: 1e6, Window: 10 * time.Second})
	w.setRetryCounts(budget.Count{Retries: 1e9})
	go func() {
		for len(w.logs.FilterMessage("A stream broke.").All()) == 0 {
			time.Sleep(time.Millisecond)
		}
		w.setRetryCounts(budget.Count{})
	}()
	status, _, body, complete := w.post(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(len(w.receivedHeaders()), 2)
}

// Guards against a stream that is aborted because its engine sends no event for a
// while, although the retry budget allows no other run.
func TestSilentStreamIsNotCutOff(t *testing.T) {
	is := is.New(t)
	var w *testGateway
	w = newTestGatewayWithRetries(t, 2, func(_ int, rw http.ResponseWriter, r *http.Request) {
		respond(rw, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(rw).Flush()
		for w.probes.Load() < 5 && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(rw, "id: 2\ndata: 2\n\n")
	}, budget.Limit{Window: 10 * time.Second})
	status, _, body, complete := w.post(t, "/brisk/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(len(w.receivedHeaders()), 1)
}

// Guards against a broken stream that looks complete.
func TestBrokenStreamIsCutOff(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		writeEvents(rw, 1, 2)
		abort()
	})
	status, _, body, complete := w.post(t, "/single/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.True(!complete)
	is.Equal(len(w.receivedHeaders()), 1)
}

// Guards against requests with an unknown account key that reach an upstream.
func TestUnknownKeyIsRefused(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	status, _, _, _ := w.post(t, "/once/", "k9")
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(len(w.receivedHeaders()), 0)
}

// Guards against account keys that are accepted, or refused as unknown, while no
// majority has confirmed the configuration.
func TestUnconfirmedConfigurationRefusesKeys(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 0, nil)
	status, header, _, _ := w.post(t, "/once/", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
}

// Guards against streams that keep engines busy after their client has disconnected.
func TestClientDisconnectEndsStream(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
		writeEvents(rw, 1, 1)
		<-r.Context().Done()
		close(disconnected)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/stream/", nil)
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "k1")
	p, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	_, err = p.Body.Read(make([]byte, 1))
	is.NoErr(err)
	cancel()
	_, err = io.ReadAll(p.Body)
	is.True(errors.Is(err, context.Canceled))
	<-disconnected
}

// Guards against request heads that exceed the configured limit, and against a limit
// that also refuses smaller ones.
func TestTooLargeHead(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	r := testRelease()
	r.Version, r.Limits.HeaderBytes = 2, 400
	w.applyRelease(t, r)
	status, _, _, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusOK)
	status, _, body, _ := w.post(t, "/once/"+strings.Repeat("x", 400), "k1")
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(body, `{"error":"headTooLarge"}`)
	is.Equal(len(w.receivedHeaders()), 1)
}

// applyRelease makes a confirmed release the current one.
func (w *testGateway) applyRelease(t *testing.T, r *release.Release) {
	is := is.New(t)
	w.current.Store(r)
	command, err := store.Command(r.Version, nil)
	is.NoErr(err)
	log := store.New()
	log.Apply(1, command)
	held, _ := log.Current()
	w.receive(feed.Update{Release: held, Confirmed: w.clock.Boot(), ConfirmedVersion: r.Version})
}
