package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxBufferedBytes has the value of the constant of package forward.
const maxBufferedBytes = 1 << 20

// Guards against a response that is truncated at the size limit of the buffer and looks
// complete.
func TestLongFailureIsNotCutOff(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		is := is.New(t)
		w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			rw.WriteHeader(status)
			_, _ = io.WriteString(rw, strings.Repeat("x", maxBufferedBytes+1))
		})
		got, header, _, complete := w.post(t, "/single/", "k1")
		is.Equal(got, http.StatusBadGateway)
		is.True(complete)
		is.Equal(header.Get("Seal"), "")
		is.Equal(len(w.receivedHeaders()), 1)
	}
}

// Guards against upstreams whose long answers use up the memory for answers, upon which
// other requests fail. The longest answers are given up: their requests may have run.
func TestHeldAnswersLeaveRoomForOthers(t *testing.T) {
	const (
		held = 8 // more than the least budget holds
		// failures is the least number of them that don't fit.
		failures = 2
	)
	is := is.New(t)
	release := make(chan struct{})
	w := newTestGateway(t, 1, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > held {
			respond(rw, "done")
			return
		}
		rw.Header().Set("Content-Length", strconv.Itoa(maxBufferedBytes))
		respond(rw, strings.Repeat("x", maxBufferedBytes-1))
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-release:
		case <-r.Context().Done():
		}
		abort()
	})
	statuses := make(chan int, held)
	for range held {
		go func() {
			status, _, _, _ := w.post(t, "/once/", "k1")
			statuses <- status
		}()
	}
	for range failures {
		is.Equal(<-statuses, http.StatusBadGateway)
	}
	status, _, body, complete := w.post(t, "/once/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "done")
	is.True(complete)
	close(release)
	for range held - failures {
		is.Equal(<-statuses, http.StatusBadGateway)
	}
	is.Equal(len(w.receivedHeaders()), held+1)
}

// Guards against the rest of a long body that is read as the response to the next
// request on the same connection.
func TestConnectionWithRestOfBodyIsNotKept(t *testing.T) {
	const forged = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: forged\r\nContent-Length: 0\r\n\r\n"
	is := is.New(t)
	w := newTestGateway(t, 1, func(n int, rw http.ResponseWriter, _ *http.Request) {
		if n > 1 {
			writeEvents(rw, 1, 2)
			return
		}
		c, b, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(b, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n", maxBufferedBytes+len(forged))
		_, _ = io.WriteString(b, strings.Repeat("x", maxBufferedBytes))
		_ = b.Flush()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, forged)
		}
	})
	status, header, _, complete := w.post(t, "/single/", "k1")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(header.Get("Seal"), "from1")
}

// Guards against a request that waits for the end of a refusal's body, which may be slow
// or endless, while another upstream could run it.
func TestEndlessRefusalBodyIsAbandoned(t *testing.T) {
	for _, c := range []struct {
		path string
		more string // written repeatedly, unless empty
	}{{"/once/", ""}, {"/once/", "x"}, {"/stream/", ""}, {"/stream/", "x"}} {
		is := is.New(t)
		disconnected := make(chan struct{})
		w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
			if n > 1 {
				writeEvents(rw, 1, 1)
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
			close(disconnected)
		})
		status, _, body, complete := w.post(t, c.path, "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "id: 1\ndata: 1\n\n")
		is.True(complete)
		is.Equal(len(w.receivedHeaders()), 2)
		<-disconnected
	}
}

// Guards against the rest of a line longer than the read buffer that is parsed as a line
// of its own: an event would get a wrong ID, or end before its last line.
func TestLongLinesOfEvents(t *testing.T) {
	const readBuffer = 2 << 10
	for _, rest := range []string{"id: 99", "", "\r"} {
		is := is.New(t)
		line := "data: " + strings.Repeat("x", readBuffer-len("data: ")) + rest + "\n"
		w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
			if n > 1 {
				writeEvents(rw, 2, 2)
				return
			}
			rw.Header().Set("Id", "1")
			rw.Header().Set("Seal", "s")
			_, _ = io.WriteString(rw, "id: 1\n"+line+"data: x\n\nid: 2\n"+line)
			_ = http.NewResponseController(rw).Flush()
			abort()
		})
		_, _, body, complete := w.post(t, "/stream/", "k1")
		is.True(complete)
		is.Equal(body, "id: 1\n"+line+"data: x\n\nid: 2\ndata: 2\n\n")
		is.Equal(w.receivedHeaders()[1].Get("After"), "1")
	}
}

// endlessBytes is more than the socket buffers of a connection hold. If a peer could
// write this much, it was read without a limit.
const endlessBytes = 64 << 20

// writeUntilClosed writes text repeatedly until the connection is closed or it has
// written endlessBytes. It reports whether the connection was closed.
func writeUntilClosed(rw http.ResponseWriter, text string) bool {
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	for n := 0; n < endlessBytes; n += len(block) {
		if _, err := io.WriteString(rw, block); err != nil {
			return true
		}
	}
	return false
}

