package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// waitThreshold separates requests that are refused at once from those that wait for a
// path, which they do for 1.5 s.
const waitThreshold = time.Second

// fullTime is how long an engine stays full that breaks off without an event.
const fullTime = 200 * time.Millisecond

// TestFullEngines guards against new streams that wait for engines that are full, or that
// are told that there is no engine, against started streams that are given up for that
// reason, and against a refusal at once where layers are missing. Each case has one engine,
// and prints the response and what the gateway reports of the engine while it responds.
func TestFullEngines(t *testing.T) {
	datadriven.RunTest(t, "testdata/full.txt", func(t *testing.T, d *datadriven.TestData) string {
		var path string
		d.ScanArgs(t, "path", &path)
		w := newTestGateway(t, 1, func(int, http.ResponseWriter, *http.Request) {})
		pool, _ := w.state.Pool("model")
		pool.Planner.SetAdmission(!d.HasArg("off"))
		setActive := func(n int) {
			w.receive(feed.Update{Sums: &usage.Report{Gateways: 1, Upstreams: []usage.UpstreamStats{{ID: "model0", Active: n}}}})
		}
		if d.HasArg("full") {
			setActive(10)
		}
		if d.HasArg("missing") {
			w.receive(feed.Update{Entries: []registry.Entry{{
				ID: "model0", Incarnation: 1, Sequence: 100, Pool: "model", Slots: 10, Address: w.upstreams[1].Listener.Addr().String(),
				State: registry.Ready, Card: "card", Layers: upstream.LayerRange{To: 3}, LastHeartbeat: w.clock.Now(),
			}}})
		}
		reported := "none"
		w.upstreams[1].Config.Handler = w.upstreamHandler(func(n int, rw http.ResponseWriter, r *http.Request) {
			for _, u := range w.state.Report().Upstreams {
				reported = fmt.Sprintf("%d active, size %.2f", u.Active, u.Size)
			}
			if d.HasArg("silent") && n == 1 {
				setActive(10)
				time.AfterFunc(fullTime, func() { setActive(0) })
				abort()
			}
			if d.HasArg("breaks") && n == 1 {
				setActive(10)
				respond(rw, "id: 1\ndata: 1\n\n")
				_ = http.NewResponseController(rw).Flush()
				abort()
			}
			respond(rw, "id: 2\ndata: 2\n\n")
		})
		status, header, body, complete, took := w.postHeaders(t, path, d)
		waited := "at once"
		if took >= waitThreshold {
			waited = "after waiting"
		}
		retryAfter := "none"
		if value := header.Get("Retry-After"); value != "" {
			seconds, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			switch {
			case seconds >= 0.5 && seconds <= 1:
				retryAfter = "from 0.5 to 1 s"
			case seconds > 0 && seconds <= 0.3:
				retryAfter = "up to 0.3 s"
			default:
				retryAfter = value
			}
		}
		if status == http.StatusServiceUnavailable && strings.Contains(body, "noUpstream") {
			retryAfter = "any"
		}
		return fmt.Sprintf("%d %s, %s, complete %t, retry %s, attempts %d\nreport: %s\n",
			status, strings.ReplaceAll(strings.TrimSpace(body), "\n", " "), waited, complete, retryAfter, len(w.receivedHeaders()), reported)
	})
}

// postHeaders sends a request with the headers in the input of a script, and returns the
// response and the time until its end.
func (w *testGateway) postHeaders(t *testing.T, path string, d *datadriven.TestData) (int, http.Header, string, bool, time.Duration) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", w.requestID)
	r.Header.Set("Key", "k1")
	for _, line := range strings.Split(d.Input, "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	start := time.Now()
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, p.Header, string(b), err == nil, time.Since(start)
}
