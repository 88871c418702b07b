package path

const (
	// minSize and maxSize bound the size of a stream. Clients declare the lengths of which
	// it is computed, and nobody checks them.
	minSize = 0.1
	maxSize = 4.0
)

// Size returns the size of a stream in streams of mean size, by the memory that its
// prompt and its expected answer need. A stream without numbers of tokens has the size 1.
func (p *Planner) Size(promptTokens, maxAnswerTokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil || promptTokens <= 0 && maxAnswerTokens <= 0 {
		return 1
	}
	mean := p.model.MeanPromptTokens + p.model.MeanAnswerTokens
	if mean <= 0 {
		return 1
	}
	tokens := float64(promptTokens) + float64(min(maxAnswerTokens, p.model.MeanAnswerTokens))
	return max(minSize, min(tokens/float64(mean), maxSize))
}

// Room is the capacity of the engines of a pool and its use, in streams of mean size.
type Room struct {
	Capacity, Active float64
}

// Room returns the capacity of all groups that hold all layers, and its use by all
// gateways. If none holds them all, all engines together count as one group. Engines that
// are lost or excluded do not count.
//
// Active is the number in the newest sums as it is, so that all gateways get the same one.
func (p *Planner) Room() Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil {
		return Room{}
	}
	gs := p.groups(p.clock.Now())
	var r Room
	for _, g := range gs {
		if g.holdsAllLayers() {
			r.Capacity += g.streams()
			r.Active += g.active
		}
	}
	if r.Capacity == 0 {
		if t := total(gs); t.holdsAllLayers() {
			r = Room{Capacity: t.streams(), Active: t.active}
		}
	}
	return r
}

// total returns the capacity of all groups as if they were one.
func total(gs []*group) *group {
	sum := &group{}
	for _, g := range gs {
		if len(sum.layers) != len(g.layers) {
			sum.layers = make([]float64, len(g.layers))
		}
		for i, n := range g.layers {
			sum.layers[i] += n
		}
		sum.active += g.active
	}
	return sum
}
