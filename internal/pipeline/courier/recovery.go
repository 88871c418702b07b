package courier

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// infinite is the expected time of an import that is not possible.
const infinite = time.Duration(math.MaxInt64)

// recoverStage replaces stage i after an error. It returns an error when the request
// cannot continue.
func (r *run) recoverStage(ctx context.Context, index, i int, cause error) error {
	if ctx.Err() != nil {
		return cause
	}
	if r.crashes >= maxCrashes {
		return refusal.WithCause(refusal.UpstreamFailed, cause, "%d engines crashed in successive steps", r.crashes)
	}
	r.recoveries++
	if r.recoveries > maxRecoveries {
		return refusal.WithCause(refusal.KindOf(cause), cause, "request %s was recovered %d times in vain", r.request.RequestID, maxRecoveries)
	}
	old := r.chain.Stages[i]
	r.excluded = append(r.excluded, old.Upstream.ID)
	r.reportSuspect(old.Upstream.ID, cause)
	next, err := r.replan(index, r.excluded)
	if err != nil && len(r.excluded) > 1 {
		// An engine that failed before may be available again.
		r.excluded = []fleet.UpstreamID{old.Upstream.ID}
		next, err = r.replan(index, r.excluded)
	}
	if err != nil {
		return r.retryChain(i, cause, err)
	}
	r.migrate(ctx, next, canExport(cause), fmt.Sprintf("stage %s failed: %v", old.Upstream.ID, cause))
	return nil
}

// reportSuspect reports an engine that did not respond to the planner, so that other
// requests do not use it.
func (r *run) reportSuspect(id fleet.UpstreamID, cause error) {
	s, ok := r.executor.planner.(pipeline.Suspecter)
	if !ok {
		return
	}
	switch refusal.KindOf(cause) {
	case refusal.NoUpstream, refusal.Deadline:
		s.Suspect(id)
	}
}

// canExport tells whether an engine that failed with err can still export its KV
// cache.
func canExport(err error) bool {
	switch refusal.KindOf(err) {
	case refusal.Overloaded, refusal.Stopping:
		return true
	default:
		return false
	}
}

// retryChain continues with the same chain under a new epoch when there is no other
// engine. An engine that responded may have restarted or lost its cache, so stage i
// restarts at the first position, unless it was only overloaded or late.
func (r *run) retryChain(i int, cause, planErr error) error {
	switch refusal.KindOf(cause) {
	case refusal.NoUpstream, refusal.Stopping:
		return planErr
	}
	r.excluded = nil
	cachedPositions := append([]fleet.Position(nil), r.cachedPositions...)
	chosen := "send again to the same engine"
	switch refusal.KindOf(cause) {
	case refusal.Overloaded, refusal.Deadline:
	default:
		cachedPositions[i] = 0
		chosen = "compute again on the same engine"
	}
	r.startEpoch(r.chain, cachedPositions)
	r.executor.record(r.request.RequestID, report.Entry{
		Known:  fmt.Sprintf("stage %s failed: %v", r.chain.Stages[i].Upstream.ID, cause),
		Chosen: chosen, Reason: planErr.Error(),
	})
	return nil
}

// replan returns a chain without the excluded engines. After the first token it
// returns only chains of the same version and adapter.
func (r *run) replan(index int, exclude []fleet.UpstreamID) (pipeline.Chain, error) {
	if p, ok := r.executor.planner.(pipeline.Replanner); ok {
		if next, err := p.Replace(r.chain, exclude, len(r.layerInputs[0])); err == nil {
			return next, nil
		}
	}
	next, err := r.executor.planner.Plan(r.request.Model, exclude)
	if err != nil {
		return pipeline.Chain{}, err
	}
	if len(next.Stages) == 0 {
		return pipeline.Chain{}, refusal.New(refusal.Internal, "chain for model %q has no stages", next.Model)
	}
	same := next.Version == r.chain.Version && next.Adapter == r.chain.Adapter
	if !same && index > 0 {
		return pipeline.Chain{}, refusal.New(refusal.NoUpstream,
			"engines of version %q no longer cover model %q", r.chain.Version, next.Model)
	}
	return next, nil
}

