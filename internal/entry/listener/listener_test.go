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

// TestStop guards against requests that a stop cuts off: those whose head becomes
// complete after it began, those in the accept queue, those on kept connections, and
// those whose answers are not ready. It also guards against a stop that does not end
// and one that hides what it cut off.
func TestStop(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r *rig
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "serve" {
				r = newRig(t)
				return "ok\n"
			}
			var name string
			if len(d.CmdArgs) > 0 {
				name = d.CmdArgs[0].Key
			}
			return r.step(t, d, name) + "\n"
		})
	})
}

// rig is a server, a stop in progress and clients with a connection each.
type rig struct {
	server  *Server
	address string
	linger  clock
	begun   chan struct{} // gets a token when the handler of /hold begins
	release chan struct{} // lets the handlers of /hold write their answers
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
	half = "GET / HTTP/1.1\r\nHo"
	rest = "st: h\r\n\r\n"
	post = "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"
	body = "dy"
	hold = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
)

func newRig(t *testing.T) *rig {
	l, err := Listen("test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{
		address: l.Addr().String(), linger: make(clock), begun: make(chan struct{}), release: make(chan struct{}),
		stopped: make(chan error, 1), clients: make(map[string]*client),
	}
	m := http.NewServeMux()
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	m.HandleFunc("/hold", func(w http.ResponseWriter, _ *http.Request) {
		r.begun <- struct{}{}
		<-r.release
		_, _ = io.WriteString(w, "answer")
	})
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&r.log), zap.InfoLevel)
	m.HandleFunc("/body", func(w http.ResponseWriter, q *http.Request) {
		r.begun <- struct{}{}
		b, err := io.ReadAll(q.Body)
		if err != nil || string(b) != "body" {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	r.server = New("test", l, &http.Server{Handler: m}, r.linger, zap.New(core))
	t.Cleanup(func() { _ = r.server.http.Close() })
	return r
}

func (r *rig) step(t *testing.T, d *datadriven.TestData, name string) string {
	c := r.clients[name]
	switch d.Cmd {
	case "connect":
		n, err := net.Dial("tcp", r.address)
		if err != nil {
			return "refused"
		}
		t.Cleanup(func() { _ = n.Close() })
		r.clients[name] = &client{Conn: n, reader: bufio.NewReader(n)}
		await(func() bool { return r.count(func(*conn) bool { return true }) == len(r.clients) })
	case "half":
		// The end of the answer before may come later at the server than at the client.
		await(func() bool { return r.count((*conn).inUse) == 0 })
		c.send(half)
		await(func() bool { return r.count((*conn).inUse) == 1 })
	case "rest":
		c.send(rest)
	case "get":
		c.send(half + rest)
	case "post":
		c.send(post)
		<-r.begun
	case "body":
		c.send(body)
	case "hold":
		c.send(hold)
		<-r.begun
	case "release":
		close(r.release)
	case "answer":
		out := c.answer()
		if out != "kept" {
			delete(r.clients, name)
		}
		return out
	case "drain":
		r.server.Drain()
	case "stop":
		ctx, cancel := context.WithCancel(context.Background())
		r.expire = cancel
		go func() { r.stopped <- r.server.Stop(ctx) }()
		<-r.server.served
	case "linger":
		r.linger <- time.Time{}
		await(func() bool {
			r.server.mu.Lock()
			defer r.server.mu.Unlock()
			return r.server.lingered
		})
	case "expire":
		r.expire()
	case "stopped":
		err := <-r.stopped
		if err == nil {
			return r.log.String() + "ok"
		}
		return r.log.String() + err.Error()
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return "ok"
}

// count returns the number of connections for which f holds.
func (r *rig) count(f func(*conn) bool) int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	n := 0
	for c := range r.server.conns {
		if f(c) {
			n++
		}
	}
	return n
}

func (c *client) send(s string) { _, _ = io.WriteString(c, s) } // answer tells of a failure

// answer reads an answer and tells what becomes of the connection.
func (c *client) answer() string {
	p, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		return "cut off"
	}
	if p.StatusCode != http.StatusOK {
		return p.Status
	}
	if p.Close {
		return "closed"
	}
	return "kept"
}

func await(f func() bool) {
	for !f() {
		time.Sleep(time.Millisecond)
	}
}

// clock is a fleet.Clock all of whose waits end when a test sends a time.
type clock chan time.Time

func (c clock) Now() time.Time                       { return time.Time{} }
func (c clock) After(time.Duration) <-chan time.Time { return c }

// TestQueueIsAccepted guards against connections that the kernel has accepted for
// the process and that the close of the listener resets.
func TestQueueIsAccepted(t *testing.T) {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	const queued = 20
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	q := &queue{TCPListener: l}
	q.finish()
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

// TestDrain guards against a connection that is kept after an answer whose head is
// written during a graceful stop, however the handler writes it and whenever the
// request began.
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
			answer := func(drain bool) string {
				w := httptest.NewRecorder()
				s.closing(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if drain {
						s.Drain()
					}
					write(w)
				})).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
				return w.Header().Get("Connection")
			}
			is.Equal(answer(false), "")
			is.Equal(answer(true), "close")
			is.Equal(answer(false), "close")
		})
	}
}

// TestFailure guards against a listener that fails without a word, and against a
// stop that counts as a failure.
func TestFailure(t *testing.T) {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	failed := make(chan error, 1)
	s := New("test", l, &http.Server{}, make(clock), zap.NewNop(), Failed(func(err error) { failed <- err }))
	_ = l.Close()
	err = <-failed
	is.True(err != nil)
	is.True(fmt.Sprint(err) != "")
	is.NoErr(s.Stop(context.Background()))
	is.Equal(len(failed), 0)
}
