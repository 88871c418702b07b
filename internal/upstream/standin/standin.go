// Package standin is a small fake of a model engine or a plain service for
// demos and tests.
//
// An engine holds a range of layers of a model. Each layer mixes its input into
// a state of the request, so the text depends on every layer having run once
// for every position, in order. Generate gives the expected text. A service
// answers every call and counts it. Both append what they ran to a Recorder.
//
//	s := standin.New(standin.Config{
//		Announcement: announcement,
//		TotalLayers:  8,
//		Recorder:     standin.NewRecorder(file),
//	})
//	defer s.Close()
//	go http.Serve(listener, s)
package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Config describes a stand-in. The zero value of a field without a note stands
// for "none".
type Config struct {
	// Announcement holds what the stand-in says of itself at the start. Slots is
	// the batch limit; zero means DefaultSlots.
	Announcement upstream.Announcement
	// TotalLayers is the number of layers of the model: the engine that holds
	// the last layer answers with tokens.
	TotalLayers fleet.Layer
	// StepTime is the time of one batch, PositionTime the additional time of
	// each position after the first one of a sequence.
	StepTime     time.Duration
	PositionTime time.Duration
	// KVTokens is the KV-cache memory in positions; zero means no limit.
	KVTokens int
	// PrefixBlocks is the size of the prefix cache in blocks.
	PrefixBlocks int
	// CacheEventLag is the time until a cache event can be seen, and
	// CacheEventLoss the share of events that never can.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// SessionTimeout is the time after which an unused request is dropped; zero
	// means DefaultSessionTimeout.
	SessionTimeout time.Duration
	// LeaveGrace is the time after Leave in which new requests are still taken.
	LeaveGrace time.Duration
	// Weights gives the weights of LayerBytes for each layer; nil has no limit.
	Weights    *WeightStore
	LayerBytes int64
	// CallTime is the time of one call of a service.
	CallTime time.Duration
	// OncePaths are the path prefixes of a service that may not be repeated.
	OncePaths []string
	Recorder  *Recorder
	// Faults are the faults at the start. Exit ends the process for the fault
	// "die".
	Faults Faults
	Exit   func()
	// Seed feeds the random numbers of faults and lost events.
	Seed uint64
	// Clock is the clock of the operating system when nil.
	Clock fleet.Clock
}

// DefaultSessionTimeout is the time after which an engine drops an unused
// request.
const DefaultSessionTimeout = time.Minute

// DefaultSlots is the batch limit of an engine that does not set Slots.
const DefaultSlots = 16

// Standin is a running fake. It is an http.Handler.
type Standin struct {
	config Config
	clock  fleet.Clock
	router chi.Router
	faults *injector
	engine *engine
	calls  *service

	mu           sync.Mutex
	announcement upstream.Announcement
	left         time.Time
	loads        []upstream.Load // not yet reported, the oldest first
}

// New returns a running Standin. Close ends it.
func New(c Config) *Standin {
	if c.Clock == nil {
		c.Clock = systemclock.Clock{}
	}
	if c.Announcement.Slots == 0 {
		c.Announcement.Slots = DefaultSlots
	}
	s := &Standin{
		config:       c,
		clock:        c.Clock,
		router:       chi.NewRouter(),
		announcement: c.Announcement,
	}
	if c.SessionTimeout == 0 {
		s.config.SessionTimeout = DefaultSessionTimeout
	}
	s.router.Use(echoCall)
	s.faults = newInjector(s)
	s.router.Post("/faults", s.faults.serveFaults)
	protocol := s.router.With(s.faults.wrap)
	if c.Announcement.Kind == upstream.Engine {
		s.engine = newEngine(s)
		s.engine.routes(protocol)
		return s
	}
	s.calls = &service{standin: s}
	protocol.HandleFunc("/*", s.calls.serve)
	return s
}

// echoCall returns the id of a call in its answer.
func echoCall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(upstream.CallIDHeader); id != "" {
			w.Header().Set(upstream.CallIDHeader, id)
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP answers one request of the engine protocol or one call.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Close ends the goroutines of s. Work in progress is dropped.
func (s *Standin) Close() {
	close(s.faults.done)
	if s.engine != nil {
		s.engine.close()
	}
}

// SetFaults replaces the faults of s, like POST /faults.
func (s *Standin) SetFaults(f Faults) { s.faults.set(f) }

// Announce returns the next announcement, with a new sequence number and the
// load as it was LoadLag ago.
func (s *Standin) Announce() upstream.Announcement {
	load := s.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement.Sequence++
	s.loads = append(s.loads, load)
	for len(s.loads) > 0 && load.At.Sub(s.loads[0].At) >= s.config.LoadLag {
		s.announcement.Load = s.loads[0]
		s.loads = s.loads[1:]
	}
	return s.announcement
}

// Leave makes all further announcements say that the stand-in leaves. Requests
// in progress go on; new ones are refused after LeaveGrace.
func (s *Standin) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement.State = upstream.Leaving
	s.left = s.clock.Now()
}

// refusesNew tells whether new requests are refused.
func (s *Standin) refusesNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement.State == upstream.Leaving && s.clock.Now().Sub(s.left) >= s.config.LeaveGrace
}

// Busy returns the number of requests in progress.
func (s *Standin) Busy() int {
	if s.engine != nil {
		return s.engine.busy()
	}
	return s.calls.busy()
}

func (s *Standin) load() upstream.Load {
	if s.engine != nil {
		return s.engine.load()
	}
	return upstream.Load{At: s.clock.Now(), Running: s.calls.busy()}
}

// Describe returns the newest announcement without a new sequence number.
func (s *Standin) Describe() upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement
}
