package daemon

import (
	"net"
	"time"
)

// maxWrite is the part of an answer, in bytes, that has one write deadline. A
// caller that reads slowly gets through a large answer, one that stops reading
// does not hold the request.
const maxWrite = 64 << 10

// timedListener accepts connections on which each write has a deadline.
// WriteTimeout of http.Server would cut off answers that take longer.
type timedListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timedConn{Conn: c, timeout: l.timeout}, nil
}

type timedConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *timedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWrite)]
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
