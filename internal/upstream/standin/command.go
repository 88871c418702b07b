package standin

import (
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// role is what an engine runs.
type role struct {
	model            fleet.ModelID
	version, adapter string
	layers           upstream.LayerRange
}

// commands is the state of an engine that commands change.
type commands struct {
	fence fleet.FencingToken
	// known holds the commands that were accepted, by id.
	known map[string]upstream.Command
	// local holds the roles whose weights are on the engine.
	local map[role]bool
	// loads are the loads in progress, the earliest first.
	loads []load
}

// load is a role and the time at which its weights are there.
type load struct {
	role role
	due  time.Time
}

func (e *engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c upstream.Command
	if !readJSON(w, r, &c) {
		return
	}
	respond(w, struct{}{}, e.command(c))
}

// command accepts c and starts what it asks for. The announcement changes when
// that is done.
func (e *engine) command(c upstream.Command) error {
	if c.ID == "" || c.Layers.Len() <= 0 || c.Layers.From < 0 || c.Layers.To > e.standin.config.TotalLayers {
		return refuse(http.StatusBadRequest, "badRequest", "command without id or with layers %d:%d", c.Layers.From, c.Layers.To)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fenced := e.standin.config.Announcement.Fencing == upstream.RejectsStaleToken
	if fenced && c.Fence < e.commands.fence {
		return refuse(http.StatusConflict, "staleFence", "fencing token %d is older than %d", c.Fence, e.commands.fence)
	}
	known, repeated := e.commands.known[c.ID]
	if repeated && known != c {
		return refuse(http.StatusConflict, "idReused", "command %q was used with another content", c.ID)
	}
	if repeated {
		return nil
	}
	next := role{c.Model, c.Version, c.Adapter, c.Layers}
	if c.Kind == upstream.ChangeRole && !e.commands.local[next] {
		return refuse(http.StatusConflict, "notLoaded", "weights of layers %d:%d are not on the engine", c.Layers.From, c.Layers.To)
	}
	e.commands.fence = max(e.commands.fence, c.Fence)
	e.commands.known[c.ID] = c
	e.standin.config.Recorder.add(Run{
		What: "command", Upstream: e.standin.config.Announcement.ID,
		Command: c.ID, Fence: c.Fence, Layers: c.Layers,
	})
	e.begin(c, next)
	return nil
}

// begin starts to load the weights that are missing.
func (e *engine) begin(c upstream.Command, next role) {
	config := e.standin.config
	missing := int64(c.Layers.Len()) * config.LayerBytes
	if e.commands.local[next] {
		missing = 0
	}
	due := config.Clock.Now().Add(config.Weights.Begin(config.Clock, missing))
	e.commands.loads = append(e.commands.loads, load{next, due})
	e.settle()
}

// settle takes the roles whose loads are done.
func (e *engine) settle() {
	now := e.standin.clock.Now()
	for len(e.commands.loads) > 0 && !e.commands.loads[0].due.After(now) {
		e.assume(e.commands.loads[0].role)
		e.commands.loads = e.commands.loads[1:]
	}
}

// assume takes a role. The caches of another role are lost.
func (e *engine) assume(next role) {
	e.commands.local[next] = true
	if e.standin.assume(next) {
		clear(e.sessions)
		e.prefix.clear()
	}
}

// assume changes the announcement to a role and returns whether it differs.
func (s *Standin) assume(next role) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &s.announcement
	if next == (role{a.Model, a.Version, a.Adapter, a.Layers}) {
		return false
	}
	a.Model, a.Version, a.Adapter, a.Layers = next.model, next.version, next.adapter, next.layers
	return true
}
