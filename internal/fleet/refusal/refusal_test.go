package refusal_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// TestResponses guards against a kind without a response, and against two kinds with
// the same code.
func TestResponses(t *testing.T) {
	is := is.New(t)
	codes := make(map[string]bool)
	for _, k := range refusal.Kinds() {
		r := k.Response()
		is.True(r.Status >= http.StatusBadRequest) // every kind has an HTTP status
		is.True(r.Code != "")
		is.True(!codes[r.Code]) // codes are unique
		codes[r.Code] = true
	}
}

// TestDocumentation guards against an error table in docs/api.md that differs from the
// responses.
func TestDocumentation(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../../docs/api.md")
	is.NoErr(err)
	yesNo := map[bool]string{true: "yes", false: "no"}
	for _, k := range refusal.Kinds() {
		r := k.Response()
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", r.Code, r.Status, yesNo[r.NotRun], yesNo[r.ResendSafe])
		is.True(strings.Contains(string(raw), row)) // docs/api.md contains the row
	}
}

// TestMayHaveRun guards against NotRun for a kind that is also used after a request may
// have been sent to an upstream.
func TestMayHaveRun(t *testing.T) {
	is := is.New(t)
	for _, k := range []refusal.Kind{
		refusal.Internal, refusal.Deadline, refusal.InProgress, refusal.OutcomeUnknown,
		refusal.LedgerUnreachable, refusal.UpstreamFailed, refusal.StreamBroken,
	} {
		is.True(!k.Response().NotRun)
	}
}

// TestKindOf guards against a kind that is lost when an error is wrapped.
func TestKindOf(t *testing.T) {
	is := is.New(t)
	inner := refusal.New(refusal.Overloaded, "full").WithRetryAfter(time.Second)
	is.Equal(refusal.KindOf(errors.Wrap(inner, "enter")), refusal.Overloaded)
	is.Equal(refusal.KindOf(refusal.WithCause(refusal.NoUpstream, inner, "pick")), refusal.NoUpstream)
	is.Equal(refusal.KindOf(errors.New("other")), refusal.Internal)
	is.Equal(refusal.Kind(-1).Response(), refusal.Internal.Response())
}
