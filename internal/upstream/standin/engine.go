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
	swept    time.Time
	queue    []*job
	running  int
	arrivals uint64
	seeds    map[seedKey]uint64
	commands commands

	prefix *prefixCache
}

type seedKey struct {
	model            fleet.ModelID
	version, adapter string
	layer            fleet.Layer
}

// session is the KV cache of one request.
type session struct {
	epoch fleet.Epoch
	// ended tells that epoch was cancelled. A newer epoch opens the session again.
	ended bool
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
	cached  int // positions that came out of the prefix cache
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
		prefix:   newPrefixCache(s.config),
		commands: commands{
			known: make(map[string]upstream.Command),
			local: make(map[role]bool),
		},
	}
	a := s.config.Announcement
	e.commands.local[role{a.Model, a.Version, a.Adapter, a.Layers}] = true
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
	if !e.pause(e.batchTime(batch)) || !e.standin.faults.wait() {
		return false
	}
	for _, j := range batch {
		j.result, j.err = e.execute(j)
	}
	e.mu.Lock()
	e.running = 0
	e.sweep()
	e.mu.Unlock()
	// The answers come last, since they tell callers that the steps do not run any more.
	for _, j := range batch {
		close(j.ready)
	}
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
		if j.step.Position == 0 {
			j.cached = e.prefix.touch(j.step.Input)
		}
		fresh := max(len(j.step.Input)-1-j.cached, 0)
		total += time.Duration(fresh) * config.PositionTime
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
	n, err := e.session(s.Request, s.Epoch)
	if err != nil {
		return upstream.StepResult{}, err
	}
	n.used = e.standin.clock.Now()
	n.open(s.Epoch)
	last, begun := n.last[s.Layers]
	if begun && last.Position == s.Position && len(last.Output) == len(s.Input) {
		return last, nil
	}
	if err := n.seek(s, begun); err != nil {
		if len(n.states) == 0 {
			delete(e.sessions, s.Request)
		}
		return upstream.StepResult{}, err
	}
	result := e.run(n, s)
	n.last[s.Layers] = result
	e.standin.config.Recorder.add(Run{
		What: "step", Upstream: e.standin.config.Announcement.ID, Request: s.Request,
		Epoch: s.Epoch, Position: s.Position, Count: len(s.Input), Cached: j.cached, Layers: s.Layers,
	})
	return result, nil
}

// check refuses a step that does not fit what the engine holds.
func (e *engine) check(s upstream.Step) error {
	e.settle()
	a := e.standin.Describe()
	if len(s.Input) == 0 || s.Position < 0 || s.Epoch == 0 {
		return refuse(http.StatusBadRequest, "badRequest", "step without input, position or epoch")
	}
	if s.Model != a.Model || s.Version != a.Version || s.Adapter != a.Adapter {
		return refuse(http.StatusConflict, "wrongModel", "engine holds %s/%s/%s", a.Model, a.Version, a.Adapter)
	}
	limit := e.standin.config.KVTokens
	if limit > 0 && e.kvTokens()+len(s.Input) > limit {
		return refuse(http.StatusServiceUnavailable, "overloaded", "KV-cache memory of %d positions is full", limit)
	}
	if !contains(a.Layers, s.Layers) {
		return refuse(http.StatusConflict, "wrongLayers", "engine holds layers %d:%d", a.Layers.From, a.Layers.To)
	}
	return nil
}

// session returns the session of r for an epoch, or a new one.
func (e *engine) session(r fleet.RequestID, epoch fleet.Epoch) (*session, error) {
	n, ok := e.sessions[r]
	if !ok {
		if e.standin.refusesNew() {
			e.standin.config.Recorder.late(e.standin.config.Announcement.ID)
			return nil, refuse(http.StatusServiceUnavailable, "stopping", "engine is leaving")
		}
		n = &session{states: make(map[fleet.Layer][]uint64)}
		e.sessions[r] = n
	}
	if epoch < n.epoch {
		return nil, refuse(http.StatusConflict, "staleEpoch", "epoch %d is older than %d", epoch, n.epoch)
	}
	if n.ended && epoch == n.epoch {
		return nil, refuse(http.StatusConflict, "cancelled", "epoch %d was cancelled", epoch)
	}
	return n, nil
}

// open moves the session to an epoch.
func (n *session) open(epoch fleet.Epoch) {
	if epoch == n.epoch {
		return
	}
	n.epoch = epoch
	n.ended = false
	n.last = make(map[upstream.LayerRange]upstream.StepResult)
}

// seek prepares the cache for a step: the first step of a layer range in an
// epoch may start anywhere within the cache, which drops what follows. Further
// steps have to continue at its end.
func (n *session) seek(s upstream.Step, begun bool) error {
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

// cancel ends the current epoch of r unless it is newer than the given one. Its
// cache stays when keep is set, so that a newer epoch can go on with it.
func (e *engine) cancel(r fleet.RequestID, epoch fleet.Epoch, keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.sessions[r]
	if !ok || n.epoch > epoch {
		return
	}
	n.ended = true
	n.used = e.standin.clock.Now()
	if !keep {
		clear(n.states)
	}
}

// sweep drops the sessions that were not used for the session timeout.
func (e *engine) sweep() {
	now, timeout := e.standin.clock.Now(), e.standin.config.SessionTimeout
	if now.Sub(e.swept) < timeout/4 {
		return
	}
	e.swept = now
	for r, n := range e.sessions {
		if now.Sub(n.used) >= timeout {
			delete(e.sessions, r)
		}
	}
}

// busy counts the requests in progress.
func (e *engine) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep()
	count := len(e.queue) + e.running
	for _, n := range e.sessions {
		if !n.ended {
			count++
		}
	}
	return count
}

func (e *engine) load() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return upstream.Load{
		At: e.standin.clock.Now(), Running: e.running, Waiting: len(e.queue),
		FreeKVTokens: max(e.standin.config.KVTokens-e.kvTokens(), 0),
	}
}

// kvTokens counts the positions in KV-cache memory.
func (e *engine) kvTokens() int {
	total := 0
	for _, n := range e.sessions {
		total += n.positions()
	}
	return total
}

// positions returns the number of positions of the longest layer.
func (n *session) positions() int {
	longest := 0
	for _, states := range n.states {
		longest = max(longest, len(states))
	}
	return longest
}
