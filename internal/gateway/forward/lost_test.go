package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a non-repeatable request that runs again, or is reported as not run,
// after its response was cut off at any byte.
func TestOrderWhoseAnswerIsLostAtAnyByte(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone"
	for _, reset := range []bool{false, true} {
		for cut := range len(answer) + 1 {
			t.Run(fmt.Sprintf("%d/%t", cut, reset), func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, r *http.Request) { writePartAndClose(rw, r, answer[:cut], reset) })
				status, _, body, complete := w.post(t, "/once/", "k1")
				is.True(complete)
				is.Equal(len(w.receivedHeaders()), 1)
				if status == http.StatusOK {
					is.Equal(cut, len(answer))
					is.Equal(body, "done")
					return
				}
				is.Equal(status, http.StatusBadGateway) // leaves open whether the request ran
				is.True(cut < len(answer) || reset)
			})
		}
	}
}

// writePartAndClose reads a request, writes a part of the response and closes the
// connection, either with a TCP reset or normally.
func writePartAndClose(rw http.ResponseWriter, r *http.Request, part string, reset bool) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, part)
	if t, ok := c.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against streams without a length or chunks that end within an event, or with a
// reset, and are forwarded as complete, and against events that are missing or come twice
// after the stream has failed over.
func TestStreamWithoutLengthIsCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\n"
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	whole := head + events[0] + events[1]
	for _, reset := range []bool{false, true} {
		for cut := range len(whole) + 1 {
			t.Run(fmt.Sprintf("%d/%t", cut, reset), func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
					if n == 1 {
						writePartAndClose(rw, r, whole[:cut], reset)
						return
					}
					last, _ := strconv.Atoi(r.Header.Get("After"))
					respond(rw, strings.Join(events[last:], ""))
				})
				status, _, body, complete := w.post(t, "/stream/", "k1")
				is.Equal(status, http.StatusOK)
				is.True(complete)
				if !reset && cut == len(head)+len(events[0]) {
					is.Equal(body, events[0]) // it ended between events
					return
				}
				is.Equal(body, events[0]+events[1])
			})
		}
	}
}

// Guards against an event with the ID 0 that the client gets twice, or that is taken for
// no event, when the engine is lost after it.
func TestStreamFailsOverAfterFirstEvent(t *testing.T) {
	for first := range 3 {
		is := is.New(t)
		w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				writeEvents(rw, first, first)
				abort()
			}
			writeEvents(rw, first, first+2) // an engine may send more than it was asked for
		})
		status, _, body, complete := w.post(t, "/stream/", "k1")
		is.Equal(status, http.StatusOK)
		is.True(complete)
		var want strings.Builder
		for i := first; i <= first+2; i++ {
			fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", i, i)
		}
		is.Equal(body, want.String())
		is.Equal(w.receivedHeaders()[1].Get("After"), strconv.Itoa(first))
	}
}

// Guards against an event without an ID that the client gets twice, because the engine is
// lost after it and another one starts over.
func TestStreamWithoutEventIDsIsNotContinued(t *testing.T) {
	for _, c := range []struct {
		events    string
		continued bool
	}{
		{events: "data: a\n\n"},
		{events: "id: 1\ndata: a\n\ndata: b\n\n"},
		{events: ": comment\n\n", continued: true},
		{events: "retry: 10\ndata: a\n\nid: 1\ndata: b\n\n", continued: true},
	} {
		is := is.New(t)
		w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				respond(rw, c.events)
				_ = http.NewResponseController(rw).Flush()
				abort()
			}
			writeEvents(rw, 2, 2)
		})
		status, _, body, complete := w.post(t, "/stream/", "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(complete, c.continued)
		is.Equal(len(w.receivedHeaders()) > 1, c.continued)
		is.True(strings.HasPrefix(body, c.events))
	}
}

// Guards against the error of an engine that reaches the client in the middle of a stream,
// or ends it as if it were complete: the stream breaks after its first event, and each
// further engine answers with an error.
func TestErrorDoesNotContinueStream(t *testing.T) {
	const sealed = "Id: 1\r\nSeal: s\r\n"
	const first = "id: 1\ndata: a\n\n"
	for name, answer := range map[string]string{
		"status 500":          "HTTP/1.1 500 E\r\n" + sealed + "Content-Length: 16\r\n\r\nid: 2\ndata: e\n\n\n",
		"status 400":          "HTTP/1.1 400 E\r\n" + sealed + "Content-Length: 7\r\n\r\nerror\n\n",
		"status 404 no body":  "HTTP/1.1 404 E\r\n" + sealed + "Content-Length: 0\r\n\r\n",
		"status 204":          "HTTP/1.1 204 N\r\n" + sealed + "\r\n",
		"status 503 refused":  "HTTP/1.1 503 S\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"status 503 sealed":   "HTTP/1.1 503 S\r\n" + sealed + "Content-Length: 7\r\n\r\nerror\n\n",
		"no seal":             "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 2\ndata: e\n\n\n",
		"JSON":                "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"error\":\"e\"}",
		"JSON and blank line": "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n{\"error\":\"e\"}\n\n",
		"other type":          "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: text/plain\r\nContent-Length: 15\r\n\r\nid: 2\ndata: e\n\n",
		"other type, empty":   "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
		"no type, empty":      "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 0\r\n\r\n",
		"end after head":      "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: text/event-stream\r\n\r\n",
		"head as event":       "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: text/event-stream\r\n\r\nHTTP/1.1 500 E\r\nContent-Length: 5\r\n\r\nerror",
		"not HTTP":            "error\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
				if n == 1 {
					rw.Header().Set("Content-Type", "text/event-stream")
					respond(rw, first)
					_ = http.NewResponseController(rw).Flush()
					abort()
				}
				writePartAndClose(rw, r, answer, false)
			})
			status, _, body, complete := w.post(t, "/stream/", "k1")
			is.Equal(status, http.StatusOK)
			is.Equal(body, first)
			is.True(!complete)
			is.True(len(w.receivedHeaders()) > 1)
		})
	}
}

// Guards against an empty response with status 200 for a client that leaves by closing its
// own direction of the connection while an upstream works on its request.
func TestClientThatEndsItsDirectionGetsNoAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/", "/single/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan struct{}, 1)
			w := newTestGateway(t, 1, func(_ int, _ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				arrived <- struct{}{}
				<-r.Context().Done()
			})
			c, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nBudget: 20000\r\nContent-Length: 5\r\n\r\norder", path)
			is.NoErr(err)
			<-arrived
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			answer, _ := io.ReadAll(c) // may end with a reset
			is.Equal(string(answer), "")
		})
	}
}
