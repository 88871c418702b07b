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

// protocolError is an error response of the engine protocol.
type protocolError struct {
	status  int
	code    string
	message string
}

func (e *protocolError) Error() string { return e.code + ": " + e.message }

func protocolErrorf(status int, code, format string, args ...any) *protocolError {
	return &protocolError{status, code, fmt.Sprintf(format, args...)}
}

// engine executes steps in batches.
type engine struct {
	standin *Standin
	wake    chan struct{} // signals that a step was queued
	done    chan struct{} // closed by close
	stopped chan struct{} // closed when the batch goroutine has returned

	mu          sync.Mutex
	sessions    map[fleet.RequestID]*session
	lastSweep   time.Time
	queue       []*job
	running     int
	lastArrival uint64
	seeds       map[seedKey]uint64
	commands    commandState

	prefixCache *prefixCache
}

type seedKey struct {
	model            fleet.ModelID
	version, adapter string
	layer            fleet.Layer
}

// session is the KV cache of one request and the epoch that uses it.
type session struct {
	epoch fleet.Epoch
	// cancelled tells that epoch was cancelled. A newer epoch reopens the session.
	cancelled bool
	// states holds the state after each position, by layer.
	states map[fleet.Layer][]uint64
	// lastResults holds the latest result of the current epoch, by layer range.
	lastResults map[upstream.LayerRange]upstream.StepResult
	lastUsed    time.Time
}

// job is a step that is queued for a batch.
type job struct {
	ctx             context.Context
	step            upstream.Step
	arrival         uint64
	cachedPositions int // positions found in the prefix cache
	result          upstream.StepResult
	err             error
	ready           chan struct{}
}

func newEngine(s *Standin) *engine {
	e := &engine{
		standin:     s,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		stopped:     make(chan struct{}),
		sessions:    make(map[fleet.RequestID]*session),
		seeds:       make(map[seedKey]uint64),
		prefixCache: newPrefixCache(s.config),
		commands: commandState{
			accepted: make(map[string]upstream.Command),
			loaded:   make(map[role]bool),
		},
	}
	a := s.config.Announcement
	e.commands.loaded[role{a.Model, a.Version, a.Adapter, a.Layers}] = true
	go func() {
		defer close(e.stopped)
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
	<-e.stopped
}

// step queues s and waits until a batch has executed it.
func (e *engine) step(ctx context.Context, s upstream.Step) (upstream.StepResult, error) {
	j := &job{ctx: ctx, step: s, ready: make(chan struct{})}
	e.mu.Lock()
	e.lastArrival++
	j.arrival = e.lastArrival
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
		return upstream.StepResult{}, protocolErrorf(http.StatusServiceUnavailable, "stopping", "engine ended")
	}
}

// runBatch executes the queued steps of the highest priority, up to the batch
// limit. It returns false if the queue was empty or the engine was closed.
func (e *engine) runBatch() bool {
	batch := e.nextBatch()
	if len(batch) == 0 {
		return false
	}
	if !e.sleep(e.batchTime(batch)) || !e.standin.faults.waitUntilResumed() {
		return false
	}
	for _, j := range batch {
		j.result, j.err = e.execute(j)
	}
	e.mu.Lock()
	e.running = 0
	e.sweep()
	e.mu.Unlock()
	// Callers are notified last: a response implies that the step is no longer
	// counted as running.
	for _, j := range batch {
		close(j.ready)
	}
	return true
}

