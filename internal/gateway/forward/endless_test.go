package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bufferedBytes is the size up to which the gateway takes an answer that it keeps
// whole.
const bufferedBytes = 1 << 20

// Guards against an answer that is cut off at the bound of the buffer and looks
// complete.
func TestLongFailureIsNotCutOff(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		is := is.New(t)
		w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			rw.WriteHeader(status)
			_, _ = io.WriteString(rw, strings.Repeat("x", bufferedBytes+1))
		})
		got, header, _, whole := w.call(t, "/single/", "k1")
		is.Equal(got, http.StatusBadGateway)
		is.True(whole)
		is.Equal(header.Get("Seal"), "")
		is.Equal(len(w.headers()), 1)
	}
}

// Guards against the rest of a long body that is read as the answer to the next
// request on its connection.
func TestConnectionWithRestOfBodyIsNotKept(t *testing.T) {
	const forged = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: forged\r\nContent-Length: 0\r\n\r\n"
	is := is.New(t)
	w := newWorld(t, 1, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n > 1 {
			events(rw, 1, 2)
			return
		}
		c, b, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(b, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n", bufferedBytes+len(forged))
		_, _ = io.WriteString(b, strings.Repeat("x", bufferedBytes))
		_ = b.Flush()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, forged)
		}
	})
	status, header, _, whole := w.call(t, "/single/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(whole)
	is.Equal(header.Get("Seal"), "from1")
}

// Guards against a request that waits for the body of a refusal, which may come
// slowly or never end, while another upstream could run it.
func TestRefusalWithoutEndIsLeft(t *testing.T) {
	for _, c := range []struct {
		path string
		more string // is written again and again, unless it is empty
	}{{"/once/", ""}, {"/once/", "x"}, {"/stream/", ""}, {"/stream/", "x"}} {
		is := is.New(t)
		left := make(chan struct{})
		w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
			if n > 1 {
				events(rw, 1, 1)
				return
			}
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(rw, "x")
			_ = http.NewResponseController(rw).Flush()
			for c.more != "" && r.Context().Err() == nil {
				_, _ = io.WriteString(rw, c.more)
			}
			<-r.Context().Done()
			close(left)
		})
		status, _, body, whole := w.call(t, c.path, "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "id: 1\ndata: 1\n\n")
		is.True(whole)
		is.Equal(len(w.headers()), 2)
		<-left
	}
}

// Guards against the rest of a line that is longer than the read buffer and is taken
// for a line: an event would get a wrong number, or end before its last line.
func TestLongLinesOfEvents(t *testing.T) {
	const readBuffer = 2 << 10
	for _, rest := range []string{"id: 99", "", "\r"} {
		is := is.New(t)
		line := "data: " + strings.Repeat("x", readBuffer-len("data: ")) + rest + "\n"
		w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
			if n > 1 {
				events(rw, 2, 2)
				return
			}
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			_, _ = io.WriteString(rw, "id: 1\n"+line+"data: x\n\nid: 2\n"+line)
			_ = http.NewResponseController(rw).Flush()
			abort()
		})
		_, _, body, whole := w.call(t, "/stream/", "k1")
		is.True(whole)
		is.Equal(body, "id: 1\n"+line+"data: x\n\nid: 2\ndata: 2\n\n")
		is.Equal(w.headers()[1].Get("After"), "1")
	}
}

// endlessBytes is more than the socket buffers of a connection hold, so an upstream
// that has written as much was read without a bound.
const endlessBytes = 64 << 20

// repeat writes text again and again until the connection is closed, or until it has
// written endlessBytes. It reports whether the connection was closed.
func repeat(rw http.ResponseWriter, text string) bool {
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	for n := 0; n < endlessBytes; n += len(block) {
		if _, err := io.WriteString(rw, block); err != nil {
			return true
		}
	}
	return false
}

// Guards against bytes that never become an event and are read, or forwarded as the
// answer, until the deadline. A stream that may be resumed goes elsewhere, any other
// one may have run and fails.
func TestEndlessEvent(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "\n", "\r\n"} {
		for _, path := range []string{"/stream/", "/single/"} {
			is := is.New(t)
			cut := make(chan bool, 1)
			w := newWorld(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
				if n > 1 {
					events(rw, 1, 1)
					return
				}
				rw.Header().Set("Id", "1")
				rw.Header().Set("Seal", "s")
				cut <- repeat(rw, text)
			})
			status, _, body, whole := w.call(t, path, "k1")
			is.True(<-cut)
			is.True(whole)
			if path == "/single/" {
				is.Equal(status, http.StatusBadGateway)
				is.Equal(len(w.headers()), 1)
				continue
			}
			is.Equal(status, http.StatusOK)
			is.Equal(body, "id: 1\ndata: 1\n\n")
			is.Equal(len(w.headers()), 2)
		}
	}
}

