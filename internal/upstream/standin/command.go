package standin

import (
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// role is the model and the layer range that an engine serves.
type role struct {
	model            fleet.ModelID
	version, adapter string
	layers           upstream.LayerRange
}

// commandState is the part of an engine's state that commands change.
type commandState struct {
	// fencingToken is the highest token of the accepted commands.
	fencingToken fleet.FencingToken
	// accepted holds the accepted commands by id.
	accepted map[string]upstream.Command
	// loaded holds the roles whose weights are loaded.
	loaded map[role]bool
	// loads holds the loads in progress, earliest completion first.
	loads []weightLoad
}

// weightLoad is the load of the weights of a role, complete at doneAt.
type weightLoad struct {
	role   role
	doneAt time.Time
}

func (e *engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c upstream.Command
	if !readJSON(w, r, &c) {
		return
	}
	respond(w, struct{}{}, e.acceptCommand(c))
}

// acceptCommand validates c and starts its execution. The announcement changes
// when the execution is complete. A repeated command has no further effect.
func (e *engine) acceptCommand(c upstream.Command) error {
	if c.ID == "" || c.Layers.Len() <= 0 || c.Layers.From < 0 || c.Layers.To > e.standin.config.TotalLayers {
		return protocolErrorf(http.StatusBadRequest, "badRequest", "command without id or with layers %d:%d", c.Layers.From, c.Layers.To)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rejectsStale := e.standin.config.Announcement.Fencing == upstream.RejectsStaleToken
	if rejectsStale && c.Fence < e.commands.fencingToken {
		return protocolErrorf(http.StatusConflict, "staleFence", "fencing token %d is older than %d", c.Fence, e.commands.fencingToken)
	}
	previous, repeated := e.commands.accepted[c.ID]
	if repeated && previous != c {
		return protocolErrorf(http.StatusConflict, "idReused", "command %q was used with another content", c.ID)
	}
	if repeated {
		return nil
	}
	newRole := role{c.Model, c.Version, c.Adapter, c.Layers}
	if c.Kind == upstream.ChangeRole && !e.commands.loaded[newRole] {
		return protocolErrorf(http.StatusConflict, "notLoaded", "weights of layers %d:%d are not on the engine", c.Layers.From, c.Layers.To)
	}
	e.commands.fencingToken = max(e.commands.fencingToken, c.Fence)
	e.commands.accepted[c.ID] = c
	e.standin.config.Recorder.add(Run{
		Kind: "command", Upstream: e.standin.config.Announcement.ID,
		Command: c.ID, FencingToken: c.Fence, Layers: c.Layers,
	})
	e.startLoad(c, newRole)
	return nil
}

// startLoad starts the load of the weights for newRole. It takes no time if they
// are already loaded.
func (e *engine) startLoad(c upstream.Command, newRole role) {
	config := e.standin.config
	loadBytes := int64(c.Layers.Len()) * config.LayerBytes
	if e.commands.loaded[newRole] {
		loadBytes = 0
	}
	doneAt := config.Clock.Now().Add(config.Weights.StartLoad(config.Clock, loadBytes))
	e.commands.loads = append(e.commands.loads, weightLoad{newRole, doneAt})
	e.applyFinishedLoads()
}

// applyFinishedLoads switches to the roles whose loads are complete, in order.
func (e *engine) applyFinishedLoads() {
	now := e.standin.clock.Now()
	for len(e.commands.loads) > 0 && !e.commands.loads[0].doneAt.After(now) {
		e.switchRole(e.commands.loads[0].role)
		e.commands.loads = e.commands.loads[1:]
	}
}

// switchRole makes newRole the role of the engine. A change of the role drops all
// KV caches and the prefix cache.
func (e *engine) switchRole(newRole role) {
	e.commands.loaded[newRole] = true
	if e.standin.announceRole(newRole) {
		clear(e.sessions)
		e.prefixCache.clear()
	}
}

// announceRole sets the role in the announcement and returns whether it changed.
func (s *Standin) announceRole(newRole role) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &s.announcement
	if newRole == (role{a.Model, a.Version, a.Adapter, a.Layers}) {
		return false
	}
	a.Model, a.Version, a.Adapter, a.Layers = newRole.model, newRole.version, newRole.adapter, newRole.layers
	return true
}
