package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
)

// dialect is a minimal set of headers.
type dialect struct{}

func (dialect) ReadCall(h http.Header) (gateway.Call, error) {
	c := gateway.Call{ID: fleet.RequestID(h.Get("Id")), Key: h.Get("Key")}
	ms, _ := strconv.Atoi(h.Get("Budget"))
	c.Budget = time.Duration(ms) * time.Millisecond
	return c, nil
}

func (dialect) WriteSend(h http.Header, s gateway.Send) {
	h.Del("Key")
	h.Set("Account", string(s.Account))
	if s.HasLastEvent {
		h.Set("After", strconv.FormatUint(s.LastEvent, 10))
	}
}

func (dialect) ReadReply(_ int, h http.Header) gateway.Reply {
	return gateway.Reply{ID: fleet.RequestID(h.Get("Id")), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", At: h.Get("At")}
}

// decoder returns the release that a test has set.
type decoder struct {
	release *atomic.Pointer[release.Release]
}

func (d decoder) Decode([]byte) (*release.Release, error) { return d.release.Load(), nil }

// prober finds no stalled stream.
type prober struct{ asked *atomic.Int64 }

func (p prober) Report(context.Context, fleet.UpstreamID, string) (placement.Report, error) {
	p.asked.Add(1)
	return placement.Report{}, nil
}

// world is a gateway in front of upstreams that all run the same handler.
type world struct {
	gateway *httptest.Server
	handler *forward.Handler
	closes  bool               // whether the last answer closes its connection
	servers []*httptest.Server // of the pools in turn
	mu      sync.Mutex
	seen    []http.Header
	logs    *observer.ObservedLogs // of the gateway
	asked   atomic.Int64           // reports of engines
	tell    func(budget.Count)     // sums of retries of the pool "model"
	receive func(feed.Update)      // an update of a controller
	renew   func()                 // a heartbeat of each upstream
	clock   *aged
	decoded atomic.Pointer[release.Release]
	// opening is called before each connection to an upstream is opened, unless nil.
	opening atomic.Pointer[func()]
}

// pauseOnce stops the process once for a time while it opens a connection.
func (w *world) pauseOnce(d time.Duration, then func()) {
	var once sync.Once
	f := func() {
		once.Do(func() {
			w.clock.age.Add(int64(d))
			then()
		})
	}
	w.opening.Store(&f)
}

// behave answers the n-th request to any upstream, counted from 1.
type behave func(n int, w http.ResponseWriter, r *http.Request)

const patience = 20 * time.Second

// lease is the time after a confirmation for which account keys are accepted.
const lease = time.Hour

func sample() *release.Release {
	engine := &release.Engine{
		Layers: 4, LayerMB: 1, UsualPrompt: 1, UsualAnswer: 1, TokenBytes: 1,
		Cards: map[string]release.Card{"card": {MemoryMB: 100, Pace: 1, ReadFactor: 1}},
	}
	plain := []release.Share{{Pool: "plain", Weight: 1}}
	model := []release.Share{{Pool: "model", Weight: 1}}
	return &release.Release{
		Version: 1,
		Routes: []release.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Repeat: release.Once, Timeout: patience, Target: patience, Split: plain, MaxAttempts: 1},
			{Name: "again", Host: "h", Prefix: "/again/", Repeat: release.Idempotent, Timeout: patience, Target: patience, Split: plain, MaxAttempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Repeat: release.Stream, Timeout: patience, Target: patience, MaxGap: patience, Split: model, MaxAttempts: 2, Resumable: true},
			{Name: "brisk", Host: "h", Prefix: "/brisk/", Repeat: release.Stream, Timeout: patience, Target: time.Millisecond, MaxGap: time.Millisecond, Split: model, MaxAttempts: 2, Resumable: true},
			{Name: "slow", Host: "h", Prefix: "/slow/", Repeat: release.Stream, Timeout: patience, Target: time.Millisecond, MaxGap: time.Millisecond, Split: model, MaxAttempts: 2},
			{Name: "single", Host: "h", Prefix: "/single/", Repeat: release.Stream, Timeout: patience, Target: patience, MaxGap: patience, Split: model, MaxAttempts: 2},
		},
		Services: []release.Service{{Pool: "plain"}, {Pool: "model", Engine: engine}},
		Accounts: []release.Account{{ID: "acme", Keys: []string{"k1"}}},
	}
}

// aged is a clock by which a gateway started long enough ago to have its full part
// of the retries.
type aged struct {
	systemclock.Clock
	age atomic.Int64
}

func (a *aged) Now() time.Time { return a.Clock.Now().Add(time.Duration(a.age.Load())) }

func (a *aged) Boot() time.Duration { return a.Clock.Boot() + time.Duration(a.age.Load()) }

func newWorld(t *testing.T, upstreams int, b behave) *world {
	return newWorldWith(t, upstreams, b, budget.Limit{Share: 0.1, Extra: 40, Window: 10 * time.Second})
}

