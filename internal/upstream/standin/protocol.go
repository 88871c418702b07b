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

// maxEngineBodyBytes is the maximum size of the body of an engine request.
const maxEngineBodyBytes = 64 << 20

func (e *engine) registerRoutes(r chi.Router) {
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
	kv, err := e.exportKVCache(fleet.RequestID(chi.URLParam(r, "id")))
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
	respond(w, struct{}{}, e.importKVCache(fleet.Epoch(epoch), kv))
}

func (e *engine) serveDescription(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.applyFinishedLoads()
	e.mu.Unlock()
	respond(w, e.standin.Describe(), nil)
}

func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", "after is not a number")
		return
	}
	events := e.prefixCache.eventsAfter(after)
	events.Incarnation = e.standin.config.Announcement.Incarnation
	respond(w, events, nil)
}

// readJSON decodes the body of r into v. It returns false after it has sent an
// error response.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineBodyBytes)).Decode(v)
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", err.Error())
		return false
	}
	return true
}

// respond sends v, or an error response if err is not nil.
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

// exportKVCache returns the KV cache of r. Its data has 8 bytes for each position,
// layer by layer.
func (e *engine) exportKVCache(r fleet.RequestID) (upstream.KVCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.standin.Describe()
	sess, ok := e.sessions[r]
	if !ok || len(sess.states) == 0 {
		return upstream.KVCache{}, protocolErrorf(http.StatusNotFound, "notFound", "request %q has no cache", r)
	}
	kv := upstream.KVCache{Request: r, Model: a.Model, Version: a.Version, Adapter: a.Adapter}
	kv.Layers, kv.Positions = sess.extent()
	for l := kv.Layers.From; l < kv.Layers.To; l++ {
		for _, state := range sess.states[l][:kv.Positions] {
			kv.Data = binary.LittleEndian.AppendUint64(kv.Data, state)
		}
	}
	return kv, nil
}

// extent returns the first range of consecutive layers with a cache and the
// number of positions that all of these layers have.
func (sess *session) extent() (upstream.LayerRange, fleet.Position) {
	var r upstream.LayerRange
	first := true
	for l := range sess.states {
		if first || l < r.From {
			r.From, first = l, false
		}
	}
	positions := len(sess.states[r.From])
	for r.To = r.From; len(sess.states[r.To]) > 0; r.To++ {
		positions = min(positions, len(sess.states[r.To]))
	}
	return r, fleet.Position(positions)
}

// importKVCache stores an exported KV cache for use by epoch.
func (e *engine) importKVCache(epoch fleet.Epoch, kv upstream.KVCache) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyFinishedLoads()
	a := e.standin.Describe()
	if kv.Model != a.Model || kv.Version != a.Version || kv.Adapter != a.Adapter {
		return protocolErrorf(http.StatusConflict, "wrongModel", "engine holds %s/%s/%s", a.Model, a.Version, a.Adapter)
	}
	if len(kv.Data) != 8*kv.Layers.Len()*int(kv.Positions) {
		return protocolErrorf(http.StatusBadRequest, "badRequest", "cache of %d bytes does not fit its layers and positions", len(kv.Data))
	}
	sess, err := e.sessionFor(kv.Request, epoch)
	if err != nil {
		return err
	}
	sess.startEpoch(epoch)
	sess.lastUsed = e.standin.clock.Now()
	sess.lastResults = make(map[upstream.LayerRange]upstream.StepResult)
	data := kv.Data
	for l := kv.Layers.From; l < kv.Layers.To; l++ {
		states := make([]uint64, kv.Positions)
		for i := range states {
			states[i] = binary.LittleEndian.Uint64(data)
			data = data[8:]
		}
		sess.states[l] = states
	}
	e.standin.config.Recorder.add(Run{
		Kind: "import", Upstream: a.ID, Request: kv.Request, Epoch: epoch,
		Count: int(kv.Positions), Layers: kv.Layers,
	})
	return nil
}
