package daemon

import (
	"sort"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// keptChanges bounds the revisions whose spread is remembered.
const keptChanges = 16

// spread remembers when each of the newest revisions was in force on all
// reachable instances.
type spread struct {
	mu      sync.Mutex
	inForce map[fleet.Revision]time.Time
	newest  fleet.Revision
}

// observe takes over the revisions that the members report.
func (s *spread) observe(members []membership.Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce == nil {
		s.inForce = make(map[fleet.Revision]time.Time)
	}
	least, newest := extremes(members)
	s.newest = max(s.newest, newest)
	for r := s.oldest(); r <= least; r++ {
		if _, known := s.inForce[r]; !known {
			s.inForce[r] = now
		}
	}
	for r := range s.inForce {
		if r < s.oldest() {
			delete(s.inForce, r)
		}
	}
}

func (s *spread) oldest() fleet.Revision {
	if s.newest <= keptChanges {
		return 1
	}
	return s.newest - keptChanges + 1
}

// extremes returns the least and the newest revision of the reachable members.
func extremes(members []membership.Member) (least, newest fleet.Revision) {
	first := true
	for _, m := range members {
		if m.Status != membership.Alive {
			continue
		}
		if first || m.Revision < least {
			least = m.Revision
		}
		newest = max(newest, m.Revision)
		first = false
	}
	return least, newest
}

// changes returns the spread of the newest revisions, the newest first.
func (s *spread) changes(members []membership.Member) []operator.ChangeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []operator.ChangeStatus{}
	for r := s.newest; r >= s.oldest() && r > 0; r-- {
		change := operator.ChangeStatus{Revision: r}
		if at, known := s.inForce[r]; known {
			change.InForce = &at
		} else {
			change.Lagging = lagging(members, r)
		}
		list = append(list, change)
	}
	return list
}

func lagging(members []membership.Member, r fleet.Revision) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		if m.Status == membership.Alive && m.Revision < r {
			ids = append(ids, m.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
