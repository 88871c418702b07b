// Package operator implements the HTTP API for operators.
//
// Each team has a token, which gives access only to the team's own section,
// history and decision records. The paths are
//
//	GET  /v1/section          the accepted section of the team
//	POST /v1/submissions      submits a section
//	GET  /v1/history?limit=N  the audit trail of the team
//	GET  /v1/status           instances, active revisions and voters
//	GET  /v1/explain/ID       the decisions on a request
//	GET  /v1/orders?account=A orders of an account whose outcome is unknown
//	POST /v1/settlements      settles such an order
package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/report"
)

// Documents gives access to the configuration document.
type Documents interface {
	// Submit submits s and returns the outcome. The verdict is document.Unknown
	// if the outcome could not be determined in time.
	Submit(ctx context.Context, s document.Submission) (document.Outcome, error)
	// Document returns the accepted document.
	Document(ctx context.Context) (document.Document, error)
	// History returns up to limit of the newest audit entries of a team, newest
	// first.
	History(ctx context.Context, team fleet.TeamID, limit int) ([]document.AuditEntry, error)
}

// Finder finds decision records, including those of other instances.
type Finder interface {
	Find(ctx context.Context, id string) (report.Record, bool)
}

// Dependencies are the components of the daemon that the API uses. All are required.
type Dependencies struct {
	Documents Documents
	Finder    Finder
	Orders    Orders
	// AccountTeam returns the team of a client account, and false if the account is
	// unknown.
	AccountTeam func(fleet.AccountID) (fleet.TeamID, bool)
	// Status returns the state of the fleet as known to this instance.
	Status func() Status
	// Tokens maps the hexadecimal SHA-256 digest of a token to its team.
	Tokens map[string]fleet.TeamID
	Clock  fleet.Clock
	Log    *zap.Logger
}

// API serves the requests of operators. It is safe for concurrent use.
type API struct {
	deps    Dependencies
	limits  entry.Limits
	timeout time.Duration
}

// Option configures an API.
type Option func(*API)

// WithLimits sets the limits on the input that the API reads.
func WithLimits(l entry.Limits) Option {
	return func(a *API) { a.limits = l.WithDefaults() }
}

// WithTimeout sets the timeout of a request, after which the outcome of a
// submission is unknown.
func WithTimeout(d time.Duration) Option {
	return func(a *API) { a.timeout = d }
}

// New returns an API that uses deps.
func New(deps Dependencies, options ...Option) *API {
	a := &API{deps: deps, limits: entry.Limits{}.WithDefaults(), timeout: 10 * time.Second}
	for _, option := range options {
		option(a)
	}
	return a
}

// Handler returns the HTTP handler for all paths of the API.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/section", a.serve(a.section))
	r.Post("/v1/submissions", a.serve(a.submit))
	r.Get("/v1/history", a.serve(a.history))
	r.Get("/v1/status", a.serve(a.status))
	r.Get("/v1/explain/{id}", a.serve(a.explain))
	r.Get("/v1/orders", a.serve(a.openOrders))
	r.Post("/v1/settlements", a.serve(a.settle))
	r.NotFound(a.serve(func(_ http.ResponseWriter, r *http.Request, _ fleet.TeamID) error {
		return refusal.New(refusal.NotFound, "path %q does not exist", r.URL.Path)
	}))
	return r
}

type handler func(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error

func (a *API) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, err := a.authenticate(r)
		if err == nil {
			ctx, cancel := context.WithTimeout(r.Context(), a.timeout)
			defer cancel()
			err = h(w, r.WithContext(ctx), team)
		}
		if err == nil {
			return
		}
		response := refusal.KindOf(err).Response()
		a.deps.Log.Info("Operator call refused.", zap.String("team", string(team)),
			zap.String("path", r.URL.Path), zap.String("code", response.Code))
		writeJSON(w, response.Status, ErrorResponse{Error: ErrorDetail{Code: response.Code, Message: publicMessage(err)}})
	}
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail holds the code of an error kind and a human-readable message.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func publicMessage(err error) string {
	var e *refusal.Error
	if errors.As(err, &e) && e.Kind != refusal.Internal {
		return e.Message
	}
	return "internal error"
}

// authenticate returns the team of the token. Tokens are looked up by digest, so
// that the time of a failed lookup does not depend on the token.
func (a *API) authenticate(r *http.Request) (fleet.TeamID, error) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return "", refusal.New(refusal.Unauthenticated, "the header Authorization: Bearer TOKEN is missing")
	}
	digest := sha256.Sum256([]byte(token))
	team, known := a.deps.Tokens[hex.EncodeToString(digest[:])]
	if !known {
		return "", refusal.New(refusal.Unauthenticated, "the token is not known")
	}
	return team, nil
}

