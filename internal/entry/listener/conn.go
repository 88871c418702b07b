package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

const (
	// refusalWriteTimeout limits the write of a refusal that the listener sends itself.
	refusalWriteTimeout = 100 * time.Millisecond
	// refusalRetryAfter is the header line of a refusal for lack of memory. The heads that
	// take the memory are closed after a few seconds.
	refusalRetryAfter = "Retry-After: 1\r\n"
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
	for {
		n, err := t.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, server: t.server}
		if !t.server.budget.admit(c) {
			_ = n.Close() // the client gets no response either way
			continue
		}
		t.server.mu.Lock()
		t.server.conns[c] = struct{}{}
		t.server.mu.Unlock()
		return c, nil
	}
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
	// head counts the head that is being read. carried is the number of bytes of the
	// latest read that net/http may still hold, which may begin the next head.
	head    headCounter
	carried int
	// interrupted is set when the budget closes the connection.
	interrupted bool

	// The budget guards the fields below. charged is in bytes, since is the time from
	// which the connection waits for a request, evicted tells whether the budget closes
	// it, and released whether it is closed.
	charged           int64
	since             time.Time
	evicted, released bool
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
	if c.refuseInterrupted() {
		return 0, io.EOF
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	refused, status := c.recordRead(b[:n], len(b))
	if refused {
		c.writeRefusal(status)
		return 0, io.EOF
	}
	return n, err
}

// recordRead records bytes that were read into a buffer of the given size. It reports
// whether the connection must be closed instead, and the status of the response, or 0 for
// none.
func (c *conn) recordRead(b []byte, bufferSize int) (refused bool, status int) {
	c.mu.Lock()
	if c.readClosed {
		c.mu.Unlock()
		// Stop would not wait for the response to a request that is read now.
		return true, 0
	}
	c.hasInput = true
	if c.active || c.server.certificate != "" { // bytes of TLS are encrypted
		c.recordBody(len(b), bufferSize)
		c.mu.Unlock()
		return false, 0
	}
	cost := carriedCost(c.carried)
	rest := c.head.add(b)
	cost += c.head.cost()
	if c.head.done {
		c.carried = rest
	}
	reason, tooMuch := c.server.checkHead(&c.head)
	c.mu.Unlock()
	// The budget is locked before a connection, never after it.
	if tooMuch {
		c.server.budget.refuse(reason)
		return true, http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.server.budget.chargeHead(c, cost) {
		c.server.budget.refuse(HeadMemory)
		return true, http.StatusServiceUnavailable
	}
	return false, 0
}

// recordBody records the number of bytes that were read during a request and may begin the
// next one.
func (c *conn) recordBody(bytes, bufferSize int) {
	switch {
	case bufferSize == 1: // net/http watches for the end of the connection
		c.carried++
	case bufferSize > parseBufferBytes: // read directly into the body
		c.carried = 0
	default:
		c.carried = bytes
	}
}

// writeRefusal responds to a request whose head was not read completely, which therefore
// has not run. On a connection with TLS the client only sees the end of it.
func (c *conn) writeRefusal(status int) {
	if status == 0 || c.server.certificate != "" {
		return
	}
	response := refusal.HeadTooLarge.Response()
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		response = refusal.Overloaded.Response()
		retryAfter = refusalRetryAfter
	}
	body := `{"error":"` + response.Code + `"}`
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) != nil {
		return // the client has closed the connection
	}
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		response.Status, http.StatusText(response.Status), len(body), retryAfter, body) // the client may be gone
}

// interrupt makes the connection close while it waits for a request.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted, c.readClosed = true, true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails if the client has closed the connection
}

// refuseInterrupted reports whether the budget closes the connection. If a part of a head
// has been read, the client gets a response.
func (c *conn) refuseInterrupted() bool {
	c.mu.Lock()
	interrupted, partial := c.interrupted, c.head.bytes > 0
	c.mu.Unlock()
	if interrupted && partial {
		c.writeRefusal(http.StatusServiceUnavailable)
	}
	return interrupted
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
	c.server.budget.release(c)
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
	var cost int64
	if c.head.bytes == 0 {
		cost = carriedCost(c.carried)
	}
	c.mu.Unlock()
	c.server.budget.begin(c, cost)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails if the client has closed the connection
	}
	c.active, c.readClosed, c.interrupted = true, false, false
}

// setIdle marks the end of a request.
func (c *conn) setIdle() {
	c.mu.Lock()
	c.active, c.hasInput, c.idle = false, false, true
	c.head = headCounter{}
	c.mu.Unlock()
	c.server.budget.end(c)
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
