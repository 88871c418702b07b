package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/report"
)

// request is the state of one request of a caller.
type request struct {
	id       fleet.RequestID
	account  document.Account
	config   *document.Config
	deadline time.Time
	body     []byte
	// hasIdempotencyKey reports whether the caller sent the header
	// Idempotency-Key. ledgerQueried reports whether the outcome comes from the
	// order ledger.
	hasIdempotencyKey bool
	ledgerQueried     bool
}

// mayHaveRun reports whether an earlier attempt with the same key may have run
// without this request having learned of it. In this case no error may report
// "not run".
func (q *request) mayHaveRun() bool { return q.hasIdempotencyKey && !q.ledgerQueried }

// admissionRequest returns the description of the request for the admission gate.
func (q *request) admissionRequest(pool fleet.PoolID) admission.Request {
	return admission.Request{
		ID:       q.id,
		Account:  q.account.ID,
		Weight:   q.account.Weight,
		Priority: q.account.Priority,
		Pool:     pool,
		Deadline: q.deadline,
	}
}

// admit requests admission from the gate and adds the decision to the decision record.
func (a *API) admit(ctx context.Context, q *request, pool fleet.PoolID) (admission.Ticket, error) {
	start := a.deps.Clock.Now()
	ticket, err := a.deps.Gate.Enter(ctx, q.admissionRequest(pool))
	now := a.deps.Clock.Now()
	entry := report.Entry{
		At:        now,
		Component: "admission",
		Known:     fmt.Sprintf("pool %s, %s left until the deadline", pool, q.deadline.Sub(start).Round(time.Millisecond)),
		Chosen:    "admitted",
		Reason:    fmt.Sprintf("a place was free after %s", now.Sub(start)),
	}
	if err != nil {
		entry.Chosen, entry.Reason = refusal.KindOf(err).Response().Code, err.Error()
	}
	a.deps.Trail.Add(string(q.id), entry)
	return ticket, err
}

type handler func(w http.ResponseWriter, r *http.Request, q *request) error

// serve wraps h with the steps common to all paths: request id, client account,
// deadline, body, decision record and error response.
func (a *API) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := a.deps.Clock.Now()
		q := &request{id: a.deps.Instance.NewRequestID(), hasIdempotencyKey: r.Header.Get("Idempotency-Key") != ""}
		w.Header().Set("X-Request-Id", string(q.id))
		err := a.handle(w, r, q, h)
		a.finish(w, r, q, started, err)
	}
}

func (a *API) handle(w http.ResponseWriter, r *http.Request, q *request, h handler) error {
	if err := a.authenticate(r, q); err != nil {
		return err
	}
	a.deps.Trail.Open(string(q.id), q.account.ID, q.account.Team)
	if err := a.setDeadline(r, q); err != nil {
		return err
	}
	if err := a.readBody(w, r, q); err != nil {
		return err
	}
	timed, cancelTimer := context.WithTimeout(r.Context(), q.deadline.Sub(a.deps.Clock.Now()))
	defer cancelTimer()
	ctx, cancel := context.WithCancelCause(timed)
	defer context.AfterFunc(a.stop, func() { cancel(errStopping) })()
	return asStopError(ctx, h(w, r.WithContext(ctx), q))
}

// errStopping is the cause of the end of requests when the instance stops.
var errStopping = errors.New("the instance stops")

// asStopError returns an error of kind Deadline if err was caused by the end of the instance,
// unless err says that the request was not run or the caller has its response. Otherwise it
// returns err.
func asStopError(ctx context.Context, err error) error {
	var broken *brokenStreamError
	if err == nil || !errors.Is(context.Cause(ctx), errStopping) || refusal.KindOf(err).Response().NotRun || errors.As(err, &broken) {
		return err
	}
	return refusal.WithCause(refusal.Deadline, err, "the instance stopped before the response")
}

// authenticate sets the configuration and the client account of the API key.
func (a *API) authenticate(r *http.Request, q *request) error {
	q.config = a.deps.Config()
	if q.config == nil {
		return refusal.New(refusal.NotReady, "no configuration is in force yet")
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return refusal.New(refusal.Unauthenticated, "the header Authorization: Bearer KEY is missing")
	}
	digest := sha256.Sum256([]byte(key))
	id, known := q.config.Keys[hex.EncodeToString(digest[:])]
	if !known {
		return refusal.New(refusal.Unauthenticated, "the API key is not known")
	}
	q.account = q.config.Accounts[id]
	return nil
}

func (a *API) setDeadline(r *http.Request, q *request) error {
	timeout := a.defaultDeadline
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.BadRequest, "header X-Deadline-Ms: %q is not a positive number of milliseconds", text)
		}
		timeout = min(time.Duration(ms)*time.Millisecond, a.maxDeadline)
	}
	q.deadline = a.deps.Clock.Now().Add(timeout)
	return nil
}

// readBody reads the body up to the size limit. The listener enforces the read
// timeout.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, q *request) error {
	if r.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if refusal.KindOf(err) == refusal.Overloaded {
		return err
	}
	if err != nil {
		return refusal.WithCause(refusal.BadRequest, err, "the body could not be read")
	}
	q.body = body
	return nil
}

// finish sends the error response, if any, and records the end of the request in
// logs, metrics and the decision record.
func (a *API) finish(w http.ResponseWriter, r *http.Request, q *request, started time.Time, err error) {
	code := "ok"
	duration := a.deps.Clock.Now().Sub(started)
	if err != nil {
		code = a.respondError(w, r, q, err)
	}
	a.observe(code, duration)
	a.deps.Trail.Add(string(q.id), report.Entry{
		At: a.deps.Clock.Now(), Component: "caller", Chosen: code, Reason: errorText(err),
	})
	// The fields are built only if the debug level is enabled.
	entry := a.deps.Log.Check(zap.DebugLevel, "Request ended.")
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("request", string(q.id)), zap.String("account", string(q.account.ID)),
		zap.String("path", r.URL.Path), zap.String("code", code), zap.Duration("took", duration))
}

// respondError sends the response for err, unless a stream has already reported it,
// and returns the code of the error.
func (a *API) respondError(w http.ResponseWriter, r *http.Request, q *request, err error) string {
	var broken *brokenStreamError
	if errors.As(err, &broken) {
		return refusal.StreamBroken.Response().Code
	}
	err = a.asDeadlineError(r, err)
	kind := refusal.KindOf(err)
	if kind == refusal.Internal {
		a.deps.Log.Error("Request failed.", zap.String("request", string(q.id)), zap.Error(err))
	}
	writeError(w, q, err)
	return kind.Response().Code
}

// asDeadlineError returns an error of kind Deadline if err has no kind and was
// caused by the deadline of the request. Otherwise it returns err.
func (a *API) asDeadlineError(r *http.Request, err error) error {
	if refusal.KindOf(err) == refusal.Internal && errors.Is(err, context.DeadlineExceeded) {
		return refusal.WithCause(refusal.Deadline, err, "the deadline of the request has passed")
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
