package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// stallDuration is how long an upstream with the behaviour "stall" sends nothing. In this
// time a stream of the route "brisk" is checked at least once, and not as often as it takes
// to fail over without a finding.
const stallDuration = 500 * time.Millisecond

// waitStep is the step by which the clock advances while the gateway waits for it.
const waitStep = 40 * time.Millisecond

// TestNotices guards against requests that reach an upstream which has said that it is
// leaving or asked for a pause, on each way that a request can take, against clients that
// wait or are refused although another upstream could serve them, and against effects on
// upstreams that said nothing. The scripts run on a fake clock, once without and once with
// admission control, and must have the same results. Commands:
//
//	gateway upstreams=N        a new gateway; the input gives the layers of engines; with
//	                           admission=never or admission=always the same in both runs
//	mark [id=X] [same] FLAGS   an upstream behaves as the flags say from now on: the one that
//	                           receives the next request, X, or the same as before
//	layers                     the input gives the layers of engines
//	send path=P count=N        N requests, one after the other
//	share path=P count=N       N requests, of which only the share of the marked upstream counts
//	overtake path=P by=Q       a request, and one to Q that is answered between the choice
//	                           of the upstream for the first one and its connection
//	active id=X N              all gateways together have N streams on the engine X
//	advance D                  all upstreams send heartbeats afterwards
//	restart                    the marked upstream starts again under its id and address
//
// The flags are answer, refuse (not run), fail (503), error (500), misdirect (421), break and
// stall (after the first event of a stream), othersBreak, once (for the next request only),
// and leaving, pause=D and at=ID for the headers. With probeLeaving only responses to probes
// say that the upstream is leaving. The output has the status of each
// response, how many requests the marked upstream and the others received, how many of
// these the marked one had a later part in, and whether engines were probed.
func TestNotices(t *testing.T) {
	datadriven.Walk(t, "testdata/notices", func(t *testing.T, file string) {
		for _, m := range []quota.Mode{quota.Never, quota.Always} {
			t.Run(m.String(), func(t *testing.T) {
				var s *noticeScript
				datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
					if d.Cmd == "gateway" {
						s = newNoticeScript(t, d, m)
						return ""
					}
					return s.execute(t, d)
				})
			})
		}
	})
}

// bootClock adds the time since the machine started to a fake clock.
type bootClock struct{ *fakeclock.Clock }

func (c bootClock) Boot() time.Duration { return c.Now().Sub(fakeclock.Start) + time.Hour }

// noticeScript is a gateway with one marked upstream.
type noticeScript struct {
	*testGateway
	fake *fakeclock.Clock

	mu       sync.Mutex
	marked   fleet.UpstreamID
	pending  bool // the upstream that receives the next request is marked
	flags    map[string]string
	requests map[bool]int // by whether the upstream is marked
	later    int          // requests to others with the marked upstream later in the path
}

func newNoticeScript(t *testing.T, d *datadriven.TestData, m quota.Mode) *noticeScript {
	n := 0
	d.ScanArgs(t, "upstreams", &n)
	if d.HasArg("admission") {
		var name string
		d.ScanArgs(t, "admission", &name)
		var err error
		if m, err = quota.ParseMode(name); err != nil {
			d.Fatalf(t, "%v", err)
		}
	}
	s := &noticeScript{fake: fakeclock.New(fakeclock.Start), requests: make(map[bool]int)}
	s.testGateway = newTestGatewayWithClock(t, n, s.serve, budget.Limit{Share: 1, Extra: 1000, Window: 10 * time.Second}, bootClock{s.fake}, state.WithAdmission(m))
	s.setLayers(t, d)
	return s
}

func (s *noticeScript) setLayers(t *testing.T, d *datadriven.TestData) {
	for line := range strings.Lines(d.Input) {
		var id fleet.UpstreamID
		var from, to int
		if _, err := fmt.Sscan(line, &id, &from, &to); err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		for i, e := range s.update.Entries {
			if e.ID == id {
				s.update.Entries[i].Layers = upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)}
			}
		}
	}
	s.heartbeat()
}

// at returns the upstream at an address.
func (s *noticeScript) at(address string) fleet.UpstreamID {
	for _, e := range s.update.Entries {
		if e.Address == address {
			return e.ID
		}
	}
	return ""
}

func (s *noticeScript) address(id string) string {
	for _, e := range s.update.Entries {
		if string(e.ID) == id {
			return e.Address
		}
	}
	return id
}

