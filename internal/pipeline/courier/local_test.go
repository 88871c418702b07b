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

const kvEntryBytes = 1000

// clock is a fake clock that records when its newest timer expires. The simulated
// engines advance it by the time that a call takes.
type clock struct {
	*fakeclock.Clock
	mu          sync.Mutex
	newestTimer time.Time
}

func (c *clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestTimer = c.Now().Add(d)
	return c.Clock.After(d)
}

// newestDeadline returns the time when the newest timer expires.
func (c *clock) newestDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestTimer
}

// simulation is a fleet of simulated engines in this process, which are called
// without sockets and run on a fake clock. It implements upstream.Dialer,
// upstream.Roster, pipeline.SpeedEstimator and report.Trail.
type simulation struct {
	clock  *clock
	layers int
	// version is the model version that generates the expected text.
	version string
	// rateOverestimate is the ratio of estimated to true throughput of the links.
	rateOverestimate float64
	counts           inflight.Counts

	mu      sync.Mutex
	engines map[fleet.UpstreamID]*simEngine
	record  bytes.Buffer
	entries []report.Entry
	// frozenSteps are the steps that frozen engines received. They run when the engines
	// resume.
	frozenSteps []func()
	// events are the steps that completed or failed.
	events []event
}

type event struct {
	id                 fleet.UpstreamID
	epoch              fleet.Epoch
	endPosition        fleet.Position // position after the last position of the step
	startedAt, endedAt time.Time
	failed             bool
}

// simEngine is a simulated engine with its true speed and its faults.
type simEngine struct {
	simulation *simulation
	standin    *standin.Standin
	upstream.Upstream
	speed  pipeline.Speed
	absent bool
	// faults maps a position to the fault of the step that ends with it.
	faults map[fleet.Position]string
	dead   bool
	// overloaded tells that the engine refuses every step.
	overloaded bool
	lastResult upstream.StepResult
}

func newSimulation(layers int) *simulation {
	return &simulation{
		clock:  &clock{Clock: fakeclock.New(fakeclock.Start)},
		layers: layers, version: "1", rateOverestimate: 1, engines: make(map[fleet.UpstreamID]*simEngine),
	}
}

func (w *simulation) add(id string, from, to int, speed pipeline.Speed) *simEngine {
	a := upstream.Announcement{
		ID: fleet.UpstreamID(id), Kind: upstream.Engine, Model: "m", Version: "1", Slots: 8,
		Layers: upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)},
	}
	e := &simEngine{simulation: w, Upstream: upstream.Upstream{Announcement: a}, speed: speed, faults: make(map[fleet.Position]string)}
	e.start()
	w.engines[a.ID] = e
	return e
}

// start starts the engine or restarts it with empty memory.
func (e *simEngine) start() {
	e.close()
	e.standin = standin.New(standin.Config{
		Announcement: e.Announcement, TotalLayers: fleet.Layer(e.simulation.layers),
		Clock: e.simulation.clock.Clock, Recorder: standin.NewRecorder(&e.simulation.record),
	})
}

func (e *simEngine) close() {
	if e.standin != nil {
		e.standin.Close()
	}
}

func (w *simulation) close() {
	for _, e := range w.engines {
		e.close()
	}
}

func (w *simulation) newExecutor(options ...courier.Option) *courier.Executor {
	models := func(fleet.ModelID) (document.Model, bool) {
		return document.Model{ID: "m", Version: "1", Layers: fleet.Layer(w.layers)}, true
	}
	firstEngine := func(int) int { return 0 }
	p := planner.New(w, models, w, w.clock, planner.WithCounts(&w.counts), planner.WithRandIntN(firstEngine), planner.WithRefreshInterval(0))
	return courier.New(p, w, append([]courier.Option{
		courier.WithClock(w.clock), courier.WithSpeeds(w), courier.WithRoster(w), courier.WithTrail(w),
		courier.WithSequenceCounter(&w.counts), courier.WithTimeouts(time.Millisecond, time.Hour), courier.WithKVEntryBytes(kvEntryBytes), courier.WithOverloadBackoff(0),
	}, options...)...)
}

