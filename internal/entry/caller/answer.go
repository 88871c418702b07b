package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// errorBody is the body of an answer to an error. Type and code have the same
// text, since clients of model servers look at either.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string          `json:"message"`
	Type       string          `json:"type"`
	Code       string          `json:"code"`
	RequestID  fleet.RequestID `json:"requestId"`
	NotRun     bool            `json:"notRun"`
	ResendSafe bool            `json:"resendSafe"`
}

func newErrorBody(q *request, err error) errorBody {
	answer := refusal.KindOf(err).Answer()
	return errorBody{Error: errorDetail{
		Message:    message(err),
		Type:       answer.Code,
		Code:       answer.Code,
		RequestID:  q.id,
		NotRun:     answer.NotRun && !q.mayHaveRun(),
		ResendSafe: answer.Resend,
	}}
}

// message returns the text for the caller. An error without a kind may hold
// details of the fleet, so its text stays in the logs.
func message(err error) string {
	var e *refusal.Error
	if errors.As(err, &e) && e.Kind != refusal.Internal {
		return e.Message
	}
	return "internal error"
}

func writeError(w http.ResponseWriter, q *request, err error) {
	var e *refusal.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	writeJSON(w, refusal.KindOf(err).Answer().Status, newErrorBody(q, err))
}

func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller went away if this fails, and nobody is left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