func (a *API) section(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error {
	d, err := a.deps.Documents.Document(r.Context())
	if err != nil {
		return err
	}
	result := document.Section{Team: team}
	for _, s := range d.Sections {
		if s.Team == team {
			result = s
		}
	}
	writeJSON(w, http.StatusOK, result)
	return nil
}

// submission is the body of POST /v1/submissions. The name of the type is part of
// decoding errors that are sent to operators.
type submission struct {
	Change   fleet.ChangeID `json:"change"`
	Team     fleet.TeamID   `json:"team"`
	Operator string         `json:"operator"`
	Base     fleet.Revision `json:"base"`
	Text     string         `json:"text"`
}

const (
	maxChangeIDBytes = 128
	maxOperatorBytes = 128
)

func (a *API) submit(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error {
	s, err := a.readSubmission(w, r)
	if err != nil {
		return err
	}
	if s.Team != team {
		return refusal.New(refusal.Forbidden, "the token does not belong to team %q", s.Team)
	}
	outcome, err := a.deps.Documents.Submit(r.Context(), document.Submission{
		Change:   s.Change,
		Team:     s.Team,
		Operator: s.Operator,
		Base:     s.Base,
		Text:     s.Text,
		At:       a.deps.Clock.Now().UTC(),
	})
	if err != nil {
		return err
	}
	a.deps.Log.Info("Submission answered.", zap.String("team", string(team)), zap.String("change", string(s.Change)),
		zap.Stringer("verdict", outcome.Verdict), zap.Uint64("revision", uint64(outcome.Revision)))
	writeJSON(w, verdictStatus(outcome.Verdict), outcome)
	return nil
}

func (a *API) readSubmission(w http.ResponseWriter, r *http.Request) (submission, error) {
	var s submission
	raw, err := a.readBody(w, r)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, refusal.WithCause(refusal.BadRequest, err, "the body is not a valid JSON object: %v", err)
	}
	switch {
	case s.Change == "" || len(s.Change) > maxChangeIDBytes:
		return s, refusal.New(refusal.BadRequest, "change: 1 to %d bytes are needed", maxChangeIDBytes)
	case s.Team == "":
		return s, refusal.New(refusal.BadRequest, "team: the name of the team is needed")
	case len(s.Operator) > maxOperatorBytes:
		return s, refusal.New(refusal.BadRequest, "operator: at most %d bytes are allowed", maxOperatorBytes)
	}
	return s, nil
}

func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(refusal.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if refusal.KindOf(err) == refusal.Overloaded {
		return nil, err
	}
	if err != nil {
		return nil, refusal.WithCause(refusal.BadRequest, err, "the body could not be read")
	}
	if !utf8.Valid(raw) {
		return nil, refusal.New(refusal.BadRequest, "the body is not valid UTF-8")
	}
	return raw, nil
}

func verdictStatus(v document.Verdict) int {
	switch v {
	case document.Accepted:
		return http.StatusOK
	case document.Conflicted:
		return http.StatusConflict
	case document.Refused, document.Reused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusGatewayTimeout
}

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

func (a *API) history(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return refusal.New(refusal.BadRequest, "limit: %q is not a number from 1 to %d", text, maxHistoryLimit)
		}
		limit = n
	}
	entries, err := a.deps.Documents.History(r.Context(), team, limit)
	if err != nil {
		return err
	}
	if entries == nil {
		entries = []document.AuditEntry{}
	}
	writeJSON(w, http.StatusOK, entries)
	return nil
}

func (a *API) status(w http.ResponseWriter, _ *http.Request, _ fleet.TeamID) error {
	writeJSON(w, http.StatusOK, a.deps.Status())
	return nil
}

// explain responds with a decision record of the team. For a record of another team
// it returns the same error as for a record that does not exist.
func (a *API) explain(w http.ResponseWriter, r *http.Request, team fleet.TeamID) error {
	id := chi.URLParam(r, "id")
	record, found := a.deps.Finder.Find(r.Context(), id)
	if !found || record.Team != team {
		return refusal.New(refusal.NotFound, "no record of %q is kept", id)
	}
	writeJSON(w, http.StatusOK, record)
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure means that the operator has disconnected, so there is nobody to
	// report it to.
	_ = json.NewEncoder(w).Encode(body)
}