// newWorldWith bounds the retries.
func newWorldWith(t *testing.T, upstreams int, b behave, retries budget.Limit) *world {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	w := &world{logs: logs}
	var entries []registry.Entry
	for i := range upstreams {
		for _, pool := range []fleet.PoolID{"plain", "model"} {
			s := httptest.NewServer(w.upstream(b))
			t.Cleanup(s.Close)
			w.servers = append(w.servers, s)
			entries = append(entries, registry.Entry{
				ID: fleet.UpstreamID(fmt.Sprintf("%s%d", pool, i)), Born: 1, Sequence: 1, Pool: pool, Slots: 10,
				Address: s.Listener.Addr().String(), State: registry.Ready, Card: "card",
				Layers: upstream.LayerRange{To: 4}, Heard: time.Now(),
			})
		}
	}
	clock := &aged{}
	w.clock = clock
	w.decoded.Store(sample())
	client := exchange.New(clock, exchange.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		if f := w.opening.Load(); f != nil {
			(*f)()
		}
		return exchange.DialTCP(ctx, address)
	}))
	st := state.New(clock, "dc1", decoder{&w.decoded}, state.Limits{Alive: time.Hour, Lease: lease, Fresh: time.Hour, Retries: retries}, client, zap.NewNop())
	command, err := store.Command(1, nil)
	is.NoErr(err)
	log := store.New()
	log.Apply(1, command)
	held, _ := log.Current()
	u := feed.Update{Held: held, Entries: entries, Sums: &usage.Report{Gateways: 1}}
	if upstreams > 0 {
		u.Confirmed, u.ConfirmedVersion = clock.Boot(), 1
	}
	w.receive = func(u feed.Update) { is.NoErr(st.Receive(u)) }
	w.receive(u)
	clock.age.Store(int64(4 * time.Second))
	w.renew = func() {
		for i := range u.Entries {
			u.Entries[i].Sequence++
			u.Entries[i].Heard = clock.Now()
		}
		w.receive(u)
	}
	w.renew()
	h := forward.New(clock, st, client, dialect{}, prober{&w.asked}, forward.NewMetrics(prometheus.NewRegistry()), zap.New(core))
	w.handler = h
	w.tell = func(c budget.Count) {
		w.receive(feed.Update{Sums: &usage.Report{Gateways: 1, Sends: map[fleet.PoolID]budget.Count{"model": c}}})
	}
	w.gateway = httptest.NewServer(h)
	t.Cleanup(w.gateway.Close)
	return w
}

func (w *world) upstream(b behave) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.seen = append(w.seen, r.Header.Clone())
		n := len(w.seen)
		w.mu.Unlock()
		b(n, rw, r)
	})
}

func (w *world) headers() []http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}

// call returns status, header and body, and whether the body is complete.
func (w *world) call(t *testing.T, path, key string) (int, http.Header, string, bool) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.gateway.URL+path, strings.NewReader("order"))
	is.New(t).NoErr(err)
	r.Host = "h"
	r.Header.Set("Id", "1")
	r.Header.Set("Key", key)
	r.Header.Set("Budget", "200")
	if key != "" {
		r.Header.Set("Budget", "20000")
	}
	p, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	defer func() { _ = p.Body.Close() }()
	w.closes = p.Close
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, p.Header, string(b), err == nil
}

func ok(w http.ResponseWriter, body string) {
	w.Header().Set("Id", "1")
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, body)
}

func abort() { panic(http.ErrAbortHandler) }

// Guards against an order that runs twice, and against a refusal that says "not
// run" of an order that may have run.
func TestOrderWithLostAnswerIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(int, http.ResponseWriter, *http.Request) { abort() })
	status, _, _, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusBadGateway)
	is.Equal(len(w.headers()), 1)
}

// Guards against orders that are given up though no upstream ran them.
func TestOrderThatDidNotRunGoesElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ok(rw, "done")
	})
	status, _, body, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done")
	is.Equal(w.headers()[1].Get("Account"), "acme")
	is.Equal(w.headers()[1].Get("Key"), "")
}

// Guards against a refusal without a time to come back.
func TestRefusalOfWhatDidNotRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	status, header, _, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(len(w.headers()), 2)
}

// Guards against a failure that a second attempt would have mended.
func TestIdempotentRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		ok(rw, "found")
	})
	status, _, body, _ := w.call(t, "/again/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "found")
}

// Guards against an answer of another request, and against one that no upstream
// vouches for.
func TestForeignAnswersAreNotForwarded(t *testing.T) {
	for _, name := range []string{"Seal", "Id"} {
		is := is.New(t)
		w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			rw.Header().Del(name)
			_, _ = io.WriteString(rw, "foreign")
		})
		status, _, body, _ := w.call(t, "/once/", "k1")
		is.Equal(status, http.StatusBadGateway)
		is.True(!strings.Contains(body, "foreign"))
	}
}

