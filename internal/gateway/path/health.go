package path

import (
	"math"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// currentSlowdown returns the factor by which the engine is slower than its card, or 1
// if there is no recent report.
func (e *engine) currentSlowdown(now time.Time) float64 {
	if e.slowdown <= 1 || now.Sub(e.slowdownTime) > maxSlowdownAge {
		return 1
	}
	return e.slowdown
}

// SetSlowdown records the factor by which an engine reports to be slower than its card.
func (p *Planner) SetSlowdown(id fleet.UpstreamID, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byID[id]; e != nil {
		now := p.clock.Now()
		e.slowdown, e.slowdownTime, e.ownSlowdownTime = slowdown, now, now
	}
}

// SlowdownDue returns the hops whose engines no gateway has recently asked for their
// slowdown. The caller must ask them: they are not returned again for
// maxSlowdownReportAge.
func (p *Planner) SlowdownDue(hops []Hop) []Hop {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var due []Hop
	for _, h := range hops {
		if e := p.byID[h.ID]; e != nil && now.Sub(e.slowdownTime) > maxSlowdownReportAge {
			e.slowdownTime = now // keeps other streams from asking as well
			due = append(due, h)
		}
	}
	return due
}

// NoteProgress records that a request made progress on a path.
func (p *Planner) NoteProgress(hops []Hop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, h := range hops {
		if e := p.byID[h.ID]; e != nil {
			e.lastOwnProgress = now
		}
	}
}

// MarkFailed excludes the engine at an address temporarily.
func (p *Planner) MarkFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range p.engines {
		if e.entry.Address != address || now.Before(e.excludedUntil) {
			continue
		}
		e.lastOwnFailure = now
		p.exclude(e, now)
	}
}

// MarkUnreachable records that the engine at an address refuses connections or cannot be
// reached.
func (p *Planner) MarkUnreachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.entry.Address == address {
			e.unreachableAt = p.clock.Now()
		}
	}
}

// Live returns those of some engines that are not known to be lost. An engine that is only
// excluded or full is alive: it may still run what was sent to it.
func (p *Planner) Live(ids []fleet.UpstreamID) []fleet.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	return slices.DeleteFunc(slices.Clone(ids), func(id fleet.UpstreamID) bool {
		if e := p.byID[id]; e != nil {
			return p.lost(e, now)
		}
		lastHeartbeat, ok := p.idle[id]
		return !ok || now.Sub(lastHeartbeat) > p.heartbeatTimeout
	})
}

// lost reports whether an engine has ended or is cut off, as far as this gateway knows: it
// has shown no sign of life recently, or none since no connection to it could be opened.
func (p *Planner) lost(e *engine, now time.Time) bool {
	unreachable := e.unreachableAt.After(e.entry.LastHeartbeat) && e.unreachableAt.After(e.lastOwnProgress)
	return unreachable || p.stale(e, now)
}

// allowsExcluded reports whether the constraints allow an engine that is excluded. Engines
// that have just refused a request for lack of memory would do so again.
func (p *Planner) allowsExcluded(l Constraints, e *engine, now time.Time) bool {
	return l.FirstExcluded && slices.Contains(l.First, e.entry.ID) && !p.lost(e, now) && now.Sub(e.lastOwnRefusal) >= refusalExclusion
}

// exclude keeps an engine from being chosen, for longer with each consecutive failure.
func (p *Planner) exclude(e *engine, now time.Time) {
	d := time.Duration(float64(minExclusion) * math.Pow(2, float64(e.failures)))
	e.excludedUntil = now.Add(min(d, maxExclusion))
	e.failures++
}

// MarkFull excludes the engine at an address until some of its requests may have ended.
func (p *Planner) MarkFull(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range p.engines {
		if e.entry.Address != address {
			continue
		}
		e.lastOwnRefusal = now
		if p.admission {
			// The engine counts as full, not as lost: its layers are not missing.
			e.refusedUntil = now.Add(refusalExclusion)
			continue
		}
		if !now.Before(e.excludedUntil) {
			e.excludedUntil = now.Add(refusalExclusion)
		}
	}
}
