package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against an order that runs again, or is said not to have run, after its answer
// was lost at any byte.
func TestOrderWhoseAnswerIsLostAtAnyByte(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone"
	for _, reset := range []bool{false, true} {
		for cut := range len(answer) + 1 {
			t.Run(fmt.Sprintf("%d/%t", cut, reset), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2, func(_ int, rw http.ResponseWriter, r *http.Request) { breakOff(rw, r, answer[:cut], reset) })
				status, _, body, whole := w.call(t, "/once/", "k1")
				is.True(whole)
				is.Equal(len(w.headers()), 1)
				if status == http.StatusOK {
					is.Equal(cut, len(answer))
					is.Equal(body, "done")
					return
				}
				is.Equal(status, http.StatusBadGateway) // promises nothing
				is.True(cut < len(answer) || reset)
			})
		}
	}
}

// breakOff takes a request, writes a part of the answer and closes the connection, with
// a reset or in the usual way.
func breakOff(rw http.ResponseWriter, r *http.Request, part string, reset bool) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, part)
	if t, ok := c.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
