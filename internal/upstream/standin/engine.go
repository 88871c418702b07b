package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// protocolError is an answer other than 200 of the engine protocol.
type protocolError struct {
	status  int
	code    string
	message string
}

func (e *protocolError) Error() string { return e.code + ": " + e.message }

func refuse(status int, code, format string, args ...any) *protocolError {
	return &protocolError{status, code, fmt.Sprintf(format, args...)}
}

// engine runs steps in batches.
type engine struct {
	standin *Standin
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}

	mu       sync.Mutex
	sessions map[fleet.RequestID]*session
	queue    []*job
	running  int
	arrivals uint64
	seeds    map[seedKey]uint64
}

type seedKey struct {
	model            fleet.ModelID
	version, adapter string
	layer            fleet.Layer
}

// session is the KV cache of one request.
type session struct {
	epoch fleet.Epoch
	// states holds, for each layer, the state after each position.
	states map[fleet.Layer][]uint64
	// last holds the newest result for each layer range of the current epoch.
	last map[upstream.LayerRange]upstream.StepResult
	used time.Time
}

// job is a step that waits for a batch.
type job struct {
	ctx     context.Context
	step    upstream.Step
	arrival uint64
	result  upstream.StepResult
	err     error
	ready   chan struct{}
}

func newEngine(s *Standin) *engine {
	e := &engine{
		standin:  s,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
		sessions: make(map[fleet.RequestID]*session),
		seeds:    make(map[seedKey]uint64),
	}
	go func() {
		defer close(e.ended)
		for {
			select {
			case <-e.done:
				return
			case <-e.wake:
				for e.runBatch() {
				}
			}
		}
	}()
	return e
}

func (e *engine) close() {
	close(e.done)
	<-e.ended
}

// step queues s and waits until a batch has run it.
func (e *engine) step(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	j := &job{ctx: ctx, step: s, ready: make(chan struct{})}
	e.mu.Lock()
	e.arrivals++
	j.arrival = e.arrivals
	e.queue = append(e.queue, j)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.ready:
		return j.result, j.err
	case <-ctx.Done():
		return upstream.StepResult{}, ctx.Err()
	case <-e.done:
		return upstream.StepResult{}, refuse(http.StatusServiceUnavailable, "stopping", "engine ended")
	}
}

// runBatch runs the waiting steps of the highest priority, up to the batch
// limit. It returns whether there was any.
func (e *engine) runBatch() bool {
	batch := e.take()
	if len(batch) == 0 {
		return false
	}
	if !e.pause(e.batchTime(batch)) {
		return false
	}
	for _, j := range batch {
		j.result, j.err = e.execute(j)
		close(j.ready)
	}
	e.mu.Lock()
	e.running = 0
	e.mu.Unlock()
	return true
}

func (e *engine) take() []*job {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.queue, func(i, k int) bool {
		a, b := e.queue[i], e.queue[k]
		if a.step.Priority != b.step.Priority {
			return a.step.Priority > b.step.Priority
		}
		return a.arrival < b.arrival
	})
	n := min(len(e.queue), e.standin.config.Announcement.Slots)
	batch := append([]*job(nil), e.queue[:n]...)
	e.queue = append(e.queue[:0], e.queue[n:]...)
	e.running = n
	return batch
}

func (e *engine) batchTime(batch []*job) time.Duration {
	config := e.standin.config
	total := config.StepTime
	for _, j := range batch {
		total += time.Duration(len(j.step.Input)-1) * config.PositionTime
	}
	return total
}

// pause waits for d and returns false when the engine ends meanwhile.
func (e *engine) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-e.standin.clock.After(d):
		return true
	case <-e.done:
		return false
	}
}

