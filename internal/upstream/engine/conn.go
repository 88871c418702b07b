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
	// headExpected reports whether the next byte begins the head of a response. The
	// transport reads and writes in different goroutines.
	headExpected atomic.Bool
	head         head.Scanner // used only by Read
}

func newCheckedConn(c net.Conn) *checkedConn {
	return &checkedConn{Conn: c, head: head.Scanner{Limit: maxHeaderBytes}}
}

// expectHead must be called before a request is written.
func (c *checkedConn) expectHead() { c.headExpected.Store(true) }

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.headExpected.Swap(false) {
		c.head.Start()
	}
	if invalid := c.head.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
