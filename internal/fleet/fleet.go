// Package fleet holds the identifiers, units and the clock interface that all
// parts of bilberryrock share.
//
// An InstanceID names one daemon, an UpstreamID one back end that announced
// itself, and a DataCentreID the zone that both belong to. Decision logic takes
// a Clock instead of calling time.Now, so that tests can move the time:
//
//	deadline := clock.Now().Add(timeout)
//	select {
//	case <-done:
//	case <-clock.After(timeout):
//	}
package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID names one running daemon of the system. It stays the same over
// restarts.
type InstanceID string

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a group of data centres.
type RegionID string

// TeamID names the owner of one section of the configuration document.
type TeamID string

// AccountID names a client account.
type AccountID string

// UpstreamID names a model engine or a plain service that announced itself.
type UpstreamID string

// PoolID names a set of interchangeable upstreams.
type PoolID string

// ModelID names a model of the configuration document.
type ModelID string

// RequestID names one request of a caller. It is unique over all instances.
type RequestID string

// ChangeID names one submission of an operator. A resent submission carries the
// same ChangeID.
type ChangeID string

// Revision numbers the accepted states of the configuration document. It only
// grows; zero means that nothing was accepted yet.
type Revision uint64

// Incarnation tells the lives of one instance or upstream apart. A restarted
// process uses a higher Incarnation than before.
type Incarnation uint64

// Fence is a fencing number. A command with a lower Fence than one seen before is
// out of date.
type Fence uint64

// Epoch numbers the chains that served one request, starting at 1.
type Epoch uint32

// Position is the index of a token in the prompt and answer of one request.
type Position int

// Layer is the index of one layer of a model, starting at 0.
type Layer int

// Priority orders requests of different urgency. Higher values go first.
type Priority int

// Clock tells the time and waits. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// mark is the length of the part of a RequestID that names the instance, in
// hexadecimal digits.
const mark = 8

// NewRequestID returns a random RequestID of 128 bits in hexadecimal.
func NewRequestID() RequestID {
	var b [16]byte
	// crypto/rand.Read never fails: it aborts the program when the kernel
	// can't deliver.
	_, _ = rand.Read(b[:])
	return RequestID(hex.EncodeToString(b[:]))
}

// NewRequestID returns a RequestID whose first 32 bits are a hash of the instance
// that received the request, so that its records can be found again.
func (i InstanceID) NewRequestID() RequestID {
	return RequestID(i.mark()) + NewRequestID()[mark:]
}

// MayBeOf tells whether the request may have been received by the instance. It
// is true for the right one, and rarely for another.
func (r RequestID) MayBeOf(i InstanceID) bool {
	return strings.HasPrefix(string(r), i.mark())
}

func (i InstanceID) mark() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(i)))[:mark]
}
