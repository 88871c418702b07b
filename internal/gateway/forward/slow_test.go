package forward_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noProgressOutputs are outputs of an engine that must not count as progress.
var noProgressOutputs = map[string]string{
	"bytes": "x", "comments": ": alive\n\n", "blank lines": "\n", "repeated events": "id: 1\ndata: 1\n\n",
}

// trickle sends the first event and then repeats piece every 10 ms.
func trickle(rw http.ResponseWriter, r *http.Request, piece string) {
	writeEvents(rw, 1, 1)
	for r.Context().Err() == nil {
		_, _ = io.WriteString(rw, piece)
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against streams that never end because their engine keeps sending bytes that
// complete no new event. A resumable stream must fail over.
func TestTrickleIsNoProgress(t *testing.T) {
	for name, piece := range noProgressOutputs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
				if n == 1 {
					trickle(rw, r, piece)
					return
				}
				writeEvents(rw, 2, 3)
			})
			status, _, body, complete := w.post(t, "/brisk/", "k1")
			is.Equal(status, http.StatusOK)
			is.True(complete)
			is.Equal(strings.Count(body, "data: 1"), 1)
			is.True(strings.HasSuffix(body, "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
		})
	}
}

// Guards against a stream that cannot fail over and is kept beyond its deadline by such
// output, or that looks complete when the deadline ends it.
func TestTrickleEndsAtTheDeadline(t *testing.T) {
	for name, piece := range noProgressOutputs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			disconnected := make(chan struct{})
			w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
				defer close(disconnected)
				trickle(rw, r, piece)
			})
			r, err := http.NewRequest(http.MethodPost, w.server.URL+"/single/", strings.NewReader("order"))
			is.NoErr(err)
			r.Host = "h"
			r.Header = http.Header{"Id": {"1"}, "Key": {"k1"}, "Budget": {strconv.Itoa(600)}}
			p, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer func() { _ = p.Body.Close() }()
			_, err = io.ReadAll(p.Body)
			is.True(err != nil) // incomplete
			<-disconnected
		})
	}
}

// Guards against a healthy but slow stream that is aborted or retried although it may
// run only once. Its pauses are far longer than the TargetGap of its route.
func TestSlowStreamIsNotCutOff(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 3; i++ {
			time.Sleep(2 * minStallTimeout)
			writeEvents(rw, i, i)
		}
	})
	status, _, body, complete := w.post(t, "/slow/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
	is.Equal(len(w.receivedHeaders()), 1)
}

// Guards against a resumable stream that fails over because it sent no event for a
// while several times, although it made progress in between. The other engine would
// have to repeat the prefill.
func TestSlowStreamDoesNotFailOver(t *testing.T) {
	is := is.New(t)
	var w *testGateway
	w = newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 4; i++ {
			for before := w.probes.Load(); w.probes.Load() == before; { // until the gateway checks the stream
				time.Sleep(time.Millisecond)
			}
			writeEvents(rw, i, i)
		}
	})
	status, _, body, complete := w.post(t, "/brisk/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(strings.Count(body, "data:"), 4)
	is.Equal(len(w.receivedHeaders()), 1)
}

// minStallTimeout has the value of the constant of package forward.
const minStallTimeout = 200 * time.Millisecond
