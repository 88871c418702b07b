package listener

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestStop guards against requests that a stop aborts: those whose head becomes complete
// after its start, those in the accept queue, those on keep-alive connections and those
// whose responses take long. It also guards against a stop that does not end, and one
// that does not report which requests it aborted.
func TestStop(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var h *harness
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "serve" {
				h = newHarness(t)
				return "ok\n"
			}
			var name string
			if len(d.CmdArgs) > 0 {
				name = d.CmdArgs[0].Key
			}
			return h.step(t, d, name) + "\n"
		})
	})
}

// harness holds a server, the stop in progress and clients with one connection each.
type harness struct {
	server  *Server
	address string
	timer   clock
	started chan struct{} // receives a value when a handler of /hold or /body starts
	release chan struct{} // closed to let the handlers of /hold write their responses
	expire  context.CancelFunc
	stopped chan error
	log     bytes.Buffer
	clients map[string]*client
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

const (
	partialHead = "GET / HTTP/1.1\r\nHo"
	restOfHead  = "st: h\r\n\r\n"
	partialPost = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"
	restOfBody  = "dy"
	holdRequest = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
)

func newHarness(t *testing.T) *harness {
	l, err := Listen("test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		address: l.Addr().String(), timer: make(clock), started: make(chan struct{}), release: make(chan struct{}),
		stopped: make(chan error, 1), clients: make(map[string]*client),
	}
	m := http.NewServeMux()
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	m.HandleFunc("/hold", func(w http.ResponseWriter, _ *http.Request) {
		h.started <- struct{}{}
		<-h.release
		_, _ = io.WriteString(w, "answer")
	})
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&h.log), zap.InfoLevel)
	m.HandleFunc("/body", func(w http.ResponseWriter, q *http.Request) {
		h.started <- struct{}{}
		b, err := io.ReadAll(q.Body)
		if err != nil || string(b) != "body" {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	h.server = New("test", l, &http.Server{Handler: m}, h.timer, zap.New(core))
	t.Cleanup(func() { _ = h.server.http.Close() })
	return h
}

func (h *harness) step(t *testing.T, d *datadriven.TestData, name string) string {
	c := h.clients[name]
	switch d.Cmd {
	case "connect":
		n, err := net.Dial("tcp", h.address)
		if err != nil {
			return "refused"
		}
		t.Cleanup(func() { _ = n.Close() })
		h.clients[name] = &client{Conn: n, reader: bufio.NewReader(n)}
		await(func() bool { return h.count(func(*conn) bool { return true }) == len(h.clients) })
	case "send-partial-head":
		// The server may notice the end of the previous response later than the client.
		await(func() bool { return h.count((*conn).inUse) == 0 })
		c.send(partialHead)
		await(func() bool { return h.count((*conn).inUse) == 1 })
	case "send-rest-of-head":
		c.send(restOfHead)
	case "get":
		c.send(partialHead + restOfHead)
	case "send-partial-post":
		c.send(partialPost)
		<-h.started
	case "send-rest-of-body":
		c.send(restOfBody)
	case "hold":
		c.send(holdRequest)
		<-h.started
	case "release":
		close(h.release)
	case "response":
		out := c.readResponse()
		if out != "kept" {
			delete(h.clients, name)
		}
		return out
	case "drain":
		h.server.Drain()
	case "stop":
		ctx, cancel := context.WithCancel(context.Background())
		h.expire = cancel
		go func() { h.stopped <- h.server.Stop(ctx) }()
		<-h.server.acceptDone
	case "close-idle":
		h.timer <- time.Time{}
		await(func() bool {
			h.server.mu.Lock()
			defer h.server.mu.Unlock()
			return h.server.idleClosed
		})
	case "expire":
		h.expire()
	case "stopped":
		err := <-h.stopped
		if err == nil {
			return h.log.String() + "ok"
		}
		return h.log.String() + err.Error()
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return "ok"
}

// count returns the number of the server's connections for which f returns true.
func (h *harness) count(f func(*conn) bool) int {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	n := 0
	for c := range h.server.conns {
		if f(c) {
			n++
		}
	}
	return n
}

func (c *client) send(s string) { _, _ = io.WriteString(c, s) } // readResponse reports a failure

// readResponse reads a response and returns what happens to the connection.
func (c *client) readResponse() string {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "no response"
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut off"
	}
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	if response.Close {
		return "closed"
	}
	return "kept"
}

func await(f func() bool) {
	for !f() {
		time.Sleep(time.Millisecond)
	}
}

// clock is a fleet.Clock on which a wait ends when the test sends a time.
type clock chan time.Time

func (c clock) Now() time.Time                       { return time.Time{} }
func (c clock) After(time.Duration) <-chan time.Time { return c }

// TestBacklogIsAccepted guards against resetting connections that the kernel has already
// accepted for the process when the listener closes.
func TestBacklogIsAccepted(t *testing.T) {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	const queued = 20
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	q := &backlogListener{TCPListener: l}
	q.startDrain()
	n := 0
	for ; ; n++ {
		c, err := q.Accept()
		if err != nil {
			is.True(errors.Is(err, net.ErrClosed))
			break
		}
		defer func() { _ = c.Close() }()
	}
	is.Equal(n, queued)
}

// TestDrain guards against a connection that is kept open after a response whose head is
// written during a graceful stop, however the handler writes it and whenever the request
// began.
func TestDrain(t *testing.T) {
	for name, write := range map[string]func(w http.ResponseWriter){
		"head":    func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
		"body":    func(w http.ResponseWriter) { _, _ = io.WriteString(w, "answer") },
		"flush":   func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
		"nothing": func(http.ResponseWriter) {},
		"continue": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusOK)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Server{changed: make(chan struct{}, 1), requests: make(map[*http.Request]struct{})}
			connectionHeader := func(drain bool) string {
				w := httptest.NewRecorder()
				s.trackRequests(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if drain {
						s.Drain()
					}
					write(w)
				})).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
				return w.Header().Get("Connection")
			}
			is.Equal(connectionHeader(false), "")
			is.Equal(connectionHeader(true), "close")
			is.Equal(connectionHeader(false), "close")
		})
	}
}

// TestFailure guards against a listener that fails without reporting it, and against a
// stop that is reported as a failure.
func TestFailure(t *testing.T) {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	failed := make(chan error, 1)
	s := New("test", l, &http.Server{}, make(clock), zap.NewNop(), WithFailureHandler(func(err error) { failed <- err }))
	_ = l.Close()
	err = <-failed
	is.True(err != nil)
	is.True(fmt.Sprint(err) != "")
	is.NoErr(s.Stop(context.Background()))
	is.Equal(len(failed), 0)
}
