// Package refusal holds the closed list of error kinds and the table from a
// kind to the answer that a caller or an operator gets.
//
// Code that refuses a request returns an *Error:
//
//	return refusal.New(refusal.Overloaded, "queue of account %q is full", account)
//
// A layer that adds context wraps it with Because or with errors.Wrap. KindOf
// finds the kind again, however often the error was wrapped.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an error. The list is closed: every error that leaves the
// system has one of these kinds.
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
	kindCount
)

// Answer is what the outside sees of a Kind.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Code is the code in the body, in camel case.
	Code string
	// NotRun tells that the request was certainly not run.
	NotRun bool
	// Resend tells that the caller may safely send the same request again. For
	// an order that may not be repeated this means: with the same key.
	Resend bool
}

var answers = [kindCount]Answer{
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
}

// Answer returns the row of the table for k. A Kind outside of the list has the
// row of Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Error is an error with a kind.
type Error struct {
	// Kind tells which answer the error leads to.
	Kind Kind
	// Message says what was wrong, for the person who reads the answer. It holds
	// no secrets.
	Message string
	// RetryAfter is the time after which a resend may succeed. Zero means
	// unknown.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Because returns an Error with a formatted message that wraps cause.
func Because(k Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: cause}
}

// After returns a copy of e that asks the caller to wait for d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the message and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.cause.Error()
}

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the outermost Error in err, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
