package standin

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const maxEngineBody = 64 << 20

func (e *engine) routes(r chi.Router) {
	r.Post("/v1/steps", e.serveStep)
	r.Post("/v1/requests/{id}/cancel", e.serveCancel)
	r.Get("/v1/requests/{id}/kv", e.serveExport)
	r.Put("/v1/requests/{id}/kv", e.serveImport)
	r.Get("/v1/description", e.serveDescription)
	r.Get("/v1/cache-events", e.serveCacheEvents)
	r.Post("/v1/commands", e.serveCommand)
}

func (e *engine) serveStep(w http.ResponseWriter, r *http.Request) {
	var s upstream.Step
	if !readJSON(w, r, &s) {
		return
	}
	result, err := e.step(r.Context(), s)
	respond(w, result, err)
}

func (e *engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	epoch := uint64(math.MaxUint32)
	if text := r.URL.Query().Get("epoch"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			writeError(w, http.StatusBadRequest, "badRequest", "epoch is not a number")
			return
		}
		epoch = parsed
	}
	keep := r.URL.Query().Get("keep") == "true"
	e.cancel(fleet.RequestID(chi.URLParam(r, "id")), fleet.Epoch(epoch), keep)
	respond(w, struct{}{}, nil)
}

func (e *engine) serveExport(w http.ResponseWriter, r *http.Request) {
	kv, err := e.export(fleet.RequestID(chi.URLParam(r, "id")))
	respond(w, kv, err)
}

func (e *engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv upstream.KVCache
	if !readJSON(w, r, &kv) {
		return
	}
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 32)
	if err != nil || kv.Request != fleet.RequestID(chi.URLParam(r, "id")) {
		writeError(w, http.StatusBadRequest, "badRequest", "epoch or request id does not fit")
		return
	}
	respond(w, struct{}{}, e.takeOver(fleet.Epoch(epoch), kv))
}

func (e *engine) serveDescription(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.settle()
	e.mu.Unlock()
	respond(w, e.standin.Describe(), nil)
}

func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", "after is not a number")
		return
	}
	events := e.prefix.since(after)
	events.Incarnation = e.standin.config.Announcement.Incarnation
	respond(w, events, nil)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineBody)).Decode(v)
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", err.Error())
		return false
	}
	return true
}

func respond(w http.ResponseWriter, v any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, v)
		return
	}
	var p *protocolError
	if errors.As(err, &p) {
		writeError(w, p.status, p.code, p.message)
		return
	}
	writeError(w, http.StatusInternalServerError, "internal", err.Error())
}

// export returns the cache of r: for each layer, 8 bytes a position.
func (e *engine) export(r fleet.RequestID) (upstream.KVCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.standin.Describe()
	n, ok := e.sessions[r]
	if !ok || len(n.states) == 0 {
		return upstream.KVCache{}, refuse(http.StatusNotFound, "notFound", "request %q has no cache", r)
	}
	kv := upstream.KVCache{Request: r, Model: a.Model, Version: a.Version, Adapter: a.Adapter}
	kv.Layers, kv.Positions = n.extent()
	for l := kv.Layers.From; l < kv.Layers.To; l++ {
		for _, state := range n.states[l][:kv.Positions] {
			kv.Data = binary.LittleEndian.AppendUint64(kv.Data, state)
		}
	}
	return kv, nil
}

// extent returns the first run of consecutive layers with a cache and the
// number of positions that all of them have.
func (n *session) extent() (upstream.LayerRange, fleet.Position) {
	var r upstream.LayerRange
	first := true
	for l := range n.states {
		if first || l < r.From {
			r.From, first = l, false
		}
	}
	positions := len(n.states[r.From])
	for r.To = r.From; len(n.states[r.To]) > 0; r.To++ {
		positions = min(positions, len(n.states[r.To]))
	}
	return r, fleet.Position(positions)
}

// takeOver takes over an exported cache under a new epoch.
func (e *engine) takeOver(epoch fleet.Epoch, kv upstream.KVCache) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	a := e.standin.Describe()
	if kv.Model != a.Model || kv.Version != a.Version || kv.Adapter != a.Adapter {
		return refuse(http.StatusConflict, "wrongModel", "engine holds %s/%s/%s", a.Model, a.Version, a.Adapter)
	}
	if len(kv.Data) != 8*kv.Layers.Len()*int(kv.Positions) {
		return refuse(http.StatusBadRequest, "badRequest", "cache of %d bytes does not fit its layers and positions", len(kv.Data))
	}
	n, err := e.session(kv.Request, epoch)
	if err != nil {
		return err
	}
	n.open(epoch)
	n.used = e.standin.clock.Now()
	n.last = make(map[upstream.LayerRange]upstream.StepResult)
	data := kv.Data
	for l := kv.Layers.From; l < kv.Layers.To; l++ {
		states := make([]uint64, kv.Positions)
		for i := range states {
			states[i] = binary.LittleEndian.Uint64(data)
			data = data[8:]
		}
		n.states[l] = states
	}
	e.standin.config.Recorder.add(Run{
		What: "import", Upstream: a.ID, Request: kv.Request, Epoch: epoch,
		Count: int(kv.Positions), Layers: kv.Layers,
	})
	return nil
}
