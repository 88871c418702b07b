package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that reaches an upstream after its deadline, because the
// process was paused after the upstream was selected. It must also count as not run.
func TestPauseBeyondTheDeadline(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	w.pauseBeforeDial(testTimeout, func() {})
	status, _, _, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(w.receivedHeaders()), 0)
}

// Guards against the use of an account key after the lease of the configuration has
// expired.
func TestPauseBeyondTheLease(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	w.clock.offset.Store(int64(configLease - maxSelectionAge/2))
	w.heartbeat()
	w.pauseBeforeDial(maxSelectionAge, func() {})
	status, _, _, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(w.receivedHeaders()), 0)
}

// Guards against the use of an account key that was revoked while the process was
// paused, although the configuration is confirmed again.
func TestKeyIsRevokedDuringPause(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	w.pauseBeforeDial(maxSelectionAge/2, func() {
		r := testRelease()
		r.Version, r.Accounts[0].Keys = 2, []string{"k2"}
		w.applyRelease(t, r)
	})
	status, _, _, _ := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(w.receivedHeaders()), 0)
}

// Guards against an attempt at an upstream that was selected before a long pause and may
// have left since. A new selection must be made for the stream.
func TestSelectionExpiresDuringPause(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "id: 1\ndata: x\n\n") })
	w.pauseBeforeDial(2*maxSelectionAge, func() {})
	status, _, _, complete := w.post(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(len(w.receivedHeaders()), 1)
	is.Equal(w.logs.FilterMessage("A stream broke.").Len(), 1)
}

// maxSelectionAge has the value of the constant of package forward.
const maxSelectionAge = time.Second
