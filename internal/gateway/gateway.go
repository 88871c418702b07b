// Package gateway holds the types of the HTTP entry that forwards requests of
// clients to upstreams, and the interface to the headers of a platform.
//
// Package forward decides what happens to a request, package exchange speaks
// HTTP/1.1 to upstreams, and package path chooses the engines of a stream.
package gateway

import (
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
)

// Call is what the headers of a request say.
type Call struct {
	ID fleet.RequestID
	// Budget is how long the client waits, or 0 if it does not say.
	Budget time.Duration
	// Key is the account key, or empty.
	Key string
	// LastEvent is the number of the last event that the client has of the stream.
	// HasLastEvent is false for a new stream.
	LastEvent    uint64
	HasLastEvent bool
}

// Send is what the gateway adds to a request for an upstream.
type Send struct {
	// Upstream is the incarnation that must answer.
	Upstream fleet.UpstreamID
	Account  fleet.AccountID
	// Left is the time until the deadline of the request.
	Left time.Duration
	Path []path.Hop
	// LastEvent is the number of the event after which a stream goes on.
	LastEvent    uint64
	HasLastEvent bool
	// Urgency is 0 for the most urgent requests and at most 9.
	Urgency int
}

// Reply is what the headers of an answer say.
type Reply struct {
	ID fleet.RequestID
	// Sealed tells that the answer is that of an upstream which ran the request.
	Sealed bool
	// NotRun tells that the upstream did not and will not run the request.
	NotRun bool
	// At is the address of the engine that could not do its part, or empty.
	At string
}

// Dialect translates between the headers of a platform and these types.
type Dialect interface {
	// ReadCall decodes the headers of a client. The error has the kind
	// refusal.BadRequest.
	ReadCall(h http.Header) (Call, error)
	// WriteSend replaces the headers that the gateway is responsible for. h holds
	// the headers of the client.
	WriteSend(h http.Header, s Send)
	ReadReply(status int, h http.Header) Reply
}
