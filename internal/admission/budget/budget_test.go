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
	c := b.Counters()
	is.Equal(c.Attempts, uint64(1000))
	is.Equal(c.Retries, uint64(109)) // a tenth and the reserve of 10, less what was full
	is.Equal(c.Denied, uint64(2891))
}
