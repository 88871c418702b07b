package path

// Possible reports whether Choose would find a path within the constraints. Unlike Choose
// it neither counts a request nor takes tokens for crossings.
func (p *Planner) Possible(l Constraints) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil {
		return false
	}
	_, _, err := p.find(l)
	return err == nil
}

// PossibleUnlessFull reports whether Choose would find a path within the constraints if no
// engine was full or had refused a request, and no link between data centres was used up.
// Without admission control it is the same as Possible.
func (p *Planner) PossibleUnlessFull(l Constraints) bool {
	l.ignoreFull = true
	return p.Possible(l)
}
