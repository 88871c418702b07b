// Package entry holds what the listeners of a daemon share: the life cycle of a
// request and the limits on input.
package entry

import "time"

// Limits bound what a listener reads. The zero value of a field stands for its
// default.
type Limits struct {
	// MaxBody is in bytes.
	MaxBody int64
	// MaxHeader is in bytes.
	MaxHeader int
	// ReadTimeout bounds the time to read a request, WriteTimeout the time for
	// one write of an answer, IdleTimeout the time between requests.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// MaxConnections bounds the open connections of a listener.
	MaxConnections int
}

// Default limits of a listener.
const (
	DefaultMaxBody        = 4 << 20
	DefaultMaxHeader      = 64 << 10
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxConnections = 20000
)

// WithDefaults returns l with defaults in place of zero values.
func (l Limits) WithDefaults() Limits {
	if l.MaxBody == 0 {
		l.MaxBody = DefaultMaxBody
	}
	if l.MaxHeader == 0 {
		l.MaxHeader = DefaultMaxHeader
	}
	if l.ReadTimeout == 0 {
		l.ReadTimeout = DefaultReadTimeout
	}
	if l.WriteTimeout == 0 {
		l.WriteTimeout = DefaultWriteTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = DefaultMaxConnections
	}
	return l
}
