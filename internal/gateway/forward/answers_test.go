package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestInvalidAnswers guards against answers that are no valid HTTP and reach a
// client, in part or framed as whole. The input of a case is the answer that the first
// upstream writes before it closes the connection, with the escapes of Go; line ends are
// written out. The next upstream gives a proper answer. Each case is run on all kinds of
// routes and as the continuation of a broken stream. Commands:
//
//	answer  the outcome on new and on reused connections
//	cuts    the outcomes if the answer ends early, at every cutStep bytes and before the last
//
// The output is one of the outcomes below, or what the clients got instead.
func TestInvalidAnswers(t *testing.T) {
	datadriven.Walk(t, "testdata/answers", func(t *testing.T, file string) {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			answer, err := strconv.Unquote(`"` + strings.ReplaceAll(strings.ReplaceAll(d.Input, `"`, `\"`), "\n", "") + `"`)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			if d.Cmd == "cuts" {
				return outcomesOfCuts(t, answer)
			}
			fresh, reused := outcomeOf(t, answer, false), outcomeOf(t, answer, true)
			if fresh != reused {
				return fresh + "reused connections:\n" + reused
			}
			return fresh
		})
	})
}

// cutStep is the step between the lengths of the beginnings of an answer. Each gateway takes
// ports that stay in use for a minute, so that other tests would run out of them if there
// were one for each byte. TestResponseEndsEarly of package exchange cuts at each byte.
const cutStep = 9

// outcomesOfCuts returns the outcomes for beginnings of an answer, by the range of their
// lengths.
func outcomesOfCuts(t *testing.T, answer string) string {
	var lengths []int
	for n := 0; n < len(answer)-1; n += cutStep {
		lengths = append(lengths, n)
	}
	lengths = append(lengths, len(answer)-1)
	var out strings.Builder
	last, from, to := "", 0, 0
	for _, n := range lengths {
		var o string
		t.Run(strconv.Itoa(n), func(t *testing.T) { o = outcomeOf(t, answer[:n], false) })
		if o != last && last != "" {
			fmt.Fprintf(&out, "%d to %d bytes: %s", from, to, last)
			from = n
		}
		last, to = o, n
	}
	fmt.Fprintf(&out, "%d to %d bytes: %s", from, to, last)
	return out.String()
}

// outcomeOf returns the outcome for all kinds of requests whose first upstream writes answer.
func outcomeOf(t *testing.T, answer string, reused bool) string {
	var got []string
	for _, path := range []string{"/once/", "/again/", "/unary/", "/stream/", "/single/", "resumed"} {
		got = append(got, fmt.Sprintf("%s %s", path, receive(t, path, answer, reused)))
	}
	for _, o := range outcomes {
		if slices.Equal(got, o.paths) {
			return o.name + "\n"
		}
	}
	return strings.Join(got, "\n") + "\n"
}

// outcomes are the correct results for the kinds of routes.
var outcomes = []struct {
	name  string
	paths []string
}{
	{"failed over", []string{
		"/once/ 502, 1 sent",
		`/again/ 200 "id: 2\ndata: 2\n\n", 2 sent`,
		`/unary/ 200 "id: 2\ndata: 2\n\n", 2 sent`,
		`/stream/ 200 "id: 2\ndata: 2\n\n", 2 sent`,
		"/single/ 502, 1 sent",
		`resumed 200 "id: 0\ndata: 0\n\nid: 2\ndata: 2\n\n", 3 sent`,
	}},
	{"broken after the first event", []string{
		"/once/ 502, 1 sent",
		`/again/ 200 "id: 2\ndata: 2\n\n", 2 sent`,
		`/unary/ 200 "id: 2\ndata: 2\n\n", 2 sent`,
		`/stream/ 200 "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", 2 sent`,
		`/single/ 200 "id: 1\ndata: 1\n\n" cut, 1 sent`,
		`resumed 200 "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", 3 sent`,
	}},
}

// receive returns what a client receives if an upstream writes answer, and how many
// upstreams were tried. If reused is set, each upstream first answers a request on the
// connection. The path "resumed" is that of a stream whose first upstream breaks off after
// an event.
func receive(t *testing.T, path, answer string, reused bool) string {
	t.Helper()
	const upstreams = 3
	warmups, first := 0, 1
	var together sync.WaitGroup // requests that open connections, which overlap
	if reused {
		warmups = 2 * upstreams
	}
	if path == "resumed" {
		path, first = "/stream/", 2
	}
	w := newTestGateway(t, upstreams, func(n int, rw http.ResponseWriter, r *http.Request) {
		switch n -= warmups; {
		case n <= 0:
			together.Done()
			together.Wait()
			writeEvents(rw, 1, 1)
		case n < first:
			writeEvents(rw, 0, 0)
			abort()
		case n == first:
			writeRaw(rw, answer)
		default:
			writeEvents(rw, 2, 2)
		}
	})
	if reused {
		for _, path := range []string{"/again/", "/stream/"} {
			together.Add(upstreams)
			var posts sync.WaitGroup
			for range upstreams {
				posts.Go(func() { w.post(t, path, "k1") })
			}
			posts.Wait()
		}
	}
	status, _, body, complete := w.post(t, path, "k1")
	out := strconv.Itoa(status)
	if status == http.StatusOK {
		out += fmt.Sprintf(" %q", body)
	}
	if !complete {
		out += " cut"
	}
	return fmt.Sprintf("%s, %d sent", out, len(w.receivedHeaders())-warmups)
}

// writeRaw writes bytes to the connection of a request and closes it.
func writeRaw(rw http.ResponseWriter, text string) {
	c, b, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(b, text) // the test shows what arrived
	_ = b.Flush()
}