func (s *noticeScript) execute(t *testing.T, d *datadriven.TestData) string {
	path, other, count := "", "", 1
	d.MaybeScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "by", &other)
	d.MaybeScanArgs(t, "count", &count)
	switch d.Cmd {
	case "mark":
		s.mark(d)
		return ""
	case "layers":
		s.setLayers(t, d)
		return ""
	case "active":
		id := ""
		d.ScanArgs(t, "id", &id)
		n, err := strconv.Atoi(d.CmdArgs[1].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.update.Sums = &usage.Report{Gateways: 1, Upstreams: []usage.UpstreamStats{{ID: fleet.UpstreamID(id), Active: n}}}
		s.receiveSums()
		return ""
	case "advance":
		n, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.fake.Advance(n)
		s.update.Confirmed = s.clock.Boot()
		s.heartbeat()
		return ""
	case "restart":
		for i, e := range s.update.Entries {
			if e.ID == s.marked {
				s.update.Entries[i].Incarnation++
			}
		}
		s.heartbeat()
		return ""
	case "overtake":
		var first string
		s.beforeNextDial(func() { first = s.send(t, other) })
		second := s.send(t, path)
		return first + " overtook " + second + "\n" + s.counts()
	case "share":
		for range count {
			s.send(t, path)
		}
		return s.share(count)
	case "send":
		responses := make(map[string]int)
		for range count {
			responses[s.send(t, path)]++
		}
		var lines []string
		for r, n := range responses {
			lines = append(lines, fmt.Sprintf("%d x %s\n", n, r))
		}
		slices.Sort(lines)
		return strings.Join(lines, "") + s.counts()
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return ""
}

func (s *noticeScript) mark(d *datadriven.TestData) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flags = make(map[string]string)
	if !d.HasArg("same") {
		s.marked, s.pending = "", true
	}
	for _, a := range d.CmdArgs {
		value := "1"
		if len(a.Vals) > 0 {
			value = a.Vals[0]
		}
		if a.Key == "id" {
			s.marked, s.pending = fleet.UpstreamID(value), false
			continue
		}
		s.flags[a.Key] = value
	}
	s.probeReply.Store(&gateway.ResponseHeaders{Leaving: s.flags["probeLeaving"] != ""})
}

// beforeNextDial calls f before the next connection to an upstream is opened. Connections
// that f itself needs are opened as usual.
func (s *noticeScript) beforeNextDial(f func()) {
	var once func()
	once = func() {
		if s.beforeDial.CompareAndSwap(&once, nil) {
			f()
		}
	}
	s.beforeDial.Store(&once)
}

// advanceWhileWaiting advances the clock in steps while the gateway waits for it, until done
// is closed.
func (s *noticeScript) advanceWhileWaiting(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			if s.fake.Waiters() > 0 {
				s.fake.Advance(waitStep)
			}
		}
	}
}

// receiveSums delivers sums of all gateways that do not count the requests of the script,
// which have ended. Otherwise these would fill the engines, because no time passes.
func (s *noticeScript) receiveSums() {
	s.receive(feed.Update{Sums: s.update.Sums})
}

// send makes a request and describes the response.
func (s *noticeScript) send(t *testing.T, path string) string {
	done := make(chan struct{})
	go s.advanceWhileWaiting(done)
	start := s.fake.Now()
	status, header, body, complete := s.post(t, path, "k1")
	close(done)
	s.receiveSums()
	text := strconv.Itoa(status)
	if waited := s.fake.Now().Sub(start); waited > 0 {
		text += fmt.Sprintf(" after %s", waited)
	}
	if !complete {
		text += " broken"
	}
	if status == http.StatusOK {
		return text + fmt.Sprintf(" with %d events", strings.Count(body, "data:"))
	}
	text += " " + body
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	switch {
	case err != nil:
		return text + ", Retry-After " + header.Get("Retry-After")
	case seconds <= 1:
		return text + ", Retry-After up to 1 s" // drawn at random
	}
	return text + fmt.Sprintf(", Retry-After %.2f s", seconds)
}

// share tells whether the marked upstream got about 1/8 of the requests. The bounds are 4.5
// and 7.5 standard deviations from it with 400 requests.
func (s *noticeScript) share(count int) string {
	s.mu.Lock()
	n := s.requests[true]
	s.mu.Unlock()
	s.counts()
	if n >= count/20 && n <= count/4 {
		return "about 1/8\n"
	}
	return fmt.Sprintf("%d of %d\n", n, count)
}

// counts returns and resets the numbers of requests and probes.
func (s *noticeScript) counts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	probes := "none"
	if s.probes.Swap(0) > 0 {
		probes = "some"
	}
	text := fmt.Sprintf("marked: %d, others: %d, of these marked later in the path: %d, probes: %s\n", s.requests[true], s.requests[false], s.later, probes)
	clear(s.requests)
	s.later = 0
	return text
}

// serve handles a request to any upstream.
func (s *noticeScript) serve(_ int, rw http.ResponseWriter, r *http.Request) {
	id := s.at(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	s.mu.Lock()
	if s.pending {
		s.marked, s.pending = id, false
	}
	marked := id == s.marked
	s.requests[marked]++
	flags := s.flags
	if !marked {
		if slices.Contains(r.Header.Values("Engines"), string(s.marked)) {
			s.later++
		}
		flags = map[string]string{"break": s.flags["othersBreak"]}
	}
	if marked && flags["once"] != "" {
		s.flags = nil
	}
	s.mu.Unlock()
	rw.Header().Set("Id", "1")
	for flag, name := range map[string]string{"leaving": "Leaving", "pause": "Pause"} {
		if flags[flag] != "" {
			rw.Header().Set(name, flags[flag])
		}
	}
	if at := flags["at"]; at != "" {
		rw.Header().Set("At", s.address(at))
	}
	s.answer(rw, r, flags)
}

func (s *noticeScript) answer(rw http.ResponseWriter, r *http.Request, flags map[string]string) {
	switch {
	case flags["refuse"] != "":
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case flags["misdirect"] != "":
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Seal", "s")
	rw.Header().Set("Content-Type", "text/event-stream")
	switch {
	case flags["fail"] != "":
		rw.Header().Set("Retry-After", "7")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case flags["error"] != "":
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("After"))
	for i := first + 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", i, i)
		_ = http.NewResponseController(rw).Flush()
		if flags["break"] != "" {
			abort()
		}
		if flags["stall"] != "" && i == 1 {
			time.Sleep(stallDuration)
		}
	}
}
