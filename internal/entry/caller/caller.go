// Package caller implements the HTTP API for callers.
//
// It serves /v1/completions, /v1/chat/completions and /v1/models in the format
// that clients of model servers expect, and /services/<pool>/... for plain
// services:
//
//	api := caller.New(deps, caller.WithLimits(limits))
//	http.Serve(listener, api.Handler())
//
// Every response has the header X-Request-Id. A complete stream ends with the
// event [DONE]; a broken stream ends with an error event and without [DONE].
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
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
)

// Lookups runs idempotent calls to plain services. It may try several upstreams
// for one call.
type Lookups interface {
	Lookup(ctx context.Context, r fleet.RequestID, p document.Pool, c upstream.Call) (upstream.Response, error)
}

// Orders runs calls that must be run at most once.
type Orders interface {
	Order(ctx context.Context, r fleet.RequestID, k order.Key, p document.Pool, c upstream.Call) (upstream.Response, error)
}

// Dependencies are the components of the daemon that the API uses. All are required.
type Dependencies struct {
	// Instance is the id of this instance.
	Instance fleet.InstanceID
	// Config returns the active configuration, or nil if there is none yet.
	Config   func() *document.Config
	Gate     admission.Gate
	Executor pipeline.Executor
	Lookups  Lookups
	Orders   Orders
	Trail    report.Trail
	Clock    fleet.Clock
	Log      *zap.Logger
}

// API serves the requests of callers. It is safe for concurrent use.
type API struct {
	deps            Dependencies
	limits          entry.Limits
	defaultDeadline time.Duration
	maxDeadline     time.Duration
	observe         func(code string, duration time.Duration)
	budget          *buffer.Budget
	// stop is canceled to end the requests in progress.
	stop       context.Context
	cancelStop context.CancelFunc
}

// Option configures an API.
type Option func(*API)

// WithLimits sets the limits on the input that the API reads.
func WithLimits(l entry.Limits) Option {
	return func(a *API) { a.limits = l.WithDefaults() }
}

// WithDeadlines sets the time allowed for a request that does not specify one,
// and the longest time that a caller may request.
func WithDeadlines(defaultDeadline, maxDeadline time.Duration) Option {
	return func(a *API) { a.defaultDeadline, a.maxDeadline = defaultDeadline, maxDeadline }
}

// WithObserver sets a function that is called with the code and the duration of
// every request. The code of a request without error is "ok".
func WithObserver(observe func(code string, duration time.Duration)) Option {
	return func(a *API) { a.observe = observe }
}

// WithBudget sets the budget for the memory of responses of services. The default has no
// limit.
func WithBudget(b *buffer.Budget) Option { return func(a *API) { a.budget = b } }

// New returns an API that uses deps.
func New(deps Dependencies, options ...Option) *API {
	a := &API{
		deps:            deps,
		limits:          entry.Limits{}.WithDefaults(),
		defaultDeadline: time.Minute,
		maxDeadline:     10 * time.Minute,
		observe:         func(string, time.Duration) {},
	}
	a.stop, a.cancelStop = context.WithCancel(context.Background())
	for _, option := range options {
		option(a)
	}
	return a
}

// EndRequests ends all requests in progress with an error. Orders go on without their
// callers.
func (a *API) EndRequests() { a.cancelStop() }

// Handler returns the HTTP handler for all paths of the API.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/models", a.serve(a.listModels))
	r.Post("/v1/completions", a.serve(a.complete))
	r.Post("/v1/chat/completions", a.serve(a.chat))
	r.HandleFunc("/services/{pool}", a.serve(a.forwardCall))
	r.HandleFunc("/services/{pool}/*", a.serve(a.forwardCall))
	r.NotFound(a.serve(pathNotFound))
	r.MethodNotAllowed(a.serve(methodNotAllowed))
	return r
}

func pathNotFound(_ http.ResponseWriter, r *http.Request, _ *request) error {
	return refusal.New(refusal.NotFound, "path %q does not exist", r.URL.Path)
}

func methodNotAllowed(_ http.ResponseWriter, r *http.Request, _ *request) error {
	return refusal.New(refusal.BadRequest, "method %s is not allowed on %q", r.Method, r.URL.Path)
}
