// Package exchange sends individual HTTP/1.1 requests to upstreams over
// persistent connections. Unlike net/http it never retries a request by itself,
// and its errors report whether any byte was sent.
//
//	x, err := client.Send(ctx, target, request)
//	if err != nil {
//		return err // an *exchange.Error reports whether anything was sent
//	}
//	defer x.Close()
//	body, err := x.ReadBody(limit)
//	if err == nil {
//		x.Keep()
//	}
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/excerpt"
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the time to open a connection, which normally takes a
	// few milliseconds. TCP retransmits a lost SYN only after a second, so trying
	// another upstream is faster.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection is kept if the upstream sends no
	// Keep-Alive header. idleMargin is how long before the end of the idle timeout
	// the connection is no longer used.
	idleTimeout = 4 * time.Second
	idleMargin  = time.Second
	// tcpUserTimeout closes a connection whose sent bytes are not acknowledged.
	tcpUserTimeout = 2 * time.Second
	// maxResponses bounds the number of responses that are read in search of the
	// matching one, and of interim (1xx) responses before each of them.
	maxResponses = 3
	// maxSkippedBodyBytes bounds the body of a skipped response.
	maxSkippedBodyBytes = 256 << 10
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds the status line and the headers of a response, because
	// http.ReadResponse has no limit of its own. Upstreams send less than 1 KiB of
	// them. Many short header lines take up to 40 times their length in memory, so a
	// higher limit would strain small machines.
	maxHeaderBytes = 32 << 10
	// maxDrainBytes and drainTimeout bound the reading of a body whose content is not
	// used. A refusal has less than 1 KiB, which is sent together with its headers.
	// Waiting for a longer or later body would delay the request by more than opening
	// a new connection does.
	maxDrainBytes = 16 << 10
	drainTimeout  = 100 * time.Millisecond
)

// Target is the upstream that a request goes to.
type Target struct {
	ID      fleet.UpstreamID
	Address string
}

// Request is one request as it is sent to an upstream.
type Request struct {
	Method string
	// URI is the path and the query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request, and ResponseID returns the request ID that a response
	// carries. If ResponseID is nil, any response counts as the one to this request.
	ID         fleet.RequestID
	ResponseID func(h http.Header) fleet.RequestID
	// BeforeWrite is called once a connection is open, right before the request is
	// written, and may add headers. If it returns an error the request is not sent.
	BeforeWrite func(h http.Header) error
	// DedicatedConn requests a new connection that is closed after this request.
	// Upstreams may send a late duplicate of a response. The ID doesn't distinguish the
	// duplicate from the response if there is no ID, or if the request was sent to the
	// same upstream before.
	DedicatedConn bool
}

// matches reports whether a response belongs to the request. A response without an ID
// is an error on a reused connection.
func (r Request) matches(h http.Header, fresh bool) (bool, error) {
	if r.ResponseID == nil {
		return true, nil
	}
	id := r.ResponseID(h)
	if id == "" && r.ID != "" && !fresh {
		return false, errors.New("received a response without a request ID on a reused connection")
	}
	return id == r.ID || id == "", nil
}

// Error is a failed attempt.
type Error struct {
	// Sent reports that at least one byte was written, so the upstream may run the
	// request.
	Sent bool
	// ConnectFailed reports that no connection could be opened.
	ConnectFailed bool
	cause         error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Unsent reports whether an attempt failed before any byte was written, which means
// that the upstream did not receive the request.
func Unsent(err error) bool {
	var x *Error
	return errors.As(err, &x) && !x.Sent
}

// ConnectFailed reports whether an attempt failed because no connection could be opened.
func ConnectFailed(err error) bool {
	var x *Error
	return errors.As(err, &x) && x.ConnectFailed
}

// Unreachable reports whether an attempt failed because the upstream's host refused a
// connection or could not be reached. A connection that is reset while it is opened says
// nothing of the upstream's process.
func Unreachable(err error) bool {
	if !ConnectFailed(err) || errors.Is(err, context.Canceled) {
		return false
	}
	var n net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) ||
		errors.As(err, &n) && n.Timeout()
}

// ConnectionLost reports whether an attempt failed because the upstream closed or reset
// the connection.
func ConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Client sends requests and keeps idle connections to all upstreams for reuse. It is
// safe for concurrent use.
type Client struct {
	clock   fleet.Clock
	dial    Dial
	monitor *head.Monitor
	budget  *buffer.Budget

	mu      sync.Mutex
	idle    map[Target][]*conn
	maxIdle func(Target) int // limit of idle connections to a target
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	idleDeadline time.Time // the connection is not reused after it
	head         head.Scanner
}

