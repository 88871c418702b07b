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

// TestTable guards against a kind without a row, and against two kinds with the
// same code.
func TestTable(t *testing.T) {
	is := is.New(t)
	codes := make(map[string]bool)
	for _, k := range refusal.Kinds() {
		a := k.Answer()
		is.True(a.Status >= http.StatusBadRequest) // every kind has an HTTP status
		is.True(a.Code != "")
		is.True(!codes[a.Code]) // codes are unique
		codes[a.Code] = true
	}
}

// TestDocumentation guards against a row of docs/api.md that differs from the
// table.
func TestDocumentation(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../../docs/api.md")
	is.NoErr(err)
	word := map[bool]string{true: "yes", false: "no"}
	for _, k := range refusal.Kinds() {
		a := k.Answer()
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", a.Code, a.Status, word[a.NotRun], word[a.Resend])
		is.True(strings.Contains(string(raw), row)) // docs/api.md has the row
	}
}

// TestUncertain guards against "not run" for a kind that is used after something
// may have been sent.
func TestUncertain(t *testing.T) {
	is := is.New(t)
	for _, k := range []refusal.Kind{
		refusal.Internal, refusal.Deadline, refusal.InProgress, refusal.OutcomeUnknown,
		refusal.LedgerUnreachable, refusal.UpstreamFailed, refusal.StreamBroken,
	} {
		is.True(!k.Answer().NotRun)
	}
}

// TestKindOf guards against a kind that is lost when an error is wrapped.
func TestKindOf(t *testing.T) {
	is := is.New(t)
	inner := refusal.New(refusal.Overloaded, "full").After(time.Second)
	is.Equal(refusal.KindOf(errors.Wrap(inner, "enter")), refusal.Overloaded)
	is.Equal(refusal.KindOf(refusal.Because(refusal.NoUpstream, inner, "pick")), refusal.NoUpstream)
	is.Equal(refusal.KindOf(errors.New("other")), refusal.Internal)
	is.Equal(refusal.Kind(-1).Answer(), refusal.Internal.Answer())
}
