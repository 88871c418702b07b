package caller

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// errEvicted ends a generation that exceeds the limit of a quiet-hours window. Some
// of its layers have run, so the error has a kind that does not report "not run".
var errEvicted = refusal.New(refusal.UpstreamFailed, "quiet hours have begun, and the generation was ended")

// withEviction returns a context that is cancelled with errEvicted when the ticket
// is evicted because of quiet hours. The returned function releases the resources
// of the context.
func withEviction(ctx context.Context, t admission.Ticket) (context.Context, func()) {
	evictable, ok := t.(admission.Evictable)
	if !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-evictable.Evicted():
			cancel(errEvicted)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// generationError returns errEvicted if err is not nil and ctx was cancelled by an
// eviction for quiet hours. Otherwise it returns err.
func generationError(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) == errEvicted {
		return errEvicted
	}
	return err
}