// Read implements net.Conn. It fails at the first byte that makes the head of a response
// invalid.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if invalid := k.head.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// startHead begins the head of a response, of which the reader may hold a part.
func (k *conn) startHead() error {
	k.head.Start()
	b, err := k.reader.Peek(k.reader.Buffered())
	if err != nil {
		return err
	}
	return k.head.Scan(b)
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(d Dial) Option { return func(c *Client) { c.dial = d } }

// WithMonitor sets the monitor of invalid responses.
func WithMonitor(m *head.Monitor) Option { return func(c *Client) { c.monitor = m } }

// WithBudget sets the budget for the memory of responses. The default has no limit.
func WithBudget(b *buffer.Budget) Option { return func(c *Client) { c.budget = b } }

// DialTCP opens a TCP connection with the timeouts of this package.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// New returns a Client that has no connections yet.
func New(clock fleet.Clock, options ...Option) *Client {
	c := &Client{
		clock: clock, dial: DialTCP, idle: make(map[Target][]*conn),
		maxIdle: func(Target) int { return math.MaxInt }, monitor: &head.Monitor{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Exchange is a request whose response headers were received.
type Exchange struct {
	Response *http.Response
	// Fresh reports that the connection was opened for this request.
	Fresh     bool
	client    *Client
	target    Target
	conn      *conn
	charge    *buffer.Charge
	dedicated bool
	stop      func() bool
	released  bool
}

// Send writes the request and reads the headers of the response. Until Keep or Close
// is called, cancelling ctx closes the connection.
func (c *Client) Send(ctx context.Context, t Target, r Request) (*Exchange, error) {
	k, fresh, err := c.acquire(ctx, t, r.DedicatedConn)
	if err != nil {
		return nil, &Error{ConnectFailed: true, cause: err}
	}
	if err := r.beforeWrite(ctx); err != nil {
		_ = k.Close()
		return nil, &Error{cause: errors.Wrapf(err, "upstream %s at %s", t.ID, t.Address)}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	charge := c.budget.Open(func() { _ = k.Close() })
	k.head.Grow = charge.Add
	n, err := k.Write(r.encode())
	if err == nil {
		var p *http.Response
		if p, err = k.readResponse(r, fresh); err == nil {
			x := &Exchange{Response: p, Fresh: fresh, client: c, target: t, conn: k, charge: charge, dedicated: r.DedicatedConn, stop: stop}
			x.wrapBody()
			return x, nil
		}
	}
	stop()
	_ = k.Close()
	c.monitor.Record(t.ID, t.Address, err)
	err = charge.Err(err)
	charge.Release()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Error{Sent: n > 0, cause: errors.Wrapf(err, "upstream %s at %s", t.ID, t.Address)}
}

// acquire returns an idle connection, or opens a new one if there is none or if fresh is
// set. The second result reports whether the connection is new.
func (c *Client) acquire(ctx context.Context, t Target, fresh bool) (*conn, bool, error) {
	for !fresh {
		k := c.popIdle(t)
		if k == nil {
			break
		}
		if k.usable() {
			return k, false, nil
		}
		_ = k.Close()
	}
	n, err := c.dial(ctx, t.Address)
	if err != nil {
		return nil, false, errors.Wrapf(err, "connect to upstream %s", t.ID)
	}
	k := &conn{Conn: n, head: head.Scanner{Limit: maxHeaderBytes}}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	return k, true, nil
}

// RefusesConnections reports whether an upstream refuses a new connection, as it does
// after its process has crashed.
func (c *Client) RefusesConnections(ctx context.Context, t Target) bool {
	n, err := c.dial(ctx, t.Address)
	if err == nil {
		_ = n.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// popIdle removes and returns the idle connection to t that was used last, or nil. It
// closes those past their deadline.
func (c *Client) popIdle(t Target) *conn {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ks := c.idle[t]
	for len(ks) > 0 {
		k := ks[len(ks)-1]
		ks = ks[:len(ks)-1]
		c.idle[t] = ks
		if now.Before(k.idleDeadline) {
			return k
		}
		_ = k.Close()
	}
	return nil
}

// usable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrived on an idle connection belong to no request, so the connection is not reused.
func (k *conn) usable() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = e == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// readResponse reads the headers of the response to r. It skips complete responses to
// earlier requests.
func (k *conn) readResponse(r Request, fresh bool) (*http.Response, error) {
	for range maxResponses {
		p, err := k.readHead(r)
		if err != nil {
			return nil, err
		}
		match, err := r.matches(p.Header, fresh)
		if err != nil {
			return nil, err
		}
		if match {
			return p, nil
		}
		if p.Close || p.ContentLength < 0 && len(p.TransferEncoding) == 0 {
			return nil, errors.New("response belongs to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxSkippedBodyBytes)); err != nil || n == maxSkippedBodyBytes {
			return nil, errors.New("response belongs to another request")
		}
		if err := head.CheckTrailer(p.Trailer); err != nil {
			return nil, err
		}
	}
	return nil, errors.Errorf("no matching response among the first %d", maxResponses)
}

// readHead reads the head of the next response that is not an interim (1xx) response.
func (k *conn) readHead(r Request) (*http.Response, error) {
	err := k.startHead()
	for range maxResponses {
		var p *http.Response
		if err == nil {
			p, err = http.ReadResponse(k.reader, &http.Request{Method: r.Method})
		}
		if err != nil {
			return nil, errors.Wrap(excerpt.Error(err), "read response")
		}
		if p.StatusCode >= http.StatusOK {
			return p, nil
		}
	}
	return nil, errors.Errorf("more than %d interim responses", maxResponses-1)
}

// beforeWrite calls BeforeWrite. It returns an error if the request must not be sent.
func (r Request) beforeWrite(ctx context.Context) error {
	if ctx.Err() != nil || r.BeforeWrite == nil {
		return ctx.Err()
	}
	return r.BeforeWrite(r.Header)
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a bytes.Buffer never fails
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// ReadBody returns the whole body. It fails if the body exceeds limit bytes.
func (x *Exchange) ReadBody(limit int64) ([]byte, error) {
	if x.Response.ContentLength > limit && x.Response.Body != http.NoBody {
		return nil, errors.Errorf("response body has %d bytes, limit is %d", x.Response.ContentLength, limit)
	}
	body, err := buffer.ReadAll(io.LimitReader(x.Response.Body, limit+1), x.charge)
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("response body exceeds %d bytes", limit)
	}
	return body, err
}

// Drain discards the body and keeps the connection for reuse. If the body is longer
// than maxDrainBytes or doesn't end within drainTimeout, it closes the connection and
// returns an error.
func (x *Exchange) Drain() error {
	err := x.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	if err == nil {
		_, err = x.ReadBody(maxDrainBytes)
	}
	if err == nil {
		err = x.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		x.Close()
		return errors.Wrap(err, "drain response body")
	}
	x.Keep()
	return nil
}

// Keep makes the connection available to further requests, or closes it if it is
// dedicated or can't be reused. It must be called only after the whole body was read.
func (x *Exchange) Keep() {
	p := x.Response
	idleDeadline, ok := x.client.connDeadline(p)
	if !x.stop() || x.charge.OnAbort(func() {}) != nil || x.dedicated || p.Close || !ok || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		x.released = true
		return
	}
	x.released = true
	x.conn.idleDeadline = idleDeadline
	c := x.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[x.target]) >= c.maxIdle(x.target) {
		_ = x.conn.Close()
		return
	}
	c.idle[x.target] = append(c.idle[x.target], x.conn)
}

// connDeadline returns the time until which a connection may be reused, and whether it
// may be reused at all. The upstream may set its idle timeout in a Keep-Alive header.
func (c *Client) connDeadline(p *http.Response) (time.Time, bool) {
	timeout := idleTimeout
	if s := p.Header.Get("Keep-Alive"); s != "" {
		_, after, _ := strings.Cut(s, "timeout=")
		digits, _, _ := strings.Cut(after, ",")
		if n, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil {
			timeout = time.Duration(n) * time.Second
		}
	}
	return c.clock.Now().Add(timeout - idleMargin), timeout > idleMargin
}

// Charge adds a number of bytes to the memory of the response until Close.
func (x *Exchange) Charge(bytes int64) error { return x.charge.Add(bytes) }

// Detach returns the charge for the memory of the response, which its caller must release.
// The body must have been read. The error is that of an aborted response.
func (x *Exchange) Detach() (*buffer.Charge, error) {
	if err := x.charge.OnAbort(func() {}); err != nil {
		return nil, err
	}
	c := x.charge
	x.charge = nil
	return c, nil
}

// Close closes the connection unless Keep was called, and releases the memory of the
// response unless Detach was called.
func (x *Exchange) Close() {
	x.stop()
	x.charge.Release()
	if !x.released {
		x.released = true
		_ = x.conn.Close()
	}
}

// SetMaxIdle sets the limit of idle connections to each target, and closes those beyond
// it. Connections in use are not limited.
func (c *Client) SetMaxIdle(maxIdle func(Target) int) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = maxIdle
	for t, ks := range c.idle {
		limit := maxIdle(t)
		var kept []*conn
		for _, k := range ks {
			if len(kept) >= limit || !now.Before(k.idleDeadline) {
				_ = k.Close()
				continue
			}
			kept = append(kept, k)
		}
		if len(kept) == 0 {
			delete(c.idle, t)
			continue
		}
		c.idle[t] = kept
	}
}
