package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
)

const (
	// minProgressEvents is the number of events of one attempt after which its engine has
	// responded to a prompt. An engine that crashes may send one event before.
	minProgressEvents = 2
	// crashProbeTimeout limits the check whether an engine has crashed. A host refuses a
	// connection to a closed port within one round trip.
	crashProbeTimeout = 100 * time.Millisecond
	// suspectCrashes is the number of crashes under a part of a prompt after which a
	// request that has met one of them waits up to verdictTimeout before its next attempt,
	// checking every verdictPollInterval. In that time the gateways agree on the cause.
	suspectCrashes      = 2
	verdictTimeout      = time.Second
	verdictPollInterval = 40 * time.Millisecond
)

// checkPrompt returns an error of kind refusal.Quarantined if a part of the prompt
// crashes engines.
func (q *request) checkPrompt() error {
	part, ok := q.state.Prompts().Find(q.poolID, q.headers.SharedParts)
	if !ok {
		return nil
	}
	return refusal.New(refusal.Quarantined, "part %q of the prompt crashes engines", part)
}

// recordCrash records that an engine of an attempt crashed before the engines responded to
// the prompt, if that is why the attempt failed with err. stalledAt is the address of the
// engine that the others waited for, or empty.
func (q *request) recordCrash(ctx context.Context, d destination, stalledAt string, err error) {
	u, t, ok := d.suspect(stalledAt, err)
	if !ok || len(q.headers.SharedParts) == 0 {
		return
	}
	prompts := q.state.Prompts()
	suspects := prompts.Suspects(q.poolID, q.headers.SharedParts)
	if len(suspects) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	if !q.client.RefusesConnections(ctx, t) {
		return
	}
	prompts.RecordCrash(q.poolID, q.headers.SharedParts, quarantine.HashEngine(u.ID, u.Incarnation))
	q.crashes++
	q.metrics.crashed()
	q.logger.Warn("An engine crashed before it responded.", zap.String("request", string(q.headers.ID)),
		zap.String("upstream", string(t.ID)), zap.Any("suspectedParts", suspects))
}

// awaitVerdict waits while the prompt of a request that has met a crash is suspected of
// several crashes. It doesn't wait if the request has no further attempt.
func (q *request) awaitVerdict(ctx context.Context) {
	if q.crashes == 0 || !q.withinRouteLimits(q.possibleRuns, q.attempts) {
		return
	}
	parts := q.headers.SharedParts
	for start := q.clock.Now(); q.clock.Now().Sub(start) < verdictTimeout; {
		if q.state.Prompts().Crashes(q.poolID, parts) < suspectCrashes || q.checkPrompt() != nil || !q.reserveRetry() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-q.clock.After(verdictPollInterval):
			q.waited += verdictPollInterval
		}
	}
}
