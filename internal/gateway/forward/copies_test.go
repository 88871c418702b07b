package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a delayed duplicate of a refusal that is taken for the response to the
// next attempt at the same upstream. That attempt would count as not run, and the
// request would run a second time.
func TestLateRefusalIsNoAnswerToNextSend(t *testing.T) {
	is := is.New(t)
	const refused = "HTTP/1.1 503 S\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var ran atomic.Int64
	w := newTestGateway(t, 1, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			ran.Add(1)
			respond(rw, "id: 1\ndata: x\n\n")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err)
		}
		go refuseTwice(c, refused, &ran)
	})
	status, _, body, complete := w.post(t, "/single/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: x\n\n")
	is.True(complete)
	is.Equal(ran.Load(), int64(1))
}

// refuseTwice refuses a request. It runs the next request on the same connection, but
// responds with a duplicate of the refusal.
func refuseTwice(c net.Conn, refused string, ran *atomic.Int64) {
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, refused)
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	ran.Add(1)
	_, _ = io.WriteString(c, refused)
}
