// Package exchange sends single HTTP/1.1 requests to upstreams over kept
// connections. Unlike net/http it never repeats a request by itself, and an
// error tells whether any byte was sent.
//
//	x, err := client.Send(ctx, target, request)
//	if err != nil {
//		return err // errors.As(err, *exchange.Error) tells what was sent
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
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the time to open a connection, which takes a few
	// milliseconds. A lost packet is sent again after a second, so another
	// upstream is faster.
	connectTimeout = 400 * time.Millisecond
	// idleLimit is how long a connection is kept when the upstream says nothing,
	// and idleMargin the time before the stated end at which it is not used any
	// more.
	idleLimit  = 4 * time.Second
	idleMargin = time.Second
	// userTimeout ends a connection whose sent bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// maxStray bounds the answers to earlier requests and the interim answers that are
	// passed over.
	maxStray = 3
	// strayBytes bounds the body of such an answer.
	strayBytes = 256 << 10
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and the headers of an answer, which
	// http.ReadResponse reads to their end however long they are. Heads of upstreams
	// have less than 1 KiB. A head of short header lines takes up to 40 times its
	// length in memory, so a larger bound would be felt on small machines.
	maxHeadBytes = 32 << 10
	// noBound lets a connection be read without a bound, because the reader of a
	// body has its own.
	noBound = -1
	// drainBytes and drainTime bound the body of an answer whose content is not used.
	// A refusal has less than 1 KiB, which is sent together with its head. One that
	// is longer or later costs its request more time than a new connection costs.
	drainBytes = 16 << 10
	drainTime  = 100 * time.Millisecond
)

// errLongHead tells that an upstream sends a head without an end.
var errLongHead = errors.Errorf("the head has more than %d bytes", maxHeadBytes)

// Target is the upstream that a request goes to.
type Target struct {
	ID      fleet.UpstreamID
	Address string
}

// Request is one request as it goes over the wire.
type Request struct {
	Method string
	// URI is the path with the query as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID names the request, and AnswerID returns the id that an answer bears. Without
	// AnswerID each answer counts as the one to this request.
	ID       fleet.RequestID
	AnswerID func(h http.Header) fleet.RequestID
	// Prepare is called once a connection is open, right before the request is written,
	// and may complete the header. After an error the request is not sent.
	Prepare func(h http.Header) error
	// Single asks for a connection that is opened for this request and closed after
	// it. Upstreams may repeat an answer late, and the id does not tell the copy from
	// the answer if there is none, or if the request was sent to the upstream before.
	Single bool
}

// owns reports whether an answer is the one to the request. One without an id is an
// error on a connection that was used before.
func (r Request) owns(h http.Header, fresh bool) (bool, error) {
	if r.AnswerID == nil {
		return true, nil
	}
	id := r.AnswerID(h)
	if id == "" && r.ID != "" && !fresh {
		return false, errors.New("an answer without an id came on a connection that was used before")
	}
	return id == r.ID || id == "", nil
}

// Error is a failed attempt.
type Error struct {
	// Sent tells that at least one byte was written, so that the upstream may run
	// the request.
	Sent bool
	// Refused tells that no connection could be opened.
	Refused bool
	cause   error
}

// Error describes the failure.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Unsent reports whether an attempt failed before any byte was written, so that the
// upstream certainly did not get the request.
func Unsent(err error) bool {
	var x *Error
	return errors.As(err, &x) && !x.Sent
}

// Refused reports whether an attempt failed because no connection could be opened.
func Refused(err error) bool {
	var x *Error
	return errors.As(err, &x) && x.Refused
}

// Client keeps the connections to all upstreams. It is safe for concurrent use.
type Client struct {
	clock fleet.Clock
	dial  Dial

	mu   sync.Mutex
	idle map[Target][]*conn
	most func(Target) int // connections to keep
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // the connection is not used after it
	// bound is the number of bytes that may still be read, or noBound.
	bound int
}

// Read implements net.Conn. What the buffer holds when a head begins doesn't count.
func (k *conn) Read(b []byte) (int, error) {
	if k.bound == noBound {
		return k.Conn.Read(b)
	}
	if k.bound == 0 {
		return 0, errLongHead
	}
	n, err := k.Conn.Read(b[:min(len(b), k.bound)])
	k.bound -= n
	return n, err
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Option changes a Client at its construction.
type Option func(*Client)

// WithDial replaces how connections are opened.
func WithDial(d Dial) Option { return func(c *Client) { c.dial = d } }

// DialTCP opens a connection with the time limits of this package.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: control}
	return d.DialContext(ctx, "tcp", address)
}

// New returns a Client without connections.
func New(clock fleet.Clock, options ...Option) *Client {
	c := &Client{
		clock: clock, dial: DialTCP, idle: make(map[Target][]*conn),
		most: func(Target) int { return math.MaxInt },
	}
	for _, o := range options {
		o(c)
	}
	return c
}

func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Exchange is a request whose answer has begun.
type Exchange struct {
	Response *http.Response
	// Fresh tells that the connection was opened for this request.
	Fresh  bool
	client *Client
	target Target
	conn   *conn
	single bool
	stop   func() bool
	kept   bool
}

