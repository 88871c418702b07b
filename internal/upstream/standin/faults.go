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

// Faults are the faults that a stand-in injects. POST /faults replaces all of
// them; the zero value injects none.
type Faults struct {
	// Exit ends the process immediately, without a shutdown.
	Exit bool `json:"die,omitempty"`
	// Frozen suspends all requests, running steps and announcements. They
	// continue when it is set to false.
	Frozen bool `json:"frozen,omitempty"`
	// DelayMs delays each response by this number of milliseconds.
	// BytesPerSecond limits the transfer rate of the bodies of requests and
	// responses.
	DelayMs        int `json:"delayMs,omitempty"`
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
	// DropResponses is the number of following steps, imports, commands and
	// calls that run but whose connection is closed without a response.
	DropResponses int `json:"loseAnswers,omitempty"`
	// StaleResponses is the number of following steps, imports, commands and
	// calls that run but get the previous response again.
	StaleResponses int `json:"staleAnswers,omitempty"`
	// Refuse rejects every request with status 503 and code overloaded.
	Refuse bool `json:"refuse,omitempty"`
	// ErrorRate is the fraction of requests that fail with status 500 without
	// running.
	ErrorRate float64 `json:"errorRate,omitempty"`
}

// faultInjector injects Faults into the handling of HTTP requests.
type faultInjector struct {
	standin *Standin
	done    chan struct{}

	mu           sync.Mutex
	faults       Faults
	resumed      chan struct{} // closed unless frozen
	random       *rand.Rand
	lastResponse *bufferedResponse
}

func newFaultInjector(s *Standin) *faultInjector {
	i := &faultInjector{
		standin: s,
		done:    make(chan struct{}),
		resumed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(s.config.Seed, 2)),
	}
	close(i.resumed)
	i.set(s.config.Faults)
	return i
}

func (i *faultInjector) set(f Faults) {
	if f.Exit && i.standin.config.Exit != nil {
		i.standin.config.Exit()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Frozen && !i.faults.Frozen {
		i.resumed = make(chan struct{})
	}
	if !f.Frozen && i.faults.Frozen {
		close(i.resumed)
	}
	i.faults = f
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// waitUntilResumed blocks while the stand-in is frozen. It returns false if the
// stand-in is closed meanwhile.
func (i *faultInjector) waitUntilResumed() bool {
	i.mu.Lock()
	resumed := i.resumed
	i.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-i.done:
		return false
	}
}

// serveFaults handles POST /faults, which is accepted from loopback addresses
// only.
func (i *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
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

// middleware returns a handler that calls next and injects the faults.
func (i *faultInjector) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.get().Frozen {
			// A suspended process that is resumed also handles the requests in its
			// socket buffers whose clients have given up in the meantime.
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		if !i.waitUntilResumed() {
			panic(http.ErrAbortHandler)
		}
		f := i.get()
		if f.Refuse {
			writeError(w, http.StatusServiceUnavailable, "overloaded", "refused by a fault")
			return
		}
		if i.randomFloat() < f.ErrorRate {
			writeError(w, http.StatusInternalServerError, "internal", "failed by a fault")
			return
		}
		i.throttle(f, int(r.ContentLength))
		response := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		next.ServeHTTP(response, r)
		if !i.waitUntilResumed() {
			panic(http.ErrAbortHandler)
		}
		i.sendResponse(w, r, f, response)
	})
}

// sendResponse sends response, drops it, or sends the previous response instead.
func (i *faultInjector) sendResponse(w http.ResponseWriter, r *http.Request, f Faults, response *bufferedResponse) {
	affected := r.Method != http.MethodGet && !strings.HasSuffix(r.URL.Path, "/cancel")
	if affected && i.consume(&i.faults.DropResponses) {
		panic(http.ErrAbortHandler)
	}
	if affected && response.status == http.StatusOK {
		i.mu.Lock()
		previous := i.lastResponse
		i.lastResponse = response
		i.mu.Unlock()
		if previous != nil && i.consume(&i.faults.StaleResponses) {
			response = previous
		}
	}
	i.throttle(f, response.body.Len())
	if f.DelayMs > 0 {
		<-i.standin.clock.After(time.Duration(f.DelayMs) * time.Millisecond)
	}
	response.copyTo(w)
}

// consume decrements n and returns true if n was above zero.
func (i *faultInjector) consume(n *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (i *faultInjector) randomFloat() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64()
}

// throttle waits for the time that n bytes take at BytesPerSecond.
func (i *faultInjector) throttle(f Faults, n int) {
	if f.BytesPerSecond <= 0 || n <= 0 {
		return
	}
	<-i.standin.clock.After(time.Duration(n) * time.Second / time.Duration(f.BytesPerSecond))
}

// bufferedResponse is an http.ResponseWriter that holds a response until it is
// sent.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *bufferedResponse) Header() http.Header { return r.header }

func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

func (r *bufferedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

func (r *bufferedResponse) copyTo(w http.ResponseWriter) {
	for k, v := range r.header {
		w.Header()[k] = v
	}
	w.WriteHeader(r.status)
	// A failed write means that the client is gone, so there is nobody to report
	// the error to.
	_, _ = w.Write(r.body.Bytes())
}
