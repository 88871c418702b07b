// Package gateway holds the types of the HTTP gateway that forwards requests of
// clients to upstreams, and the interface to the header format of a platform.
//
// Package forward handles the requests, package exchange implements HTTP/1.1 to
// upstreams, package path selects the engines of a stream, and package notice keeps which
// upstreams have said that they are leaving or ask for a pause.
package gateway

import (
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
)

// ClientHeaders holds the decoded headers of a client request.
type ClientHeaders struct {
	ID fleet.RequestID
	// Budget is how long the client waits for the response, or 0 if not given.
	Budget time.Duration
	// Key is the account key, or empty if not given.
	Key string
	// LastEvent is the ID of the last event of the stream that the client has.
	// HasLastEvent is false for a new stream.
	LastEvent    uint64
	HasLastEvent bool
	// SharedParts lists the parts of the prompt that other requests may have too, in
	// order. It lacks the last part, which belongs to the request or to its session.
	SharedParts []fleet.PromptPartID
	// PromptTokens is the length of the prompt and MaxAnswerTokens the largest length of
	// the answer. Both are 0 if not given.
	PromptTokens, MaxAnswerTokens int
}

// UpstreamHeaders holds the values of the headers that the gateway sets in a request
// to an upstream.
type UpstreamHeaders struct {
	// Upstream is the incarnation that must handle the request.
	Upstream fleet.UpstreamID
	Account  fleet.AccountID
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	Path      []path.Hop
	// LastEvent is the ID of the event after which the stream continues, if
	// HasLastEvent is set.
	LastEvent    uint64
	HasLastEvent bool
	// Priority ranges from 0 for the most urgent requests to 9.
	Priority int
}

// ResponseHeaders holds the decoded headers of an upstream response.
type ResponseHeaders struct {
	ID fleet.RequestID
	// Sealed reports whether the response bears the seal of an upstream that ran the
	// request.
	Sealed bool
	// NotRun reports whether the upstream did not run the request and will not run it.
	NotRun bool
	// At is the address of the engine of the path that could not serve the
	// request, or empty.
	At string
	// Misdirected reports whether the request reached another upstream than the one that
	// must handle it, or an engine that does not hold its part of the path.
	Misdirected bool
	// Leaving reports whether the upstream that sent the response is leaving and must get
	// no further requests.
	Leaving bool
	// Pause is the time for which the upstream asks for no requests, or 0.
	Pause time.Duration
}

// HeaderCodec converts between the headers of a platform and these types.
type HeaderCodec interface {
	// DecodeClient decodes the headers of a client request. Errors have the kind
	// refusal.BadRequest.
	DecodeClient(h http.Header) (ClientHeaders, error)
	// EncodeUpstream replaces the headers that the gateway sets. h holds the headers of
	// the client request.
	EncodeUpstream(h http.Header, s UpstreamHeaders)
	// DecodeResponse decodes the status and headers of an upstream response.
	DecodeResponse(status int, h http.Header) ResponseHeaders
}
