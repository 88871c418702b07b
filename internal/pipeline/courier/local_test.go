package courier_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/courier"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/inflight"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/planner"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

const kvBytes = 1000

// clock is a fake clock that knows when the newest timer ends. The fake engines
// move it by the time that a call takes.
type clock struct {
	*fakeclock.Clock
	mu   sync.Mutex
	last time.Time
}

func (c *clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.Now().Add(d)
	return c.Clock.After(d)
}

// deadline returns the end of the newest timer.
func (c *clock) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// world is a fleet of stand-ins in process, reached without sockets, under a
// fake clock. It implements Dialer, Roster, Speeds and Trail.
type world struct {
	clock  *clock
	layers int
	// version is that of the expected text.
	version string
	// rateError is the factor by which the rates of links are overestimated.
	rateError float64
	counts    inflight.Counts

	mu      sync.Mutex
	engines map[fleet.UpstreamID]*local
	record  bytes.Buffer
	entries []report.Entry
	// late holds steps that frozen engines got and run when they go on.
	late []func()
	// events are the steps that were answered or failed.
	events []event
}

type event struct {
	id         fleet.UpstreamID
	epoch      fleet.Epoch
	end        fleet.Position // position after the last one of the step
	began, now time.Time
	failed     bool
}

// local is one stand-in with its true speed and its faults.
type local struct {
	world   *world
	standin *standin.Standin
	upstream.Upstream
	speed  pipeline.Speed
	absent bool
	// faults maps a position to the fault of the step that covers it.
	faults map[fleet.Position]string
	dead   bool
	// overloaded engines refuse every step.
	overloaded bool
	last       upstream.StepResult
}

func newWorld(layers int) *world {
	return &world{
		clock:  &clock{Clock: fakeclock.New(fakeclock.Start)},
		layers: layers, version: "1", rateError: 1, engines: make(map[fleet.UpstreamID]*local),
	}
}

func (w *world) add(id string, from, to int, speed pipeline.Speed) *local {
	a := upstream.Announcement{
		ID: fleet.UpstreamID(id), Kind: upstream.Engine, Model: "m", Version: "1", Slots: 8,
		Layers: upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)},
	}
	e := &local{world: w, Upstream: upstream.Upstream{Announcement: a}, speed: speed, faults: make(map[fleet.Position]string)}
	e.start()
	w.engines[a.ID] = e
	return e
}

// start starts the stand-in, or starts it again with an empty memory.
func (e *local) start() {
	e.close()
	e.standin = standin.New(standin.Config{
		Announcement: e.Announcement, TotalLayers: fleet.Layer(e.world.layers),
		Clock: e.world.clock.Clock, Recorder: standin.NewRecorder(&e.world.record),
	})
}

func (e *local) close() {
	if e.standin != nil {
		e.standin.Close()
	}
}

func (w *world) close() {
	for _, e := range w.engines {
		e.close()
	}
}

func (w *world) courier(options ...courier.Option) *courier.Courier {
	models := func(fleet.ModelID) (document.Model, bool) {
		return document.Model{ID: "m", Version: "1", Layers: fleet.Layer(w.layers)}, true
	}
	first := func(int) int { return 0 }
	p := planner.New(w, models, w, w.clock, planner.WithCounts(&w.counts), planner.WithDraw(first), planner.WithRefresh(0))
	return courier.New(p, w, append([]courier.Option{
		courier.WithClock(w.clock), courier.WithSpeeds(w), courier.WithRoster(w), courier.WithTrail(w),
		courier.WithGauge(&w.counts), courier.WithTimeouts(time.Millisecond, time.Hour), courier.WithKVBytes(kvBytes), courier.WithOverloadPause(0),
	}, options...)...)
}