func (e *engine) execute(j *job) (upstream.StepResult, error) {
	if j.ctx.Err() != nil {
		return upstream.StepResult{}, j.ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := j.step
	if err := e.check(s); err != nil {
		return upstream.StepResult{}, err
	}
	n := e.session(s.Request)
	n.used = e.standin.clock.Now()
	if s.Epoch < n.epoch {
		return upstream.StepResult{}, refuse(http.StatusConflict, "staleEpoch", "epoch %d is older than %d", s.Epoch, n.epoch)
	}
	if s.Epoch > n.epoch {
		n.epoch = s.Epoch
		n.last = make(map[upstream.LayerRange]upstream.StepResult)
	} else if last, ok := n.last[s.Layers]; ok && last.Position == s.Position {
		return last, nil
	}
	if err := n.seek(s); err != nil {
		return upstream.StepResult{}, err
	}
	result := e.run(n, s)
	n.last[s.Layers] = result
	e.standin.config.Recorder.add(Run{
		What: "step", Upstream: e.standin.config.Announcement.ID, Request: s.Request,
		Epoch: s.Epoch, Position: s.Position, Count: len(s.Input), Layers: s.Layers,
	})
	return result, nil
}

// check refuses a step that does not fit what the engine holds.
func (e *engine) check(s upstream.Step) error {
	a := e.standin.current()
	if len(s.Input) == 0 || s.Position < 0 || s.Epoch == 0 {
		return refuse(http.StatusBadRequest, "badRequest", "step without input, position or epoch")
	}
	if s.Model != a.Model || s.Version != a.Version || s.Adapter != a.Adapter {
		return refuse(http.StatusConflict, "wrongModel", "engine holds %s/%s/%s", a.Model, a.Version, a.Adapter)
	}
	if !contains(a.Layers, s.Layers) {
		return refuse(http.StatusConflict, "wrongLayers", "engine holds layers %d:%d", a.Layers.From, a.Layers.To)
	}
	return nil
}

func (e *engine) session(r fleet.RequestID) *session {
	n, ok := e.sessions[r]
	if !ok {
		n = &session{
			states: make(map[fleet.Layer][]uint64),
			last:   make(map[upstream.LayerRange]upstream.StepResult),
		}
		e.sessions[r] = n
	}
	return n
}

// seek prepares the cache for a step: the first step of a layer range in an
// epoch may start anywhere within the cache, which drops what follows. Further
// steps have to continue at its end.
func (n *session) seek(s upstream.Step) error {
	_, begun := n.last[s.Layers]
	for l := s.Layers.From; l < s.Layers.To; l++ {
		have := fleet.Position(len(n.states[l]))
		if s.Position > have || (begun && s.Position != have) {
			return refuse(http.StatusConflict, "wrongPosition", "cache of layer %d ends at position %d, step starts at %d", l, have, s.Position)
		}
	}
	for l := s.Layers.From; l < s.Layers.To; l++ {
		n.states[l] = n.states[l][:s.Position]
	}
	return nil
}

func (e *engine) run(n *session, s upstream.Step) upstream.StepResult {
	result := upstream.StepResult{Request: s.Request, Epoch: s.Epoch, Position: s.Position}
	result.Output = make([]uint64, len(s.Input))
	for i, value := range s.Input {
		for l := s.Layers.From; l < s.Layers.To; l++ {
			states := n.states[l]
			var state uint64
			if len(states) > 0 {
				state = states[len(states)-1]
			}
			value = mix(e.seed(s, l), state, value)
			n.states[l] = append(states, value)
		}
		result.Output[i] = value
	}
	if s.Layers.To == e.standin.config.TotalLayers {
		last := result.Output[len(result.Output)-1]
		result.Token = tokenText(last)
		result.End = isEnd(last)
	}
	return result
}

func (e *engine) seed(s upstream.Step, l fleet.Layer) uint64 {
	k := seedKey{s.Model, s.Version, s.Adapter, l}
	seed, ok := e.seeds[k]
	if !ok {
		seed = layerSeed(s.Model, s.Version, s.Adapter, l)
		e.seeds[k] = seed
	}
	return seed
}

func (e *engine) cancel(r fleet.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, r)
}

func (e *engine) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions) + len(e.queue) + e.running
}

func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.queue)
}
