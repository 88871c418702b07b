package listener

import (
	"io"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// chargedBody is a request body whose bytes are charged to the budget when they are read,
// until the handler returns. If they don't fit, Read returns an error of kind Overloaded.
type chargedBody struct {
	io.ReadCloser
	budget   *Budget
	declared int64 // Content-Length, or -1
	checked  bool
	charged  int64 // bytes
}

// Read implements io.Reader. A body that cannot fit is not read at all.
func (b *chargedBody) Read(p []byte) (int, error) {
	if !b.checked {
		b.checked = true
		if !b.budget.bodyFits(max(b.declared, 0)) {
			return 0, errBodyMemory(b.declared)
		}
	}
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	if !b.budget.chargeBody(int64(n)) {
		return 0, errBodyMemory(b.declared)
	}
	b.charged += int64(n)
	return n, err
}

func errBodyMemory(bytes int64) error {
	return refusal.New(refusal.Overloaded, "memory for request bodies is exhausted, body of %d bytes", bytes)
}

func (b *chargedBody) release() { b.budget.releaseBody(b.charged) }
