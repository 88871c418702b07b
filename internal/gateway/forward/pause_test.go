package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that reaches an upstream after its time, because the process
// was paused after the decision to send it. It must count as not run, too.
func TestPauseBeyondTheDeadline(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
	w.pauseOnce(patience, func() {})
	status, _, _, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(w.headers()), 0)
}

// Guards against the use of a key after the lease on the configuration has run out.
func TestPauseBeyondTheLease(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
	w.clock.age.Store(int64(lease - sendWithin/2))
	w.renew()
	w.pauseOnce(sendWithin, func() {})
	status, _, _, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(w.headers()), 0)
}

// Guards against the use of a key that was taken away while the process was paused,
// though the configuration is confirmed again.
func TestKeyIsTakenAwayDuringPause(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
	w.pauseOnce(sendWithin/2, func() {
		r := sample()
		r.Version, r.Accounts[0].Keys = 2, []string{"k2"}
		w.put(t, r)
	})
	status, _, _, _ := w.call(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(w.headers()), 0)
}

// Guards against work for an upstream that was chosen before a long pause, in which it
// may have left. The stream is sent to one that is chosen anew.
func TestChoiceDoesNotOutlastPause(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "id: 1\ndata: x\n\n") })
	w.pauseOnce(2*sendWithin, func() {})
	status, _, _, whole := w.call(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(whole)
	is.Equal(len(w.headers()), 1)
	is.Equal(w.logs.FilterMessage("A stream broke.").Len(), 1)
}

// sendWithin is the age of a choice up to which it is acted on.
const sendWithin = time.Second