func (w *world) Usable(fleet.PoolID, time.Time) []upstream.Upstream {
	var list []upstream.Upstream
	for _, e := range w.engines {
		if !e.absent && e.State == upstream.Serving {
			list = append(list, e.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b upstream.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func (w *world) Get(id fleet.UpstreamID) (upstream.Upstream, bool) {
	e, ok := w.engines[id]
	return e.Upstream, ok
}

func (w *world) Speed(u upstream.Upstream) pipeline.Speed {
	s := w.engines[u.ID].speed
	s.BytesPerSecond *= w.rateError
	return s
}

func (w *world) Open(string, fleet.AccountID, fleet.TeamID) {}

func (w *world) Add(_ string, e report.Entry) { w.entries = append(w.entries, e) }

func (w *world) Find(string) (report.Record, bool) { return report.Record{}, false }

func (w *world) Engine(u upstream.Upstream) upstream.EngineClient { return w.engines[u.ID] }

func (w *world) Service(upstream.Upstream) upstream.ServiceClient { return nil }

func (w *world) log(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// Step runs a step with the fault of its positions, if there is one.
func (e *local) Step(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	w := e.world
	ev := event{id: e.ID, epoch: s.Epoch, end: s.Position + fleet.Position(len(s.Input)), began: w.clock.Now()}
	fault := e.faults[ev.end-1]
	if e.overloaded {
		fault = "refuse"
	}
	delete(e.faults, ev.end-1)
	if fault == "freeze" {
		// The event is there before the courier goes on.
		ev.now, ev.failed = w.clock.deadline(), true
		w.log(ev)
		return e.freeze(ctx, s)
	}
	result, err := e.faulty(ctx, s, fault)
	ev.now, ev.failed = w.clock.Now(), err != nil
	w.log(ev)
	return result, err
}

// freeze lets the timeout of the courier expire. The step runs later.
func (e *local) freeze(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	w := e.world
	w.late = append(w.late, func() { _, _ = e.run(context.Background(), s) })
	w.clock.Advance(w.clock.deadline().Sub(w.clock.Now()))
	<-ctx.Done()
	return upstream.StepResult{}, refusal.Because(refusal.UpstreamFailed, ctx.Err(), "frozen")
}

func (e *local) faulty(ctx context.Context, s upstream.Step, fault string) (upstream.StepResult, error) {
	switch fault {
	case "die":
		e.dead, e.absent = true, true
	case "thaw":
		// An engine that was frozen goes on and runs what it got.
		for _, f := range e.world.late {
			f()
		}
	case "lose":
		_, _ = e.run(ctx, s)
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed, "connection closed")
	case "stale":
		// The step runs, and the answer before comes once more.
		last := e.last
		_, err := e.run(ctx, s)
		return last, err
	case "refuse":
		return upstream.StepResult{}, refusal.New(refusal.Overloaded, "refused")
	case "stop":
		e.State = upstream.Leaving
		return upstream.StepResult{}, refusal.New(refusal.Stopping, "engine is leaving")
	case "leave":
		e.State = upstream.Leaving
	case "restart":
		e.start()
	}
	return e.run(ctx, s)
}

func (e *local) run(_ context.Context, s upstream.Step) (upstream.StepResult, error) {
	var result upstream.StepResult
	err := e.post(http.MethodPost, "/v1/steps", s, &result)
	elapsed := e.speed.Fixed + time.Duration(s.Layers.Len())*(e.speed.Layer+time.Duration(len(s.Input)-1)*e.speed.Position)
	e.world.clock.Advance(elapsed)
	e.last = result
	return result, err
}

// post calls the handler of the stand-in.
func (e *local) post(method, path string, in, out any) error {
	if e.dead {
		return refusal.New(refusal.NoUpstream, "connection refused")
	}
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	w := httptest.NewRecorder()
	e.standin.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	switch w.Code {
	case http.StatusOK:
		return json.Unmarshal(w.Body.Bytes(), out)
	case http.StatusConflict:
		return refusal.New(refusal.Conflict, "%s", w.Body)
	case http.StatusServiceUnavailable:
		return refusal.New(refusal.Stopping, "%s", w.Body)
	default:
		return refusal.New(refusal.UpstreamFailed, "%d %s", w.Code, w.Body)
	}
}

func (e *local) Cancel(_ context.Context, r fleet.RequestID) error {
	return e.post(http.MethodPost, "/v1/requests/"+string(r)+"/cancel", nil, new(struct{}))
}

func (e *local) CancelEpoch(_ context.Context, r fleet.RequestID, epoch fleet.Epoch) error {
	return e.post(http.MethodPost, fmt.Sprintf("/v1/requests/%s/cancel?epoch=%d", r, epoch), nil, new(struct{}))
}

func (e *local) Export(_ context.Context, r fleet.RequestID) (upstream.KVCache, error) {
	var kv upstream.KVCache
	err := e.post(http.MethodGet, "/v1/requests/"+string(r)+"/kv", nil, &kv)
	e.move(kv)
	return kv, err
}

func (e *local) Import(_ context.Context, epoch fleet.Epoch, kv upstream.KVCache) error {
	e.move(kv)
	return e.post(http.MethodPut, fmt.Sprintf("/v1/requests/%s/kv?epoch=%d", kv.Request, epoch), kv, new(struct{}))
}

// move takes the time of the transfer of kv.
func (e *local) move(kv upstream.KVCache) {
	size := float64(kv.Layers.Len() * int(kv.Positions) * kvBytes)
	if e.speed.BytesPerSecond > 0 {
		e.world.clock.Advance(e.speed.Fixed + time.Duration(size/e.speed.BytesPerSecond*float64(time.Second)))
	}
}

func (e *local) Command(context.Context, upstream.Command) error { return nil }

func (e *local) Describe(context.Context) (upstream.Announcement, error) { return e.Announcement, nil }