// migrate continues with another chain under a new epoch. An unchanged stage keeps
// its KV cache. A stage whose engine replaces one that can still export imports the
// cache if that is expected to be faster than to recompute it.
func (r *run) migrate(ctx context.Context, next pipeline.Chain, export bool, cause string) {
	old, oldClients, oldCachedPositions := r.chain, r.clients, r.cachedPositions
	same := next.Version == old.Version && next.Adapter == old.Adapter
	cachedPositions := make([]fleet.Position, len(next.Stages))
	for k, s := range next.Stages {
		if i := stageIndex(old, s.Layers); same && i >= 0 && old.Stages[i].Upstream.ID == s.Upstream.ID {
			cachedPositions[k] = oldCachedPositions[i]
		}
	}
	if !same {
		r.layerInputs = map[fleet.Layer][]uint64{0: r.layerInputs[0]}
	}
	r.startEpoch(next, cachedPositions)
	for k, s := range next.Stages {
		i := stageIndex(old, s.Layers)
		if i >= 0 && old.Stages[i].Upstream.ID == s.Upstream.ID && same {
			continue
		}
		o := restoration{stage: k, positions: len(r.layerInputs[0])}
		if export && same && i >= 0 && oldCachedPositions[i] > 0 {
			o.from, o.client = old.Stages[i].Upstream, oldClients[i]
		}
		r.restore(ctx, o, cause)
	}
	r.releaseUnused(ctx, old, oldClients)
}

// restoration describes how to fill the KV cache of a stage with a number of
// positions. It can be imported from the engine from, unless client is nil.
type restoration struct {
	stage     int
	positions int
	from      upstream.Upstream
	client    upstream.EngineClient
}

// estimate returns the expected times until a stage has computed the newest
// position, if its KV cache is imported and if it is recomputed. The import time is
// infinite if an import is not possible.
func (r *run) estimate(s pipeline.Stage, o restoration) (importTime, recomputeTime time.Duration) {
	c := r.executor
	to, layers := c.speeds.Speed(s.Upstream), s.Layers.Len()
	recomputeTime = expectedStepTime(to, layers, o.positions)
	if o.client == nil {
		return infinite, recomputeTime
	}
	from := c.speeds.Speed(o.from)
	if from.BytesPerSecond <= 0 || to.BytesPerSecond <= 0 {
		return infinite, recomputeTime
	}
	return expectedTransferTime(from, to, layers*o.positions*c.kvEntryBytes) + expectedStepTime(to, layers, 1), recomputeTime
}

// restore fills the KV cache of a new stage in the faster way and records the
// decision. A cache that is not imported is recomputed by the next step.
func (r *run) restore(ctx context.Context, o restoration, cause string) {
	s := r.chain.Stages[o.stage]
	importTime, recomputeTime := r.estimate(s, o)
	e := report.Entry{
		Known:        fmt.Sprintf("%s; %d positions of layers %d:%d", cause, o.positions, s.Layers.From, s.Layers.To),
		Alternatives: fmt.Sprintf("import not possible, compute again on %s: %v", s.Upstream.ID, recomputeTime),
		Chosen:       fmt.Sprintf("compute again, epoch %d", r.epoch),
		Reason:       "shorter expected time", Next: "another engine under a new epoch",
	}
	if importTime < infinite {
		e.Alternatives = fmt.Sprintf("import from %s: %v, compute again on %s: %v", o.from.ID, importTime, s.Upstream.ID, recomputeTime)
	}
	if importTime < recomputeTime {
		e.Chosen = fmt.Sprintf("import, epoch %d", r.epoch)
		e.Next = "compute again"
	}
	r.executor.record(r.request.RequestID, e)
	if importTime < recomputeTime && r.transferCache(ctx, o) != nil {
		r.cachedPositions[o.stage] = 0
	}
}

func stageIndex(c pipeline.Chain, layers upstream.LayerRange) int {
	for i, s := range c.Stages {
		if s.Layers == layers {
			return i
		}
	}
	return -1
}

// expectedTransferTime returns the expected time to export and import a number of
// bytes.
func expectedTransferTime(from, to pipeline.Speed, size int) time.Duration {
	seconds := float64(size)/from.BytesPerSecond + float64(size)/to.BytesPerSecond
	return from.FixedTime + to.FixedTime + time.Duration(seconds*float64(time.Second))
}

