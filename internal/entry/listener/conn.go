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

// queue is a TCP listener that accepts what is in its queue before it closes.
type queue struct {
	*net.TCPListener
	finishing atomic.Bool
	last      atomic.Int64 // end of the accepting, in Unix nanoseconds
}

// finish makes Accept return net.ErrClosed once the queue is empty.
func (q *queue) finish() {
	q.last.Store(time.Now().Add(acceptTime).UnixNano())
	q.finishing.Store(true)
	_ = q.SetDeadline(time.Now()) // fails on a closed listener, which is what is wanted
}

// Accept implements net.Listener.
func (q *queue) Accept() (net.Conn, error) {
	for {
		finishing := q.finishing.Load()
		if finishing {
			if time.Now().UnixNano() > q.last.Load() {
				return nil, net.ErrClosed
			}
			if err := q.SetDeadline(time.Now().Add(acceptPause)); err != nil {
				return nil, err
			}
		}
		c, err := q.TCPListener.Accept()
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return c, err
		}
		if finishing {
			return nil, net.ErrClosed
		}
	}
}

// tracker keeps the open connections of a server.
type tracker struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (t *tracker) Accept() (net.Conn, error) {
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

// conn is a connection that knows whether a request is in progress on it.
type conn struct {
	net.Conn
	server *Server

	mu     sync.Mutex
	active bool // a request has been read and its answer is not complete
	// received tells that bytes came since the last answer.
	received bool
	// ended tells that nothing is read any more.
	ended bool
	// resting tells that no part of the next head is awaited yet, and limited that the
	// deadline in force is that of a limit.
	resting, limited bool
}

// SetReadDeadline implements net.Conn. net/http sets a deadline for the time between
// two requests, none once a request begins, and one for its head; handlers set those
// for bodies. The limits in force shorten the first two.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = false
	switch {
	case c.active:
	case t.IsZero():
		c.resting = false
	default:
		t = c.limit(t)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) limit(t time.Time) time.Time {
	l := c.server.limits()
	d := l.Head
	if c.resting {
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
	ended := c.ended
	c.mu.Unlock()
	if ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		// The answer to a request that is read now would not be waited for.
		return 0, io.EOF
	}
	c.received = true
	return n, err
}

// extend reports whether to read once more after a deadline, since the bytes may have
// come in time to a process that was paused.
func (c *conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limited && !c.ended && c.Conn.SetReadDeadline(time.Now().Add(lateRead)) == nil
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

// CloseWrite is used by net/http where the client may still be sending, so that it
// gets the answer before the connection is reset.
func (c *conn) CloseWrite() error {
	h, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection cannot be closed for writing alone")
	}
	return h.CloseWrite()
}

func (c *conn) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active || c.received
}

// activate begins a request. It may have been in a buffer of net/http at the end.
func (c *conn) activate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.ended = true, false
}

func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.received, c.resting = false, false, true
}

// end ends the reading on a connection without a request, after which net/http
// closes it. Requests that net/http has in its buffer are still answered, which they
// would not be after Close.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.received {
		return
	}
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails if the client has closed the connection
}