func events(rw http.ResponseWriter, from, to int) {
	rw.Header().Set("Id", "1")
	rw.Header().Set("Seal", fmt.Sprintf("from%d", from))
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", i, i)
	}
	_ = http.NewResponseController(rw).Flush()
}

// Guards against events that are lost or repeated when an engine is lost in the
// middle of one.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 1 {
			events(rw, 1, 2)
			_, _ = io.WriteString(rw, "id: 3\nda")
			_ = http.NewResponseController(rw).Flush()
			abort()
		}
		if r.Header.Get("After") != "2" {
			abort()
		}
		events(rw, 3, 4)
	})
	status, header, body, whole := w.call(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(whole)
	is.Equal(header.Get("Seal"), "from1")
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
}

// Guards against streams that fail for want of retries though no upstream got them:
// four of five engines do not listen, and no retry is allowed.
func TestSendsThatDoNotArriveCostNoRetry(t *testing.T) {
	is := is.New(t)
	w := newWorldWith(t, 5, func(_ int, rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 2) }, budget.Limit{Window: 10 * time.Second})
	for _, s := range w.servers[:8] {
		s.Close()
	}
	status, _, body, whole := w.call(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(whole)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// Guards against streams that end after two broken runs, and against runs at more
// engines than the route allows.
func TestStreamGoesOnAfterSeveralBreaks(t *testing.T) {
	is := is.New(t)
	ports := make(map[string]bool)
	w := newWorld(t, 4, func(n int, rw http.ResponseWriter, r *http.Request) {
		ports[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()] = true
		events(rw, n, n)
		if n < 4 {
			abort()
		}
	})
	_, _, body, whole := w.call(t, "/stream/", "k1")
	is.True(whole)
	is.Equal(strings.Count(body, "data:"), 4)
	is.Equal(len(ports), 2)
}

// TestBrokenStreamAwaitsRetry guards against a stream that is cut off although the
// retry budget allows another run a moment later.
func TestBrokenStreamAwaitsRetry(t *testing.T) {
	is := is.New(t)
	w := newWorldWith(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			ok(rw, "id: 1\ndata: 1\n\n")
			_ = http.NewResponseController(rw).Flush()
			abort()
		}
		ok(rw, "id: 2\ndata: 2\n\n")
	}, budget.Limit{Extra: 1e6, Window: 10 * time.Second})
	w.tell(budget.Count{Retries: 1e9})
	go func() {
		for len(w.logs.FilterMessage("A stream broke.").All()) == 0 {
			time.Sleep(time.Millisecond)
		}
		w.tell(budget.Count{})
	}()
	status, _, body, complete := w.call(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(len(w.headers()), 2)
}

// TestSilentStreamIsNotCutOff guards against a stream that is cut off because its
// engine is silent for a while, though the retry budget allows no other run.
func TestSilentStreamIsNotCutOff(t *testing.T) {
	is := is.New(t)
	var w *world
	w = newWorldWith(t, 2, func(_ int, rw http.ResponseWriter, r *http.Request) {
		ok(rw, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(rw).Flush()
		for w.asked.Load() < 5 && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(rw, "id: 2\ndata: 2\n\n")
	}, budget.Limit{Window: 10 * time.Second})
	status, _, body, complete := w.call(t, "/brisk/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(len(w.headers()), 1)
}

// Guards against a broken stream that looks complete.
func TestBrokenStreamIsCutOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		events(rw, 1, 2)
		abort()
	})
	status, _, body, whole := w.call(t, "/single/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.True(!whole)
	is.Equal(len(w.headers()), 1)
}

// Guards against requests without a known key that reach an upstream.
func TestKeys(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
	status, _, _, _ := w.call(t, "/once/", "k9")
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(len(w.headers()), 0)
}

// Guards against keys that are accepted, or called unknown, while no majority has
// confirmed the configuration.
func TestNoKeysWithoutConfirmation(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, nil)
	status, header, _, _ := w.call(t, "/once/", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
}

// Guards against streams that keep engines busy after their client has left.
func TestClientThatLeavesEndsTheStream(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
		events(rw, 1, 1)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.gateway.URL+"/stream/", nil)
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
	<-left
}

// Guards against heads beyond the operator's limit, and against a limit that proper
// ones meet.
func TestHeadIsTooLarge(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
	r := sample()
	r.Version, r.Limits.HeaderBytes = 2, 400
	w.put(t, r)
	status, _, _, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusOK)
	status, _, body, _ := w.call(t, "/once/"+strings.Repeat("x", 400), "k1")
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(body, `{"error":"headTooLarge"}`)
	is.Equal(len(w.headers()), 1)
}

// put puts a release in force.
func (w *world) put(t *testing.T, r *release.Release) {
	is := is.New(t)
	w.decoded.Store(r)
	command, err := store.Command(r.Version, nil)
	is.NoErr(err)
	log := store.New()
	log.Apply(1, command)
	held, _ := log.Current()
	w.receive(feed.Update{Held: held, Confirmed: w.clock.Boot(), ConfirmedVersion: r.Version})
}
