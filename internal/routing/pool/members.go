package pool

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/routing"
	"github.com/bilberryrock/bilberryrock/internal/routing/ejection"
)

// memberSet is the set of usable upstreams between two calls of Refresh. The set
// itself is immutable; only the state of its members changes.
type memberSet struct {
	all   []*member
	byID  map[fleet.UpstreamID]*member
	peers int
	load  Load
	// probability and alias form an alias table (Walker 1977), which draws a member
	// in constant time with a probability proportional to its weight.
	probability []float64
	alias       []int
}

// Load is the aggregated capacity and load of a pool.
type Load struct {
	// Slots is the number of slots of the usable upstreams, each scaled by its
	// health.
	Slots float64
	// Reported is the sum of running and waiting sequences in recent load reports,
	// and ReportedSlots the number of slots of the upstreams with such a report.
	Reported      float64
	ReportedSlots float64
	// Upstreams is the number of usable upstreams.
	Upstreams int
}

// updateHealth sets the health of every member from its ejection state. If more
// members are ejected than ejection.Allowed permits, all are treated as healthy.
func (set *memberSet) updateHealth(now time.Time) {
	ejected := 0
	for _, m := range set.all {
		h := m.ejection.Health(now)
		m.setHealth(h)
		if h == 0 {
			ejected++
		}
	}
	if ejection.Allowed(len(set.all), ejected) {
		return
	}
	for _, m := range set.all {
		m.setHealth(1)
	}
}

// eject sets the health of m to 0 immediately, without waiting for the next
// Refresh, unless too many members are ejected already.
func (set *memberSet) eject(m *member) {
	ejected := 1
	for _, other := range set.all {
		if other != m && other.health() == 0 {
			ejected++
		}
	}
	if !ejection.Allowed(len(set.all), ejected) {
		return
	}
	m.setHealth(0)
	m.counters.ejections.Add(1)
}

// computeWeights sums up the load of the set and builds the alias table. The weight
// of a member is its slots divided by its service time, scaled by its health.
func (set *memberSet) computeWeights(now int64) {
	weights := make([]float64, len(set.all))
	total := 0.0
	for i, m := range set.all {
		set.load.add(m, now)
		weights[i] = m.weight()
		total += weights[i]
	}
	if total > 0 {
		set.buildAliasTable(weights, float64(len(weights))/total)
	}
}

// perSlot returns the reported load per slot, or -1 if there are no recent reports.
func (l *Load) perSlot() float64 {
	if l.ReportedSlots == 0 {
		return -1
	}
	return l.Reported / l.ReportedSlots
}

func (l *Load) add(m *member, now int64) {
	slots := float64(m.slots.Load())
	l.Slots += slots * m.health()
	l.Upstreams++
	if now-m.reportedAt.Load() > int64(maxReportAge) || m.reportedAt.Load() == noReport {
		return
	}
	l.Reported += float64(m.reported.Load())
	l.ReportedSlots += slots
}

// buildAliasTable builds the alias table with the algorithm of Vose (1991).
func (set *memberSet) buildAliasTable(weights []float64, scale float64) {
	set.probability = weights
	set.alias = make([]int, len(weights))
	var small, large []int
	for i := range weights {
		weights[i] *= scale
		set.alias[i] = i
		if weights[i] < 1 {
			small = append(small, i)
			continue
		}
		large = append(large, i)
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		set.alias[s] = l
		weights[l] -= 1 - weights[s]
		if weights[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range small {
		weights[i] = 1
	}
	for _, i := range large {
		weights[i] = 1
	}
}

// draw returns a weighted random member, given 64 random bits.
func (set *memberSet) draw(bits uint64) *member {
	i := int((bits >> 32) * uint64(len(set.all)) >> 32)
	if set.probability == nil {
		return set.all[i]
	}
	if float64(uint32(bits)) < set.probability[i]*(1<<32) {
		return set.all[i]
	}
	return set.all[set.alias[i]]
}

func (m *member) weight() float64 {
	s := m.estimate.Value()
	if s == 0 {
		s = m.kindEstimate.Value()
	}
	if s == 0 {
		s = time.Second
	}
	return float64(m.slots.Load()) * m.health() / s.Seconds()
}

// scratch is the reusable buffer for the candidates of one decision.
type scratch struct {
	count            int
	candidateMembers [maxCandidates]*member
	candidates       [maxCandidates]routing.Candidate
}

func (s *scratch) reset() { s.count = 0 }

func (s *scratch) contains(m *member) bool { return s.index(m) >= 0 }

func (s *scratch) index(m *member) int {
	for i := range s.count {
		if s.candidateMembers[i] == m {
			return i
		}
	}
	return -1
}

func (s *scratch) add(m *member, c routing.Candidate) {
	if s.count == maxCandidates {
		return
	}
	s.candidateMembers[s.count] = m
	s.candidates[s.count] = c
	s.count++
}
