package pool

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/routing"
	"github.com/bilberryrock/bilberryrock/internal/routing/ejection"
)

// members is the set of usable upstreams between two calls of Refresh. Only the
// nodes in it change.
type members struct {
	nodes []*node
	byID  map[fleet.UpstreamID]*node
	peers int
	load  Load
	// probability and alias form an alias table (Walker 1977): a node is drawn
	// in constant time, in proportion to its weight.
	probability []float64
	alias       []int
}

// Load is what is known of a pool as a whole.
type Load struct {
	// Slots is the sum over the usable upstreams, each scaled by its health.
	Slots float64
	// Reported is the sum of running and waiting work in recent reports, and
	// Known the slots of the upstreams that it covers.
	Reported float64
	Known    float64
	// Upstreams is the number of usable upstreams.
	Upstreams int
}

// updateHealth takes over the health of every node. When more upstreams are out than a pool may
// have out, all are taken to be sound.
func (m *members) updateHealth(now time.Time) {
	out := 0
	for _, n := range m.nodes {
		h := n.ejection.Health(now)
		n.setHealth(h)
		if h == 0 {
			out++
		}
	}
	if ejection.Allowed(len(m.nodes), out) {
		return
	}
	for _, n := range m.nodes {
		n.setHealth(1)
	}
}

// eject takes n out of use at once, unless too many are out already.
func (m *members) eject(n *node) {
	out := 1
	for _, o := range m.nodes {
		if o != n && o.health() == 0 {
			out++
		}
	}
	if !ejection.Allowed(len(m.nodes), out) {
		return
	}
	n.setHealth(0)
	n.tally.ejections.Add(1)
}

// weigh sums the load up and builds the alias table. The weight of a node is its slots
// per service time, scaled by its health.
func (m *members) weigh(now int64) {
	weights := make([]float64, len(m.nodes))
	total := 0.0
	for i, n := range m.nodes {
		m.load.add(n, now)
		weights[i] = n.weight()
		total += weights[i]
	}
	if total > 0 {
		m.fill(weights, float64(len(weights))/total)
	}
}

// perSlot returns the reported work per slot, or -1 without reports.
func (l *Load) perSlot() float64 {
	if l.Known == 0 {
		return -1
	}
	return l.Reported / l.Known
}

func (l *Load) add(n *node, now int64) {
	slots := float64(n.slots.Load())
	l.Slots += slots * n.health()
	l.Upstreams++
	if now-n.reportedAt.Load() > int64(recentReport) || n.reportedAt.Load() == noReport {
		return
	}
	l.Reported += float64(n.reported.Load())
	l.Known += slots
}

// fill builds the alias table with the method of Vose (1991).
func (m *members) fill(weights []float64, scale float64) {
	m.probability = weights
	m.alias = make([]int, len(weights))
	var small, large []int
	for i := range weights {
		weights[i] *= scale
		m.alias[i] = i
		if weights[i] < 1 {
			small = append(small, i)
			continue
		}
		large = append(large, i)
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		m.alias[s] = l
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

// draw returns a node for 64 random bits.
func (m *members) draw(bits uint64) *node {
	i := int((bits >> 32) * uint64(len(m.nodes)) >> 32)
	if m.probability == nil {
		return m.nodes[i]
	}
	if float64(uint32(bits)) < m.probability[i]*(1<<32) {
		return m.nodes[i]
	}
	return m.nodes[m.alias[i]]
}

func (n *node) weight() float64 {
	s := n.service.Value()
	if s == 0 {
		s = n.kind.Value()
	}
	if s == 0 {
		s = time.Second
	}
	return float64(n.slots.Load()) * n.health() / s.Seconds()
}

// scratch holds the candidates of one decision.
type scratch struct {
	count      int
	nodes      [maxCandidates]*node
	candidates [maxCandidates]routing.Candidate
}

func (s *scratch) reset() { s.count = 0 }

func (s *scratch) has(n *node) bool { return s.find(n) >= 0 }

func (s *scratch) find(n *node) int {
	for i := range s.count {
		if s.nodes[i] == n {
			return i
		}
	}
	return -1
}

func (s *scratch) add(n *node, c routing.Candidate) {
	if s.count == maxCandidates {
		return
	}
	s.nodes[s.count] = n
	s.candidates[s.count] = c
	s.count++
}
