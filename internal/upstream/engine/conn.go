package engine

import (
	"net"
	"sync/atomic"

	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// checkedConn is a connection that fails at the first byte that makes the head of a
// response invalid.
type checkedConn struct {
	net.Conn
	// expected is set if the next byte begins the head of a response. Its value is called
	// with the memory of the head. The transport reads and writes in different goroutines.
	expected atomic.Pointer[func(bytes int64) error]
	head     head.Scanner // used only by Read
}

func newCheckedConn(c net.Conn) *checkedConn {
	return &checkedConn{Conn: c, head: head.Scanner{Limit: maxHeaderBytes}}
}

// expectHead must be called before a request is written. grow is called with the memory that
// the head of the response takes.
func (c *checkedConn) expectHead(grow func(bytes int64) error) { c.expected.Store(&grow) }

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if grow := c.expected.Swap(nil); grow != nil {
			c.head.Grow = *grow
			c.head.Start()
		}
	}
	if invalid := c.head.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
