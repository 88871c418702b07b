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

// serveLimited serves with limits far below those of its http.Server, and returns a
// connection.
func serveLimited(t *testing.T, limits Limits) net.Conn {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	v := &http.Server{ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	s := New("test", l, v, make(clock), zap.NewNop(), Limit(func() Limits { return limits }))
	t.Cleanup(func() { _ = s.http.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against clients that hold a connection with a part of a head, or with
// nothing, for longer than the operator's limit.
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

// Guards against connections that stay unused for longer than the operator's limit.
func TestConnectionIsUnused(t *testing.T) {
	is := is.New(t)
	c := serveLimited(t, Limits{Idle: shortLimit})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	r := bufio.NewReader(c)
	p, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusOK)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against limits that are used in the wrong phase of a connection, such as that
// of heads for bodies, which may take longer.
func TestPhases(t *testing.T) {
	is := is.New(t)
	l := &late{}
	c := &conn{Conn: l, server: &Server{limits: func() Limits { return Limits{Head: time.Minute, Idle: 10 * time.Minute} }}}
	left := func() time.Duration {
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Hour)))
		return time.Until(l.deadlines[len(l.deadlines)-1]).Round(time.Minute)
	}
	for range 2 {
		is.Equal(left(), time.Minute) // the head
		c.activate()
		is.Equal(left(), time.Hour) // the body
		c.rest()
		is.Equal(left(), 10*time.Minute) // unused
		is.NoErr(c.SetReadDeadline(time.Time{}))
		is.True(l.deadlines[len(l.deadlines)-1].IsZero())
	}
}

// late is a connection whose bytes are read after the deadline.
type late struct {
	net.Conn
	deadlines []time.Time
	reads     int
}

func (l *late) SetReadDeadline(t time.Time) error {
	l.deadlines = append(l.deadlines, t)
	return nil
}

func (l *late) Read(b []byte) (int, error) {
	l.reads++
	if l.reads == 1 {
		return 0, fmt.Errorf("read: %w", os.ErrDeadlineExceeded)
	}
	return copy(b, "GET"), nil
}

// Guards against requests that came in time and are dropped, because the process was
// paused until after the deadline.
func TestBytesThatCameDuringPause(t *testing.T) {
	is := is.New(t)
	l := &late{}
	c := &conn{Conn: l, server: &Server{limits: func() Limits { return Limits{Head: time.Minute} }}}
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Hour)))
	is.True(time.Until(l.deadlines[0]) <= time.Minute)
	n, err := c.Read(make([]byte, 8))
	is.NoErr(err)
	is.Equal(n, 3)
	// A deadline that net/http sets to end a read is kept.
	l.reads = 0
	is.NoErr(c.SetReadDeadline(time.Unix(1, 0)))
	_, err = c.Read(make([]byte, 8))
	is.True(err != nil)
}
