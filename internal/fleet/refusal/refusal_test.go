package refusal_test

import (
	"net/http"
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
