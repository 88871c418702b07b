// Package fleet defines the identifiers, numeric types and the clock interface that
// all packages of bilberryrock share.
//
// An InstanceID identifies one daemon, an UpstreamID one upstream that announced
// itself, and a DataCentreID the data centre of either. Code that depends on the
// time takes a Clock instead of calling time.Now, so that tests can control it:
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

// InstanceID identifies one daemon of the system. It does not change when the daemon
// restarts.
type InstanceID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a group of data centres.
type RegionID string

// TeamID identifies the owner of one section of the configuration document.
type TeamID string

// AccountID identifies a client account.
type AccountID string

// UpstreamID identifies a model engine or a plain service that announced itself.
type UpstreamID string

// PoolID identifies a set of interchangeable upstreams.
type PoolID string

// ModelID identifies a model in the configuration document.
type ModelID string

// RequestID identifies one request of a caller. It is unique across all instances.
type RequestID string

// PromptPartID identifies a part of a prompt. Requests that share the part share its ID.
type PromptPartID string

// ChangeID identifies one submission of an operator. A resent submission carries the
// same ChangeID.
type ChangeID string

// Revision numbers the accepted versions of the configuration document. It never
// decreases; zero means that no version was accepted yet.
type Revision uint64

// Incarnation distinguishes the starts of one instance or upstream. A restarted
// process has a higher Incarnation than before.
type Incarnation uint64

// FencingToken increases with each new lease on an engine and each new leadership.
// A command with a lower FencingToken than one seen before is stale.
type FencingToken uint64

// Epoch numbers the engine chains that have processed one request, starting at 1.
type Epoch uint32

// Position is the index of a token in the sequence of prompt and generated tokens of
// one request.
type Position int

// Layer is the index of a layer of a model, starting at 0.
type Layer int

// Priority orders requests by urgency. Requests with higher values are served first.
type Priority int

// Clock reads the time and starts timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// instancePrefixLength is the number of hexadecimal digits at the start of a RequestID
// that identify the instance.
const instancePrefixLength = 8

// NewRequestID returns a random RequestID of 128 bits in hexadecimal.
func NewRequestID() RequestID {
	var b [16]byte
	// crypto/rand.Read never returns an error: it aborts the program if the kernel
	// cannot provide random bytes.
	_, _ = rand.Read(b[:])
	return RequestID(hex.EncodeToString(b[:]))
}

// NewRequestID returns a RequestID whose first 32 bits are a hash of i, the instance
// that received the request, so that its records can be located by the ID.
func (i InstanceID) NewRequestID() RequestID {
	return RequestID(i.requestIDPrefix()) + NewRequestID()[instancePrefixLength:]
}

// MayBeFrom reports whether instance i may have received the request. It is true for the
// instance that did, and rarely for another one, because the prefix has only 32 bits.
func (r RequestID) MayBeFrom(i InstanceID) bool {
	return strings.HasPrefix(string(r), i.requestIDPrefix())
}

func (i InstanceID) requestIDPrefix() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(i)))[:instancePrefixLength]
}
