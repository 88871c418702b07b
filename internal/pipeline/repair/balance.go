package repair

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// loadState holds the times since which the load of a role has been above HighLoad
// and below LowLoad, or zero.
type loadState struct {
	highSince, lowSince time.Time
}

// roleLoad is the load of all engines of a role, in sequences per slot.
type roleLoad struct {
	role    role
	engines int
	load    float64 // sum over the engines
}

func (t roleLoad) mean() float64 { return t.load / float64(max(t.engines, 1)) }

// balance moves one engine from a role with low load to an overloaded one, when both
// have been so for the StabilizationWindow.
func (c *Controller) balance(now time.Time, cov *coverage, roleLoads []roleLoad) (Effect, bool) {
	overloaded, ok := c.overloadedRole(now, roleLoads)
	if !ok {
		return Effect{}, false
	}
	for _, t := range roleLoads {
		state := c.loads[t.role]
		// The remaining engines take over the load of the one that leaves.
		loadAfter := t.load / float64(max(t.engines-1, 1))
		if c.roleCooldownUntil[t.role].After(now) || state.lowSince.IsZero() || now.Sub(state.lowSince) < c.settings.StabilizationWindow || loadAfter >= c.settings.HighLoad/2 {
			continue
		}
		for _, u := range cov.engines {
			m, inDocument := cov.model(u.Model)
			if roleOf(u) != t.role || u.Layers.Len() != overloaded.role.layers.Len() || c.excluded(now, u.ID, 0) {
				continue
			}
			if inDocument && !cov.canLeave(u, minHolders(m)) {
				continue
			}
			until := now.Add(c.settings.Cooldown)
			c.roleCooldownUntil[t.role], c.roleCooldownUntil[overloaded.role] = until, until
			reason := fmt.Sprintf("load %.2f of layers %d:%d of model %q", overloaded.mean(),
				overloaded.role.layers.From, overloaded.role.layers.To, overloaded.role.model)
			return c.assign(now, cov, u, overloaded.role, reason), true
		}
	}
	return Effect{}, false
}

// overloadedRole returns the role with the highest load of those whose load has been
// above HighLoad for the StabilizationWindow.
func (c *Controller) overloadedRole(now time.Time, roleLoads []roleLoad) (roleLoad, bool) {
	for i := len(roleLoads) - 1; i >= 0; i-- {
		r := roleLoads[i].role
		state := c.loads[r]
		if !c.roleCooldownUntil[r].After(now) && !state.highSince.IsZero() && now.Sub(state.highSince) >= c.settings.StabilizationWindow {
			return roleLoads[i], true
		}
	}
	return roleLoad{}, false
}

// measureLoads returns the loads of the roles of active versions in ascending order,
// and records since when they have been high or low.
func (c *Controller) measureLoads(now time.Time, cov *coverage) []roleLoad {
	byRole := make(map[role]*roleLoad)
	for _, u := range cov.engines {
		if !c.isActiveVersion(cov, u) {
			continue
		}
		r := roleOf(u)
		if byRole[r] == nil {
			byRole[r] = &roleLoad{role: r}
		}
		byRole[r].engines++
		byRole[r].load += loadOf(u)
	}
	loads := make(map[role]loadState, len(byRole))
	var sorted []roleLoad
	for r, t := range byRole {
		state := c.loads[r]
		state.highSince = conditionSince(state.highSince, t.mean() > c.settings.HighLoad, now)
		state.lowSince = conditionSince(state.lowSince, t.mean() < c.settings.LowLoad, now)
		loads[r] = state
		sorted = append(sorted, *t)
	}
	c.loads = loads
	slices.SortFunc(sorted, func(a, b roleLoad) int {
		return cmp.Or(
			cmp.Compare(a.mean(), b.mean()), cmp.Compare(a.role.model, b.role.model),
			cmp.Compare(a.role.layers.From, b.role.layers.From), cmp.Compare(a.role.layers.To, b.role.layers.To))
	})
	return sorted
}

func (c *Controller) isActiveVersion(cov *coverage, u upstream.Upstream) bool {
	m, ok := cov.model(u.Model)
	return ok && u.Version == m.Version && u.Adapter == m.Adapter
}

// conditionSince returns the time since which a condition has held, or zero.
func conditionSince(previous time.Time, holds bool, now time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if previous.IsZero() {
		return now
	}
	return previous
}
