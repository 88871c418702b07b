package repair

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// loadState tells since when the load of a role has been above High or below Low.
type loadState struct {
	high, low time.Time
}

// tally is the load of all engines of a role.
type tally struct {
	role    role
	engines int
	load    float64 // sum over the engines
}

func (t tally) mean() float64 { return t.load / float64(max(t.engines, 1)) }

// balance moves one engine from a role with little load to one that is short,
// when both have been so for the time Hold.
func (c *Controller) balance(now time.Time, f *census, tallies []tally) (Effect, bool) {
	short, ok := c.short(now, tallies)
	if !ok {
		return Effect{}, false
	}
	for _, t := range tallies {
		state := c.loads[t.role]
		// The engines that stay take over the load of the one that goes.
		after := t.load / float64(max(t.engines-1, 1))
		if c.moved[t.role].After(now) || state.low.IsZero() || now.Sub(state.low) < c.settings.Hold || after >= c.settings.High/2 {
			continue
		}
		for _, u := range f.engines {
			m, known := f.model(u.Model)
			if roleOf(u) != t.role || u.Layers.Len() != short.role.layers.Len() || c.rests(now, u.ID, 0) {
				continue
			}
			if known && !f.canLeave(u, need(m)) {
				continue
			}
			until := now.Add(c.settings.Cooldown)
			c.moved[t.role], c.moved[short.role] = until, until
			reason := fmt.Sprintf("load %.2f of layers %d:%d of model %q", short.mean(),
				short.role.layers.From, short.role.layers.To, short.role.model)
			return c.send(now, f, u, short.role, reason), true
		}
	}
	return Effect{}, false
}

// short returns the role with the highest load that has been above High for the
// time Hold.
func (c *Controller) short(now time.Time, tallies []tally) (tally, bool) {
	for i := len(tallies) - 1; i >= 0; i-- {
		r := tallies[i].role
		state := c.loads[r]
		if !c.moved[r].After(now) && !state.high.IsZero() && now.Sub(state.high) >= c.settings.Hold {
			return tallies[i], true
		}
	}
	return tally{}, false
}

// tally sums the loads of the roles in force, the lowest first, and notes since
// when they have been high or low.
func (c *Controller) tally(now time.Time, f *census) []tally {
	index := make(map[role]*tally)
	for _, u := range f.engines {
		if !c.inForce(f, u) {
			continue
		}
		r := roleOf(u)
		if index[r] == nil {
			index[r] = &tally{role: r}
		}
		index[r].engines++
		index[r].load += loadOf(u)
	}
	loads := make(map[role]loadState, len(index))
	var list []tally
	for r, t := range index {
		state := c.loads[r]
		state.high = since(state.high, t.mean() > c.settings.High, now)
		state.low = since(state.low, t.mean() < c.settings.Low, now)
		loads[r] = state
		list = append(list, *t)
	}
	c.loads = loads
	slices.SortFunc(list, func(a, b tally) int {
		return cmp.Or(
			cmp.Compare(a.mean(), b.mean()), cmp.Compare(a.role.model, b.role.model),
			cmp.Compare(a.role.layers.From, b.role.layers.From), cmp.Compare(a.role.layers.To, b.role.layers.To))
	})
	return list
}

func (c *Controller) inForce(f *census, u upstream.Upstream) bool {
	m, ok := f.model(u.Model)
	return ok && u.Version == m.Version && u.Adapter == m.Adapter
}

// since returns the time from which on a condition has held, or zero.
func since(before time.Time, holds bool, now time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if before.IsZero() {
		return now
	}
	return before
}
