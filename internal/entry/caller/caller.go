// Package caller is the HTTP API for callers.
//
// It serves /v1/completions, /v1/chat/completions and /v1/models in the shape
// that clients of model servers use, and /services/<pool>/... for plain
// services:
//
//	api := caller.New(parts, caller.WithLimits(limits))
//	http.Serve(listener, api.Handler())
//
// Every answer carries X-Request-Id. A whole stream ends with the event [DONE];
// a stream that broke ends with an event that holds an error, and without
// [DONE].
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Lookups runs idempotent calls to plain services. It may try several
// upstreams.
type Lookups interface {
	Lookup(ctx context.Context, r fleet.RequestID, p document.Pool, c upstream.Call) (upstream.Response, error)
}

// Orders runs calls that may not be repeated.
type Orders interface {
	Order(ctx context.Context, r fleet.RequestID, k order.Key, p document.Pool, c upstream.Call) (upstream.Response, error)
}

// Parts are the parts of the daemon that the API uses. All are needed.
type Parts struct {
	// Instance is the own instance.
	Instance fleet.InstanceID
	// Config returns the configuration in force, or nil if there is none yet.
	Config  func() *document.Config
	Gate    admission.Gate
	Courier pipeline.Courier
	Lookups Lookups
	Orders  Orders
	Trail   report.Trail
	Clock   fleet.Clock
	Log     *zap.Logger
}

// API answers callers. It is safe for concurrent use.
type API struct {
	parts       Parts
	limits      entry.Limits
	deadline    time.Duration
	maxDeadline time.Duration
	observe     func(code string, took time.Duration)
}

// Option changes an API at its construction.
type Option func(*API)

// WithLimits bounds what the API reads.
func WithLimits(l entry.Limits) Option {
	return func(a *API) { a.limits = l.WithDefaults() }
}

// WithDeadlines sets the time for an answer if the caller names none, and the
// greatest time that a caller may ask for.
func WithDeadlines(usual, most time.Duration) Option {
	return func(a *API) { a.deadline, a.maxDeadline = usual, most }
}

// WithObserver sets a function that is told the code and the duration of every
// answer. The code of an answer without error is "ok".
func WithObserver(observe func(code string, took time.Duration)) Option {
	return func(a *API) { a.observe = observe }
}

// New returns an API over parts.
func New(parts Parts, options ...Option) *API {
	a := &API{
		parts:       parts,
		limits:      entry.Limits{}.WithDefaults(),
		deadline:    time.Minute,
		maxDeadline: 10 * time.Minute,
		observe:     func(string, time.Duration) {},
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Handler returns the handler of all paths.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/models", a.serve(a.listModels))
	r.Post("/v1/completions", a.serve(a.complete))
	r.Post("/v1/chat/completions", a.serve(a.chat))
	r.HandleFunc("/services/{pool}", a.serve(a.service))
	r.HandleFunc("/services/{pool}/*", a.serve(a.service))
	r.NotFound(a.serve(noSuchPath))
	r.MethodNotAllowed(a.serve(wrongMethod))
	return r
}

func noSuchPath(_ http.ResponseWriter, r *http.Request, _ *request) error {
	return refusal.New(refusal.NotFound, "path %q does not exist", r.URL.Path)
}

func wrongMethod(_ http.ResponseWriter, r *http.Request, _ *request) error {
	return refusal.New(refusal.BadRequest, "method %s is not allowed on %q", r.Method, r.URL.Path)
}
