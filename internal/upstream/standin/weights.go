package standin

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// WeightStore is a weight store with a limited rate. Loads take turns in the
// order in which they began. The zero value has no limit.
type WeightStore struct {
	// BytesPerSecond is the rate over all loads.
	BytesPerSecond int64

	mu   sync.Mutex
	free time.Time // when all loads so far are done
}

// Begin starts a load of n bytes and returns the time until it is done.
func (w *WeightStore) Begin(clock fleet.Clock, n int64) time.Duration {
	if w == nil || w.BytesPerSecond <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(n) / float64(w.BytesPerSecond) * float64(time.Second)))
	return w.free.Sub(now)
}
