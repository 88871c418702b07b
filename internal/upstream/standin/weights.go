package standin

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// WeightStore simulates a weight store with a limited transfer rate. It serves
// one load at a time, in the order of StartLoad. The zero value has no limit.
type WeightStore struct {
	// BytesPerSecond is the total rate of all loads; zero means no limit.
	BytesPerSecond int64

	mu        sync.Mutex
	busyUntil time.Time // when all started loads are complete
}

// StartLoad starts a load of n bytes and returns the time until it is complete.
func (w *WeightStore) StartLoad(clock fleet.Clock, n int64) time.Duration {
	if w == nil || w.BytesPerSecond <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(n) / float64(w.BytesPerSecond) * float64(time.Second)))
	return w.busyUntil.Sub(now)
}
