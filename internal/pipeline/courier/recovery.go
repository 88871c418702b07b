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

// never is the expected time of what is not possible.
const never = time.Duration(math.MaxInt64)

// recover replaces stage i after an error. It returns an error when the request
// cannot go on.
func (r *run) recover(ctx context.Context, index, i int, cause error) error {
	if ctx.Err() != nil {
		return cause
	}
	r.recoveries++
	if r.recoveries > maxRecoveries {
		return refusal.Because(refusal.KindOf(cause), cause, "request %s was recovered %d times in vain", r.request.Request, maxRecoveries)
	}
	old := r.chain.Stages[i]
	r.lost = append(r.lost, old.Upstream.ID)
	r.suspect(old.Upstream.ID, cause)
	next, err := r.replan(index, r.lost)
	if err != nil && len(r.lost) > 1 {
		// An engine that was lost before may have come back.
		r.lost = []fleet.UpstreamID{old.Upstream.ID}
		next, err = r.replan(index, r.lost)
	}
	if err != nil {
		return r.retain(i, cause, err)
	}
	r.migrate(ctx, next, alive(cause), fmt.Sprintf("stage %s failed: %v", old.Upstream.ID, cause))
	return nil
}

// suspect keeps other requests from an engine that did not answer.
func (r *run) suspect(id fleet.UpstreamID, cause error) {
	s, ok := r.courier.planner.(pipeline.Suspecter)
	if !ok {
		return
	}
	switch refusal.KindOf(cause) {
	case refusal.NoUpstream, refusal.Deadline:
		s.Suspect(id)
	}
}

// alive tells whether an engine that answered with err can still export.
func alive(err error) bool {
	switch refusal.KindOf(err) {
	case refusal.Overloaded, refusal.Stopping:
		return true
	default:
		return false
	}
}

// retain goes on with the same chain under a new epoch when there is no other
// engine. An engine that answered may have restarted or lost its cache, so stage i
// starts from the first position on, unless it was only overloaded or late.
func (r *run) retain(i int, cause, planning error) error {
	switch refusal.KindOf(cause) {
	case refusal.NoUpstream, refusal.Stopping:
		return planning
	}
	r.lost = nil
	have := append([]fleet.Position(nil), r.have...)
	chosen := "send again to the same engine"
	switch refusal.KindOf(cause) {
	case refusal.Overloaded, refusal.Deadline:
	default:
		have[i] = 0
		chosen = "compute again on the same engine"
	}
	r.take(r.chain, have)
	r.courier.record(r.request.Request, report.Entry{
		Known:  fmt.Sprintf("stage %s failed: %v", r.chain.Stages[i].Upstream.ID, cause),
		Chosen: chosen, Reason: planning.Error(),
	})
	return nil
}

