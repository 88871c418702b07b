package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
)

// endlessBytes exceeds what the socket buffers of a connection hold. If an upstream could
// write this much, the client read it without a limit.
const endlessBytes = 64 << 20

// endlessUpstream answers a request with start and then repeats more until the connection
// is closed or endlessBytes are written. closedEarly receives whether the connection was
// closed before that.
type endlessUpstream struct {
	listener    net.Listener
	closedEarly chan bool
}

func newEndlessUpstream(t *testing.T, start, more string) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	e := &endlessUpstream{listener: l, closedEarly: make(chan bool, 1)}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		block := strings.Repeat(more, 1+(64<<10)/len(more))
		_, err = io.WriteString(c, start)
		for n := 0; n < endlessBytes && err == nil; n += len(block) {
			_, err = io.WriteString(c, block)
		}
		e.closedEarly <- err != nil
	}()
	return e
}

func (e *endlessUpstream) target() exchange.Target {
	return exchange.Target{ID: "u1", Address: e.listener.Addr().String()}
}

// Guards against running out of memory, or waiting for the deadline, while an upstream
// sends a status line or headers without end. The request was sent, so it may have run.
func TestEndlessHeader(t *testing.T) {
	for _, c := range []struct{ name, start, more string }{
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"no status line", "", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nA: a\r\n", " a\r\n"},
		{"blank lines", "", "\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"interim answers with headers", "", "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n"},
		{"answers to other requests", "", response("9", "late")},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		{"chunks of an answer to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndlessUpstream(t, c.start, c.more)
			_, err := exchange.New(systemclock.Clock{}).Send(context.Background(), e.target(), request("1"))
			var x *exchange.Error
			is.True(errors.As(err, &x))
			is.True(x.Sent)
			is.True(!x.ConnectFailed)
			is.True(<-e.closedEarly)
		})
	}
}

// Guards against reading chunk framing without end, which is not part of the content.
func TestEndlessChunks(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, start, more string }{
		{"chunk extension", head + "1;", "x"},
		{"chunk extensions", head, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"},
		{"size of a chunk", head, "0"},
		{"trailer line", head + "0\r\nA: ", "x"},
		{"trailer lines", head + "0\r\n", "A: x\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndlessUpstream(t, c.start, c.more)
			x, err := exchange.New(systemclock.Clock{}).Send(context.Background(), e.target(), request("1"))
			is.NoErr(err)
			_, err = io.Copy(io.Discard, x.Response.Body)
			is.True(err != nil)
			x.Close()
			is.True(<-e.closedEarly)
		})
	}
}

// Guards against a response that is taken as complete although its upstream closed the
// connection inside of the head, the body or the chunks.
func TestResponseEndsEarly(t *testing.T) {
	var cut atomic.Pointer[string]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, *cut.Load())
			}
			_ = c.Close()
		}
	}()
	client, target := exchange.New(systemclock.Clock{}), exchange.Target{ID: "u1", Address: l.Addr().String()}
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: 1\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", // any end after the head is that of the body
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		response("9", "late") + response("1", "body"),
	} {
		for n := range len(whole) + 1 {
			text := whole[:n]
			cut.Store(&text)
			r := request("1")
			r.DedicatedConn = true
			x, err := client.Send(context.Background(), target, r)
			if err == nil {
				_, err = x.ReadBody(100)
				x.Close()
			}
			if complete := n == len(whole); complete != (err == nil) {
				t.Errorf("%q: error %v", text, err)
			}
		}
	}
}

// Guards against a header limit that also counts the bytes of bodies, or of earlier
// responses on the same connection.
func TestHeaderLimitExcludesBodies(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 100<<10)
	longResponse := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nA: " + strings.Repeat("a", 20<<10) + "\r\nContent-Length: 102400\r\n\r\n" + body
	}
	p := newFakeUpstream(t, longResponse("1"), longResponse("1")+longResponse("2"))
	c := exchange.New(systemclock.Clock{})
	for _, id := range []string{"1", "2"} {
		b, err := send(t, c, p, id)
		is.NoErr(err)
		is.Equal(b, body)
	}
	_, conns := p.counts()
	is.Equal(conns, 1)
}

// Guards against errors and log lines that quote all of the garbage that an upstream sent
// instead of a response.
func TestErrorExcerptsAreShort(t *testing.T) {
	garbage := strings.Repeat("\x01", 20<<10)
	for _, response := range []string{garbage + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + garbage + "\r\n\r\n", "HTTP/1.1 " + garbage + "\r\n\r\n"} {
		is := is.New(t)
		_, err := send(t, exchange.New(systemclock.Clock{}), newFakeUpstream(t, response), "1")
		is.True(err != nil)
		is.True(len(err.Error()) < 512)
	}
}
