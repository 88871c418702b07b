package timeline

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

// TestSecondNewest guards against a time that one instance alone moves ahead, and
// compares the two marks with a list of all instances.
func TestSecondNewest(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		var line Timeline
		newest := make(map[fleet.InstanceID]time.Time)
		for range 50 {
			id := fleet.InstanceID(fmt.Sprint(random.Intn(4)))
			at := fakeclock.Start.Add(time.Duration(random.Intn(100)) * time.Second)
			line.Observe(id, at)
			newest[id] = later(newest[id], at)
			if want := second(newest); !line.Now().Equal(want) {
				t.Fatalf("seed %d: time is %v, the second newest is %v", seed, line.Now(), want)
			}
			if line.From(at).Before(line.Now()) {
				t.Fatalf("seed %d: a period starts before now", seed)
			}
		}
	}
}

// second returns the second newest time of distinct instances, or the only one.
func second(newest map[fleet.InstanceID]time.Time) time.Time {
	var first, second time.Time
	for _, at := range newest {
		switch {
		case at.After(first):
			first, second = at, first
		case at.After(second):
			second = at
		}
	}
	if len(newest) == 1 {
		return first
	}
	return second
}