// replan returns a chain without the avoided engines. It keeps the version and
// adapter once a token was emitted.
func (r *run) replan(index int, avoid []fleet.UpstreamID) (pipeline.Chain, error) {
	if p, ok := r.courier.planner.(pipeline.Replanner); ok {
		if next, err := p.Replace(r.chain, avoid, len(r.values[0])); err == nil {
			return next, nil
		}
	}
	next, err := r.courier.planner.Plan(r.request.Model, avoid)
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

// migrate goes on with another chain under a new epoch. A stage that stays keeps
// its KV cache. One that replaces an engine which can still export imports its
// cache when that is expected to be faster than to compute it again.
func (r *run) migrate(ctx context.Context, next pipeline.Chain, export bool, cause string) {
	old, oldClients, oldHave := r.chain, r.clients, r.have
	same := next.Version == old.Version && next.Adapter == old.Adapter
	have := make([]fleet.Position, len(next.Stages))
	for k, s := range next.Stages {
		if i := find(old, s.Layers); same && i >= 0 && old.Stages[i].Upstream.ID == s.Upstream.ID {
			have[k] = oldHave[i]
		}
	}
	if !same {
		r.values = map[fleet.Layer][]uint64{0: r.values[0]}
	}
	r.take(next, have)
	for k, s := range next.Stages {
		i := find(old, s.Layers)
		if i >= 0 && old.Stages[i].Upstream.ID == s.Upstream.ID && same {
			continue
		}
		o := restoration{stage: k, positions: len(r.values[0])}
		if export && same && i >= 0 && oldHave[i] > 0 {
			o.from, o.client = old.Stages[i].Upstream, oldClients[i]
		}
		r.restore(ctx, o, cause)
	}
	r.releaseUnused(ctx, old, oldClients)
}

// restoration is a way to fill the KV cache of a stage. Without a client there is no
// engine to import from.
type restoration struct {
	stage     int
	positions int
	from      upstream.Upstream
	client    upstream.EngineClient
}

// estimate returns the expected times until a stage has answered the newest
// position, with an import and with a computation. An import that is not possible
// takes for ever.
func (r *run) estimate(s pipeline.Stage, o restoration) (copying, computing time.Duration) {
	c := r.courier
	to, layers := c.speeds.Speed(s.Upstream), s.Layers.Len()
	computing = stepTime(to, layers, o.positions)
	if o.client == nil {
		return never, computing
	}
	from := c.speeds.Speed(o.from)
	if from.BytesPerSecond <= 0 || to.BytesPerSecond <= 0 {
		return never, computing
	}
	return transferTime(from, to, layers*o.positions*c.kvBytes) + stepTime(to, layers, 1), computing
}

// restore fills the KV cache of a new stage by the faster way and records the
// decision. A cache that is not imported is computed by the next step.
func (r *run) restore(ctx context.Context, o restoration, cause string) {
	s := r.chain.Stages[o.stage]
	copying, computing := r.estimate(s, o)
	e := report.Entry{
		Known:        fmt.Sprintf("%s; %d positions of layers %d:%d", cause, o.positions, s.Layers.From, s.Layers.To),
		Alternatives: fmt.Sprintf("import not possible, compute again on %s: %v", s.Upstream.ID, computing),
		Chosen:       fmt.Sprintf("compute again, epoch %d", r.epoch),
		Reason:       "shorter expected time", Next: "another engine under a new epoch",
	}
	if copying < never {
		e.Alternatives = fmt.Sprintf("import from %s: %v, compute again on %s: %v", o.from.ID, copying, s.Upstream.ID, computing)
	}
	if copying < computing {
		e.Chosen = fmt.Sprintf("import, epoch %d", r.epoch)
		e.Next = "compute again"
	}
	r.courier.record(r.request.Request, e)
	if copying < computing && r.transfer(ctx, o) != nil {
		r.have[o.stage] = 0
	}
}

func find(c pipeline.Chain, layers upstream.LayerRange) int {
	for i, s := range c.Stages {
		if s.Layers == layers {
			return i
		}
	}
	return -1
}

// transferTime is the expected time of an export and an import.
func transferTime(from, to pipeline.Speed, size int) time.Duration {
	seconds := float64(size)/from.BytesPerSecond + float64(size)/to.BytesPerSecond
	return from.Fixed + to.Fixed + time.Duration(seconds*float64(time.Second))
}

// transfer moves the KV cache of an old stage to a new one.
func (r *run) transfer(ctx context.Context, o restoration) error {
	c, s, request, k := r.courier, r.chain.Stages[o.stage], r.request.Request, o.stage
	size := s.Layers.Len() * o.positions * c.kvBytes
	expected := transferTime(c.speeds.Speed(o.from), c.speeds.Speed(s.Upstream), size)
	began := c.clock.Now()
	kv, err := await(ctx, c, c.timeout(expected), func(ctx context.Context) (upstream.KVCache, error) {
		return o.client.Export(ctx, request)
	})
	if err != nil {
		return err
	}
	exported := c.clock.Now()
	if kv.Layers != s.Layers || kv.Version != r.chain.Version || kv.Adapter != r.chain.Adapter ||
		int(kv.Positions) > len(r.values[s.Layers.From]) || int(kv.Positions) > len(r.values[s.Layers.To]) {
		return refusal.New(refusal.UpstreamFailed, "upstream %q exported another cache", o.from.ID)
	}
	_, err = await(ctx, c, c.timeout(expected), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, r.clients[k].Import(ctx, r.epoch, kv)
	})
	if err != nil {
		return err
	}
	if c.observer != nil {
		c.observer.ObserveTransfer(o.from, len(kv.Data), exported.Sub(began))
		c.observer.ObserveTransfer(s.Upstream, len(kv.Data), c.clock.Now().Sub(exported))
	}
	r.have[k] = kv.Positions
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
			r.courier.release(ctx, r.request.Request, r.epoch-1, clients[i])
		}
	}
}

// resume returns the layer at which a pass goes on under a new chain: the first
// stage that lacks the current position, among those up to layer at.
func (r *run) resume(at fleet.Layer) fleet.Layer {
	goal := fleet.Position(len(r.values[0]))
	for i, s := range r.chain.Stages {
		if s.Layers.From >= at || r.have[i] < goal {
			return s.Layers.From
		}
	}
	return at
}

// leave replaces the engines that are leaving, when the rest of the answer is
// expected to take longer than the move. Without other engines the leaving ones
// finish the request.
func (r *run) leave(ctx context.Context, index int) {
	c := r.courier
	if c.roster == nil || index == 0 || c.clock.Now().Sub(r.leaveChecked) < leavePause {
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
	r.leaveChecked = c.clock.Now()
	next, err := r.replan(index, append(leaving, r.lost...))
	if err != nil || !r.worthMoving(next, index) {
		return
	}
	r.migrate(ctx, next, true, fmt.Sprintf("engines %v are leaving", leaving))
}

// worthMoving compares the move to a chain with the longest rest of the answer.
func (r *run) worthMoving(next pipeline.Chain, index int) bool {
	var token, move time.Duration
	for k, s := range next.Stages {
		token += stepTime(r.courier.speeds.Speed(s.Upstream), s.Layers.Len(), 1)
		i := find(r.chain, s.Layers)
		if i >= 0 && r.chain.Stages[i].Upstream.ID == s.Upstream.ID {
			continue
		}
		o := restoration{stage: k, positions: len(r.values[0])}
		if i >= 0 {
			o.from, o.client = r.chain.Stages[i].Upstream, r.clients[i]
		}
		move += min(r.estimate(s, o))
	}
	return token*time.Duration(r.request.MaxTokens-index) >= move
}
