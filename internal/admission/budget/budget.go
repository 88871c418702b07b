// Package budget limits retries to a fraction of the first attempts, so that retries
// cannot multiply the load of a pool that fails.
//
//	b := budget.New()
//	b.Deposit()           // for every first attempt
//	if b.Withdraw() {     // before every retry
//		retry()
//	}
package budget

import "sync/atomic"

const (
	// retryCost is the price of one retry. The balance counts thousandths of a retry.
	retryCost = 1000
	// attemptCredit is what a first attempt adds to the balance, a tenth of a retry.
	attemptCredit = retryCost / 10
	// maxBalance is the initial balance, which lets a pool with little traffic retry
	// at all, and the most that the balance can reach while no retries are needed.
	maxBalance = 10 * retryCost
)

// Counters holds totals since the creation of a Budget.
type Counters struct {
	Attempts uint64
	Retries  uint64
	Denied   uint64
}

// Budget is the retry budget of one pool. It is safe for concurrent use.
type Budget struct {
	balance  atomic.Int64
	attempts atomic.Uint64
	retries  atomic.Uint64
	denied   atomic.Uint64
}

// New returns a Budget with the full balance.
func New() *Budget {
	b := &Budget{}
	b.balance.Store(maxBalance)
	return b
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.attempts.Add(1)
	for {
		old := b.balance.Load()
		if old >= maxBalance {
			return
		}
		if b.balance.CompareAndSwap(old, min(old+attemptCredit, maxBalance)) {
			return
		}
	}
}

// Withdraw reports whether a retry may start and, if so, deducts it from the balance.
func (b *Budget) Withdraw() bool {
	for {
		old := b.balance.Load()
		if old < retryCost {
			b.denied.Add(1)
			return false
		}
		if b.balance.CompareAndSwap(old, old-retryCost) {
			b.retries.Add(1)
			return true
		}
	}
}

// Counters returns the current totals.
func (b *Budget) Counters() Counters {
	return Counters{
		Attempts: b.attempts.Load(),
		Retries:  b.retries.Load(),
		Denied:   b.denied.Load(),
	}
}
