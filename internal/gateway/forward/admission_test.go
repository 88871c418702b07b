package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
)

// limitModel puts the pool "model" under an admission control with the given room and
// returns it.
func limitModel(t *testing.T, w *testGateway, r quota.Room) *quota.Quota {
	p, ok := w.state.Pool("model")
	is.New(t).True(ok)
	p.Admission = quota.New(w.clock, func() quota.Room { return r })
	return p.Admission
}

// Guards against streams that reach an engine although the admission control refused them,
// against refusals without a reason in the log or with a Retry-After that comes too late,
// and against requests other than streams that are refused.
func TestStreamIsNotAdmitted(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	q := limitModel(t, w, quota.Room{Capacity: 100, Active: 200})
	pairs := map[quota.Pair]quota.Count{{Account: "acme", Level: 1}: {Offered: 10}}
	w.receive(feed.Update{Sums: &usage.Report{Gateways: 1, Demands: map[fleet.PoolID]quota.Demand{"model": {Pairs: pairs}}}})
	status, header, body, _ := w.post(t, "/stream/", "k1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"error":"overloaded"}`)
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds >= 3 && seconds <= 6) // nothing is allowed, and a third of the 20 s is more
	is.Equal(len(w.receivedHeaders()), 0)
	fields := w.logs.FilterMessage("A request ended.").All()[0].ContextMap()
	is.Equal(fields["level"], int64(1))
	is.Equal(fields["fraction"], 0.0)
	status, _, _, _ = w.post(t, "/unary/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(q.Status().Totals[1], quota.LevelTotals{Offered: 1})
}

// Guards against a failover inside of the gateway that counts as another offered stream,
// and against the end of a stream that is not reported.
func TestStreamIsOfferedOnce(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			writeEvents(rw, 1, 2)
			abort()
		}
		writeEvents(rw, 3, 4)
	})
	q := limitModel(t, w, quota.Room{})
	_, _, _, complete := w.post(t, "/stream/", "k1")
	is.True(complete)
	var d quota.Demand
	for start := time.Now(); d.Finished == 0 && time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		d = q.Demand()
	}
	is.Equal(d.Finished, 1)
	is.Equal(q.Status().Totals[1], quota.LevelTotals{Offered: 1, Admitted: 1})
}

// Guards against upstreams that get no level as priority under admission control, or get
// one without it.
func TestPriorityIsTheLevel(t *testing.T) {
	for _, c := range []struct{ path, controlled, plain string }{
		{path: "/stream/", controlled: "1", plain: "7"},
		{path: "/brisk/", controlled: "0", plain: "7"},
	} {
		for _, controlled := range []bool{true, false} {
			is := is.New(t)
			w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 1) })
			r := testRelease()
			r.Version, r.Accounts[0].Priority = 2, 7
			if !controlled {
				// Without a difference between the routes no service is differentiated.
				for i := range r.Routes {
					r.Routes[i].TargetLatency = testTimeout
				}
			}
			w.applyRelease(t, r)
			p, _ := w.state.Pool("model")
			is.Equal(p.Admission != nil, controlled)
			_, _, _, complete := w.post(t, c.path, "k1")
			is.True(complete)
			want := c.plain
			if controlled {
				want = c.controlled
			}
			is.Equal(w.receivedHeaders()[0].Get("Priority"), want)
		}
	}
}
