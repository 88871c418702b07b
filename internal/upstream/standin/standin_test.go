package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// TestScripts runs each script of testdata against a stand-in of its own. It guards
// against a step that runs twice, a stale epoch or fencing token that is
// accepted, and events, loads and roles that are visible too early.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := fakeclock.New(fakeclock.Start)
		var record bytes.Buffer
		var s *standin.Standin
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "new":
				var c standin.Config
				decode(t, d, &c)
				c.Recorder, c.Clock = standin.NewRecorder(&record), clock
				s = standin.New(c)
				t.Cleanup(s.Close)
				return ""
			case "advance":
				var seconds int
				d.ScanArgs(t, "s", &seconds)
				clock.Advance(time.Duration(seconds) * time.Second)
				return ""
			case "leave":
				s.Leave()
				return ""
			case "announce":
				a := s.NextAnnouncement()
				return fmt.Sprintf("seq %d %s %s/%s %d:%d running %d age %s\n", a.Sequence, a.State,
					a.Model, a.Version, a.Layers.From, a.Layers.To, a.Load.Running, age(clock, a))
			case "record":
				runs, err := standin.ReadRuns(bytes.NewReader(record.Bytes()))
				if err != nil {
					t.Fatal(err)
				}
				text := record.String() + fmt.Sprintf("steps %v, once %v\n", standin.CheckSteps(runs), standin.CheckAtMostOnce(runs))
				return text
			default:
				return request(s, d)
			}
		})
	})
}

func decode(t *testing.T, d *datadriven.TestData, v any) {
	decoder := json.NewDecoder(strings.NewReader(d.Input))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		d.Fatalf(t, "%v", err)
	}
}

func age(clock *fakeclock.Clock, a upstream.Announcement) string {
	if a.Load.At.IsZero() {
		return "none"
	}
	return clock.Now().Sub(a.Load.At).String()
}

// request sends the input to the path in the first argument of the command. The
// second argument, if any, is the idempotency key. A panic of the handler is
// reported as a closed connection.
func request(s *standin.Standin, d *datadriven.TestData) (text string) {
	defer func() {
		if recover() != nil {
			text = "connection closed\n"
		}
	}()
	r := httptest.NewRequest(strings.ToUpper(d.Cmd), d.CmdArgs[0].String(), strings.NewReader(d.Input))
	if len(d.CmdArgs) > 1 {
		r.Header.Set("Idempotency-Key", d.CmdArgs[1].Key)
	}
	r.RemoteAddr = "127.0.0.1:1"
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return fmt.Sprintf("%d %s", w.Code, w.Body)
}

// TestCallBodyLimit guards against a call that runs with a truncated body when the
// body exceeds the limit.
func TestCallBodyLimit(t *testing.T) {
	is := is.New(t)
	var record bytes.Buffer
	s := standin.New(standin.Config{
		Announcement: upstream.Announcement{ID: "s", Kind: upstream.Service},
		Clock:        fakeclock.New(fakeclock.Start), Recorder: standin.NewRecorder(&record),
	})
	defer s.Close()
	for size, status := range map[int]int{16 << 20: http.StatusOK, 16<<20 + 1: http.StatusRequestEntityTooLarge} {
		record.Reset()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders", bytes.NewReader(make([]byte, size))))
		is.Equal(w.Code, status)
		is.Equal(record.Len() > 0, status == http.StatusOK)
	}
}

// TestBatches guards against a batch that exceeds its limit and against a step of
// low priority that runs before one of high priority.
func TestBatches(t *testing.T) {
	is := is.New(t)
	clock := fakeclock.New(fakeclock.Start)
	var record bytes.Buffer
	a := upstream.Announcement{ID: "e", Slots: 2, Layers: upstream.LayerRange{To: 1}}
	s := standin.New(standin.Config{
		Announcement: a, TotalLayers: 1, StepTime: time.Second,
		Clock: clock, Recorder: standin.NewRecorder(&record),
	})
	defer s.Close()
	done := make(chan int, 8)
	send := func(request string, priority int) {
		body := fmt.Sprintf(`{"request":%q,"epoch":1,"layers":{"to":1},"priority":%d,"input":[1]}`, request, priority)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/steps", strings.NewReader(body)))
		done <- w.Code
	}
	go send("first", 0)
	waitFor(t, func() bool { return clock.Waiters() == 1 })
	for i, request := range []string{"low1", "low2", "high1", "high2"} {
		go send(request, i/2)
		waitFor(t, func() bool { return s.ActiveRequests() == i+2 })
	}
	for _, batch := range []int{1, 2, 2} {
		waitFor(t, func() bool { return clock.Waiters() == 1 })
		clock.Advance(time.Second)
		for range batch {
			is.Equal(<-done, http.StatusOK)
		}
	}
	runs, err := standin.ReadRuns(&record)
	is.NoErr(err)
	var order []string
	for _, r := range runs {
		order = append(order, string(r.Request))
	}
	is.Equal(order, []string{"first", "high1", "high2", "low1", "low2"})
}

// waitFor polls a condition that another goroutine is about to make true. It fails
// the test after 10000 polls, when the test would otherwise hang.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Fatal("condition not met after 10000 polls")
}

// TestChecks guards against checks that miss a repeated position, a missing
// position, or a call on an at-most-once path that ran twice.
func TestChecks(t *testing.T) {
	is := is.New(t)
	step := func(epoch, position, count int) standin.Run {
		var r standin.Run
		line := fmt.Sprintf(`{"what":"step","request":"r","epoch":%d,"position":%d,"count":%d,"layers":{"to":2}}`, epoch, position, count)
		is.NoErr(json.Unmarshal([]byte(line), &r))
		return r
	}
	is.NoErr(standin.CheckSteps([]standin.Run{step(1, 0, 3), step(2, 0, 4), step(1, 3, 1)}))
	is.True(standin.CheckSteps([]standin.Run{step(1, 0, 3), step(1, 2, 1)}) != nil) // repeated
	is.True(standin.CheckSteps([]standin.Run{step(1, 0, 3), step(1, 4, 1)}) != nil) // gap
	call := standin.Run{Kind: "call", Method: "POST", Path: "/orders", Key: "k", AtMostOnce: true}
	is.NoErr(standin.CheckAtMostOnce([]standin.Run{call}))
	is.True(standin.CheckAtMostOnce([]standin.Run{call, call}) != nil)
}
