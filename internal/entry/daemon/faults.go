package daemon

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// faults drops messages between instances, so that tests can interrupt links in one
// direction. It drops nothing unless the settings enable fault injection.
type faults struct {
	self fleet.InstanceID

	mu       sync.RWMutex
	dropFrom []fleet.InstanceID
	dropTo   []fleet.InstanceID
}

// shouldDrop reports whether a message between two instances is to be dropped.
func (f *faults) shouldDrop(from, to fleet.InstanceID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if from == f.self {
		return slices.Contains(f.dropTo, to)
	}
	return slices.Contains(f.dropFrom, from)
}

// faultsRequest is the body of POST /faults. It replaces all previous faults.
type faultsRequest struct {
	DropFrom []fleet.InstanceID `json:"dropFrom"`
	DropTo   []fleet.InstanceID `json:"dropTo"`
}

const maxFaultsRequestBytes = 64 << 10

// ServeHTTP handles POST /faults.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b faultsRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsRequestBytes)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropFrom, f.dropTo = b.DropFrom, b.DropTo
	w.WriteHeader(http.StatusNoContent)
}
