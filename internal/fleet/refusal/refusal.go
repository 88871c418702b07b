// Package refusal defines the closed list of error kinds and maps each kind to the
// response that a caller or an operator gets.
//
// Code that rejects a request returns an *Error:
//
//	return refusal.New(refusal.Overloaded, "queue of account %q is full", account)
//
// A layer that adds context wraps the error with WithCause or errors.Wrap. KindOf
// returns the kind of an error even if it was wrapped several times.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies an error. The list is closed: every error that leaves the system has
// one of these kinds.
type Kind int

// The error kinds.
const (
	// Internal is the kind of every error that has no other kind.
	Internal Kind = iota
	BadRequest
	Unauthenticated
	Forbidden
	NotFound
	Conflict
	TooLarge
	Overloaded
	AccountLimit
	QuietHours
	Deadline
	NoUpstream
	Stopping
	KeyReused
	InProgress
	OutcomeUnknown
	LedgerUnreachable
	UpstreamFailed
	StreamBroken
	NotReady
	HeadTooLarge
	// Quarantined is the kind of requests whose prompt has a part that crashes engines.
	Quarantined
	kindCount
)

// Response describes how an error of a Kind is reported to a caller or an operator.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Code is the error code in the response body, in camel case.
	Code string
	// NotRun reports that the request was certainly not executed.
	NotRun bool
	// ResendSafe reports that the caller may safely send the same request again. An
	// order, which must not be executed twice, must be sent again with the same
	// idempotency key.
	ResendSafe bool
}

var responses = [kindCount]Response{
	Internal:          {http.StatusInternalServerError, "internal", false, false},
	BadRequest:        {http.StatusBadRequest, "badRequest", true, false},
	Unauthenticated:   {http.StatusUnauthorized, "unauthenticated", true, false},
	Forbidden:         {http.StatusForbidden, "forbidden", true, false},
	NotFound:          {http.StatusNotFound, "notFound", true, false},
	Conflict:          {http.StatusConflict, "conflict", true, false},
	TooLarge:          {http.StatusRequestEntityTooLarge, "tooLarge", true, false},
	Overloaded:        {http.StatusServiceUnavailable, "overloaded", true, true},
	AccountLimit:      {http.StatusTooManyRequests, "accountLimit", true, true},
	QuietHours:        {http.StatusServiceUnavailable, "quietHours", true, true},
	Deadline:          {http.StatusGatewayTimeout, "deadline", false, true},
	NoUpstream:        {http.StatusServiceUnavailable, "noUpstream", true, true},
	Stopping:          {http.StatusServiceUnavailable, "stopping", true, true},
	KeyReused:         {http.StatusUnprocessableEntity, "keyReused", true, false},
	InProgress:        {http.StatusConflict, "inProgress", false, true},
	OutcomeUnknown:    {http.StatusGatewayTimeout, "outcomeUnknown", false, true},
	LedgerUnreachable: {http.StatusServiceUnavailable, "ledgerUnreachable", false, true},
	UpstreamFailed:    {http.StatusBadGateway, "upstreamFailed", false, true},
	StreamBroken:      {http.StatusBadGateway, "streamBroken", false, true},
	NotReady:          {http.StatusServiceUnavailable, "notReady", true, true},
	HeadTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, "headTooLarge", true, false},
	Quarantined:       {http.StatusServiceUnavailable, "quarantined", true, true},
}

// Response returns the response for k. A Kind that is not in the list has the response of
// Internal.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// Kinds returns all kinds in the order of their values.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Error is an error with a kind.
type Error struct {
	// Kind determines the response.
	Kind Kind
	// Message describes the error to the person who reads the response. It must not
	// contain secrets.
	Message string
	// RetryAfter is the time after which a retry may succeed. Zero means that it is
	// unknown.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// WithCause returns an Error with a formatted message that wraps cause. Unlike
// errors.Wrap it returns an Error without a cause if cause is nil.
func WithCause(k Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: cause}
}

// WithRetryAfter returns a copy of e whose RetryAfter is d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the message, followed by the text of the cause if there is one.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.cause.Error()
}

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the outermost Error in the chain of err, or Internal if
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