// Send writes the request and reads the head of the answer. Cancelling ctx closes
// the connection at any time until Keep or Close.
func (c *Client) Send(ctx context.Context, t Target, r Request) (*Exchange, error) {
	k, fresh, err := c.take(ctx, t, r.Single)
	if err != nil {
		return nil, &Error{Refused: true, cause: err}
	}
	if err := r.prepare(ctx); err != nil {
		_ = k.Close()
		return nil, &Error{cause: errors.Wrapf(err, "upstream %s at %s", t.ID, t.Address)}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	n, err := k.Write(r.encode())
	if err == nil {
		var p *http.Response
		if p, err = k.answer(r, fresh); err == nil {
			return &Exchange{Response: p, Fresh: fresh, client: c, target: t, conn: k, single: r.Single, stop: stop}, nil
		}
	}
	stop()
	_ = k.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Error{Sent: n > 0, cause: errors.Wrapf(err, "upstream %s at %s", t.ID, t.Address)}
}

// take returns a kept connection, unless a new one is asked for, or opens one.
func (c *Client) take(ctx context.Context, t Target, fresh bool) (*conn, bool, error) {
	for !fresh {
		k := c.pop(t)
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
	k := &conn{Conn: n, bound: noBound}
	k.reader = bufio.NewReaderSize(k, bufferBytes)
	return k, true, nil
}

func (c *Client) pop(t Target) *conn {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ks := c.idle[t]
	for len(ks) > 0 {
		k := ks[len(ks)-1]
		ks = ks[:len(ks)-1]
		c.idle[t] = ks
		if now.Before(k.until) {
			return k
		}
		_ = k.Close()
	}
	return nil
}

// usable reports whether a kept connection is open and silent. Bytes that came
// without a request belong to none, and the connection with them is closed.
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = e == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

// answer reads the head of the answer to r, and passes over complete answers to
// earlier requests.
func (k *conn) answer(r Request, fresh bool) (*http.Response, error) {
	for range maxStray {
		k.bound = maxHeadBytes
		p, err := http.ReadResponse(k.reader, &http.Request{Method: r.Method})
		k.bound = noBound
		if err != nil {
			return nil, errors.Wrap(excerpt.Error(err), "read the answer")
		}
		if p.StatusCode < http.StatusOK {
			continue
		}
		own, err := r.owns(p.Header, fresh)
		if err != nil {
			return nil, err
		}
		if own {
			return p, nil
		}
		if p.Close || p.ContentLength < 0 && len(p.TransferEncoding) == 0 {
			return nil, errors.New("the answer belongs to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(p.Body, strayBytes)); err != nil || n == strayBytes {
			return nil, errors.New("the answer belongs to another request")
		}
	}
	return nil, errors.Errorf("no answer to the request among the first %d", maxStray)
}

// prepare returns an error if the request must not be sent any more.
func (r Request) prepare(ctx context.Context) error {
	if ctx.Err() != nil || r.Prepare == nil {
		return ctx.Err()
	}
	return r.Prepare(r.Header)
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a Buffer does not fail
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// ReadBody returns the whole body. A body of more than limit bytes is an error.
func (x *Exchange) ReadBody(limit int64) ([]byte, error) {
	if x.Response.ContentLength > limit && x.Response.Body != http.NoBody {
		return nil, errors.Errorf("the answer has %d bytes, more than %d", x.Response.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("the answer has more than %d bytes", limit)
	}
	return body, err
}

// Drain reads a body that is not used and keeps the connection. It closes the
// connection, and returns why, if the body is long or does not end soon.
func (x *Exchange) Drain() error {
	err := x.conn.SetReadDeadline(time.Now().Add(drainTime))
	if err == nil {
		_, err = x.ReadBody(drainBytes)
	}
	if err == nil {
		err = x.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		x.Close()
		return errors.Wrap(err, "read the rest of the answer")
	}
	x.Keep()
	return nil
}

// Keep returns the connection for further requests, or closes the one of a single
// request. It must be called only after the whole body was read.
func (x *Exchange) Keep() {
	p := x.Response
	until, ok := x.client.keepUntil(p)
	if !x.stop() || x.single || p.Close || !ok || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		x.kept = true
		return
	}
	x.kept = true
	x.conn.until = until
	c := x.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[x.target]) >= c.most(x.target) {
		_ = x.conn.Close()
		return
	}
	c.idle[x.target] = append(c.idle[x.target], x.conn)
}

func (c *Client) keepUntil(p *http.Response) (time.Time, bool) {
	limit := idleLimit
	if s := p.Header.Get("Keep-Alive"); s != "" {
		_, after, _ := strings.Cut(s, "timeout=")
		digits, _, _ := strings.Cut(after, ",")
		if n, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil {
			limit = time.Duration(n) * time.Second
		}
	}
	return c.clock.Now().Add(limit - idleMargin), limit > idleMargin
}

// Close closes the connection unless it was kept.
func (x *Exchange) Close() {
	x.stop()
	if !x.kept {
		x.kept = true
		_ = x.conn.Close()
	}
}

// Limit bounds the connections that are kept to each target, and closes those beyond.
// The connections in use have no bound here.
func (c *Client) Limit(most func(Target) int) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
	for t, ks := range c.idle {
		n := most(t)
		var rest []*conn
		for _, k := range ks {
			if len(rest) >= n || !now.Before(k.until) {
				_ = k.Close()
				continue
			}
			rest = append(rest, k)
		}
		if len(rest) == 0 {
			delete(c.idle, t)
			continue
		}
		c.idle[t] = rest
	}
}
