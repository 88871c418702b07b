// Package entry defines the input limits that the listeners of a daemon share.
package entry

import "time"

// Limits holds the input limits of a listener. A zero field means its default
// value.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the request header in bytes.
	MaxHeaderBytes int
	// ReadTimeout limits the time to read a request, WriteTimeout the time for
	// one write of a response, and IdleTimeout the time between requests.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// MaxConnections is the maximum number of open connections of a listener.
	MaxConnections int
	// MemoryBytes is the memory that the daemon may use, in bytes, and MaxDescriptors the
	// number of descriptors that it may open. All listeners share them.
	MemoryBytes    int64
	MaxDescriptors int
}

// Default limits of a listener.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxConnections = 20000
	DefaultMemoryBytes    = 256 << 20
	DefaultMaxDescriptors = 20000
)

// WithDefaults returns l with zero fields replaced by their defaults.
func (l Limits) WithDefaults() Limits {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
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
	if l.MemoryBytes == 0 {
		l.MemoryBytes = DefaultMemoryBytes
	}
	if l.MaxDescriptors == 0 {
		l.MaxDescriptors = DefaultMaxDescriptors
	}
	return l
}
