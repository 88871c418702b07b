// Package engine implements the clients of model engines and plain services over
// HTTP, as specified in docs/api.md.
//
// A Dialer keeps idle connections to upstreams that echo the id of a call in their
// response, and opens a new connection for each call to other upstreams:
//
//	dialer := engine.NewDialer()
//	defer dialer.Close()
//	result, err := dialer.Engine(u).Step(ctx, step)
//
// Every error has a kind of package refusal. An error is of kind
// refusal.NoUpstream only if no connection to the upstream was obtained, so that no
// byte of the call was sent.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// Defaults of a Dialer.
const (
	DefaultDialTimeout      = time.Second
	DefaultCallTimeout      = time.Minute
	DefaultMaxResponseBytes = 64 << 20 // bytes
	maxIdleConns            = 256      // for each upstream
	// maxHeaderBytes bounds the header of a response. The default of net/http is
	// 10 MiB, and each call may read that much. Callers may also send headers of up
	// to 64 KiB.
	maxHeaderBytes = 64 << 10
	// idleTimeout is shorter than the usual idle timeout of servers, so that a
	// call is rarely sent on a connection that the server is about to close.
	idleTimeout = 20 * time.Second
	// poolRetention is the time after which the connection pool of an unused upstream
	// is closed.
	poolRetention = 10 * time.Minute
)

// Dialer returns clients of upstreams. It is safe for concurrent use.
type Dialer struct {
	dialTimeout      time.Duration
	callTimeout      time.Duration
	maxResponseBytes int64
	monitor          *head.Monitor
	budget           *buffer.Budget

	pools board.ShardedMap[fleet.UpstreamID, *pool]

	mu        sync.Mutex
	lastSweep time.Time
}

// pool is the connection pool of one upstream at one address.
type pool struct {
	id        fleet.UpstreamID
	address   string
	transport *http.Transport
	dialer    *Dialer
	lastUsed  time.Time
	// echoesCallID tells that the upstream echoes the ids of calls, so that its
	// connections can be reused.
	echoesCallID atomic.Bool
}

// Option changes a Dialer.
type Option func(*Dialer)

// WithDialTimeout sets the timeout for connecting.
func WithDialTimeout(d time.Duration) Option {
	return func(x *Dialer) { x.dialTimeout = d }
}

// WithCallTimeout sets the timeout of one call, including connecting.
func WithCallTimeout(d time.Duration) Option {
	return func(x *Dialer) { x.callTimeout = d }
}

// WithMaxResponseBytes sets the maximum size of a response body in bytes.
func WithMaxResponseBytes(n int64) Option {
	return func(x *Dialer) { x.maxResponseBytes = n }
}

// WithMonitor sets the monitor of invalid responses.
func WithMonitor(m *head.Monitor) Option {
	return func(x *Dialer) { x.monitor = m }
}

// WithBudget sets the budget for the memory of responses. The default has no limit.
func WithBudget(b *buffer.Budget) Option {
	return func(x *Dialer) { x.budget = b }
}

// NewDialer returns a Dialer with the given options.
func NewDialer(options ...Option) *Dialer {
	d := &Dialer{
		dialTimeout:      DefaultDialTimeout,
		callTimeout:      DefaultCallTimeout,
		maxResponseBytes: DefaultMaxResponseBytes,
		monitor:          &head.Monitor{},
		lastSweep:        time.Now(),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Engine returns the client of a model engine.
func (d *Dialer) Engine(u upstream.Upstream) upstream.EngineClient {
	return d.Client(u)
}

// Client returns the client of a model engine, including the calls that
// upstream.EngineClient does not have.
func (d *Dialer) Client(u upstream.Upstream) *Client {
	return &Client{pool: d.pool(u)}
}

// Service returns the client of a plain service.
func (d *Dialer) Service(u upstream.Upstream) upstream.ServiceClient {
	return &serviceClient{pool: d.pool(u)}
}

// Close closes the idle connections of all upstreams.
func (d *Dialer) Close() {
	d.pools.Range(func(_ fleet.UpstreamID, p *pool) bool {
		p.transport.CloseIdleConnections()
		return true
	})
}

// pool returns the connection pool of u. An upstream that moved to another address
// gets a new pool.
func (d *Dialer) pool(u upstream.Upstream) *pool {
	now := time.Now()
	var current, old *pool
	d.pools.Update(u.ID, func(p *pool, ok bool) (*pool, bool) {
		if !ok || p.address != u.Address {
			old, p = p, d.newPool(u.ID, u.Address)
		}
		p.lastUsed = now
		current = p
		return p, true
	})
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	d.sweep(now)
	return current
}

func (d *Dialer) newPool(id fleet.UpstreamID, address string) *pool {
	dialer := &net.Dialer{Timeout: d.dialTimeout, KeepAlive: 15 * time.Second}
	return &pool{
		id:      id,
		address: address,
		dialer:  d,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return newCheckedConn(c), nil
			},
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// sweep closes the pools of upstreams that have not been used for poolRetention.
func (d *Dialer) sweep(now time.Time) {
	if !d.mu.TryLock() {
		return
	}
	defer d.mu.Unlock()
	if now.Sub(d.lastSweep) < poolRetention {
		return
	}
	d.lastSweep = now
	var unused []fleet.UpstreamID
	d.pools.Range(func(id fleet.UpstreamID, p *pool) bool {
		if now.Sub(p.lastUsed) > poolRetention {
			unused = append(unused, id)
		}
		return true
	})
	for _, id := range unused {
		d.pools.Update(id, func(p *pool, ok bool) (*pool, bool) {
			if ok && now.Sub(p.lastUsed) > poolRetention {
				p.transport.CloseIdleConnections()
				return nil, false
			}
			return p, ok
		})
	}
}
