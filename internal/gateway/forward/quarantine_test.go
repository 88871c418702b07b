package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// maxCrashes is the number of engines that may crash before a part of a prompt must
	// be recognized as the cause, reactionTime the time for that, and maxLateAttempts the
	// number of requests that may still reach an engine afterwards.
	maxCrashes      = 5
	reactionTime    = 3 * time.Second
	maxLateAttempts = 3
)

// crashOnPart closes the port of an engine that receives a request whose prompt has the
// part "bad", and aborts its connection. It streams three events to all other requests.
func crashOnPart(n int, rw http.ResponseWriter, r *http.Request) { crashAfterEvents(0)(n, rw, r) }

// crashAfterEvents is crashOnPart for engines that send a number of events before they crash.
func crashAfterEvents(events int) upstreamFunc {
	return func(_ int, rw http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Parts"), "bad") {
			respond(rw, "id: 1\n\nid: 2\n\nid: 3\n\n")
			return
		}
		next, _ := strconv.Atoi(r.Header.Get("After"))
		if events > 0 {
			writeEvents(rw, next+1, next+events)
			_ = http.NewResponseController(rw).Flush()
		}
		_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
		abort()
	}
}

// Guards against prompts that crash one engine after the other, by retries of one request
// and by new requests with the same part.
func TestPromptThatCrashesEnginesIsRefused(t *testing.T) {
	testCrashingPrompt(t, "/stream/", newTestGateway(t, 40, crashOnPart))
}

// Guards against the events that several engines sent before they crashed being counted as
// one response to the prompt.
func TestPromptThatCrashesEnginesAfterAnEventIsRefused(t *testing.T) {
	testCrashingPrompt(t, "/stream/", newTestGateway(t, 40, crashAfterEvents(1)))
}

// Guards against prompts that crash the last engine of one path after the other, where the
// first engine stays up and reports that it waits.
func TestPromptThatCrashesLastEnginesIsRefused(t *testing.T) {
	testCrashingPrompt(t, "/brisk/", newSplitGateway(t, 40, func(w *testGateway, rw http.ResponseWriter, r *http.Request, last string) {
		w.probeReport.Store(&placement.Report{Stalled: []placement.Stalled{{Request: "1", Address: last}}})
		<-r.Context().Done()
	}))
}

// Guards against the same prompts if the first engine has not reported that it waits before
// it refuses the request.
func TestPromptThatCrashesLastEnginesIsRefusedAfterTimeout(t *testing.T) {
	testCrashingPrompt(t, "/brisk/", newSplitGateway(t, 40, func(w *testGateway, rw http.ResponseWriter, r *http.Request, last string) {
		time.Sleep(engineTimeout)
		rw.Header().Set("Id", "1")
		rw.Header().Set("Not-Run", "1")
		rw.Header().Set("At", last)
		rw.WriteHeader(http.StatusServiceUnavailable)
	}))
}

// engineTimeout is the time after which an engine gives up on the next one of the path.
const engineTimeout = 750 * time.Millisecond

// newSplitGateway returns a testGateway whose engines hold a half of the layers each. A prompt
// with the part "bad" crashes the last engine of its path; the first one then calls wait with
// the address of the last one.
func newSplitGateway(t *testing.T, upstreams int, wait func(w *testGateway, rw http.ResponseWriter, r *http.Request, last string)) *testGateway {
	var w *testGateway
	w = newTestGateway(t, upstreams, func(n int, rw http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Parts"), "bad") {
			crashOnPart(n, rw, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // so that the server notices a closed connection
		engines := r.Header.Values("Engines")
		last := w.engine(engines[len(engines)-1])
		_ = last.Config.Close()
		wait(w, rw, r, last.Listener.Addr().String())
	})
	for i := range w.update.Entries {
		e := &w.update.Entries[i]
		e.Layers = upstream.LayerRange{From: 0, To: 2}
		if i/2%2 == 1 {
			e.Layers = upstream.LayerRange{From: 2, To: 4}
		}
	}
	w.heartbeat()
	return w
}

// engine returns the server of an engine.
func (w *testGateway) engine(id string) *httptest.Server {
	for i, e := range w.update.Entries {
		if string(e.ID) == id {
			return w.upstreams[i]
		}
	}
	return nil
}

func testCrashingPrompt(t *testing.T, path string, w *testGateway) {
	is := is.New(t)
	status, _, _, _ := w.postPrompt(t, path, "k1", "shared")
	is.Equal(status, http.StatusOK)
	before := len(w.receivedHeaders())
	for len(w.receivedHeaders()) < before+maxCrashes {
		w.postPrompt(t, path, "k1", "shared bad")
		if t.Failed() || w.clock.offset.Load() > int64(time.Minute) {
			break
		}
		w.clock.offset.Add(int64(reactionTime / maxCrashes))
		w.heartbeat()
	}
	w.clock.offset.Add(int64(reactionTime))
	w.heartbeat()
	before = len(w.receivedHeaders())
	for range 20 {
		status, _, _, _ = w.postPrompt(t, path, "k1", "shared bad")
	}
	is.True(len(w.receivedHeaders())-before <= maxLateAttempts)
	is.Equal(status, http.StatusServiceUnavailable) // it did not run
	status, _, _, complete := w.postPrompt(t, path, "k1", "shared")
	is.Equal(status, http.StatusOK)
	is.True(complete)
}

// Guards against a client that waits for a verdict on its prompt although its request
// cannot be sent again.
func TestRequestWithoutFurtherAttemptFailsAtOnce(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 8, crashOnPart)
	for range 2 {
		status, _, _, _ := w.postPrompt(t, "/once/", "k1", "bad")
		is.Equal(status, http.StatusBadGateway)
	}
	ended := w.logs.FilterMessage("A request ended.").All()
	is.Equal(len(ended), 2)
	for _, l := range ended {
		is.Equal(l.ContextMap()["waited"], time.Duration(0))
	}
	is.Equal(w.logs.FilterMessage("An engine crashed before it responded.").Len(), 2)
}

// Guards against a further connection for each stream that loses its engine although its
// prompt cannot be the cause, on days on which many engines are lost.
func TestSoundPromptIsNotProbedAfterCrash(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 8, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 2 {
			_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
			abort()
		}
		crashOnPart(n, rw, r)
	})
	status, _, _, _ := w.postPrompt(t, "/stream/", "k1", "sound")
	is.Equal(status, http.StatusOK)
	w.clock.offset.Add(int64(10 * time.Second)) // idle connections expire
	var dials atomic.Int64
	count := func() { dials.Add(1) }
	w.beforeDial.Store(&count)
	status, _, _, _ = w.postPrompt(t, "/stream/", "k1", "sound")
	is.Equal(status, http.StatusOK)
	is.Equal(len(w.receivedHeaders()), 3)
	is.Equal(dials.Load(), int64(2)) // one for each attempt
}
