// Package repair restores the coverage of layers when too few engines hold them,
// and moves engines to roles that are short under load.
//
// Controller is pure: Tick takes what is known of the fleet and returns commands.
// Loop runs it every second against a roster and a Commander.
//
//	c := repair.NewController(repair.Settings{LayerBytes: 2 << 30, BytesPerSecond: 1 << 30})
//	for _, e := range c.Tick(repair.Input{Now: now, Models: models, Engines: engines}) {
//		err := commander.Send(ctx, e.Upstream, e.Command)
//	}
//
// The rules, in this order:
//
//   - An engine never leaves layers of which it is the last holder. It counts as
//     gone from its old role as soon as it was told to load another one.
//   - Layers without a holder come first, then those with the smallest share of
//     their holders. Of equal moves the one with fewer bytes to load comes first.
//   - Loads take turns, so that they stay within the rate of the weight store.
//   - A role is short when its load is above High, and another one can give an
//     engine when its load is below Low, both for the time Hold. The engine and
//     both roles then stay as they are for the time Cooldown.
package repair

import (
	"fmt"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Settings are the limits of a Controller. The zero value of a field stands for
// its default.
type Settings struct {
	// Instance makes the ids of commands unique.
	Instance fleet.InstanceID
	// LayerBytes is the size of the weights of one layer, and BytesPerSecond the
	// rate of the weight store. A rate of zero means no limit.
	LayerBytes     int64
	BytesPerSecond int64
	// Grace is the time that a lack of holders lasts before a load begins, so
	// that a restarted engine can come back with its old role.
	Grace time.Duration
	// Hold, Cooldown, High and Low bound moves because of load. Loads are
	// sequences for each slot.
	Hold     time.Duration
	Cooldown time.Duration
	High     float64
	Low      float64
}

// Defaults of Settings.
const (
	DefaultGrace    = 10 * time.Second
	DefaultHold     = time.Minute
	DefaultCooldown = 10 * time.Minute
	DefaultHigh     = 0.9
	DefaultLow      = 0.4
)

const (
	// overdueFactor is the ratio of the time after which a load is given up to
	// its expected time.
	overdueFactor = 3
	// overdueSlack is added to it for the announcement of the new role.
	overdueSlack = 10 * time.Second
)

// Input is what is known of the fleet.
type Input struct {
	Now    time.Time
	Models []document.Model
	// Engines are the engines that may get new work.
	Engines []upstream.Upstream
}

// Effect is a command for an engine.
type Effect struct {
	Upstream upstream.Upstream
	Command  upstream.Command
	// Reason says why the command is sent.
	Reason string
}

// Controller decides on loads and role changes. It is used by one goroutine.
type Controller struct {
	settings Settings
	issued   uint64
	// pending are the commands whose role was not announced yet.
	pending map[fleet.UpstreamID]pending
	// resting are engines that are not moved again until a time, except to layers
	// without a holder. Failed are engines that are not moved at all until then.
	resting map[fleet.UpstreamID]time.Time
	failed  map[fleet.UpstreamID]time.Time
	// local are the roles that an engine has announced: their weights are on it.
	local map[fleet.UpstreamID]locals
	// storeFree is when the weight store is expected to be done with all loads.
	storeFree time.Time
	// since tells how long a layer has lacked holders.
	since map[layerKey]time.Time
	// loads are the load states of roles, and moved the times until which roles
	// neither give nor get engines because of load.
	loads map[role]loadState
	moved map[role]time.Time
}

// role is what an engine runs.
type role struct {
	model            fleet.ModelID
	version, adapter string
	layers           upstream.LayerRange
}

type layerKey struct {
	model            fleet.ModelID
	version, adapter string
	layer            fleet.Layer
}

type pending struct {
	target  role
	expires time.Time
}

type locals struct {
	incarnation fleet.Incarnation
	roles       map[role]bool
}

// NewController returns a Controller with the given limits.
func NewController(s Settings) *Controller {
	return &Controller{
		settings: s.withDefaults(),
		pending:  make(map[fleet.UpstreamID]pending),
		resting:  make(map[fleet.UpstreamID]time.Time),
		failed:   make(map[fleet.UpstreamID]time.Time),
		local:    make(map[fleet.UpstreamID]locals),
		since:    make(map[layerKey]time.Time),
		loads:    make(map[role]loadState),
		moved:    make(map[role]time.Time),
	}
}

// Tick returns the commands that are due. Engines that do not announce their new
// role in time are passed over for the time Cooldown.
func (c *Controller) Tick(in Input) []Effect {
	c.observe(in)
	f := newCensus(in, c.pending)
	c.noteLacking(in.Now, f)
	tallies := c.tally(in.Now, f)
	var effects []Effect
	for len(effects) < len(in.Engines) && c.storeIdle(in.Now) {
		e, ok := c.cover(in.Now, f)
		if !ok {
			e, ok = c.balance(in.Now, f, tallies)
		}
		if !ok {
			break
		}
		effects = append(effects, e)
	}
	return effects
}

// Failed tells that a command was not accepted. Its engine is passed over for the
// time Cooldown.
func (c *Controller) Failed(id fleet.UpstreamID, now time.Time) {
	delete(c.pending, id)
	// The engine may have lost weights that it announced before.
	delete(c.local, id)
	c.failed[id] = now.Add(c.settings.Cooldown)
}

// observe takes note of announced roles and drops what is over.
func (c *Controller) observe(in Input) {
	present := make(map[fleet.UpstreamID]bool, len(in.Engines))
	for _, u := range in.Engines {
		present[u.ID] = true
		l, ok := c.local[u.ID]
		if !ok || l.incarnation != u.Incarnation {
			l = locals{u.Incarnation, make(map[role]bool)}
			c.local[u.ID] = l
		}
		l.roles[roleOf(u)] = true
		p, waiting := c.pending[u.ID]
		switch {
		case waiting && p.target == roleOf(u):
			delete(c.pending, u.ID)
			c.resting[u.ID] = in.Now.Add(c.settings.Cooldown)
		case waiting && in.Now.After(p.expires):
			c.Failed(u.ID, in.Now)
		}
	}
	for id := range c.local {
		if !present[id] {
			delete(c.local, id)
			delete(c.pending, id)
		}
	}
	expire(c.resting, in.Now)
	expire(c.failed, in.Now)
	expire(c.moved, in.Now)
}

// expire drops the entries whose time is over.
func expire[K comparable](until map[K]time.Time, now time.Time) {
	for k, t := range until {
		if !t.After(now) {
			delete(until, k)
		}
	}
}

// storeIdle tells whether another load may begin.
func (c *Controller) storeIdle(now time.Time) bool { return !c.storeFree.After(now) }

// send returns the command that gives an engine a role.
func (c *Controller) send(now time.Time, f *census, u upstream.Upstream, target role, reason string) Effect {
	kind := upstream.LoadModel
	load := time.Duration(0)
	if c.local[u.ID].roles[target] {
		kind = upstream.ChangeRole
	} else if c.settings.BytesPerSecond > 0 {
		size := float64(int64(target.layers.Len()) * c.settings.LayerBytes)
		load = time.Duration(size / float64(c.settings.BytesPerSecond) * float64(time.Second))
	}
	c.issued++
	c.storeFree = now.Add(load)
	c.pending[u.ID] = pending{target, now.Add(overdueFactor*load + overdueSlack)}
	f.move(u, target)
	return Effect{
		Upstream: u, Reason: reason,
		Command: upstream.Command{
			ID:   fmt.Sprintf("repair-%s-%d-%d", c.settings.Instance, now.UnixNano(), c.issued),
			Kind: kind, Model: target.model, Version: target.version, Adapter: target.adapter,
			Layers: target.layers,
		},
	}
}

func roleOf(u upstream.Upstream) role {
	return role{u.Model, u.Version, u.Adapter, u.Layers}
}

func (s Settings) withDefaults() Settings {
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	if s.Hold == 0 {
		s.Hold = DefaultHold
	}
	if s.Cooldown == 0 {
		s.Cooldown = DefaultCooldown
	}
	if s.High == 0 {
		s.High = DefaultHigh
	}
	if s.Low == 0 {
		s.Low = DefaultLow
	}
	return s
}
