package path

// Possible reports whether Choose would find a path within the constraints. Unlike Choose
// it does not count a request.
func (p *Planner) Possible(l Constraints) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil {
		return false
	}
	usable, costs := p.usable(l)
	return p.search(usable, costs, l.First) != nil
}
