package roster_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

// TestScripts guards against a leaving upstream that gets new work again, against new
// work after the heartbeat timeout, and against error responses that don't name the
// cause. The commands of the scripts are those of script.run.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	clock    *fakeclock.Clock
	roster   *roster.Roster
	handler  http.Handler
	revision uint64
}

func newScript(t *testing.T) *script {
	clock := fakeclock.New(fakeclock.Start)
	r, err := roster.New(roster.WithDataCentre("dc1"))
	is.New(t).NoErr(err)
	return &script{clock: clock, roster: r, handler: roster.NewHandler(r, clock, roster.WithToken("fleet token"))}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	now := s.clock.Now()
	switch d.Cmd {
	case "announce":
		return errorText(s.roster.Announce(announcement(t, d), now))
	case "merge":
		c := roster.AgedAnnouncement{Announcement: announcement(t, d), Age: duration(t, d, "age")}
		return fmt.Sprintf("refused %d\n", s.roster.Merge([]roster.AgedAnnouncement{c}, now))
	case "renew":
		a := announcement(t, d)
		s.roster.Renew([]roster.Renewal{{ID: a.ID, Incarnation: a.Incarnation, Age: duration(t, d, "age")}}, now)
		return ""
	case "resume":
		s.roster.RecordResume(now)
		return ""
	case "tick":
		s.roster.Tick(now)
		return ""
	case "advance":
		s.clock.Advance(duration(t, d, "by"))
		return ""
	case "usable":
		return list(s.roster.Usable("p", now), now)
	case "all":
		return list(s.roster.All(), now)
	case "updates":
		return s.updates(now)
	case "sweep":
		return fmt.Sprintf("forgot %d\n", s.roster.Sweep(now))
	case "post":
		return s.post(d)
	}
	return "unknown command\n"
}

func (s *script) updates(now time.Time) string {
	changed, revision := s.roster.Updates(s.revision, now)
	s.revision = revision
	var b strings.Builder
	for _, c := range changed {
		fmt.Fprintf(&b, "%s incarnation %d sequence %d %v age %v\n", c.ID, c.Incarnation, c.Sequence, c.State, c.Age)
	}
	return b.String()
}

func (s *script) post(d *datadriven.TestData) string {
	r := httptest.NewRequest(http.MethodPost, "/v1/announcements", strings.NewReader(d.Input))
	if d.HasArg("large") {
		r = httptest.NewRequest(http.MethodPost, "/v1/announcements", strings.NewReader(strings.Repeat(" ", 9<<10)))
	}
	if !d.HasArg("anonymous") {
		r.Header.Set("Authorization", "Bearer fleet token")
	}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return fmt.Sprintf("%d %s\n", w.Code, strings.TrimSpace(w.Body.String()))
}

func announcement(t *testing.T, d *datadriven.TestData) upstream.Announcement {
	a := upstream.Announcement{
		Incarnation: 1, Sequence: 1, Kind: upstream.Service, Address: "127.0.0.1:9000",
		DataCentre: "dc1", Pool: "p", Slots: 1,
	}
	if d.Input != "" {
		is.New(t).NoErr(json.Unmarshal([]byte(d.Input), &a))
	}
	return a
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	v, err := time.ParseDuration(text)
	is.New(t).NoErr(err)
	return v
}

func errorText(err error) string {
	if err == nil {
		return "ok\n"
	}
	return err.Error() + "\n"
}

func list(all []upstream.Upstream, now time.Time) string {
	if len(all) == 0 {
		return "none\n"
	}
	var b strings.Builder
	for _, u := range all {
		fmt.Fprintf(&b, "%s incarnation %d sequence %d %v %s age %v\n", u.ID, u.Incarnation, u.Sequence, u.State, u.Address, now.Sub(u.LastHeartbeat))
	}
	return b.String()
}

// TestSettings guards against a heartbeat timeout above the 3 s that the design allows.
func TestSettings(t *testing.T) {
	is := is.New(t)
	_, err := roster.New(roster.WithHeartbeatTimeout(4 * time.Second))
	is.True(err != nil)
	_, err = roster.New(roster.WithRetention(time.Second))
	is.True(err != nil)
}

// TestConcurrent guards against a leaving announcement that is lost while renewals,
// announcements and reads run concurrently. It is meant for the race detector.
func TestConcurrent(t *testing.T) {
	is := is.New(t)
	r, err := roster.New()
	is.NoErr(err)
	now := fakeclock.Start
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			a := numbered(i)
			is.NoErr(r.Announce(a, now))
			for j := range 200 {
				at := now.Add(time.Duration(j) * time.Millisecond)
				r.Renew([]roster.Renewal{{ID: a.ID, Incarnation: 1, Age: 0}}, at)
				a.Sequence++
				is.NoErr(r.Announce(a, at))
				r.Usable("p", at)
			}
			a.State = upstream.Leaving
			is.NoErr(r.Announce(a, now))
			r.Renew([]roster.Renewal{{ID: a.ID, Incarnation: 1, Age: 0}}, now.Add(time.Second))
		})
	}
	wg.Wait()
	is.Equal(len(r.All()), 16)
	is.Equal(len(r.Usable("p", now)), 0)
}

func numbered(i int) upstream.Announcement {
	return upstream.Announcement{
		ID: fleet.UpstreamID(fmt.Sprintf("u%04d", i)), Incarnation: 1, Sequence: 1,
		Address: "127.0.0.1:9000", Pool: "p", Slots: 1,
	}
}

func BenchmarkUsable(b *testing.B) {
	for _, n := range []int{14, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, _ := roster.New()
			for i := range n {
				_ = r.Announce(numbered(i), fakeclock.Start)
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(r.Usable("p", fakeclock.Start)) != n {
					b.Fatal("not all usable")
				}
			}
		})
	}
}
