package standin

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are the faults of a stand-in. POST /faults replaces them all; the zero
// value is a sound stand-in.
type Faults struct {
	// Die ends the process at once.
	Die bool `json:"die,omitempty"`
	// Frozen holds all requests, running steps and announcements until it is
	// set to false again; then they go on.
	Frozen bool `json:"frozen,omitempty"`
	// DelayMs delays each answer, and BytesPerSecond bounds the speed of the
	// bodies of requests and answers.
	DelayMs        int `json:"delayMs,omitempty"`
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
	// LoseAnswers is the number of steps, imports and calls that run without
	// getting an answer.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// StaleAnswers is the number of steps and calls that run and get the
	// answer before theirs once more.
	StaleAnswers int `json:"staleAnswers,omitempty"`
	// Refuse answers everything with 503 overloaded.
	Refuse bool `json:"refuse,omitempty"`
	// ErrorRate is the share of requests that fail with 500 without running.
	ErrorRate float64 `json:"errorRate,omitempty"`
}

// injector applies faults to HTTP requests.
type injector struct {
	standin *Standin
	done    chan struct{}

	mu     sync.Mutex
	faults Faults
	thawed chan struct{} // closed unless frozen
	random *rand.Rand
	last   *answer
}

func newInjector(s *Standin) *injector {
	i := &injector{
		standin: s,
		done:    make(chan struct{}),
		thawed:  make(chan struct{}),
		random:  rand.New(rand.NewPCG(s.config.Seed, 2)),
	}
	close(i.thawed)
	i.set(s.config.Faults)
	return i
}

func (i *injector) set(f Faults) {
	if f.Die && i.standin.config.Exit != nil {
		i.standin.config.Exit()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Frozen && !i.faults.Frozen {
		i.thawed = make(chan struct{})
	}
	if !f.Frozen && i.faults.Frozen {
		close(i.thawed)
	}
	i.faults = f
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// wait returns once the stand-in is not frozen, or false when it ends.
func (i *injector) wait() bool {
	i.mu.Lock()
	thawed := i.thawed
	i.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-i.done:
		return false
	}
}

// serveFaults replaces the faults. Only loopback may ask for it.
func (i *injector) serveFaults(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		writeError(w, http.StatusForbidden, "forbidden", "faults are set on loopback only")
		return
	}
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	i.set(f)
	writeJSON(w, http.StatusOK, f)
}

// wrap returns next with the faults.
func (i *injector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.get().Frozen {
			// A frozen process that goes on runs what is in its socket buffers,
			// even if the sender has given up.
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		if !i.wait() {
			panic(http.ErrAbortHandler)
		}
		f := i.get()
		if f.Refuse {
			writeError(w, http.StatusServiceUnavailable, "overloaded", "refused by a fault")
			return
		}
		if i.draw() < f.ErrorRate {
			writeError(w, http.StatusInternalServerError, "internal", "failed by a fault")
			return
		}
		i.slow(f, int(r.ContentLength))
		a := &answer{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(a, r)
		if !i.wait() {
			panic(http.ErrAbortHandler)
		}
		i.deliver(w, r, f, a)
	})
}

// deliver sends a, loses it, or sends the answer before it.
func (i *injector) deliver(w http.ResponseWriter, r *http.Request, f Faults, a *answer) {
	counted := r.Method != http.MethodGet && !strings.HasSuffix(r.URL.Path, "/cancel")
	if counted && i.spend(&i.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if counted && a.status == http.StatusOK {
		i.mu.Lock()
		last := i.last
		i.last = a
		i.mu.Unlock()
		if last != nil && i.spend(&i.faults.StaleAnswers) {
			a = last
		}
	}
	i.slow(f, a.body.Len())
	if f.DelayMs > 0 {
		<-i.standin.clock.After(time.Duration(f.DelayMs) * time.Millisecond)
	}
	a.copyTo(w)
}

// spend counts n down and returns whether it was above zero.
func (i *injector) spend(n *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (i *injector) draw() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64()
}

// slow waits for the time that n bytes take on a slow link.
func (i *injector) slow(f Faults, n int) {
	if f.BytesPerSecond <= 0 || n <= 0 {
		return
	}
	<-i.standin.clock.After(time.Duration(n) * time.Second / time.Duration(f.BytesPerSecond))
}

// answer keeps an answer until it is sent.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) { a.status = status }

func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *answer) copyTo(w http.ResponseWriter) {
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.status)
	// The connection is gone when the write fails; nobody is left to tell.
	_, _ = w.Write(a.body.Bytes())
}
