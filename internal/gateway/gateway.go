// Package gateway holds the types of the HTTP gateway that forwards requests of
// clients to upstreams, and the interface to the header format of a platform.
//
// Package forward handles the requests, package exchange implements HTTP/1.1 to
// upstreams, and package path selects the engines of a stream.
package gateway

import (
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
)

// Call holds the decoded headers of a client request.
type Call struct {
	ID fleet.RequestID
	// Budget is how long the client waits for the response, or 0 if not given.
	Budget time.Duration
	// Key is the account key, or empty if not given.
	Key string
	// LastEvent is the ID of the last event of the stream that the client has.
	// HasLastEvent is false for a new stream.
	LastEvent    uint64
	HasLastEvent bool
}

// Send holds the values of the headers that the gateway sets in a request
// to an upstream.
type Send struct {
	// Upstream is the incarnation that must handle the request.
	Upstream fleet.UpstreamID
	Account  fleet.AccountID
	// Left is the time until the deadline of the request.
	Left time.Duration
	Path []path.Hop
	// LastEvent is the ID of the event after which the stream continues, if
	// HasLastEvent is set.
	LastEvent    uint64
	HasLastEvent bool
	// Urgency ranges from 0 for the most urgent requests to 9.
	Urgency int
}

// Reply holds the decoded headers of an upstream response.
type Reply struct {
	ID fleet.RequestID
	// Sealed reports whether the response bears the seal of an upstream that ran the
	// request.
	Sealed bool
	// NotRun reports whether the upstream did not run the request and will not run it.
	NotRun bool
	// At is the address of the engine of the path that could not serve the
	// request, or empty.
	At string
}

// Dialect converts between the headers of a platform and these types.
type Dialect interface {
	// ReadCall decodes the headers of a client request. Errors have the kind
	// refusal.BadRequest.
	ReadCall(h http.Header) (Call, error)
	// WriteSend replaces the headers that the gateway sets. h holds the headers of
	// the client request.
	WriteSend(h http.Header, s Send)
	// ReadReply decodes the status and headers of an upstream response.
	ReadReply(status int, h http.Header) Reply
}
