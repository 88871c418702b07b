package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

const shortLimit = 30 * time.Millisecond

// serveLimited starts a server with limits far below those of its http.Server, and returns
// a connection to it.
func serveLimited(t *testing.T, limits Limits) net.Conn {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	httpServer := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	s := New("test", l, httpServer, make(clock), zap.NewNop(), WithLimits(func() Limits { return limits }))
	t.Cleanup(func() { _ = s.http.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestHeadTakesTooLong guards against clients that occupy a connection with a part of a
// head, or without sending anything, for longer than the operator's limit.
func TestHeadTakesTooLong(t *testing.T) {
	for _, part := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		is := is.New(t)
		c := serveLimited(t, Limits{Head: shortLimit})
		_, err := io.WriteString(c, part)
		is.NoErr(err)
		_, err = io.ReadAll(c)
		is.NoErr(err) // closed
	}
}

// TestIdleConnection guards against connections that stay idle for longer than the
// operator's limit.
func TestIdleConnection(t *testing.T) {
	is := is.New(t)
	c := serveLimited(t, Limits{Idle: shortLimit})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

// TestPhases guards against limits that are applied in the wrong phase of a connection,
// such as the limit for heads to bodies, which may take longer.
func TestPhases(t *testing.T) {
	is := is.New(t)
	l := &lateConn{}
	c := &conn{Conn: l, server: bareServer(Limits{Head: time.Minute, Idle: 10 * time.Minute})}
	remaining := func() time.Duration {
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Hour)))
		return time.Until(l.deadlines[len(l.deadlines)-1]).Round(time.Minute)
	}
	for range 2 {
		is.Equal(remaining(), time.Minute) // the head
		c.setActive()
		is.Equal(remaining(), time.Hour) // the body
		c.setIdle()
		is.Equal(remaining(), 10*time.Minute) // idle
		is.NoErr(c.SetReadDeadline(time.Time{}))
		is.True(l.deadlines[len(l.deadlines)-1].IsZero())
	}
}

// bareServer returns a server without a listener.
func bareServer(l Limits) *Server {
	return &Server{http: &http.Server{}, limits: func() Limits { return l }, budget: NewBudget(0, 0, make(clock), zap.NewNop())}
}

// lateConn is a connection whose first read fails after the deadline and whose later reads
// return bytes.
type lateConn struct {
	net.Conn
	deadlines []time.Time
	reads     int
}

func (l *lateConn) SetReadDeadline(t time.Time) error {
	l.deadlines = append(l.deadlines, t)
	return nil
}

func (l *lateConn) Read(b []byte) (int, error) {
	l.reads++
	if l.reads == 1 {
		return 0, fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
	}
	return copy(b, "GET"), nil
}

// TestLateBytes guards against dropping requests that arrived in time while the process
// was paused until after the deadline.
func TestLateBytes(t *testing.T) {
	is := is.New(t)
	l := &lateConn{}
	c := &conn{Conn: l, server: bareServer(Limits{Head: time.Minute})}
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Hour)))
	is.True(time.Until(l.deadlines[0]) <= time.Minute)
	n, err := c.Read(make([]byte, 8))
	is.NoErr(err)
	is.Equal(n, 3)
	// A deadline in the past, which net/http sets to interrupt a read, is not extended.
	l.reads = 0
	is.NoErr(c.SetReadDeadline(time.Unix(1, 0)))
	_, err = c.Read(make([]byte, 8))
	is.True(err != nil)
}
