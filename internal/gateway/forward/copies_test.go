package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
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

// Guards against an order that an upstream runs and that is reported as not run, or sent to
// another upstream, because the upstream wrote an earlier refusal once more on the
// connection.
func TestRepeatedRefusalIsNoAnswerToNextOrder(t *testing.T) {
	const done = "HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone"
	for name, refused := range map[string]string{
		"with ID":            "HTTP/1.1 503 S\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with ID and body":   "HTTP/1.1 429 S\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"without ID":         "HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"without ID, 400":    "HTTP/1.1 400 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with ID, and close": "HTTP/1.1 503 S\r\nId: 1\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				c, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					panic(err)
				}
				go func() {
					defer func() { _ = c.Close() }()
					_, _ = io.WriteString(c, strings.ReplaceAll(refused, "Connection: close\r\n", ""))
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					ran.Add(1)
					_, _ = io.WriteString(c, refused+done)
				}()
			})
			status, _, _, _ := w.post(t, "/once/", "k1")
			is.Equal(status, http.StatusServiceUnavailable)
			w.requestID = "2"
			status, _, body, _ := w.post(t, "/once/", "k1")
			is.Equal(ran.Load(), int64(1))
			if status == http.StatusOK {
				is.Equal(body, "done")
				return
			}
			is.Equal(status, http.StatusBadGateway) // leaves open whether the request ran
		})
	}
}

// Guards against an order that is reported as not run because its upstream answered with a
// status that makes this promise, without stating that it did not run the order. Requests
// that may be repeated get the answer unchanged.
func TestStatusIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for path, want := range map[string]int{"/once/": http.StatusBadGateway, "/single/": http.StatusBadGateway, "/again/": status} {
			is := is.New(t)
			w := newTestGateway(t, 2, func(_ int, rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Id", "1")
				rw.Header().Set("Seal", "s")
				rw.WriteHeader(status)
			})
			got, header, _, _ := w.post(t, path, "k1")
			is.Equal(got, want)
			is.Equal(header.Get("Seal") == "", want == http.StatusBadGateway)
			is.True(path == "/again/" || len(w.receivedHeaders()) == 1)
		}
	}
}
