package daemon

import (
	"io"
	"net"
	"net/http"
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

// timedBody returns a handler that bounds the time of a request's body. Before
// net/http sends an answer it reads the rest of a small body, so the deadline
// also holds for a handler that does not read the body, or failed to.
//
// The deadline is removed at the end of the body: net/http cancels the request's
// context when it passes while the answer is still being prepared, which is why
// ReadTimeout of http.Server is of no use.
func timedBody(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &body{ReadCloser: r.Body, control: control}
		}
		h.ServeHTTP(w, r)
	})
}

// body removes the read deadline at its end.
type body struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
