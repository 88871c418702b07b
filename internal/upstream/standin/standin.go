// Package standin implements a fake model engine and a fake plain service for
// demos and tests.
//
// An engine holds a range of layers of a model. Each layer hashes its input into
// a state of the request, so the generated text is right only if every layer ran
// once for every position, in order. Generate returns the expected text. A
// service responds to every call and counts the calls. Both append what they ran
// to a Recorder.
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

// Config configures a stand-in. Unless stated otherwise, the zero value of a
// field means "none".
type Config struct {
	// Announcement is the initial announcement. Slots is the batch limit; zero
	// means DefaultSlots.
	Announcement upstream.Announcement
	// TotalLayers is the number of layers of the model. The engine that holds
	// the last layer returns tokens.
	TotalLayers fleet.Layer
	// StepTime is the execution time of one batch. PositionTime is the additional
	// time of each position of a step after the first one, except those found in
	// the prefix cache.
	StepTime     time.Duration
	PositionTime time.Duration
	// KVTokens is the size of the KV-cache memory in positions; zero means no
	// limit.
	KVTokens int
	// PrefixBlocks is the size of the prefix cache in blocks of
	// upstream.BlockSize positions.
	PrefixBlocks int
	// CacheEventLag is the time after which queries return a cache event.
	// CacheEventLoss is the fraction of events that are lost.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// SessionTimeout is the time after which the KV cache of an idle request is
	// deleted; zero means DefaultSessionTimeout.
	SessionTimeout time.Duration
	// LeaveGrace is the time after Leave during which new requests are still
	// accepted.
	LeaveGrace time.Duration
	// Weights is the store from which weights are loaded, LayerBytes for each
	// layer; nil means no limit of the rate.
	Weights    *WeightStore
	LayerBytes int64
	// CallTime is the execution time of one call of a service.
	CallTime time.Duration
	// AtMostOncePaths are the path prefixes of service calls that must not be
	// repeated.
	AtMostOncePaths []string
	Recorder        *Recorder
	// Faults are the initial faults. Exit is called to end the process when
	// Faults.Exit is set.
	Faults Faults
	Exit   func()
	// Seed is the seed of the random numbers for faults and lost events.
	Seed uint64
	// Clock is the time source; nil means the clock of the operating system.
	Clock fleet.Clock
}

// DefaultSessionTimeout is the time after which an engine deletes the KV cache of
// an idle request, unless Config.SessionTimeout is set.
const DefaultSessionTimeout = time.Minute

// DefaultSlots is the batch limit of an engine whose announcement has no Slots.
const DefaultSlots = 16

// Standin is a running stand-in. It is an http.Handler.
type Standin struct {
	config  Config
	clock   fleet.Clock
	router  chi.Router
	faults  *faultInjector
	engine  *engine
	service *service

	mu              sync.Mutex
	announcement    upstream.Announcement
	leavingSince    time.Time
	unreportedLoads []upstream.Load // measured but not announced yet, oldest first
}

// New returns a running Standin. Call Close to stop it.
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
	s.router.Use(echoCallID)
	s.faults = newFaultInjector(s)
	s.router.Post("/faults", s.faults.serveFaults)
	withFaults := s.router.With(s.faults.middleware)
	if c.Announcement.Kind == upstream.Engine {
		s.engine = newEngine(s)
		s.engine.registerRoutes(withFaults)
		return s
	}
	s.service = &service{standin: s}
	withFaults.HandleFunc("/*", s.service.serve)
	return s
}

// echoCallID copies the call id header of a request to its response.
func echoCallID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(upstream.CallIDHeader); id != "" {
			w.Header().Set(upstream.CallIDHeader, id)
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP handles requests of the engine protocol or service calls, and changes
// of the faults.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Close stops the goroutines of s. Work in progress is aborted.
func (s *Standin) Close() {
	close(s.faults.done)
	if s.engine != nil {
		s.engine.close()
	}
}

// SetFaults replaces the faults of s, like POST /faults.
func (s *Standin) SetFaults(f Faults) { s.faults.set(f) }

// NextAnnouncement returns an announcement with a new sequence number and the load
// as it was LoadLag ago.
func (s *Standin) NextAnnouncement() upstream.Announcement {
	load := s.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement.Sequence++
	s.unreportedLoads = append(s.unreportedLoads, load)
	for len(s.unreportedLoads) > 0 && load.At.Sub(s.unreportedLoads[0].At) >= s.config.LoadLag {
		s.announcement.Load = s.unreportedLoads[0]
		s.unreportedLoads = s.unreportedLoads[1:]
	}
	return s.announcement
}

// Leave changes the announced state to leaving. Requests in progress continue; new
// ones are rejected after LeaveGrace.
func (s *Standin) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement.State = upstream.Leaving
	s.leavingSince = s.clock.Now()
}

// refusesNewRequests tells whether new requests are rejected: the stand-in is
// leaving and LeaveGrace has passed.
func (s *Standin) refusesNewRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement.State == upstream.Leaving && s.clock.Now().Sub(s.leavingSince) >= s.config.LeaveGrace
}

// ActiveRequests returns the number of requests in progress; it is 0 only when
// there are none. An engine may count a request twice while it runs a step.
func (s *Standin) ActiveRequests() int {
	if s.engine != nil {
		return s.engine.activeRequests()
	}
	return s.service.activeRequests()
}

func (s *Standin) load() upstream.Load {
	if s.engine != nil {
		return s.engine.load()
	}
	return upstream.Load{At: s.clock.Now(), Running: s.service.activeRequests()}
}

// Describe returns the current announcement without advancing its sequence
// number.
func (s *Standin) Describe() upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement
}