// Guards against bytes that never complete an event and are read, or forwarded as the
// response, until the deadline. A resumable stream must fail over. Any other stream may
// have run and must fail.
func TestEndlessEvent(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "\n", "\r\n"} {
		for _, path := range []string{"/stream/", "/single/"} {
			is := is.New(t)
			cut := make(chan bool, 1)
			w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, _ *http.Request) {
				if n > 1 {
					writeEvents(rw, 1, 1)
					return
				}
				rw.Header().Set("Id", "1")
				rw.Header().Set("Seal", "s")
				cut <- writeUntilClosed(rw, text)
			})
			status, _, body, complete := w.post(t, path, "k1")
			is.True(<-cut)
			is.True(complete)
			if path == "/single/" {
				is.Equal(status, http.StatusBadGateway)
				is.Equal(len(w.receivedHeaders()), 1)
				continue
			}
			is.Equal(status, http.StatusOK)
			is.Equal(body, "id: 1\ndata: 1\n\n")
			is.Equal(len(w.receivedHeaders()), 2)
		}
	}
}

// Guards against streams that use a large part of the memory for endless events. With
// a limit of 1 MiB per event, the 192 slots of one engine could take 192 MiB.
func TestLongEventBreaksStream(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			writeEvents(rw, 1, 1)
			return
		}
		rw.Header().Set("Id", "1")
		rw.Header().Set("Seal", "s")
		_, _ = io.WriteString(rw, "data: "+strings.Repeat("x", 128<<10))
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	})
	status, _, body, complete := w.post(t, "/stream/", "k1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: 1\n\n")
	is.True(complete)
}

// Guards against blank lines before, between and after events that are lost or break a
// stream.
func TestBlankLines(t *testing.T) {
	for _, text := range []string{
		"id: 1\ndata: 1\n\n\n\n\nid: 2\ndata: 2\n\n", "\n\r\nid: 1\ndata: 1\n\n",
		"id: 1\ndata: 1\n\n\n", "id: 1\ndata: 1\n\n\n\n\n\n", "\n", "",
	} {
		is := is.New(t)
		w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, text) })
		status, _, body, complete := w.post(t, "/single/", "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, text)
		is.True(complete)
	}
}

// Guards against a stream that is kept until its deadline, while other engines could
// continue it, because its engine repeats an event that the client already has.
func TestRepeatedEventsAreNoProgress(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			writeEvents(rw, 2, 2)
			return
		}
		for r.Context().Err() == nil {
			writeEvents(rw, 1, 1)
		}
		close(disconnected)
	})
	_, _, body, complete := w.post(t, "/brisk/", "k1")
	is.True(complete)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(w.receivedHeaders()[1].Get("After"), "1")
	<-disconnected
}

// Guards against a stream that is kept until its deadline because its engine sends
// comments, which are no content, instead of events.
func TestCommentsAreNoProgress(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 2, func(n int, rw http.ResponseWriter, r *http.Request) {
		if n > 1 {
			writeEvents(rw, 2, 2)
			return
		}
		writeEvents(rw, 1, 1)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(rw, ": busy\n\n")
			_ = http.NewResponseController(rw).Flush()
		}
	})
	_, _, body, complete := w.post(t, "/brisk/", "k1")
	is.True(complete)
	is.Equal(strings.ReplaceAll(body, ": busy\n\n", ""), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(w.receivedHeaders()[1].Get("After"), "1")
}

// Guards against log lines that quote all of what an upstream sent.
func TestLogLinesAreBounded(t *testing.T) {
	long := strings.Repeat("\x7f", 16<<10)
	for _, c := range []upstreamFunc{
		func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "id: "+long+"\ndata: 1\n\n") },
		func(_ int, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("At", strings.Repeat("a", 16<<10))
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		is := is.New(t)
		w := newTestGateway(t, 1, c)
		_, _, _, complete := w.post(t, "/single/", "k1")
		is.True(complete)
		w.server.Close()
		is.True(w.logs.FilterMessage("A stream broke.").Len() > 0)
		for _, e := range w.logs.All() {
			text, _ := e.ContextMap()["error"].(string)
			is.True(len(text) < 512)
		}
	}
}

// Guards against a request that is kept beyond its deadline because its body does not
// arrive.
func TestRequestBodyTimeout(t *testing.T) {
	for _, body := range []string{"Content-Length: 5\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		is := is.New(t)
		w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
		c, err := net.Dial("tcp", w.server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		is.NoErr(c.SetDeadline(time.Now().Add(testTimeout))) // a failing test would hang otherwise
		_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nBudget: 100\r\n"+body)
		is.NoErr(err)
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(p.StatusCode, http.StatusServiceUnavailable)
		is.Equal(len(w.receivedHeaders()), 0)
	}
}

// Guards against endless chunked request bodies.
func TestEndlessBodyOfClient(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) { respond(rw, "done") })
	for _, chunk := range []string{"40\r\n" + strings.Repeat("x", 64) + "\r\n", "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"} {
		c, err := net.Dial("tcp", w.server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nTransfer-Encoding: chunked\r\n\r\n")
		block := strings.Repeat(chunk, 1+(64<<10)/len(chunk))
		for n := 0; n < endlessBytes && err == nil; n += len(block) {
			_, err = io.WriteString(c, block)
		}
		is.True(err != nil)
	}
	is.Equal(len(w.receivedHeaders()), 0)
}

// Guards against a client that does not read its response and so keeps its request and
// connection open forever.
func TestClientThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Id", "1")
		rw.Header().Set("Seal", "s")
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 32<<10)); err != nil {
				return
			}
		}
	})
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /single/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k1\r\nBudget: 300\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusOK)
	ended := make(chan struct{})
	go func() {
		w.server.Close() // waits for requests in progress
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(testTimeout): // a failing test would hang otherwise
		t.Fatal("the request did not end")
	}
	ends := w.logs.FilterMessage("A request ended.").All()
	is.Equal(len(ends), 1)
	is.Equal(ends[0].ContextMap()["outcome"], "clientGone")
}
