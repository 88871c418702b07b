// Package repair restores the coverage of layers that too few engines hold, and
// moves engines to overloaded roles.
//
// Controller does no I/O: Tick takes the state of the fleet and returns commands.
// Loop runs it every second with a roster and a Commander.
//
//	c := repair.NewController(repair.Settings{LayerBytes: 2 << 30, BytesPerSecond: 1 << 30})
//	for _, e := range c.Tick(repair.Input{Now: now, Models: models, Engines: engines}) {
//		err := commander.Send(ctx, e.Upstream, e.Command)
//	}
//
// The rules, in order of precedence:
//
//   - An engine never leaves layers of which it is the last holder. It no longer
//     counts as a holder of its old layers once it has a command to load others.
//   - Layers without a holder come first, then those with the smallest fraction of
//     their required holders. Of equal moves the one with fewer bytes to load comes
//     first.
//   - Weights are loaded by one engine at a time, to stay within the rate of the
//     weight store.
//   - A role is overloaded when its load is above HighLoad, and another role can give
//     up an engine when its load is below LowLoad, both for the StabilizationWindow.
//     The engine and both roles are then left unchanged for the Cooldown.
package repair

import (
	"fmt"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Settings configures a Controller. A zero field stands for its default.
type Settings struct {
	// Instance makes the ids of commands unique.
	Instance fleet.InstanceID
	// LayerBytes is the size of the weights of one layer. BytesPerSecond is the
	// rate of the weight store; zero means no limit.
	LayerBytes     int64
	BytesPerSecond int64
	// GracePeriod is the time for which a layer has to lack holders before its
	// weights are loaded on another engine, so that a restarted engine can return
	// to its old role.
	GracePeriod time.Duration
	// StabilizationWindow, Cooldown, HighLoad and LowLoad limit the moves between
	// roles because of load. Loads are in sequences per slot.
	StabilizationWindow time.Duration
	Cooldown            time.Duration
	HighLoad            float64
	LowLoad             float64
}

// Defaults of Settings.
const (
	DefaultGracePeriod         = 10 * time.Second
	DefaultStabilizationWindow = time.Minute
	DefaultCooldown            = 10 * time.Minute
	DefaultHighLoad            = 0.9
	DefaultLowLoad             = 0.4
)

const (
	// commandTimeoutFactor is the ratio of the timeout of a command to the expected
	// time of loading the weights.
	commandTimeoutFactor = 3
	// commandTimeoutMargin is added to the timeout for the announcement of the new
	// role.
	commandTimeoutMargin = 10 * time.Second
)

// Input is the state of the fleet.
type Input struct {
	Now    time.Time
	Models []document.Model
	// Engines are the engines that accept new work.
	Engines []upstream.Upstream
}

// Effect is a command for an engine.
type Effect struct {
	Upstream upstream.Upstream
	Command  upstream.Command
	// Reason tells operators why the command is sent.
	Reason string
}

// Controller decides which engines load weights or change roles. It is not safe for
// concurrent use.
type Controller struct {
	settings       Settings
	issuedCommands uint64
	// pending are the commands whose target role has not been announced yet.
	pending map[fleet.UpstreamID]pendingCommand
	// cooldownUntil holds the times until which engines are moved only to layers
	// without a holder, and failedUntil those until which they are not moved at all.
	cooldownUntil map[fleet.UpstreamID]time.Time
	failedUntil   map[fleet.UpstreamID]time.Time
	// localWeights holds the roles that an engine has announced. Their weights are on
	// the engine.
	localWeights map[fleet.UpstreamID]localWeights
	// storeBusyUntil is the time when the weight store is expected to have delivered
	// all weights.
	storeBusyUntil time.Time
	// lackingSince holds the times since which layers have lacked holders.
	lackingSince map[layerKey]time.Time
	// loads holds the load states of roles, and roleCooldownUntil the times until
	// which roles neither give nor get engines because of load.
	loads             map[role]loadState
	roleCooldownUntil map[role]time.Time
}

// role is the model, version, adapter and layers that an engine runs.
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

type pendingCommand struct {
	target  role
	expires time.Time
}

type localWeights struct {
	incarnation fleet.Incarnation
	roles       map[role]bool
}

// NewController returns a Controller with the given settings.
func NewController(s Settings) *Controller {
	return &Controller{
		settings:          s.withDefaults(),
		pending:           make(map[fleet.UpstreamID]pendingCommand),
		cooldownUntil:     make(map[fleet.UpstreamID]time.Time),
		failedUntil:       make(map[fleet.UpstreamID]time.Time),
		localWeights:      make(map[fleet.UpstreamID]localWeights),
		lackingSince:      make(map[layerKey]time.Time),
		loads:             make(map[role]loadState),
		roleCooldownUntil: make(map[role]time.Time),
	}
}

// Tick returns the commands that are due. Engines that do not announce their new
// role in time are excluded for the Cooldown.
func (c *Controller) Tick(in Input) []Effect {
	c.observe(in)
	cov := newCoverage(in, c.pending)
	c.updateLackingSince(in.Now, cov)
	roleLoads := c.measureLoads(in.Now, cov)
	var effects []Effect
	for len(effects) < len(in.Engines) && c.storeIdle(in.Now) {
		e, ok := c.cover(in.Now, cov)
		if !ok {
			e, ok = c.balance(in.Now, cov, roleLoads)
		}
		if !ok {
			break
		}
		effects = append(effects, e)
	}
	return effects
}

// MarkFailed records that an engine did not accept its command or did not carry it
// out in time. The engine is excluded for the Cooldown.
func (c *Controller) MarkFailed(id fleet.UpstreamID, now time.Time) {
	delete(c.pending, id)
	// The engine may no longer have the weights that it announced before.
	delete(c.localWeights, id)
	c.failedUntil[id] = now.Add(c.settings.Cooldown)
}

// observe records announced roles and removes expired entries and the entries of
// engines that have left.
func (c *Controller) observe(in Input) {
	present := make(map[fleet.UpstreamID]bool, len(in.Engines))
	for _, u := range in.Engines {
		present[u.ID] = true
		weights, ok := c.localWeights[u.ID]
		if !ok || weights.incarnation != u.Incarnation {
			weights = localWeights{u.Incarnation, make(map[role]bool)}
			c.localWeights[u.ID] = weights
		}
		weights.roles[roleOf(u)] = true
		command, isPending := c.pending[u.ID]
		switch {
		case isPending && command.target == roleOf(u):
			delete(c.pending, u.ID)
			c.cooldownUntil[u.ID] = in.Now.Add(c.settings.Cooldown)
		case isPending && in.Now.After(command.expires):
			c.MarkFailed(u.ID, in.Now)
		}
	}
	for id := range c.localWeights {
		if !present[id] {
			delete(c.localWeights, id)
			delete(c.pending, id)
		}
	}
	expire(c.cooldownUntil, in.Now)
	expire(c.failedUntil, in.Now)
	expire(c.roleCooldownUntil, in.Now)
}

// expire deletes the entries whose time has passed.
func expire[K comparable](until map[K]time.Time, now time.Time) {
	for k, t := range until {
		if !t.After(now) {
			delete(until, k)
		}
	}
}

// storeIdle tells whether another engine may begin to load weights.
func (c *Controller) storeIdle(now time.Time) bool { return !c.storeBusyUntil.After(now) }

// assign records that an engine gets a role and returns the command for it.
func (c *Controller) assign(now time.Time, cov *coverage, u upstream.Upstream, target role, reason string) Effect {
	kind := upstream.LoadModel
	loadTime := time.Duration(0)
	if c.localWeights[u.ID].roles[target] {
		kind = upstream.ChangeRole
	} else if c.settings.BytesPerSecond > 0 {
		size := float64(int64(target.layers.Len()) * c.settings.LayerBytes)
		loadTime = time.Duration(size / float64(c.settings.BytesPerSecond) * float64(time.Second))
	}
	c.issuedCommands++
	c.storeBusyUntil = now.Add(loadTime)
	c.pending[u.ID] = pendingCommand{target, now.Add(commandTimeoutFactor*loadTime + commandTimeoutMargin)}
	cov.move(u, target)
	return Effect{
		Upstream: u, Reason: reason,
		Command: upstream.Command{
			ID:   fmt.Sprintf("repair-%s-%d-%d", c.settings.Instance, now.UnixNano(), c.issuedCommands),
			Kind: kind, Model: target.model, Version: target.version, Adapter: target.adapter,
			Layers: target.layers,
		},
	}
}

func roleOf(u upstream.Upstream) role {
	return role{u.Model, u.Version, u.Adapter, u.Layers}
}

func (s Settings) withDefaults() Settings {
	if s.GracePeriod == 0 {
		s.GracePeriod = DefaultGracePeriod
	}
	if s.StabilizationWindow == 0 {
		s.StabilizationWindow = DefaultStabilizationWindow
	}
	if s.Cooldown == 0 {
		s.Cooldown = DefaultCooldown
	}
	if s.HighLoad == 0 {
		s.HighLoad = DefaultHighLoad
	}
	if s.LowLoad == 0 {
		s.LowLoad = DefaultLowLoad
	}
	return s
}
