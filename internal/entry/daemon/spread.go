package daemon

import (
	"sort"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// maxTrackedRevisions is the number of newest revisions whose propagation is tracked.
const maxTrackedRevisions = 16

// propagation records when each of the newest revisions had become active on all
// reachable instances.
type propagation struct {
	mu       sync.Mutex
	activeAt map[fleet.Revision]time.Time
	newest   fleet.Revision
}

// observe records the revisions that the members report.
func (s *propagation) observe(members []membership.Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeAt == nil {
		s.activeAt = make(map[fleet.Revision]time.Time)
	}
	lowest, newest := revisionRange(members)
	s.newest = max(s.newest, newest)
	for r := s.oldestTracked(); r <= lowest; r++ {
		if _, known := s.activeAt[r]; !known {
			s.activeAt[r] = now
		}
	}
	for r := range s.activeAt {
		if r < s.oldestTracked() {
			delete(s.activeAt, r)
		}
	}
}

func (s *propagation) oldestTracked() fleet.Revision {
	if s.newest <= maxTrackedRevisions {
		return 1
	}
	return s.newest - maxTrackedRevisions + 1
}

// revisionRange returns the lowest and the newest revision of the live members.
func revisionRange(members []membership.Member) (lowest, newest fleet.Revision) {
	first := true
	for _, m := range members {
		if m.Status != membership.Alive {
			continue
		}
		if first || m.Revision < lowest {
			lowest = m.Revision
		}
		newest = max(newest, m.Revision)
		first = false
	}
	return lowest, newest
}

// changes returns the propagation of the newest revisions, newest first.
func (s *propagation) changes(members []membership.Member) []operator.ChangeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []operator.ChangeStatus{}
	for r := s.newest; r >= s.oldestTracked() && r > 0; r-- {
		change := operator.ChangeStatus{Revision: r}
		if at, known := s.activeAt[r]; known {
			change.ActiveAt = &at
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
