package forward

import (
	"math/rand/v2"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/pkg/errors"
)

const (
	// A stream that is refused because engines are full gets a Retry-After between
	// minFullRetryAfter and twice that, which is the shortest one under overload: streams
	// end all the time.
	minFullRetryAfter = 500 * time.Millisecond
	// maxRetryAfterDivisor divides the time until the deadline of a request to give the
	// longest Retry-After. After it there must be time left to serve the request.
	maxRetryAfterDivisor = 3
)

// withRetryAfter adds a Retry-After to an error of kind refusal.Overloaded.
func (q *request) withRetryAfter(err error) error {
	var e *refusal.Error
	if !errors.As(err, &e) || e.Kind != refusal.Overloaded {
		return err
	}
	d := minFullRetryAfter + time.Duration(rand.Int64N(int64(minFullRetryAfter)))
	remaining := q.deadline.Sub(q.clock.Now())
	return e.WithRetryAfter(max(0, min(d, remaining/maxRetryAfterDivisor)))
}

// refusedAsFull reports whether a stream is refused at once because engines are full. Only
// a stream that certainly has not run is: the others wait, like one that the client has in
// part, because their clients cannot be told that it is safe to retry.
func (s *relay) refusedAsFull(err error) bool {
	return refusal.KindOf(err) == refusal.Overloaded && s.possibleRuns == 0 && !s.headSent && !s.headers.HasLastEvent
}
