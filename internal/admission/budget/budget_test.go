package budget_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
)

// Guards against retries that multiply the load when everything fails, and
// against a pool with little traffic that may not retry at all.
func TestRetriesAreAShareOfTheTraffic(t *testing.T) {
	is := is.New(t)
	b := budget.New()
	for range 1000 {
		b.Deposit()
		for range 3 {
			b.Withdraw()
		}
	}
	// A tenth and the reserve of 10, less what did not fit into it.
	is.Equal(b.Counters(), budget.Counters{Attempts: 1000, Retries: 109, Denied: 2891})
}

// Guards against retries of many instances that together exceed the limit of the
// fleet: each gets its part, also when instances join later.
func TestAdjustBoundsTheReserve(t *testing.T) {
	is := is.New(t)
	b := budget.New()
	b.Adjust(0.5, 3)
	for range 5 {
		b.Withdraw()
	}
	is.Equal(b.Counters().Retries, uint64(3))
	b.Deposit()
	is.True(!b.Withdraw())
	b.Deposit()
	is.True(b.Withdraw())
	b.Adjust(0.5, 1)
	for range 10 {
		b.Deposit()
	}
	is.True(b.Withdraw())
	is.True(!b.Withdraw())
}
