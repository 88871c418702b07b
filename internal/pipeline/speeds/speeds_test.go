package speeds_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/speeds"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// TestEstimator guards against an estimate that does not follow an engine that
// becomes slower, or that follows a single slow step immediately.
func TestEstimator(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	l := speeds.New(pipeline.Speed{FixedTime: ms, LayerTime: ms, PositionTime: ms},
		speeds.WithAccelerator("fast", pipeline.Speed{FixedTime: ms, LayerTime: ms / 2}))
	var u, fast upstream.Upstream
	u.ID, fast.ID, fast.Accelerator = "u", "f", "fast"
	is.Equal(l.Speed(fast).LayerTime, ms/2)

	l.Observe(u, 4, 1, 50*ms) // ten times as long as expected
	is.True(l.Speed(u).LayerTime < 3*ms)
	for range 40 {
		l.Observe(u, 4, 1, 50*ms)
	}
	is.True(l.Speed(u).LayerTime > 9*ms && l.Speed(u).LayerTime <= 10*ms)
	is.Equal(l.Speed(u).PositionTime, ms) // steps of one position do not change it

	for range 40 {
		l.Observe(u, 4, 11, 130*ms) // 50 ms, and 2 ms for each of 4 layers × 10 additional positions
	}
	is.True(l.Speed(u).PositionTime > 19*ms/10 && l.Speed(u).PositionTime < 21*ms/10)
	is.Equal(l.Speed(u).BytesPerSecond, 0.0)
	l.ObserveTransfer(u, 1000, time.Second)
	is.Equal(l.Speed(u).BytesPerSecond, 1000.0)
	l.Forget("u")
	is.Equal(l.Speed(u).LayerTime, ms)
}
