package listener

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// backlogListener is a TCP listener that accepts the connections in its accept queue
// before it closes.
type backlogListener struct {
	*net.TCPListener
	draining    atomic.Bool
	acceptUntil atomic.Int64 // when accepting ends at the latest, in Unix nanoseconds
}

// startDrain makes Accept return net.ErrClosed once the accept queue is empty, or after
// acceptDrainTimeout.
func (q *backlogListener) startDrain() {
	q.acceptUntil.Store(time.Now().Add(acceptDrainTimeout).UnixNano())
	q.draining.Store(true)
	_ = q.SetDeadline(time.Now()) // fails only on a closed listener, on which Accept returns anyway
}

// Accept implements net.Listener.
func (q *backlogListener) Accept() (net.Conn, error) {
	for {
		draining := q.draining.Load()
		if draining {
			if time.Now().UnixNano() > q.acceptUntil.Load() {
				return nil, net.ErrClosed
			}
			if err := q.SetDeadline(time.Now().Add(acceptIdleTimeout)); err != nil {
				return nil, err
			}
		}
		c, err := q.TCPListener.Accept()
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return c, err
		}
		if draining {
			return nil, net.ErrClosed
		}
	}
}

// trackingListener adds the connections that it accepts to those of a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (t *trackingListener) Accept() (net.Conn, error) {
	n, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, server: t.server}
	t.server.mu.Lock()
	t.server.conns[c] = struct{}{}
	t.server.mu.Unlock()
	return c, nil
}

// conn is a connection that tracks whether a request is in progress on it.
type conn struct {
	net.Conn
	server *Server

	mu     sync.Mutex
	active bool // a request has been read and its response is not complete
	// hasInput reports whether bytes have been read since the last response.
	hasInput bool
	// readClosed reports whether no more bytes are read from the connection.
	readClosed bool
	// idle reports whether the connection is between two requests, before net/http reads
	// the next head. limited reports whether the current read deadline is a timeout for a
	// head or for the time between requests, and not one in the past that interrupts a
	// read.
	idle, limited bool
}

// SetReadDeadline implements net.Conn. net/http sets a deadline for the time between two
// requests, clears it once a request begins, and sets one for its head; handlers set
// those for bodies. The current limits shorten the deadlines between requests and for
// heads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = false
	switch {
	case c.active:
	case t.IsZero():
		c.idle = false
	default:
		t = c.limitDeadline(t)
	}
	return c.Conn.SetReadDeadline(t)
}

// limitDeadline returns t or the deadline of the current limit, whichever is earlier.
func (c *conn) limitDeadline(t time.Time) time.Time {
	l := c.server.limits()
	d := l.Head
	if c.idle {
		d = l.Idle
	}
	now := time.Now()
	if d > 0 {
		if end := now.Add(d); end.Before(t) {
			t = end
		}
	}
	c.limited = t.After(now)
	return t
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	readClosed := c.readClosed
	c.mu.Unlock()
	if readClosed {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readClosed {
		// Stop would not wait for the response to a request that is read now.
		return 0, io.EOF
	}
	c.hasInput = true
	return n, err
}

// extendDeadline reports whether to read once more after a deadline has passed, and sets
// a new one for it. The bytes may have arrived in time while the process was paused.
func (c *conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limited && !c.readClosed && c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout)) == nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.server.notify()
	return err
}

// CloseWrite is called by net/http when the client may still be sending, so that it
// receives the response before the connection is reset.
func (c *conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection does not support CloseWrite")
	}
	return closer.CloseWrite()
}

// inUse reports whether a request, or a part of one, is in progress.
func (c *conn) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active || c.hasInput
}

// setActive marks the start of a request. After stopReading, it is a request that was
// already in a buffer of net/http.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.readClosed = true, false
}

// setIdle marks the end of a request.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.hasInput, c.idle = false, false, true
}

// stopReading ends the reading on a connection without a request, upon which net/http
// closes the connection. Unlike after Close, requests that net/http already has in its
// buffer still get a response.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.hasInput {
		return
	}
	c.readClosed = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails if the client has closed the connection
}
