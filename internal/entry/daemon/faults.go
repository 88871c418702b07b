package daemon

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// faults drops messages between instances, so that tests can cut links in one
// direction. It does nothing unless the settings allow it.
type faults struct {
	self fleet.InstanceID

	mu       sync.RWMutex
	dropFrom []fleet.InstanceID
	dropTo   []fleet.InstanceID
}

// cut tells whether a message is dropped.
func (f *faults) cut(from, to fleet.InstanceID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if from == f.self {
		return slices.Contains(f.dropTo, to)
	}
	return slices.Contains(f.dropFrom, from)
}

// faultsBody is the body of POST /faults. It replaces all faults.
type faultsBody struct {
	DropFrom []fleet.InstanceID `json:"dropFrom"`
	DropTo   []fleet.InstanceID `json:"dropTo"`
}

const maxFaultsBody = 64 << 10 // bytes

// ServeHTTP answers POST /faults.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b faultsBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBody)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropFrom, f.dropTo = b.DropFrom, b.DropTo
	w.WriteHeader(http.StatusNoContent)
}