// nextBatch removes the next batch from the queue: by priority, then in the order
// of arrival.
func (e *engine) nextBatch() []*job {
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

// batchTime returns the execution time of batch. Positions found in the prefix
// cache add nothing to it.
func (e *engine) batchTime(batch []*job) time.Duration {
	config := e.standin.config
	total := config.StepTime
	for _, j := range batch {
		if j.step.Position == 0 {
			j.cachedPositions = e.prefixCache.insert(j.step.Input)
		}
		uncached := max(len(j.step.Input)-1-j.cachedPositions, 0)
		total += time.Duration(uncached) * config.PositionTime
	}
	return total
}

// sleep waits for d. It returns false if the engine is closed before that.
func (e *engine) sleep(d time.Duration) bool {
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
	if err := e.validate(s); err != nil {
		return upstream.StepResult{}, err
	}
	sess, err := e.sessionFor(s.Request, s.Epoch)
	if err != nil {
		return upstream.StepResult{}, err
	}
	sess.lastUsed = e.standin.clock.Now()
	sess.startEpoch(s.Epoch)
	lastResult, started := sess.lastResults[s.Layers]
	if started && lastResult.Position == s.Position && len(lastResult.Output) == len(s.Input) {
		return lastResult, nil
	}
	if err := sess.prepareCache(s, started); err != nil {
		if len(sess.states) == 0 {
			delete(e.sessions, s.Request)
		}
		return upstream.StepResult{}, err
	}
	result := e.runLayers(sess, s)
	sess.lastResults[s.Layers] = result
	e.standin.config.Recorder.add(Run{
		Kind: "step", Upstream: e.standin.config.Announcement.ID, Request: s.Request,
		Epoch: s.Epoch, Position: s.Position, Count: len(s.Input), Cached: j.cachedPositions, Layers: s.Layers,
	})
	return result, nil
}

// validate rejects a step that does not match the role of the engine or that does
// not fit into the KV-cache memory.
func (e *engine) validate(s upstream.Step) error {
	e.applyFinishedLoads()
	a := e.standin.Describe()
	if len(s.Input) == 0 || s.Position < 0 || s.Epoch == 0 {
		return protocolErrorf(http.StatusBadRequest, "badRequest", "step without input, position or epoch")
	}
	if s.Model != a.Model || s.Version != a.Version || s.Adapter != a.Adapter {
		return protocolErrorf(http.StatusConflict, "wrongModel", "engine holds %s/%s/%s", a.Model, a.Version, a.Adapter)
	}
	limit := e.standin.config.KVTokens
	if limit > 0 && e.usedKVTokens()+len(s.Input) > limit {
		return protocolErrorf(http.StatusServiceUnavailable, "overloaded", "KV-cache memory of %d positions is full", limit)
	}
	if !contains(a.Layers, s.Layers) {
		return protocolErrorf(http.StatusConflict, "wrongLayers", "engine holds layers %d:%d", a.Layers.From, a.Layers.To)
	}
	return nil
}

// sessionFor returns the session of r, which it creates if there is none. It
// returns an error if the epoch is stale or cancelled, or if the request is new
// and the engine is leaving.
func (e *engine) sessionFor(r fleet.RequestID, epoch fleet.Epoch) (*session, error) {
	sess, ok := e.sessions[r]
	if !ok {
		if e.standin.refusesNewRequests() {
			e.standin.config.Recorder.recordLate(e.standin.config.Announcement.ID)
			return nil, protocolErrorf(http.StatusServiceUnavailable, "stopping", "engine is leaving")
		}
		sess = &session{states: make(map[fleet.Layer][]uint64)}
		e.sessions[r] = sess
	}
	if epoch < sess.epoch {
		return nil, protocolErrorf(http.StatusConflict, "staleEpoch", "epoch %d is older than %d", epoch, sess.epoch)
	}
	if sess.cancelled && epoch == sess.epoch {
		return nil, protocolErrorf(http.StatusConflict, "cancelled", "epoch %d was cancelled", epoch)
	}
	return sess, nil
}

// startEpoch moves the session to epoch. It does nothing if epoch is current.
func (sess *session) startEpoch(epoch fleet.Epoch) {
	if epoch == sess.epoch {
		return
	}
	sess.epoch = epoch
	sess.cancelled = false
	sess.lastResults = make(map[upstream.LayerRange]upstream.StepResult)
}

// prepareCache prepares the cache for a step. The first step of a layer range in
// an epoch may start anywhere within the cache, which is truncated there. Further
// steps have to start at its end.
func (sess *session) prepareCache(s upstream.Step, started bool) error {
	for l := s.Layers.From; l < s.Layers.To; l++ {
		cached := fleet.Position(len(sess.states[l]))
		if s.Position > cached || (started && s.Position != cached) {
			return protocolErrorf(http.StatusConflict, "wrongPosition", "cache of layer %d ends at position %d, step starts at %d", l, cached, s.Position)
		}
	}
	for l := s.Layers.From; l < s.Layers.To; l++ {
		sess.states[l] = sess.states[l][:s.Position]
	}
	return nil
}

// runLayers computes the result of s and appends its positions to the cache.
func (e *engine) runLayers(sess *session, s upstream.Step) upstream.StepResult {
	result := upstream.StepResult{Request: s.Request, Epoch: s.Epoch, Position: s.Position}
	result.Output = make([]uint64, len(s.Input))
	for i, value := range s.Input {
		for l := s.Layers.From; l < s.Layers.To; l++ {
			states := sess.states[l]
			var state uint64
			if len(states) > 0 {
				state = states[len(states)-1]
			}
			value = mix(e.seed(s, l), state, value)
			sess.states[l] = append(states, value)
		}
		result.Output[i] = value
	}
	if s.Layers.To == e.standin.config.TotalLayers {
		lastOutput := result.Output[len(result.Output)-1]
		result.Token = tokenText(lastOutput)
		result.End = isEndToken(lastOutput)
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

// cancel cancels the current epoch of r unless it is newer than the given one. The
// cache is kept if keep is set, so that a newer epoch can continue with it.
func (e *engine) cancel(r fleet.RequestID, epoch fleet.Epoch, keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sess, ok := e.sessions[r]
	if !ok || sess.epoch > epoch {
		return
	}
	sess.cancelled = true
	sess.lastUsed = e.standin.clock.Now()
	if !keep {
		clear(sess.states)
	}
}

// sweep deletes the sessions that were not used for the session timeout.
func (e *engine) sweep() {
	now, timeout := e.standin.clock.Now(), e.standin.config.SessionTimeout
	if now.Sub(e.lastSweep) < timeout/4 {
		return
	}
	e.lastSweep = now
	for r, sess := range e.sessions {
		if now.Sub(sess.lastUsed) >= timeout {
			delete(e.sessions, r)
		}
	}
}

// activeRequests returns the number of queued and running steps plus the number of
// open sessions, so a request whose step is in progress may count twice.
func (e *engine) activeRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep()
	count := len(e.queue) + e.running
	for _, sess := range e.sessions {
		if !sess.cancelled {
			count++
		}
	}
	return count
}

func (e *engine) load() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyFinishedLoads()
	return upstream.Load{
		At: e.standin.clock.Now(), Running: e.running, Waiting: len(e.queue),
		FreeKVTokens: max(e.standin.config.KVTokens-e.usedKVTokens(), 0),
	}
}

// usedKVTokens returns the number of positions in KV-cache memory.
func (e *engine) usedKVTokens() int {
	total := 0
	for _, sess := range e.sessions {
		total += sess.cachedPositions()
	}
	return total
}

// cachedPositions returns the number of positions in the cache of the layer that
// has the most.
func (sess *session) cachedPositions() int {
	longest := 0
	for _, states := range sess.states {
		longest = max(longest, len(states))
	}
	return longest
}
