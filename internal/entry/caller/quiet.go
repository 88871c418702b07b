package caller

import (
	"context"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// errMoved ends a generation that is over the bound of a quiet-hours window. Some
// of its layers ran, so its kind does not say "not run".
var errMoved = refusal.New(refusal.UpstreamFailed, "quiet hours have begun, and the generation was ended")

// untilMoved returns a context that ends when the work of the ticket has to leave
// for quiet hours. The returned function frees it.
func untilMoved(ctx context.Context, t admission.Ticket) (context.Context, func()) {
	movable, ok := t.(admission.Evictable)
	if !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-movable.Evicted():
			cancel(errMoved)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// whyEnded returns the reason for which the context of a generation ended, if it
// was quiet hours, and err otherwise.
func whyEnded(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) == errMoved {
		return errMoved
	}
	return err
}
