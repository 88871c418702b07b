package budget_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
)

// Guards against retries that multiply the load when all attempts fail, and
// against a pool with little traffic that may not retry at all.
func TestRetriesAreProportionalToAttempts(t *testing.T) {
	is := is.New(t)
	b := budget.New()
	for range 1000 {
		b.Deposit()
		for range 3 {
			b.Withdraw()
		}
	}
	// A tenth of the attempts plus the initial balance of 10, less the credit above the
	// maximum balance.
	is.Equal(b.Counters(), budget.Counters{Attempts: 1000, Retries: 109, Denied: 2891})
}