// Guards against streams that hold a large part of the memory for events that do not
// end. With a bound of 1 MiB, the 192 slots of one engine can take 192 MiB.
func TestLongEventIsNotAwaited(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			events(rw, 1, 1)
			return
		}
		rw.Header().Set("Id", "1")
		rw.Header().Set("Seal", "s")
		_, _ = io.WriteString(rw, "data: "+strings.Repeat("x", 128<<10))
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	})
	status, _, body, whole := w.call(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: 1\n\n")
	is.True(whole)
}

// Guards against blank lines between and after events that are lost or break a
// stream.
func TestBlankLines(t *testing.T) {
	for _, text := range []string{
		"id: 1\ndata: 1\n\n\n\n\nid: 2\ndata: 2\n\n", "\n\r\nid: 1\ndata: 1\n\n",
		"id: 1\ndata: 1\n\n\n", "id: 1\ndata: 1\n\n\n\n\n\n", "\n", "",
	} {
		is := is.New(t)
		w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, text) })
		status, _, body, whole := w.call(t, "/single/", "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, text)
		is.True(whole)
	}
}

// Guards against a stream that is held until its deadline, while other engines could
// go on with it, because its engine sends an event that the client has again and
// again.
func TestRepeatedEventsAreNoProgress(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			events(rw, 2, 2)
			return
		}
		for r.Context().Err() == nil {
			events(rw, 1, 1)
		}
		close(left)
	})
	_, _, body, whole := w.call(t, "/brisk/", "k1")
	is.True(whole)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(w.headers()[1].Get("After"), "1")
	<-left
}

// Guards against a stream that is held until its deadline because its engine sends
// comments, which are no answer, instead of events.
func TestCommentsAreNoProgress(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			events(rw, 2, 2)
			return
		}
		events(rw, 1, 1)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(rw, ": busy\n\n")
			_ = http.NewResponseController(rw).Flush()
		}
	})
	_, _, body, whole := w.call(t, "/brisk/", "k1")
	is.True(whole)
	is.Equal(strings.ReplaceAll(body, ": busy\n\n", ""), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(w.headers()[1].Get("After"), "1")
}

// Guards against log lines that are as long as what an upstream sent.
func TestLogQuotesLittle(t *testing.T) {
	long := strings.Repeat("\x7f", 16<<10)
	for _, c := range []behave{
		func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "id: "+long+"\ndata: 1\n\n") },
		func(_ int, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("At", strings.Repeat("a", 16<<10))
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		is := is.New(t)
		w := newWorld(t, 1, c)
		_, _, _, whole := w.call(t, "/single/", "k1")
		is.True(whole)
		w.gateway.Close()
		is.True(w.logs.FilterMessage("A stream broke.").Len() > 0)
		for _, e := range w.logs.All() {
			text, _ := e.ContextMap()["error"].(string)
			is.True(len(text) < 512)
		}
	}
}

// Guards against a request whose body does not come and that is held beyond its
// deadline.
func TestBodyThatDoesNotCome(t *testing.T) {
	for _, body := range []string{"Content-Length: 5\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		is := is.New(t)
		w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
		c, err := net.Dial("tcp", w.gateway.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		is.NoErr(c.SetDeadline(time.Now().Add(patience))) // bounds what would otherwise hang
		_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nBudget: 100\r\n"+body)
		is.NoErr(err)
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(p.StatusCode, http.StatusServiceUnavailable)
		is.Equal(len(w.headers()), 0)
	}
}

// Guards against chunked bodies of clients that have no end.
func TestEndlessBodyOfClient(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { ok(rw, "done") })
	for _, chunk := range []string{"40\r\n" + strings.Repeat("x", 64) + "\r\n", "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"} {
		c, err := net.Dial("tcp", w.gateway.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nTransfer-Encoding: chunked\r\n\r\n")
		block := strings.Repeat(chunk, 1+(64<<10)/len(chunk))
		for n := 0; n < endlessBytes && err == nil; n += len(block) {
			_, err = io.WriteString(c, block)
		}
		is.True(err != nil)
	}
	is.Equal(len(w.headers()), 0)
}

// Guards against a client that does not read its answer and holds its request and
// connection without end.
func TestClientThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Id", "1")
		rw.Header().Set("Seal", "s")
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 32<<10)); err != nil {
				return
			}
		}
	})
	c, err := net.Dial("tcp", w.gateway.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /single/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nBudget: 300\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusOK)
	ended := make(chan struct{})
	go func() {
		w.gateway.Close() // waits for requests in progress
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(patience): // bounds what would otherwise hang
		t.Fatal("the request did not end")
	}
	ends := w.logs.FilterMessage("A request ended.").All()
	is.Equal(len(ends), 1)
	is.Equal(ends[0].ContextMap()["outcome"], "clientGone")
}
