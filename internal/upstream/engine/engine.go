// Package engine holds the clients of model engines and plain services over
// HTTP, as specified in docs/api.md.
//
// A Dialer keeps one connection pool for each upstream that returns the id of a call
// in its answer, and opens a connection for each call to others:
//
//	dialer := engine.NewDialer()
//	defer dialer.Close()
//	result, err := dialer.Engine(u).Step(ctx, step)
//
// Every error has a kind of package refusal. An error is of kind
// refusal.NoUpstream only when no connection to the upstream was obtained, so
// that not one byte of the call was sent.
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
)

// Defaults of a Dialer.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = time.Minute
	DefaultMaxAnswer   = 64 << 20 // bytes
	defaultMaxIdle     = 256      // connections kept for each upstream
	// maxHead bounds the head of an answer in bytes. The default of net/http is
	// 10 MiB, and each call may read as much. Callers may send 64 KiB, too.
	maxHead = 64 << 10
	// idleTimeout is shorter than the usual idle timeout of servers, so that a
	// call rarely meets a connection that the server is about to close.
	idleTimeout = 20 * time.Second
	// retention is the time after which the pool of an unused upstream is closed.
	retention = 10 * time.Minute
)

// Dialer gives clients for upstreams. It is safe for concurrent use.
type Dialer struct {
	dialTimeout time.Duration
	callTimeout time.Duration
	maxAnswer   int64

	pools board.Shards[fleet.UpstreamID, *pool]

	mu    sync.Mutex
	swept time.Time
}

// pool is the connections of one upstream at one address.
type pool struct {
	address   string
	transport *http.Transport
	dialer    *Dialer
	used      time.Time
	// echoes tells that the upstream returns the ids of calls, so that connections can
	// be kept.
	echoes atomic.Bool
}

// Option changes a Dialer.
type Option func(*Dialer)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d time.Duration) Option {
	return func(x *Dialer) { x.dialTimeout = d }
}

// WithCallTimeout bounds the time of one call, connecting included.
func WithCallTimeout(d time.Duration) Option {
	return func(x *Dialer) { x.callTimeout = d }
}

// WithMaxAnswer bounds the body of one answer in bytes.
func WithMaxAnswer(n int64) Option {
	return func(x *Dialer) { x.maxAnswer = n }
}

// NewDialer returns a Dialer with the given options.
func NewDialer(options ...Option) *Dialer {
	d := &Dialer{
		dialTimeout: DefaultDialTimeout,
		callTimeout: DefaultCallTimeout,
		maxAnswer:   DefaultMaxAnswer,
		swept:       time.Now(),
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

// Client returns the client of a model engine with the calls that
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

// pool returns the pool of u. An upstream that moved to another address gets a
// new pool.
func (d *Dialer) pool(u upstream.Upstream) *pool {
	now := time.Now()
	var current, old *pool
	d.pools.Update(u.ID, func(p *pool, ok bool) (*pool, bool) {
		if !ok || p.address != u.Address {
			old, p = p, d.newPool(u.Address)
		}
		p.used = now
		current = p
		return p, true
	})
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	d.sweep(now)
	return current
}

func (d *Dialer) newPool(address string) *pool {
	dialer := &net.Dialer{Timeout: d.dialTimeout, KeepAlive: 15 * time.Second}
	return &pool{
		address: address,
		dialer:  d,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, address)
			},
			MaxIdleConns:        defaultMaxIdle,
			MaxIdleConnsPerHost: defaultMaxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHead,
		},
	}
}

// sweep closes the pools of upstreams that were not used for the retention
// time.
func (d *Dialer) sweep(now time.Time) {
	if !d.mu.TryLock() {
		return
	}
	defer d.mu.Unlock()
	if now.Sub(d.swept) < retention {
		return
	}
	d.swept = now
	var unused []fleet.UpstreamID
	d.pools.Range(func(id fleet.UpstreamID, p *pool) bool {
		if now.Sub(p.used) > retention {
			unused = append(unused, id)
		}
		return true
	})
	for _, id := range unused {
		d.pools.Update(id, func(p *pool, ok bool) (*pool, bool) {
			if ok && now.Sub(p.used) > retention {
				p.transport.CloseIdleConnections()
				return nil, false
			}
			return p, ok
		})
	}
}
