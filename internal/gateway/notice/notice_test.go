package notice_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/notice"
)

// TestScripts guards against requests to an upstream that is leaving or paused, against
// upstreams that stay out of use after a pause, a restart or an absurd value, and against
// a table that grows without bound. A script has one table and these commands, where an
// upstream is given as ID/INCARNATION:
//
//	table capacity=N random=X
//	leaving upstream
//	pause upstream duration
//	state upstream...        whether the upstream is blocked, its share and whether it is drawn
//	advance duration
//	sweep upstream...        the upstreams are the newest known incarnations
//	metrics                  the metrics that are not 0
//
// Each command prints the log lines that it wrote.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		var s script
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "table" {
				s.start(t, d)
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				out.WriteString(s.execute(t, line))
				out.WriteString(s.newLogLines())
			}
			return out.String()
		})
	})
}

// script is a table on a fake clock.
type script struct {
	clock    *fakeclock.Clock
	table    *notice.Table
	registry *prometheus.Registry
	logs     *observer.ObservedLogs
}

func (s *script) start(t *testing.T, d *datadriven.TestData) {
	capacity := 0
	var random string
	d.ScanArgs(t, "capacity", &capacity)
	d.ScanArgs(t, "random", &random)
	var x float64
	if _, err := fmt.Sscan(random, &x); err != nil {
		d.Fatalf(t, "%q: %v", random, err)
	}
	core, logs := observer.New(zap.InfoLevel)
	s.clock, s.logs, s.registry = fakeclock.New(fakeclock.Start), logs, prometheus.NewRegistry()
	s.table = notice.New(s.clock, zap.New(core), notice.WithCapacity(capacity), notice.WithRandom(func() float64 { return x }))
	s.registry.MustRegister(s.table.Collector())
}

func (s *script) execute(t *testing.T, line string) string {
	fields := strings.Fields(line)
	switch fields[0] {
	case "leaving":
		s.table.RecordLeaving(parseUpstream(t, fields[1]))
	case "pause":
		s.table.RecordPause(parseUpstream(t, fields[1]), parseDuration(t, fields[2]))
	case "advance":
		s.clock.Advance(parseDuration(t, fields[1]))
	case "sweep":
		known := make(map[fleet.UpstreamID]fleet.Incarnation)
		for _, f := range fields[1:] {
			u := parseUpstream(t, f)
			known[u.ID] = u.Incarnation
		}
		s.table.Sweep(func(id fleet.UpstreamID) (fleet.Incarnation, bool) {
			n, ok := known[id]
			return n, ok
		})
	case "state":
		var b strings.Builder
		for _, f := range fields[1:] {
			b.WriteString(f + ": " + s.state(parseUpstream(t, f)) + "\n")
		}
		return b.String()
	case "metrics":
		return s.metrics(t)
	default:
		t.Fatalf("unknown command %q", line)
	}
	return ""
}

func (s *script) state(u notice.Upstream) string {
	end, blocked := s.table.Blocked(u)
	text := "free"
	switch {
	case blocked && end.IsZero():
		text = "blocked without end"
	case blocked:
		text = fmt.Sprintf("blocked for %s", end.Sub(s.clock.Now()))
	}
	return fmt.Sprintf("%s, share %v, drawn %t, leaves %t", text, s.table.Share(u), s.table.Draw(u), s.table.Leaves(u))
}

func (s *script) metrics(t *testing.T) string {
	families, err := s.registry.Gather()
	is.New(t).NoErr(err)
	var b strings.Builder
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if v := m.GetGauge().GetValue() + m.GetCounter().GetValue(); v != 0 {
				fmt.Fprintf(&b, "%s %s %v\n", f.GetName(), m.GetLabel()[0].GetValue(), v)
			}
		}
	}
	return b.String()
}

func (s *script) newLogLines() string {
	var lines []string
	for _, e := range s.logs.TakeAll() {
		m := e.ContextMap()
		line := fmt.Sprintf("log: %s %v/%v %v", e.Message, m["upstream"], m["incarnation"], m["reason"])
		if why, ok := m["why"]; ok {
			line += fmt.Sprintf(" %v after %v", why, m["after"])
		}
		lines = append(lines, line+"\n")
	}
	slices.Sort(lines) // a table has no order
	return strings.Join(lines, "")
}

func parseUpstream(t *testing.T, s string) notice.Upstream {
	id, n, _ := strings.Cut(s, "/")
	u := notice.Upstream{ID: fleet.UpstreamID(id)}
	if _, err := fmt.Sscan(n, &u.Incarnation); err != nil {
		t.Fatalf("%q: %v", s, err)
	}
	return u
}

func parseDuration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against metrics that a registry refuses.
func TestCollectorIsConsistent(t *testing.T) {
	problems, err := testutil.CollectAndLint(notice.New(fakeclock.New(fakeclock.Start), zap.NewNop()).Collector())
	is.New(t).NoErr(err)
	is.New(t).Equal(len(problems), 0)
}
