package daemon

import (
	"net"
	"time"
)

// maxWriteBytes is the number of bytes of a response that share one write deadline. A
// caller that reads slowly can therefore receive a large response, while one that stops
// reading does not block the request.
const maxWriteBytes = 64 << 10

// timedListener accepts connections on which each write has its own deadline.
// WriteTimeout of http.Server would abort responses that take longer.
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
		chunk := b[written:min(len(b), written+maxWriteBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
