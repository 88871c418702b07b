package quota

import "time"

const (
	// window is the time over which streams are counted.
	window = time.Second
	// slotTime divides the window. Counts are up to one slot late, because the current
	// slot is not counted: its time is not over.
	slotTime  = 50 * time.Millisecond
	slotCount = int64(window/slotTime) + 1
)

// counter counts events in the last window. The time is given as the number of its slot.
type counter struct {
	slots [slotCount]uint32
	last  int64 // newest slot with an event
}

// advance clears the slots that are too old at slot n.
func (c *counter) advance(n int64) {
	if n-c.last >= slotCount {
		*c = counter{last: n}
		return
	}
	for c.last < n {
		c.last++
		c.slots[c.last%slotCount] = 0
	}
}

func (c *counter) add(n int64) {
	c.advance(n)
	c.slots[c.last%slotCount]++
}

// sum returns the number of events in the window before slot n.
func (c *counter) sum(n int64) int {
	c.advance(n)
	total := 0
	for i, v := range c.slots {
		if int64(i) != c.last%slotCount {
			total += int(v)
		}
	}
	return total
}

// idle reports whether there were no events in the window and in the current slot.
func (c *counter) idle(n int64) bool { return n-c.last >= slotCount }