// transferCache copies the KV cache of an old stage to a new one.
func (r *run) transferCache(ctx context.Context, o restoration) error {
	c, s, request, k := r.executor, r.chain.Stages[o.stage], r.request.RequestID, o.stage
	size := s.Layers.Len() * o.positions * c.kvEntryBytes
	expected := expectedTransferTime(c.speeds.Speed(o.from), c.speeds.Speed(s.Upstream), size)
	startedAt := c.clock.Now()
	kv, err := callWithTimeout(ctx, c, c.timeout(expected), func(ctx context.Context) (upstream.KVCache, error) {
		return o.client.Export(ctx, request)
	})
	if err != nil {
		return err
	}
	exportedAt := c.clock.Now()
	if kv.Layers != s.Layers || kv.Version != r.chain.Version || kv.Adapter != r.chain.Adapter ||
		int(kv.Positions) > len(r.layerInputs[s.Layers.From]) || int(kv.Positions) > len(r.layerInputs[s.Layers.To]) {
		return refusal.New(refusal.UpstreamFailed, "upstream %q exported another cache", o.from.ID)
	}
	_, err = callWithTimeout(ctx, c, c.timeout(expected), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, r.clients[k].Import(ctx, r.epoch, kv)
	})
	if err != nil {
		return err
	}
	if c.observer != nil {
		c.observer.ObserveTransfer(o.from, len(kv.Data), exportedAt.Sub(startedAt))
		c.observer.ObserveTransfer(s.Upstream, len(kv.Data), c.clock.Now().Sub(exportedAt))
	}
	r.cachedPositions[k] = kv.Positions
	return nil
}

// releaseUnused frees the memory of the request on engines of the old chain that
// are not in the new one.
func (r *run) releaseUnused(ctx context.Context, old pipeline.Chain, clients []upstream.EngineClient) {
	for i, o := range old.Stages {
		used := false
		for _, s := range r.chain.Stages {
			used = used || s.Upstream.ID == o.Upstream.ID
		}
		if !used {
			r.executor.release(ctx, r.request.RequestID, r.epoch-1, clients[i])
		}
	}
}

// resumeLayer returns the layer at which a forward pass continues under a new chain:
// the start of the first stage whose cache lacks the current position, or of the first
// stage that starts at layer current or after it, whichever comes first.
func (r *run) resumeLayer(current fleet.Layer) fleet.Layer {
	positions := fleet.Position(len(r.layerInputs[0]))
	for i, s := range r.chain.Stages {
		if s.Layers.From >= current || r.cachedPositions[i] < positions {
			return s.Layers.From
		}
	}
	return current
}

// migrateFromLeaving replaces the engines that are leaving if the remaining tokens
// are expected to take longer than the migration. Without other engines the leaving
// ones finish the request.
func (r *run) migrateFromLeaving(ctx context.Context, index int) {
	c := r.executor
	if c.roster == nil || index == 0 || c.clock.Now().Sub(r.lastLeaveReplan) < leaveReplanInterval {
		return
	}
	var leaving []fleet.UpstreamID
	for _, s := range r.chain.Stages {
		if u, ok := c.roster.Get(s.Upstream.ID); ok && u.State == upstream.Leaving {
			leaving = append(leaving, s.Upstream.ID)
		}
	}
	if len(leaving) == 0 {
		return
	}
	r.lastLeaveReplan = c.clock.Now()
	next, err := r.replan(index, append(leaving, r.excluded...))
	if err != nil || !r.worthMigrating(next, index) {
		return
	}
	r.migrate(ctx, next, true, fmt.Sprintf("engines %v are leaving", leaving))
}

// worthMigrating tells whether the migration to a chain is expected to take no longer
// than the maximum number of remaining tokens.
func (r *run) worthMigrating(next pipeline.Chain, index int) bool {
	var tokenTime, migrationTime time.Duration
	for k, s := range next.Stages {
		tokenTime += expectedStepTime(r.executor.speeds.Speed(s.Upstream), s.Layers.Len(), 1)
		i := stageIndex(r.chain, s.Layers)
		if i >= 0 && r.chain.Stages[i].Upstream.ID == s.Upstream.ID {
			continue
		}
		o := restoration{stage: k, positions: len(r.layerInputs[0])}
		if i >= 0 {
			o.from, o.client = r.chain.Stages[i].Upstream, r.clients[i]
		}
		migrationTime += min(r.estimate(s, o))
	}
	return tokenTime*time.Duration(r.request.MaxTokens-index) >= migrationTime
}
