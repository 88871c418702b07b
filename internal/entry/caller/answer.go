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

// errorBody is the body of an error response. Type and Code have the same value
// because clients of model servers read either of them.
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
	response := refusal.KindOf(err).Response()
	return errorBody{Error: errorDetail{
		Message:    publicMessage(err),
		Type:       response.Code,
		Code:       response.Code,
		RequestID:  q.id,
		NotRun:     response.NotRun && !q.mayHaveRun(),
		ResendSafe: response.ResendSafe,
	}}
}

// publicMessage returns the error text that may be sent to the caller. An error
// without a kind may contain internal details of the fleet, so its text appears
// only in logs and decision records.
func publicMessage(err error) string {
	var e *refusal.Error
	if errors.As(err, &e) && e.Kind != refusal.Internal {
		return e.Message
	}
	return "internal error"
}

func writeError(w http.ResponseWriter, q *request, err error) {
	var e *refusal.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	writeJSON(w, refusal.KindOf(err).Response().Status, newErrorBody(q, err))
}

// ceilSeconds returns d in seconds, rounded up.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure means that the caller has disconnected, so there is nobody to
	// report it to.
	_ = json.NewEncoder(w).Encode(body)
}
