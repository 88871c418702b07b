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

// request is one request of a caller on its way through the daemon.
type request struct {
	id       fleet.RequestID
	account  document.Account
	config   *document.Config
	deadline time.Time
	body     []byte
	// keyed tells that the caller sent an Idempotency-Key, and ledgerAsked that
	// the answer comes from the order ledger.
	keyed       bool
	ledgerAsked bool
}

// mayHaveRun tells whether an earlier attempt with the same key may have run
// without this request knowing. Then no refusal may say "not run".
func (q *request) mayHaveRun() bool { return q.keyed && !q.ledgerAsked }

// ask describes the request to the gate.
func (q *request) ask(pool fleet.PoolID) admission.Request {
	return admission.Request{
		ID:       q.id,
		Account:  q.account.ID,
		Weight:   q.account.Weight,
		Priority: q.account.Priority,
		Pool:     pool,
		Deadline: q.deadline,
	}
}

// enter asks the gate and records its decision.
func (a *API) enter(ctx context.Context, q *request, pool fleet.PoolID) (admission.Ticket, error) {
	asked := a.parts.Clock.Now()
	ticket, err := a.parts.Gate.Enter(ctx, q.ask(pool))
	now := a.parts.Clock.Now()
	entry := report.Entry{
		At:        now,
		Component: "admission",
		Known:     fmt.Sprintf("pool %s, %s left until the deadline", pool, q.deadline.Sub(asked).Round(time.Millisecond)),
		Chosen:    "admitted",
		Reason:    fmt.Sprintf("a place was free after %s", now.Sub(asked)),
	}
	if err != nil {
		entry.Chosen, entry.Reason = refusal.KindOf(err).Answer().Code, err.Error()
	}
	a.parts.Trail.Add(string(q.id), entry)
	return ticket, err
}

type handler func(w http.ResponseWriter, r *http.Request, q *request) error

// serve wraps h with what all paths need: request id, client account, deadline,
// body, decision record and the answer to an error.
func (a *API) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := a.parts.Clock.Now()
		q := &request{id: a.parts.Instance.NewRequestID(), keyed: r.Header.Get("Idempotency-Key") != ""}
		w.Header().Set("X-Request-Id", string(q.id))
		err := a.run(w, r, q, h)
		a.finish(w, r, q, started, err)
	}
}

func (a *API) run(w http.ResponseWriter, r *http.Request, q *request, h handler) error {
	if err := a.identify(r, q); err != nil {
		return err
	}
	a.parts.Trail.Open(string(q.id), q.account.ID, q.account.Team)
	if err := a.setDeadline(r, q); err != nil {
		return err
	}
	if err := a.readBody(w, r, q); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(a.parts.Clock.Now()))
	defer cancel()
	return h(w, r.WithContext(ctx), q)
}

// identify finds the client account of the API key.
func (a *API) identify(r *http.Request, q *request) error {
	q.config = a.parts.Config()
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
	wait := a.deadline
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.BadRequest, "header X-Deadline-Ms: %q is not a positive number of milliseconds", text)
		}
		wait = min(time.Duration(ms)*time.Millisecond, a.maxDeadline)
	}
	q.deadline = a.parts.Clock.Now().Add(wait)
	return nil
}

// readBody reads the body within the size limit. The listener bounds its time.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, q *request) error {
	if r.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.limits.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return refusal.Because(refusal.BadRequest, err, "the body could not be read")
	}
	q.body = body
	return nil
}

// finish answers an error and keeps the end of the request in logs, metrics and
// the decision record.
func (a *API) finish(w http.ResponseWriter, r *http.Request, q *request, started time.Time, err error) {
	code := "ok"
	took := a.parts.Clock.Now().Sub(started)
	if err != nil {
		code = a.fail(w, r, q, err)
	}
	a.observe(code, took)
	a.parts.Trail.Add(string(q.id), report.Entry{
		At: a.parts.Clock.Now(), Component: "caller", Chosen: code, Reason: reason(err),
	})
	// The fields are built only for a level that is logged.
	entry := a.parts.Log.Check(zap.DebugLevel, "Request ended.")
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("request", string(q.id)), zap.String("account", string(q.account.ID)),
		zap.String("path", r.URL.Path), zap.String("code", code), zap.Duration("took", took))
}

func (a *API) fail(w http.ResponseWriter, r *http.Request, q *request, err error) string {
	var broken *brokenStream
	if errors.As(err, &broken) {
		return refusal.StreamBroken.Answer().Code
	}
	err = a.timeUp(r, err)
	kind := refusal.KindOf(err)
	if kind == refusal.Internal {
		a.parts.Log.Error("Request failed.", zap.String("request", string(q.id)), zap.Error(err))
	}
	writeError(w, q, err)
	return kind.Answer().Code
}

// timeUp gives an error that came from the end of the request's time the kind
// Deadline, unless it has a kind already.
func (a *API) timeUp(r *http.Request, err error) error {
	if refusal.KindOf(err) == refusal.Internal && errors.Is(err, context.DeadlineExceeded) {
		return refusal.Because(refusal.Deadline, err, "the deadline of the request has passed")
	}
	return err
}

func reason(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
