package timeline

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

// TestNowIsSecondNewest guards against a time that one instance alone can move ahead.
// It compares Now with the second newest of the timestamps of all instances.
func TestNowIsSecondNewest(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		var tl Timeline
		newestByInstance := make(map[fleet.InstanceID]time.Time)
		for range 50 {
			id := fleet.InstanceID(fmt.Sprint(random.Intn(4)))
			at := fakeclock.Start.Add(time.Duration(random.Intn(100)) * time.Second)
			tl.Observe(id, at)
			newestByInstance[id] = later(newestByInstance[id], at)
			if want := secondNewest(newestByInstance); !tl.Now().Equal(want) {
				t.Fatalf("seed %d: Now returns %v, the second newest timestamp is %v", seed, tl.Now(), want)
			}
			if tl.PeriodStart(at).Before(tl.Now()) {
				t.Fatalf("seed %d: a period starts before Now", seed)
			}
		}
	}
}

// secondNewest returns the second newest timestamp of distinct instances, or the only
// one.
func secondNewest(newestByInstance map[fleet.InstanceID]time.Time) time.Time {
	var first, second time.Time
	for _, at := range newestByInstance {
		switch {
		case at.After(first):
			first, second = at, first
		case at.After(second):
			second = at
		}
	}
	if len(newestByInstance) == 1 {
		return first
	}
	return second
}
