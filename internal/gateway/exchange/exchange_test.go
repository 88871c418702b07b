package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
)

// peer is an upstream that answers each request on a connection with the next
// text, and closes the connection at an empty one.
type peer struct {
	listener net.Listener
	mu       sync.Mutex
	texts    []string
	requests int
	conns    int
}

func newPeer(t *testing.T, texts ...string) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &peer{listener: l, texts: texts}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			go p.serve(c)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		text := p.next()
		if text == "" {
			return
		}
		_, _ = io.WriteString(c, text)
	}
}

func (p *peer) next() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if len(p.texts) == 0 {
		return ""
	}
	text := p.texts[0]
	p.texts = p.texts[1:]
	return text
}

func (p *peer) counts() (requests, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests, p.conns
}

func (p *peer) target() exchange.Target {
	return exchange.Target{ID: "u1", Address: p.listener.Addr().String()}
}

func text(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string) exchange.Request {
	return exchange.Request{
		Method: http.MethodPost, URI: "/a?b=c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		ID: fleet.RequestID(id), AnswerID: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get("Id")) },
	}
}

func send(t *testing.T, c *exchange.Client, p *peer, id string) (string, error) {
	t.Helper()
	x, err := c.Send(context.Background(), p.target(), request(id))
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := io.ReadAll(x.Response.Body)
	if err != nil {
		return "", err
	}
	x.Keep()
	return string(b), nil
}

// Guards against a new connection for each request.
func TestConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), text("2", "two"))
	c := exchange.New(systemclock.Clock{})
	b, err := send(t, c, p, "1")
	is.NoErr(err)
	is.Equal(b, "one")
	b, err = send(t, c, p, "2")
	is.NoErr(err)
	is.Equal(b, "two")
	_, conns := p.counts()
	is.Equal(conns, 1)
}

// Guards against an answer that goes to another request: a late second answer to
// the request before is passed over.
func TestStrayAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), text("1", "late")+text("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	b, err := send(t, c, p, "2")
	is.NoErr(err)
	is.Equal(b, "two")
}

// Guards against bytes after an answer that are read as the next one.
func TestConnectionWithBytesLeftIsNotKept(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one")+"garbage", text("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	b, err := send(t, c, p, "2")
	is.NoErr(err)
	is.Equal(b, "two")
	_, conns := p.counts()
	is.Equal(conns, 2)
}

// Guards against a request that is sent again although the upstream may have run
// it: a closed connection is an error that says that bytes were sent.
func TestNothingIsSentAgain(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), "")
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	_, err = send(t, c, p, "2")
	var x *exchange.Error
	is.True(errors.As(err, &x))
	is.True(x.Sent)
	is.True(!x.Refused)
	requests, _ := p.counts()
	is.Equal(requests, 2)
}

// Guards against a failed connection that counts as a request that may have run.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	is.NoErr(p.listener.Close())
	_, err := send(t, exchange.New(systemclock.Clock{}), p, "1")
	var x *exchange.Error
	is.True(errors.As(err, &x))
	is.True(x.Refused)
	is.True(!x.Sent)
}

// Guards against a truncated answer that looks complete.
func TestTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, strings.Replace(text("1", "one"), "Length: 3", "Length: 9", 1), "")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	x, err := exchange.New(systemclock.Clock{}).Send(ctx, p.target(), request("1"))
	is.NoErr(err)
	cancel() // closes the connection in the middle of the body
	_, err = io.ReadAll(x.Response.Body)
	is.True(err != nil)
	x.Close()
}

// Guards against connections to upstreams that are gone, which another one may
// take the address of.
func TestForget(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), text("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	c.Limit(func(exchange.Target) int { return 0 })
	_, err = send(t, c, p, "2")
	is.NoErr(err)
	_, conns := p.counts()
	is.Equal(conns, 2)
}

// Guards against answers to HEAD that fail because of the length of a body that they
// don't have.
func TestLengthWithoutBody(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n"
	p := newPeer(t, head, head)
	c := exchange.New(systemclock.Clock{})
	for range 2 {
		q := request("1")
		q.Method, q.Body = http.MethodHead, nil
		x, err := c.Send(context.Background(), p.target(), q)
		is.NoErr(err)
		b, err := x.ReadBody(1 << 10)
		is.NoErr(err)
		is.Equal(len(b), 0)
		x.Keep()
	}
	_, conns := p.counts()
	is.Equal(conns, 1)
}

// unnamed is a refusal that bears no id.
const unnamed = "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"

// Guards against a late refusal without an id that is taken for the answer to the next
// request, which then counts as not run though it runs.
func TestUnnamedAnswerOnKeptConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), unnamed+text("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	_, err = send(t, c, p, "2")
	is.True(err != nil)
	is.True(!exchange.Unsent(err)) // it may have run
}

// Guards against a request that waits for another answer after a refusal without an id
// that can only be its own.
func TestUnnamedAnswerOnNewConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, unnamed)
	x, err := exchange.New(systemclock.Clock{}).Send(context.Background(), p.target(), request("1"))
	is.NoErr(err)
	defer x.Close()
	is.Equal(x.Response.StatusCode, http.StatusServiceUnavailable)
}

// Guards against a single request on a connection that others used, or use after it.
func TestSingleRequestSharesNoConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), text("1", "two"), text("3", "three"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	r := request("1")
	r.Single = true
	x, err := c.Send(context.Background(), p.target(), r)
	is.NoErr(err)
	b, err := x.ReadBody(10)
	is.NoErr(err)
	x.Keep()
	is.Equal(string(b), "two")
	_, err = send(t, c, p, "3")
	is.NoErr(err)
	_, conns := p.counts()
	is.Equal(conns, 2) // the third request uses the connection of the first
}

// Guards against unused connections beyond the limit, which upstreams answer with
// resets of those in use.
func TestKeptConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, text("1", "one"), text("1", "two"), text("1", "three"), text("1", "four"))
	c := exchange.New(systemclock.Clock{})
	c.Limit(func(exchange.Target) int { return 1 })
	for _, most := range []int{2, 3} {
		var xs []*exchange.Exchange
		for range 2 {
			x, err := c.Send(context.Background(), p.target(), request("1"))
			is.NoErr(err)
			_, err = x.ReadBody(10)
			is.NoErr(err)
			xs = append(xs, x)
		}
		for _, x := range xs {
			x.Keep()
		}
		_, conns := p.counts()
		is.Equal(conns, most)
	}
}
