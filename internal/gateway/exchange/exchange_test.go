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

// fakeUpstream answers each request with the next of its responses, and closes the
// connection if that is empty or if none is left.
type fakeUpstream struct {
	listener  net.Listener
	mu        sync.Mutex
	responses []string
	requests  int
	conns     int
}

func newFakeUpstream(t *testing.T, responses ...string) *fakeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &fakeUpstream{listener: l, responses: responses}
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

func (p *fakeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		response := p.nextResponse()
		if response == "" {
			return
		}
		_, _ = io.WriteString(c, response)
	}
}

func (p *fakeUpstream) nextResponse() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if len(p.responses) == 0 {
		return ""
	}
	response := p.responses[0]
	p.responses = p.responses[1:]
	return response
}

func (p *fakeUpstream) counts() (requests, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests, p.conns
}

func (p *fakeUpstream) target() exchange.Target {
	return exchange.Target{ID: "u1", Address: p.listener.Addr().String()}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string) exchange.Request {
	return exchange.Request{
		Method: http.MethodPost, URI: "/a?b=c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		ID: fleet.RequestID(id), ResponseID: func(h http.Header) fleet.RequestID { return fleet.RequestID(h.Get("Id")) },
	}
}

func send(t *testing.T, c *exchange.Client, p *fakeUpstream, id string) (string, error) {
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

// Guards against opening a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), response("2", "two"))
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

// Guards against returning the response of another request: a late duplicate of the
// previous response must be skipped.
func TestUnmatchedResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), response("1", "late")+response("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	b, err := send(t, c, p, "2")
	is.NoErr(err)
	is.Equal(b, "two")
}

// Guards against reading stray bytes after a response as the next response.
func TestConnectionWithUnreadBytesIsClosed(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one")+"garbage", response("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	b, err := send(t, c, p, "2")
	is.NoErr(err)
	is.Equal(b, "two")
	_, conns := p.counts()
	is.Equal(conns, 2)
}

// Guards against repeating a request that the upstream may have run: if the upstream
// closes the connection, Send must return an error that reports that bytes were sent.
func TestRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), "")
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	_, err = send(t, c, p, "2")
	var x *exchange.Error
	is.True(errors.As(err, &x))
	is.True(x.Sent)
	is.True(!x.ConnectFailed)
	requests, _ := p.counts()
	is.Equal(requests, 2)
}

// Guards against reporting a failure to connect as a request that may have run.
func TestConnectFailure(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t)
	is.NoErr(p.listener.Close())
	_, err := send(t, exchange.New(systemclock.Clock{}), p, "1")
	var x *exchange.Error
	is.True(errors.As(err, &x))
	is.True(x.ConnectFailed)
	is.True(!x.Sent)
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponse(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, strings.Replace(response("1", "one"), "Length: 3", "Length: 9", 1), "")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	x, err := exchange.New(systemclock.Clock{}).Send(ctx, p.target(), request("1"))
	is.NoErr(err)
	cancel() // closes the connection before the end of the body
	_, err = io.ReadAll(x.Response.Body)
	is.True(err != nil)
	x.Close()
}

// Guards against keeping connections to upstreams that are gone: another upstream may
// take over the address.
func TestConnectionsOfRemovedUpstreamAreClosed(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), response("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	c.SetMaxIdle(func(exchange.Target) int { return 0 })
	_, err = send(t, c, p, "2")
	is.NoErr(err)
	_, conns := p.counts()
	is.Equal(conns, 2)
}

// Guards against rejecting a response to HEAD because its Content-Length exceeds the
// limit, although it has no body.
func TestHeadResponseWithContentLength(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n"
	p := newFakeUpstream(t, head, head)
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

// responseWithoutID is a refusal that carries no request ID.
const responseWithoutID = "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"

// Guards against taking a late refusal without an ID for the response to the next
// request, which would then count as not run although the upstream runs it.
func TestResponseWithoutIDOnReusedConnection(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), responseWithoutID+response("2", "two"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	_, err = send(t, c, p, "2")
	is.True(err != nil)
	is.True(!exchange.Unsent(err)) // it may have run
}

// Guards against waiting for another response after a refusal without an ID on a new
// connection, where it can only belong to this request.
func TestResponseWithoutIDOnNewConnection(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, responseWithoutID)
	x, err := exchange.New(systemclock.Clock{}).Send(context.Background(), p.target(), request("1"))
	is.NoErr(err)
	defer x.Close()
	is.Equal(x.Response.StatusCode, http.StatusServiceUnavailable)
}

// Guards against sharing a dedicated connection with earlier or later requests.
func TestDedicatedConnection(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), response("1", "two"), response("3", "three"))
	c := exchange.New(systemclock.Clock{})
	_, err := send(t, c, p, "1")
	is.NoErr(err)
	r := request("1")
	r.DedicatedConn = true
	x, err := c.Send(context.Background(), p.target(), r)
	is.NoErr(err)
	b, err := x.ReadBody(10)
	is.NoErr(err)
	x.Keep()
	is.Equal(string(b), "two")
	_, err = send(t, c, p, "3")
	is.NoErr(err)
	_, conns := p.counts()
	is.Equal(conns, 2) // the third request reuses the connection of the first
}

// Guards against keeping idle connections beyond the limit: upstreams with too many
// connections reset those in use.
func TestIdleConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	p := newFakeUpstream(t, response("1", "one"), response("1", "two"), response("1", "three"), response("1", "four"))
	c := exchange.New(systemclock.Clock{})
	c.SetMaxIdle(func(exchange.Target) int { return 1 })
	for _, wantConns := range []int{2, 3} {
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
		is.Equal(conns, wantConns)
	}
}
