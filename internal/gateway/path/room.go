package path

// Room is the capacity of the engines of a pool and its use, in streams of mean size.
type Room struct {
	Capacity, Active float64
}

// Room returns the capacity of all data centres that hold the whole model, and its use by
// all gateways.
func (p *Planner) Room() Room { return Room{} }
