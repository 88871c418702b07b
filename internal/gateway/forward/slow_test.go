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

// pieces are what an engine sends that makes no progress.
var pieces = map[string]string{
	"bytes": "x", "comments": ": alive\n\n", "blank lines": "\n", "repeated events": "id: 1\ndata: 1\n\n",
}

// trickle sends the first event and then a piece again and again.
func trickle(rw http.ResponseWriter, r *http.Request, piece string) {
	events(rw, 1, 1)
	for r.Context().Err() == nil {
		_, _ = io.WriteString(rw, piece)
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against streams that never end because their engine sends a byte now and
// then. One that may be resumed goes on elsewhere.
func TestTrickleIsNoProgress(t *testing.T) {
	for name, piece := range pieces {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
				if n == 1 {
					trickle(rw, r, piece)
					return
				}
				events(rw, 2, 3)
			})
			status, _, body, whole := w.call(t, "/brisk/", "k1")
			is.Equal(status, http.StatusOK)
			is.True(whole)
			is.Equal(strings.Count(body, "data: 1"), 1)
			is.True(strings.HasSuffix(body, "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
		})
	}
}

// Guards against a stream that cannot go on elsewhere and is held beyond its deadline
// by bytes, or that looks complete at it.
func TestTrickleEndsAtTheDeadline(t *testing.T) {
	for name, piece := range pieces {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			left := make(chan struct{})
			w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
				defer close(left)
				trickle(rw, r, piece)
			})
			r, err := http.NewRequest(http.MethodPost, w.gateway.URL+"/single/", strings.NewReader("order"))
			is.NoErr(err)
			r.Host = "h"
			r.Header = http.Header{"Id": {"1"}, "Key": {"k1"}, "Budget": {strconv.Itoa(600)}}
			p, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer func() { _ = p.Body.Close() }()
			_, err = io.ReadAll(p.Body)
			is.True(err != nil) // not complete
			<-left
		})
	}
}

// Guards against a stream that is sound and slow, with pauses far beyond the longest
// gap of its route, and is cut off or sent again though it may run once only.
func TestSlowStreamIsNotCutOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 3; i++ {
			time.Sleep(2 * leastPatience)
			events(rw, i, i)
		}
	})
	status, _, body, whole := w.call(t, "/slow/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(whole)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
	is.Equal(len(w.headers()), 1)
}

// Guards against a stream that may be resumed and goes on elsewhere because it was
// silent a few times in all, though it made progress in between. It would be read again
// there.
func TestSlowStreamIsNotMoved(t *testing.T) {
	is := is.New(t)
	var w *world
	w = newWorld(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 4; i++ {
			for before := w.asked.Load(); w.asked.Load() == before; { // the gateway looks into it
				time.Sleep(time.Millisecond)
			}
			events(rw, i, i)
		}
	})
	status, _, body, whole := w.call(t, "/brisk/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(whole)
	is.Equal(strings.Count(body, "data:"), 4)
	is.Equal(len(w.headers()), 1)
}

// leastPatience is the least time without an event after which a gateway looks into a
// stream.
const leastPatience = 200 * time.Millisecond
