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
	// CallTime is the time of one call of a service.
	CallTime time.Duration
	Recorder *Recorder
	// Clock is the clock of the operating system when nil.
	Clock fleet.Clock
}

// DefaultSlots is the batch limit of an engine that does not set Slots.
const DefaultSlots = 16

// Standin is a running fake. It is an http.Handler.
type Standin struct {
	config Config
	clock  fleet.Clock
	router chi.Router
	engine *engine
	calls  *service

	mu           sync.Mutex
	announcement upstream.Announcement
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
	if c.Announcement.Kind == upstream.Engine {
		s.engine = newEngine(s)
		s.engine.routes(s.router)
		return s
	}
	s.calls = &service{standin: s}
	s.router.HandleFunc("/*", s.calls.serve)
	return s
}

// ServeHTTP answers one request of the engine protocol or one call.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Close ends the goroutines of s. Work in progress is dropped.
func (s *Standin) Close() {
	if s.engine != nil {
		s.engine.close()
	}
}

// Announce returns the next announcement, with a new sequence number and the
// current load.
func (s *Standin) Announce() upstream.Announcement {
	running, waiting := s.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement.Sequence++
	s.announcement.Load = upstream.Load{At: s.clock.Now(), Running: running, Waiting: waiting}
	return s.announcement
}

// Leave makes all further announcements say that the stand-in leaves.
func (s *Standin) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement.State = upstream.Leaving
}

// Busy returns the number of requests in progress.
func (s *Standin) Busy() int {
	if s.engine != nil {
		return s.engine.busy()
	}
	return s.calls.busy()
}

func (s *Standin) load() (running, waiting int) {
	if s.engine != nil {
		return s.engine.load()
	}
	return s.calls.busy(), 0
}

// current returns the announcement as it was last changed.
func (s *Standin) current() upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement
}