func (w *simulation) Usable(fleet.PoolID, time.Time) []upstream.Upstream {
	var list []upstream.Upstream
	for _, e := range w.engines {
		if !e.absent && e.State == upstream.Serving {
			list = append(list, e.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b upstream.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func (w *simulation) Get(id fleet.UpstreamID) (upstream.Upstream, bool) {
	e, ok := w.engines[id]
	return e.Upstream, ok
}

func (w *simulation) Speed(u upstream.Upstream) pipeline.Speed {
	s := w.engines[u.ID].speed
	s.BytesPerSecond *= w.rateOverestimate
	return s
}

func (w *simulation) Open(string, fleet.AccountID, fleet.TeamID) {}

func (w *simulation) Add(_ string, e report.Entry) { w.entries = append(w.entries, e) }

func (w *simulation) Find(string) (report.Record, bool) { return report.Record{}, false }

func (w *simulation) Engine(u upstream.Upstream) upstream.EngineClient { return w.engines[u.ID] }

func (w *simulation) Service(upstream.Upstream) upstream.ServiceClient { return nil }

func (w *simulation) logEvent(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// Step runs a step with the fault of its last position, if there is one.
func (e *simEngine) Step(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	w := e.simulation
	stepEvent := event{id: e.ID, epoch: s.Epoch, endPosition: s.Position + fleet.Position(len(s.Input)), startedAt: w.clock.Now()}
	fault := e.faults[stepEvent.endPosition-1]
	if e.overloaded {
		fault = "refuse"
	}
	delete(e.faults, stepEvent.endPosition-1)
	if fault == "freeze" {
		// The event has to be recorded before the Executor continues.
		stepEvent.endedAt, stepEvent.failed = w.clock.newestDeadline(), true
		w.logEvent(stepEvent)
		return e.freeze(ctx, s)
	}
	result, err := e.stepWithFault(ctx, s, fault)
	stepEvent.endedAt, stepEvent.failed = w.clock.Now(), err != nil
	w.logEvent(stepEvent)
	return result, err
}

// freeze advances the clock until the timeout of the Executor expires. The step runs
// later.
func (e *simEngine) freeze(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	w := e.simulation
	w.frozenSteps = append(w.frozenSteps, func() { _, _ = e.run(context.Background(), s) })
	w.clock.Advance(w.clock.newestDeadline().Sub(w.clock.Now()))
	<-ctx.Done()
	return upstream.StepResult{}, refusal.WithCause(refusal.UpstreamFailed, ctx.Err(), "frozen")
}

func (e *simEngine) stepWithFault(ctx context.Context, s upstream.Step, fault string) (upstream.StepResult, error) {
	switch fault {
	case "die":
		e.dead, e.absent = true, true
	case "crash":
		e.dead, e.absent = true, true
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed, "connection closed")
	case "thaw":
		// The frozen engines resume and run the steps that they received.
		for _, f := range e.simulation.frozenSteps {
			f()
		}
	case "lose":
		_, _ = e.run(ctx, s)
		return upstream.StepResult{}, refusal.New(refusal.UpstreamFailed, "connection closed")
	case "stale":
		// The step runs, but the previous response is returned again.
		last := e.lastResult
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

func (e *simEngine) run(_ context.Context, s upstream.Step) (upstream.StepResult, error) {
	var result upstream.StepResult
	err := e.post(http.MethodPost, "/v1/steps", s, &result)
	elapsed := e.speed.FixedTime + time.Duration(s.Layers.Len())*(e.speed.LayerTime+time.Duration(len(s.Input)-1)*e.speed.PositionTime)
	e.simulation.clock.Advance(elapsed)
	e.lastResult = result
	return result, err
}

// post calls the HTTP handler of the engine.
func (e *simEngine) post(method, path string, in, out any) error {
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

func (e *simEngine) Cancel(_ context.Context, r fleet.RequestID) error {
	return e.post(http.MethodPost, "/v1/requests/"+string(r)+"/cancel", nil, new(struct{}))
}

func (e *simEngine) CancelEpoch(_ context.Context, r fleet.RequestID, epoch fleet.Epoch) error {
	return e.post(http.MethodPost, fmt.Sprintf("/v1/requests/%s/cancel?epoch=%d", r, epoch), nil, new(struct{}))
}

func (e *simEngine) Export(_ context.Context, r fleet.RequestID) (upstream.KVCache, error) {
	var kv upstream.KVCache
	err := e.post(http.MethodGet, "/v1/requests/"+string(r)+"/kv", nil, &kv)
	e.advanceTransfer(kv)
	return kv, err
}

func (e *simEngine) Import(_ context.Context, epoch fleet.Epoch, kv upstream.KVCache) error {
	e.advanceTransfer(kv)
	return e.post(http.MethodPut, fmt.Sprintf("/v1/requests/%s/kv?epoch=%d", kv.Request, epoch), kv, new(struct{}))
}

// advanceTransfer advances the clock by the time of the transfer of kv.
func (e *simEngine) advanceTransfer(kv upstream.KVCache) {
	size := float64(kv.Layers.Len() * int(kv.Positions) * kvEntryBytes)
	if e.speed.BytesPerSecond > 0 {
		e.simulation.clock.Advance(e.speed.FixedTime + time.Duration(size/e.speed.BytesPerSecond*float64(time.Second)))
	}
}

func (e *simEngine) Command(context.Context, upstream.Command) error { return nil }

func (e *simEngine) Describe(context.Context) (upstream.Announcement, error) {
	return e.Announcement, nil
}
